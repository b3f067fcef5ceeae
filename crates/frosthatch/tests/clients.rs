//! Malformed requests, slow and idle clients, limits on connections, and the orderly shutdown.
#![expect(clippy::too_many_lines)]

mod common;
use common::*;
use std::thread::sleep;
use std::time::{Duration, Instant};

fn start_gateway_with_server() -> (Server, Gateway) {
    let server = Server::new(|_| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    (server, gateway)
}

/// Guards against forwarding malformed requests: each gets a 4xx other than 429, and reaches no server.
#[test]
fn a_malformed_request_gets_a_client_error_and_reaches_no_server() {
    let (server, mut gateway) = start_gateway_with_server();
    let (check, top_up) = (ClientRequest::check, ClientRequest::top_up);
    let mut malformed: Vec<String> = Vec::new();
    for name in [
        "X-Trace-Id",
        "X-Qos",
        "X-Tier",
        "X-Api-Key",
        "X-Expires-In",
        "X-Call-Terms",
    ] {
        malformed.push(check().without_header(name).to_text());
        malformed.push(check().with_header(name, "").to_text());
        malformed.push(check().with_header(name, "\u{e6}\u{f8}\u{e5}").to_text());
    }
    malformed.push(top_up().without_header("Idempotency-Key").to_text());
    for (name, value) in [
        ("X-Trace-Id", "xyz"),
        ("X-Trace-Id", "+000000000000001"),
        ("X-Qos", "top-up"),
        ("X-Tier", "platinum"),
        ("X-Api-Key", "12"),
        ("X-Expires-In", "soon"),
        ("X-Expires-In", "-1"),
        ("X-Expires-In", "NaN"),
        ("X-Expires-In", "1e300"),
        ("X-Call-Terms", "units=2"),
        ("X-Call-Terms", "units=-1,spread=1,first=0"),
        ("X-Call-Terms", "units=NaN,spread=1,first=0"),
        ("X-Call-Terms", "units=1e9,spread=1,first=0"),
        ("X-Call-Terms", "units=1,spread=99,first=0"),
        ("X-Call-Terms", "units=1,spread=1,first=-7"),
    ] {
        malformed.push(check().with_header(name, value).to_text());
    }
    for path in ["/", "/nowhere", "/balance-checks", "*", "/ready/x"] {
        malformed.push(ClientRequest { path, ..check() }.to_text());
    }
    malformed.push(
        ClientRequest {
            method: "POST",
            ..check()
        }
        .to_text(),
    );
    malformed.push(
        ClientRequest {
            method: "GET",
            ..top_up()
        }
        .to_text(),
    );
    malformed.push(
        ClientRequest {
            method: "BREW",
            ..check()
        }
        .to_text(),
    );
    malformed.push("nonsense\r\n\r\n".into());
    malformed.push("GET / HTTP/9.9\r\n\r\n".into());
    malformed.push(
        check()
            .to_text()
            .replace("\r\n\r\n", "\r\nContent-Length: -4\r\n\r\n"),
    );
    malformed.push(check().to_text().replace(
        "\r\n\r\n",
        "\r\nContent-Length: 99999999999999999999999\r\n\r\n",
    ));
    malformed.push(check().to_text().replace(
        "\r\n\r\n",
        &format!("\r\nX-Pad: {}\r\n\r\n", "x".repeat(1 << 17)),
    ));
    malformed.push(
        check()
            .to_text()
            .replace("X-Tier:", "X-Tier: small\r\nX-Tier:"),
    );
    for text in malformed {
        let start: String = text.chars().take(200).collect();
        let answer = gateway
            .client()
            .exchange(&text)
            .unwrap_or_else(|| panic!("the gateway closes without an answer to {start:?}"));
        assert!(
            (400..500).contains(&answer.status()) && answer.status() != 429,
            "{start:?}: {answer:?}"
        );
    }
    assert_eq!(server.drain_request_count(), 0);
    assert!(gateway.is_running());
    assert_eq!(gateway.request(&check()).body, "served");
}

/// Guards against request smuggling: with two lengths, or both framings, neither is trusted, no server receives
/// the request, and nothing behind it is read as a request.
#[test]
fn a_request_with_ambiguous_framing_is_refused_and_smuggles_no_other() {
    let hidden = format!("0\r\n\r\n{}", ClientRequest::check().to_text());
    let length = format!("Content-Length: {}\r\n", hidden.len());
    let chunked = "Transfer-Encoding: chunked\r\n".to_string();
    let obscure = "Transfer-Encoding: xchunked\r\n".to_string();
    for lines in [
        [&length, &chunked],
        [&chunked, &length],
        [&length, &obscure],
        [&length, &length],
        [&length, &"Content-Length: 5\r\n".to_string()],
        [
            &"Transfer-Encoding: gzip, chunked\r\n".to_string(),
            &String::new(),
        ],
    ] {
        let (server, gateway) = start_gateway_with_server();
        let head = ClientRequest {
            body: String::new(),
            ..ClientRequest::top_up()
        }
        .to_text()
        .replace("Content-Length: 0\r\n", "");
        let head = head.trim_end().to_string() + "\r\n" + &lines.map(String::as_str).concat();
        let mut client = gateway.client();
        client.send(&format!("{head}\r\n{hidden}"));
        assert_eq!(
            client
                .read_response()
                .expect("the gateway answers the request")
                .status(),
            400,
            "{lines:?}"
        );
        assert!(
            client.read_response().is_none(),
            "the gateway closes the connection"
        );
        assert_eq!(server.drain_request_count(), 0, "{lines:?}");
    }
}

/// Guards against clients that send nothing, or part of a request, and stay connected: each gets an error or a
/// close within 3 s of connecting.
#[test]
fn missing_and_partial_requests_time_out() {
    let (server, gateway) = start_gateway_with_server();
    let text = ClientRequest::top_up().to_text();
    let since = std::time::Instant::now();
    let mut clients: Vec<Client> = [0, 1, 40, text.len() - 12, text.len() - 1]
        .map(|end| {
            let mut client = gateway.client();
            client.send(&text[..end]);
            client
        })
        .into();
    for client in &mut clients {
        assert!(client.read_response().is_none_or(|m| m.status() == 408));
    }
    assert!(
        since.elapsed() < TIMEOUT / 4,
        "requests time out before the clients do"
    );
    assert_eq!(server.drain_request_count(), 0);
}

/// Guards against reading a 60 MB body that is refused anyway: the answer comes before the body.
#[test]
fn a_huge_body_is_refused_unread() {
    let (server, gateway) = start_gateway_with_server();
    for length in ["62914560", "99999999999999999999999"] {
        let mut client = gateway.client();
        let head = ClientRequest {
            body: String::new(),
            ..ClientRequest::top_up()
        }
        .to_text();
        client.send(&head.replace("Content-Length: 0", &format!("Content-Length: {length}")));
        assert_eq!(
            client
                .read_response()
                .expect("the gateway answers the request")
                .status(),
            413
        );
        assert!(
            client.read_response().is_none(),
            "the gateway closes the connection"
        );
    }
    assert_eq!(server.drain_request_count(), 0);
}

/// Guards against malformed requests using up a customer's quota.
#[test]
fn malformed_requests_use_no_quota() {
    let (_server, gateway) = start_gateway_with_server();
    let small = || {
        ClientRequest::check()
            .with_header("X-Tier", "small")
            .with_header("X-Call-Terms", "units=6,spread=1,first=0")
    };
    for units in ["7", "-6", "NaN", "six", "6,units=6"] {
        let terms = format!("units={units},spread=1,first=0");
        assert_eq!(
            gateway
                .request(&small().with_header("X-Call-Terms", &terms))
                .status(),
            400
        );
        assert_eq!(
            gateway
                .request(
                    &small()
                        .with_header("X-Expires-In", units)
                        .with_header("X-Tier", "none")
                )
                .status(),
            400
        );
    }
    assert_eq!(gateway.request(&small()).status(), 200);
}

#[test]
fn a_partial_request_and_a_close_affect_no_other_client() {
    let (server, gateway) = start_gateway_with_server();
    let text = ClientRequest::top_up().to_text();
    for end in [1, 40, text.len() - 20, text.len() - 1] {
        gateway.client().send(&text[..end]);
    }
    assert_eq!(gateway.request(&ClientRequest::check()).body, "served");
    assert_eq!(server.drain_request_count(), 1);
}

/// Guards against running out of descriptors: the connection idle longest is closed to make room, and no other.
#[test]
fn the_connection_that_is_idle_longest_makes_room_for_others() {
    let (_server, gateway) = start_gateway_with_server();
    let mut idle_clients: Vec<Client> = (0..200).map(|_| gateway.client()).collect();
    let mut kept = gateway.client();
    for _ in 0..3 {
        assert_eq!(
            kept.exchange(&ClientRequest::check().to_text())
                .expect("the gateway answers the request")
                .body,
            "served"
        );
        assert_eq!(gateway.request(&ClientRequest::check()).body, "served");
    }
    assert!(
        idle_clients[0].read_response().is_none(),
        "the connection idle longest is closed"
    );
}

/// Guards against requests that wait unread on new connections while recently used ones are idle.
#[test]
fn recently_used_connections_make_room_for_many_new_ones() {
    let (_server, gateway) = start_gateway_with_server();
    let crowd = (0..250).map(|_| {
        let (since, mut client) = (Instant::now(), gateway.client());
        assert_eq!(
            client
                .exchange(&ClientRequest::check().to_text())
                .expect("the gateway answers the request")
                .body,
            "served"
        );
        assert!(
            since.elapsed() < Duration::from_secs(1),
            "a new client doesn't wait for another connection to become idle"
        );
        client
    });
    assert_eq!(crowd.collect::<Vec<Client>>().len(), 250);
}

/// Guards against leaving requests unread because slow requests occupy all places: a request beyond the limit is
/// refused at once, and every client is answered in time.
#[test]
fn a_request_that_finds_all_places_taken_is_refused_before_its_deadline() {
    let server = Server::new(|_| Reply::Silence);
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let text = config_text(discovery.address, None, 1, "");
    let gateway = Gateway::start_from_config(&text.replace("\"sockets\":256", "\"sockets\":64"));
    gateway.wait_ready();
    let since = Instant::now();
    let mut clients: Vec<Client> = (0..60).map(|_| gateway.client()).collect();
    for client in &mut clients {
        client.send(
            &ClientRequest::check()
                .with_header("X-Expires-In", "3.0")
                .to_text(),
        );
    }
    let statuses: Vec<u16> = clients
        .iter_mut()
        .map(|c| {
            c.read_response()
                .expect("the gateway answers the request")
                .status()
        })
        .collect();
    assert!(
        since.elapsed() < Duration::from_secs(5),
        "{:?}",
        since.elapsed()
    );
    // A request that is safe to repeat is refused with 429 although it reached a server that did not answer.
    assert!(statuses.iter().all(|s| *s == 429), "{statuses:?}");
    assert!(
        (1..60).contains(&server.drain_request_count()),
        "some requests reach the server and some don't"
    );
    // A readiness probe is answered too.
    assert!(gateway.is_ready());
}

/// Guards against idle connections that are kept forever.
#[test]
fn an_idle_connection_is_closed_eventually() {
    let (_server, gateway) = start_gateway_with_server();
    let mut client = gateway.client();
    assert_eq!(
        client
            .exchange(&ClientRequest::check().to_text())
            .expect("the gateway answers the request")
            .body,
        "served"
    );
    assert!(client.read_response().is_none());
}

/// Pipelined requests are answered in order, up to the first malformed one.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let (_server, gateway) = start_gateway_with_server();
    let mut client = gateway.client();
    client.send(
        &[
            ClientRequest::top_up().to_text(),
            ClientRequest::check().to_text(),
            "noise\r\n\r\n".into(),
            ClientRequest::check().to_text(),
        ]
        .concat(),
    );
    let statuses: Vec<u16> = std::iter::from_fn(|| client.read_response())
        .map(|m| m.status())
        .collect();
    assert_eq!(statuses, [200, 200, 400]);
}

