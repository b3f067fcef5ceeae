//! The gateway binary with clients that send at full speed: the requests of all others are answered in their time.

mod common;
#[path = "common/diameter_site.rs"]
mod diameter_site;

use common::*;
use diameter_site::*;
use frosthatch_test_doubles::diameter::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Number of requests of other clients during a flood, and the interval between them.
const OTHER_REQUESTS: usize = 60;
const OTHER_INTERVAL: Duration = Duration::from_millis(25);
/// Time within which a client expects its answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Clients that send one text over and over on a connection each, without waiting for the answers, which they read. A
/// connection that ends is made anew.
struct Flood {
    is_stopped: Arc<AtomicBool>,
    received_bytes: Arc<AtomicUsize>,
    clients: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Starts `clients` clients, each of which begins a connection with `greeting`.
    fn start(address: SocketAddr, clients: usize, greeting: &[u8], text: &[u8]) -> Flood {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let received_bytes = Arc::new(AtomicUsize::new(0));
        let start_client = |_| {
            let (is_stopped, received_bytes) = (is_stopped.clone(), received_bytes.clone());
            let (greeting, text) = (greeting.to_vec(), text.to_vec());
            thread::spawn(move || {
                while !is_stopped.load(Ordering::SeqCst) {
                    if let Ok(stream) = TcpStream::connect(address) {
                        flood_connection(&stream, &greeting, &text, &is_stopped, &received_bytes);
                    }
                }
            })
        };
        let clients = (0..clients).map(start_client).collect();
        let flood = Flood {
            is_stopped,
            received_bytes,
            clients,
        };
        let since = Instant::now();
        while flood.received_bytes.load(Ordering::SeqCst) == 0 {
            assert!(since.elapsed() < TIMEOUT, "the flood is answered");
            thread::sleep(Duration::from_millis(1));
        }
        flood
    }

    /// Ends the flood. Returns how many bytes its clients have received.
    fn stop(self) -> usize {
        self.is_stopped.store(true, Ordering::SeqCst);
        for client in self.clients {
            client.join().expect("the client does not panic");
        }
        self.received_bytes.load(Ordering::SeqCst)
    }
}

/// Floods one connection until it ends or the flood is stopped.
fn flood_connection(
    stream: &TcpStream,
    greeting: &[u8],
    text: &[u8],
    is_stopped: &AtomicBool,
    received_bytes: &Arc<AtomicUsize>,
) {
    let mut reading_half = stream.try_clone().expect("a descriptor is free");
    let received_bytes = received_bytes.clone();
    let reader = thread::spawn(move || {
        let mut buffer = vec![0; 64 << 10];
        while let Ok(count) = reading_half.read(&mut buffer) {
            if count == 0 {
                break;
            }
            received_bytes.fetch_add(count, Ordering::SeqCst);
        }
    });
    let batch = text.repeat(1 + (32 << 10) / text.len());
    let mut writer = stream;
    let mut is_open = writer.write_all(greeting).is_ok();
    while is_open && !is_stopped.load(Ordering::SeqCst) {
        is_open = writer.write_all(&batch).is_ok();
    }
    let _ = stream.shutdown(Shutdown::Both);
    let _ = reader.join();
}

