//! A resolver that answers from a [`Zone`] over UDP and TCP, and tells its changes by DNS Push Notifications (RFC 8765).

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

/// What a UDP answer may have (EDNS, as queries say).
const UDP_BYTES: usize = 1_232;

/// How the resolver behaves at the moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DnsMood {
    Answering,
    Silent,
    /// This code to everything: 2 is SERVFAIL, 5 is REFUSED.
    Code(u8),
    /// Noise behind a head that fits.
    Garbage,
    /// The first half of the true answer.
    Half,
    /// The true answer, with another id.
    WrongId,
    /// Truncated over UDP, and nobody on TCP.
    OnlyTruncated,
}

/// How push sessions go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PushMood {
    Telling,
    /// Stays open and says nothing more.
    Mute,
    /// The next change is cut off in the middle, and so is the session.
    CutsNext,
    /// Subscriptions are refused.
    Refusing,
}

struct Subscriber {
    stream: TcpStream,
    names: Vec<(String, Rtype)>,
}

#[derive(Clone)]
pub struct Resolver {
    pub address: SocketAddr,
    /// Where push sessions are taken.
    pub push: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    zone: Mutex<Zone>,
    mood: Mutex<DnsMood>,
    push_mood: Mutex<PushMood>,
    subscribers: Mutex<Vec<Subscriber>>,
    queries: AtomicU64,
    streams: AtomicU64,
    sessions: AtomicU64,
}

impl Resolver {
    pub fn new(zone: Zone) -> Resolver {
        let (udp, tcp) = loop {
            let udp = UdpSocket::bind("127.0.0.1:0").expect("a port");
            // The same port for both.
            if let Ok(tcp) = TcpListener::bind(udp.local_addr().expect("an address")) {
                break (udp, tcp);
            }
        };
        let sessions = TcpListener::bind("127.0.0.1:0").expect("a port");
        let shared = Arc::new(Shared {
            zone: Mutex::new(zone),
            mood: Mutex::new(DnsMood::Answering),
            push_mood: Mutex::new(PushMood::Telling),
            subscribers: Mutex::default(),
            queries: AtomicU64::new(0),
            streams: AtomicU64::new(0),
            sessions: AtomicU64::new(0),
        });
        let resolver = Resolver {
            address: udp.local_addr().expect("an address"),
            push: sessions.local_addr().expect("an address"),
            shared,
        };
        let r = resolver.clone();
        thread::spawn(move || r.datagrams(&udp));
        let r = resolver.clone();
        thread::spawn(move || {
            for stream in tcp.incoming().flatten() {
                let r = r.clone();
                thread::spawn(move || r.stream(stream));
            }
        });
        let r = resolver.clone();
        thread::spawn(move || {
            for stream in sessions.incoming().flatten() {
                let r = r.clone();
                thread::spawn(move || r.session(stream));
            }
        });
        resolver
    }

    pub fn mood(&self, mood: DnsMood) {
        *self.shared.mood.lock().expect("mood") = mood;
    }

    pub fn push_mood(&self, mood: PushMood) {
        *self.shared.push_mood.lock().expect("mood") = mood;
    }

    /// Queries so far, over UDP and TCP.
    pub fn queries(&self) -> u64 {
        self.shared.queries.load(Ordering::SeqCst)
    }

    /// Of them over TCP.
    pub fn streams(&self) -> u64 {
        self.shared.streams.load(Ordering::SeqCst)
    }

    /// Push sessions so far.
    pub fn sessions(&self) -> u64 {
        self.shared.sessions.load(Ordering::SeqCst)
    }

    /// Ends all push sessions.
    pub fn drop_sessions(&self) {
        for s in self
            .shared
            .subscribers
            .lock()
            .expect("subscribers")
            .drain(..)
        {
            let _ = s.stream.shutdown(Shutdown::Both);
        }
    }

    /// Changes the zone and tells the subscribers; returns when it had changed.
    pub fn change(&self, change: impl FnOnce(&mut Zone)) -> Instant {
        let mut zone = self.shared.zone.lock().expect("zone");
        change(&mut zone);
        let changes = zone.take_changes();
        drop(zone);
        let changed = Instant::now();
        let mut mood = self.shared.push_mood.lock().expect("mood");
        if *mood == PushMood::Mute {
            return changed;
        }
        let cuts = *mood == PushMood::CutsNext;
        if cuts {
            *mood = PushMood::Telling;
        }
        drop(mood);
        self.shared
            .subscribers
            .lock()
            .expect("subscribers")
            .retain_mut(|s| {
                let of_interest = |c: &&ZoneChange| {
                    let same = |n: &str| n.eq_ignore_ascii_case(&c.owner);
                    s.names
                        .iter()
                        .any(|(n, t)| same(n) && (*t == Rtype::ANY || *t == c.rr.rtype()))
                };
                let told: Vec<&ZoneChange> = changes.iter().filter(of_interest).collect();
                for part in told.chunks(64) {
                    let message = push_message(part.iter().map(|c| {
                        let ttl = if c.added { 10 } else { u32::MAX };
                        c.rr.pushed(&c.owner, ttl)
                    }));
                    let end = if cuts {
                        message.len() / 2
                    } else {
                        message.len()
                    };
                    if s.stream.write_all(&message[..end]).is_err() || cuts {
                        let _ = s.stream.shutdown(Shutdown::Both);
                        return false;
                    }
                }
                true
            });
        changed
    }

