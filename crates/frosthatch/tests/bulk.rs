//! Long request and response bodies, in each framing that HTTP/1.1 allows and at different rates.

mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::thread;
use std::time::Duration;

/// Starts a server that writes `parts` as the answer to each request, with a pause after each part, and then
/// closes the connection if `closes` is set.
fn start_server(parts: Vec<Vec<u8>>, pause: Duration, closes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port can be bound");
    let address = listener
        .local_addr()
        .expect("the socket has a local address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let parts = parts.clone();
            thread::spawn(move || {
                let mut reader = std::io::BufReader::new(
                    stream
                        .try_clone()
                        .expect("the descriptor can be duplicated"),
                );
                while read_message(&mut reader).is_some() {
                    for part in &parts {
                        let _ = stream.write_all(part);
                        thread::sleep(pause);
                    }
                    if closes {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Starts a server that sends the body of each request to `bodies`, after asserting that it came with a
/// Content-Length.
fn start_body_recording_server(bodies: Sender<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port can be bound");
    let address = listener
        .local_addr()
        .expect("the socket has a local address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let bodies = bodies.clone();
            thread::spawn(move || {
                let mut reader = std::io::BufReader::new(
                    stream
                        .try_clone()
                        .expect("the descriptor can be duplicated"),
                );
                while let Some(message) = read_message(&mut reader) {
                    assert!(
                        message.header("content-length").is_some()
                            && message.header("transfer-encoding").is_none()
                    );
                    let _ = bodies.send(message.body.into_bytes());
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                }
            });
        }
    });
    address
}

fn start_gateway(server: SocketAddr) -> Gateway {
    Gateway::start_alone(&Discovery::new(&endpoint_entry("a", server, 0, "Ready")))
}

fn connect(gateway: &Gateway) -> TcpStream {
    let stream = TcpStream::connect(gateway.address).expect("the gateway accepts");
    stream.set_read_timeout(Some(TIMEOUT)).expect("timeout > 0");
    stream
}

/// Sends a request and returns all bytes up to the end of the connection.
fn exchange_until_close(gateway: &Gateway, request: &str) -> Vec<u8> {
    let mut stream = connect(gateway);
    stream
        .write_all(request.as_bytes())
        .expect("the write succeeds");
    let mut received_bytes = Vec::new();
    let _ = stream.read_to_end(&mut received_bytes);
    received_bytes
}

fn body_of(answer: &[u8]) -> &[u8] {
    let at = answer
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .expect("the answer has a complete head");
    &answer[at + 4..]
}

fn check_and_close() -> String {
    ClientRequest::check()
        .with_header("Connection", "close")
        .to_text()
}

fn letters_of_length(n: usize) -> Vec<u8> {
    (0..n).map(|i| b'a' + (i % 23) as u8).collect()
}

/// Returns the head of a top-up request with `framing` in place of its Content-Length.
fn top_up(framing: &str) -> String {
    ClientRequest {
        body: String::new(),
        ..ClientRequest::top_up()
    }
    .to_text()
    .replace("Content-Length: 0\r\n", framing)
}

#[test]
fn a_long_answer_is_streamed_to_the_client() {
    let whole = letters_of_length(3_000_000);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole.len()).into_bytes();
    let mut parts = vec![head];
    parts.extend(whole.chunks(1_000_000).map(<[u8]>::to_vec));
    let gateway = start_gateway(start_server(parts, Duration::from_millis(300), false));
    let mut stream = connect(&gateway);
    stream
        .write_all(check_and_close().as_bytes())
        .expect("the write succeeds");
    let mut first = [0; 1];
    stream
        .read_exact(&mut first)
        .expect("the first byte arrives");
    let since = std::time::Instant::now();
    let mut rest = Vec::new();
    stream
        .read_to_end(&mut rest)
        .expect("the answer arrives whole");
    assert!(
        since.elapsed() >= Duration::from_millis(500),
        "the first bytes arrive before the last ones are sent"
    );
    assert_eq!(body_of(&rest), whole);
}

#[test]
fn chunked_and_close_delimited_answers_arrive_whole() {
    let whole = letters_of_length(400_000);
    let chunks: Vec<u8> = whole
        .chunks(70_000)
        .flat_map(|c| [format!("{:x};x=y\r\n", c.len()).as_bytes(), c, b"\r\n"].concat())
        .collect();
    let chunked = [
        &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..],
        &chunks,
        b"0\r\nX-Sum: 1\r\n\r\n",
    ]
    .concat();
    let chunked_gateway = start_gateway(start_server(vec![chunked], Duration::ZERO, false));
    let answer = exchange_until_close(&chunked_gateway, &check_and_close());
    let text = String::from_utf8_lossy(&answer);
    assert!(text.contains("Transfer-Encoding: chunked") && text.ends_with("0\r\n\r\n"));
    let letters = |from: &[u8]| from.iter().filter(|b| (b'g'..=b'w').contains(b)).count();
    assert_eq!(letters(body_of(&answer)), letters(&whole));
    let close_delimited = [
        &b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"[..],
        &whole[..1_000],
    ]
    .concat();
    let close_delimited_gateway =
        start_gateway(start_server(vec![close_delimited], Duration::ZERO, true));
    assert_eq!(
        body_of(&exchange_until_close(
            &close_delimited_gateway,
            &check_and_close()
        )),
        &whole[..1_000]
    );
}

/// Guards against an end of the answer that a client could take for the regular one although the server sent
/// none.
#[test]
fn a_truncated_or_malformed_long_answer_is_recognizably_incomplete() {
    let whole = letters_of_length(200_000);
    let truncated = [
        &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n"[..],
        &whole,
        b"\r\n5\r\nab",
    ]
    .concat();
    let answer = exchange_until_close(
        &start_gateway(start_server(vec![truncated], Duration::ZERO, true)),
        &check_and_close(),
    );
    assert!(answer.starts_with(b"HTTP/1.1 200") && !answer.ends_with(b"0\r\n\r\n"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
        whole.len() - 10
    );
    let too_long = [head.as_bytes(), &whole].concat();
    let answer = exchange_until_close(
        &start_gateway(start_server(vec![too_long], Duration::ZERO, false)),
        &check_and_close(),
    );
    assert!(
        body_of(&answer).len() < whole.len() - 10,
        "the last bytes of an overlong answer are held back"
    );
    let huge = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx".to_vec();
    let answer = exchange_until_close(
        &start_gateway(start_server(vec![huge], Duration::ZERO, false)),
        &check_and_close(),
    );
    assert!(!answer.starts_with(b"HTTP/1.1 200"));
}

#[test]
fn chunked_and_long_bodies_reach_the_server_whole() {
    let (bodies, received) = channel();
    let gateway = start_gateway(start_body_recording_server(bodies));
    let mut client = gateway.client();
    let chunks = "4;a=b\r\nabcd\r\n3\r\nxyz\r\n0\r\nX-Trailer: 1\r\n\r\n";
    client.send(&(top_up("Transfer-Encoding: chunked\r\n") + chunks));
    assert_eq!(
        client
            .read_response()
            .expect("the gateway answers the request")
            .body,
        "ok"
    );
    assert_eq!(
        received
            .recv_timeout(TIMEOUT)
            .expect("the server receives the request body"),
        b"abcdxyz"
    );
    // The gateway sends 100 Continue before the client sends the body.
    client.send(&top_up(
        "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n",
    ));
    assert_eq!(
        client
            .read_response()
            .expect("the gateway sends an interim answer")
            .status(),
        100
    );
    client.send("1\r\nq\r\n0\r\n\r\n");
    assert_eq!(
        client
            .read_response()
            .expect("the gateway answers the request")
            .body,
        "ok"
    );
    assert_eq!(
        received
            .recv_timeout(TIMEOUT)
            .expect("the server receives the request body"),
        b"q"
    );
    let whole = letters_of_length(2_000_000);
    client.send(&top_up(&format!("Content-Length: {}\r\n", whole.len())));
    client.send(std::str::from_utf8(&whole).expect("the body is ASCII"));
    assert_eq!(
        client
            .read_response()
            .expect("the gateway answers the request")
            .body,
        "ok"
    );
    assert!(
        received
            .recv_timeout(TIMEOUT)
            .expect("the server receives the request body")
            == whole
    );
}

/// Guards against a deadline that runs while the body still arrives, and against applying the timeout for the
/// head to the body.
#[test]
fn the_deadline_of_a_slow_body_counts_from_its_last_byte() {
    let (bodies, received) = channel();
    let gateway = start_gateway(start_body_recording_server(bodies));
    let mut client = gateway.client();
    let whole = letters_of_length(240_000);
    let text = top_up(&format!("Content-Length: {}\r\n", whole.len()))
        .replace("X-Expires-In: 8.0", "X-Expires-In: 1.0");
    client.send(&text);
    for part in whole.chunks(40_000) {
        thread::sleep(Duration::from_millis(500));
        client.send(std::str::from_utf8(part).expect("the body is ASCII"));
    }
    assert_eq!(
        client
            .read_response()
            .expect("the gateway answers the request")
            .body,
        "ok"
    );
    assert!(
        received
            .recv_timeout(TIMEOUT)
            .expect("the server receives the request body")
            == whole
    );
}

/// Guards against bodies that would exceed the memory limit.
#[test]
fn bodies_beyond_the_memory_limit_are_refused() {
    let (bodies, received) = channel();
    let mut gateway = start_gateway(start_body_recording_server(bodies));
    let mut client = gateway.client();
    client.send(&top_up("Content-Length: 60000000\r\n"));
    assert_eq!(
        client
            .read_response()
            .expect("the gateway answers the request")
            .status(),
        413
    );
    // A quarter of the 32 MB is for all long bodies: no two of these fit.
    let mut holders: Vec<Client> = (0..3).map(|_| gateway.client()).collect();
    let part = letters_of_length(4_800_000);
    for holder in &mut holders {
        holder.send(&top_up("Content-Length: 5000000\r\n"));
        holder.send(std::str::from_utf8(&part).expect("the body is ASCII"));
    }
    let refused = holders
        .iter_mut()
        .map(|holder| holder.read_response().map_or(408, |m| m.status()))
        .filter(|&s| s == 503)
        .count();
    assert!(
        refused >= 1,
        "at least one of three bodies exceeds the memory for long bodies"
    );
    let mut client = gateway.client();
    client.send(&top_up("Content-Length: 3\r\n"));
    client.send("abc");
    assert_eq!(
        client
            .read_response()
            .expect("the gateway answers the request")
            .body,
        "ok"
    );
    assert_eq!(
        received
            .recv_timeout(TIMEOUT)
            .expect("the server receives the request body"),
        b"abc"
    );
    assert!(gateway.is_running());
}
