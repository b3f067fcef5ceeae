//! Attempts whose connections are established late: an attempt that may no longer begin does not, whatever was
//! decided before.

mod common;
use common::*;
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
