//! Servers that answer over HTTP/1.1 as a test says, and clients that read the answers.

use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Nothing here takes this long, on however busy a machine.
pub const LONG: Duration = Duration::from_secs(20);

/// One message of HTTP/1.1, as it came.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// How long its connection had been idle; at a server only, and not for a connection's first.
    pub idle: Option<Duration>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads one message; none if the connection ends first.
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

/// A body in chunks, without extensions or trailers; none if it is cut short.
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

/// What a stand-in server does with a request.
pub enum Reply {
    /// These bytes, then the next request.
    Bytes(String),
    /// These bytes, then, a little later, these.
    Twice(String, String),
    /// These bytes, then, a little later, the end of the connection.
    Last(String),
    /// These bytes, then, a little later, a reset.
    Reset(String),
    /// The end of the connection.
    End,
    /// Nothing, for as long as the gateway stays.
    Silence,
}

pub fn ok(body: &str) -> Reply {
    Reply::Bytes(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

pub fn status(line: &str) -> Reply {
    Reply::Bytes(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n"))
}

pub fn never_ran() -> Reply {
    status("503 Service Unavailable\r\nX-Never-Ran: 1")
}

/// What happens at a server, in order.
#[derive(Debug)]
pub enum Seen {
    Connected,
    Request(Message),
    /// The gateway ended a connection.
    Closed,
}

pub struct Server {
    pub address: SocketAddr,
    pub seen: Receiver<Seen>,
}

impl Server {
    pub fn new(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Server {
        Server::at(TcpListener::bind("127.0.0.1:0").expect("a port"), reply)
    }

    /// The same at a listener that is there already.
    pub fn at(
        listener: TcpListener,
        reply: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> Server {
        let address = listener.local_addr().expect("an address");
        let (tell, seen) = channel();
        let reply = Arc::new(reply);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (tell, reply) = (tell.clone(), reply.clone());
                let _ = tell.send(Seen::Connected);
                thread::spawn(move || {
                    converse(stream, &tell, &*reply);
                    let _ = tell.send(Seen::Closed);
                });
            }
        });
        Server { address, seen }
    }

    /// One that answers each request like this, once it is told to.
    pub fn held(reply: fn() -> Reply) -> (Server, Sender<()>) {
        let (go, gone) = channel::<()>();
        let gone = Mutex::new(gone);
        let server = Server::new(move |_| {
            let _ = gone.lock().expect("one at a time").recv_timeout(LONG);
            reply()
        });
        (server, go)
    }

    /// The next request, once it has come.
    pub fn request(&self) -> Message {
        loop {
            if let Seen::Request(m) = self.seen.recv_timeout(LONG).expect("a request comes") {
                return m;
            }
        }
    }

    /// Waits until another connection has come up.
    pub fn connected(&self) {
        while !matches!(
            self.seen.recv_timeout(LONG).expect("a connection comes up"),
            Seen::Connected
        ) {}
    }

    /// Waits until the gateway ends a connection.
    pub fn closed(&self) {
        while !matches!(
            self.seen.recv_timeout(LONG).expect("a connection ends"),
            Seen::Closed
        ) {}
    }

    /// All that has happened so far.
    pub fn so_far(&self) -> Vec<Seen> {
        self.seen.try_iter().collect()
    }

    pub fn requests_so_far(&self) -> usize {
        self.so_far()
            .iter()
            .filter(|s| matches!(s, Seen::Request(_)))
            .count()
    }
}

/// A server to which connections come up late: its queue is full until it opens, and then the system tries again, a second
/// after it did first and two after that.
pub struct Crowded {
    listener: TcpListener,
    /// What fills the queue.
    crowd: Vec<TcpStream>,
}

impl Crowded {
    #[allow(clippy::new_without_default)]
    pub fn new() -> Crowded {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a port");
        socket.listen(0).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let one = || TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok();
        let crowd = std::iter::from_fn(one).collect();
        Crowded { listener, crowd }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Connections come up from now on.
    pub fn open(self, reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Server {
        let waited = self.crowd.len();
        drop(self.crowd);
        let server = Server::at(self.listener, reply);
        (0..waited).for_each(|_| server.closed());
        server
    }
}

fn converse(stream: TcpStream, tell: &Sender<Seen>, reply: &dyn Fn(&Message) -> Reply) {
    let Ok(mut write) = stream.try_clone() else {
        return;
    };
    let mut read = BufReader::new(stream);
    let mut since: Option<Instant> = None;
    while let Some(mut message) = read_message(&mut read) {
        message.idle = since.map(|s| s.elapsed());
        let _ = tell.send(Seen::Request(message.clone()));
        match reply(&message) {
            Reply::Bytes(bytes) => {
                let _ = write.write_all(bytes.as_bytes());
            }
            Reply::Twice(bytes, more) => {
                let _ = write.write_all(bytes.as_bytes());
                thread::sleep(Duration::from_millis(2));
                let _ = write.write_all(more.as_bytes());
            }
            Reply::Last(bytes) => {
                let _ = write.write_all(bytes.as_bytes());
                thread::sleep(Duration::from_millis(30));
                let _ = write.shutdown(std::net::Shutdown::Both);
                return;
            }
            Reply::Reset(bytes) => {
                let _ = write.write_all(bytes.as_bytes());
                thread::sleep(Duration::from_millis(30));
                let _ = SockRef::from(&write).set_linger(Some(Duration::ZERO));
                return;
            }
            Reply::End => return,
            Reply::Silence => {
                let _ = read.read(&mut [0]);
                return;
            }
        }
        since = Some(Instant::now());
    }
}
