//! The gateway binary with servers that give long answers slowly: what a server still gives reaches its client whole, and
//! its first bytes come in the client's time.

mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between the requests of a warm-up, which have to stay within the customer's quota.
const WARM_UP_INTERVAL: Duration = Duration::from_millis(10);

/// How a server paces a long answer; no pause is over 1 s.
#[derive(Clone, Copy, Debug)]
enum Pace {
    /// The head at once, the body late.
    LateBody,
    /// A few large parts with long pauses.
    Lumps,
    /// Many small parts.
    Steady,
}

impl Pace {
    const ALL: [Pace; 3] = [Pace::LateBody, Pace::Lumps, Pace::Steady];

    fn answer(self, framing: AnswerFraming) -> LongAnswer {
        let milliseconds = Duration::from_millis;
        match self {
            Pace::LateBody => LongAnswer {
                first_pause: milliseconds(800),
                pause: milliseconds(60),
                ..LongAnswer::new(framing, 10, 15_000)
            },
            Pace::Lumps => LongAnswer {
                first_pause: milliseconds(100),
                pause: milliseconds(800),
                ..LongAnswer::new(framing, 4, 50_000)
            },
            Pace::Steady => LongAnswer {
                first_pause: milliseconds(20),
                pause: milliseconds(50),
                ..LongAnswer::new(framing, 40, 5_000)
            },
        }
    }
}

/// Returns the answer that a path names, such as `/top-up?Lumps&Chunked`.
fn named_answer(line: &str) -> Option<LongAnswer> {
    let names = |text: String| line.contains(&text);
    let pace = Pace::ALL.into_iter().find(|p| names(format!("{p:?}")))?;
    let framing = AnswerFraming::ALL
        .into_iter()
        .find(|f| names(format!("{f:?}")))?;
    Some(pace.answer(framing))
}

/// Returns a server that gives the answers that paths name, and short ones otherwise.
fn start_server() -> Server {
    Server::new(|request| named_answer(&request.line).map_or_else(|| ok("short"), Reply::Long))
}

/// The common boot configuration with the objectives and deadlines of a service: 0.6 s and 2 s for checks, 0.3 s and
/// 0.75 s for top-ups.
fn service_config(discovery: &Discovery) -> String {
    config_text(discovery.address, None, 1, "")
        .replacen(
            "\"aimUs\":4000000,\"deadlineUs\":8000000",
            "\"aimUs\":600000,\"deadlineUs\":2000000",
            1,
        )
        .replacen(
            "\"aimUs\":4000000,\"deadlineUs\":8000000",
            "\"aimUs\":300000,\"deadlineUs\":750000",
            1,
        )
        .replace("\"windowUs\":7500000", "\"windowUs\":750000")
}

struct Site {
    gateway: Gateway,
    servers: Vec<Server>,
    _discovery: Discovery,
}

impl Site {
    /// Starts four servers of two cells and a gateway in front of them.
    fn new() -> Site {
        let servers: Vec<Server> = (0..4).map(|_| start_server()).collect();
        let entries: Vec<String> = servers
            .iter()
            .enumerate()
            .map(|(i, server)| {
                endpoint_entry(&format!("s{i}"), server.address, i as u64 / 2, "Ready")
            })
            .collect();
        let discovery = Discovery::new(&entries.join(","));
        let gateway = Gateway::start_from_config(&service_config(&discovery));
        gateway.wait_ready();
        Site {
            gateway,
            servers,
            _discovery: discovery,
        }
    }

    /// Sends short requests for longer than a control interval, so that the gateway knows the usual latency and gives
    /// attempts a short time limit.
    fn warm_up(&self) {
        let since = Instant::now();
        while since.elapsed() < Duration::from_millis(1_300) {
            for request in [ClientRequest::check(), ClientRequest::top_up()] {
                self.gateway.request(&request);
            }
            thread::sleep(WARM_UP_INTERVAL);
        }
        self.drain_request_count();
    }

    fn drain_request_count(&self) -> usize {
        self.servers.iter().map(Server::drain_request_count).sum()
    }
}

