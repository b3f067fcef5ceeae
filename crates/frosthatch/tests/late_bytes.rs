//! Requests whose last byte leaves long after the first: what was decided before the first byte still has to hold then.
//! A server begins a request when its last byte has come, and so do repeats, deadlines and clients' leaving count.

mod common;
use common::*;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// More than the system takes over from a sender whose peer does not read.
const LONG_BODY: usize = 6 << 20;

/// A server that reads nothing of a connection until it is told to, and then all.
struct Unread {
    address: SocketAddr,
    accepted: Receiver<()>,
    go: Sender<()>,
    /// What came, and when it was whole; none: the connection ended before.
    whole: Receiver<Option<(Message, Instant)>>,
}

impl Unread {
    fn new() -> Unread {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port can be bound");
        SockRef::from(&listener)
            .set_recv_buffer_size(4_096)
            .expect("the receive buffer size can be set");
        let address = listener
            .local_addr()
            .expect("the socket has a local address");
        let ((tell, accepted), (go, gone), (done, whole)) = (channel(), channel::<()>(), channel());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = tell.send(());
                let _ = gone.recv_timeout(TIMEOUT);
                let _ = done.send(read_all(&stream));
            }
        });
        Unread {
            address,
            accepted,
            go,
            whole,
        }
    }

    fn whole(&self) -> Option<(Message, Instant)> {
        self.whole
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

/// Guards against a second effect: the repeat begins within its window, its last byte would come after.
#[test]
fn a_keyed_repeat_is_not_whole_after_its_window() {
    let (first, go) = Server::gated(|| status("500 Internal Server Error"));
    let second = Unread::new();
    let discovery = Discovery::new(&endpoint_entry("a", first.address, 3, "Ready"));
    let gateway = gateway(
        &discovery,
        &[("\"windowUs\":7500000", "\"windowUs\":1500000")],
    );
    let mut client = gateway.client();
    client.send(&long_top_up().to_text());
    first.next_request();
    discovery.publish_and_wait(false, &endpoint_entry("b", second.address, 3, "Ready"));
    let _ = go.send(());
    second
        .accepted
        .recv_timeout(TIMEOUT)
        .expect("the gateway connects to the second server");
    thread::sleep(Duration::from_millis(1_700));
    let _ = second.go.send(());
    assert!(
        second.whole().is_none(),
        "the repeat came whole after the servers had forgotten its key"
    );
    assert!(client.read_response().is_some_and(|a| a.status() != 200));
}

/// Guards against work for nobody, where attempts may not be called off: one that is not whole has not begun.
#[test]
fn what_is_not_whole_when_its_client_leaves_never_is() {
    for cancel in [true, false] {
        let server = Unread::new();
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
        let _ = server.go.send(());
        assert!(
            server.whole().is_none(),
            "it came whole after its client had gone; cancel {cancel}"
        );
    }
}

/// Guards against a server that works for longer than its client waits: what the head says holds when the last byte comes.
#[test]
fn the_deadline_that_a_server_is_told_holds_at_the_last_byte() {
    let server = Unread::new();
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = gateway(&discovery, &[]);
    let mut client = gateway.client();
    let text = long_top_up().with_header("X-Expires-In", "3.0").to_text();
    client.send(&text);
    let gone_at = Instant::now() + Duration::from_secs(3);
    server
        .accepted
        .recv_timeout(TIMEOUT)
        .expect("the gateway connects to the server");
    thread::sleep(Duration::from_millis(1_500));
    let _ = server.go.send(());
    if let Some((message, at)) = server.whole() {
        let told: f64 = message
            .header("X-Expires-In")
            .and_then(|t| t.parse().ok())
            .expect("the request has a deadline in seconds");
        let left = gone_at.saturating_duration_since(at).as_secs_f64();
        assert!(told <= left + 0.15, "told {told} s with {left} s left");
    }
}

/// Guards against time that a request has spent unread: it counts from its last byte, not from when it is its turn.
#[test]
fn a_request_that_waited_behind_another_has_less_time() {
    let (server, go) = Server::gated(|| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = gateway(&discovery, &[]);
    let mut client = gateway.client();
    let second = ClientRequest::check().with_header("X-Expires-In", "2.0");
    client.send(&(ClientRequest::check().to_text() + &second.to_text()));
    let gone_at = Instant::now() + Duration::from_secs(2);
    server.next_request();
    thread::sleep(Duration::from_millis(800));
    let _ = go.send(());
    client
        .read_response()
        .expect("the first request is answered");
    let message = server.next_request();
    let told: f64 = message
        .header("X-Expires-In")
        .and_then(|t| t.parse().ok())
        .expect("the request has a deadline in seconds");
    let left = gone_at
        .saturating_duration_since(Instant::now())
        .as_secs_f64();
    let _ = go.send(());
    client
        .read_response()
        .expect("the second request is answered");
    assert!(told <= left + 0.15, "told {told} s with {left} s left");
}

/// Guards against a request that is taken so late after SIGTERM that the process ends before its answer.
#[test]
fn a_request_that_is_whole_late_after_sigterm_is_answered() {
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
                "whole {sent:?} after SIGTERM, and no answer"
            );
        }
    }
    assert!(gateway.wait_for_exit().success());
}

/// The same head with an id of its own.
fn replace_id(head: &str) -> String {
    let own = ClientRequest::check();
    let lines = head.split("\r\n").map(|line| {
        if line.starts_with("X-Trace-Id") {
            format!("X-Trace-Id: {}", own.header("X-Trace-Id"))
        } else {
            line.to_string()
        }
    });
    lines.collect::<Vec<_>>().join("\r\n")
}

/// Guards against an idle connection that is ended over a request that has come in time: the process was held up when
/// its time was over, and finds both at once.
#[test]
fn a_request_that_came_before_the_end_of_an_idle_connection_is_served() {
    const IDLE: Duration = Duration::from_secs(5);
    let server = Server::new(|_| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = gateway(&discovery, &[]);
    let mut clients: Vec<Client> = (0..20).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|c| drop(c.check_again()));
    let since = Instant::now();
    thread::sleep(IDLE - Duration::from_millis(150));
    // Those that had their answer first would end first.
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
