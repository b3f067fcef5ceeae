//! The end of a connection and the end of the process, with something coming in that very moment. Nothing that was taken is
//! lost, nothing that comes behind an end is sent on, and no connection is reset under an answer.

mod common;
use common::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

fn connect(gateway: &Gateway) -> TcpStream {
    let stream = TcpStream::connect(gateway.address).expect("the gateway accepts");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    stream
}

/// All that comes until the connection ends in good order; what else ends it is an error.
fn to_the_end(stream: &mut TcpStream) -> Result<String, ErrorKind> {
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .map(|_| text)
        .map_err(|e| e.kind())
}

/// Guards against a reset that takes the last answer with it: bytes that nobody has read stand behind the request.
#[test]
fn an_answer_that_ends_its_connection_is_not_reset_by_what_came_behind_the_request() {
    for behind in [100, 40_000, 150_000] {
        let (server, go) = Server::gated(|| ok("served"));
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
            .expect("sent");
        server.next_request();
        client
            .write_all("x".repeat(behind).as_bytes())
            .expect("sent");
        go.send(()).expect("the server is there");
        let text = to_the_end(&mut client).expect("an orderly end");
        assert!(
            text.starts_with("HTTP/1.1 200") && text.ends_with("served"),
            "{behind}: {text}"
        );
        assert_eq!(server.drain_request_count(), 0);
    }
}

/// The same for what is turned away, as ever.
#[test]
fn an_error_is_not_reset_by_what_came_behind() {
    let (server, _go) = Server::gated(|| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    let mut client = connect(&gateway);
    let nonsense = format!("nonsense\r\n\r\n{}", "x".repeat(60_000));
    client.write_all(nonsense.as_bytes()).expect("sent");
    assert!(to_the_end(&mut client)
        .expect("an orderly end")
        .starts_with("HTTP/1.1 400"));
}

/// Guards against a request that crosses the end of its connection: it is read, so that nothing is reset, and not sent on.
#[test]
fn a_request_behind_the_end_of_an_idle_connection_is_neither_sent_on_nor_answered_by_a_reset() {
    // Waits until the end has come, and says whether it was seen within a moment: else the gateway may have given up waiting.
    let ended = |stream: &mut TcpStream| {
        stream.set_nonblocking(true).expect("non-blocking");
        let mut looked = Instant::now();
        loop {
            match stream.read(&mut [0; 64]) {
                Ok(0) => break,
                Err(e) if e.kind() == ErrorKind::WouldBlock => looked = Instant::now(),
                other => panic!("not an orderly end: {other:?}"),
            }
            thread::sleep(Duration::from_millis(1));
        }
        stream.set_nonblocking(false).expect("blocking");
        looked.elapsed() < Duration::from_millis(80)
    };
    for _ in 0..20 {
        let server = Server::new(|_| ok("served"));
        let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
        let mut gateway = Gateway::start_alone(&discovery);
        let mut client = connect(&gateway);
        client
            .write_all(ClientRequest::check().to_text().as_bytes())
            .expect("sent");
        server.next_request();
        let mut answer = [0; 16];
        client.read_exact(&mut answer).expect("an answer");
        while client.read(&mut [0; 1]).expect("the rest") > 0 {
            client
                .set_read_timeout(Some(Duration::from_millis(50)))
                .expect("a time-out");
            if client.peek(&mut [0; 1]).is_err() {
                break;
            }
        }
        client.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
        gateway.terminate();
        let soon = ended(&mut client);
        let sent = client.write_all(ClientRequest::check().to_text().as_bytes());
        if !soon {
            continue;
        }
        sent.expect("the connection takes it");
        assert!(gateway.wait_for_exit().success());
        // A reset would stand here; a read tells of the end that came before it.
        assert!(
            client.take_error().expect("a connection").is_none(),
            "it was reset"
        );
        assert_eq!(server.drain_request_count(), 0, "sent on behind the end");
        return;
    }
    panic!("the machine was too busy each time");
}

/// Guards against taking a connection for idle on which half a request has come when it is time to go.
#[test]
fn a_request_that_is_half_there_when_the_process_is_told_to_end_is_served() {
    let server = Server::new(|_| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let mut gateway = Gateway::start_alone(&discovery);
    let (mut idle, mut client) = (connect(&gateway), connect(&gateway));
    let text = ClientRequest::top_up().to_text();
    gateway.terminate();
    // Idle ones are closed a while after.
    thread::sleep(Duration::from_millis(300));
    client
        .write_all(&text.as_bytes()[..text.len() - 3])
        .expect("sent");
    let _ = to_the_end(&mut idle);
    thread::sleep(Duration::from_millis(50));
    client
        .write_all(&text.as_bytes()[text.len() - 3..])
        .expect("sent");
    let answer = to_the_end(&mut client).expect("an orderly end");
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("served"),
        "{answer}"
    );
    assert!(gateway.wait_for_exit().success());
}

/// Guards against a connection that the system has accepted and the process has not when it is about to end: it was stopped
/// for as long as it would have gone on accepting.
#[test]
fn a_connection_that_still_waits_to_be_accepted_is_served_before_the_end() {
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
        .expect("sent");
    thread::sleep(Duration::from_millis(700));
    gateway.signal("-CONT");
    let answer = to_the_end(&mut client).expect("an orderly end");
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("served"),
        "{answer}"
    );
    assert!(gateway.wait_for_exit().success());
}

/// Guards against signals at odd moments: twice, before any list has come, and right behind a new configuration.
#[test]
fn it_ends_well_whenever_it_is_told_to() {
    let server = Server::new(|_| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let mut twice = Gateway::start_alone(&discovery);
    twice.terminate();
    twice.terminate();
    assert!(twice.wait_for_exit().success());
    let mut moved = Gateway::start_alone(&discovery);
    moved.replace_config(&config_text(discovery.address, None, 1, ""));
    moved.terminate();
    moved.signal("-HUP");
    assert!(moved.wait_for_exit().success());
    let quiet = Discovery::new("");
    quiet.set_mode(DiscoveryMode::Down);
    let mut early = Gateway::start(quiet.address, None, 1, "");
    early.terminate();
    assert!(early.wait_for_exit().success());
}

/// Guards against a cut answer that looks whole to a client that reads no chunks: only the end of its connection tells it the
/// end of an answer without a length.
#[test]
fn a_long_answer_that_is_cut_ends_in_a_reset_where_its_end_would_be_taken_for_its_own() {
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
        .expect("sent");
    assert_eq!(to_the_end(&mut client), Err(ErrorKind::ConnectionReset));
}

/// Guards against holding a server's connection for a client that left while the rest of its answer was awaited.
#[test]
fn a_long_answer_ends_when_its_client_has_gone() {
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
        .expect("sent");
    client
        .read_exact(&mut [0; 100_000])
        .expect("all that has come");
    drop(client);
    let since = Instant::now();
    server.wait_closed();
    assert!(
        since.elapsed() < Duration::from_secs(5),
        "{:?}",
        since.elapsed()
    );
}
