//! A DNS server with DNS-SD records (RFC 6763) over UDP and TCP, which also sends changes as DNS Push Notifications
//! (RFC 8765). Its answers have no additional section, which RFC 6763 section 12 leaves to the server.

use crate::record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};

pub const SERVICE: &str = "_topup._tcp.example.org";
const A: u16 = 1;
const SOA: u16 = 6;
const PTR: u16 = 12;
const TXT: u16 = 16;
const SRV: u16 = 33;
const ANY: u16 = 255;

#[derive(Clone, PartialEq)]
struct Rr {
    owner: String,
    rtype: u16,
    data: Vec<u8>,
}

struct Session {
    stream: TcpStream,
    names: Vec<(String, u16)>,
    is_silent: bool,
}

#[derive(Default)]
struct State {
    serial: u32,
    records: Vec<Rr>,
    sessions: Vec<Arc<Mutex<Session>>>,
}

#[derive(Clone)]
pub struct Dns {
    pub resolver: SocketAddr,
    pub push: SocketAddr,
    state: Arc<Mutex<State>>,
}

fn name(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for label in text.split('.').filter(|l| !l.is_empty()) {
        out.push(label.len() as u8);
        out.extend(label.as_bytes());
    }
    out.push(0);
    out
}

/// Reads a name without compression; returns it and what follows.
fn parse_name(bytes: &[u8]) -> Option<(String, &[u8])> {
    let (mut labels, mut rest) = (Vec::new(), bytes);
    loop {
        let length = usize::from(*rest.first()?);
        if length == 0 {
            return Some((labels.join(".").to_ascii_lowercase(), &rest[1..]));
        }
        labels.push(String::from_utf8_lossy(rest.get(1..=length)?).into_owned());
        rest = &rest[length + 1..];
    }
}

impl Rr {
    fn encode(&self, ttl: u32) -> Vec<u8> {
        let mut out = name(&self.owner);
        out.extend(self.rtype.to_be_bytes());
        out.extend(1u16.to_be_bytes());
        out.extend(ttl.to_be_bytes());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(&self.data);
        out
    }
    fn matches(&self, owner: &str, rtype: u16) -> bool {
        self.owner == owner && (rtype == ANY || rtype == self.rtype)
    }
}

fn txt(strings: &[&str]) -> Vec<u8> {
    strings
        .iter()
        .flat_map(|s| [&[s.len() as u8], s.as_bytes()].concat())
        .collect()
}

/// The records of an instance of the service.
fn instance(id: &str, at: SocketAddr, strings: &[&str]) -> Vec<Rr> {
    let (full, host) = (format!("{id}.{SERVICE}"), format!("{id}.example.org"));
    let SocketAddr::V4(at) = at else {
        unreachable!("the cases use IPv4")
    };
    let srv = [&[0, 0, 0, 100], &at.port().to_be_bytes()[..], &name(&host)].concat();
    vec![
        Rr {
            owner: host,
            rtype: A,
            data: at.ip().octets().to_vec(),
        },
        Rr {
            owner: full.clone(),
            rtype: SRV,
            data: srv,
        },
        Rr {
            owner: full.clone(),
            rtype: TXT,
            data: txt(strings),
        },
        Rr {
            owner: SERVICE.into(),
            rtype: PTR,
            data: name(&full),
        },
    ]
}

