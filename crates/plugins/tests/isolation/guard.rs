//! Limits on the calls of a plug-in, in virtual time.

use frosthatch_plugins::guard::{CallGuard, CallRejection, Limits};

fn limits() -> Limits {
    Limits {
        waiting: 2,
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
    // 210 of 1,000 are used; each call may use 100.
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
        "a tenth of a second brings a call's worth"
    );
}

#[test]
fn consecutive_faults_open_the_circuit_with_growing_backoff() {
    let mut guard = CallGuard::new(Limits {
        fuel_per_s: 1_000_000,
        ..limits()
    });
    let fail = |guard: &mut CallGuard, now| {
        guard.begin_call(now).expect("it is asked");
        guard.end_call(now, 1, Some("it traps"))
    };
    assert_eq!((fail(&mut guard, 0), fail(&mut guard, 0)), (None, None));
    guard.begin_call(0).expect("it is asked");
    assert_eq!(
        guard.end_call(0, 1, None),
        None,
        "a good one between begins anew"
    );
    assert_eq!((fail(&mut guard, 0), fail(&mut guard, 0)), (None, None));
    assert_eq!(fail(&mut guard, 0), Some("is set aside: it traps".into()));
    let mut now = 0;
    let mut pauses_s = Vec::new();
    for _ in 0..9 {
        let since = now;
        while guard.begin_call(now) == Err(CallRejection::CircuitOpen) {
            now += 100_000;
        }
        // One trial call at a time.
        assert_eq!(guard.begin_call(now), Err(CallRejection::CircuitOpen));
        pauses_s.push((now - since) / 1_000_000);
        assert_eq!(guard.end_call(now, 1, Some("it traps")), None, "told once");
    }
    assert_eq!(pauses_s, [1, 2, 4, 8, 16, 32, 60, 60, 60]);
    now += 60_000_000;
    guard.begin_call(now).expect("a trial");
    assert_eq!(guard.end_call(now, 1, None), Some("is asked again".into()));
    assert!(guard.begin_call(now).is_ok() && !guard.is_circuit_open());
}
