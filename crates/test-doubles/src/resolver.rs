//! DNS resolver that answers from a [`Zone`] over UDP and TCP and sends its changes as DNS Push Notifications (RFC
//! 8765).

use crate::zone::{Zone, ZoneChange};
use domain::base::iana::Rtype;
use domain::base::name::ParsedName;
use domain::dep::octseq::Parser;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// Largest UDP answer, as the queries' EDNS option allows.
const MAX_UDP_ANSWER_BYTES: usize = 1_232;

/// How the resolver answers queries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DnsMode {
    /// Answers from the zone.
    Answering,
    /// Sends no answer.
    Silent,
    /// Answers every query with this response code: 2 is SERVFAIL, 5 is REFUSED.
    ResponseCode(u8),
    /// Sends the true answer's header followed by garbled bytes.
    Garbage,
    /// Sends the first half of the true answer.
    FirstHalf,
    /// Sends the true answer with another message id.
    WrongId,
    /// Sets the TC bit over UDP, and closes TCP connections without an answer.
    TruncatedWithoutTcp,
}

/// How the resolver serves push sessions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PushMode {
    /// Sends every change to its subscribers.
    Notifying,
    /// Keeps sessions open and sends nothing more.
    Unresponsive,
    /// Sends half of the next message about a change and closes the session, then returns to [`PushMode::Notifying`].
    CutsNextMessage,
    /// Answers subscriptions with REFUSED.
    RefusesSubscriptions,
}

/// A push session and its subscriptions.
struct Subscriber {
    stream: TcpStream,
    names: Vec<(String, Rtype)>,
}

/// DNS resolver on loopback; its clones share the zone and the modes.
#[derive(Clone)]
pub struct Resolver {
    pub address: SocketAddr,
    /// Address that accepts push sessions.
    pub push: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    zone: Mutex<Zone>,
    mode: Mutex<DnsMode>,
    push_mode: Mutex<PushMode>,
    subscribers: Mutex<Vec<Subscriber>>,
    queries: AtomicU64,
    tcp_queries: AtomicU64,
    push_sessions: AtomicU64,
}

impl Resolver {
    /// Starts a resolver.
    pub fn new(zone: Zone) -> Resolver {
        let (udp, tcp) = loop {
            let udp = UdpSocket::bind("127.0.0.1:0").expect("a loopback port is free");
            // UDP and TCP use the same port.
            if let Ok(tcp) =
                TcpListener::bind(udp.local_addr().expect("a bound socket has an address"))
            {
                break (udp, tcp);
            }
        };
        let push_sessions = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let shared = Arc::new(Shared {
            zone: Mutex::new(zone),
            mode: Mutex::new(DnsMode::Answering),
            push_mode: Mutex::new(PushMode::Notifying),
            subscribers: Mutex::default(),
            queries: AtomicU64::new(0),
            tcp_queries: AtomicU64::new(0),
            push_sessions: AtomicU64::new(0),
        });
        let resolver = Resolver {
            address: udp.local_addr().expect("a bound socket has an address"),
            push: push_sessions
                .local_addr()
                .expect("a bound listener has an address"),
            shared,
        };
        let r = resolver.clone();
        thread::spawn(move || r.serve_datagrams(&udp));
        let r = resolver.clone();
        thread::spawn(move || {
            for stream in tcp.incoming().flatten() {
                let r = r.clone();
                thread::spawn(move || r.serve_tcp_connection(stream));
            }
        });
        let r = resolver.clone();
        thread::spawn(move || {
            for stream in push_sessions.incoming().flatten() {
                let r = r.clone();
                thread::spawn(move || r.serve_push_session(stream));
            }
        });
        resolver
    }

    pub fn set_mode(&self, mode: DnsMode) {
        *self
            .shared
            .mode
            .lock()
            .expect("no thread panics while it holds the mode") = mode;
    }

    pub fn set_push_mode(&self, mode: PushMode) {
        *self
            .shared
            .push_mode
            .lock()
            .expect("no thread panics while it holds the mode") = mode;
    }

    /// Returns the number of queries so far over UDP and TCP, without those whose TCP connection was closed in
    /// [`DnsMode::TruncatedWithoutTcp`].
    pub fn queries(&self) -> u64 {
        self.shared.queries.load(Ordering::SeqCst)
    }

