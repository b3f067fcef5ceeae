//! Rules that one gateway keeps by itself: deadlines, effects, draining, slow start and ceilings.

mod common;
use common::{
    count_admitted_by_counter, is_failed, is_rejected, sent_server, unlimited_settings, Rig,
};
use frosthatch_traffic_control::{
    Action, AttemptOutcome, Ceiling, CompletionStatus, Effect, Event, Health, ListKind, Micros,
    RequestId, Scope, ServerEntry, ServerId, Settings, Timer,
};

fn keyed(scope: Scope) -> Settings {
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
fn a_time_out_at_the_deadline_is_still_answered() {
    let mut rig = Rig::with_servers(unlimited_settings(), 2);
    let (id, actions) = rig.request("c");
    let server = sent_server(&actions).expect("sent");
    let actions = rig.end_attempt_after(id, 0, &server, CompletionStatus::NoAnswer, 4_000_000);
    assert!(is_rejected(&actions) && sent_server(&actions).is_none());
    assert_eq!(rig.gateway.open_requests(), 0);
}

#[test]
fn without_late_value_the_latency_objective_ends_attempt_and_request() {
    for (late_worth, expected) in [(0.0, 1_000_000), (0.2, 4_000_000)] {
        let mut settings = unlimited_settings();
        settings.classes[0].late_weight = late_worth;
        let mut rig = Rig::with_servers(settings, 2);
        let (id, actions) = rig.request("c");
        let server = sent_server(&actions).expect("sent");
        let timeout = actions.iter().find_map(|a| match a {
            Action::Send { timeout_us, .. } => Some(*timeout_us),
            _ => None,
        });
        assert_eq!(timeout, Some(expected));
        let actions = rig.end_attempt_after(id, 0, &server, CompletionStatus::NoAnswer, expected);
        assert!(is_rejected(&actions) && sent_server(&actions).is_none());
    }
}

#[test]
fn a_request_waiting_for_servers_is_answered_before_its_client_leaves() {
    let mut rig = Rig::new(unlimited_settings());
    let (id, actions) = rig.request("c");
    assert!(sent_server(&actions).is_none() && !is_rejected(&actions));
    let timer = actions.iter().find_map(|a| match a {
        Action::SetTimer {
            after_us,
            timer: Timer::Request(r),
        } if *r == id => Some(*after_us),
        _ => None,
    });
    let after = timer.expect("a held request needs a timer");
    assert!(after < 4_000_000);
    rig.now += after;
    assert!(is_rejected(&rig.handle(Event::Timer(Timer::Request(id)))));
    assert!(
        !is_rejected(&rig.handle(Event::Timer(Timer::Request(id)))),
        "one answer only"
    );
}

#[test]
fn a_waiting_request_is_sent_when_a_server_is_listed() {
    let mut rig = Rig::new(unlimited_settings());
    rig.request("c");
    assert!(sent_server(
        &rig.update_servers(ListKind::Partial, vec![ServerEntry::ready("s", "a")])
    )
    .is_some());
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_neither_retried_nor_rejected() {
    let mut settings = unlimited_settings();
    settings.classes[0].effect = Effect::Once;
    let mut rig = Rig::with_servers(settings, 3);
    let (id, actions) = rig.request("c");
    let server = sent_server(&actions).expect("sent");
    let actions = rig.end_attempt_after(id, 0, &server, CompletionStatus::ConnectionLost, 1_000);
    assert!(sent_server(&actions).is_none() && !is_rejected(&actions) && is_failed(&actions));
}

#[test]
fn a_non_idempotent_request_that_never_ran_is_retried_elsewhere() {
    let mut settings = unlimited_settings();
    settings.classes[0].effect = Effect::Once;
    let mut rig = Rig::with_servers(settings, 3);
    let (id, actions) = rig.request("c");
    let server = sent_server(&actions).expect("sent");
    let again =
        sent_server(&rig.end_attempt_after(id, 0, &server, CompletionStatus::NoConnection, 1_000))
            .expect("sent again");
    assert_ne!(again, server);
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell() {
    for _ in 0..8 {
        let mut rig = Rig::new(keyed(Scope::Cell));
        rig.update_servers(
            ListKind::Complete,
            (0..8).map(|i| in_cell(&format!("s{i}"), i / 2)).collect(),
        );
        let (id, actions) = rig.request("c");
        let server = sent_server(&actions).expect("sent");
        let again = sent_server(&rig.end_attempt_after(
            id,
            0,
            &server,
            CompletionStatus::ServerError,
            1_000,
        ))
        .expect("sent again");
        let cell = |s: &ServerId| s.0[1..].parse::<u64>().expect("number") / 2;
        assert_eq!(cell(&again), cell(&server));
    }
}

#[test]
fn a_keyed_request_is_not_retried_after_its_window_nor_rejected_outside_one_group() {
    let mut rig = Rig::with_servers(keyed(Scope::Cell), 3);
    let (id, actions) = rig.request("c");
    let server = sent_server(&actions).expect("sent");
    let actions = rig.end_attempt_after(id, 0, &server, CompletionStatus::ServerError, 1_000_001);
    assert!(sent_server(&actions).is_none() && is_failed(&actions) && !is_rejected(&actions));
}

#[test]
fn never_two_attempts_at_once_where_that_is_forbidden() {
    let mut settings = unlimited_settings();
    settings.parallel_attempts = false;
    let mut rig = Rig::with_servers(settings, 3);
    let (id, actions) = rig.request("c");
    assert!(sent_server(&actions).is_some());
    rig.now += 900_000;
    assert!(sent_server(&rig.handle(Event::Timer(Timer::Request(id)))).is_none());
}

#[test]
fn nothing_goes_to_a_draining_or_removed_server() {
    let mut rig = Rig::with_servers(unlimited_settings(), 2);
    let drained = ServerEntry {
        health: Health::Draining,
        ..ServerEntry::ready("s0", "a")
    };
    rig.update_servers(ListKind::Partial, vec![drained]);
    for _ in 0..20 {
        let (_, actions) = rig.request("c");
        assert_eq!(sent_server(&actions), Some(ServerId("s1".into())));
    }
    rig.update_servers(ListKind::Complete, vec![ServerEntry::ready("s2", "a")]);
    let (_, actions) = rig.request("c");
    assert_eq!(sent_server(&actions), Some(ServerId("s2".into())));
}

#[test]
fn an_idle_server_in_slow_start_gets_no_more_than_its_share() {
    let mut rig = Rig::with_servers(unlimited_settings(), 4);
    let cold = ServerEntry {
        started_us: rig.now,
        ..ServerEntry::ready("cold", "a")
    };
    rig.update_servers(ListKind::Partial, vec![cold]);
    let mut to_cold = 0;
    for _ in 0..100 {
        let (id, actions) = rig.request("c");
        let server = sent_server(&actions).expect("sent");
        // The others do not answer; the server in slow start answers at once and always looks idle.
        if &*server.0 == "cold" {
            to_cold += 1;
            rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
        }
        rig.now += 20_000;
    }
    // A fifth of what one of five equal servers would get in the two seconds is four.
    assert!(
        (1..=6).contains(&to_cold),
        "{to_cold} of 100 went to the cold server"
    );
}

/// A restarted server does not stay unused, and so never warm up: beside idle servers one in slow start always looks
/// expensive.
#[test]
fn a_server_in_slow_start_is_used_though_others_are_idle() {
    let mut rig = Rig::with_servers(
        Settings {
            gateways: 4,
            ..unlimited_settings()
        },
        8,
    );
    let cold = ServerEntry {
        started_us: rig.now,
        ..ServerEntry::ready("cold", "a")
    };
    rig.update_servers(ListKind::Partial, vec![cold]);
    for second in 0..5 {
        let mut to_cold = 0;
        for _ in 0..50 {
            rig.now += 20_000;
            let (id, actions) = rig.request("c");
            let server = sent_server(&actions).expect("sent");
            to_cold += u32::from(&*server.0 == "cold");
            rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
        }
        assert!(to_cold >= 1 || second == 0, "nothing in second {second}");
        // 50 a second over eight and a fifth.
        assert!(
            to_cold <= 3,
            "{to_cold} in second {second}: no more than its share"
        );
    }
}

/// Latencies grow with queues: if the share of a server in slow start went by them, it would shrink when it is needed most.
#[test]
fn a_server_in_slow_start_keeps_its_share_while_others_are_overloaded() {
    let mut rig = Rig::with_servers(
        Settings {
            gateways: 2,
            ..unlimited_settings()
        },
        3,
    );
    let mut held: Vec<(Micros, RequestId, ServerId, Micros)> = Vec::new();
    // A second of 100 requests at this latency of warm servers; returns how many of them went to the cold one.
    let mut second = |took: Micros| {
        let mut to_cold = 0;
        for _ in 0..100 {
            let (id, actions) = rig.request("c");
            let server = sent_server(&actions);
            to_cold += u32::from(server.as_ref().is_some_and(|s| &*s.0 == "cold"));
            held.extend(server.map(|s| {
                let took = if &*s.0 == "cold" { 200_000 } else { took };
                (rig.now + took, id, s, took)
            }));
            rig.now += 10_000;
            let now = rig.now;
            for (_, id, server, took) in held.extract_if(.., |h| h.0 <= now) {
                let outcome =
                    AttemptOutcome::new(id, 0, server, CompletionStatus::Served, took).closing();
                rig.handle(Event::Outcome(outcome));
            }
        }
        rig.handle(Event::Timer(Timer::Interval));
        if took == 400_000 && to_cold == 0 {
            let cold = ServerEntry {
                started_us: rig.now,
                ..ServerEntry::ready("cold", "a")
            };
            rig.update_servers(ListKind::Partial, vec![cold]);
        }
        to_cold
    };
    for _ in 0..4 {
        second(40_000);
    }
    let slow: Vec<u32> = (0..4).map(|_| second(400_000)).collect();
    // A warm server did 33 a second: a fifth of that is 7, and the rule allows three times as much for all
    // gateways together.
    assert!(slow[1..].iter().all(|n| (6..=20).contains(n)), "{slow:?}");
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

fn admitted(rig: &mut Rig, tries: usize) -> usize {
    count_admitted_by_counter(rig, 2, tries, &mut 0.0)
}

#[test]
fn a_restart_creates_no_second_ceiling_burst() {
    let mut rig = Rig::with_servers(settings_with_ceiling(), 2);
    assert_eq!(
        admitted(&mut rig, 50),
        0,
        "a gateway that has just started owns nothing of the ceiling"
    );
    rig.now += 1_000_000;
    assert_eq!(
        admitted(&mut rig, 50),
        5,
        "half of the ceiling's rate for a second"
    );
    rig.now += 60_000_000;
    assert_eq!(admitted(&mut rig, 50), 10, "half of the ceiling's depth");
}

#[test]
fn no_message_raises_the_ceiling_slice() {
    let mut settings = settings_with_ceiling();
    settings.peer_messages = true;
    settings.peer_messages_per_s = 100.0;
    settings.has_counter = true;
    let mut rig = Rig::with_servers(settings, 2);
    for k in 0..200u8 {
        rig.now += 10_000;
        rig.handle(Event::Peer {
            from: u32::from(k % 4),
            bytes: [
                &[3 + k % 2][..],
                &[k; 10],
                &[k; 1][..usize::from(1 - k % 2)],
            ]
            .concat(),
        });
    }
    assert_eq!(count_admitted_by_counter(&mut rig, 2, 50, &mut -1e9), 10);
}
