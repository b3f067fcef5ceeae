//! Connections and processes that end while data arrives: no accepted request is lost, nothing behind an end of
//! stream is forwarded, and no connection is reset before its answer is read.

mod common;
use common::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

fn connect(gateway: &Gateway) -> TcpStream {
    let stream = TcpStream::connect(gateway.address).expect("the gateway accepts");
    stream.set_read_timeout(Some(TIMEOUT)).expect("timeout > 0");
    stream
}

/// Reads up to the end of the connection; fails if it doesn't end with an orderly close.
fn read_to_close(stream: &mut TcpStream) -> Result<String, ErrorKind> {
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .map(|_| text)
        .map_err(|e| e.kind())
}

/// Guards against a reset that discards the last answer because unread bytes follow the request.
#[test]
fn an_answer_that_closes_its_connection_is_not_reset_by_bytes_behind_the_request() {
    for trailing_bytes in [100, 40_000, 150_000] {
        let (server, release) = Server::gated(|| ok("served"));
        let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
        let gateway = Gateway::start_alone(&discovery);
        let mut client = connect(&gateway);
        client
            .write_all(
                ClientRequest::check()
                    .with_header("Connection", "close")
                    .to_text()
                    .as_bytes(),
            )
            .expect("the gateway's connection accepts the bytes");
        server.next_request();
        client
            .write_all("x".repeat(trailing_bytes).as_bytes())
            .expect("the gateway's connection accepts the bytes");
        release.send(()).expect("the gated server is running");
        let text = read_to_close(&mut client).expect("the connection ends without a reset");
        assert!(
            text.starts_with("HTTP/1.1 200") && text.ends_with("served"),
            "{trailing_bytes}: {text}"
        );
        assert_eq!(server.drain_request_count(), 0);
    }
}

