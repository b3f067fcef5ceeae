//! The plain path, the pool, and what a gateway does at its start.

mod common;
use common::*;
use std::time::Duration;

#[test]
fn a_request_goes_on_unchanged_and_its_answer_comes_back_unchanged() {
    let server = Server::new(|_| ok("balance 42"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    let mut ask = ClientRequest::top_up();
    ask.path = "/top-up/card?unit=7&q=%20x";
    let answer = gateway.request(&ask);
    assert_eq!((answer.status(), answer.body.as_str()), (200, "balance 42"));
    let got = server.next_request();
    assert_eq!(got.line, "POST /top-up/card?unit=7&q=%20x HTTP/1.1");
    assert_eq!(got.body, ask.body);
    for name in ["X-Trace-Id", "Idempotency-Key"] {
        assert_eq!(got.header(name), Some(ask.header(name)));
    }
    let left: f64 = got
        .header("X-Expires-In")
        .expect("the request has the remaining time")
        .parse()
        .expect("the value is a number of seconds");
    assert!(left > 0.0 && left < 8.0, "{left}");
}

/// Guards, too, against waiting for a connection that its server has closed between two requests.
/// Longer than agreed, and each gives back the room that it took: all of them together are more than there is.
#[test]
fn long_answers_come_back_whole() {
    let body = |n: usize| format!("{n}-").repeat(500_000);
    let server = Server::new(move |m| {
        if m.line.contains("chunks") {
            Reply::Bytes(format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n",
                body(2).len(),
                body(2)
            ))
        } else {
            ok(&body(1))
        }
    });
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    for (path, n) in [("/balance-check/plain", 1), ("/balance-check/chunks", 2)].repeat(4) {
        let answer = gateway.request(&ClientRequest {
            path,
            ..ClientRequest::check()
        });
        assert_eq!(answer.status(), 200);
        assert!(answer.body == body(n), "{} bytes", answer.body.len());
    }
}

#[test]
fn a_connection_to_a_server_is_used_again_and_one_that_it_closed_is_not() {
    let server = Server::new(|m| {
        if m.line.contains("last") {
            Reply::BytesThenClose("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into())
        } else {
            ok("")
        }
    });
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    let mut last = ClientRequest::check();
    last.path = "/balance-check?last";
    for ask in [
        ClientRequest::check(),
        ClientRequest::check(),
        last,
        ClientRequest::check(),
        ClientRequest::check(),
    ] {
        assert_eq!(gateway.request(&ask).status(), 200);
        // A connection rests for a moment after each answer.
        std::thread::sleep(Duration::from_millis(100));
        if ask.path.contains("last") {
            server.wait_closed();
            // Its end has to cross to the gateway.
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    // One more connection after the one that ended, for the two requests that were left.
    let seen = server.drain_events();
    let count = |what: fn(&ServerEvent) -> bool| seen.iter().filter(|s| what(s)).count();
    assert_eq!(
        count(|s| matches!(s, ServerEvent::Connected)),
        1,
        "{seen:?}"
    );
    assert_eq!(
        count(|s| matches!(s, ServerEvent::Request(_))),
        2,
        "{seen:?}"
    );
}

/// Guards against servers that drop idle connections unseen, and sooner than the settings say: each request written to
/// one may have run.
#[test]
fn connections_that_servers_drop_unseen_when_idle_are_not_used_for_long() {
    let server = Server::new(|m| {
        if m.idle > Some(Duration::from_millis(80)) {
            Reply::Close
        } else {
            ok("")
        }
    });
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    let dropped = |asks: usize| {
        for _ in 0..asks {
            gateway.request(&ClientRequest::top_up());
            std::thread::sleep(Duration::from_millis(150));
        }
        let late = |s: &ServerEvent| matches!(s, ServerEvent::Request(m) if m.idle > Some(Duration::from_millis(80)));
        server.drain_events().iter().filter(|s| late(s)).count()
    };
    assert!(dropped(8) >= 1, "nobody knows yet");
    assert_eq!(dropped(8), 0);
}

#[test]
fn it_is_ready_once_discovery_has_told_the_list() {
    let server = Server::new(|_| ok(""));
    let entry = endpoint_entry("a", server.address, 0, "Ready");
    let discovery = Discovery::new(&entry);
    discovery.set_mode(DiscoveryMode::Silent);
    let gateway = Gateway::start(discovery.address, None, 1, "");
    discovery.wait_for_calls(1);
    // Long enough for whatever is done now and then beside listening.
    std::thread::sleep(Duration::from_millis(700));
    assert!(
        !gateway.is_ready(),
        "with no server known nothing can be served"
    );
    discovery.set_mode(DiscoveryMode::Answering);
    gateway.wait_ready();
    assert_eq!(gateway.request(&ClientRequest::check()).status(), 200);
}

#[test]
fn with_discovery_down_it_serves_from_the_list_that_it_had() {
    let server = Server::new(|_| ok(""));
    let discovery = Discovery::new("");
    discovery.set_mode(DiscoveryMode::Silent);
    let known = endpoint_entry("a", server.address, 0, "Ready");
    let gateway = Gateway::start(discovery.address, None, 1, &known);
    gateway.wait_ready();
    assert_eq!(gateway.request(&ClientRequest::check()).status(), 200);
}

#[test]
fn a_bad_configuration_is_one_line_and_a_failure() {
    let fine = format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{{"sockets":256,"memory_mb":32}},"settings":{}}}"#,
        settings(1)
    );
    for (text, says) in [
        (String::new(), "malformed"),
        ("{}".into(), "malformed"),
        (fine.replace("127.0.0.1:0", "nowhere"), "malformed"),
        (fine.replace("\"seed\":\"1\"", "\"seed\":\"-\""), "seed"),
        (fine.replace("\"sockets\":256", "\"sockets\":8"), "sockets"),
        (
            fine.replace("\"balancers\":1", "\"balancers\":0"),
            "gateways",
        ),
    ] {
        let path = write_config_file(&text);
        let out = gateway_command(&path)
            .output()
            .expect("the gateway binary runs");
        let _ = std::fs::remove_file(path);
        let said = String::from_utf8_lossy(&out.stderr).to_string();
        assert_eq!(out.status.code(), Some(1), "{said}");
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(
            said.starts_with("frosthatch: ") && said.contains(says),
            "{said}"
        );
    }
    let out = gateway_command(std::path::Path::new("/nowhere/config.json"))
        .output()
        .expect("the gateway binary runs");
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stderr).contains("cannot be read"));
}
