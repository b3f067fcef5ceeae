//! Admission fractions, and how long requests and attempts may take.

use crate::common::{is_rejected, sent_server, unlimited_settings, Rig};
use frosthatch_traffic_control::{Action, CompletionStatus, Event, Micros, Settings, Timer};

/// Serves `n` requests with the given latency, one after another. Returns how many were admitted.
fn serve_requests(rig: &mut Rig, n: usize, latency: Micros) -> usize {
    let mut admitted = 0;
    for _ in 0..n {
        let (id, actions) = rig.request("c");
        if let Some(server) = sent_server(&actions) {
            admitted += 1;
            rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, latency);
            rig.now -= latency;
        }
    }
    admitted
}

#[test]
fn fractions_step_down_while_latency_is_over_its_bound_and_come_back_halfway() {
    let mut rig = Rig::with_servers(unlimited_settings(), 4);
    serve_requests(&mut rig, 20, 100_000);
    rig.interval();
    for _ in 0..3 {
        serve_requests(&mut rig, 200, 900_000);
        rig.interval();
    }
    let low = serve_requests(&mut rig, 1000, 100_000);
    assert!((600..800).contains(&low), "three steps down: {low} of 1000");
    rig.interval();
    let back = serve_requests(&mut rig, 1000, 100_000);
    assert!(
        (850..950).contains(&back),
        "halfway back, on the grid: {back} of 1000"
    );
}

#[test]
fn fractions_recover_from_zero_without_measurements() {
    let mut rig = Rig::with_servers(unlimited_settings(), 4);
    for _ in 0..40 {
        serve_requests(&mut rig, 1000, 900_000);
        rig.interval();
    }
    for _ in 0..6 {
        rig.interval();
    }
    assert_eq!(serve_requests(&mut rig, 100, 100_000), 100);
}

#[test]
fn requests_that_would_be_late_are_rejected_at_once() {
    let mut rig = Rig::with_servers(unlimited_settings(), 2);
    for _ in 0..20 {
        let (id, actions) = rig.request("c");
        rig.end_attempt_after(
            id,
            0,
            &sent_server(&actions).expect("sent"),
            CompletionStatus::Served,
            50_000,
        );
    }
    rig.now -= 1_000_000;
    rig.interval();
    // 20 a second were served: 100 at once would take five seconds.
    let n = (0..100)
        .filter(|_| sent_server(&rig.request("c").1).is_some())
        .count();
    assert!((5..20).contains(&n), "{n} passed");
}

/// One silent server does not take all the time of a request.
#[test]
fn an_attempt_ends_while_another_may_follow() {
    let mut rig = Rig::with_servers(Settings::example(), 3);
    let time_out = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Send { timeout_us, .. } => Some(*timeout_us),
            _ => None,
        })
    };
    let (_, actions) = rig.request("c");
    assert_eq!(
        time_out(&actions),
        Some(1_000_000),
        "nothing is known of what is usual"
    );
    serve_requests(&mut rig, 10, 50_000);
    rig.interval();
    let (id, actions) = rig.request("d");
    let bound = time_out(&actions).expect("it is sent");
    assert!((200_000..=500_000).contains(&bound), "{bound}");
    let server = sent_server(&actions).expect("it is sent");
    let actions = rig.end_attempt_after(id, 0, &server, CompletionStatus::NoAnswer, bound);
    assert!(
        sent_server(&actions).is_some_and(|other| other != server),
        "{actions:?}"
    );
}

/// The answer does not come too late for the client to try elsewhere.
#[test]
fn a_request_that_no_server_can_take_is_answered_before_half_of_its_time_is_over() {
    let mut settings = Settings::example();
    settings.classes[0].late_weight = 1.0;
    let mut rig = Rig::new(settings);
    let (id, actions) = rig.request("c");
    let wait = actions.iter().find_map(|a| match a {
        Action::SetTimer { after_us, timer } if *timer == Timer::Request(id) => Some(*after_us),
        _ => None,
    });
    let wait = wait.expect("it waits for a server");
    assert!((1_000_000..2_000_000).contains(&wait), "{wait}");
    rig.now += wait;
    assert!(is_rejected(&rig.handle(Event::Timer(Timer::Request(id)))));
}