/// Guards against a reset that discards an error response because unread bytes follow the request.
#[test]
fn an_error_response_is_not_reset_by_bytes_behind_the_request() {
    let (server, _go) = Server::gated(|| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    let mut client = connect(&gateway);
    let nonsense = format!("nonsense\r\n\r\n{}", "x".repeat(60_000));
    client
        .write_all(nonsense.as_bytes())
        .expect("the gateway's connection accepts the bytes");
    assert!(read_to_close(&mut client)
        .expect("the connection ends without a reset")
        .starts_with("HTTP/1.1 400"));
}

/// Guards against a reset for a request that the client sends while the gateway closes the idle connection: the
/// gateway reads the request without forwarding it.
#[test]
fn a_request_behind_the_end_of_an_idle_connection_is_neither_forwarded_nor_reset() {
    // Waits for the end of the stream and returns whether it was noticed within 80 ms: after that the gateway
    // may no longer read from the closed connection.
    let close_was_seen_in_time = |stream: &mut TcpStream| {
        stream.set_nonblocking(true).expect("the socket is open");
        let mut last_read = Instant::now();
        loop {
            match stream.read(&mut [0; 64]) {
                Ok(0) => break,
                Err(e) if e.kind() == ErrorKind::WouldBlock => last_read = Instant::now(),
                other => panic!("the connection ends without an orderly close: {other:?}"),
            }
            thread::sleep(Duration::from_millis(1));
        }
        stream.set_nonblocking(false).expect("the socket is open");
        last_read.elapsed() < Duration::from_millis(80)
    };
    for _ in 0..20 {
        let server = Server::new(|_| ok("served"));
        let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
        let mut gateway = Gateway::start_alone(&discovery);
        let mut client = connect(&gateway);
        client
            .write_all(ClientRequest::check().to_text().as_bytes())
            .expect("the gateway's connection accepts the bytes");
        server.next_request();
        let mut answer = [0; 16];
        client.read_exact(&mut answer).expect("an answer arrives");
        while client.read(&mut [0; 1]).expect("the rest arrives") > 0 {
            client
                .set_read_timeout(Some(Duration::from_millis(50)))
                .expect("timeout > 0");
            if client.peek(&mut [0; 1]).is_err() {
                break;
            }
        }
        client.set_read_timeout(Some(TIMEOUT)).expect("timeout > 0");
        gateway.terminate();
        let seen_in_time = close_was_seen_in_time(&mut client);
        let sent = client.write_all(ClientRequest::check().to_text().as_bytes());
        if !seen_in_time {
            continue;
        }
        sent.expect("the connection accepts the request");
        assert!(gateway.wait_for_exit().success());
        // A reset would be reported here; a read reports the end of stream that came before it.
        assert!(
            client.take_error().expect("the socket is open").is_none(),
            "the connection is not reset"
        );
        assert_eq!(server.drain_request_count(), 0, "no request is forwarded");
        return;
    }
    panic!("the end of the connection was seen too late in each of 20 trials; the machine may be too busy");
}

/// Guards against treating a connection as idle at shutdown when part of a request has arrived on it.
#[test]
fn a_request_partly_received_at_sigterm_is_served() {
    let server = Server::new(|_| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let mut gateway = Gateway::start_alone(&discovery);
    let (mut idle, mut client) = (connect(&gateway), connect(&gateway));
    let text = ClientRequest::top_up().to_text();
    gateway.terminate();
    // Idle connections are closed some time after the signal.
    thread::sleep(Duration::from_millis(300));
    client
        .write_all(&text.as_bytes()[..text.len() - 3])
        .expect("the gateway's connection accepts the bytes");
    let _ = read_to_close(&mut idle);
    thread::sleep(Duration::from_millis(50));
    client
        .write_all(&text.as_bytes()[text.len() - 3..])
        .expect("the gateway's connection accepts the bytes");
    let answer = read_to_close(&mut client).expect("the connection ends without a reset");
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("served"),
        "{answer}"
    );
    assert!(gateway.wait_for_exit().success());
}

/// Guards against losing a connection in the accept queue at exit. The process is stopped for 700 ms, longer
/// than it accepts connections after SIGTERM.
#[test]
fn a_connection_in_the_accept_queue_is_served_before_exit() {
    let server = Server::new(|_| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let mut gateway = Gateway::start_alone(&discovery);
    gateway.terminate();
    while gateway.is_ready() {
        thread::sleep(Duration::from_millis(1));
    }
    gateway.signal("-STOP");
    let mut client = connect(&gateway);
    client
        .write_all(ClientRequest::top_up().to_text().as_bytes())
        .expect("the gateway's connection accepts the bytes");
    thread::sleep(Duration::from_millis(700));
    gateway.signal("-CONT");
    let answer = read_to_close(&mut client).expect("the connection ends without a reset");
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("served"),
        "{answer}"
    );
    assert!(gateway.wait_for_exit().success());
}

/// Guards against signals at unusual moments: twice, before the first endpoint list, and right after a new
/// configuration.
#[test]
fn the_process_exits_cleanly_whenever_sigterm_arrives() {
    let server = Server::new(|_| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let mut terminated_twice = Gateway::start_alone(&discovery);
    terminated_twice.terminate();
    terminated_twice.terminate();
    assert!(terminated_twice.wait_for_exit().success());
    let mut reloading = Gateway::start_alone(&discovery);
    reloading.replace_config(&config_text(discovery.address, None, 1, ""));
    reloading.terminate();
    reloading.signal("-HUP");
    assert!(reloading.wait_for_exit().success());
    let unavailable = Discovery::new("");
    unavailable.set_mode(DiscoveryMode::Down);
    let mut not_ready = Gateway::start(unavailable.address, None, 1, "");
    not_ready.terminate();
    assert!(not_ready.wait_for_exit().success());
}

/// Guards against a truncated answer that looks complete to a client that doesn't read chunked encoding: such a
/// client takes the end of the connection for the end of an answer without a length.
#[test]
fn a_truncated_long_answer_ends_in_a_reset_for_a_client_without_chunked_encoding() {
    let part = format!("{:x}\r\n{}\r\n", 100_000, "x".repeat(100_000));
    let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{part}");
    let server = Server::new(move |_| Reply::BytesThenClose(text.clone()));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    let mut client = connect(&gateway);
    client
        .write_all(
            ClientRequest::check()
                .to_text()
                .replace("HTTP/1.1", "HTTP/1.0")
                .as_bytes(),
        )
        .expect("the gateway's connection accepts the bytes");
    assert_eq!(read_to_close(&mut client), Err(ErrorKind::ConnectionReset));
}

/// Guards against holding a server's connection for a client that left while the rest of its answer was awaited.
#[test]
fn a_long_answer_ends_when_its_client_disconnects() {
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n{}",
        "x".repeat(100_000)
    );
    let server = Server::new(move |_| Reply::Bytes(text.clone()));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    let mut client = connect(&gateway);
    client
        .write_all(ClientRequest::check().to_text().as_bytes())
        .expect("the gateway's connection accepts the bytes");
    client
        .read_exact(&mut [0; 100_000])
        .expect("the first 100,000 bytes arrive");
    drop(client);
    let since = Instant::now();
    server.wait_closed();
    assert!(
        since.elapsed() < Duration::from_secs(5),
        "{:?}",
        since.elapsed()
    );
}
