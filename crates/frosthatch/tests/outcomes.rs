//! Each way in which an attempt can end, and which further attempts and answers it allows.

mod common;
use common::*;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Starts two servers in the given cells. The first request at either gets the reply `first`, all later ones are
/// served.
fn start_pair(cells: [u64; 2], first: fn() -> Reply) -> (Discovery, [Server; 2]) {
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

fn count_requests(servers: &[Server]) -> usize {
    servers.iter().map(Server::drain_request_count).sum()
}

fn is_gateway_error(answer: &Message) -> bool {
    matches!(answer.status(), 502 | 504)
}

const TRUNCATED: fn() -> Reply =
    || Reply::BytesThenClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsec".into());
const NO_ANSWER: fn() -> Reply = || Reply::BytesThenClose(String::new());
const ERROR: fn() -> Reply = || status("500 Internal Server Error");
const UNAVAILABLE: fn() -> Reply = || status("503 Service Unavailable");
const NOT_HTTP: fn() -> Reply = || Reply::Bytes("\u{1}\u{2} no answer at all\r\n\r\n".into());
const ENDLESS: fn() -> Reply = || {
    Reply::Bytes(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n{}",
        "x".repeat(100_000)
    ))
};

#[test]
fn a_safe_request_is_served_by_another_server_after_any_failure() {
    for first in [
        TRUNCATED,
        NO_ANSWER,
        ERROR,
        UNAVAILABLE,
        NOT_HTTP,
        ENDLESS,
        never_ran,
    ] {
        let (discovery, servers) = start_pair([0, 1], first);
        let answer = Gateway::start_alone(&discovery).request(&ClientRequest::check());
        assert_eq!((answer.status(), answer.body.as_str()), (200, "second"));
        assert_eq!(count_requests(&servers), 2);
    }
}

/// Guards against a second effect: servers of other cells don't know the key.
#[test]
fn a_keyed_request_that_may_have_run_goes_to_no_other_cell_and_is_not_refused() {
    for first in [TRUNCATED, NO_ANSWER, ERROR, UNAVAILABLE, NOT_HTTP, ENDLESS] {
        let (discovery, servers) = start_pair([0, 1], first);
        let gateway = Gateway::start_alone(&discovery);
        let client_request = ClientRequest::top_up();
        let answer = gateway.request(&client_request);
        // The server that failed is in its own cell and may get the repeat.
        let seen: Vec<usize> = servers.iter().map(Server::drain_request_count).collect();
        assert!(
            seen.contains(&0),
            "only one cell receives the request: {seen:?}"
        );
        assert!(
            answer.status() == 200 || is_gateway_error(&answer),
            "{answer:?}"
        );
    }
}

#[test]
fn a_keyed_request_that_may_have_run_goes_on_in_its_cell() {
    let (discovery, servers) = start_pair([3, 3], NO_ANSWER);
    let answer = Gateway::start_alone(&discovery).request(&ClientRequest::top_up());
    assert_eq!((answer.status(), answer.body.as_str()), (200, "second"));
    assert_eq!(count_requests(&servers), 2);
}

#[test]
fn a_keyed_request_that_never_ran_goes_to_any_cell() {
    let (discovery, servers) = start_pair([0, 1], never_ran);
    let answer = Gateway::start_alone(&discovery).request(&ClientRequest::top_up());
    assert_eq!((answer.status(), answer.body.as_str()), (200, "second"));
    assert_eq!(count_requests(&servers), 2);
}

#[test]
fn a_request_that_never_ran_is_refused_with_retry_after_when_no_server_accepts_it() {
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
    let unused_address = TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a free loopback port can be bound");
    let server = Server::new(|_| ok("here"));
    let entries = [
        endpoint_entry("a", unused_address, 0, "Ready"),
        endpoint_entry("b", server.address, 1, "Ready"),
    ]
    .join(",");
    let gateway = Gateway::start_alone(&Discovery::new(&entries));
    for _ in 0..8 {
        let answer = gateway.request(&ClientRequest::top_up());
        assert_eq!((answer.status(), answer.body.as_str()), (200, "here"));
    }
}

