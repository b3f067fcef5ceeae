//! Requests whose last byte is sent long after the first: the conditions checked before the first byte (dedup
//! window, deadline, connected client) must still hold at the last byte, because a server begins a request when
//! its last byte has arrived.

mod common;
use common::*;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// More than the kernel buffers for a sender whose peer does not read.
const LONG_BODY: usize = 6 << 20;

/// A server that reads nothing from a connection until `release` is sent, and then everything.
struct NonReadingServer {
    address: SocketAddr,
    accepted: Receiver<()>,
    release: Sender<()>,
    /// The request and when it was complete, or none if the connection ended before.
    complete: Receiver<Option<(Message, Instant)>>,
}

impl NonReadingServer {
    fn new() -> NonReadingServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port can be bound");
        SockRef::from(&listener)
            .set_recv_buffer_size(4_096)
            .expect("the receive buffer size can be set");
        let address = listener
            .local_addr()
            .expect("the socket has a local address");
        let ((accepted_sender, accepted), (release, released), (complete_sender, complete)) =
            (channel(), channel::<()>(), channel());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = accepted_sender.send(());
                let _ = released.recv_timeout(TIMEOUT);
                let _ = complete_sender.send(read_all(&stream));
            }
        });
        NonReadingServer {
            address,
            accepted,
            release,
            complete,
        }
    }

    fn complete(&self) -> Option<(Message, Instant)> {
        self.complete
            .recv_timeout(TIMEOUT)
            .expect("the connection is read to its end")
    }
}

