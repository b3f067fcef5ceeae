//! The rules on servers and quotas as observed on sockets, and changes of the endpoint list.

mod common;
use common::*;
use std::net::TcpListener;
use std::time::{SystemTime, UNIX_EPOCH};

#[test]
fn no_new_request_goes_to_a_server_that_drains_is_gone_or_is_removed() {
    let (a, b) = (Server::new(|_| ok("a")), Server::new(|_| ok("b")));
    let (ready_entry, other_entry) = (
        endpoint_entry("a", a.address, 0, "Ready"),
        endpoint_entry("b", b.address, 0, "Ready"),
    );
    let both = [ready_entry.clone(), other_entry.clone()].join(",");
    for (is_whole_list, entries) in [
        (false, endpoint_entry("a", a.address, 0, "Terminating")),
        (false, endpoint_entry("a", a.address, 0, "Gone")),
        (true, other_entry.clone()),
    ] {
        let discovery = Discovery::new(&both);
        let gateway = Gateway::start_alone(&discovery);
        while gateway.request(&ClientRequest::check()).body != "a" {}
        discovery.publish_and_wait(is_whole_list, &entries);
        // Idle connections to the server are closed, and new requests go to the other one.
        a.wait_closed();
        for _ in 0..20 {
            assert_eq!(gateway.request(&ClientRequest::check()).body, "b");
        }
    }
}

