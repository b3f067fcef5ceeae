//! Fleets that are too large to compare all servers for each request.

mod common;
use common::{count_sends_one_by_one, sent_server, unlimited_settings, Rig};
use frosthatch_traffic_control::{
    CompletionStatus, Effect, Health, ListKind, Scope, ServerEntry, ServerId,
};
use std::collections::BTreeMap;

const MANY: usize = 2_000;

/// One request a millisecond, each answered 10 ms later.
fn count_sends_by_server(rig: &mut Rig, requests: usize) -> BTreeMap<ServerId, usize> {
    count_sends_one_by_one(rig, requests, 1_000, 10_000)
}

#[test]
fn requests_spread_over_many_servers() {
    let mut rig = Rig::with_servers(unlimited_settings(), MANY);
    let counts = count_sends_by_server(&mut rig, 5 * MANY);
    // At random 1 in 150 gets none where each gets five on average, and none gets many.
    assert!(counts.len() > MANY * 97 / 100, "{}", counts.len());
    assert!(
        counts.values().max() < Some(&20),
        "{:?}",
        counts.values().max()
    );
}

/// The least loaded server is chosen, also where only some are compared.
#[test]
fn busy_servers_get_few_requests() {
    let mut rig = Rig::with_servers(unlimited_settings(), MANY);
    let mut busy = std::collections::BTreeSet::new();
    // Half of them have one request each in flight.
    while busy.len() < MANY / 2 {
        let (_, actions) = rig.request("c");
        busy.insert(sent_server(&actions).expect("sent"));
    }
    let counts = count_sends_by_server(&mut rig, MANY);
    let to_busy: usize = counts
        .iter()
        .filter(|(s, _)| busy.contains(s))
        .map(|(_, n)| n)
        .sum();
    assert!(to_busy < MANY / 20, "{to_busy}");
}

#[test]
fn nothing_goes_to_draining_servers_however_many_they_are() {
    let mut rig = Rig::with_servers(unlimited_settings(), MANY);
    let draining = |n: usize| !n.is_multiple_of(20);
    let entries = (0..MANY).filter(|&n| draining(n)).map(|n| ServerEntry {
        health: Health::Draining,
        ..ServerEntry::ready(&format!("s{n}"), "a")
    });
    rig.update_servers(ListKind::Partial, entries.collect());
    for server in count_sends_by_server(&mut rig, 1_000).keys() {
        let n: usize = server.0[1..].parse().expect("a number");
        assert!(!draining(n), "{n}");
    }
}

/// A retry goes to the one cell that drops repeats, also where none of the compared servers belongs to it.
#[test]
fn a_retry_finds_the_one_other_server_that_drops_repeats() {
    let mut settings = unlimited_settings();
    settings.classes[0].effect = Effect::Keyed {
        scope: Scope::Cell,
        window_us: 1_000_000,
    };
    let mut rig = Rig::new(settings);
    let entries = (0..MANY).map(|n| ServerEntry {
        cell: n as u64 / 2,
        ..ServerEntry::ready(&format!("s{n}"), "a")
    });
    rig.update_servers(ListKind::Complete, entries.collect());
    for _ in 0..5 {
        let (id, actions) = rig.request("c");
        let first = sent_server(&actions).expect("sent");
        let second = sent_server(&rig.end_attempt_after(
            id,
            0,
            &first,
            CompletionStatus::ConnectionLost,
            1_000,
        ))
        .expect("sent again");
        let cell = |s: &ServerId| s.0[1..].parse::<u64>().expect("a number") / 2;
        assert_eq!(cell(&first), cell(&second));
        assert_ne!(first, second, "the other one of the cell is tried first");
        rig.end_attempt_after(id, 1, &second, CompletionStatus::Served, 1_000);
    }
}

/// A server in slow start is protected among many servers as among few.
#[test]
fn a_server_in_slow_start_among_many_gets_no_more_than_its_share() {
    let mut settings = unlimited_settings();
    settings.gateways = 2;
    settings.slow_start.initial_share = 0.25;
    let mut rig = Rig::with_servers(settings, MANY);
    let mut cold = ServerEntry::ready("cold", "a");
    cold.started_us = rig.now;
    rig.update_servers(ListKind::Partial, vec![cold]);
    let counts = count_sends_by_server(&mut rig, 3_000);
    let to_cold = counts.get(&ServerId("cold".into())).copied().unwrap_or(0);
    // Three seconds and 30 s of work: a warm server gets one or two.
    assert!(to_cold <= 4, "{to_cold}");
}
