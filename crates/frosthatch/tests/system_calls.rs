//! System calls of the gateway that fail in ways that Linux documents: no request is lost.

mod common;
use common::*;
use std::thread;
use std::time::{Duration, Instant};

/// Requests in each trial: enough that a fault in some of a hundred calls hits many of them.
const REQUESTS: usize = 300;

/// Starts a gateway under the shim with one server; the test sets the faults.
fn start_gateway_with_shim(shim: &Shim, changes: &[(&str, &str)]) -> (Server, Discovery, Gateway) {
    let server = Server::new(|_| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let mut text = config_text(discovery.address, None, 1, "");
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    let gateway = Gateway::start_with_shim(&text, shim);
    gateway.wait_ready();
    (server, discovery, gateway)
}

/// Sends requests over one kept connection and over new ones, and returns their statuses, 0 for no answer.
fn statuses(gateway: &Gateway) -> Vec<u16> {
    let mut kept = gateway.client();
    let mut all = Vec::new();
    for n in 0..REQUESTS {
        let text = if n % 3 == 0 {
            ClientRequest::top_up().to_text()
        } else {
            ClientRequest::check().to_text()
        };
        let answer = if n % 2 == 0 {
            gateway.client().exchange(&text)
        } else {
            kept.exchange(&text)
        };
        all.push(answer.as_ref().map_or(0, Message::status));
        if answer.is_none_or(|a| a.header("Connection") == Some("close")) {
            kept = gateway.client();
        }
    }
    all
}

fn share_with_status(all: &[u16], status: u16) -> f64 {
    all.iter().filter(|s| **s == status).count() as f64 / all.len() as f64
}

/// Guards against taking an interrupted call for a client's disconnect: the call is repeated.
#[test]
fn interrupted_calls_lose_no_request() {
    let shim = Shim::new();
    let (_server, _discovery, gateway) = start_gateway_with_shim(&shim, &[]);
    shim.set(Fault::Interrupted, 100);
    let all = statuses(&gateway);
    assert_eq!(
        share_with_status(&all, 0),
        0.0,
        "requests without an answer: {all:?}"
    );
    assert!(share_with_status(&all, 200) > 0.95, "{all:?}");
}

/// Guards against losing data in reads and writes that move less than they could.
#[test]
fn short_reads_and_writes_lose_no_request() {
    let shim = Shim::new();
    let (_server, _discovery, gateway) = start_gateway_with_shim(&shim, &[]);
    shim.set(Fault::Short, 900);
    let all = statuses(&gateway);
    assert_eq!(share_with_status(&all, 200), 1.0, "{all:?}");
}

/// Guards against a listener that stops: a connection that cannot be accepted now is accepted later.
#[test]
fn failing_accepts_lose_no_request() {
    let shim = Shim::new();
    let (_server, _discovery, gateway) = start_gateway_with_shim(&shim, &[]);
    shim.set(Fault::Accept, 500);
    let all = statuses(&gateway);
    assert_eq!(share_with_status(&all, 200), 1.0, "{all:?}");
}

/// Guards against a connection that breaks during an attempt: the request gets exactly one answer, and a request
/// that may have run is not run again.
#[test]
fn broken_connections_lose_no_request() {
    let shim = Shim::new();
    let (_server, _discovery, gateway) = start_gateway_with_shim(&shim, &[]);
    shim.set(Fault::Broken, 30);
    let all = statuses(&gateway);
    assert_eq!(
        share_with_status(&all, 0),
        0.0,
        "requests without an answer: {all:?}"
    );
}

/// Guards against counting a shortage of the gateway's machine as a server failure: a failed connect is retried
/// within the request's time, and changes neither the server's health nor the retry budget.
#[test]
fn a_shortage_of_the_gateways_machine_is_not_blamed_on_servers() {
    let closing = |_: &Message| {
        Reply::Bytes(
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nserved".into(),
        )
    };
    for fault in [Fault::Connect, Fault::Socket] {
        let shim = Shim::new();
        let servers: Vec<Server> = (0..3).map(|_| Server::new(closing)).collect();
        let entry =
            |(n, s): (usize, &Server)| endpoint_entry(&format!("s{n}"), s.address, 0, "Ready");
        let list: Vec<String> = servers.iter().enumerate().map(entry).collect();
        let discovery = Discovery::new(&list.join(","));
        let gateway = Gateway::start_with_shim(&config_text(discovery.address, None, 1, ""), &shim);
        gateway.wait_ready();
        shim.set(fault, 600);
        let all = statuses(&gateway);
        println!(
            "{fault:?}: share of {} served",
            share_with_status(&all, 200)
        );
        assert!(
            share_with_status(&all, 200) >= 0.95,
            "{fault:?}: share of {} served",
            share_with_status(&all, 200)
        );
        shim.set(fault, 0);
        assert_eq!(
            share_with_status(&statuses(&gateway), 200),
            1.0,
            "{fault:?}: all requests are served right after the shortage"
        );
    }
}

/// Guards against a shortage that hides a server which refuses connections: that server is left out all the
/// same.
#[test]
fn a_server_that_refuses_is_left_out_also_during_a_shortage() {
    let shim = Shim::new();
    let served = Server::new(|_| ok("served"));
    let refused = std::net::TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a free loopback port can be bound");
    let list = [
        endpoint_entry("a", served.address, 0, "Ready"),
        endpoint_entry("b", refused, 0, "Ready"),
    ];
    let discovery = Discovery::new(&list.join(","));
    let gateway = Gateway::start_with_shim(&config_text(discovery.address, None, 1, ""), &shim);
    gateway.wait_ready();
    shim.set(Fault::Connect, 300);
    let all = statuses(&gateway);
    assert!(
        share_with_status(&all, 200) >= 0.95,
        "share of {} served",
        share_with_status(&all, 200)
    );
}

/// Guards against a start that fails on a brief shortage.
#[test]
fn the_gateway_starts_despite_a_brief_shortage() {
    let shim = Shim::new();
    shim.set(Fault::Socket, 700);
    let server = Server::new(|_| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    for _ in 0..5 {
        let gateway = Gateway::start_with_shim(&config_text(discovery.address, None, 1, ""), &shim);
        gateway.wait_ready();
    }
}

/// Guards against a second effect: the process is stalled between its last look at the clock and the write, and
/// the servers have forgotten the key meanwhile.
#[test]
fn a_stalled_repeat_still_arrives_within_its_window() {
    const WINDOW: Duration = Duration::from_millis(600);
    /// Tolerance for the network in each time limit.
    const SLACK: Duration = Duration::from_millis(50);
    let shim = Shim::new();
    let (first, release) = Server::gated(|| status("500 Internal Server Error"));
    let second = Server::new(|_| ok("twice"));
    let both = [
        endpoint_entry("a", first.address, 3, "Ready"),
        endpoint_entry("b", second.address, 3, "Draining"),
    ]
    .join(",");
    let discovery = Discovery::new(&both.replace("Draining", "Terminating"));
    let text = config_text(discovery.address, None, 1, "")
        .replace("\"windowUs\":7500000", "\"windowUs\":600000");
    let gateway = Gateway::start_with_shim(&text, &shim);
    gateway.wait_ready();
    let mut client = gateway.client();
    client.send(&ClientRequest::top_up().to_text());
    first.next_request();
    let since = Instant::now();
    discovery.publish_and_wait(false, &endpoint_entry("b", second.address, 3, "Ready"));
    shim.set(Fault::StallMs, 145);
    shim.set(Fault::Stall, 1_000);
    thread::sleep((WINDOW - Duration::from_millis(50)).saturating_sub(since.elapsed()));
    let _ = release.send(());
    let repeat_after = loop {
        match second.events.recv_timeout(4 * WINDOW) {
            Ok(ServerEvent::Request(_)) => break Some(since.elapsed()),
            Ok(_) => {}
            Err(_) => break None,
        }
    };
    client
        .read_response()
        .expect("the gateway answers the request");
    assert!(
        repeat_after.is_none_or(|repeat_after| repeat_after < WINDOW + SLACK),
        "the repeat arrives {repeat_after:?} after the first request, at most 650 ms are allowed"
    );
}
