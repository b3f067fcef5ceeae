//! Policy terms that change while requests come: what was used carries over, the smaller of both holds for a short time, and no
//! request is admitted while it is unknown which hold.

mod common;
use common::{is_rejected, sent_server, Rig};
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

/// How many of the requests that come now, one after another, are admitted; each is served at once.
fn count_admitted(rig: &mut Rig, most: usize) -> usize {
    let mut admitted = 0;
    for _ in 0..most {
        let (id, actions) = rig.request("c");
        if let Some(server) = sent_server(&actions) {
            admitted += 1;
            rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
        }
    }
    admitted
}

#[test]
fn a_lowered_quota_holds_at_once_for_a_customer_at_its_limit() {
    let mut rig = Rig::with_servers(settings(plan(10.0, 20.0, None)), 2);
    assert_eq!(count_admitted(&mut rig, 15), 15);
    rig.handle(terms(plan(2.0, 4.0, None)));
    assert_eq!(
        count_admitted(&mut rig, 15),
        4,
        "of the five that were left as many as fit the smaller store"
    );
    rig.now += 1_000_000;
    assert_eq!(count_admitted(&mut rig, 15), 2);
}

#[test]
fn a_raised_quota_returns_nothing_used_and_fills_by_the_smaller_at_first() {
    let mut rig = Rig::with_servers(settings(plan(2.0, 4.0, None)), 2);
    assert_eq!(count_admitted(&mut rig, 10), 4);
    rig.handle(terms(plan(40.0, 40.0, None)));
    assert_eq!(count_admitted(&mut rig, 10), 0, "what was used is used");
    // Half of the transition: by the smaller rate a quarter of a unit.
    rig.now += 125_000;
    rig.handle(Event::Timer(Timer::Interval));
    assert_eq!(count_admitted(&mut rig, 10), 0);
    rig.now += 125_000;
    rig.handle(Event::Timer(Timer::Interval));
    rig.now += 500_000;
    assert_eq!(
        count_admitted(&mut rig, 100),
        20,
        "half a second by the new rate, and half a unit from before"
    );
}

/// Whatever the order of changes, no more is admitted in any time than by the largest ceiling, and in the transition than by the smaller.
#[test]
fn a_ceiling_is_kept_across_changes_by_the_smaller_while_both_may_hold() {
    for (first, then) in [(20.0, 8.0), (8.0, 20.0)] {
        let mut rig = Rig::with_servers(settings(plan(100.0, 100.0, Some(first))), 2);
        rig.now += 5_000_000;
        // The first customer's slice fills from the start.
        count_admitted(&mut rig, 200);
        rig.now += 2_000_000;
        rig.handle(terms(plan(100.0, 100.0, Some(then))));
        let within: usize = (0..10)
            .map(|_| {
                rig.now += 25_000;
                count_admitted(&mut rig, 50)
            })
            .sum();
        let smaller = f64::min(first, then);
        assert!(
            within as f64 <= smaller + 0.25 * smaller,
            "{first} to {then}: {within} within the window"
        );
        let after: usize = (0..100)
            .map(|_| {
                rig.now += 25_000;
                count_admitted(&mut rig, 50)
            })
            .sum();
        assert!(
            after as f64 <= then * 2.5 + 1.0,
            "{first} to {then}: {after} after it"
        );
        assert!(
            after as f64 >= then * 2.4 - 1.0,
            "{first} to {then}: {after} after it"
        );
    }
}

#[test]
fn requests_wait_while_the_policy_changes_and_are_decided_under_the_new_one() {
    let mut rig = Rig::with_servers(settings(plan(10.0, 20.0, None)), 2);
    rig.handle(Event::LeaseStateChanged(LeaseState::Pending));
    for _ in 0..6 {
        let (_, actions) = rig.request("c");
        assert!(sent_server(&actions).is_none() && !is_rejected(&actions));
    }
    // A list update admits none of them.
    assert!(sent_server(
        &rig.update_servers(ListKind::Complete, vec![ServerEntry::ready("s9", "a")])
    )
    .is_none());
    rig.now += 60_000;
    rig.handle(terms(plan(1.0, 2.0, None)));
    let actions = rig.handle(Event::LeaseStateChanged(LeaseState::Held));
    let n = |which: fn(&Action) -> bool| actions.iter().filter(|a| which(a)).count();
    assert_eq!(
        n(|a| matches!(a, Action::Send { .. })),
        2,
        "as many as the new terms allow"
    );
    assert_eq!(
        n(|a| matches!(a, Action::Reject { .. })),
        4,
        "and the rest is answered at once"
    );
}

#[test]
fn a_request_that_waits_too_long_is_answered_while_its_client_can_try_elsewhere() {
    let mut rig = Rig::with_servers(settings(plan(10.0, 20.0, None)), 2);
    rig.handle(Event::LeaseStateChanged(LeaseState::Pending));
    let (id, actions) = rig.request("c");
    let after = actions.iter().find_map(|a| match a {
        Action::SetTimer {
            after_us,
            timer: Timer::Request(r),
        } if *r == id => Some(*after_us),
        _ => None,
    });
    rig.now += after.expect("a timer");
    assert!(is_rejected(&rig.handle(Event::Timer(Timer::Request(id)))));
}

#[test]
fn without_a_policy_requests_are_rejected_and_admitted_ones_go_on() {
    let mut rig = Rig::with_servers(settings(plan(10.0, 20.0, None)), 2);
    let (running, actions) = rig.request("c");
    let server = sent_server(&actions).expect("sent");
    rig.handle(Event::LeaseStateChanged(LeaseState::Pending));
    let (_, held) = rig.request("c");
    assert!(!is_rejected(&held));
    assert!(
        is_rejected(&rig.handle(Event::LeaseStateChanged(LeaseState::Missing))),
        "what was held is answered"
    );
    let (_, actions) = rig.request("c");
    let after = actions.iter().find_map(|a| match a {
        Action::Reject { retry_after_us, .. } => Some(*retry_after_us),
        _ => None,
    });
    assert_eq!(after, Some(1_000_000));
    // Its first attempt was admitted: a retry is not another request.
    let actions = rig.end_attempt_after(running, 0, &server, CompletionStatus::Rejected, 10_000);
    assert!(sent_server(&actions).is_some());
    rig.handle(Event::LeaseStateChanged(LeaseState::Held));
    assert!(sent_server(&rig.request("c").1).is_some());
}

#[test]
fn the_smaller_terms_take_the_smaller_of_each_figure() {
    let set = Settings::example();
    let of = |rate: f64, burst: f64, cap: u32, ceiling: Option<f64>| {
        let ceiling = ceiling.map(|c| Ceiling { rate: c, depth: c });
        let plan = Plan {
            rate,
            burst,
            max_open: cap,
            ceiling,
            ..set.plans[0].clone()
        };
        PolicyTerms {
            plans: vec![plan],
            classes: set.classes.clone(),
            retries: set.retries,
        }
    };
    let both = of(5.0, 20.0, 0, Some(30.0)).smaller(&of(10.0, 8.0, 4, None));
    let p = &both.plans[0];
    assert_eq!((p.rate, p.burst, p.max_open), (5.0, 8.0, 4));
    assert_eq!(
        p.ceiling,
        Some(Ceiling {
            rate: 30.0,
            depth: 30.0
        })
    );
}
