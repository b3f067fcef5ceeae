//! The gateway binary with Diameter: nothing is begun for a request whose client has closed its connection, until the client
//! repeats it over another one.

mod common;
#[path = "common/diameter_site.rs"]
mod diameter_site;
#[path = "common/holding_server.rs"]
mod holding_server;

use common::*;
use diameter_site::*;
use frosthatch_diameter::codec::{flag, Avp, Message};
use frosthatch_diameter::dictionary::{code, result};
use frosthatch_test_doubles::diameter::*;
use holding_server::*;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Requested-Action of a charge and of a check.
const CHARGE: u32 = 0;
const CHECK: u32 = 2;
/// Time in which a further attempt would have begun: well over the 0.1 s after a close within which one may.
const QUIET_PERIOD: Duration = Duration::from_millis(500);

struct Departure {
    servers: [HoldingServer; 2],
    site: Site,
    events: Receiver<String>,
}

impl Departure {
    /// Two servers of one cell, which hold their requests.
    fn new() -> Departure {
        let servers = ["a.example.org", "b.example.org"].map(HoldingServer::new);
        let entries = pair_entries(&servers[0].server, &servers[1].server, 0);
        let (site, events) = start_site_with_events(&entries, "");
        let mut client = DiameterClient::new(site.address, "till.example.org");
        until_served(&mut client);
        for holding in &servers {
            holding.is_holding.store(true, Ordering::SeqCst);
            holding.server.drain_request_count();
        }
        Departure {
            servers,
            site,
            events,
        }
    }

    fn connect(&self) -> DiameterClient {
        DiameterClient::new(self.site.address, "till.example.org")
    }

    fn next_held(&self) -> (Message, &HoldingServer, &HoldingServer) {
        next_held(&self.servers[0], &self.servers[1])
    }

    /// Sends a request over a connection of its own and closes it when a server has the request. Returns the request as
    /// the server has it, the server, and the other one.
    fn send_and_leave(&self, request: &Message) -> (Message, &HoldingServer, &HoldingServer) {
        let mut client = self.connect();
        client.send(request);
        let held = self.next_held();
        drop(client);
        self.wait_for_event("request.suspended");
        held
    }

    fn wait_for_event(&self, event: &str) {
        let since = Instant::now();
        loop {
            assert!(since.elapsed() < TIMEOUT, "the gateway logs {event}");
            let line = self.events.recv_timeout(TIMEOUT);
            if line.is_ok_and(|line| line.contains(event)) {
                return;
            }
        }
    }

    fn assert_nothing_is_sent(&self) {
        sleep(QUIET_PERIOD);
        for holding in &self.servers {
            assert_eq!(holding.server.drain_request_count(), 0, "{}", holding.host);
        }
    }
}

fn repeat_of(request: &Message) -> Message {
    let mut repeat = request.clone();
    repeat.header.flags |= flag::RETRANSMITTED;
    repeat
}

/// Guards against a debit that nobody waits for: the first server turns it away after its client has left.
#[test]
fn a_request_that_is_turned_away_after_its_client_left_is_not_sent_again() {
    let departure = Departure::new();
    for action in [CHARGE, CHECK] {
        let (held, server, _) = departure.send_and_leave(&event_request(action));
        server.answer_with(&held, result::TOO_BUSY);
        departure.assert_nothing_is_sent();
    }
}

/// Guards against a debit that nobody waits for: the connection to the first server ends after the client has left.
#[test]
fn a_request_whose_server_is_lost_after_its_client_left_is_sent_again_only_for_its_repeat() {
    let departure = Departure::new();
    let charge = event_request(CHARGE);
    let (_, server, other) = departure.send_and_leave(&charge);
    server.server.close_connections();
    departure.assert_nothing_is_sent();
    other.is_holding.store(false, Ordering::SeqCst);
    let answer = departure.connect().exchange(&repeat_of(&charge));
    assert_eq!(answer.result_code(), Some(result::SUCCESS));
    assert_eq!(answer.text(code::ORIGIN_HOST), Some(other.host));
    let sent = other.server.next_request();
    assert_ne!(sent.header.flags & flag::RETRANSMITTED, 0, "may have run");
}

/// Guards against a client that is back in time and gets no further attempt.
#[test]
fn a_repeat_gets_a_further_attempt_when_the_first_is_turned_away() {
    let departure = Departure::new();
    let charge = event_request(CHARGE);
    let (held, server, other) = departure.send_and_leave(&charge);
    let mut client = departure.connect();
    client.send(&repeat_of(&charge));
    departure.wait_for_event("request.resumed");
    other.is_holding.store(false, Ordering::SeqCst);
    server.answer_with(&held, result::TOO_BUSY);
    let answer = client.next_message().expect("the repeat is answered");
    assert_eq!(answer.result_code(), Some(result::SUCCESS));
    assert_eq!(other.server.drain_request_count(), 1);
}

/// Guards against a first attempt for a client that left while the gateway waited for the counter.
#[test]
fn a_charge_whose_client_leaves_before_its_first_attempt_is_never_sent() {
    const CUSTOMERS: u64 = 20;
    const FIRST_CUSTOMER: u64 = 4_512_340_000;
    let server = DiameterServer::granting("a.example.org");
    let counter =
        ScriptedCounter::new(|_, _| Some((Duration::from_millis(150), "ok 3".to_string())));
    let customers = FIRST_CUSTOMER..FIRST_CUSTOMER + CUSTOMERS;
    let plans: String = customers
        .clone()
        .map(|customer| format!("\"{customer}\" = \"small\"\n"))
        .collect();
    let counter_address = counter.address;
    let site = start_site_with_config(
        &diameter_entry("a", &server, 0, "Ready"),
        &format!("[diameter.plans]\n{plans}"),
        |config| {
            config
                .replace(
                    "\"counter\":null",
                    &format!("\"counter\":\"{counter_address}\""),
                )
                .replace("\"balancers\":1", "\"balancers\":2")
        },
    );
    until_served(&mut DiameterClient::new(site.address, "other.example.org"));
    server.drain_request_count();
    // The first customers' requests may be decided before the connection to the counter is up.
    let called_for_charge = customers.into_iter().any(|customer| {
        let session = format!("till.example.org;{customer}");
        let charge = with_customer(
            credit_control_request(&session, 4, 0),
            &customer.to_string(),
        );
        let charge = with_units(charge, 3).with_avp(Avp::of_u32(code::REQUESTED_ACTION, CHARGE));
        let mut client = DiameterClient::new(site.address, "till.example.org");
        client.send(&charge);
        let is_called = counter
            .lines
            .recv_timeout(Duration::from_millis(100))
            .is_ok();
        drop(client);
        sleep(QUIET_PERIOD);
        if !is_called {
            server.drain_request_count();
        }
        is_called
    });
    assert!(called_for_charge, "the counter is asked for a charge");
    assert_eq!(server.drain_request_count(), 0, "no charge is sent");
}