/// Guards against two concurrent requests with the same id.
#[test]
fn an_id_in_use_is_refused_with_409() {
    let server = Server::new(|_| Reply::Silence);
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    let request = ClientRequest::check();
    let mut client = gateway.client();
    client.send(&request.to_text());
    server.next_request();
    assert_eq!(gateway.request(&request).status(), 409);
    assert_eq!(server.drain_request_count(), 0);
}

/// Guards against a request that runs twice: its id comes again after its client has left, and the server goes on with
/// the first.
#[test]
fn an_id_whose_client_has_left_is_refused_with_409() {
    let server = Server::new(|_| Reply::Silence);
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    for request in [ClientRequest::check(), ClientRequest::top_up()] {
        let mut client = gateway.client();
        client.send(&request.to_text());
        server.next_request();
        drop(client);
        server.wait_closed();
        assert_eq!(gateway.request(&request).status(), 409);
        assert_eq!(server.drain_request_count(), 0);
    }
}

#[test]
fn after_sigterm_the_gateway_answers_held_and_new_requests_and_exits() {
    let server = Server::new(|m| {
        if m.line.contains("slow") {
            sleep(Duration::from_millis(1_500));
        }
        ok("served")
    });
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let mut gateway = Gateway::start_alone(&discovery);
    let mut idle = gateway.client();
    assert_eq!(
        idle.exchange(&ClientRequest::check().to_text())
            .expect("the gateway answers the request")
            .body,
        "served"
    );
    server.next_request();
    let mut held = gateway.client();
    held.send(
        &ClientRequest {
            path: "/balance-check?slow",
            ..ClientRequest::check()
        }
        .to_text(),
    );
    server.next_request();
    gateway.terminate();
    // Requests are served both on a new connection and on one from before the signal.
    let served_after_sigterm = gateway.request(&ClientRequest::check());
    assert_eq!(
        (
            served_after_sigterm.status(),
            served_after_sigterm.body.as_str()
        ),
        (200, "served")
    );
    let kept = idle
        .exchange(&ClientRequest::check().to_text())
        .expect("the gateway answers the request");
    assert_eq!(kept.body, "served");
    let held = held.read_response().expect("the held request is answered");
    assert_eq!(
        (held.body.as_str(), held.header("Connection")),
        ("served", Some("close"))
    );
    assert!(gateway.wait_for_exit().success());
}
