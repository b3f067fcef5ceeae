//! The gateway binary with Diameter credit control between client and server test doubles.

mod common;
#[path = "common/diameter_site.rs"]
mod diameter_site;

use common::*;
use diameter_site::*;
use frosthatch_diameter::codec::{flag, Avp, Message};
use frosthatch_diameter::dictionary::{code, command, result};
use frosthatch_test_doubles::diameter::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Starts a server of each protocol, a gateway whose one customer is on `plan`, and a Diameter client. The last
/// value is the customer's key for HTTP requests.
fn both_protocols(plan: &str) -> (DiameterServer, Server, Site, DiameterClient, String) {
    let (server, http_server) = (
        DiameterServer::granting("s1.example.org"),
        Server::new(|_| ok("web")),
    );
    let list = [
        diameter_entry("s1", &server, 0, "Ready"),
        endpoint_entry("w1", http_server.address, 0, "Ready"),
    ]
    .join(",");
    let site = start_site(
        &list,
        &format!("[diameter.plans]\n\"4512345678\" = \"{plan}\"\n"),
    );
    let client = DiameterClient::new(site.address, "till.example.org");
    (
        server,
        http_server,
        site,
        client,
        format!("{:016x}", 4_512_345_678u64),
    )
}

#[test]
fn an_event_reaches_a_server_and_its_answer_has_the_clients_ids() {
    let server = DiameterServer::granting("s1.example.org");
    let site = start_site(&diameter_entry("s1", &server, 0, "Ready"), "");
    let mut client = DiameterClient::new(site.address, "till.example.org");
    until_served(&mut client);
    server.drain_request_count();
    let unknown = Avp {
        code: 9_999,
        flags: 0x80,
        vendor: Some(7),
        data: vec![1, 2, 3].into(),
    };
    let ccr = event_request(0).with_avp(unknown.clone());
    let cca = client.exchange(&ccr);
    assert_eq!(
        (cca.result_code(), cca.header.has_any_flag(flag::REQUEST)),
        (Some(result::SUCCESS), false)
    );
    assert_eq!(
        (cca.header.hop_by_hop, cca.header.end_to_end),
        (ccr.header.hop_by_hop, ccr.header.end_to_end)
    );
    assert_eq!(cca.text(code::ORIGIN_HOST), Some("s1.example.org"));
    let forwarded = server.next_request();
    assert_eq!(forwarded.header.end_to_end, ccr.header.end_to_end);
    assert_eq!(
        forwarded.avps[..ccr.avps.len()],
        ccr.avps[..],
        "the forwarded AVPs are the client's, in the same order"
    );
    assert_eq!(forwarded.text(code::ROUTE_RECORD), Some("till.example.org"));
}

#[test]
fn http_and_diameter_requests_of_one_customer_draw_on_one_quota() {
    let (server, _web, site, mut client, key) = both_protocols("small");
    // The plan has 6 units and refills very slowly: four units are used over HTTP.
    let http_request = || {
        ClientRequest::check()
            .with_header("X-Api-Key", &key)
            .with_header("X-Tier", "small")
            .with_header("X-Call-Terms", "units=4,spread=1,first=0")
    };
    assert_eq!(site.gateway.request(&http_request()).body, "web");
    let refused = client.exchange(&with_units(event_request(0), 3));
    assert_eq!(
        (
            refused.result_code(),
            refused.header.has_any_flag(flag::ERROR)
        ),
        (Some(result::TOO_BUSY), true)
    );
    assert!(refused
        .text(code::ERROR_MESSAGE)
        .is_some_and(|t| t.contains("come back in")));
    assert_eq!(server.drain_request_count(), 0);
    // Two units are left, for either protocol.
    let since = Instant::now();
    while client
        .exchange(&with_units(event_request(0), 2))
        .result_code()
        != Some(result::SUCCESS)
    {
        assert!(
            since.elapsed() < TIMEOUT,
            "the remaining two units are granted"
        );
    }
    assert_eq!(site.gateway.request(&http_request()).status(), 429);
}