/// Guards against a silent server: the client is answered before its deadline, and no other server got the
/// request meanwhile.
#[test]
fn a_request_to_a_silent_server_is_answered_before_its_deadline_and_not_repeated() {
    let (discovery, servers) = start_pair([0, 0], || Reply::Silence);
    let gateway = Gateway::start_alone(&discovery);
    let since = std::time::Instant::now();
    let answer = gateway.request(&ClientRequest::top_up().with_header("X-Expires-In", "0.8"));
    assert!(
        since.elapsed().as_secs_f64() > 0.5,
        "the gateway waits more than 0.5 s for the server before it answers"
    );
    assert!(
        is_gateway_error(&answer),
        "a request that may have run is failed, not refused: {answer:?}"
    );
    assert_eq!(count_requests(&servers), 1);
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

/// Guards against malformed figures in the headers of a good answer.
#[test]
fn malformed_figures_do_not_invalidate_an_answer() {
    for header in [
        "Endpoint-Load-Metrics: TEXT inflight=, latency_ms=NaN, =, inflight=-3",
        "Endpoint-Load-Metrics: TEXT inflight=1e999",
        "X-RateLimit-Used: many",
        "X-RateLimit-Used: -1e400",
    ] {
        let server = Server::new(move |_| {
            Reply::Bytes(format!(
                "HTTP/1.1 200 OK\r\n{header}\r\nContent-Length: 2\r\n\r\nok"
            ))
        });
        let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
        let gateway = Gateway::start_alone(&discovery);
        for _ in 0..2 {
            assert_eq!(gateway.request(&ClientRequest::check()).body, "ok");
        }
    }
}

/// Guards against taking a second copy of an answer for the answer to the next request.
#[test]
fn a_second_copy_of_an_answer_is_served_to_no_request() {
    let server = Server::new(|m| {
        let body = m.header("X-Trace-Id").unwrap_or("").to_string();
        let single_answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        Reply::Bytes(single_answer.repeat(2))
    });
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    for _ in 0..5 {
        let client_request = ClientRequest::check();
        assert_eq!(
            gateway.request(&client_request).body,
            client_request.header("X-Trace-Id")
        );
    }
}

/// Guards against a second copy of an answer some milliseconds later, when the connection may already carry
/// another request.
#[test]
fn a_late_second_copy_of_an_answer_is_served_to_no_request() {
    let server = Server::new(|m| {
        let body = m.header("X-Trace-Id").unwrap_or("").to_string();
        let single_answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        Reply::BytesInTwoParts(single_answer.clone(), single_answer)
    });
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    for _ in 0..20 {
        let client_request = ClientRequest::check();
        assert_eq!(
            gateway.request(&client_request).body,
            client_request.header("X-Trace-Id")
        );
    }
}

/// Guards against a second copy of an answer that comes later than usual, as its server stands still before it: the next
/// request on the connection would get it. That servers send second copies has shown before.
#[test]
fn a_second_copy_behind_a_stand_still_is_served_to_no_request() {
    let server = Server::new(|m| {
        let body = m.header("X-Trace-Id").unwrap_or("").to_string();
        let single_answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let pause = Duration::from_millis(if m.line.contains("still") { 300 } else { 10 });
        Reply::BytesThenMore(single_answer.clone(), pause, single_answer)
    });
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    let exchange = |path| {
        let client_request = ClientRequest {
            path,
            ..ClientRequest::check()
        };
        let answer = gateway.request(&client_request);
        assert_eq!(answer.body, client_request.header("X-Trace-Id"), "{path}");
        std::thread::sleep(Duration::from_millis(50));
    };
    for _ in 0..5 {
        exchange("/balance-check");
    }
    for _ in 0..5 {
        exchange("/balance-check?still");
        exchange("/balance-check");
    }
}

/// An answer with neither length nor chunks ends with its connection, whether or not it has `Connection: close`
/// (RFC 9112 section 6.3): by a close, because after a reset it may be incomplete.
#[test]
fn an_answer_without_a_length_ends_with_a_close_and_not_with_a_reset() {
    for connection_header in ["", "Connection: close\r\n"] {
        let text = format!("HTTP/1.1 200 OK\r\n{connection_header}\r\nall of it");
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
                assert!(
                    is_gateway_error(&answer),
                    "{connection_header:?}: {answer:?}"
                );
            } else {
                assert_eq!(
                    (answer.status(), answer.body.as_str()),
                    (200, "all of it"),
                    "{connection_header:?}"
                );
            }
        }
    }
}

/// Answers with invalid framing, and a never-ran 503 that never ends because it has no length; the server leaves
/// the connection open after them.
const INVALID_ANSWERS: [&str; 14] = [
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

/// Guards against serving an incomplete answer, and against taking it for proof that nothing ran: a keyed
/// request that got one goes to no other cell.
#[test]
fn an_invalid_answer_is_not_served_and_does_not_count_as_never_ran() {
    for text in INVALID_ANSWERS {
        let server = Server::new(move |_| Reply::Bytes(text.into()));
        let other = Server::new(|_| ok("other"));
        let entries = [
            endpoint_entry("a", server.address, 0, "Ready"),
            endpoint_entry("b", other.address, 1, "Ready"),
        ]
        .join(",");
        let gateway = Gateway::start_alone(&Discovery::new(&entries));
        let (mut failed_answers, mut served) = (0, 0);
        while failed_answers == 0 || served == 0 {
            let answer = gateway.request(&ClientRequest::top_up());
            if server.drain_request_count() == 0 {
                assert_eq!(answer.body, "other");
                served += 1;
            } else {
                assert!(is_gateway_error(&answer), "{text:?}: {answer:?}");
                failed_answers += 1;
            }
        }
    }
}

/// Guards against an answer without end, in its head or its body: it is cut off, and its connection is closed.
#[test]
fn an_answer_without_end_is_cut_off() {
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
        assert!(is_gateway_error(&gateway.request(
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
            // A connection is not reused for a short time after each answer.
            std::thread::sleep(std::time::Duration::from_millis(100));
        }
        // All requests were sent on one connection.
        assert_eq!(server.drain_events().iter().filter(|s| matches!(s, ServerEvent::Connected)).count(), 1);
    }
}

/// Guards against bytes that arrive behind a good answer only after it was read: the runtime may not have seen
/// them yet.
#[test]
fn trailing_bytes_behind_an_answer_affect_no_other() {
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
        // The trailing bytes have arrived before the next request is sent.
        std::thread::sleep(std::time::Duration::from_millis(50));
        let client_request = ClientRequest::top_up();
        assert_eq!(
            client
                .exchange(&client_request.to_text())
                .expect("the gateway answers the request")
                .body,
            client_request.header("X-Trace-Id")
        );
    }
}
