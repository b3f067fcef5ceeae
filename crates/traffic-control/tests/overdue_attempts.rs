//! Tests of attempts that cannot be cancelled and outlast their timeout: they stay in flight until they end.

mod common;
use common::{is_failed, is_rejected, sent_server, unlimited_settings, TestGateway};
use frosthatch_traffic_control::{
    Action, CompletionStatus, Effect, Event, Micros, RequestId, Scope, Settings, Timer,
};

const TIMEOUT_US: Micros = 100_000;

fn keyed_settings() -> Settings {
    let mut settings = unlimited_settings();
    settings.classes[0].effect = Effect::Keyed {
        scope: Scope::All,
        window_us: 1_000_000,
    };
    settings
}

fn overdue(request: RequestId) -> Event {
    Event::Overdue {
        request,
        attempt: 0,
        elapsed_us: TIMEOUT_US,
    }
}

/// Guards against two attempts of one request out together after the first one's timeout.
#[test]
fn an_overdue_attempt_is_followed_by_another_only_after_it_has_ended() {
    for settings in [unlimited_settings(), keyed_settings()] {
        let mut gateway = TestGateway::with_servers(settings, 3);
        let (id, actions) = gateway.request("c");
        let server = sent_server(&actions).expect("a ready server is listed");
        gateway.now += TIMEOUT_US;
        let actions = gateway.handle(overdue(id));
        assert!(sent_server(&actions).is_none(), "nothing is sent");
        assert!(!is_rejected(&actions) && !is_failed(&actions));
        let lost = CompletionStatus::ConnectionLost;
        let actions = gateway.end_attempt_after(id, 0, &server, lost, TIMEOUT_US);
        assert!(sent_server(&actions).is_some_and(|next| next != server));
    }
}

/// Guards against a refusal, which would say that the request never ran, for an overdue attempt that ends unanswered.
#[test]
fn a_keyed_request_with_an_overdue_attempt_fails_after_the_window_of_its_key() {
    let mut settings = keyed_settings();
    settings.classes[0].effect = Effect::Keyed {
        scope: Scope::Cell,
        window_us: 2 * TIMEOUT_US,
    };
    let mut gateway = TestGateway::with_servers(settings, 3);
    let (id, actions) = gateway.request("c");
    let server = sent_server(&actions).expect("a ready server is listed");
    gateway.now += TIMEOUT_US;
    gateway.handle(overdue(id));
    let lost = CompletionStatus::ConnectionLost;
    let actions = gateway.end_attempt_after(id, 0, &server, lost, 2 * TIMEOUT_US);
    assert!(is_failed(&actions) && !is_rejected(&actions));
    assert!(sent_server(&actions).is_none());
}

/// Guards against a longer wait, and a refusal, for a request that its client may repeat: its answer is of no use after the
/// latency objective.
#[test]
fn a_repeatable_request_with_an_overdue_attempt_fails_at_its_latency_objective() {
    let mut gateway = TestGateway::with_servers(unlimited_settings(), 3);
    let (id, _) = gateway.request("c");
    gateway.now += TIMEOUT_US;
    let actions = gateway.handle(overdue(id));
    let after_us = actions.iter().find_map(|action| match action {
        Action::SetTimer {
            after_us,
            timer: Timer::Request(request),
        } if *request == id => Some(*after_us),
        _ => None,
    });
    let after_us = after_us.expect("a request with an overdue attempt has a timer");
    gateway.now += after_us - 1;
    let timer = || Event::Timer(Timer::Request(id));
    assert!(!is_failed(&gateway.handle(timer())));
    gateway.now += 1;
    let actions = gateway.handle(timer());
    assert!(is_failed(&actions) && !is_rejected(&actions));
}

/// Guards against a failure before the answer is known, where only the answer tells whether the request was executed.
#[test]
fn a_keyed_request_with_an_overdue_attempt_is_held_for_its_client() {
    let mut gateway = TestGateway::with_servers(keyed_settings(), 3);
    let (id, actions) = gateway.request("c");
    let server = sent_server(&actions).expect("a ready server is listed");
    gateway.now += 1_000_000;
    assert!(!is_failed(&gateway.handle(overdue(id))));
    assert!(!is_failed(
        &gateway.handle(Event::Timer(Timer::Request(id)))
    ));
    let served = CompletionStatus::Served;
    let actions = gateway.end_attempt_after(id, 0, &server, served, 1_500_000);
    assert!(!is_failed(&actions));
    assert_eq!(gateway.inner.open_requests(), 0);
}

/// Guards against more attempts out than a customer's plan allows, while its earlier ones lie at a silent server.
#[test]
fn an_overdue_attempt_keeps_its_permit_until_it_ends_although_its_request_is_answered() {
    let mut settings = unlimited_settings();
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    settings.plans[0].max_open = 1;
    let mut gateway = TestGateway::with_servers(settings, 3);
    let (id, actions) = gateway.request("c");
    let server = sent_server(&actions).expect("a ready server is listed");
    gateway.now += TIMEOUT_US;
    gateway.handle(overdue(id));
    gateway.handle(Event::ClientGone(id));
    assert!(
        sent_server(&gateway.request("c").1).is_none(),
        "the only permit is taken"
    );
    gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, TIMEOUT_US);
    assert!(
        sent_server(&gateway.request("c").1).is_some(),
        "the permit is free again"
    );
}

/// Guards against a silent server that looks like load: requests for other servers would be shed.
#[test]
fn an_overdue_attempt_counts_against_its_server_once() {
    let mut gateway = TestGateway::with_servers(unlimited_settings(), 2);
    let (id, actions) = gateway.request("c");
    let server = sent_server(&actions).expect("a ready server is listed");
    gateway.now += TIMEOUT_US;
    gateway.handle(overdue(id));
    let after_overdue = gateway.inner.health_reports();
    gateway.end_attempt_after(id, 0, &server, CompletionStatus::ConnectionLost, TIMEOUT_US);
    assert_eq!(gateway.inner.health_reports(), after_overdue);
}