/// The class is keyed: a request that may have run is repeated only in the server's own cell, with the T flag
/// set.
#[test]
fn a_debit_whose_server_disconnects_is_repeated_in_its_cell_with_t_set() {
    for (cell, result) in [(0, result::SUCCESS), (1, result::UNABLE_TO_COMPLY)] {
        let cutting = Arc::new(AtomicBool::new(false));
        let (cuts, host) = (cutting.clone(), "a.example.org");
        let a = DiameterServer::new(host, move |ccr| {
            (!cuts.load(Ordering::SeqCst)).then(|| success_answer(ccr, host))
        });
        let b = DiameterServer::granting("b.example.org");
        let site = start_site(&pair_entries(&a, &b, cell), "");
        let mut client = DiameterClient::new(site.address, "till.example.org");
        let wait_for_server = |client: &mut DiameterClient, host: &str| {
            let since = Instant::now();
            while client.exchange(&event_request(2)).text(code::ORIGIN_HOST) != Some(host) {
                assert!(since.elapsed() < TIMEOUT, "server {host} serves a request");
            }
        };
        wait_for_server(&mut client, "a.example.org");
        wait_for_server(&mut client, "b.example.org");
        a.drain_request_count();
        b.drain_request_count();
        cutting.store(true, Ordering::SeqCst);
        // Sends debits until one is outstanding at server a.
        let since = Instant::now();
        loop {
            assert!(since.elapsed() < TIMEOUT, "a debit is sent to server a");
            let debit = event_request(0);
            client.send(&debit);
            match a.requests.recv_timeout(Duration::from_millis(200)) {
                Ok(forwarded) => {
                    assert_eq!(forwarded.header.end_to_end, debit.header.end_to_end);
                    a.close_connections();
                    assert_eq!(
                        client
                            .next_message()
                            .expect("the gateway answers once")
                            .result_code(),
                        Some(result),
                        "cell {cell}"
                    );
                    let repeats: Vec<Message> = b
                        .requests
                        .try_iter()
                        .filter(|m| m.header.end_to_end == debit.header.end_to_end)
                        .collect();
                    assert_eq!(repeats.len(), usize::from(cell == 0));
                    assert!(repeats
                        .iter()
                        .all(|m| m.header.has_any_flag(flag::RETRANSMITTED)));
                    break;
                }
                Err(_) => drop(client.next_message()),
            }
        }
    }
}

#[test]
fn a_session_stays_with_its_server_and_a_draining_server_gets_no_new_request() {
    let (a, b) = (
        DiameterServer::granting("a.example.org"),
        DiameterServer::granting("b.example.org"),
    );
    let site = start_site(&pair_entries(&a, &b, 0), "");
    let mut client = DiameterClient::new(site.address, "till.example.org");
    until_served(&mut client);
    let opened = client.exchange(&initial_request("till;1;s"));
    let session_host = opened
        .text(code::ORIGIN_HOST)
        .expect("the answer has an Origin-Host")
        .to_string();
    for n in 1..6 {
        assert_eq!(
            client
                .exchange(&credit_control_request("till;1;s", 2, n))
                .text(code::ORIGIN_HOST),
            Some(session_host.as_str())
        );
    }
    let (server, uid) = if session_host.starts_with('a') {
        (&a, "a")
    } else {
        (&b, "b")
    };
    site.discovery
        .publish_and_wait(false, &diameter_entry(uid, server, 0, "Terminating"));
    server.drain_request_count();
    // The session may not move: the rule on draining servers has precedence, and the update is sent nowhere.
    let lost = client.exchange(&credit_control_request("till;1;s", 2, 6));
    assert_eq!(
        (lost.result_code(), server.drain_request_count()),
        (Some(result::UNABLE_TO_DELIVER), 0)
    );
    // New sessions open at the other server.
    for n in 0..5 {
        let other = client.exchange(&initial_request(&format!("till;2;{n}")));
        assert_eq!(other.result_code(), Some(result::SUCCESS));
        assert_ne!(other.text(code::ORIGIN_HOST), Some(session_host.as_str()));
    }
    assert_eq!(server.drain_request_count(), 0);
}

