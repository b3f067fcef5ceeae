//! The ordinary path of a request, the connection pool, and the gateway's start.

mod common;
use common::*;
use std::time::Duration;

#[test]
fn a_request_and_its_answer_pass_unchanged() {
    let server = Server::new(|_| ok("balance 42"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    let mut client_request = ClientRequest::top_up();
    client_request.path = "/top-up/card?unit=7&q=%20x";
    let answer = gateway.request(&client_request);
    assert_eq!((answer.status(), answer.body.as_str()), (200, "balance 42"));
    let forwarded = server.next_request();
    assert_eq!(forwarded.line, "POST /top-up/card?unit=7&q=%20x HTTP/1.1");
    assert_eq!(forwarded.body, client_request.body);
    for name in ["X-Trace-Id", "Idempotency-Key"] {
        assert_eq!(forwarded.header(name), Some(client_request.header(name)));
    }
    let left: f64 = forwarded
        .header("X-Expires-In")
        .expect("the request has the remaining time")
        .parse()
        .expect("the value is a number of seconds");
    assert!(left > 0.0 && left < 8.0, "{left}");
}

/// Also guards against waiting for a connection that its server has closed between two requests. The answers are
/// longer than agreed, and each returns the memory it took: all of them together exceed the limit.
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
    for client_request in [
        ClientRequest::check(),
        ClientRequest::check(),
        last,
        ClientRequest::check(),
        ClientRequest::check(),
    ] {
        assert_eq!(gateway.request(&client_request).status(), 200);
        // A connection is not reused for a short time after each answer.
        std::thread::sleep(Duration::from_millis(100));
        if client_request.path.contains("last") {
            server.wait_closed();
            // The end of the connection has to reach the gateway.
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    // One new connection after the closed one, for the two remaining requests.
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

/// Guards against servers that drop idle connections without closing them, and earlier than the settings say:
/// each request written to one may have run.
#[test]
fn silently_dropped_idle_connections_are_soon_no_longer_reused() {
    let server = Server::new(|m| {
        if m.idle > Some(Duration::from_millis(80)) {
            Reply::Close
        } else {
            ok("")
        }
    });
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    let count_requests_on_dropped = |asks: usize| {
        for _ in 0..asks {
            gateway.request(&ClientRequest::top_up());
            std::thread::sleep(Duration::from_millis(150));
        }
        let sent_on_dropped = |s: &ServerEvent| matches!(s, ServerEvent::Request(m) if m.idle > Some(Duration::from_millis(80)));
        server
            .drain_events()
            .iter()
            .filter(|s| sent_on_dropped(s))
            .count()
    };
    assert!(
        count_requests_on_dropped(8) >= 1,
        "a request is sent on a dropped connection before the gateway has learned of it"
    );
    assert_eq!(count_requests_on_dropped(8), 0);
}

#[test]
fn the_gateway_is_ready_once_discovery_has_sent_the_list() {
    let server = Server::new(|_| ok(""));
    let entry = endpoint_entry("a", server.address, 0, "Ready");
    let discovery = Discovery::new(&entry);
    discovery.set_mode(DiscoveryMode::Silent);
    let gateway = Gateway::start(discovery.address, None, 1, "");
    discovery.wait_for_calls(1);
    // Longer than the interval of the gateway's periodic work besides listening.
    std::thread::sleep(Duration::from_millis(700));
    assert!(
        !gateway.is_ready(),
        "the gateway is not ready while it knows no server"
    );
    discovery.set_mode(DiscoveryMode::Answering);
    gateway.wait_ready();
    assert_eq!(gateway.request(&ClientRequest::check()).status(), 200);
}

#[test]
fn with_discovery_down_the_gateway_serves_from_the_known_list() {
    let server = Server::new(|_| ok(""));
    let discovery = Discovery::new("");
    discovery.set_mode(DiscoveryMode::Silent);
    let known = endpoint_entry("a", server.address, 0, "Ready");
    let gateway = Gateway::start(discovery.address, None, 1, &known);
    gateway.wait_ready();
    assert_eq!(gateway.request(&ClientRequest::check()).status(), 200);
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line_and_fails_the_start() {
    let valid = format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{{"sockets":256,"memory_mb":32}},"settings":{}}}"#,
        settings(1)
    );
    for (text, expected) in [
        (String::new(), "malformed"),
        ("{}".into(), "malformed"),
        (valid.replace("127.0.0.1:0", "nowhere"), "malformed"),
        (valid.replace("\"seed\":\"1\"", "\"seed\":\"-\""), "seed"),
        (valid.replace("\"sockets\":256", "\"sockets\":8"), "sockets"),
        (
            valid.replace("\"balancers\":1", "\"balancers\":0"),
            "gateways",
        ),
    ] {
        let path = write_config_file(&text);
        let out = gateway_command(&path)
            .output()
            .expect("the gateway binary runs");
        let _ = std::fs::remove_file(path);
        let printed = String::from_utf8_lossy(&out.stderr).to_string();
        assert_eq!(out.status.code(), Some(1), "{printed}");
        assert_eq!(printed.lines().count(), 1, "{printed}");
        assert!(
            printed.starts_with("frosthatch: ") && printed.contains(expected),
            "{printed}"
        );
    }
    let out = gateway_command(std::path::Path::new("/nowhere/config.json"))
        .output()
        .expect("the gateway binary runs");
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stderr).contains("cannot be read"));
}
