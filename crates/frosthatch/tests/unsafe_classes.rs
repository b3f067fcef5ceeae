//! A class whose requests may not be repeated: they are `POST` requests without a key, and have one effect or
//! none.

mod common;
use common::*;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Starts a gateway whose settings have the class `settle`, which may not be repeated.
fn start_gateway(entries: &str) -> (Discovery, Gateway) {
    let discovery = Discovery::new(entries);
    let class =
        r#"{"aimUs":4000000,"deadlineUs":8000000,"effect":"once","name":"settle","worth":5.0},"#;
    let text = config_text(discovery.address, None, 1, "");
    let text = text.replace("\"services\":[", &format!("\"services\":[{class}"));
    let gateway = Gateway::start_from_config(&text);
    gateway.wait_ready();
    (discovery, gateway)
}

fn settle_request() -> ClientRequest {
    let http_request = ClientRequest {
        path: "/settle",
        ..ClientRequest::top_up()
    };
    http_request
        .with_header("X-Qos", "settle")
        .without_header("Idempotency-Key")
}

/// Starts two servers; the first request at either gets the reply `first`, all later ones are served.
fn start_pair(first: fn() -> Reply) -> (String, [Server; 2]) {
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

fn count_requests(servers: &[Server]) -> usize {
    servers.iter().map(Server::drain_request_count).sum()
}

#[test]
fn a_request_needs_no_key_and_none_is_added() {
    let server = Server::new(|_| ok("done"));
    let (_discovery, gateway) = start_gateway(&endpoint_entry("a", server.address, 0, "Ready"));
    let answer = gateway.request(&settle_request());
    assert_eq!((answer.status(), answer.body.as_str()), (200, "done"));
    let seen = server.next_request();
    assert!(seen.line.starts_with("POST /settle "), "{}", seen.line);
    assert_eq!(
        (seen.header("Idempotency-Key"), seen.body.as_str()),
        (None, "amount=50")
    );
    // A class whose servers drop repeats by the key requires one.
    assert_eq!(
        gateway
            .request(&ClientRequest::top_up().without_header("Idempotency-Key"))
            .status(),
        400
    );
}

#[test]
fn a_request_that_may_have_run_has_one_attempt_and_is_failed_not_refused() {
    let outcomes: [fn() -> Reply; 5] = [
        || Reply::Close,
        || Reply::BytesThenClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsec".into()),
        || status("500 Internal Server Error"),
        || status("503 Service Unavailable"),
        || Reply::Silence,
    ];
    for first in outcomes {
        let (entries, servers) = start_pair(first);
        let (_discovery, gateway) = start_gateway(&entries);
        let answer = gateway.request(&settle_request().with_header("X-Expires-In", "0.8"));
        assert!(matches!(answer.status(), 502 | 504), "{answer:?}");
        assert_eq!(count_requests(&servers), 1);
    }
}

#[test]
fn a_request_that_never_ran_is_tried_at_another_server() {
    let (entries, servers) = start_pair(never_ran);
    let (_discovery, gateway) = start_gateway(&entries);
    let answer = gateway.request(&settle_request());
    assert_eq!((answer.status(), answer.body.as_str()), (200, "second"));
    assert_eq!(count_requests(&servers), 2);
}

#[test]
fn a_request_whose_connection_is_refused_never_ran() {
    let unused_address = TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a free loopback port can be bound");
    let server = Server::new(|_| ok("here"));
    let entries = [
        endpoint_entry("a", unused_address, 0, "Ready"),
        endpoint_entry("b", server.address, 0, "Ready"),
    ]
    .join(",");
    let (_discovery, gateway) = start_gateway(&entries);
    for _ in 0..8 {
        let answer = gateway.request(&settle_request());
        assert_eq!((answer.status(), answer.body.as_str()), (200, "here"));
    }
}

#[test]
fn a_request_that_all_servers_refuse_is_refused() {
    let server = Server::new(|_| never_ran());
    let (_discovery, gateway) = start_gateway(&endpoint_entry("a", server.address, 0, "Ready"));
    assert_eq!(gateway.request(&settle_request()).status(), 429);
}