/// Credit-Control-Failure-Handling 2 is RETRY_AND_TERMINATE, 0 is TERMINATE. The second keyed server is in the
/// first one's cell.
#[test]
fn an_outstanding_update_of_a_lost_server_follows_failure_handling() {
    for (handling, results) in [(2, result::SUCCESS), (0, result::UNABLE_TO_COMPLY)] {
        let silent = Arc::new(AtomicBool::new(false));
        let a = start_server_with_failover("a.example.org", handling, silent.clone());
        let site = start_site(&diameter_entry("a", &a, 0, "Ready"), "tw_ms = 500\n");
        let mut client = DiameterClient::new(site.address, "till.example.org");
        until_served(&mut client);
        assert_eq!(
            client.exchange(&initial_request("till;1;f")).result_code(),
            Some(result::SUCCESS)
        );
        let b = start_server_with_failover("b.example.org", handling, Arc::default());
        site.discovery
            .publish_and_wait(false, &diameter_entry("b", &b, 0, "Ready"));
        let since = Instant::now();
        while client.exchange(&event_request(2)).text(code::ORIGIN_HOST) != Some("b.example.org") {
            assert!(since.elapsed() < TIMEOUT, "server b serves a request");
        }
        b.drain_request_count();
        a.drain_request_count();
        silent.store(true, Ordering::SeqCst);
        a.answers_watchdogs.store(false, Ordering::SeqCst);
        client.send(&credit_control_request("till;1;f", 2, 1));
        assert!(!a.next_request().header.has_any_flag(flag::RETRANSMITTED));
        let cca = client.next_message().expect("the gateway answers once");
        assert_eq!(cca.result_code(), Some(results));
        let repeats_at_b: Vec<Message> = b.requests.try_iter().collect();
        let retransmitted = repeats_at_b
            .iter()
            .all(|m| m.header.has_any_flag(flag::RETRANSMITTED));
        assert_eq!(
            (repeats_at_b.len(), retransmitted),
            (usize::from(handling == 2), true)
        );
    }
}

/// With CC-Session-Failover the server allows its sessions to move.
#[test]
fn a_session_that_may_move_continues_at_another_server_when_its_server_leaves() {
    let (a, b) = (
        start_server_with_failover("a.example.org", 1, Arc::default()),
        start_server_with_failover("b.example.org", 1, Arc::default()),
    );
    let site = start_site(&pair_entries(&a, &b, 0), "");
    let mut client = DiameterClient::new(site.address, "till.example.org");
    until_served(&mut client);
    let opened = client.exchange(&initial_request("till;1;m"));
    let session_host = opened
        .text(code::ORIGIN_HOST)
        .expect("the answer has an Origin-Host")
        .to_string();
    if session_host.starts_with('a') {
        &a
    } else {
        &b
    }
    .send_disconnect_requests();
    let since = Instant::now();
    let mut n = 0;
    loop {
        n += 1;
        let cca = client.exchange(&credit_control_request("till;1;m", 2, n));
        assert_eq!(cca.result_code(), Some(result::SUCCESS));
        if cca.text(code::ORIGIN_HOST) != Some(session_host.as_str()) {
            break;
        }
        assert!(
            since.elapsed() < TIMEOUT,
            "the session moves to the other server"
        );
    }
}

/// The watchdog detects a silent server: its outstanding requests move as their class allows, and a late answer
/// is dropped.
#[test]
fn outstanding_requests_move_from_a_server_that_misses_watchdogs() {
    let mute = Arc::new(AtomicBool::new(false));
    let (muted, host) = (mute.clone(), "a.example.org");
    let a = DiameterServer::new(host, move |ccr| {
        (!muted.load(Ordering::SeqCst)).then(|| success_answer(ccr, host))
    });
    let site = start_site(&diameter_entry("a", &a, 0, "Ready"), "tw_ms = 500\n");
    let mut client = DiameterClient::new(site.address, "till.example.org");
    until_served(&mut client);
    let b = DiameterServer::granting("b.example.org");
    mute.store(true, Ordering::SeqCst);
    a.answers_watchdogs.store(false, Ordering::SeqCst);
    a.drain_request_count();
    let debit = event_request(0);
    client.send(&debit);
    let held = a.next_request();
    site.discovery
        .publish_and_wait(false, &diameter_entry("b", &b, 0, "Ready"));
    let cca = client.next_message().expect("the gateway answers once");
    assert_eq!(cca.header.end_to_end, debit.header.end_to_end);
    assert_eq!(
        (cca.result_code(), cca.text(code::ORIGIN_HOST)),
        (Some(result::SUCCESS), Some("b.example.org"))
    );
    // The first server answers late.
    for s in a
        .streams
        .lock()
        .expect("no thread panics while it holds the streams")
        .iter_mut()
    {
        let _ = s.write_all(&success_answer(&held, host).encode());
    }
    assert_eq!(
        client.exchange(&event_request(2)).text(code::ORIGIN_HOST),
        Some("b.example.org"),
        "the late answer is dropped"
    );
}

