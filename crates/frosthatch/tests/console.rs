//! The operators' console of the gateway binary.

mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::thread::sleep;
use std::time::{Duration, Instant};

struct Site {
    gateway: Gateway,
    console: SocketAddr,
}

impl Site {
    fn new(discovery: &Discovery) -> Site {
        let text = config_text(discovery.address, None, 1, "");
        let text = text.replacen('{', "{\"console\":\"127.0.0.1:0\",", 1);
        let (sender, lines) = channel();
        let gateway =
            Gateway::start_with_log(&text, &[], move |line| drop(sender.send(line.to_string())));
        let console = loop {
            let line = lines
                .recv_timeout(TIMEOUT)
                .expect("the gateway logs the console's address");
            if let Some(at) = line.strip_prefix("console on ") {
                break at.parse().expect("the text is a socket address");
            }
        };
        gateway.wait_ready();
        Site { gateway, console }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.console).expect("the console accepts");
        stream.set_read_timeout(Some(TIMEOUT)).expect("timeout > 0");
        stream
    }

    /// Sends a request and returns the status and body of the answer, read to the end of its connection.
    fn call(&self, method: &str, path: &str) -> (u16, String) {
        let mut stream = self.connect();
        write!(stream, "{method} {path} HTTP/1.1\r\nHost: c\r\n\r\n").expect("the write succeeds");
        let mut text = String::new();
        stream
            .read_to_string(&mut text)
            .expect("the console answers and closes the connection");
        let status = text
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .expect("the answer has a numeric status");
        (
            status,
            text.split_once("\r\n\r\n")
                .map_or(String::new(), |(_, body)| body.into()),
        )
    }

    fn post(&self, path: &str) -> u16 {
        self.call("POST", path).0
    }

    fn metric(&self, name: &str) -> u64 {
        let (status, text) = self.call("GET", "/metrics");
        assert_eq!(status, 200);
        let line = text.lines().find_map(|l| {
            l.strip_prefix("svc.")?
                .strip_prefix(name)?
                .strip_prefix(':')
        });
        let line = line.unwrap_or_else(|| panic!("no {name} in {text}"));
        line.split('|')
            .next()
            .and_then(|v| v.parse().ok())
            .expect("the metric's value is an integer")
    }
}

fn two_entries(a: &Server, b: &Server) -> String {
    [
        endpoint_entry("a", a.address, 0, "Ready"),
        endpoint_entry("b", b.address, 0, "Ready"),
    ]
    .join(",")
}

#[test]
fn metrics_count_outcomes_and_attempts() {
    let server = Server::new(|m| {
        if m.line.contains("bad") {
            status("500 Internal Server Error")
        } else {
            ok("served")
        }
    });
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let site = Site::new(&discovery);
    for _ in 0..5 {
        assert_eq!(site.gateway.request(&ClientRequest::check()).status(), 200);
    }
    assert_eq!(site.gateway.request(&ClientRequest::top_up()).status(), 200);
    let failed = site.gateway.request(&ClientRequest {
        path: "/top-up?bad",
        ..ClientRequest::top_up()
    });
    assert_eq!(failed.status(), 502);
    // The quota of plan `small` holds six units and refills very slowly.
    let six_units = ClientRequest::check()
        .with_header("X-Tier", "small")
        .with_header("X-Call-Terms", "units=6,spread=1,first=0");
    let with_new_id = |n: u32| {
        six_units
            .clone()
            .with_header("X-Trace-Id", &format!("{n:016x}"))
    };
    let refused = (1..4)
        .filter(|&n| site.gateway.request(&with_new_id(n)).status() == 429)
        .count() as u64;
    assert!(refused > 0);
    assert_eq!(site.metric("success.balance-check"), 5 + (3 - refused));
    assert_eq!(site.metric("success.top-up"), 1);
    assert_eq!(site.metric("busy.balance-check"), refused);
    assert_eq!(site.metric("failure.top-up"), 1);
    let attempts = server.drain_request_count() as u64;
    assert_eq!(
        site.metric("backend_calls.balance-check") + site.metric("backend_calls.top-up"),
        attempts
    );
    assert_eq!(
        (site.metric("inflight"), site.metric("hosts_listed")),
        (0, 1)
    );
    let (status, _) = site.call("GET", "/nowhere");
    assert_eq!((status, site.post("/ready")), (404, 405));
}

#[test]
fn held_requests_count_as_in_flight() {
    let server = Server::new(|_| Reply::Silence);
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let site = Site::new(&discovery);
    let mut held = site.gateway.client();
    held.send(&ClientRequest::check().to_text());
    server.next_request();
    assert_eq!(
        (
            site.metric("inflight"),
            site.metric("backend_calls.balance-check")
        ),
        (1, 1)
    );
}

