//! Tests the limits on the calls of a plug-in, in virtual time.

use frosthatch_plugins::guard::{CallGuard, CallRejection, Limits};

fn limits() -> Limits {
    Limits {
        max_calls_in_flight: 2,
        fuel_per_call: 100,
        fuel_per_s: 1_000,
    }
}

#[test]
fn calls_in_flight_and_fuel_per_second_are_bounded() {
    let mut guard = CallGuard::new(limits());
    assert_eq!(
        (
            guard.begin_call(0),
            guard.begin_call(0),
            guard.begin_call(0)
        ),
        (Ok(()), Ok(()), Err(CallRejection::QueueFull))
    );
    assert_eq!(guard.end_call(0, 10, None), None);
    assert_eq!(guard.begin_call(0), Ok(()));
    guard.end_call(0, 100, None);
    guard.end_call(0, 100, None);
    // 210 of the 1,000 units of fuel are used; each call may use 100.
    let mut calls = 0;
    while guard.begin_call(0).is_ok() {
        guard.end_call(0, 100, None);
        calls += 1;
    }
    assert_eq!(
        (calls, guard.begin_call(0)),
        (7, Err(CallRejection::FuelExhausted))
    );
    assert_eq!(
        guard.begin_call(100_000),
        Ok(()),
        "a tenth of a second refills the fuel of one call"
    );
}

#[test]
fn consecutive_faults_open_the_circuit_with_growing_backoff() {
    let mut guard = CallGuard::new(Limits {
        fuel_per_s: 1_000_000,
        ..limits()
    });
    let call_with_fault = |guard: &mut CallGuard, now_us| {
        guard
            .begin_call(now_us)
            .expect("the circuit is closed, no call is in flight and there is enough fuel");
        guard.end_call(now_us, 1, Some("it traps"))
    };
    assert_eq!(
        (
            call_with_fault(&mut guard, 0),
            call_with_fault(&mut guard, 0)
        ),
        (None, None)
    );
    guard
        .begin_call(0)
        .expect("the circuit is closed, no call is in flight and there is enough fuel");
    assert_eq!(
        guard.end_call(0, 1, None),
        None,
        "a successful call resets the number of consecutive faults"
    );
    assert_eq!(
        (
            call_with_fault(&mut guard, 0),
            call_with_fault(&mut guard, 0)
        ),
        (None, None)
    );
    assert_eq!(
        call_with_fault(&mut guard, 0),
        Some("circuit breaker opened: it traps".into())
    );
    let mut now_us = 0;
    let mut backoffs_s = Vec::new();
    for _ in 0..9 {
        let opened_at_us = now_us;
        while guard.begin_call(now_us) == Err(CallRejection::CircuitOpen) {
            now_us += 100_000;
        }
        // Only one trial call may be in flight.
        assert_eq!(guard.begin_call(now_us), Err(CallRejection::CircuitOpen));
        backoffs_s.push((now_us - opened_at_us) / 1_000_000);
        assert_eq!(
            guard.end_call(now_us, 1, Some("it traps")),
            None,
            "a failed trial call is not logged again"
        );
    }
    assert_eq!(backoffs_s, [1, 2, 4, 8, 16, 32, 60, 60, 60]);
    now_us += 60_000_000;
    guard.begin_call(now_us).expect("a trial call is due");
    assert_eq!(
        guard.end_call(now_us, 1, None),
        Some("circuit breaker closed".into())
    );
    assert!(guard.begin_call(now_us).is_ok() && !guard.is_circuit_open());
}