/// The watchdog doesn't cover requests: a check that is not answered in time is tried at another server, and so
/// is a charge within the same cell, within the client's time.
#[test]
fn requests_are_answered_although_a_server_answers_only_watchdogs() {
    let mute = DiameterServer::new("mute.example.org", |_| None);
    let b = DiameterServer::granting("b.example.org");
    let site = start_site(
        &[
            diameter_entry("mute", &mute, 0, "Ready"),
            diameter_entry("b", &b, 0, "Ready"),
        ]
        .join(","),
        "tw_ms = 300\n",
    );
    let mut client = DiameterClient::new(site.address, "till.example.org");
    until_served(&mut client);
    let (mut requests_at_silent, start) = (0, Instant::now());
    // The silent server may have been left out for some seconds because it was not connected yet.
    for (n, action) in [0, 2].into_iter().cycle().enumerate() {
        assert!(
            start.elapsed() < TIMEOUT,
            "the silent server receives a request"
        );
        sleep(Duration::from_millis(10));
        let ccr = event_request(action);
        let since = Instant::now();
        let cca = client.exchange(&ccr);
        assert_eq!(cca.header.end_to_end, ccr.header.end_to_end);
        // A check (action 2) may be refused with TOO_BUSY; a charge that may have run ends with SUCCESS or
        // UNABLE_TO_COMPLY.
        let allowed = match cca.result_code() {
            Some(result::SUCCESS | result::UNABLE_TO_COMPLY) => true,
            code => action == 2 && code == Some(result::TOO_BUSY),
        };
        assert!(allowed, "{action}: {:?}", cca.result_code());
        assert!(
            since.elapsed() < Duration::from_secs(8),
            "the request is answered within its deadline"
        );
        requests_at_silent += mute.drain_request_count();
        if n >= 3 && requests_at_silent > 0 {
            return;
        }
    }
}

#[test]
fn a_repeat_through_another_connection_joins_or_gets_the_same_answer() {
    let release = Arc::new(AtomicBool::new(false));
    let (released, host) = (release.clone(), "a.example.org");
    let a = DiameterServer::new(host, move |ccr| {
        while ccr.u32_value(code::REQUESTED_ACTION) == Some(0) && !released.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(5));
        }
        Some(success_answer(ccr, host))
    });
    let site = start_site(&diameter_entry("a", &a, 0, "Ready"), "");
    let (mut first_client, mut second_client) = (
        DiameterClient::new(site.address, "till.example.org"),
        DiameterClient::new(site.address, "till.example.org"),
    );
    until_served(&mut first_client);
    a.drain_request_count();
    let debit = event_request(0);
    first_client.send(&debit);
    a.next_request();
    let mut again = debit.clone();
    again.header.flags |= flag::RETRANSMITTED;
    again.header.hop_by_hop = 7;
    second_client.send(&again);
    sleep(Duration::from_millis(100));
    release.store(true, Ordering::SeqCst);
    let (first, second) = (
        first_client
            .next_message()
            .expect("the gateway answers the request"),
        second_client
            .next_message()
            .expect("the gateway answers the request"),
    );
    assert_eq!(
        (first.result_code(), second.result_code()),
        (Some(result::SUCCESS), Some(result::SUCCESS))
    );
    assert_eq!(
        (first.header.hop_by_hop, second.header.hop_by_hop),
        (debit.header.hop_by_hop, 7)
    );
    assert_eq!(
        second_client.exchange(&again).result_code(),
        Some(result::SUCCESS)
    );
    assert_eq!(a.drain_request_count(), 0, "the debit runs once");
    // The same End-to-End id from another client is another request.
    let mut other = event_request(0);
    other.header.end_to_end = debit.header.end_to_end;
    other.avps[1] = Avp::of_text(code::ORIGIN_HOST, "kiosk.example.org");
    assert_eq!(
        second_client.exchange(&other).result_code(),
        Some(result::SUCCESS)
    );
    assert_eq!(a.drain_request_count(), 1);
}

#[test]
fn a_restarted_server_has_lost_its_sessions() {
    let a = DiameterServer::granting("a.example.org");
    let site = start_site(&diameter_entry("a", &a, 0, "Ready"), "tw_ms = 300\n");
    let mut client = DiameterClient::new(site.address, "till.example.org");
    until_served(&mut client);
    assert_eq!(
        client.exchange(&initial_request("till;1;r")).result_code(),
        Some(result::SUCCESS)
    );
    assert_eq!(
        client
            .exchange(&credit_control_request("till;1;r", 2, 1))
            .result_code(),
        Some(result::SUCCESS)
    );
    a.state_id.store(2, Ordering::SeqCst);
    a.close_connections();
    until_served(&mut client);
    assert_eq!(
        client
            .exchange(&credit_control_request("till;1;r", 2, 2))
            .result_code(),
        Some(result::UNKNOWN_SESSION_ID)
    );
}

