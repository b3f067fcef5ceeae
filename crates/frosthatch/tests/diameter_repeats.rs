//! The gateway binary with Diameter: a repeat of a request that is in flight or was answered is never refused as not
//! executed, whatever else the gateway refuses.

mod common;
#[path = "common/diameter_site.rs"]
mod diameter_site;

use common::*;
use diameter_site::*;
use frosthatch_diameter::codec::{flag, Avp, Message};
use frosthatch_diameter::dictionary::{code, result};
use frosthatch_test_doubles::diameter::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Instant;

/// Requested-Action of a charge.
const CHARGE: u32 = 0;

const SERVER: &str = "s1.example.org";

/// Starts a site whose one server holds its requests until the returned flag is set, and a client.
fn start_holding_site() -> (DiameterServer, Arc<AtomicBool>, Site, DiameterClient) {
    let is_released = Arc::new(AtomicBool::new(true));
    let released = is_released.clone();
    let server = DiameterServer::new(SERVER, move |ccr| {
        (released.load(Ordering::SeqCst)).then(|| success_answer(ccr, SERVER))
    });
    let site = start_site(&diameter_entry("s1", &server, 0, "Ready"), "");
    let mut client = DiameterClient::new(site.address, "till.example.org");
    until_served(&mut client);
    server.drain_request_count();
    (server, is_released, site, client)
}

fn as_repeat(request: &Message) -> Message {
    let mut repeat = request.clone();
    repeat.header.flags |= flag::RETRANSMITTED;
    repeat
}

/// Answers a held request on the connection to the gateway.
fn answer_held(server: &DiameterServer, held: &Message) {
    let answer = success_answer(held, SERVER).encode();
    for stream in server.streams.lock().expect("not poisoned").iter_mut() {
        let _ = stream.write_all(&answer);
    }
}

/// Sends new requests until one is refused.
fn until_refused(client: &mut DiameterClient) {
    let since = Instant::now();
    while client.exchange(&event_request(CHARGE)).result_code() != Some(result::TOO_BUSY) {
        assert!(since.elapsed() < TIMEOUT, "new requests are refused");
    }
}

/// Guards against a charge that is run, refused as not executed when its client repeats it during a shutdown, and then sent to
/// another gateway.
#[test]
fn a_repeat_during_a_shutdown_gets_the_answer_and_only_new_requests_are_refused() {
    let (server, is_released, mut site, mut client) = start_holding_site();
    let answered = event_request(CHARGE);
    assert_eq!(
        client.exchange(&answered).result_code(),
        Some(result::SUCCESS)
    );
    let mut bystander = DiameterClient::new(site.address, "till.example.org");
    is_released.store(false, Ordering::SeqCst);
    server.drain_request_count();
    let in_flight = event_request(CHARGE);
    client.send(&in_flight);
    let held = server.next_request();
    site.gateway.terminate();
    // The connection breaks, and its client comes again.
    drop(client);
    is_released.store(true, Ordering::SeqCst);
    until_refused(&mut bystander);
    server.drain_request_count();
    let mut client = DiameterClient::new(site.address, "till.example.org");
    let repeated = client.exchange(&as_repeat(&answered));
    assert_eq!(repeated.result_code(), Some(result::SUCCESS), "answered");
    client.send(&as_repeat(&in_flight));
    let refused = client.exchange(&event_request(CHARGE));
    assert_eq!(
        refused.result_code(),
        Some(result::TOO_BUSY),
        "the repeat of the request in flight waits, and a new request is refused"
    );
    answer_held(&server, &held);
    let joined = client.next_message().expect("the repeat is answered");
    assert_eq!(
        (joined.result_code(), joined.header.end_to_end),
        (Some(result::SUCCESS), in_flight.header.end_to_end)
    );
    assert_eq!(server.drain_request_count(), 0, "nothing is sent again");
    assert!(site.gateway.wait_for_exit().success());
}

/// Guards against the same refusal when the requests in flight take all the memory that they may: a 32nd of 32 MB, which 17
/// requests of 60 kB fill.
#[test]
fn a_repeat_is_not_refused_when_requests_in_flight_take_too_many_bytes() {
    let (server, is_released, site, mut client) = start_holding_site();
    let answered = event_request(CHARGE);
    assert_eq!(
        client.exchange(&answered).result_code(),
        Some(result::SUCCESS)
    );
    is_released.store(false, Ordering::SeqCst);
    let long_avp = Avp {
        code: 9_999,
        flags: 0,
        vendor: Some(7),
        data: vec![0; 60_000].into(),
    };
    let long = || event_request(CHARGE).with_avp(long_avp.clone());
    let in_flight = long();
    client.send(&in_flight);
    let held = loop {
        let held = server.next_request();
        if held.header.end_to_end == in_flight.header.end_to_end {
            break held;
        }
    };
    (0..20).for_each(|_| client.send(&long()));
    let refused = client.next_message().expect("a request is refused");
    assert_eq!(refused.result_code(), Some(result::TOO_BUSY));
    let mut second = DiameterClient::new(site.address, "till.example.org");
    let long_repeat = as_repeat(&answered).with_avp(long_avp.clone());
    assert_eq!(
        second.exchange(&long_repeat).result_code(),
        Some(result::SUCCESS),
        "answered"
    );
    second.send(&as_repeat(&in_flight));
    answer_held(&server, &held);
    let joined = second.next_message().expect("the repeat is answered");
    assert_eq!(
        (joined.result_code(), joined.text(code::ORIGIN_HOST)),
        (Some(result::SUCCESS), Some(SERVER))
    );
}