impl State {
    fn answer(&self, query: &[u8], most: usize) -> Option<Vec<u8>> {
        let (owner, rest) = parse_name(query.get(12..)?)?;
        let rtype = u16::from_be_bytes([*rest.first()?, *rest.get(1)?]);
        let question = &query[12..query.len() - rest.len() + 4];
        let soa_data = || {
            let mut data = [name("ns.example.org"), name("ops.example.org")].concat();
            [self.serial, 60, 60, 60, 10]
                .iter()
                .for_each(|n| data.extend(n.to_be_bytes()));
            data
        };
        let soa = Rr {
            owner: "example.org".into(),
            rtype: SOA,
            data: soa_data(),
        };
        let mut answers: Vec<Vec<u8>> = self
            .records
            .iter()
            .filter(|r| r.matches(&owner, rtype))
            .map(|r| r.encode(10))
            .collect();
        if owner == "example.org" && rtype == SOA {
            answers.push(soa.encode(10));
        }
        let suffix = format!(".{owner}");
        let exists = owner == "example.org"
            || self
                .records
                .iter()
                .any(|r| r.owner == owner || r.owner.ends_with(&suffix));
        let authority = if answers.is_empty() {
            soa.encode(10)
        } else {
            Vec::new()
        };
        let build = |flags: u8, answers: &[Vec<u8>], authority: &[u8]| {
            let mut out = query[..2].to_vec();
            out.extend([0x84 | flags | (query[2] & 1), if exists { 0 } else { 3 }]);
            for count in [1, answers.len() as u16, u16::from(!authority.is_empty()), 0] {
                out.extend(count.to_be_bytes());
            }
            out.extend(question);
            answers.iter().for_each(|a| out.extend(a));
            out.extend(authority);
            out
        };
        let whole = build(0, &answers, &authority);
        Some(if whole.len() <= most {
            whole
        } else {
            build(2, &[], &[])
        })
    }
}

fn framed(message: &[u8]) -> Vec<u8> {
    [&(message.len() as u16).to_be_bytes()[..], message].concat()
}

fn read_framed(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; 2];
    stream.read_exact(&mut length).ok()?;
    let mut message = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut message).ok()?;
    Some(message)
}

fn push_message(records: &[Vec<u8>]) -> Vec<u8> {
    let data: Vec<u8> = records.concat();
    let mut message = vec![0, 0, 6 << 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x41];
    message.extend((data.len() as u16).to_be_bytes());
    message.extend(data);
    framed(&message)
}