/// A balance check of this customer.
fn check_of(customer_number: &str) -> Message {
    with_customer(credit_control_request("till;check", 4, 0), customer_number)
        .with_avp(Avp::of_u32(code::REQUESTED_ACTION, 2))
}

#[test]
fn a_protocol_violation_closes_its_own_connection_and_no_other() {
    let a = DiameterServer::granting("a.example.org");
    let site = start_site(&diameter_entry("a", &a, 0, "Ready"), "");
    let mut good = DiameterClient::new(site.address, "till.example.org");
    until_served(&mut good);
    // A message length of 16 MB, another protocol, and a request before the capabilities exchange; then a
    // truncated message and a close.
    for bytes in [
        &b"\x01\xff\xff\xff"[..],
        b"GET / HTTP/1.1\r\n\r\n",
        &event_request(0).encode(),
    ] {
        let mut bad = DiameterClient::connect(site.address);
        let _ = bad.stream.write_all(bytes);
        assert!(bad.next_message().is_none(), "the connection is closed");
    }
    let mut half = DiameterClient::new(site.address, "till.example.org");
    let _ = half.stream.write_all(&event_request(0).encode()[..40]);
    drop(half);
    // An AVP that overruns its group, an answer without a request, a second capabilities exchange.
    let mut peer = DiameterClient::new(site.address, "odd.example.org");
    let mut avp = Avp::of_group(
        code::SUBSCRIPTION_ID,
        &[Avp::of_u32(code::SUBSCRIPTION_ID_TYPE, 0)],
    );
    let mut data = avp.data.to_vec();
    data[7] = 40;
    avp.data = data.into();
    assert_eq!(
        peer.exchange(&event_request(0).with_avp(avp)).result_code(),
        Some(result::INVALID_AVP_LENGTH)
    );
    let mut stray = event_request(0).answer();
    stray.header.hop_by_hop = 424_242;
    peer.send(&stray);
    assert_eq!(
        peer.exchange(&capabilities_exchange_request("odd.example.org"))
            .result_code(),
        Some(result::UNABLE_TO_COMPLY)
    );
    let back = event_request(0).with_avp(Avp::of_text(code::ROUTE_RECORD, "gw.example.org"));
    assert_eq!(
        peer.exchange(&back).result_code(),
        Some(result::LOOP_DETECTED)
    );
    // 2,000 requests at once are each answered.
    let many: Vec<Message> = (0..2_000).map(|_| event_request(2)).collect();
    let mut writer = peer.stream.try_clone().expect("the socket is open");
    let bytes: Vec<u8> = many.iter().flat_map(Message::encode).collect();
    let handle = thread::spawn(move || writer.write_all(&bytes));
    let mut answered: Vec<u32> = many
        .iter()
        .map(|_| peer.next_message().expect("all answered").header.end_to_end)
        .collect();
    handle.join().expect("no panic").expect("all are read");
    answered.sort_unstable();
    assert_eq!(
        answered,
        many.iter().map(|m| m.header.end_to_end).collect::<Vec<_>>()
    );
    // The 2,000 requests have used up the quota of their customer.
    assert_eq!(
        good.exchange(&check_of("4512345679")).result_code(),
        Some(result::SUCCESS)
    );
}

/// A client that disconnects ends its request; the server receives nothing more for it.
#[test]
fn a_client_that_disconnects_with_an_outstanding_request_affects_no_other() {
    let host = "a.example.org";
    let a = DiameterServer::new(host, move |ccr| {
        (ccr.u32_value(code::REQUESTED_ACTION) == Some(2)).then(|| success_answer(ccr, host))
    });
    let site = start_site(&diameter_entry("a", &a, 0, "Ready"), "");
    let mut client = DiameterClient::new(site.address, "till.example.org");
    until_served(&mut client);
    a.drain_request_count();
    let debit = event_request(0);
    client.send(&debit);
    a.next_request();
    drop(client);
    let mut client = DiameterClient::new(site.address, "till.example.org");
    assert_eq!(
        client.exchange(&event_request(2)).result_code(),
        Some(result::SUCCESS)
    );
    assert!(a
        .requests
        .try_iter()
        .all(|m| m.header.end_to_end != debit.header.end_to_end));
}