/// Guards against discovery undoing an operator's `disable`, and against two `disable` calls that need two
/// `enable` calls.
#[test]
fn a_disabled_server_gets_no_request_until_it_is_enabled() {
    let (a, b) = (Server::new(|_| ok("a")), Server::new(|_| ok("b")));
    let discovery = Discovery::new(&two_entries(&a, &b));
    let site = Site::new(&discovery);
    assert_eq!(site.post("/servers/disable?id=nobody"), 404);
    assert_eq!(site.post("/servers/disable"), 400);
    assert_eq!(site.post("/servers/disable?id=a"), 200);
    assert_eq!(site.post("/servers/disable?id=a"), 200);
    assert_eq!(
        (site.metric("hosts_listed"), site.metric("hosts_down")),
        (2, 1)
    );
    discovery.publish_and_wait(true, &two_entries(&a, &b));
    discovery.publish_and_wait(false, &endpoint_entry("a", a.address, 0, "Ready"));
    for _ in 0..20 {
        assert_eq!(site.gateway.request(&ClientRequest::check()).body, "b");
    }
    assert_eq!(a.drain_request_count(), 0);
    assert_eq!(site.post("/servers/enable?id=a"), 200);
    assert_eq!(site.metric("hosts_down"), 0);
    let since = Instant::now();
    while site.gateway.request(&ClientRequest::check()).body != "a" {
        assert!(
            since.elapsed() < TIMEOUT,
            "the enabled server is used again"
        );
    }
}

/// Guards against refusing requests while the gateway drains, and against connections that stay open.
#[test]
fn a_draining_gateway_serves_requests_closes_connections_and_undrains() {
    let server = Server::new(|_| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let mut site = Site::new(&discovery);
    let (mut idle, mut kept) = (site.gateway.client(), site.gateway.client());
    for client in [&mut idle, &mut kept] {
        assert_eq!(
            client
                .exchange(&ClientRequest::check().to_text())
                .expect("the gateway answers the request")
                .status(),
            200
        );
    }
    assert_eq!(
        (site.call("GET", "/ready").0, site.post("/drain")),
        (200, 200)
    );
    assert_eq!(site.call("GET", "/ready").0, 503);
    assert!(!site.gateway.is_ready());
    let answer = site
        .gateway
        .client()
        .exchange(&ClientRequest::check().to_text())
        .expect("a new client is served while the gateway drains");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    let answer = kept
        .exchange(&ClientRequest::check().to_text())
        .expect("a client on a kept connection is served");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert!(
        idle.read_response().is_none(),
        "an idle connection is closed while the gateway drains"
    );
    // A second drain changes nothing.
    assert_eq!((site.post("/drain"), site.post("/undrain")), (200, 200));
    assert_eq!(site.call("GET", "/ready").0, 200);
    let answer = site
        .gateway
        .client()
        .exchange(&ClientRequest::check().to_text())
        .expect("the gateway answers the request");
    assert_eq!(answer.header("connection"), None);
    sleep(Duration::from_millis(10));
    assert!(site.gateway.is_running());
}

/// Guards against callers that occupy all console connections: silent, with a partial request, or one after
/// another.
#[test]
fn callers_that_hold_connections_do_not_prevent_other_calls() {
    let server = Server::new(|_| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let mut site = Site::new(&discovery);
    let mut holders: Vec<TcpStream> = (0..80).map(|_| site.connect()).collect();
    for (n, holder) in holders.iter_mut().enumerate() {
        // Connections that had to make room are already closed.
        let _ = holder.write_all(if n % 2 == 0 { b"GET /rea" } else { b"" });
    }
    assert_eq!(site.call("GET", "/ready").0, 200);
    let mut stream = site.connect();
    let two_requests =
        "GET /ready HTTP/1.1\r\nHost: c\r\n\r\nPOST /drain HTTP/1.1\r\nHost: c\r\n\r\n";
    stream
        .write_all(two_requests.as_bytes())
        .expect("the write succeeds");
    let mut text = String::new();
    // Unread bytes may reset the connection after the answer.
    let _ = stream.read_to_string(&mut text);
    assert_eq!(text.matches("HTTP/1.1 200").count(), 1, "{text}");
    assert_eq!(site.call("GET", "/ready").0, 200);
    for malformed in [
        "\r\n\r\n",
        "GET\r\n\r\n",
        "GET /ready HTTP/9\r\n\r\n",
        &"x".repeat(1 << 16),
    ] {
        let mut stream = site.connect();
        let _ = stream.write_all(malformed.as_bytes());
        let _ = stream.read(&mut [0; 64]);
    }
    assert!(site.gateway.is_running());
}