/// What a client got of a long answer.
#[derive(Debug)]
struct Received {
    status: String,
    body_bytes: usize,
    /// Whether the answer's end can be recognized, by its length, its last chunk or an orderly close.
    is_ended: bool,
    first_byte_after: Duration,
}

/// Returns a request for a long answer, which closes its connection.
fn request_for(
    new_request: fn() -> ClientRequest,
    pace: Pace,
    framing: AnswerFraming,
    client_timeout: Duration,
) -> String {
    let timeout = format!("{:.3}", client_timeout.as_secs_f64());
    let request = new_request()
        .with_header("X-Expires-In", &timeout)
        .with_header("Connection", "close");
    let path = format!("{}?{pace:?}&{framing:?}", request.path);
    request.to_text().replacen(request.path, &path, 1)
}

/// Sends a request and reads its answer.
fn receive(address: SocketAddr, request: &str) -> Received {
    let mut stream = TcpStream::connect(address).expect("the gateway accepts");
    stream.set_read_timeout(Some(TIMEOUT)).expect("timeout > 0");
    let since = Instant::now();
    stream
        .write_all(request.as_bytes())
        .expect("the connection is open");
    let peeked = stream.peek(&mut [0; 1]);
    let first_byte_after = since.elapsed();
    assert!(matches!(peeked, Ok(1)), "the answer begins: {peeked:?}");
    let mut bytes = Vec::new();
    let is_closed = stream.read_to_end(&mut bytes).is_ok();
    let text = String::from_utf8_lossy(&bytes);
    let length = text
        .split_once("Content-Length: ")
        .and_then(|(_, rest)| rest.split("\r\n").next()?.parse::<usize>().ok());
    let body_bytes = bytes.iter().filter(|byte| **byte == BODY_BYTE).count();
    let is_chunked = text.contains("Transfer-Encoding: chunked");
    let has_end = match length {
        Some(length) => body_bytes == length,
        None => !is_chunked || text.ends_with("0\r\n\r\n"),
    };
    Received {
        status: text.chars().skip(9).take(3).collect(),
        body_bytes,
        is_ended: is_closed && has_end,
        first_byte_after,
    }
}

/// Asks for an answer of each pace and framing at once, and asserts that all arrive whole, begin in the client's time, and
/// took one attempt each.
fn assert_all_arrive(site: &Site, new_request: fn() -> ClientRequest, client_timeout: Duration) {
    let address = site.gateway.address;
    let mut clients = Vec::new();
    for pace in Pace::ALL {
        for framing in AnswerFraming::ALL {
            let request = request_for(new_request, pace, framing, client_timeout);
            let receiver = thread::spawn(move || receive(address, &request));
            clients.push((pace, framing, receiver));
        }
    }
    let requests = clients.len();
    let mut broken = Vec::new();
    for (pace, framing, receiver) in clients {
        let received = receiver.join().expect("the client does not panic");
        let is_whole = received.status == "200"
            && received.is_ended
            && received.body_bytes == pace.answer(framing).body_bytes();
        if !is_whole || received.first_byte_after > client_timeout {
            broken.push((pace, framing, received));
        }
    }
    assert!(broken.is_empty(), "cut off or late: {broken:#?}");
    assert_eq!(site.drain_request_count(), requests, "one attempt each");
}

/// Guards against an attempt's time limit, or a client's deadline, that cuts off what a server still gives: safe requests
/// with much time, and with less than the objective of their class.
#[test]
fn slow_answers_to_safe_requests_arrive_whole() {
    let site = Site::new();
    for is_warm in [false, true] {
        if is_warm {
            site.warm_up();
        }
        for client_timeout in [Duration::from_millis(1_750), Duration::from_millis(550)] {
            assert_all_arrive(&site, ClientRequest::check, client_timeout);
        }
    }
}

/// Guards against the same for keyed requests.
#[test]
fn slow_answers_to_keyed_requests_arrive_whole() {
    let site = Site::new();
    for is_warm in [false, true] {
        if is_warm {
            site.warm_up();
        }
        assert_all_arrive(&site, ClientRequest::top_up, Duration::from_millis(550));
    }
}