impl Dns {
    pub fn start() -> Dns {
        let (udp, tcp) = loop {
            let udp = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
            if let Ok(tcp) = TcpListener::bind(udp.local_addr().expect("it has an address")) {
                break (udp, tcp);
            }
        };
        let push = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let dns = Dns {
            resolver: udp.local_addr().expect("it has an address"),
            push: push.local_addr().expect("it has an address"),
            state: Arc::new(Mutex::new(State {
                serial: 1,
                ..State::default()
            })),
        };
        let state = dns.state.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 4096];
            while let Ok((n, from)) = udp.recv_from(&mut buffer) {
                let answer = state
                    .lock()
                    .expect("no thread panics")
                    .answer(&buffer[..n], 1232);
                if let Some(answer) = answer {
                    let _ = udp.send_to(&answer, from);
                }
            }
        });
        let state = dns.state.clone();
        std::thread::spawn(move || {
            for mut stream in tcp.incoming().flatten() {
                let state = state.clone();
                std::thread::spawn(move || {
                    while let Some(query) = read_framed(&mut stream) {
                        let Some(answer) = state
                            .lock()
                            .expect("no thread panics")
                            .answer(&query, 65_535)
                        else {
                            return;
                        };
                        if stream.write_all(&framed(&answer)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        let state = dns.state.clone();
        std::thread::spawn(move || {
            for stream in push.incoming().flatten() {
                let state = state.clone();
                std::thread::spawn(move || serve_push(&state, stream));
            }
        });
        dns
    }

    /// Changes the records of one zone version and tells the subscribers.
    fn change(&self, removed: &[Rr], added: &[Rr]) {
        let mut state = self.state.lock().expect("no thread panics");
        state.serial += 1;
        state.records.retain(|r| !removed.contains(r));
        state.records.extend(added.iter().cloned());
        let sessions = state.sessions.clone();
        drop(state);
        for session in sessions {
            let mut session = session.lock().expect("no thread panics");
            if session.is_silent {
                continue;
            }
            let wanted = |r: &&Rr| session.names.iter().any(|(n, t)| r.matches(n, *t));
            let mut records: Vec<Vec<u8>> = removed
                .iter()
                .filter(wanted)
                .map(|r| r.encode(u32::MAX))
                .collect();
            records.extend(added.iter().filter(wanted).map(|r| r.encode(10)));
            if !records.is_empty() {
                let _ = session.stream.write_all(&push_message(&records));
            }
        }
    }

    /// Adds and removes instances in one zone version.
    pub fn replace(&self, removed: &[&str], added: &[(&str, SocketAddr, &[&str])]) {
        let removed: Vec<Rr> = {
            let state = self.state.lock().expect("no thread panics");
            let is_of = |r: &Rr, id: &str| {
                let full = format!("{id}.{SERVICE}");
                r.owner == full
                    || r.owner == format!("{id}.example.org")
                    || (r.rtype == PTR && r.data == name(&full))
            };
            state
                .records
                .iter()
                .filter(|r| removed.iter().any(|id| is_of(r, id)))
                .cloned()
                .collect()
        };
        let added: Vec<Rr> = added
            .iter()
            .flat_map(|(id, at, strings)| instance(id, *at, strings))
            .collect();
        self.change(&removed, &added);
    }

    /// Replaces the TXT records of instances in one zone version.
    pub fn set_txt(&self, ids: &[&str], strings: &[&str]) {
        let owners: Vec<String> = ids.iter().map(|id| format!("{id}.{SERVICE}")).collect();
        let removed: Vec<Rr> = {
            let state = self.state.lock().expect("no thread panics");
            state
                .records
                .iter()
                .filter(|r| r.rtype == TXT && owners.contains(&r.owner))
                .cloned()
                .collect()
        };
        let added: Vec<Rr> = owners
            .iter()
            .map(|o| Rr {
                owner: o.clone(),
                rtype: TXT,
                data: txt(strings),
            })
            .collect();
        self.change(&removed, &added);
    }

    /// All open push sessions stay open and say nothing more.
    pub fn silence(&self) {
        for session in &self.state.lock().expect("no thread panics").sessions {
            session.lock().expect("no thread panics").is_silent = true;
        }
    }

    /// Number of push sessions that were opened.
    pub fn sessions(&self) -> usize {
        self.state.lock().expect("no thread panics").sessions.len()
    }
}

fn serve_push(state: &Mutex<State>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(clone) = stream.try_clone() else {
        return;
    };
    let session = Arc::new(Mutex::new(Session {
        stream: clone,
        names: Vec::new(),
        is_silent: false,
    }));
    let count = {
        let mut state = state.lock().expect("no thread panics");
        state.sessions.push(session.clone());
        state.sessions.len()
    };
    record::note(&format!("push session {count} is opened"));
    while let Some(message) = read_framed(&mut stream) {
        if message.len() < 16 {
            return;
        }
        let kind = u16::from_be_bytes([message[12], message[13]]);
        let mut response = message[..12].to_vec();
        response[2] |= 0x80;
        // The records and the subscription are taken under the lock of the zone, so that no change is missed.
        let state = state.lock().expect("no thread panics");
        let mut session = session.lock().expect("no thread panics");
        if kind == 1 {
            record::note(&format!(
                "push session {count}: keepalive{}",
                if session.is_silent {
                    ", not answered"
                } else {
                    ""
                }
            ));
        }
        if session.is_silent {
            continue;
        }
        if kind == 1 {
            response.extend(&message[12..]);
            let _ = session.stream.write_all(&framed(&response));
        } else if kind == 0x40 {
            let Some((owner, rest)) = parse_name(&message[16..]) else {
                return;
            };
            let rtype = u16::from_be_bytes([rest[0], rest[1]]);
            let records: Vec<Vec<u8>> = state
                .records
                .iter()
                .filter(|r| r.matches(&owner, rtype))
                .map(|r| r.encode(10))
                .collect();
            session.names.push((owner, rtype));
            let _ = session.stream.write_all(&framed(&response));
            if !records.is_empty() {
                let _ = session.stream.write_all(&push_message(&records));
            }
        }
    }
    record::note(&format!("push session {count} has ended"));
}