/// Guards against a charge that runs in two places: cancelled with its client, and repeated elsewhere.
#[test]
fn a_debit_continues_without_its_client_and_its_repeat_gets_the_answer() {
    let host = "a.example.org";
    let a = DiameterServer::new(host, move |ccr| {
        if ccr.u32_value(code::REQUESTED_ACTION) == Some(0) {
            sleep(Duration::from_millis(600));
        }
        Some(success_answer(ccr, host))
    });
    let site = start_site(&diameter_entry("a", &a, 0, "Ready"), "");
    let mut client = DiameterClient::new(site.address, "till.example.org");
    until_served(&mut client);
    a.drain_request_count();
    let mut debit = event_request(0);
    client.send(&debit);
    a.next_request();
    drop(client);
    let mut client = DiameterClient::new(site.address, "till.example.org");
    debit.header.flags |= flag::RETRANSMITTED;
    assert_eq!(client.exchange(&debit).result_code(), Some(result::SUCCESS));
    assert_eq!(a.drain_request_count(), 0, "the debit runs once");
}

/// Held requests are answered, then both peers receive a Disconnect-Peer-Request with its cause, then the
/// process exits.
#[test]
fn sigterm_answers_held_requests_and_disconnects_peers() {
    let host = "a.example.org";
    let a = DiameterServer::new(host, move |ccr| {
        if ccr.u32_value(code::REQUESTED_ACTION) == Some(0) {
            sleep(Duration::from_millis(800));
        }
        Some(success_answer(ccr, host))
    });
    let mut site = start_site(&diameter_entry("a", &a, 0, "Ready"), "");
    let mut client = DiameterClient::new(site.address, "till.example.org");
    until_served(&mut client);
    a.drain_request_count();
    let debit = event_request(0);
    client.send(&debit);
    a.next_request();
    site.gateway.terminate();
    let cca = client
        .next_message()
        .expect("the gateway answers the request");
    assert_eq!(
        (cca.header.end_to_end, cca.result_code()),
        (debit.header.end_to_end, Some(result::SUCCESS))
    );
    let dpr = client
        .next_message()
        .expect("the peer receives a Disconnect-Peer-Request");
    assert_eq!(
        (dpr.header.command, dpr.u32_value(code::DISCONNECT_CAUSE)),
        (command::DISCONNECT_PEER, Some(0))
    );
    client.send(&answer_with_result(
        &dpr,
        "till.example.org",
        result::SUCCESS,
    ));
    assert!(site.gateway.wait_for_exit().success());
}

/// HTTP and Diameter requests together stay under the ceiling of one customer's plan.
#[test]
fn a_ceiling_holds_under_both_protocols_together() {
    let (_server, _web, site, mut client, key) = both_protocols("capped");
    // The ceiling allows 10 units a second and 20 units at once; a restarted gateway starts with none of them.
    let since = Instant::now();
    let mut served = [0.0, 0.0];
    while since.elapsed() < Duration::from_secs(3) {
        let http_request = ClientRequest::check()
            .with_header("X-Api-Key", &key)
            .with_header("X-Tier", "capped");
        served[0] += f64::from(u8::from(
            site.gateway
                .request(&http_request.with_header("X-Call-Terms", "units=2,spread=1,first=0"))
                .status()
                == 200,
        )) * 2.0;
        served[1] += f64::from(u8::from(
            client
                .exchange(&with_units(event_request(0), 2))
                .result_code()
                == Some(result::SUCCESS),
        )) * 2.0;
    }
    let max_units = 20.0 + 10.0 * since.elapsed().as_secs_f64() + 2.0;
    let all = served[0] + served[1];
    assert!(
        all <= max_units,
        "{served:?} units served, at most {max_units} allowed"
    );
    assert!(
        served.iter().all(|s| *s > 0.0) && all >= 10.0,
        "each protocol gets a share of the ceiling: {served:?}"
    );
}

#[test]
fn ten_thousand_sessions_outlive_the_loss_of_a_server() {
    let (a, b) = (
        start_server_with_failover("a.example.org", 1, Arc::default()),
        start_server_with_failover("b.example.org", 1, Arc::default()),
    );
    let site = start_site(&pair_entries(&a, &b, 0), "most_sessions = 10000\n");
    let mut client = DiameterClient::new(site.address, "till.example.org");
    until_served(&mut client);
    let session = |n: usize| format!("till.example.org;9;{n}");
    let mut opened = 0;
    for chunk in 0..100 {
        (0..100).for_each(|n| client.send(&initial_request(&session(chunk * 100 + n))));
        opened += (0..100)
            .filter(|_| {
                client.next_message().and_then(|m| m.result_code()) == Some(result::SUCCESS)
            })
            .count();
    }
    assert_eq!(opened, 10_000);
    assert_eq!(
        client
            .exchange(&initial_request("one;more;1"))
            .result_code(),
        Some(result::TOO_BUSY)
    );
    site.discovery
        .publish_and_wait(false, &diameter_entry("a", &a, 0, "Gone"));
    a.drain_request_count();
    for n in (0..10_000).step_by(50) {
        let cca = client.exchange(&credit_control_request(&session(n), 2, 1));
        assert_eq!(
            (cca.result_code(), cca.text(code::ORIGIN_HOST)),
            (Some(result::SUCCESS), Some("b.example.org"))
        );
    }
    assert_eq!(a.drain_request_count(), 0);
}

