//! New configurations while the program runs.

mod common;
use common::*;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A discovery that knows one server, at a version that would be old news elsewhere.
fn place(body: &'static str) -> (Server, Discovery) {
    let server = Server::new(move |m| {
        if m.line.contains("slow") {
            sleep(Duration::from_millis(800));
        }
        ok(body)
    });
    let discovery = Discovery::new(&endpoint_entry(body, server.address, 0, "Ready"));
    (server, discovery)
}

/// Asks until an answer comes from the server named.
fn until_served_by(gateway: &Gateway, body: &str) {
    let since = Instant::now();
    while gateway.request(&ClientRequest::check()).body != body {
        assert!(since.elapsed() < TIMEOUT, "{body} serves in the end");
        sleep(Duration::from_millis(10));
    }
}

/// Asks until a call to the counter shows up there.
fn until_counted(gateway: &Gateway, there: &ScriptedCounter) {
    let since = Instant::now();
    for customer in 0.. {
        let ask = ClientRequest::check().with_header("X-Api-Key", &format!("{customer:016x}"));
        gateway.request(
            &ask.with_header("X-Tier", "small")
                .with_header("X-Call-Terms", "units=3,spread=2,first=0"),
        );
        if there.lines.recv_timeout(Duration::from_millis(50)).is_ok() {
            return;
        }
        assert!(
            since.elapsed() < TIMEOUT,
            "the counter is called in the end"
        );
    }
}

fn counter() -> ScriptedCounter {
    ScriptedCounter::new(|_, _| Some((Duration::ZERO, "ok 3".into())))
}

/// Guards against ending on SIGHUP, and against holding on to what the old configuration named.
#[test]
fn sighup_moves_discovery_and_counter_and_drops_no_request() {
    let ((a, first), (_b, second)) = (place("a"), place("b"));
    let counters = [counter(), counter()];
    let mut gateway = Gateway::start_ready(&first, Some(counters[0].address), 2);
    until_counted(&gateway, &counters[0]);
    // Its version is ahead of the other discovery's.
    first.publish_and_wait(true, &endpoint_entry("a", a.address, 0, "Ready"));
    for (place, body, count) in [(&second, "b", &counters[1]), (&first, "a", &counters[0])] {
        let mut held = gateway.client();
        // Whether it reaches the old server or the new one, it is answered.
        held.send(
            &ClientRequest {
                path: "/balance-check?slow",
                ..ClientRequest::check()
            }
            .to_text(),
        );
        gateway.replace_config(&config_text(place.address, Some(count.address), 2, ""));
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
fn several_in_a_row_end_with_the_last() {
    let places = ["a", "b", "c"].map(place);
    let mut gateway = Gateway::start_ready(&places[0].1, None, 1);
    for _ in 0..5 {
        for (_, discovery) in &places {
            gateway.replace_config(&config_text(discovery.address, None, 1, ""));
        }
    }
    until_served_by(&gateway, "c");
    assert!(gateway.is_running());
}

/// Guards against a file that is half written or gone: what was in force stays so.
#[test]
fn a_configuration_that_cannot_be_read_changes_nothing() {
    let ((_a, first), (_b, second)) = (place("a"), place("b"));
    let mut gateway = Gateway::start_ready(&first, None, 1);
    let nobody: SocketAddr = "127.0.0.1:1".parse().expect("the text is a socket address");
    let text = config_text(nobody, None, 1, "");
    for broken in ["", "{}", &text[..text.len() / 2]] {
        gateway.replace_config(broken);
        first.wait_for_calls(2);
        assert_eq!(gateway.request(&ClientRequest::check()).body, "a");
    }
    gateway.replace_config(&config_text(second.address, None, 1, ""));
    until_served_by(&gateway, "b");
    assert!(gateway.is_running());
}
