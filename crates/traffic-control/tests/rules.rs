//! Tests of what each gateway guarantees on its own: deadlines, effects, draining, slow start and ceilings.

mod common;
use common::{
    count_admitted_by_counter, is_failed, is_rejected, sent_server, unlimited_settings, TestGateway,
};
use frosthatch_traffic_control::{
    Action, AttemptOutcome, Ceiling, CompletionStatus, Effect, Event, Health, ListKind, Micros,
    RequestId, Scope, ServerEntry, ServerId, Settings, Timer,
};

/// Returns settings with a keyed class.
fn keyed_settings(scope: Scope) -> Settings {
    let mut s = unlimited_settings();
    s.classes[0].effect = Effect::Keyed {
        scope,
        window_us: 1_000_000,
    };
    s
}

fn in_cell(server: &str, cell: u64) -> ServerEntry {
    ServerEntry {
        cell,
        ..ServerEntry::ready(server, "a")
    }
}

#[test]
fn a_request_whose_attempt_times_out_at_the_deadline_is_answered() {
    let mut gateway = TestGateway::with_servers(unlimited_settings(), 2);
    let (id, actions) = gateway.request("c");
    let server = sent_server(&actions).expect("a ready server is listed");
    let actions = gateway.end_attempt_after(id, 0, &server, CompletionStatus::NoAnswer, 4_000_000);
    assert!(is_rejected(&actions) && sent_server(&actions).is_none());
    assert_eq!(gateway.inner.open_requests(), 0);
}

#[test]
fn late_weight_decides_whether_a_request_ends_at_its_latency_objective_or_deadline() {
    for (late_weight, expected) in [(0.0, 1_000_000), (0.2, 4_000_000)] {
        let mut settings = unlimited_settings();
        settings.classes[0].late_weight = late_weight;
        let mut gateway = TestGateway::with_servers(settings, 2);
        let (id, actions) = gateway.request("c");
        let server = sent_server(&actions).expect("a ready server is listed");
        let timeout = actions.iter().find_map(|a| match a {
            Action::Send { timeout_us, .. } => Some(*timeout_us),
            _ => None,
        });
        assert_eq!(timeout, Some(expected));
        let actions =
            gateway.end_attempt_after(id, 0, &server, CompletionStatus::NoAnswer, expected);
        assert!(is_rejected(&actions) && sent_server(&actions).is_none());
    }
}

#[test]
fn a_request_waiting_for_servers_is_answered_before_its_client_leaves() {
    let mut gateway = TestGateway::new(unlimited_settings());
    let (id, actions) = gateway.request("c");
    assert!(sent_server(&actions).is_none() && !is_rejected(&actions));
    let timer = actions.iter().find_map(|a| match a {
        Action::SetTimer {
            after_us,
            timer: Timer::Request(r),
        } if *r == id => Some(*after_us),
        _ => None,
    });
    let after = timer.expect("a waiting request has a timer");
    assert!(after < 4_000_000);
    gateway.now += after;
    assert!(is_rejected(
        &gateway.handle(Event::Timer(Timer::Request(id)))
    ));
    assert!(
        !is_rejected(&gateway.handle(Event::Timer(Timer::Request(id)))),
        "a request is answered only once"
    );
}