/// Overload reports go to clients that announce support, and those of servers are followed.
#[test]
fn overload_is_reported_to_clients_that_support_it_and_followed_from_servers() {
    let (host, other) = ("a.example.org", "b.example.org");
    // Server a requests a reduction by 90 percent.
    let report = [
        Avp::of_u64(code::OC_SEQUENCE_NUMBER, 1),
        Avp::of_u32(code::OC_REPORT_TYPE, 0),
        Avp::of_u32(code::OC_REDUCTION_PERCENTAGE, 90),
        Avp::of_u32(code::OC_VALIDITY_DURATION, 60),
    ];
    let olr = Avp::of_group(code::OC_OLR, &report).optional();
    let a = DiameterServer::new(host, move |ccr| {
        Some(success_answer(ccr, host).with_avp(olr.clone()))
    });
    let b = DiameterServer::granting(other);
    let list = [
        diameter_entry("a", &a, 0, "Ready"),
        diameter_entry("b", &b, 0, "Ready"),
    ]
    .join(",");
    let site = start_site(
        &list,
        "[diameter.plans]\n\"4512345678\" = \"small\"\n\"1\" = \"lille\"\n",
    );
    let mut client = DiameterClient::new(site.address, "till.example.org");
    let mut free =
        credit_control_request("free;1;1", 4, 0).with_avp(Avp::of_u32(code::REQUESTED_ACTION, 2));
    free = with_customer(free, "1");
    let mut send_ccr = |announces: bool, message: &Message| {
        let mut message = message.clone();
        let id = event_request(2).header;
        (message.header.hop_by_hop, message.header.end_to_end) = (id.hop_by_hop, id.end_to_end);
        if announces {
            let vector = [Avp::of_u64(code::OC_FEATURE_VECTOR, 1)];
            message
                .avps
                .push(Avp::of_group(code::OC_SUPPORTED_FEATURES, &vector).optional());
        }
        client.exchange(&message)
    };
    let since = Instant::now();
    while send_ccr(false, &free).text(code::ORIGIN_HOST) != Some(host) {
        assert!(since.elapsed() < TIMEOUT, "server a serves a request");
    }
    let to_a = (0..100)
        .filter(|_| send_ccr(false, &free).text(code::ORIGIN_HOST) == Some(host))
        .count();
    assert!(to_a < 40, "{to_a} of 100 reach a, under 40 allowed");
    // The small plan's quota is soon used up: requests are refused, and then an answer carries an overload
    // report with the share of requests to drop.
    let debit = with_units(event_request(0), 6);
    loop {
        let answer = send_ccr(true, &debit);
        assert!(answer.find(code::OC_SUPPORTED_FEATURES).is_some());
        if answer.find(code::OC_OLR).is_some() {
            assert_eq!(answer.result_code(), Some(result::TOO_BUSY));
            break;
        }
        assert!(since.elapsed() < TIMEOUT, "a report arrives");
    }
    assert!(send_ccr(false, &debit).find(code::OC_OLR).is_none());
}

/// A draining server gets its Disconnect-Peer-Request after its outstanding requests are answered.
#[test]
fn a_draining_server_gets_a_disconnect_request() {
    let a = DiameterServer::granting("a.example.org");
    let b = DiameterServer::granting("b.example.org");
    let site = start_site(&pair_entries(&a, &b, 0), "");
    let mut client = DiameterClient::new(site.address, "till.example.org");
    until_served(&mut client);
    site.discovery
        .publish_and_wait(false, &diameter_entry("a", &a, 0, "Terminating"));
    let since = Instant::now();
    while a.received_disconnect_requests() == 0 {
        assert!(
            since.elapsed() < TIMEOUT,
            "the draining server gets a Disconnect-Peer-Request"
        );
        sleep(Duration::from_millis(5));
    }
    assert_eq!(
        client.exchange(&event_request(2)).text(code::ORIGIN_HOST),
        Some("b.example.org")
    );
}

