//! New configurations while the process runs.

mod common;
use common::*;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Starts a server that answers `body` and a discovery that lists it. Each discovery counts its own revisions,
/// so a list may have a lower revision than the list of another discovery.
fn start_server_and_discovery(body: &'static str) -> (Server, Discovery) {
    let server = Server::new(move |m| {
        if m.line.contains("slow") {
            sleep(Duration::from_millis(800));
        }
        ok(body)
    });
    let discovery = Discovery::new(&endpoint_entry(body, server.address, 0, "Ready"));
    (server, discovery)
}

/// Sends requests until one is answered by the server with this body.
fn until_served_by(gateway: &Gateway, body: &str) {
    let since = Instant::now();
    while gateway.request(&ClientRequest::check()).body != body {
        assert!(since.elapsed() < TIMEOUT, "server {body} serves a request");
        sleep(Duration::from_millis(10));
    }
}

/// Sends requests until a call arrives at the counter.
fn until_counted(gateway: &Gateway, scripted_counter: &ScriptedCounter) {
    let since = Instant::now();
    for customer in 0.. {
        let http_request =
            ClientRequest::check().with_header("X-Api-Key", &format!("{customer:016x}"));
        gateway.request(
            &http_request
                .with_header("X-Tier", "small")
                .with_header("X-Call-Terms", "units=3,spread=2,first=0"),
        );
        if scripted_counter
            .lines
            .recv_timeout(Duration::from_millis(50))
            .is_ok()
        {
            return;
        }
        assert!(since.elapsed() < TIMEOUT, "the counter is called");
    }
}

fn start_counter() -> ScriptedCounter {
    ScriptedCounter::new(|_, _| Some((Duration::ZERO, "ok 3".into())))
}

/// Guards against exiting on SIGHUP, and against keeping the discovery and counter of the old configuration.
#[test]
fn sighup_moves_discovery_and_counter_and_drops_no_request() {
    let ((a, first), (_b, second)) = (
        start_server_and_discovery("a"),
        start_server_and_discovery("b"),
    );
    let counters = [start_counter(), start_counter()];
    let mut gateway = Gateway::start_ready(&first, Some(counters[0].address), 2);
    until_counted(&gateway, &counters[0]);
    // The first discovery's revision is ahead of the second one's.
    first.publish_and_wait(true, &endpoint_entry("a", a.address, 0, "Ready"));
    for (discovery, body, count) in [(&second, "b", &counters[1]), (&first, "a", &counters[0])] {
        let mut held = gateway.client();
        // The request is answered whether it reaches the old server or the new one.
        held.send(
            &ClientRequest {
                path: "/balance-check?slow",
                ..ClientRequest::check()
            }
            .to_text(),
        );
        gateway.replace_config(&config_text(discovery.address, Some(count.address), 2, ""));
        until_served_by(&gateway, body);
        assert_eq!(
            held.read_response()
                .expect("the held request is answered")
                .status(),
            200
        );
        while count.lines.try_recv().is_ok() {}
        until_counted(&gateway, count);
    }
    assert!(gateway.is_running());
}

#[test]
fn of_several_reloads_in_a_row_the_last_is_in_force() {
    let places = ["a", "b", "c"].map(start_server_and_discovery);
    let mut gateway = Gateway::start_ready(&places[0].1, None, 1);
    for _ in 0..5 {
        for (_, discovery) in &places {
            gateway.replace_config(&config_text(discovery.address, None, 1, ""));
        }
    }
    until_served_by(&gateway, "c");
    assert!(gateway.is_running());
}

/// Guards against a partly written or missing file: the configuration in force stays.
#[test]
fn an_unreadable_configuration_changes_nothing() {
    let ((_a, first), (_b, second)) = (
        start_server_and_discovery("a"),
        start_server_and_discovery("b"),
    );
    let mut gateway = Gateway::start_ready(&first, None, 1);
    let unused_address: SocketAddr = "127.0.0.1:1".parse().expect("the text is a socket address");
    let text = config_text(unused_address, None, 1, "");
    for broken in ["", "{}", &text[..text.len() / 2]] {
        gateway.replace_config(broken);
        first.wait_for_calls(2);
        assert_eq!(gateway.request(&ClientRequest::check()).body, "a");
    }
    gateway.replace_config(&config_text(second.address, None, 1, ""));
    until_served_by(&gateway, "b");
    assert!(gateway.is_running());
}