#[test]
fn a_waiting_request_is_sent_when_a_server_is_listed() {
    let mut gateway = TestGateway::new(unlimited_settings());
    gateway.request("c");
    assert!(sent_server(
        &gateway.update_servers(ListKind::Partial, vec![ServerEntry::ready("s", "a")])
    )
    .is_some());
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_neither_retried_nor_rejected() {
    let mut settings = unlimited_settings();
    settings.classes[0].effect = Effect::Once;
    let mut gateway = TestGateway::with_servers(settings, 3);
    let (id, actions) = gateway.request("c");
    let server = sent_server(&actions).expect("a ready server is listed");
    let actions =
        gateway.end_attempt_after(id, 0, &server, CompletionStatus::ConnectionLost, 1_000);
    assert!(sent_server(&actions).is_none() && !is_rejected(&actions) && is_failed(&actions));
}

#[test]
fn a_non_idempotent_request_that_never_ran_is_retried_elsewhere() {
    let mut settings = unlimited_settings();
    settings.classes[0].effect = Effect::Once;
    let mut gateway = TestGateway::with_servers(settings, 3);
    let (id, actions) = gateway.request("c");
    let server = sent_server(&actions).expect("a ready server is listed");
    let again = sent_server(&gateway.end_attempt_after(
        id,
        0,
        &server,
        CompletionStatus::NoConnection,
        1_000,
    ))
    .expect("another server may take the retry");
    assert_ne!(again, server);
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell() {
    for _ in 0..8 {
        let mut gateway = TestGateway::new(keyed_settings(Scope::Cell));
        gateway.update_servers(
            ListKind::Complete,
            (0..8).map(|i| in_cell(&format!("s{i}"), i / 2)).collect(),
        );
        let (id, actions) = gateway.request("c");
        let server = sent_server(&actions).expect("a ready server is listed");
        let again = sent_server(&gateway.end_attempt_after(
            id,
            0,
            &server,
            CompletionStatus::ServerError,
            1_000,
        ))
        .expect("another server may take the retry");
        let cell = |s: &ServerId| {
            s.0[1..]
                .parse::<u64>()
                .expect("server names end in a number")
                / 2
        };
        assert_eq!(cell(&again), cell(&server));
    }
}

#[test]
fn a_keyed_request_that_may_have_run_is_neither_retried_nor_rejected_after_its_window() {
    let mut gateway = TestGateway::with_servers(keyed_settings(Scope::Cell), 3);
    let (id, actions) = gateway.request("c");
    let server = sent_server(&actions).expect("a ready server is listed");
    let actions =
        gateway.end_attempt_after(id, 0, &server, CompletionStatus::ServerError, 1_000_001);
    assert!(sent_server(&actions).is_none() && is_failed(&actions) && !is_rejected(&actions));
}

#[test]
fn a_request_has_one_attempt_at_a_time_where_parallel_attempts_are_off() {
    let mut settings = unlimited_settings();
    settings.parallel_attempts = false;
    let mut gateway = TestGateway::with_servers(settings, 3);
    let (id, actions) = gateway.request("c");
    assert!(sent_server(&actions).is_some());
    gateway.now += 900_000;
    assert!(sent_server(&gateway.handle(Event::Timer(Timer::Request(id)))).is_none());
}

#[test]
fn nothing_goes_to_a_draining_or_removed_server() {
    let mut gateway = TestGateway::with_servers(unlimited_settings(), 2);
    let drained = ServerEntry {
        health: Health::Draining,
        ..ServerEntry::ready("s0", "a")
    };
    gateway.update_servers(ListKind::Partial, vec![drained]);
    for _ in 0..20 {
        let (_, actions) = gateway.request("c");
        assert_eq!(sent_server(&actions), Some(ServerId("s1".into())));
    }
    gateway.update_servers(ListKind::Complete, vec![ServerEntry::ready("s2", "a")]);
    let (_, actions) = gateway.request("c");
    assert_eq!(sent_server(&actions), Some(ServerId("s2".into())));
}

#[test]
fn an_idle_server_in_slow_start_gets_no_more_than_its_share() {
    let mut gateway = TestGateway::with_servers(unlimited_settings(), 4);
    let cold = ServerEntry {
        started_us: gateway.now,
        ..ServerEntry::ready("cold", "a")
    };
    gateway.update_servers(ListKind::Partial, vec![cold]);
    let mut to_cold = 0;
    for _ in 0..100 {
        let (id, actions) = gateway.request("c");
        let server = sent_server(&actions).expect("a ready server is listed");
        // The other servers do not answer; the one in slow start answers at once and so never has attempts in flight.
        if &*server.0 == "cold" {
            to_cold += 1;
            gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
        }
        gateway.now += 20_000;
    }
    // One of five equal servers would get 20 requests in the two seconds; a fifth of that, its initial share, is four.
    assert!(
        (1..=6).contains(&to_cold),
        "{to_cold} of 100 requests went to the server in slow start, expected 1 to 6"
    );
}

/// The estimated cost of a server in slow start is always higher than that of idle warm servers. If it got no requests for that
/// reason, a restarted server would never warm up.
#[test]
fn a_server_in_slow_start_is_used_though_others_are_idle() {
    let mut gateway = TestGateway::with_servers(
        Settings {
            gateways: 4,
            ..unlimited_settings()
        },
        8,
    );
    let cold = ServerEntry {
        started_us: gateway.now,
        ..ServerEntry::ready("cold", "a")
    };
    gateway.update_servers(ListKind::Partial, vec![cold]);
    for second in 0..5 {
        let mut to_cold = 0;
        for _ in 0..50 {
            gateway.now += 20_000;
            let (id, actions) = gateway.request("c");
            let server = sent_server(&actions).expect("a ready server is listed");
            to_cold += u32::from(&*server.0 == "cold");
            gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
        }
        assert!(
            to_cold >= 1 || second == 0,
            "the server in slow start got no request in second {second}"
        );
        // Eight servers and a fifth of one (`initial_share`) get 50 requests a second: about six each, 1.2 in slow start.
        assert!(
            to_cold <= 3,
            "the server in slow start got {to_cold} requests in second {second}, limit 3"
        );
    }
}

/// Latencies grow with queues: if the share of a server in slow start depended on them, it would shrink under load, when the
/// server is needed most.
#[test]
fn a_server_in_slow_start_keeps_its_share_while_others_are_overloaded() {
    let mut gateway = TestGateway::with_servers(
        Settings {
            gateways: 2,
            ..unlimited_settings()
        },
        3,
    );
    let mut in_flight: Vec<(Micros, RequestId, ServerId, Micros)> = Vec::new();
    // Runs one second with 100 requests, which take `took_us` at warm servers, and returns how many went to the server in slow
    // start. The first second at 400 ms ends with the listing of that server.
    let mut run_second = |took_us: Micros| {
        let mut to_cold = 0;
        for _ in 0..100 {
            let (id, actions) = gateway.request("c");
            let server = sent_server(&actions);
            to_cold += u32::from(server.as_ref().is_some_and(|s| &*s.0 == "cold"));
            in_flight.extend(server.map(|s| {
                let took_us = if &*s.0 == "cold" { 200_000 } else { took_us };
                (gateway.now + took_us, id, s, took_us)
            }));
            gateway.now += 10_000;
            let now = gateway.now;
            for (_, id, server, took_us) in in_flight.extract_if(.., |h| h.0 <= now) {
                let outcome =
                    AttemptOutcome::new(id, 0, server, CompletionStatus::Served, took_us).closing();
                gateway.handle(Event::Outcome(outcome));
            }
        }
        gateway.handle(Event::Timer(Timer::Interval));
        if took_us == 400_000 && to_cold == 0 {
            let cold = ServerEntry {
                started_us: gateway.now,
                ..ServerEntry::ready("cold", "a")
            };
            gateway.update_servers(ListKind::Partial, vec![cold]);
        }
        to_cold
    };
    for _ in 0..4 {
        run_second(40_000);
    }
    let to_cold_by_second: Vec<u32> = (0..4).map(|_| run_second(400_000)).collect();
    // A warm server completed 33 requests a second: a fifth of that is 7, and all gateways together may send three times as
    // much.
    assert!(
        to_cold_by_second[1..].iter().all(|n| (6..=20).contains(n)),
        "requests to the server in slow start by second: {to_cold_by_second:?}; expected 6 to 20"
    );
}

fn settings_with_ceiling() -> Settings {
    let mut s = unlimited_settings();
    s.gateways = 2;
    s.plans[0].ceiling = Some(Ceiling {
        rate: 10.0,
        depth: 20.0,
    });
    s
}

/// Returns how many of `tries` requests are admitted by a gateway whose customer uses two gateways.
fn count_admitted(gateway: &mut TestGateway, tries: usize) -> usize {
    count_admitted_by_counter(gateway, 2, tries, &mut 0.0)
}

#[test]
fn a_restart_creates_no_second_ceiling_burst() {
    let mut gateway = TestGateway::with_servers(settings_with_ceiling(), 2);
    assert_eq!(
        count_admitted(&mut gateway, 50),
        0,
        "the ceiling slice of a gateway that has just started is empty"
    );
    gateway.now += 1_000_000;
    assert_eq!(
        count_admitted(&mut gateway, 50),
        5,
        "the slice accrues half of the ceiling's rate"
    );
    gateway.now += 60_000_000;
    assert_eq!(
        count_admitted(&mut gateway, 50),
        10,
        "the slice holds half of the ceiling's depth"
    );
}

#[test]
fn no_message_raises_the_ceiling_slice() {
    let mut settings = settings_with_ceiling();
    settings.peer_messages = true;
    settings.peer_messages_per_s = 100.0;
    settings.has_counter = true;
    let mut gateway = TestGateway::with_servers(settings, 2);
    // Quota requests and grants with arbitrary contents, from this gateway and others.
    for k in 0..200u8 {
        gateway.now += 10_000;
        gateway.handle(Event::Peer {
            from: u32::from(k % 4),
            bytes: [
                &[3 + k % 2][..],
                &[k; 10],
                &[k; 1][..usize::from(1 - k % 2)],
            ]
            .concat(),
        });
    }
    // Despite these messages and a negative total of the counter, the slice admits half of the depth.
    assert_eq!(
        count_admitted_by_counter(&mut gateway, 2, 50, &mut -1e9),
        10
    );
}
