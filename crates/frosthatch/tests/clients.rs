//! Clients that send nonsense, and the planned end.
#![expect(clippy::too_many_lines)]

mod common;
use common::*;
use std::thread::sleep;
use std::time::{Duration, Instant};

fn stage() -> (Server, Gateway) {
    let server = Server::new(|_| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    (server, gateway)
}

/// Guards against requests that make no sense: a plain 4xx that is not a refusal, and no server hears of them.
#[test]
fn a_request_that_makes_no_sense_is_a_plain_error() {
    let (server, mut gateway) = stage();
    let (check, top_up) = (ClientRequest::check, ClientRequest::top_up);
    let mut bad: Vec<String> = Vec::new();
    for name in [
        "X-Trace-Id",
        "X-Qos",
        "X-Tier",
        "X-Api-Key",
        "X-Expires-In",
        "X-Call-Terms",
    ] {
        bad.push(check().without_header(name).to_text());
        bad.push(check().with_header(name, "").to_text());
        bad.push(check().with_header(name, "\u{e6}\u{f8}\u{e5}").to_text());
    }
    bad.push(top_up().without_header("Idempotency-Key").to_text());
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
        bad.push(check().with_header(name, value).to_text());
    }
    for path in ["/", "/nowhere", "/balance-checks", "*", "/ready/x"] {
        bad.push(ClientRequest { path, ..check() }.to_text());
    }
    bad.push(
        ClientRequest {
            method: "POST",
            ..check()
        }
        .to_text(),
    );
    bad.push(
        ClientRequest {
            method: "GET",
            ..top_up()
        }
        .to_text(),
    );
    bad.push(
        ClientRequest {
            method: "BREW",
            ..check()
        }
        .to_text(),
    );
    bad.push("nonsense\r\n\r\n".into());
    bad.push("GET / HTTP/9.9\r\n\r\n".into());
    bad.push(
        check()
            .to_text()
            .replace("\r\n\r\n", "\r\nContent-Length: -4\r\n\r\n"),
    );
    bad.push(check().to_text().replace(
        "\r\n\r\n",
        "\r\nContent-Length: 99999999999999999999999\r\n\r\n",
    ));
    bad.push(check().to_text().replace(
        "\r\n\r\n",
        &format!("\r\nX-Pad: {}\r\n\r\n", "x".repeat(1 << 17)),
    ));
    bad.push(
        check()
            .to_text()
            .replace("X-Tier:", "X-Tier: small\r\nX-Tier:"),
    );
    for text in bad {
        let start: String = text.chars().take(200).collect();
        let answer = gateway
            .client()
            .exchange(&text)
            .unwrap_or_else(|| panic!("an answer to {start:?}"));
        assert!(
            (400..500).contains(&answer.status()) && answer.status() != 429,
            "{start:?}: {answer:?}"
        );
    }
    assert_eq!(server.drain_request_count(), 0);
    assert!(gateway.is_running());
    assert_eq!(gateway.request(&check()).body, "served");
}

/// Guards against a request hidden in the body of another: with two lengths, or both framings, neither is believed,
/// no server hears of it, and nothing behind it is read as a request.
#[test]
fn a_request_whose_end_is_in_doubt_is_turned_away_and_hides_no_other() {
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
        let (server, gateway) = stage();
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
            client.read_response().expect("an answer").status(),
            400,
            "{lines:?}"
        );
        assert!(client.read_response().is_none(), "the connection ends");
        assert_eq!(server.drain_request_count(), 0, "{lines:?}");
    }
}

/// Guards against clients that say nothing, or half of what they should, and stay: each has an error or a close within
/// 3 s of connecting.
#[test]
fn silent_and_half_requests_end_in_time() {
    let (server, gateway) = stage();
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
        "not only when the clients had enough"
    );
    assert_eq!(server.drain_request_count(), 0);
}

/// Guards against reading 60 MB that nobody wants: the answer comes before they do.
#[test]
fn a_huge_body_is_turned_away_unread() {
    let (server, gateway) = stage();
    for length in ["62914560", "99999999999999999999999"] {
        let mut client = gateway.client();
        let head = ClientRequest {
            body: String::new(),
            ..ClientRequest::top_up()
        }
        .to_text();
        client.send(&head.replace("Content-Length: 0", &format!("Content-Length: {length}")));
        assert_eq!(client.read_response().expect("an answer").status(), 413);
        assert!(client.read_response().is_none(), "the connection ends");
    }
    assert_eq!(server.drain_request_count(), 0);
}