    /// Returns the number of queries so far over TCP, without those whose connection was closed in
    /// [`DnsMode::TruncatedWithoutTcp`].
    pub fn tcp_queries(&self) -> u64 {
        self.shared.tcp_queries.load(Ordering::SeqCst)
    }

    /// Returns the number of push sessions accepted so far.
    pub fn push_sessions(&self) -> u64 {
        self.shared.push_sessions.load(Ordering::SeqCst)
    }

    /// Closes all push sessions.
    pub fn close_push_sessions(&self) {
        for s in self
            .shared
            .subscribers
            .lock()
            .expect("no thread panics while it holds the subscribers")
            .drain(..)
        {
            let _ = s.stream.shutdown(Shutdown::Both);
        }
    }

    /// Changes the zone, sends the changes to the subscribers, and returns the time right after the zone was
    /// changed, before the changes are sent.
    pub fn change_zone(&self, change: impl FnOnce(&mut Zone)) -> Instant {
        let mut zone = self
            .shared
            .zone
            .lock()
            .expect("the test's change to the zone did not panic");
        change(&mut zone);
        let changes = zone.take_changes();
        drop(zone);
        let changed = Instant::now();
        let mut mode = self
            .shared
            .push_mode
            .lock()
            .expect("no thread panics while it holds the mode");
        if *mode == PushMode::Unresponsive {
            return changed;
        }
        let cuts_message = *mode == PushMode::CutsNextMessage;
        if cuts_message {
            *mode = PushMode::Notifying;
        }
        drop(mode);
        self.shared
            .subscribers
            .lock()
            .expect("no thread panics while it holds the subscribers")
            .retain_mut(|s| {
                let is_subscribed = |c: &&ZoneChange| {
                    let is_owner = |name: &str| name.eq_ignore_ascii_case(&c.owner);
                    s.names.iter().any(|(name, rtype)| {
                        is_owner(name) && (*rtype == Rtype::ANY || *rtype == c.rr.rtype())
                    })
                };
                let relevant: Vec<&ZoneChange> = changes.iter().filter(is_subscribed).collect();
                for batch in relevant.chunks(64) {
                    let message = push_message(batch.iter().map(|c| {
                        let ttl = if c.added { 10 } else { u32::MAX };
                        c.rr.encode_for_push(&c.owner, ttl)
                    }));
                    let length = if cuts_message {
                        message.len() / 2
                    } else {
                        message.len()
                    };
                    if s.stream.write_all(&message[..length]).is_err() || cuts_message {
                        let _ = s.stream.shutdown(Shutdown::Both);
                        return false;
                    }
                }
                true
            });
        changed
    }

    /// Sends a PUSH message with these encoded records to every session.
    pub fn push_raw(&self, records: &[Vec<u8>]) {
        let message = push_message(records.iter().cloned());
        for s in self
            .shared
            .subscribers
            .lock()
            .expect("no thread panics while it holds the subscribers")
            .iter_mut()
        {
            let _ = s.stream.write_all(&message);
        }
    }

    /// Returns the answer to a query in the current mode; `None` if no answer is sent.
    fn answer(&self, query: &[u8], max_bytes: usize) -> Option<Vec<u8>> {
        self.shared.queries.fetch_add(1, Ordering::SeqCst);
        let mode = *self
            .shared
            .mode
            .lock()
            .expect("no thread panics while it holds the mode");
        let mut answer = self
            .shared
            .zone
            .lock()
            .expect("the test's change to the zone did not panic")
            .answer(query, max_bytes)?;
        match mode {
            DnsMode::Answering => {}
            DnsMode::Silent => return None,
            DnsMode::ResponseCode(code) => {
                answer = query.to_vec();
                answer[2] |= 0x84;
                answer[3] = code;
            }
            DnsMode::Garbage => answer[12..]
                .iter_mut()
                .for_each(|b| *b = b.wrapping_mul(31).wrapping_add(97)),
            DnsMode::FirstHalf => answer.truncate(answer.len() / 2),
            DnsMode::WrongId => answer[0] ^= 0x55,
            DnsMode::TruncatedWithoutTcp => {
                answer[2] |= 2;
                answer.truncate(max_bytes.min(answer.len()));
            }
        }
        Some(answer)
    }

