//! The gateway binary with Diameter: a request has at most one attempt out, which is over when the server has answered or
//! the connection has ended.

mod common;
#[path = "common/diameter_site.rs"]
mod diameter_site;
#[path = "common/holding_server.rs"]
mod holding_server;

use common::*;
use diameter_site::*;
use frosthatch_diameter::codec::flag;
use frosthatch_diameter::dictionary::{code, result};
use frosthatch_test_doubles::diameter::*;
use holding_server::*;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Requested-Action of a charge and of a check.
const CHARGE: u32 = 0;
const CHECK: u32 = 2;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Sends requests until both servers have answered some for longer than a control interval, so that the gateway knows the
/// usual latency and gives attempts a time limit.
fn warm_up(client: &mut DiameterClient, servers: [&HoldingServer; 2]) {
    let since = Instant::now();
    let mut answered = [0, 0];
    while since.elapsed() < Duration::from_millis(1_200) || answered.contains(&0) {
        assert!(since.elapsed() < TIMEOUT, "both servers serve requests");
        for action in [CHARGE, CHECK] {
            let answer = client.exchange(&event_request(action));
            for (count, server) in answered.iter_mut().zip(servers) {
                *count += usize::from(answer.text(code::ORIGIN_HOST) == Some(server.host));
            }
        }
        sleep(POLL_INTERVAL);
    }
    for holding in servers {
        holding.server.drain_request_count();
    }
}

/// Two servers of one cell, which hold their requests from now on, and a client.
fn start_holding_site(
    more: &str,
) -> (
    HoldingServer,
    HoldingServer,
    Site,
    DiameterClient,
    Receiver<String>,
) {
    let a = HoldingServer::new("a.example.org");
    let b = HoldingServer::new("b.example.org");
    let (site, events) = start_site_with_events(&pair_entries(&a.server, &b.server, 0), more);
    let mut client = DiameterClient::new(site.address, "till.example.org");
    warm_up(&mut client, [&a, &b]);
    for holding in [&a, &b] {
        holding.is_holding.store(true, Ordering::SeqCst);
    }
    (a, b, site, client, events)
}

/// Waits for the event; fails if a second copy of the request comes to a server before.
fn wait_for_event(events: &Receiver<String>, event: &str, servers: [&HoldingServer; 2]) {
    let since = Instant::now();
    loop {
        assert!(since.elapsed() < TIMEOUT, "the gateway logs {event}");
        for holding in servers {
            assert_eq!(
                holding.server.drain_request_count(),
                0,
                "no second copy is sent while the first is out"
            );
        }
        let is_found = |line: String| line.contains(event);
        if events.recv_timeout(POLL_INTERVAL).is_ok_and(is_found) {
            return;
        }
    }
}

/// Guards against a second attempt beside one that reached its time limit: the connection stays open, and the server runs
/// the first copy later.
#[test]
fn a_request_that_times_out_is_not_sent_again_while_its_server_has_it() {
    for action in [CHARGE, CHECK] {
        let (a, b, _site, mut client, events) = start_holding_site("");
        let request = event_request(action);
        client.send(&request);
        let (held, server, other) = next_held(&a, &b);
        wait_for_event(&events, "attempt.overdue", [&a, &b]);
        server.answer(&held);
        let answer = client.next_message().expect("the gateway answers once");
        assert_eq!(
            (answer.header.end_to_end, answer.text(code::ORIGIN_HOST)),
            (request.header.end_to_end, Some(server.host)),
            "the client gets the late answer"
        );
        assert_eq!(other.server.drain_request_count(), 0);
    }
}

/// Guards against a refusal, or a second attempt for a repeat, when the client's time is over and the server still has the
/// request.
#[test]
fn a_request_that_is_out_at_its_deadline_fails_as_possibly_executed_and_its_repeat_is_not_sent() {
    for action in [CHARGE, CHECK] {
        let (a, b, _site, mut client, _events) = start_holding_site("");
        let mut request = event_request(action);
        client.send(&request);
        let _ = next_held(&a, &b);
        let answer = client.next_message().expect("the gateway answers once");
        assert_eq!(answer.result_code(), Some(result::UNABLE_TO_COMPLY));
        request.header.flags |= flag::RETRANSMITTED;
        let repeated = client.exchange(&request);
        assert_eq!(repeated.result_code(), Some(result::UNABLE_TO_COMPLY));
        for holding in [&a, &b] {
            assert_eq!(holding.server.drain_request_count(), 0);
        }
    }
}

/// Guards against a second attempt when the watchdog suspects a server, whose connection still lasts for an interval.
#[test]
fn a_request_of_a_suspected_server_is_sent_again_only_after_its_connection_has_ended() {
    let (a, b, _site, mut client, _events) = start_holding_site("tw_ms = 300\n");
    client.send(&event_request(CHARGE));
    let (_, server, other) = next_held(&a, &b);
    server
        .server
        .answers_watchdogs
        .store(false, Ordering::SeqCst);
    // The client answers the gateway's watchdog while it waits.
    let answer = thread::spawn(move || client.next_message());
    let copy = other.server.next_request();
    assert!(
        server.is_disconnected(),
        "the connection that carries the first copy has ended"
    );
    assert!(copy.header.has_any_flag(flag::RETRANSMITTED));
    other.answer(&copy);
    let answer = answer.join().expect("no panic");
    let answer = answer.expect("the gateway answers once");
    assert_eq!(answer.result_code(), Some(result::SUCCESS));
}

/// Guards against a second attempt for the repeat of a check that was cancelled with its client's connection.
#[test]
fn a_repeated_check_whose_client_reconnects_joins_the_one_that_a_server_has() {
    let (a, b, site, mut client, events) = start_holding_site("");
    let mut check = event_request(CHECK);
    client.send(&check);
    let (held, server, _) = next_held(&a, &b);
    drop(client);
    let mut client = DiameterClient::new(site.address, "till.example.org");
    check.header.flags |= flag::RETRANSMITTED;
    client.send(&check);
    wait_for_event(&events, "attempt.overdue", [&a, &b]);
    server.answer(&held);
    let answer = client.next_message().expect("the gateway answers once");
    assert_eq!(
        (answer.result_code(), answer.text(code::ORIGIN_HOST)),
        (Some(result::SUCCESS), Some(server.host))
    );
}