    /// Tells every session this, as it is.
    pub fn push_raw(&self, records: &[Vec<u8>]) {
        let message = push_message(records.iter().cloned());
        for s in self
            .shared
            .subscribers
            .lock()
            .expect("subscribers")
            .iter_mut()
        {
            let _ = s.stream.write_all(&message);
        }
    }

    fn answer(&self, query: &[u8], most: usize) -> Option<Vec<u8>> {
        self.shared.queries.fetch_add(1, Ordering::SeqCst);
        let mood = *self.shared.mood.lock().expect("mood");
        let mut answer = self.shared.zone.lock().expect("zone").answer(query, most)?;
        match mood {
            DnsMood::Answering => {}
            DnsMood::Silent => return None,
            DnsMood::Code(code) => {
                answer = query.to_vec();
                answer[2] |= 0x84;
                answer[3] = code;
            }
            DnsMood::Garbage => answer[12..]
                .iter_mut()
                .for_each(|b| *b = b.wrapping_mul(31).wrapping_add(97)),
            DnsMood::Half => answer.truncate(answer.len() / 2),
            DnsMood::WrongId => answer[0] ^= 0x55,
            DnsMood::OnlyTruncated => {
                answer[2] |= 2;
                answer.truncate(most.min(answer.len()));
            }
        }
        Some(answer)
    }

    fn datagrams(&self, socket: &UdpSocket) {
        let mut buffer = [0; 4_096];
        while let Ok((n, from)) = socket.recv_from(&mut buffer) {
            if let Some(answer) = self.answer(&buffer[..n], UDP_BYTES) {
                let _ = socket.send_to(&answer, from);
            }
        }
    }

    fn stream(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(query) = frame(&mut stream) {
            if *self.shared.mood.lock().expect("mood") == DnsMood::OnlyTruncated {
                return;
            }
            self.shared.streams.fetch_add(1, Ordering::SeqCst);
            match self.answer(&query, 65_535) {
                Some(answer) => drop(stream.write_all(&framed(&answer))),
                None => thread::park(),
            }
        }
    }

    fn session(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        self.shared.sessions.fetch_add(1, Ordering::SeqCst);
        let Ok(write) = stream.try_clone() else {
            return;
        };
        let own = write.peer_addr().ok();
        self.shared
            .subscribers
            .lock()
            .expect("subscribers")
            .push(Subscriber {
                stream: write,
                names: Vec::new(),
            });
        while let Some(message) = frame(&mut stream) {
            let mood = *self.shared.push_mood.lock().expect("mood");
            if message.len() < 16 || mood == PushMood::Mute {
                continue;
            }
            let mut response = message[..12].to_vec();
            response[2] |= 0x80;
            let tlv = u16::from_be_bytes([message[12], message[13]]);
            let mut subscribers = self.shared.subscribers.lock().expect("subscribers");
            let me = subscribers
                .iter_mut()
                .find(|s| s.stream.peer_addr().ok() == own);
            let Some(me) = me else { return };
            match tlv {
                // Keepalive: granted as asked.
                1 => response.extend(&message[12..]),
                0x40 if mood == PushMood::Refusing => response[3] = 5,
                0x40 => {
                    let bytes = &message[16..];
                    let mut parser = Parser::from_ref(&bytes);
                    let Ok(name) = ParsedName::parse_ref(&mut parser).map(|n| n.to_string()) else {
                        return;
                    };
                    let Ok(rtype) = parser.parse_u16_be().map(Rtype::from_int) else {
                        return;
                    };
                    drop(me.stream.write_all(&framed(&response)));
                    let here: Vec<Vec<u8>> = {
                        let zone = self.shared.zone.lock().expect("zone");
                        let fits =
                            |rr: &&crate::zone::Rr| rtype == Rtype::ANY || rr.rtype() == rtype;
                        zone.records(&name)
                            .iter()
                            .filter(fits)
                            .map(|rr| rr.pushed(&name, 10))
                            .collect()
                    };
                    me.names.push((name, rtype));
                    for part in here.chunks(64) {
                        let _ = me.stream.write_all(&push_message(part.iter().cloned()));
                    }
                    continue;
                }
                _ => continue,
            }
            let _ = me.stream.write_all(&framed(&response));
        }
        self.shared
            .subscribers
            .lock()
            .expect("subscribers")
            .retain(|s| s.stream.peer_addr().ok() != own);
    }
}

/// A PUSH message with these records, behind its length.
fn push_message(records: impl Iterator<Item = Vec<u8>>) -> Vec<u8> {
    let data: Vec<u8> = records.flatten().collect();
    let mut message = vec![0, 0, 6 << 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x41];
    message.extend((data.len() as u16).to_be_bytes());
    message.extend(data);
    framed(&message)
}

fn framed(message: &[u8]) -> Vec<u8> {
    [&(message.len() as u16).to_be_bytes()[..], message].concat()
}

fn frame(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; 2];
    stream.read_exact(&mut length).ok()?;
    let mut message = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut message).ok()?;
    Some(message)
}