    /// Answers queries over UDP.
    fn serve_datagrams(&self, socket: &UdpSocket) {
        let mut buffer = [0; 4_096];
        while let Ok((n, from)) = socket.recv_from(&mut buffer) {
            if let Some(answer) = self.answer(&buffer[..n], MAX_UDP_ANSWER_BYTES) {
                let _ = socket.send_to(&answer, from);
            }
        }
    }

    /// Answers queries over one TCP connection.
    fn serve_tcp_connection(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(query) = read_framed(&mut stream) {
            if *self
                .shared
                .mode
                .lock()
                .expect("no thread panics while it holds the mode")
                == DnsMode::TruncatedWithoutTcp
            {
                return;
            }
            self.shared.tcp_queries.fetch_add(1, Ordering::SeqCst);
            match self.answer(&query, 65_535) {
                Some(answer) => drop(stream.write_all(&with_length(&answer))),
                None => thread::park(),
            }
        }
    }

    /// Serves one push session.
    fn serve_push_session(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        self.shared.push_sessions.fetch_add(1, Ordering::SeqCst);
        let Ok(write) = stream.try_clone() else {
            return;
        };
        let peer = write.peer_addr().ok();
        self.shared
            .subscribers
            .lock()
            .expect("no thread panics while it holds the subscribers")
            .push(Subscriber {
                stream: write,
                names: Vec::new(),
            });
        while let Some(message) = read_framed(&mut stream) {
            let mode = *self
                .shared
                .push_mode
                .lock()
                .expect("no thread panics while it holds the mode");
            if message.len() < 16 || mode == PushMode::Unresponsive {
                continue;
            }
            let mut response = message[..12].to_vec();
            response[2] |= 0x80;
            let tlv_type = u16::from_be_bytes([message[12], message[13]]);
            let mut subscribers = self
                .shared
                .subscribers
                .lock()
                .expect("no thread panics while it holds the subscribers");
            let subscriber = subscribers
                .iter_mut()
                .find(|s| s.stream.peer_addr().ok() == peer);
            let Some(subscriber) = subscriber else { return };
            match tlv_type {
                // Keepalive: the response echoes the requested times.
                1 => response.extend(&message[12..]),
                0x40 if mode == PushMode::RefusesSubscriptions => response[3] = 5,
                0x40 => {
                    let bytes = &message[16..];
                    let mut parser = Parser::from_ref(&bytes);
                    let Ok(name) = ParsedName::parse_ref(&mut parser).map(|n| n.to_string()) else {
                        return;
                    };
                    let Ok(rtype) = parser.parse_u16_be().map(Rtype::from_int) else {
                        return;
                    };
                    drop(subscriber.stream.write_all(&with_length(&response)));
                    let existing: Vec<Vec<u8>> = {
                        let zone = self
                            .shared
                            .zone
                            .lock()
                            .expect("the test's change to the zone did not panic");
                        let matches_type =
                            |rr: &&crate::zone::Rr| rtype == Rtype::ANY || rr.rtype() == rtype;
                        zone.records(&name)
                            .iter()
                            .filter(matches_type)
                            .map(|rr| rr.encode_for_push(&name, 10))
                            .collect()
                    };
                    subscriber.names.push((name, rtype));
                    for batch in existing.chunks(64) {
                        let _ = subscriber
                            .stream
                            .write_all(&push_message(batch.iter().cloned()));
                    }
                    continue;
                }
                _ => continue,
            }
            let _ = subscriber.stream.write_all(&with_length(&response));
        }
        self.shared
            .subscribers
            .lock()
            .expect("no thread panics while it holds the subscribers")
            .retain(|s| s.stream.peer_addr().ok() != peer);
    }
}

/// Encodes a PUSH message with these records, preceded by its length.
fn push_message(records: impl Iterator<Item = Vec<u8>>) -> Vec<u8> {
    let data: Vec<u8> = records.flatten().collect();
    let mut message = vec![0, 0, 6 << 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x41];
    message.extend((data.len() as u16).to_be_bytes());
    message.extend(data);
    with_length(&message)
}

/// Prepends the length of a message, as over TCP.
fn with_length(message: &[u8]) -> Vec<u8> {
    [&(message.len() as u16).to_be_bytes()[..], message].concat()
}

/// Reads a message preceded by its length; `None` if the connection ends first.
fn read_framed(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; 2];
    stream.read_exact(&mut length).ok()?;
    let mut message = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut message).ok()?;
    Some(message)
}
