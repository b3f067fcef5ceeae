//! Attempts whose connections come up late: what may not begin any more does not, whatever was decided before.

mod common;
use common::*;
use std::thread;
use std::time::{Duration, Instant};

/// A gateway that waits long for connections, with settings changed as told.
fn patient(discovery: &Discovery, changes: &[(&str, &str)]) -> Gateway {
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

/// Turns of the gateway's loop, for longer than a client that has gone may be overlooked.
fn turns(gateway: &Gateway) {
    let since = Instant::now();
    while since.elapsed() < Duration::from_millis(150) {
        gateway.is_ready();
    }
}

/// Guards against a second effect: servers remember a key for its window, and the connection for the repeat comes up later.
#[test]
fn a_keyed_repeat_does_not_begin_after_its_window() {
    let (first, go) = Server::gated(|| status("500 Internal Server Error"));
    let late = FullBacklog::new();
    let discovery = Discovery::new(&endpoint_entry("a", first.address, 3, "Ready"));
    let gateway = patient(
        &discovery,
        &[("\"windowUs\":7500000", "\"windowUs\":600000")],
    );
    let mut client = gateway.client();
    client.send(&ClientRequest::top_up().to_text());
    first.next_request();
    discovery.publish_and_wait(false, &endpoint_entry("b", late.address(), 3, "Ready"));
    let since = Instant::now();
    let _ = go.send(());
    // The repeat is on its way now, and waits for its connection.
    thread::sleep(Duration::from_millis(700));
    let late = late.accept(|_| ok("twice"));
    let answer = client
        .read_response()
        .expect("the gateway answers the request");
    assert!(matches!(answer.status(), 502 | 504), "{answer:?}");
    assert!(
        since.elapsed() > Duration::from_millis(500),
        "the repeat was tried"
    );
    // Whatever was to come there has come before this one.
    let ask = ClientRequest::check();
    discovery.publish_and_wait(true, &endpoint_entry("b", late.address, 3, "Ready"));
    assert_eq!(gateway.request(&ask).status(), 200);
    assert_eq!(
        late.next_request().header("X-Trace-Id"),
        Some(ask.header("X-Trace-Id"))
    );
}

/// Guards against work for nobody, also where the settings bar calling attempts back: this one has not begun.
#[test]
fn nothing_begins_for_a_client_that_left_while_it_connected() {
    for cancel in [true, false] {
        let late = FullBacklog::new();
        let discovery = Discovery::new(&endpoint_entry("a", late.address(), 0, "Ready"));
        let gateway = patient(
            &discovery,
            &[("\"cancel\":true", &format!("\"cancel\":{cancel}"))],
        );
        let mut client = gateway.client();
        client.send(&ClientRequest::top_up().to_text());
        turns(&gateway);
        drop(client);
        turns(&gateway);
        let late = late.accept(|_| ok("served"));
        if !cancel {
            late.wait_connected();
        }
        let ask = ClientRequest::check();
        assert_eq!(gateway.request(&ask).status(), 200);
        assert_eq!(
            late.next_request().header("X-Trace-Id"),
            Some(ask.header("X-Trace-Id")),
            "cancel {cancel}"
        );
    }
}

/// Guards against a client that hides its end behind what it sent ahead: its request waits for a server, and goes to none.
#[test]
fn a_client_that_sends_much_and_goes_is_seen_to_go() {
    for junk in [1_000, 20_000, 200_000] {
        let server = Server::new(|_| ok("served"));
        let discovery = Discovery::new("");
        let gateway = Gateway::start_ready(&discovery, None, 1);
        let mut client = gateway.client();
        client.send(&(ClientRequest::top_up().to_text() + &"x".repeat(junk)));
        turns(&gateway);
        drop(client);
        turns(&gateway);
        let ask = ClientRequest::check();
        discovery.publish_and_wait(false, &endpoint_entry("a", server.address, 0, "Ready"));
        assert_eq!(gateway.request(&ask).status(), 200);
        assert_eq!(
            server.next_request().header("X-Trace-Id"),
            Some(ask.header("X-Trace-Id")),
            "{junk}"
        );
    }
}

/// Guards against a request that waited unread until its client had gone: the process did nothing meanwhile.
#[test]
fn a_client_that_left_before_it_was_heard_is_not_served() {
    for junk in [0, 20_000] {
        let server = Server::new(|_| ok("served"));
        let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
        let gateway = Gateway::start_alone(&discovery);
        gateway.signal("-STOP");
        let mut client = gateway.client();
        client.send(&(ClientRequest::top_up().to_text() + &"x".repeat(junk)));
        drop(client);
        thread::sleep(Duration::from_millis(200));
        gateway.signal("-CONT");
        let ask = ClientRequest::check();
        assert_eq!(gateway.request(&ask).status(), 200);
        assert_eq!(
            server.next_request().header("X-Trace-Id"),
            Some(ask.header("X-Trace-Id")),
            "{junk}"
        );
    }
}
