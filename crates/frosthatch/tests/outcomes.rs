//! Each way in which an attempt can end, and what may follow from it.

mod common;
use common::*;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Two servers, in the cells given. The first request at either gets `first`, all later ones are served.
fn pair(cells: [u64; 2], first: fn() -> Reply) -> (Discovery, [Server; 2]) {
    let spent = Arc::new(AtomicBool::new(false));
    let servers = [(); 2].map(|()| {
        let spent = spent.clone();
        Server::new(move |_| {
            if spent.swap(true, Ordering::SeqCst) {
                ok("second")
            } else {
                first()
            }
        })
    });
    let entry = |i: usize| endpoint_entry(["a", "b"][i], servers[i].address, cells[i], "Ready");
    (Discovery::new(&[entry(0), entry(1)].join(",")), servers)
}

fn requests(servers: &[Server]) -> usize {
    servers.iter().map(Server::drain_request_count).sum()
}

fn failed(answer: &Message) -> bool {
    matches!(answer.status(), 502 | 504)
}

const CUT: fn() -> Reply =
    || Reply::BytesThenClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsec".into());
const RESET: fn() -> Reply = || Reply::BytesThenClose(String::new());
const ERROR: fn() -> Reply = || status("500 Internal Server Error");
const UNPROVEN: fn() -> Reply = || status("503 Service Unavailable");
const NOISE: fn() -> Reply = || Reply::Bytes("\u{1}\u{2} no answer at all\r\n\r\n".into());
const ENDLESS: fn() -> Reply = || {
    Reply::Bytes(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n{}",
        "x".repeat(100_000)
    ))
};

#[test]
fn a_safe_request_is_served_by_another_server_after_any_failure() {
    for first in [CUT, RESET, ERROR, UNPROVEN, NOISE, ENDLESS, never_ran] {
        let (discovery, servers) = pair([0, 1], first);
        let answer = Gateway::start_alone(&discovery).request(&ClientRequest::check());
        assert_eq!((answer.status(), answer.body.as_str()), (200, "second"));
        assert_eq!(requests(&servers), 2);
    }
}