/// Guards against a removal from the list, or a drain, that cuts off an answer which is not passed on yet.
#[test]
fn an_answer_goes_on_when_its_server_leaves_the_list_before_it_is_passed_on() {
    let server = start_server();
    let entry = |state| endpoint_entry("a", server.address, 0, state);
    for (is_whole_list, entries) in [
        (false, entry("Terminating")),
        (false, entry("Gone")),
        (true, String::new()),
    ] {
        let discovery = Discovery::new(&entry("Ready"));
        let gateway = Gateway::start_alone(&discovery);
        let timeout = Duration::from_secs(3);
        let request = request_for(
            ClientRequest::check,
            Pace::LateBody,
            AnswerFraming::Chunked,
            timeout,
        );
        let address = gateway.address;
        let receiver = thread::spawn(move || receive(address, &request));
        server.next_request();
        // The head has arrived by then, and the body has not.
        thread::sleep(Duration::from_millis(200));
        discovery.publish_and_wait(is_whole_list, &entries);
        let received = receiver.join().expect("the client does not panic");
        let whole = Pace::LateBody.answer(AnswerFraming::Chunked).body_bytes();
        assert!(
            received.is_ended && received.body_bytes == whole,
            "{entries}: {received:?}"
        );
    }
}

/// A server whose answers stop after one part, and a gateway in front of it.
fn start_stalling_site(framing: AnswerFraming) -> (Gateway, Discovery, Server) {
    let server = Server::new(move |_| {
        Reply::Long(LongAnswer {
            stalls_after: Some(1),
            ..LongAnswer::new(framing, 10, 1_000)
        })
    });
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    (gateway, discovery, server)
}

/// Guards against an answer that is held until the client's deadline although its server has fallen silent.
#[test]
fn an_answer_of_unknown_length_that_falls_silent_is_tried_at_another_server() {
    for framing in [AnswerFraming::Chunked, AnswerFraming::UntilClose] {
        let (gateway, discovery, stalling) = start_stalling_site(framing);
        let mut client = gateway.client();
        client.send(&ClientRequest::check().to_text());
        stalling.next_request();
        let other = Server::new(|_| ok("other"));
        discovery.publish_and_wait(false, &endpoint_entry("b", other.address, 0, "Ready"));
        let answer = client.read_response().expect("the request is answered");
        assert_eq!(answer.body, "other", "{framing:?}");
    }
}

/// Guards against an answer that looks complete although its server fell silent after it was passed on.
#[test]
fn an_answer_that_falls_silent_after_it_was_passed_on_is_recognizably_incomplete() {
    let receivers = [AnswerFraming::Chunked, AnswerFraming::UntilClose].map(|framing| {
        thread::spawn(move || {
            let (gateway, _discovery, _server) = start_stalling_site(framing);
            let request = ClientRequest::check()
                .with_header("X-Expires-In", "1.0")
                .with_header("Connection", "close");
            receive(gateway.address, &request.to_text())
        })
    });
    for receiver in receivers {
        let received = receiver.join().expect("the client does not panic");
        assert!(received.first_byte_after < Duration::from_secs(1));
        assert_eq!(
            (received.status.as_str(), received.body_bytes),
            ("200", 1_000)
        );
        assert!(!received.is_ended, "the end cannot be mistaken");
    }
}

/// Guards against a final answer that waits for a server which reads a long request slowly.
#[test]
fn a_long_request_that_its_server_reads_slowly_is_answered_in_its_time() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let server = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut chunk = [0; 6_400];
                while matches!(stream.read(&mut chunk), Ok(count) if count > 0) {
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    let entries = endpoint_entry("a", server, 0, "Ready");
    let discovery = Discovery::new(&entries);
    let gateway = Gateway::start_from_config(&service_config(&discovery));
    gateway.wait_ready();
    for body_bytes in [1_000_000, 7_000_000] {
        let request = ClientRequest {
            body: "x".repeat(body_bytes),
            ..ClientRequest::top_up()
        };
        let request = request
            .with_header("X-Expires-In", "0.7")
            .with_header("Connection", "close");
        let received = receive(gateway.address, &request.to_text());
        assert!(
            received.first_byte_after < Duration::from_secs(1),
            "{received:?}"
        );
        assert_ne!(received.status, "200");
    }
}