/// Guards against a customer's quota that is used up by requests that make no sense.
#[test]
fn what_makes_no_sense_uses_nobodys_quota() {
    let (_server, gateway) = stage();
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
fn half_a_request_and_a_close_harm_nobody() {
    let (server, gateway) = stage();
    let text = ClientRequest::top_up().to_text();
    for end in [1, 40, text.len() - 20, text.len() - 1] {
        gateway.client().send(&text[..end]);
    }
    assert_eq!(gateway.request(&ClientRequest::check()).body, "served");
    assert_eq!(server.drain_request_count(), 1);
}

/// Guards against connections that use up the descriptors: the one idle longest makes room, and no other.
#[test]
fn the_connection_that_is_idle_longest_makes_room_for_others() {
    let (_server, gateway) = stage();
    let mut silent: Vec<Client> = (0..200).map(|_| gateway.client()).collect();
    let mut kept = gateway.client();
    for _ in 0..3 {
        assert_eq!(
            kept.exchange(&ClientRequest::check().to_text())
                .expect("an answer")
                .body,
            "served"
        );
        assert_eq!(gateway.request(&ClientRequest::check()).body, "served");
    }
    assert!(silent[0].read_response().is_none(), "the first is closed");
}

/// Guards against requests that wait unread on new connections while old ones, just used, stand idle.
#[test]
fn connections_that_were_used_a_moment_ago_make_room_for_a_crowd() {
    let (_server, gateway) = stage();
    let crowd = (0..250).map(|_| {
        let (since, mut client) = (Instant::now(), gateway.client());
        assert_eq!(
            client
                .exchange(&ClientRequest::check().to_text())
                .expect("an answer")
                .body,
            "served"
        );
        assert!(
            since.elapsed() < Duration::from_secs(1),
            "it waits for one of the others to grow old"
        );
        client
    });
    assert_eq!(crowd.collect::<Vec<Client>>().len(), 250);
}

/// Guards against requests that wait unread because all places are taken by others that take long: what cannot be held is
/// refused at once, and everybody is answered in time.
#[test]
fn a_request_that_finds_all_places_taken_is_refused_in_its_time() {
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
    let answers: Vec<u16> = clients
        .iter_mut()
        .map(|c| c.read_response().expect("an answer").status())
        .collect();
    assert!(
        since.elapsed() < Duration::from_secs(5),
        "{:?}",
        since.elapsed()
    );
    // The silence of a server is no reason not to refuse one that is safe to repeat.
    assert!(answers.iter().all(|s| *s == 429), "{answers:?}");
    assert!(
        (1..60).contains(&server.drain_request_count()),
        "some were held, and some were not"
    );
    // Also for whoever only asks whether it is ready.
    assert!(gateway.is_ready());
}

/// Guards against connections that are kept for good by clients that do not come back.
#[test]
fn a_connection_that_nobody_uses_is_closed_in_the_end() {
    let (_server, gateway) = stage();
    let mut client = gateway.client();
    assert_eq!(
        client
            .exchange(&ClientRequest::check().to_text())
            .expect("an answer")
            .body,
        "served"
    );
    assert!(client.read_response().is_none());
}

/// Requests written one behind another are answered in their order, until one cannot be read.
#[test]
fn requests_in_a_row_are_answered_in_their_order() {
    let (_server, gateway) = stage();
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
    let answers: Vec<u16> = std::iter::from_fn(|| client.read_response())
        .map(|m| m.status())
        .collect();
    assert_eq!(answers, [200, 200, 400]);
}

/// Guards against two copies of one request under way at once.
#[test]
fn an_id_that_is_open_is_not_taken_again() {
    let server = Server::new(|_| Reply::Silence);
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    let ask = ClientRequest::check();
    let mut client = gateway.client();
    client.send(&ask.to_text());
    server.next_request();
    assert_eq!(gateway.request(&ask).status(), 409);
    assert_eq!(server.drain_request_count(), 0);
}

#[test]
fn after_sigterm_it_finishes_what_it_holds_takes_what_still_comes_and_ends() {
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
            .expect("an answer")
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
    // Both on a new connection and on one from before.
    let late = gateway.request(&ClientRequest::check());
    assert_eq!((late.status(), late.body.as_str()), (200, "served"));
    let kept = idle
        .exchange(&ClientRequest::check().to_text())
        .expect("an answer");
    assert_eq!(kept.body, "served");
    let held = held.read_response().expect("what was held is answered");
    assert_eq!(
        (held.body.as_str(), held.header("Connection")),
        ("served", Some("close"))
    );
    assert!(gateway.wait_for_exit().success());
}