#[test]
fn sighup_moves_listener_and_plans_and_an_invalid_file_changes_nothing() {
    let server = DiameterServer::granting("s1.example.org");
    let site = start_site(&diameter_entry("s1", &server, 0, "Ready"), "");
    let mut client = DiameterClient::new(site.address, "till.example.org");
    until_served(&mut client);
    let first = std::fs::read_to_string(&site.file).expect("the operator file can be read");
    let small = "[diameter.plans]\n\"4512345678\" = \"small\"\n";
    let (address, old) = (own_address(), format!("listen = \"{}\"", site.address));
    let reload = |text: &str| {
        std::fs::write(&site.file, text).expect("the file can be written");
        site.gateway.signal("-HUP");
    };
    // None of these files is accepted, whatever other changes they hold.
    for wrong in [
        first.replace("gw.example.org", "other.example.org") + small,
        first.replace("charge_class = \"top-up\"", "charge_class = \"none\"") + small,
        first.replace("tx_ms = 6000", "tx_ms = 6") + small,
        first.replace(&old, &format!("listen = \"{}\"", server.address)) + small,
        "".into(),
    ] {
        reload(&wrong);
        sleep(Duration::from_millis(50));
        assert_eq!(
            client
                .exchange(&with_units(event_request(0), 6))
                .result_code(),
            Some(result::SUCCESS),
            "{wrong}"
        );
    }
    reload(&(first.replace(&old, &format!("listen = \"{address}\"")) + small));
    // The new plan has 6 units and refills very slowly.
    let since = Instant::now();
    while client
        .exchange(&with_units(event_request(0), 6))
        .result_code()
        != Some(result::TOO_BUSY)
    {
        assert!(since.elapsed() < TIMEOUT, "the new plan is in force");
    }
    let mut second = DiameterClient::new(address, "other.example.org");
    let other = |n| {
        let ccr = with_customer(
            credit_control_request(&format!("till;8;{n}"), 4, 0),
            "4599999999",
        );
        ccr.with_avp(Avp::of_u32(code::REQUESTED_ACTION, 2))
    };
    assert_eq!(
        second.exchange(&other(1)).result_code(),
        Some(result::SUCCESS)
    );
    assert!(
        std::net::TcpStream::connect(site.address).is_err(),
        "the old listener is closed"
    );
    // Existing connections stay open.
    assert_eq!(
        client.exchange(&other(2)).result_code(),
        Some(result::SUCCESS)
    );
}

/// Outstanding requests are bounded in bytes by `limits`: a 32nd of 32 MB, so 16 of 60 kB fit and 20 do not.
#[test]
fn outstanding_requests_are_bounded_in_bytes_and_more_are_refused_at_once() {
    let mute = Arc::new(AtomicBool::new(false));
    let (muted, host) = (mute.clone(), "s1.example.org");
    let server = DiameterServer::new(host, move |ccr| {
        (!muted.load(Ordering::SeqCst)).then(|| success_answer(ccr, host))
    });
    let site = start_site(&diameter_entry("s1", &server, 0, "Ready"), "");
    let mut client = DiameterClient::new(site.address, "till.example.org");
    until_served(&mut client);
    server.drain_request_count();
    mute.store(true, Ordering::SeqCst);
    let long_avp = Avp {
        code: 9_999,
        flags: 0,
        vendor: Some(7),
        data: vec![0; 60_000].into(),
    };
    let since = Instant::now();
    let sent: Vec<Message> = (0..20)
        .map(|_| event_request(0).with_avp(long_avp.clone()))
        .collect();
    sent.iter().for_each(|ccr| client.send(ccr));
    let refused = client
        .next_message()
        .expect("at least one request is refused");
    assert_eq!(refused.result_code(), Some(result::TOO_BUSY));
    assert!(
        since.elapsed() < Duration::from_secs(4),
        "the refusal comes long before the client's deadline"
    );
    let first_refused = (32 << 20) / 32 / 60_000;
    assert_eq!(
        refused.header.end_to_end, sent[first_refused].header.end_to_end,
        "the first request that does not fit is refused"
    );
    mute.store(false, Ordering::SeqCst);
    // Each of the other requests gets exactly one answer.
    let answered: std::collections::HashSet<u32> = (1..20)
        .map(|_| {
            client
                .next_message()
                .expect("the gateway answers the request")
                .header
                .end_to_end
        })
        .collect();
    assert_eq!(answered.len(), 19);
    until_served(&mut client);
}
