//! Tests with more servers than a gateway compares for each request.

mod common;
use common::{count_sends_one_by_one, sent_server, unlimited_settings, TestGateway};
use frosthatch_traffic_control::{
    CompletionStatus, Effect, Health, ListKind, Scope, ServerEntry, ServerId,
};
use std::collections::BTreeMap;

const SERVERS: usize = 2_000;

/// Sends requests one at a time, each 1 ms after the previous answer and answered 10 ms later, and returns how many went to
/// each server.
fn count_sends_by_server(gateway: &mut TestGateway, requests: usize) -> BTreeMap<ServerId, usize> {
    count_sends_one_by_one(gateway, requests, 1_000, 10_000)
}

#[test]
fn requests_spread_over_many_servers() {
    let mut gateway = TestGateway::with_servers(unlimited_settings(), SERVERS);
    let counts = count_sends_by_server(&mut gateway, 5 * SERVERS);
    // With five requests on average and a random choice, 1 server in 150 gets none, and no server gets many.
    assert!(
        counts.len() > SERVERS * 97 / 100,
        "{} of 2,000 servers got requests, minimum 97 percent",
        counts.len()
    );
    assert!(
        counts.values().max() < Some(&20),
        "no server gets 20 requests: {:?}",
        counts.values().max()
    );
}

/// The least loaded of the compared servers is chosen, even where a gateway compares only some.
#[test]
fn busy_servers_get_few_requests() {
    let mut gateway = TestGateway::with_servers(unlimited_settings(), SERVERS);
    let mut busy = std::collections::BTreeSet::new();
    // Half of the servers have a request in flight.
    while busy.len() < SERVERS / 2 {
        let (_, actions) = gateway.request("c");
        busy.insert(sent_server(&actions).expect("ready servers are listed"));
    }
    let counts = count_sends_by_server(&mut gateway, SERVERS);
    let to_busy: usize = counts
        .iter()
        .filter(|(s, _)| busy.contains(s))
        .map(|(_, n)| n)
        .sum();
    assert!(
        to_busy < SERVERS / 20,
        "{to_busy} of 2,000 requests went to busy servers, limit is 5 percent"
    );
}

#[test]
fn no_requests_go_to_draining_servers_however_many_there_are() {
    let mut gateway = TestGateway::with_servers(unlimited_settings(), SERVERS);
    let draining = |n: usize| !n.is_multiple_of(20);
    let entries = (0..SERVERS).filter(|&n| draining(n)).map(|n| ServerEntry {
        health: Health::Draining,
        ..ServerEntry::ready(&format!("s{n}"), "a")
    });
    gateway.update_servers(ListKind::Partial, entries.collect());
    for server in count_sends_by_server(&mut gateway, 1_000).keys() {
        let n: usize = server.0[1..].parse().expect("server names end in a number");
        assert!(!draining(n), "server s{n} drains and got a request");
    }
}

/// A retry goes to the only cell that drops repeats, even where none of the compared servers belongs to it.
#[test]
fn a_retry_finds_the_one_other_server_that_drops_repeats() {
    let mut settings = unlimited_settings();
    settings.classes[0].effect = Effect::Keyed {
        scope: Scope::Cell,
        window_us: 1_000_000,
    };
    let mut gateway = TestGateway::new(settings);
    let entries = (0..SERVERS).map(|n| ServerEntry {
        cell: n as u64 / 2,
        ..ServerEntry::ready(&format!("s{n}"), "a")
    });
    gateway.update_servers(ListKind::Complete, entries.collect());
    for _ in 0..5 {
        let (id, actions) = gateway.request("c");
        let first = sent_server(&actions).expect("ready servers are listed");
        let second = sent_server(&gateway.end_attempt_after(
            id,
            0,
            &first,
            CompletionStatus::ConnectionLost,
            1_000,
        ))
        .expect("the cell has another server");
        let cell = |s: &ServerId| {
            s.0[1..]
                .parse::<u64>()
                .expect("server names end in a number")
                / 2
        };
        assert_eq!(cell(&first), cell(&second));
        assert_ne!(
            first, second,
            "the retry goes to the other server of the cell"
        );
        gateway.end_attempt_after(id, 1, &second, CompletionStatus::Served, 1_000);
    }
}

/// Among many servers, too, a server in slow start gets no more than its share.
#[test]
fn a_server_in_slow_start_among_many_gets_no_more_than_its_share() {
    let mut settings = unlimited_settings();
    settings.gateways = 2;
    settings.slow_start.initial_share = 0.25;
    let mut gateway = TestGateway::with_servers(settings, SERVERS);
    let mut cold = ServerEntry::ready("cold", "a");
    cold.started_us = gateway.now;
    gateway.update_servers(ListKind::Partial, vec![cold]);
    let counts = count_sends_by_server(&mut gateway, 3_000);
    let to_cold = counts.get(&ServerId("cold".into())).copied().unwrap_or(0);
    // 3,000 requests, with 3 s of pauses and 30 s of work: one of 2,000 warm servers gets one or two.
    assert!(
        to_cold <= 4,
        "{to_cold} requests went to the server in slow start, limit 4"
    );
}