/// Guards against using a stale connection to the old address of a server.
#[test]
fn a_server_that_moves_is_found_at_its_new_address() {
    let (old, new) = (Server::new(|_| ok("old")), Server::new(|_| ok("new")));
    let discovery = Discovery::new(&endpoint_entry("a", old.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    assert_eq!(gateway.request(&ClientRequest::check()).body, "old");
    discovery.publish_and_wait(false, &endpoint_entry("a", new.address, 0, "Ready"));
    assert_eq!(gateway.request(&ClientRequest::check()).body, "new");
}

/// Guards against reaching or judging a new server under the name of the one that had its address before.
#[test]
fn a_server_at_the_address_of_another_has_connections_of_its_own() {
    let server = Server::new(|_| ok("here"));
    let discovery = Discovery::new(&endpoint_entry("old", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    assert_eq!(gateway.request(&ClientRequest::check()).body, "here");
    discovery.publish_and_wait(false, &endpoint_entry("new", server.address, 1, "Ready"));
    // The old server's connection is closed, although no entry has yet reported it gone.
    server.wait_closed();
    server.drain_events();
    for _ in 0..4 {
        assert_eq!(gateway.request(&ClientRequest::top_up()).body, "here");
        // A connection is not reused for a short time after each answer.
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    assert_eq!(
        server
            .drain_events()
            .iter()
            .filter(|s| matches!(s, ServerEvent::Connected))
            .count(),
        1
    );
}

/// Guards against waiting for the timeout of a server that is known to be gone.
#[test]
fn an_attempt_at_a_server_that_is_gone_ends() {
    let (a, b) = (Server::new(|_| Reply::Silence), Server::new(|_| ok("b")));
    let discovery = Discovery::new(&endpoint_entry("a", a.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    let mut client = gateway.client();
    client.send(&ClientRequest::check().to_text());
    a.next_request();
    discovery.publish_and_wait(true, &endpoint_entry("b", b.address, 0, "Ready"));
    assert_eq!(
        client
            .read_response()
            .expect("the gateway answers the request")
            .body,
        "b"
    );
}

#[test]
fn a_request_with_no_server_waits_for_the_list() {
    let server = Server::new(|_| ok("late"));
    let discovery = Discovery::new("");
    let gateway = Gateway::start_ready(&discovery, None, 1);
    let mut client = gateway.client();
    client.send(&ClientRequest::check().to_text());
    discovery.publish_and_wait(false, &endpoint_entry("a", server.address, 0, "Ready"));
    assert_eq!(
        client
            .read_response()
            .expect("the gateway answers the request")
            .body,
        "late"
    );
}

#[test]
fn silence_or_invalid_answers_of_discovery_keep_the_last_list() {
    let (a, b) = (Server::new(|_| ok("a")), Server::new(|_| ok("b")));
    let discovery = Discovery::new(&endpoint_entry("a", a.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    for mode in [DiscoveryMode::InvalidBody, DiscoveryMode::Silent] {
        discovery.set_mode(mode);
        discovery.wait_for_calls(2);
        assert_eq!(gateway.request(&ClientRequest::check()).body, "a");
    }
    discovery.set_mode(DiscoveryMode::Answering);
    discovery.publish_and_wait(true, &endpoint_entry("b", b.address, 0, "Ready"));
    assert_eq!(gateway.request(&ClientRequest::check()).body, "b");
}

/// Guards against dropping the whole list because of one invalid entry.
#[test]
fn an_invalid_entry_does_not_invalidate_the_list() {
    let server = Server::new(|_| ok("fine"));
    let entries = [
        r#"{"uid":"x","endpoint":"nowhere","state":"Ready"}"#,
        &endpoint_entry("a", server.address, 0, "Ready"),
    ];
    let gateway = Gateway::start_alone(&Discovery::new(&entries.join(",")));
    assert_eq!(gateway.request(&ClientRequest::check()).body, "fine");
}

fn concurrent_requests_reaching(boot_ms: u128) -> usize {
    let server = Server::new(|_| Reply::Silence);
    let gateway = Gateway::start_alone(&Discovery::new(&endpoint_entry_with_boot(
        "a",
        server.address,
        0,
        "Ready",
        boot_ms,
    )));
    let mut clients: Vec<Client> = (0..60).map(|_| gateway.client()).collect();
    for client in &mut clients {
        client.send(
            &ClientRequest::check()
                .with_header("X-Expires-In", "1.0")
                .to_text(),
        );
    }
    for client in &mut clients {
        client.read_response().expect("each request is answered");
    }
    server.drain_request_count()
}

#[test]
fn a_cold_server_gets_fewer_requests_than_a_warm_one() {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the wall clock is after 1970")
        .as_millis();
    let (cold, warm) = (
        concurrent_requests_reaching(now),
        concurrent_requests_reaching(0),
    );
    assert_eq!(warm, 60);
    assert!(
        cold < 45,
        "{cold} requests reach a cold server, expected fewer than 45"
    );
}

#[test]
fn a_ceiling_is_held_even_where_the_quota_has_room() {
    let server = Server::new(|_| ok(""));
    let gateway = Gateway::start_alone(&Discovery::new(&endpoint_entry(
        "a",
        server.address,
        0,
        "Ready",
    )));
    let since = std::time::Instant::now();
    let http_request = || {
        ClientRequest::check()
            .with_header("X-Tier", "capped")
            .with_header("X-Call-Terms", "units=2,spread=1,first=0")
    };
    let answers: Vec<u16> = (0..60)
        .map(|_| gateway.request(&http_request()).status())
        .collect();
    let served = answers.iter().filter(|&&s| s == 200).count();
    // The bucket holds 20 units and fills at 10 units a second; 1 s is added because a request may be slightly
    // ahead of this test's clock.
    let max_units = 20.0 + 10.0 * (since.elapsed().as_secs_f64() + 1.0);
    assert!(
        served as f64 * 2.0 <= max_units,
        "{served} requests of 2 units served, at most {max_units} units are allowed"
    );
    assert!(
        answers.iter().all(|s| [200, 429].contains(s)),
        "{answers:?}"
    );
    assert!(answers.contains(&429));
}

/// Guards against a connect that is still queued when its server begins to drain.
#[test]
fn a_refused_connection_counts_as_never_ran() {
    let closed_listener =
        TcpListener::bind("127.0.0.1:0").expect("a free loopback port can be bound");
    let address = closed_listener
        .local_addr()
        .expect("the socket has a local address");
    let server = Server::new(|_| ok("b"));
    let entries = [
        endpoint_entry("a", address, 0, "Ready"),
        endpoint_entry("b", server.address, 1, "Ready"),
    ]
    .join(",");
    let discovery = Discovery::new(&entries);
    let gateway = Gateway::start_alone(&discovery);
    drop(closed_listener);
    for _ in 0..6 {
        assert_eq!(gateway.request(&ClientRequest::top_up()).body, "b");
    }
}
