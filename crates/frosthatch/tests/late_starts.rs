//! Attempts whose connections are established late: an attempt that may no longer begin does not, whatever was
//! decided before.

mod common;
use common::*;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// Starts a gateway with a connect timeout of 6 s, and with the settings changed as given.
fn start_gateway_with_long_connect_timeout(
    discovery: &Discovery,
    changes: &[(&str, &str)],
) -> Gateway {
    let mut text = config_text(discovery.address, None, 1, "");
    for (from, to) in [
        &[(
            "\"connectTimeoutUs\":1000000",
            "\"connectTimeoutUs\":6000000",
        )],
        changes,
    ]
    .concat()
    {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    let gateway = Gateway::start_from_config(&text);
    gateway.wait_ready();
    gateway
}

/// Keeps the gateway's event loop busy for 150 ms, longer than a disconnected client may go unnoticed.
fn keep_event_loop_busy(gateway: &Gateway) {
    let since = Instant::now();
    while since.elapsed() < Duration::from_millis(150) {
        gateway.is_ready();
    }
}

/// Guards against a second effect: servers remember a key for its window, and the repeat's connection is
/// established later.
#[test]
fn a_keyed_repeat_does_not_begin_after_its_window() {
    let (first, release) = Server::gated(|| status("500 Internal Server Error"));
    let late_server = FullBacklog::new();
    let discovery = Discovery::new(&endpoint_entry("a", first.address, 3, "Ready"));
    let gateway = start_gateway_with_long_connect_timeout(
        &discovery,
        &[("\"windowUs\":7500000", "\"windowUs\":600000")],
    );
    let mut client = gateway.client();
    client.send(&ClientRequest::top_up().to_text());
    first.next_request();
    discovery.publish_and_wait(
        false,
        &endpoint_entry("b", late_server.address(), 3, "Ready"),
    );
    let since = Instant::now();
    let _ = release.send(());
    // The repeat is waiting for its connection.
    thread::sleep(Duration::from_millis(700));
    let late_server = late_server.accept(|_| ok("twice"));
    let answer = client
        .read_response()
        .expect("the gateway answers the request");
    assert!(matches!(answer.status(), 502 | 504), "{answer:?}");
    assert!(
        since.elapsed() > Duration::from_millis(500),
        "the answer waits for the repeat"
    );
    // Any earlier request to this server would have arrived before this one.
    let next_check = ClientRequest::check();
    discovery.publish_and_wait(true, &endpoint_entry("b", late_server.address, 3, "Ready"));
    assert_eq!(gateway.request(&next_check).status(), 200);
    assert_eq!(
        late_server.next_request().header("X-Trace-Id"),
        Some(next_check.header("X-Trace-Id"))
    );
}

/// Guards against work for a client that has left, also where the settings forbid cancelling attempts: this
/// attempt has not begun.
#[test]
fn no_attempt_begins_for_a_client_that_left_during_the_connect() {
    for cancel in [true, false] {
        let late_server = FullBacklog::new();
        let discovery = Discovery::new(&endpoint_entry("a", late_server.address(), 0, "Ready"));
        let gateway = start_gateway_with_long_connect_timeout(
            &discovery,
            &[("\"cancel\":true", &format!("\"cancel\":{cancel}"))],
        );
        let mut client = gateway.client();
        client.send(&ClientRequest::top_up().to_text());
        keep_event_loop_busy(&gateway);
        drop(client);
        keep_event_loop_busy(&gateway);
        let late_server = late_server.accept(|_| ok("served"));
        if !cancel {
            late_server.wait_connected();
        }
        let next_check = ClientRequest::check();
        assert_eq!(gateway.request(&next_check).status(), 200);
        assert_eq!(
            late_server.next_request().header("X-Trace-Id"),
            Some(next_check.header("X-Trace-Id")),
            "cancel {cancel}"
        );
    }
}

/// Guards against overlooking a disconnect behind bytes sent ahead: the client's request waits for a server, and
/// must reach none.
#[test]
fn the_disconnect_of_a_client_that_sent_much_is_noticed() {
    for trailing_bytes in [1_000, 20_000, 200_000] {
        let server = Server::new(|_| ok("served"));
        let discovery = Discovery::new("");
        let gateway = Gateway::start_ready(&discovery, None, 1);
        let mut client = gateway.client();
        client.send(&(ClientRequest::top_up().to_text() + &"x".repeat(trailing_bytes)));
        keep_event_loop_busy(&gateway);
        drop(client);
        keep_event_loop_busy(&gateway);
        let next_check = ClientRequest::check();
        discovery.publish_and_wait(false, &endpoint_entry("a", server.address, 0, "Ready"));
        assert_eq!(gateway.request(&next_check).status(), 200);
        assert_eq!(
            server.next_request().header("X-Trace-Id"),
            Some(next_check.header("X-Trace-Id")),
            "{trailing_bytes}"
        );
    }
}

/// Guards against serving a request that was unread when its client left: the process was stopped meanwhile.
#[test]
fn a_client_that_left_before_its_request_was_read_is_not_served() {
    for trailing_bytes in [0, 20_000] {
        let server = Server::new(|_| ok("served"));
        let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
        let gateway = Gateway::start_alone(&discovery);
        gateway.signal("-STOP");
        let mut client = gateway.client();
        client.send(&(ClientRequest::top_up().to_text() + &"x".repeat(trailing_bytes)));
        drop(client);
        thread::sleep(Duration::from_millis(200));
        gateway.signal("-CONT");
        let next_check = ClientRequest::check();
        assert_eq!(gateway.request(&next_check).status(), 200);
        assert_eq!(
            server.next_request().header("X-Trace-Id"),
            Some(next_check.header("X-Trace-Id")),
            "{trailing_bytes}"
        );
    }
}

/// A server that reads slowly, without an answer, and sends the number of bytes of each connection when it ends.
fn start_slow_reader(bytes_of_connections: Sender<usize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let bytes_of_connections = bytes_of_connections.clone();
            thread::spawn(move || {
                let mut chunk = [0; 20_000];
                let mut bytes = 0;
                while let Ok(count @ 1..) = stream.read(&mut chunk) {
                    bytes += count;
                    thread::sleep(Duration::from_millis(20));
                }
                let _ = bytes_of_connections.send(bytes);
            });
        }
    });
    address
}

/// Guards against a request that the system goes on sending after the gateway has given it up: its last byte, with which
/// a server begins it, would come after its client has left or its time is over.
#[test]
fn a_long_request_that_was_given_up_does_not_reach_its_server_whole() {
    for body_bytes in [300_000, 1_000_000, 3_000_000] {
        for client_leaves in [true, false] {
            let (sender, bytes_of_connections) = channel();
            let server = start_slow_reader(sender);
            let discovery = Discovery::new(&endpoint_entry("a", server, 0, "Ready"));
            let gateway = Gateway::start_alone(&discovery);
            let request = ClientRequest {
                body: "x".repeat(body_bytes),
                ..ClientRequest::top_up()
            };
            let mut client = gateway.client();
            client.send(&request.with_header("X-Expires-In", "0.2").to_text());
            if client_leaves {
                thread::sleep(Duration::from_millis(50));
                drop(client);
            } else {
                let answer = client.read_response().expect("the gateway answers");
                assert_ne!(answer.status(), 200);
            }
            let bytes = bytes_of_connections
                .recv_timeout(TIMEOUT)
                .expect("the gateway ends its connection");
            assert!(
                bytes < body_bytes,
                "the server read {bytes} of {body_bytes}"
            );
        }
    }
}