fn start_gateway() -> (Gateway, Server, Discovery) {
    let server = Server::new(|_| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    (gateway, server, discovery)
}

/// Sends requests of other clients, each over a new connection, and asserts that all are served in their time.
fn assert_others_are_served(gateway: &Gateway) {
    let mut late = Vec::new();
    let mut longest = Duration::ZERO;
    for _ in 0..OTHER_REQUESTS {
        let timeout = format!("{:.3}", CLIENT_TIMEOUT.as_secs_f64());
        let request = ClientRequest::check().with_header("X-Expires-In", &timeout);
        let since = Instant::now();
        let status = gateway.request(&request).status();
        let elapsed = since.elapsed();
        longest = longest.max(elapsed);
        if status != 200 || elapsed > CLIENT_TIMEOUT {
            late.push((status, elapsed));
        }
        thread::sleep(OTHER_INTERVAL);
    }
    println!("longest answer to another client: {longest:?}");
    assert!(late.is_empty(), "late or failed: {late:?}");
}

/// Guards against a connection whose next request is always there and that never lets the others have their turn.
#[test]
fn others_are_served_while_clients_pipeline_readiness_queries() {
    let (gateway, _server, _discovery) = start_gateway();
    for clients in [1, 6] {
        let query = b"GET /ready HTTP/1.1\r\nHost: g\r\n\r\n";
        let flood = Flood::start(gateway.address, clients, b"", query);
        assert_others_are_served(&gateway);
        assert!(flood.stop() > 0);
    }
}

/// Guards against the same with requests that are refused, and with such that end their connection.
#[test]
fn others_are_served_while_clients_send_unsound_requests() {
    let (gateway, _server, _discovery) = start_gateway();
    let units = ClientRequest::check().with_header("X-Call-Terms", "units=7,spread=1,first=0");
    let unknown = ClientRequest {
        path: "/nothing",
        ..ClientRequest::check()
    };
    for text in [units.to_text(), unknown.to_text(), "x\r\n\r\n".into()] {
        let flood = Flood::start(gateway.address, 3, b"", text.as_bytes());
        assert_others_are_served(&gateway);
        flood.stop();
    }
}

/// Guards against a body, or an answer, that is always there: both sides of a long message at full speed.
#[test]
fn others_are_served_while_long_messages_pass_at_full_speed() {
    let server = Server::new(|request| {
        if request.line.contains("long") {
            Reply::Long(LongAnswer::new(AnswerFraming::Length, 320, 100_000))
        } else {
            ok("served")
        }
    });
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    let long_check = ClientRequest {
        path: "/balance-check?long",
        ..ClientRequest::check()
    };
    let flood = Flood::start(gateway.address, 4, b"", long_check.to_text().as_bytes());
    assert_others_are_served(&gateway);
    flood.stop();
    let too_long = ClientRequest::top_up().to_text().replace(
        "Content-Length: 9\r\n\r\namount=50",
        "Content-Length: 4000000\r\n\r\n",
    );
    let bodies = [too_long.as_bytes(), &[b'x'; 4_000_000]].concat();
    let flood = Flood::start(gateway.address, 2, b"", &bodies);
    assert_others_are_served(&gateway);
    flood.stop();
}

/// Guards against a Diameter connection whose next message is always there.
#[test]
fn others_are_served_while_a_diameter_client_sends_at_full_speed() {
    let host = "d.example.org";
    let diameter_server = DiameterServer::new(host, move |ccr| Some(success_answer(ccr, host)));
    let web = Server::new(|_| ok("served"));
    let entries = [
        diameter_entry("d", &diameter_server, 0, "Ready"),
        endpoint_entry("w", web.address, 0, "Ready"),
    ];
    let site = start_site(&entries.join(","), "");
    until_served(&mut DiameterClient::new(site.address, "till.example.org"));
    let greeting = capabilities_exchange_request("flood.example.org").encode();
    // An update of an unknown session is answered by the gateway itself.
    let update = credit_control_request("flood;1", 2, 1).encode();
    let flood = Flood::start(site.address, 2, &greeting, &update);
    assert_others_are_served(&site.gateway);
    flood.stop();
}

/// Guards against a signal that waits behind a connection which never lets others have their turn.
#[test]
fn sigterm_ends_the_process_while_clients_pipeline_at_full_speed() {
    let (mut gateway, _server, _discovery) = start_gateway();
    let query = b"GET /ready HTTP/1.1\r\nHost: g\r\n\r\n";
    let flood = Flood::start(gateway.address, 2, b"", query);
    gateway.terminate();
    assert!(gateway.wait_for_exit().success());
    flood.stop();
}
