//! HTTP/1.1 servers whose answers a test specifies, and the message reader that servers and clients share.

use crate::long_answer::LongAnswer;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit of the waits and reads of the test doubles; none takes this long, even on a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// An HTTP/1.1 request or response as received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Idle time of the connection before this request. Set only by servers, and not for the first request of a
    /// connection.
    pub idle: Option<Duration>,
}

impl Message {
    /// Returns the value of the first header with this name, without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    /// Returns the status code of a response, or 0 if it has none.
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads one message; `None` if the connection ends or the read times out first.
pub fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    while from.read_line(&mut line).ok()? > 0 {
        let text = line.trim_end();
        match text.split_once(':') {
            _ if message.line.is_empty() => message.line = text.into(),
            Some((name, value)) => message.headers.push((name.into(), value.trim().into())),
            None => {
                if message.header("transfer-encoding") == Some("chunked") {
                    let body = read_chunks(from)?;
                    message.body = String::from_utf8_lossy(&body).into();
                    return Some(message);
                }
                let length = message
                    .header("content-length")
                    .map_or(0, |v| v.parse().unwrap_or(0));
                let mut body = vec![0; length];
                from.read_exact(&mut body).ok()?;
                message.body = String::from_utf8_lossy(&body).into();
                return Some(message);
            }
        }
        line.clear();
    }
    None
}

/// Reads a chunked body without extensions or trailers; `None` if it is incomplete.
fn read_chunks(from: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        from.read_exact(&mut chunk).ok()?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Some(body);
        }
    }
}

/// What a [`Server`] does with a request.
pub enum Reply {
    /// Sends these bytes and reads the next request.
    Bytes(String),
    /// Sends the first bytes and, 2 ms later, the second.
    BytesInTwoParts(String, String),
    /// Sends the first bytes and, after this time, in which it reads nothing, the second.
    BytesThenMore(String, Duration, String),
    /// Sends these bytes and, 30 ms later, closes the connection.
    BytesThenClose(String),
    /// Sends these bytes and, 30 ms later, resets the connection.
    BytesThenReset(String),
    /// Sends a long answer, and closes the connection if that ends it.
    Long(LongAnswer),
    /// Closes the connection.
    Close,
    /// Sends nothing until the gateway closes the connection.
    Silence,
}

