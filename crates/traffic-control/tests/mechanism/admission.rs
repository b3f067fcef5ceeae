//! Tests of admission fractions and of the time limits of requests and attempts.

use crate::common::{is_rejected, sent_server, unlimited_settings, TestGateway};
use frosthatch_traffic_control::{Action, CompletionStatus, Event, Micros, Settings, Timer};

/// Sends `n` requests, serves the admitted ones with this latency at an unchanged clock, and returns how many were admitted.
fn serve_requests(gateway: &mut TestGateway, n: usize, latency: Micros) -> usize {
    let mut admitted = 0;
    for _ in 0..n {
        let (id, actions) = gateway.request("c");
        if let Some(server) = sent_server(&actions) {
            admitted += 1;
            gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, latency);
            gateway.now -= latency;
        }
    }
    admitted
}

#[test]
fn fractions_step_down_while_latency_exceeds_its_bound_and_recover_by_half() {
    let mut gateway = TestGateway::with_servers(unlimited_settings(), 4);
    serve_requests(&mut gateway, 20, 100_000);
    gateway.run_interval();
    for _ in 0..3 {
        serve_requests(&mut gateway, 200, 900_000);
        gateway.run_interval();
    }
    let low = serve_requests(&mut gateway, 1000, 100_000);
    assert!(
        (600..800).contains(&low),
        "after three steps down {low} of 1000 requests are admitted, expected 600 to 799"
    );
    gateway.run_interval();
    let back = serve_requests(&mut gateway, 1000, 100_000);
    assert!(
        (850..950).contains(&back),
        "after a recovery by half, rounded to a step, {back} of 1000 requests are admitted, expected 850 to 949"
    );
}

#[test]
fn fractions_recover_from_zero_without_measurements() {
    let mut gateway = TestGateway::with_servers(unlimited_settings(), 4);
    for _ in 0..40 {
        serve_requests(&mut gateway, 1000, 900_000);
        gateway.run_interval();
    }
    for _ in 0..6 {
        gateway.run_interval();
    }
    assert_eq!(serve_requests(&mut gateway, 100, 100_000), 100);
}

#[test]
fn requests_that_would_be_late_are_rejected_at_once() {
    let mut gateway = TestGateway::with_servers(unlimited_settings(), 2);
    for _ in 0..20 {
        let (id, actions) = gateway.request("c");
        gateway.end_attempt_after(
            id,
            0,
            &sent_server(&actions).expect("a ready server is listed"),
            CompletionStatus::Served,
            50_000,
        );
    }
    gateway.now -= 1_000_000;
    gateway.run_interval();
    // The servers completed 20 requests a second: 100 at once would take five seconds.
    let n = (0..100)
        .filter(|_| sent_server(&gateway.request("c").1).is_some())
        .count();
    assert!(
        (5..20).contains(&n),
        "{n} of 100 requests admitted, expected 5 to 19"
    );
}

/// A server that does not answer must not use up all the time of a request.
#[test]
fn an_attempt_times_out_while_there_is_time_for_another() {
    let mut gateway = TestGateway::with_servers(Settings::example(), 3);
    let sent_timeout = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Send { timeout_us, .. } => Some(*timeout_us),
            _ => None,
        })
    };
    let (_, actions) = gateway.request("c");
    assert_eq!(
        sent_timeout(&actions),
        Some(1_000_000),
        "without measured latencies the timeout is the latency objective"
    );
    serve_requests(&mut gateway, 10, 50_000);
    gateway.run_interval();
    let (id, actions) = gateway.request("d");
    let attempt_timeout_us = sent_timeout(&actions).expect("a ready server is listed");
    assert!(
        (200_000..=500_000).contains(&attempt_timeout_us),
        "attempt timeout of {attempt_timeout_us} us, expected 200,000 to 500,000"
    );
    let server = sent_server(&actions).expect("a ready server is listed");
    let actions = gateway.end_attempt_after(
        id,
        0,
        &server,
        CompletionStatus::NoAnswer,
        attempt_timeout_us,
    );
    assert!(
        sent_server(&actions).is_some_and(|other| other != server),
        "{actions:?}"
    );
}

/// The answer comes early enough for the client to try another gateway.
#[test]
fn a_request_that_no_server_can_take_is_answered_before_half_of_its_time_is_over() {
    let mut settings = Settings::example();
    settings.classes[0].late_weight = 1.0;
    let mut gateway = TestGateway::new(settings);
    let (id, actions) = gateway.request("c");
    let wait = actions.iter().find_map(|a| match a {
        Action::SetTimer { after_us, timer } if *timer == Timer::Request(id) => Some(*after_us),
        _ => None,
    });
    let wait = wait.expect("the request waits for a server");
    assert!(
        (1_000_000..2_000_000).contains(&wait),
        "the timer is due after {wait} us, expected 1,000,000 to 1,999,999"
    );
    gateway.now += wait;
    assert!(is_rejected(
        &gateway.handle(Event::Timer(Timer::Request(id)))
    ));
}
