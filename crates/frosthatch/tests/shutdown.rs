//! The gateway binary after SIGTERM, while long answers are on their way: what a server still gives reaches its client,
//! and nothing new is taken on.

mod common;
#[path = "common/diameter_site.rs"]
mod diameter_site;

use common::*;
use diameter_site::*;
use frosthatch_diameter::dictionary::command;
use frosthatch_test_doubles::diameter::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Number of parts of a long answer, their size, and the pause after each.
const PARTS: usize = 30;
const PART_BYTES: usize = 20_000;
const PART_INTERVAL: Duration = Duration::from_millis(100);
/// Time after SIGTERM by which a gateway with classes of [`DEADLINE_US`] has answered all requests: its period for late
/// connections, the longest deadline and 0.1 s. The answers last much longer.
const ANSWER_PERIOD: Duration = Duration::from_millis(1_100);
/// Deadline of each class, in place of the 8 s of the common settings.
const DEADLINE_US: &str = "500000";
/// Maximum pause of a long answer before the gateway gives it up.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A server whose path names the framing of its long answers. Of a path with `stalls` it sends one part.
fn start_slow_server() -> Server {
    Server::new(|request| {
        let framing = AnswerFraming::ALL
            .into_iter()
            .find(|framing| request.line.contains(&format!("?{framing:?}")));
        Reply::Long(LongAnswer {
            pause: PART_INTERVAL,
            stalls_after: request.line.contains("stalls").then_some(1),
            ..LongAnswer::new(framing.unwrap_or(AnswerFraming::Length), PARTS, PART_BYTES)
        })
    })
}

fn with_short_deadlines(config: &str) -> String {
    config.replace(
        "\"deadlineUs\":8000000",
        &format!("\"deadlineUs\":{DEADLINE_US}"),
    )
}

fn start_gateway(discovery: &Discovery) -> Gateway {
    let config = with_short_deadlines(&config_text(discovery.address, None, 1, ""));
    let gateway = Gateway::start_from_config(&config);
    gateway.wait_ready();
    gateway
}

/// Starts a slow server with a gateway in front of it.
fn start_site_of_slow_server() -> (Gateway, Discovery, Server) {
    let server = start_slow_server();
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    (start_gateway(&discovery), discovery, server)
}

fn check_at(path: &'static str) -> ClientRequest {
    ClientRequest {
        path,
        ..ClientRequest::check()
    }
}

/// A request that closes its connection.
fn last_check_at(path: &'static str) -> String {
    check_at(path).with_header("Connection", "close").to_text()
}

/// Sends a request over a new connection, and returns the connection once the first bytes of the answer have come.
fn begin_answer(gateway: &Gateway, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(gateway.address).expect("the gateway accepts");
    stream.set_read_timeout(Some(TIMEOUT)).expect("timeout > 0");
    stream
        .write_all(request.as_bytes())
        .expect("the connection is open");
    let peeked = stream.peek(&mut [0; 1]).expect("the answer begins");
    assert_eq!(peeked, 1, "the answer begins before the connection ends");
    stream
}

/// Reads up to the end of the connection, and returns the number of bytes of the long answer's body.
fn read_body_bytes(mut stream: TcpStream) -> usize {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    bytes.iter().filter(|byte| **byte == BODY_BYTE).count()
}

/// Waits until the gateway refuses connections.
fn wait_until_refused(address: SocketAddr) {
    let since = Instant::now();
    while TcpStream::connect(address).is_ok() {
        assert!(since.elapsed() < TIMEOUT, "connections are refused");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against a shutdown that cuts off what a server still gives: all framings, by HTTP/1.1 and by HTTP/1.0.
#[test]
fn long_answers_arrive_whole_after_sigterm() {
    let (mut gateway, _discovery, _server) = start_site_of_slow_server();
    let texts = [
        last_check_at("/balance-check?Length"),
        last_check_at("/balance-check?Chunked"),
        last_check_at("/balance-check?UntilClose"),
        last_check_at("/balance-check?Chunked").replace("HTTP/1.1", "HTTP/1.0"),
    ];
    let streams: Vec<TcpStream> = texts
        .iter()
        .map(|text| begin_answer(&gateway, text))
        .collect();
    gateway.terminate();
    let since = Instant::now();
    let readers: Vec<_> = streams
        .into_iter()
        .map(|stream| thread::spawn(move || read_body_bytes(stream)))
        .collect();
    wait_until_refused(gateway.address);
    assert!(
        since.elapsed() < ANSWER_PERIOD + Duration::from_secs(1) && gateway.is_running(),
        "the gateway stops listening when all requests are answered, and goes on with the long answers"
    );
    for reader in readers {
        let body_bytes = reader.join().expect("the reader does not panic");
        assert_eq!(body_bytes, PARTS * PART_BYTES);
    }
    assert!(gateway.wait_for_exit().success());
}

/// Guards against a request that is forwarded although the gateway has left: one on a connection whose long answer ends
/// after the shutdown's time for requests.
#[test]
fn a_request_behind_a_long_answer_is_refused_once_all_others_are_answered() {
    let (mut gateway, _discovery, server) = start_site_of_slow_server();
    let request = check_at("/balance-check?Length").to_text();
    let mut stream = begin_answer(&gateway, &request);
    gateway.terminate();
    wait_until_refused(gateway.address);
    stream
        .write_all(request.as_bytes())
        .expect("the connection is open");
    let mut answers = String::new();
    stream
        .read_to_string(&mut answers)
        .expect("the connection ends without a reset");
    let heads: Vec<&str> = answers
        .split("HTTP/1.1 ")
        .skip(1)
        .map(|head| &head[..3])
        .collect();
    assert_eq!(heads, ["200", "429"]);
    assert!(gateway.wait_for_exit().success());
    assert_eq!(server.drain_request_count(), 1, "one request is forwarded");
}

/// Guards against a process that a silent server keeps alive forever.
#[test]
fn a_stalled_long_answer_ends_with_its_time_limit() {
    let (mut gateway, _discovery, _server) = start_site_of_slow_server();
    let stream = begin_answer(&gateway, &last_check_at("/balance-check?stalls"));
    let since = Instant::now();
    gateway.terminate();
    assert!(read_body_bytes(stream) < PARTS * PART_BYTES);
    assert!(gateway.wait_for_exit().success());
    assert!(since.elapsed() < STALL_TIMEOUT + Duration::from_secs(5));
}

/// Guards against a disconnect request that waits for long answers: the platform may end the process before they end.
#[test]
fn diameter_peers_are_disconnected_while_a_long_answer_goes_on() {
    let host = "d.example.org";
    let diameter_server = DiameterServer::new(host, move |ccr| Some(success_answer(ccr, host)));
    let server = start_slow_server();
    let entries = [
        diameter_entry("d", &diameter_server, 0, "Ready"),
        endpoint_entry("a", server.address, 1, "Ready"),
    ];
    let mut site = start_site_with_config(&entries.join(","), "", with_short_deadlines);
    let mut client = DiameterClient::new(site.address, "till.example.org");
    until_served(&mut client);
    let stream = begin_answer(&site.gateway, &last_check_at("/balance-check?Length"));
    let since = Instant::now();
    site.gateway.terminate();
    let disconnect = client.next_message().expect("the client gets a message");
    assert_eq!(disconnect.header.command, command::DISCONNECT_PEER);
    assert!(since.elapsed() < ANSWER_PERIOD + Duration::from_secs(1));
    assert_eq!(read_body_bytes(stream), PARTS * PART_BYTES);
    assert!(site.gateway.wait_for_exit().success());
}
