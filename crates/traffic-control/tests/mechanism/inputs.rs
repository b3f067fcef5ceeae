//! Tests of invalid input and of the bound on the number of customers.

use crate::common::{is_rejected, sent_server, unlimited_settings, TestGateway};
use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, Event, Gateway, Request, RequestId, ServerId,
    Settings, Timer,
};

#[test]
fn unknown_names_are_rejected_once_and_unknown_ids_are_ignored() {
    let mut gateway = TestGateway::with_servers(unlimited_settings(), 2);
    for change in [
        |r: &mut Request| r.plan = "?".into(),
        |r: &mut Request| r.class = "?".into(),
    ] {
        let (_, actions) = gateway.request_with(change);
        assert_eq!(
            actions
                .iter()
                .filter(|a| matches!(a, Action::Reject { .. }))
                .count(),
            1
        );
    }
    let unknown_outcome = AttemptOutcome::new(
        RequestId(99),
        0,
        ServerId("x".into()),
        CompletionStatus::Served,
        1,
    );
    assert!(gateway.handle(Event::Outcome(unknown_outcome)).is_empty());
    assert!(gateway.handle(Event::ClientGone(RequestId(99))).is_empty());
    assert!(gateway
        .handle(Event::Timer(Timer::Request(RequestId(99))))
        .is_empty());
    let (id, actions) = gateway.request("c");
    let server = sent_server(&actions).expect("a ready server is listed");
    gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, 1);
    assert!(
        gateway
            .end_attempt_after(id, 0, &server, CompletionStatus::ServerError, 1)
            .is_empty(),
        "a repeated outcome is ignored"
    );
}

#[test]
fn invalid_settings_are_an_error() {
    let invalid_changes: [fn(&mut Settings); 5] = [
        |s| s.classes.clear(),
        |s| s.plans.clear(),
        |s| s.plans[0].rate = -1.0,
        |s| s.plans[0].burst = f64::NAN,
        |s| s.gateways = 0,
    ];
    for change in invalid_changes {
        let mut s = Settings::example();
        change(&mut s);
        assert!(Gateway::new(s, 1).is_err());
    }
}

/// The number of tracked customers is limited, which bounds memory under a flood of customers.
#[test]
fn customers_beyond_the_limit_are_rejected() {
    let mut gateway = TestGateway::with_servers(unlimited_settings(), 2);
    let rejected = (0..70_000)
        .filter(|i| is_rejected(&gateway.request(&format!("c{i}")).1))
        .count();
    assert!(
        rejected >= 70_000 - 24_576,
        "{rejected} of 70,000 customers rejected, expected all beyond the limit of 24,576"
    );
}
