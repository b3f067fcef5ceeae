//! A class that may not be repeated: its requests come as `POST` with no key, and have one effect or none.

mod common;
use common::*;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A gateway of a site with such a class.
fn gateway(entries: &str) -> (Discovery, Gateway) {
    let discovery = Discovery::new(entries);
    let class =
        r#"{"aimUs":4000000,"deadlineUs":8000000,"effect":"once","name":"settle","worth":5.0},"#;
    let text = config_text(discovery.address, None, 1, "");
    let text = text.replace("\"services\":[", &format!("\"services\":[{class}"));
    let gateway = Gateway::start_from_config(&text);
    gateway.wait_ready();
    (discovery, gateway)
}

fn settle() -> ClientRequest {
    let ask = ClientRequest {
        path: "/settle",
        ..ClientRequest::top_up()
    };
    ask.with_header("X-Qos", "settle")
        .without_header("Idempotency-Key")
}

/// The first request at either server gets `first`, all later ones are served.
fn pair(first: fn() -> Reply) -> (String, [Server; 2]) {
    let spent = Arc::new(AtomicBool::new(false));
    let servers = [(); 2].map(|()| {
        let spent = spent.clone();
        Server::new(move |_| {
            if spent.swap(true, Ordering::SeqCst) {
                ok("second")
            } else {
                first()
            }
        })
    });
    let entry = |i: usize| endpoint_entry(["a", "b"][i], servers[i].address, 0, "Ready");
    ([entry(0), entry(1)].join(","), servers)
}

fn requests(servers: &[Server]) -> usize {
    servers.iter().map(Server::drain_request_count).sum()
}

#[test]
fn it_needs_no_key_and_none_is_made_up() {
    let server = Server::new(|_| ok("done"));
    let (_discovery, gateway) = gateway(&endpoint_entry("a", server.address, 0, "Ready"));
    let answer = gateway.request(&settle());
    assert_eq!((answer.status(), answer.body.as_str()), (200, "done"));
    let seen = server.next_request();
    assert!(seen.line.starts_with("POST /settle "), "{}", seen.line);
    assert_eq!(
        (seen.header("Idempotency-Key"), seen.body.as_str()),
        (None, "amount=50")
    );
    // Where servers drop repeats by it, it is owed.
    assert_eq!(
        gateway
            .request(&ClientRequest::top_up().without_header("Idempotency-Key"))
            .status(),
        400
    );
}

#[test]
fn one_that_may_have_run_has_one_attempt_and_is_failed_not_refused() {
    let ways: [fn() -> Reply; 5] = [
        || Reply::Close,
        || Reply::BytesThenClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsec".into()),
        || status("500 Internal Server Error"),
        || status("503 Service Unavailable"),
        || Reply::Silence,
    ];
    for first in ways {
        let (entries, servers) = pair(first);
        let (_discovery, gateway) = gateway(&entries);
        let answer = gateway.request(&settle().with_header("X-Expires-In", "0.8"));
        assert!(matches!(answer.status(), 502 | 504), "{answer:?}");
        assert_eq!(requests(&servers), 1);
    }
}

#[test]
fn one_that_surely_never_ran_is_tried_elsewhere() {
    let (entries, servers) = pair(never_ran);
    let (_discovery, gateway) = gateway(&entries);
    let answer = gateway.request(&settle());
    assert_eq!((answer.status(), answer.body.as_str()), (200, "second"));
    assert_eq!(requests(&servers), 2);
}

#[test]
fn where_nobody_listens_it_never_ran() {
    let nobody = TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a free loopback port can be bound");
    let server = Server::new(|_| ok("here"));
    let entries = [
        endpoint_entry("a", nobody, 0, "Ready"),
        endpoint_entry("b", server.address, 0, "Ready"),
    ]
    .join(",");
    let (_discovery, gateway) = gateway(&entries);
    for _ in 0..8 {
        let answer = gateway.request(&settle());
        assert_eq!((answer.status(), answer.body.as_str()), (200, "here"));
    }
}

#[test]
fn one_that_all_turn_away_is_refused() {
    let server = Server::new(|_| never_ran());
    let (_discovery, gateway) = gateway(&endpoint_entry("a", server.address, 0, "Ready"));
    assert_eq!(gateway.request(&settle()).status(), 429);
}