fn read_all(stream: &TcpStream) -> Option<(Message, Instant)> {
    let message = read_message(&mut BufReader::new(stream))?;
    let at = Instant::now();
    let _ = (&mut &*stream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    Some((message, at))
}

fn gateway(discovery: &Discovery, changes: &[(&str, &str)]) -> Gateway {
    let mut text = config_text(discovery.address, None, 1, "")
        .replace("\"memory_mb\":32", "\"memory_mb\":192");
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    let gateway = Gateway::start_from_config(&text);
    gateway.wait_ready();
    gateway
}

fn long_top_up() -> ClientRequest {
    ClientRequest {
        body: "x".repeat(LONG_BODY),
        ..ClientRequest::top_up()
    }
}

/// Guards against a second effect: the repeat begins within its dedup window, but its last byte would arrive
/// after it.
#[test]
fn a_keyed_repeat_is_not_complete_after_its_window() {
    let (first, release) = Server::gated(|| status("500 Internal Server Error"));
    let second = NonReadingServer::new();
    let discovery = Discovery::new(&endpoint_entry("a", first.address, 3, "Ready"));
    let gateway = gateway(
        &discovery,
        &[("\"windowUs\":7500000", "\"windowUs\":1500000")],
    );
    let mut client = gateway.client();
    client.send(&long_top_up().to_text());
    first.next_request();
    discovery.publish_and_wait(false, &endpoint_entry("b", second.address, 3, "Ready"));
    let _ = release.send(());
    second
        .accepted
        .recv_timeout(TIMEOUT)
        .expect("the gateway connects to the second server");
    thread::sleep(Duration::from_millis(1_700));
    let _ = second.release.send(());
    assert!(
        second.complete().is_none(),
        "the repeat is not completed after the servers have forgotten its key"
    );
    assert!(client.read_response().is_some_and(|a| a.status() != 200));
}

/// Guards against work for a client that has left, where attempts may not be cancelled: an attempt whose request
/// is not complete has not begun.
#[test]
fn a_request_incomplete_when_its_client_leaves_is_never_completed() {
    for cancel in [true, false] {
        let server = NonReadingServer::new();
        let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
        let gateway = gateway(
            &discovery,
            &[("\"cancel\":true", &format!("\"cancel\":{cancel}"))],
        );
        let mut client = gateway.client();
        client.send(&long_top_up().to_text());
        server
            .accepted
            .recv_timeout(TIMEOUT)
            .expect("the gateway connects to the server");
        thread::sleep(Duration::from_millis(50));
        drop(client);
        thread::sleep(Duration::from_millis(150));
        let _ = server.release.send(());
        assert!(
            server.complete().is_none(),
            "the request is not completed after its client has left; cancel: {cancel}"
        );
    }
}

/// Guards against a server that works for longer than its client waits: the deadline in the head must hold when
/// the last byte arrives.
#[test]
fn the_deadline_sent_to_a_server_holds_at_the_last_byte() {
    let server = NonReadingServer::new();
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = gateway(&discovery, &[]);
    let mut client = gateway.client();
    let text = long_top_up().with_header("X-Expires-In", "3.0").to_text();
    client.send(&text);
    let deadline = Instant::now() + Duration::from_secs(3);
    server
        .accepted
        .recv_timeout(TIMEOUT)
        .expect("the gateway connects to the server");
    thread::sleep(Duration::from_millis(1_500));
    let _ = server.release.send(());
    if let Some((message, at)) = server.complete() {
        let deadline_s: f64 = message
            .header("X-Expires-In")
            .and_then(|t| t.parse().ok())
            .expect("the request has a deadline in seconds");
        let left_s = deadline.saturating_duration_since(at).as_secs_f64();
        assert!(
            deadline_s <= left_s + 0.15,
            "the server gets a deadline of {deadline_s} s, the client has {left_s} s left and 0.15 s are tolerated"
        );
    }
}

/// Guards against ignoring the time that a request has spent unread: its deadline counts from its last byte, not
/// from when it is processed.
#[test]
fn the_deadline_of_a_pipelined_request_shrinks_while_it_waits() {
    let (server, release) = Server::gated(|| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = gateway(&discovery, &[]);
    let mut client = gateway.client();
    let second = ClientRequest::check().with_header("X-Expires-In", "2.0");
    client.send(&(ClientRequest::check().to_text() + &second.to_text()));
    let deadline = Instant::now() + Duration::from_secs(2);
    server.next_request();
    thread::sleep(Duration::from_millis(800));
    let _ = release.send(());
    client
        .read_response()
        .expect("the first request is answered");
    let message = server.next_request();
    let deadline_s: f64 = message
        .header("X-Expires-In")
        .and_then(|t| t.parse().ok())
        .expect("the request has a deadline in seconds");
    let left_s = deadline
        .saturating_duration_since(Instant::now())
        .as_secs_f64();
    let _ = release.send(());
    client
        .read_response()
        .expect("the second request is answered");
    assert!(
        deadline_s <= left_s + 0.15,
        "the server gets a deadline of {deadline_s} s, the client has {left_s} s left and 0.15 s are tolerated"
    );
}

/// Guards against a request that is accepted so late after SIGTERM that the process exits before its answer.
#[test]
fn a_request_completed_late_after_sigterm_is_answered() {
    let server = Server::new(|_| Reply::Silence);
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let mut gateway = gateway(
        &discovery,
        &[("\"deadlineUs\":8000000", "\"deadlineUs\":1000000")],
    );
    let text = ClientRequest::check()
        .with_header("X-Expires-In", "1.0")
        .to_text();
    let mut clients: Vec<(Client, u64)> =
        (0..16).map(|n| (gateway.client(), 600 + 55 * n)).collect();
    let (head, rest) = text.split_at(text.len() - 4);
    for (client, _) in &mut clients {
        client.send(&replace_id(head));
    }
    thread::sleep(Duration::from_millis(100));
    gateway.terminate();
    let since = Instant::now();
    for (client, at) in &mut clients {
        thread::sleep(Duration::from_millis(*at).saturating_sub(since.elapsed()));
        if !client.is_closed() {
            client.send(rest);
            let sent = since.elapsed();
            assert!(
                client.read_response().is_some(),
                "a request completed {sent:?} after SIGTERM is answered"
            );
        }
    }
    assert!(gateway.wait_for_exit().success());
}

/// Returns the head with a new id in `X-Trace-Id`.
fn replace_id(head: &str) -> String {
    let new_request = ClientRequest::check();
    let lines = head.split("\r\n").map(|line| {
        if line.starts_with("X-Trace-Id") {
            format!("X-Trace-Id: {}", new_request.header("X-Trace-Id"))
        } else {
            line.to_string()
        }
    });
    lines.collect::<Vec<_>>().join("\r\n")
}

/// Guards against closing an idle connection on which a request has arrived in time: the process was stopped
/// when the idle time ended, and sees both at once.
#[test]
fn a_request_received_before_an_idle_connection_times_out_is_served() {
    const IDLE: Duration = Duration::from_secs(5);
    let server = Server::new(|_| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = gateway(&discovery, &[]);
    let mut clients: Vec<Client> = (0..20).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|c| drop(c.check_again()));
    let since = Instant::now();
    thread::sleep(IDLE - Duration::from_millis(150));
    // The process stops before the first idle connection times out and continues after that; the connection
    // answered first times out first.
    gateway.signal("-STOP");
    clients
        .iter_mut()
        .for_each(|c| c.send(&ClientRequest::check().to_text()));
    thread::sleep((IDLE + Duration::from_millis(50)).saturating_sub(since.elapsed()));
    gateway.signal("-CONT");
    for client in &mut clients {
        assert_eq!(client.read_response().map(|a| a.status()), Some(200));
    }
}
