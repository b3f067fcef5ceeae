//! Tests of policy terms that change under load: use carries over, the smaller of the old and new terms holds during a short
//! transition, and no request is admitted while it is unknown which terms hold.

mod common;
use common::{is_rejected, sent_server, TestGateway};
use frosthatch_traffic_control::{
    Action, Ceiling, CompletionStatus, Event, LeaseState, ListKind, Plan, PolicyTerms, RetryBudget,
    ServerEntry, Settings, Timer,
};

fn plan(rate: f64, burst: f64, ceiling: Option<f64>) -> Plan {
    let ceiling = ceiling.map(|c| Ceiling { rate: c, depth: c });
    Plan {
        rate,
        burst,
        ceiling,
        ..Settings::example().plans[0].clone()
    }
}

fn settings(plan: Plan) -> Settings {
    Settings {
        plans: vec![plan],
        ..Settings::example()
    }
}

fn terms(plan: Plan) -> Event {
    Event::PolicyChanged(PolicyTerms {
        plans: vec![plan],
        classes: Settings::example().classes,
        retries: RetryBudget::default(),
    })
}

/// Sends `requests` requests one at a time and serves the admitted ones at once. Returns how many were admitted.
fn count_admitted(gateway: &mut TestGateway, requests: usize) -> usize {
    let mut admitted = 0;
    for _ in 0..requests {
        let (id, actions) = gateway.request("c");
        if let Some(server) = sent_server(&actions) {
            admitted += 1;
            gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
        }
    }
    admitted
}

#[test]
fn a_lowered_quota_holds_at_once_for_the_units_left() {
    let mut gateway = TestGateway::with_servers(settings(plan(10.0, 20.0, None)), 2);
    assert_eq!(count_admitted(&mut gateway, 15), 15);
    gateway.handle(terms(plan(2.0, 4.0, None)));
    assert_eq!(
        count_admitted(&mut gateway, 15),
        4,
        "of the five units left, the smaller bucket keeps four"
    );
    gateway.now += 1_000_000;
    assert_eq!(count_admitted(&mut gateway, 15), 2);
}

#[test]
fn a_raised_quota_returns_no_used_units_and_accrues_at_the_smaller_rate_during_the_transition() {
    let mut gateway = TestGateway::with_servers(settings(plan(2.0, 4.0, None)), 2);
    assert_eq!(count_admitted(&mut gateway, 10), 4);
    gateway.handle(terms(plan(40.0, 40.0, None)));
    assert_eq!(
        count_admitted(&mut gateway, 10),
        0,
        "a raised quota returns no used units"
    );
    // After 125 ms, half of the transition, the smaller rate of 2 units a second has accrued a quarter of a unit.
    gateway.now += 125_000;
    gateway.handle(Event::Timer(Timer::Interval));
    assert_eq!(count_admitted(&mut gateway, 10), 0);
    gateway.now += 125_000;
    gateway.handle(Event::Timer(Timer::Interval));
    gateway.now += 500_000;
    assert_eq!(
        count_admitted(&mut gateway, 100),
        20,
        "half a second accrues 20 units at the new rate, besides half a unit from the transition"
    );
}

/// During the transition no more units are admitted than the smaller ceiling allows; afterwards as many as the new ceiling
/// allows, whether it was raised or lowered.
#[test]
fn the_smaller_ceiling_holds_while_both_may_be_in_force() {
    for (first, then) in [(20.0, 8.0), (8.0, 20.0)] {
        let mut gateway = TestGateway::with_servers(settings(plan(100.0, 100.0, Some(first))), 2);
        gateway.now += 5_000_000;
        // The first requests create the customer's slice of the ceiling, which fills from the gateway's start.
        count_admitted(&mut gateway, 200);
        gateway.now += 2_000_000;
        gateway.handle(terms(plan(100.0, 100.0, Some(then))));
        let in_transition: usize = (0..10)
            .map(|_| {
                gateway.now += 25_000;
                count_admitted(&mut gateway, 50)
            })
            .sum();
        let smaller = f64::min(first, then);
        assert!(
            in_transition as f64 <= smaller + 0.25 * smaller,
            "ceiling {first} to {then}: {in_transition} units in the transition, limit 1.25 times {smaller}"
        );
        let after: usize = (0..100)
            .map(|_| {
                gateway.now += 25_000;
                count_admitted(&mut gateway, 50)
            })
            .sum();
        assert!(
            after as f64 <= then * 2.5 + 1.0,
            "ceiling {first} to {then}: {after} units in 2.5 s after the transition, too many"
        );
        assert!(
            after as f64 >= then * 2.4 - 1.0,
            "ceiling {first} to {then}: {after} units in 2.5 s after the transition, too few"
        );
    }
}

