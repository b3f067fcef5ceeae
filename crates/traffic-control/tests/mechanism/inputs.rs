//! Bad input, and bounds on memory.

use crate::common::{is_rejected, sent_server, unlimited_settings, Rig};
use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, Event, Gateway, Request, RequestId, ServerId,
    Settings, Timer,
};

#[test]
fn unknown_names_get_one_answer_and_unknown_ids_change_nothing() {
    let mut rig = Rig::with_servers(unlimited_settings(), 2);
    for change in [
        |r: &mut Request| r.plan = "?".into(),
        |r: &mut Request| r.class = "?".into(),
    ] {
        let (_, actions) = rig.request_with(change);
        assert_eq!(
            actions
                .iter()
                .filter(|a| matches!(a, Action::Reject { .. }))
                .count(),
            1
        );
    }
    let stranger = AttemptOutcome::new(
        RequestId(99),
        0,
        ServerId("x".into()),
        CompletionStatus::Served,
        1,
    );
    assert!(rig.handle(Event::Outcome(stranger)).is_empty());
    assert!(rig.handle(Event::ClientGone(RequestId(99))).is_empty());
    assert!(rig
        .handle(Event::Timer(Timer::Request(RequestId(99))))
        .is_empty());
    let (id, actions) = rig.request("c");
    let server = sent_server(&actions).expect("sent");
    rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 1);
    assert!(
        rig.end_attempt_after(id, 0, &server, CompletionStatus::ServerError, 1)
            .is_empty(),
        "a repeated outcome is ignored"
    );
}

#[test]
fn invalid_settings_are_an_error() {
    let broken: [fn(&mut Settings); 5] = [
        |s| s.classes.clear(),
        |s| s.plans.clear(),
        |s| s.plans[0].rate = -1.0,
        |s| s.plans[0].burst = f64::NAN,
        |s| s.gateways = 0,
    ];
    for change in broken {
        let mut s = Settings::example();
        change(&mut s);
        assert!(Gateway::new(s, 1).is_err());
    }
}

#[test]
fn memory_is_bounded_under_a_flood_of_customers() {
    let mut rig = Rig::with_servers(unlimited_settings(), 2);
    let answered = (0..70_000)
        .filter(|i| is_rejected(&rig.request(&format!("c{i}")).1))
        .count();
    assert!(
        answered >= 70_000 - 24_576,
        "customers beyond the bound are refused"
    );
}
