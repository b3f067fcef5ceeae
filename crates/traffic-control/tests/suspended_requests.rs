//! Tests of requests that a server may have while no client waits for them: nothing is begun for them until a client is
//! back.

mod common;
use common::{is_failed, is_rejected, sent_server, unlimited_settings, TestGateway};
use frosthatch_traffic_control::{
    Action, CompletionStatus, Effect, Event, Micros, RequestId, Scope, ServerId, Settings,
};

const ATTEMPT_US: Micros = 200_000;

fn keyed_settings() -> Settings {
    let mut settings = unlimited_settings();
    settings.classes[0].effect = Effect::Keyed {
        scope: Scope::Cell,
        window_us: 1_000_000,
    };
    settings
}

/// Sends a request whose client leaves, and ends its attempt with `status`. Returns the actions that follow.
fn end_while_suspended(
    gateway: &mut TestGateway,
    status: CompletionStatus,
) -> (RequestId, ServerId, Vec<Action>) {
    let (id, actions) = gateway.request("c");
    let server = sent_server(&actions).expect("a ready server is listed");
    assert!(gateway.handle(Event::Suspended(id)).is_empty());
    let actions = gateway.end_attempt_after(id, 0, &server, status, ATTEMPT_US);
    (id, server, actions)
}

/// Guards against an attempt for a client that has gone, whatever the first attempt came to, in each class.
#[test]
fn no_attempt_follows_one_that_ends_while_no_client_waits() {
    for settings in [unlimited_settings(), keyed_settings()] {
        for status in [
            CompletionStatus::Rejected,
            CompletionStatus::NoConnection,
            CompletionStatus::NotSent,
            CompletionStatus::ServerError,
            CompletionStatus::ConnectionLost,
        ] {
            let mut gateway = TestGateway::with_servers(settings.clone(), 3);
            let (_, _, actions) = end_while_suspended(&mut gateway, status);
            assert!(sent_server(&actions).is_none(), "{status:?}");
            assert!(sent_server(&gateway.run_interval()).is_none(), "{status:?}");
        }
    }
}

/// Guards against a request that stays open although its client's repeat may be decided as a new request.
#[test]
fn a_suspended_request_that_never_ran_is_rejected() {
    let mut gateway = TestGateway::with_servers(keyed_settings(), 3);
    let rejected = CompletionStatus::Rejected;
    let (_, _, actions) = end_while_suspended(&mut gateway, rejected);
    assert!(is_rejected(&actions));
    assert_eq!(gateway.inner.open_requests(), 0);
}

/// Guards against a failure of a charge whose repeat could still be served: the client comes back over another connection.
#[test]
fn a_suspended_request_that_may_have_run_is_sent_again_when_its_client_is_back() {
    let mut gateway = TestGateway::with_servers(keyed_settings(), 3);
    let lost = CompletionStatus::ConnectionLost;
    let (id, server, actions) = end_while_suspended(&mut gateway, lost);
    assert!(!is_failed(&actions) && !is_rejected(&actions));
    let next = sent_server(&gateway.handle(Event::Resumed(id)));
    assert!(next.is_some_and(|next| next != server));
}

/// Guards against two attempts out together, and against a client that came back in time and gets no further attempt.
#[test]
fn a_client_that_is_back_before_the_attempt_ends_gets_a_further_one_afterwards() {
    let mut gateway = TestGateway::with_servers(keyed_settings(), 3);
    let (id, actions) = gateway.request("c");
    let server = sent_server(&actions).expect("a ready server is listed");
    gateway.handle(Event::Suspended(id));
    let actions = gateway.handle(Event::Resumed(id));
    assert!(sent_server(&actions).is_none(), "the first one is out");
    let rejected = CompletionStatus::Rejected;
    let actions = gateway.end_attempt_after(id, 0, &server, rejected, ATTEMPT_US);
    assert!(sent_server(&actions).is_some_and(|next| next != server));
}

/// Guards against a repeat beside a server that has forgotten the key.
#[test]
fn a_client_that_is_back_after_the_window_of_its_key_gets_a_failure() {
    let mut gateway = TestGateway::with_servers(keyed_settings(), 3);
    let lost = CompletionStatus::ConnectionLost;
    let (id, _, _) = end_while_suspended(&mut gateway, lost);
    gateway.now += 1_000_000;
    let actions = gateway.handle(Event::Resumed(id));
    assert!(is_failed(&actions) && sent_server(&actions).is_none());
}