/// Guards against a second effect: other cells don't know the key.
#[test]
fn a_keyed_request_that_may_have_run_goes_to_no_other_cell_and_is_not_refused() {
    for first in [CUT, RESET, ERROR, UNPROVEN, NOISE, ENDLESS] {
        let (discovery, servers) = pair([0, 1], first);
        let gateway = Gateway::start_alone(&discovery);
        let ask = ClientRequest::top_up();
        let answer = gateway.request(&ask);
        // The server that failed first shares its own cell and may be asked again.
        let seen: Vec<usize> = servers.iter().map(Server::drain_request_count).collect();
        assert!(seen.contains(&0), "one cell only: {seen:?}");
        assert!(answer.status() == 200 || failed(&answer), "{answer:?}");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_goes_on_in_its_cell() {
    let (discovery, servers) = pair([3, 3], RESET);
    let answer = Gateway::start_alone(&discovery).request(&ClientRequest::top_up());
    assert_eq!((answer.status(), answer.body.as_str()), (200, "second"));
    assert_eq!(requests(&servers), 2);
}

#[test]
fn a_keyed_request_that_never_ran_goes_to_any_cell() {
    let (discovery, servers) = pair([0, 1], never_ran);
    let answer = Gateway::start_alone(&discovery).request(&ClientRequest::top_up());
    assert_eq!((answer.status(), answer.body.as_str()), (200, "second"));
    assert_eq!(requests(&servers), 2);
}

#[test]
fn what_never_ran_is_refused_with_advice_when_nobody_takes_it() {
    let server = Server::new(|_| never_ran());
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let answer = Gateway::start_alone(&discovery).request(&ClientRequest::top_up());
    assert_eq!(answer.status(), 429);
    let wait: f64 = answer
        .header("Retry-After")
        .expect("the refusal has a Retry-After header")
        .parse()
        .expect("the value is a number of seconds");
    assert!(wait > 0.0 && wait <= 2.0, "{wait}");
}

#[test]
fn a_refused_connection_never_ran() {
    let nobody = TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a free loopback port can be bound");
    let server = Server::new(|_| ok("here"));
    let entries = [
        endpoint_entry("a", nobody, 0, "Ready"),
        endpoint_entry("b", server.address, 1, "Ready"),
    ]
    .join(",");
    let gateway = Gateway::start_alone(&Discovery::new(&entries));
    for _ in 0..8 {
        let answer = gateway.request(&ClientRequest::top_up());
        assert_eq!((answer.status(), answer.body.as_str()), (200, "here"));
    }
}

/// Guards against a silent server: the client hears before it leaves, and nobody else was asked meanwhile.
#[test]
fn silence_is_answered_before_the_client_leaves_and_never_doubled() {
    let (discovery, servers) = pair([0, 0], || Reply::Silence);
    let gateway = Gateway::start_alone(&discovery);
    let since = std::time::Instant::now();
    let answer = gateway.request(&ClientRequest::top_up().with_header("X-Expires-In", "0.8"));
    assert!(
        since.elapsed().as_secs_f64() > 0.5,
        "an attempt has its time"
    );
    assert!(
        failed(&answer),
        "a silent server may have run it: {answer:?}"
    );
    assert_eq!(requests(&servers), 1);
}

#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let server = Server::new(|_| Reply::Silence);
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    let mut client = gateway.client();
    client.send(&ClientRequest::top_up().to_text());
    server.next_request();
    drop(client);
    server.wait_closed();
}

/// Guards against nonsense in figures that come with a good answer.
#[test]
fn figures_that_cannot_be_read_do_not_spoil_an_answer() {
    for odd in [
        "Endpoint-Load-Metrics: TEXT inflight=, latency_ms=NaN, =, inflight=-3",
        "Endpoint-Load-Metrics: TEXT inflight=1e999",
        "X-RateLimit-Used: many",
        "X-RateLimit-Used: -1e400",
    ] {
        let server = Server::new(move |_| {
            Reply::Bytes(format!(
                "HTTP/1.1 200 OK\r\n{odd}\r\nContent-Length: 2\r\n\r\nok"
            ))
        });
        let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
        let gateway = Gateway::start_alone(&discovery);
        for _ in 0..2 {
            assert_eq!(gateway.request(&ClientRequest::check()).body, "ok");
        }
    }
}

/// Guards against an answer that is followed by another: it must not be taken for the next request's.
#[test]
fn a_second_copy_of_an_answer_serves_nobody() {
    let server = Server::new(|m| {
        let body = m.header("X-Trace-Id").unwrap_or("").to_string();
        let once = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        Reply::Bytes(once.repeat(2))
    });
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    for _ in 0..5 {
        let ask = ClientRequest::check();
        assert_eq!(gateway.request(&ask).body, ask.header("X-Trace-Id"));
    }
}

/// Guards against the same some milliseconds later, when the connection may carry another request already.
#[test]
fn a_second_copy_of_an_answer_that_comes_late_serves_nobody() {
    let server = Server::new(|m| {
        let body = m.header("X-Trace-Id").unwrap_or("").to_string();
        let once = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        Reply::BytesInTwoParts(once.clone(), once)
    });
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    for _ in 0..20 {
        let ask = ClientRequest::check();
        assert_eq!(gateway.request(&ask).body, ask.header("X-Trace-Id"));
    }
}

/// An answer with neither length nor chunks ends with its connection, whether or not it says so (RFC 9112 section 6.3): by a close,
/// as a reset is no end.
#[test]
fn an_answer_without_a_length_ends_by_a_close_and_not_by_a_reset() {
    for says in ["", "Connection: close\r\n"] {
        let text = format!("HTTP/1.1 200 OK\r\n{says}\r\nall of it");
        for resets in [false, true] {
            let text = text.clone();
            let server = Server::new(move |_| {
                if resets {
                    Reply::BytesThenReset(text.clone())
                } else {
                    Reply::BytesThenClose(text.clone())
                }
            });
            let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
            let answer = Gateway::start_alone(&discovery)
                .request(&ClientRequest::top_up().with_header("X-Expires-In", "2.0"));
            if resets {
                assert!(failed(&answer), "{says:?}: {answer:?}");
            } else {
                assert_eq!(
                    (answer.status(), answer.body.as_str()),
                    (200, "all of it"),
                    "{says:?}"
                );
            }
        }
    }
}

/// Answers that cannot be believed, whatever their first line says; the connection stays open behind them.
const SPOILT: [&str; 14] = [
    "HTTP/1.1 200 OK\r\n\r\nfirst",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nfirst",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nfirst",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nfirst\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfirst\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nfirst\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nfirst",
    "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nfirst",
    "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nfirst",
    "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n\r\nfirst",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nfirst",
    "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\n\r\n",
];

/// Guards against serving what is not whole, and against taking it for proof that nothing ran: a keyed request that
/// has met it goes to no other cell.
#[test]
fn a_spoilt_answer_is_served_to_nobody_and_proves_nothing() {
    for text in SPOILT {
        let server = Server::new(move |_| Reply::Bytes(text.into()));
        let other = Server::new(|_| ok("other"));
        let entries = [
            endpoint_entry("a", server.address, 0, "Ready"),
            endpoint_entry("b", other.address, 1, "Ready"),
        ]
        .join(",");
        let gateway = Gateway::start_alone(&Discovery::new(&entries));
        let (mut spoilt, mut served) = (0, 0);
        while spoilt == 0 || served == 0 {
            let answer = gateway.request(&ClientRequest::top_up());
            if server.drain_request_count() == 0 {
                assert_eq!(answer.body, "other");
                served += 1;
            } else {
                assert!(failed(&answer), "{text:?}: {answer:?}");
                spoilt += 1;
            }
        }
    }
}

/// Guards against an answer without end, in its head or behind it: it is cut, and its connection is closed.
#[test]
fn an_answer_without_end_is_cut() {
    for start in [
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    ] {
        let more = if start.contains("chunked") {
            "1\r\nx\r\n"
        } else {
            "X-More: more\r\n"
        };
        let text = start.to_string() + &more.repeat(60_000);
        let server = Server::new(move |_| Reply::Bytes(text.clone()));
        let gateway = Gateway::start_alone(&Discovery::new(&endpoint_entry(
            "a",
            server.address,
            0,
            "Ready",
        )));
        assert!(failed(&gateway.request(
            &ClientRequest::top_up().with_header("X-Expires-In", "6.0")
        )));
        server.wait_closed();
    }
}

#[test]
fn interim_answers_and_chunks_are_read() {
    for text in [
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\nf\r\n3\r\nine\r\n0\r\n\r\n",
    ] {
        let server = Server::new(move |_| Reply::Bytes(text.into()));
        let gateway = Gateway::start_alone(&Discovery::new(&endpoint_entry("a", server.address, 0, "Ready")));
        for _ in 0..3 {
            assert_eq!(gateway.request(&ClientRequest::check()).body, "fine");
            // A connection rests for a moment after each answer.
            std::thread::sleep(std::time::Duration::from_millis(100));
        }
        // All on one connection.
        assert_eq!(server.drain_events().iter().filter(|s| matches!(s, ServerEvent::Connected)).count(), 1);
    }
}

/// Guards against what comes behind a good answer only when it has been taken: the runtime may not know of it yet.
#[test]
fn noise_behind_an_answer_spoils_no_other() {
    let server = Server::new(|m| {
        let id = m.header("X-Trace-Id").unwrap_or("");
        Reply::BytesInTwoParts(
            format!("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{id}"),
            "\u{1}\u{2}\u{3}".into(),
        )
    });
    let gateway = Gateway::start_alone(&Discovery::new(&endpoint_entry(
        "a",
        server.address,
        0,
        "Ready",
    )));
    let mut client = gateway.client();
    for _ in 0..10 {
        // It has come before the next request does.
        std::thread::sleep(std::time::Duration::from_millis(50));
        let ask = ClientRequest::top_up();
        assert_eq!(
            client
                .exchange(&ask.to_text())
                .expect("the gateway answers the request")
                .body,
            ask.header("X-Trace-Id")
        );
    }
}