#[test]
fn requests_wait_while_the_policy_changes_and_are_decided_under_the_new_terms() {
    let mut gateway = TestGateway::with_servers(settings(plan(10.0, 20.0, None)), 2);
    gateway.handle(Event::LeaseStateChanged(LeaseState::Pending));
    for _ in 0..6 {
        let (_, actions) = gateway.request("c");
        assert!(sent_server(&actions).is_none() && !is_rejected(&actions));
    }
    // A list update admits no waiting request.
    assert!(sent_server(
        &gateway.update_servers(ListKind::Complete, vec![ServerEntry::ready("s9", "a")])
    )
    .is_none());
    gateway.now += 60_000;
    gateway.handle(terms(plan(1.0, 2.0, None)));
    let actions = gateway.handle(Event::LeaseStateChanged(LeaseState::Held));
    let count = |which: fn(&Action) -> bool| actions.iter().filter(|a| which(a)).count();
    assert_eq!(
        count(|a| matches!(a, Action::Send { .. })),
        2,
        "waiting requests are admitted under the new terms"
    );
    assert_eq!(
        count(|a| matches!(a, Action::Reject { .. })),
        4,
        "the other waiting requests are rejected at once"
    );
}

#[test]
fn a_waiting_request_is_rejected_at_its_timer() {
    let mut gateway = TestGateway::with_servers(settings(plan(10.0, 20.0, None)), 2);
    gateway.handle(Event::LeaseStateChanged(LeaseState::Pending));
    let (id, actions) = gateway.request("c");
    let after = actions.iter().find_map(|a| match a {
        Action::SetTimer {
            after_us,
            timer: Timer::Request(r),
        } if *r == id => Some(*after_us),
        _ => None,
    });
    gateway.now += after.expect("a waiting request has a timer");
    assert!(is_rejected(
        &gateway.handle(Event::Timer(Timer::Request(id)))
    ));
}

#[test]
fn without_a_policy_requests_are_rejected_and_admitted_ones_continue() {
    let mut gateway = TestGateway::with_servers(settings(plan(10.0, 20.0, None)), 2);
    let (running, actions) = gateway.request("c");
    let server = sent_server(&actions).expect("a ready server is listed");
    gateway.handle(Event::LeaseStateChanged(LeaseState::Pending));
    let (_, waiting) = gateway.request("c");
    assert!(!is_rejected(&waiting));
    assert!(
        is_rejected(&gateway.handle(Event::LeaseStateChanged(LeaseState::Missing))),
        "waiting requests are rejected"
    );
    let (_, actions) = gateway.request("c");
    let after = actions.iter().find_map(|a| match a {
        Action::Reject { retry_after_us, .. } => Some(*retry_after_us),
        _ => None,
    });
    assert_eq!(after, Some(1_000_000));
    // The running request was admitted, and its retry needs no further admission.
    let actions =
        gateway.end_attempt_after(running, 0, &server, CompletionStatus::Rejected, 10_000);
    assert!(sent_server(&actions).is_some());
    gateway.handle(Event::LeaseStateChanged(LeaseState::Held));
    assert!(sent_server(&gateway.request("c").1).is_some());
}

/// A `max_open` of 0 and a missing ceiling mean that there is no limit.
#[test]
fn the_smaller_terms_have_the_smaller_of_each_limit() {
    let settings = Settings::example();
    let policy_terms = |rate: f64, burst: f64, max_open: u32, ceiling: Option<f64>| {
        let ceiling = ceiling.map(|c| Ceiling { rate: c, depth: c });
        let plan = Plan {
            rate,
            burst,
            max_open,
            ceiling,
            ..settings.plans[0].clone()
        };
        PolicyTerms {
            plans: vec![plan],
            classes: settings.classes.clone(),
            retries: settings.retries,
        }
    };
    let smaller_terms = policy_terms(5.0, 20.0, 0, Some(30.0))
        .with_stricter_limits(&policy_terms(10.0, 8.0, 4, None));
    let smaller_plan = &smaller_terms.plans[0];
    assert_eq!(
        (smaller_plan.rate, smaller_plan.burst, smaller_plan.max_open),
        (5.0, 8.0, 4)
    );
    assert_eq!(
        smaller_plan.ceiling,
        Some(Ceiling {
            rate: 30.0,
            depth: 30.0
        })
    );
}