/// Returns a 200 response with this body.
pub fn ok(body: &str) -> Reply {
    Reply::Bytes(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Returns a response without a body; `line` is its status line after the version.
pub fn status(line: &str) -> Reply {
    Reply::Bytes(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n"))
}

/// Returns a 503 response which states that the request was not executed.
pub fn never_ran() -> Reply {
    status("503 Service Unavailable\r\nX-Never-Ran: 1")
}

/// An event at a [`Server`].
#[derive(Debug)]
pub enum ServerEvent {
    /// A connection was accepted.
    Connected,
    Request(Message),
    /// A connection ended.
    Closed,
}

/// HTTP server whose answers a test specifies.
pub struct Server {
    pub address: SocketAddr,
    /// Events in the order in which they occur.
    pub events: Receiver<ServerEvent>,
}

impl Server {
    /// Starts a server on a port of its own.
    pub fn new(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Server {
        Server::on_listener(
            TcpListener::bind("127.0.0.1:0").expect("a loopback port is free"),
            reply,
        )
    }

    /// Starts a server on an existing listener.
    pub fn on_listener(
        listener: TcpListener,
        reply: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> Server {
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let (event_sender, events) = channel();
        let reply = Arc::new(reply);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (event_sender, reply) = (event_sender.clone(), reply.clone());
                let _ = event_sender.send(ServerEvent::Connected);
                thread::spawn(move || {
                    serve_connection(stream, &event_sender, &*reply);
                    let _ = event_sender.send(ServerEvent::Closed);
                });
            }
        });
        Server { address, events }
    }

    /// Starts a server that answers each request with `reply` once a message for it arrives on the returned
    /// channel, or after [`TIMEOUT`].
    pub fn gated(reply: fn() -> Reply) -> (Server, Sender<()>) {
        let (release, released) = channel::<()>();
        let released = Mutex::new(released);
        let server = Server::new(move |_| {
            let _ = released
                .lock()
                .expect("no thread panics while it holds the receiver")
                .recv_timeout(TIMEOUT);
            reply()
        });
        (server, release)
    }

    /// Waits for the next request and returns it.
    pub fn next_request(&self) -> Message {
        loop {
            if let ServerEvent::Request(m) = self
                .events
                .recv_timeout(TIMEOUT)
                .expect("a request arrives within 20 s")
            {
                return m;
            }
        }
    }

    /// Waits until another connection has been accepted.
    pub fn wait_connected(&self) {
        while !matches!(
            self.events
                .recv_timeout(TIMEOUT)
                .expect("a connection is accepted within 20 s"),
            ServerEvent::Connected
        ) {}
    }

    /// Waits until a connection has ended.
    pub fn wait_closed(&self) {
        while !matches!(
            self.events
                .recv_timeout(TIMEOUT)
                .expect("a connection ends within 20 s"),
            ServerEvent::Closed
        ) {}
    }

    /// Takes the events that have occurred so far.
    pub fn drain_events(&self) -> Vec<ServerEvent> {
        self.events.try_iter().collect()
    }

    /// Takes the events that have occurred so far and returns the number of requests among them.
    pub fn drain_request_count(&self) -> usize {
        self.drain_events()
            .iter()
            .filter(|s| matches!(s, ServerEvent::Request(_)))
            .count()
    }
}

/// Listener whose backlog is full until [`FullBacklog::accept`], so that connections are established late: the
/// kernel retransmits a SYN 1 s after the first attempt and 2 s after that.
pub struct FullBacklog {
    listener: TcpListener,
    /// Connections that fill the backlog.
    fillers: Vec<TcpStream>,
}

impl FullBacklog {
    /// Binds a listener and fills its backlog.
    #[allow(clippy::new_without_default)]
    pub fn new() -> FullBacklog {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)
            .expect("the process is below its limit of file descriptors");
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a loopback port is free");
        socket
            .listen(0)
            .expect("the port is new, so nothing else listens on it");
        let listener = TcpListener::from(socket);
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok();
        let fillers = std::iter::from_fn(connect).collect();
        FullBacklog { listener, fillers }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("a bound listener has an address")
    }

    /// Starts a server that accepts connections from now on, and waits until those that filled the backlog have ended.
    pub fn accept(self, reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Server {
        let count = self.fillers.len();
        drop(self.fillers);
        let server = Server::on_listener(self.listener, reply);
        (0..count).for_each(|_| server.wait_closed());
        server
    }
}

/// Answers the requests of one connection.
fn serve_connection(
    stream: TcpStream,
    event_sender: &Sender<ServerEvent>,
    reply: &dyn Fn(&Message) -> Reply,
) {
    let Ok(mut write) = stream.try_clone() else {
        return;
    };
    let mut read = BufReader::new(stream);
    let mut idle_since: Option<Instant> = None;
    while let Some(mut message) = read_message(&mut read) {
        message.idle = idle_since.map(|s| s.elapsed());
        let _ = event_sender.send(ServerEvent::Request(message.clone()));
        match reply(&message) {
            Reply::Bytes(bytes) => {
                let _ = write.write_all(bytes.as_bytes());
            }
            Reply::BytesInTwoParts(bytes, rest) => {
                let _ = write.write_all(bytes.as_bytes());
                thread::sleep(Duration::from_millis(2));
                let _ = write.write_all(rest.as_bytes());
            }
            Reply::BytesThenMore(bytes, pause, more) => {
                let _ = write.write_all(bytes.as_bytes());
                thread::sleep(pause);
                let _ = write.write_all(more.as_bytes());
            }
            Reply::BytesThenClose(bytes) => {
                let _ = write.write_all(bytes.as_bytes());
                thread::sleep(Duration::from_millis(30));
                let _ = write.shutdown(std::net::Shutdown::Both);
                return;
            }
            Reply::BytesThenReset(bytes) => {
                let _ = write.write_all(bytes.as_bytes());
                thread::sleep(Duration::from_millis(30));
                let _ = SockRef::from(&write).set_linger(Some(Duration::ZERO));
                return;
            }
            Reply::Long(answer) => {
                if !matches!(answer.write_to(&mut write), Ok(true)) {
                    return;
                }
            }
            Reply::Close => return,
            Reply::Silence => {
                let _ = read.read(&mut [0]);
                return;
            }
        }
        idle_since = Some(Instant::now());
    }
}
