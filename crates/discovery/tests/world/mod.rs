//! A browser between resolvers, in virtual time: nothing waits, nothing is random but the seed.
#![allow(dead_code)]

use frosthatch_discovery::dnssd::browser::{Browser, Input, Output, Transport};
use frosthatch_discovery::dnssd::{DnsSdConfig, PushConfig};
use frosthatch_engine::{Endpoint, EndpointState};
use frosthatch_test_doubles::{Rr, Zone, ZoneChange};
use frosthatch_traffic_control::ListKind;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

pub const SERVICE: &str = "_topup._tcp.example.org";
pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;
/// One way to a resolver.
const WAY: u64 = MS;

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Mood {
    Fine,
    Silent,
    Code(u8),
    Garbage,
    Half,
    /// Truncated over UDP, no TCP.
    OnlyTruncated,
    /// A forged answer from elsewhere, one with another id and one to another question come first.
    Spoofed,
}

enum Coming {
    Datagram {
        query: u64,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    Stream {
        query: u64,
        bytes: Vec<u8>,
    },
    Broken {
        query: u64,
    },
    Opened,
    Pushed(Vec<u8>),
    Closed,
}

pub struct World {
    pub browser: Browser,
    pub now: u64,
    pub zones: Vec<Zone>,
    pub moods: Vec<Mood>,
    /// The push server refuses connections while false.
    pub push_up: bool,
    /// It reads and says nothing.
    pub push_mute: bool,
    subscriptions: Option<Vec<(String, u16)>>,
    coming: VecDeque<(u64, Coming)>,
    /// What the decisions were told, by server.
    pub fleet: BTreeMap<String, Endpoint>,
    /// Each telling: when, how, and who.
    pub tellings: Vec<(u64, ListKind, Vec<Endpoint>)>,
    pub log: Vec<String>,
    /// When each query was sent.
    pub asked: Vec<u64>,
    pub streams: usize,
    pub connects: usize,
}

pub fn resolver(n: usize) -> SocketAddr {
    ([127, 0, 0, 53], 5300 + n as u16).into()
}

pub fn plan(resolvers: usize) -> DnsSdConfig {
    let mut plan = DnsSdConfig {
        resolvers: (0..resolvers).map(resolver).collect(),
        ..DnsSdConfig::default()
    };
    plan.set_services(&[SERVICE]).expect("a service");
    plan
}

pub fn with_push(resolvers: usize) -> DnsSdConfig {
    let push = PushConfig {
        servers: vec![resolver(9)],
        keepalive: Duration::from_secs(10),
        ..PushConfig::default()
    };
    DnsSdConfig {
        push: Some(push),
        ..plan(resolvers)
    }
}

/// A zone with so many instances, `n0` and on.
pub fn zone(instances: usize) -> Zone {
    let mut zone = Zone::new("example.org");
    for n in 0..instances {
        zone.add_instance(SERVICE, &format!("n{n}"), at(n), &["zone=hall-a", "cell=1"]);
    }
    zone.take_changes();
    zone
}

pub fn at(n: usize) -> SocketAddr {
    ([127, 1, (n / 250) as u8, (n % 250) as u8 + 1], 8080).into()
}

impl World {
    pub fn new(plan: DnsSdConfig, zones: Vec<Zone>) -> World {
        World::knowing(plan, zones, Vec::new())
    }

    pub fn knowing(plan: DnsSdConfig, zones: Vec<Zone>, known: Vec<Endpoint>) -> World {
        let now = 1_700_000_000 * SECOND;
        World {
            browser: Browser::new(plan, known, 7, now),
            now,
            moods: vec![Mood::Fine; zones.len()],
            zones,
            push_up: true,
            push_mute: false,
            subscriptions: None,
            coming: VecDeque::new(),
            fleet: BTreeMap::new(),
            tellings: Vec::new(),
            log: Vec::new(),
            asked: Vec::new(),
            streams: 0,
            connects: 0,
        }
    }

    /// Lets so much time pass.
    pub fn run(&mut self, us: u64) {
        let until = self.now + us;
        let mut steps = 0;
        loop {
            steps += 1;
            assert!(steps < 2_000_000, "it goes round and round");
            let coming = self.coming.front().map(|(at, _)| *at);
            let next = self
                .browser
                .next_wakeup_us(self.now)
                .max(self.now)
                .min(coming.unwrap_or(u64::MAX));
            if next > until {
                self.now = until;
                return;
            }
            self.now = next;
            let came = match coming {
                Some(at) if at <= self.now => self.coming.pop_front().map(|(_, c)| c),
                _ => None,
            };
            self.hand_in(came);
        }
    }

    fn hand_in(&mut self, came: Option<Coming>) {
        let mut out = Vec::new();
        let input = match &came {
            None => None,
            Some(Coming::Datagram { query, from, bytes }) => Some(Input::Datagram {
                query_id: *query,
                from: *from,
                bytes,
            }),
            Some(Coming::Stream { query, bytes }) => Some(Input::Stream {
                query_id: *query,
                bytes,
            }),
            Some(Coming::Broken { query }) => Some(Input::QueryFailed { query_id: *query }),
            Some(Coming::Opened) => Some(Input::PushOpened),
            Some(Coming::Pushed(bytes)) => Some(Input::PushMessage(bytes)),
            Some(Coming::Closed) => Some(Input::PushClosed),
        };
        self.browser.handle(self.now, input, &mut out);
        for output in out {
            self.carry_out(output);
        }
    }

    /// Hands in a datagram on the socket of the newest query.
    pub fn forge(&mut self, query: u64, from: SocketAddr, bytes: Vec<u8>) {
        self.come(0, Coming::Datagram { query, from, bytes });
    }

    fn come(&mut self, after: u64, what: Coming) {
        let at = self.now + after;
        let place = self
            .coming
            .iter()
            .position(|(t, _)| *t > at)
            .unwrap_or(self.coming.len());
        self.coming.insert(place, (at, what));
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::SendQuery {
                query_id,
                to,
                transport,
                bytes,
            } => self.asked_for(query_id, to, transport == Transport::Tcp, bytes),
            Output::CloseQuery { .. } => {}
            Output::UpdateEndpoints { kind, endpoints } => {
                if kind == ListKind::Complete {
                    self.fleet.clear();
                }
                for m in &endpoints {
                    match m.state {
                        EndpointState::Gone => drop(self.fleet.remove(&m.uid)),
                        _ => drop(self.fleet.insert(m.uid.clone(), m.clone())),
                    }
                }
                self.tellings.push((self.now, kind, endpoints));
            }
            Output::ConnectPush(_) => {
                self.connects += 1;
                let what = if self.push_up {
                    Coming::Opened
                } else {
                    Coming::Closed
                };
                self.subscriptions = self.push_up.then(Vec::new);
                self.come(2 * WAY, what);
            }
            Output::WritePush(bytes) => self.session(&bytes),
            Output::ClosePush => self.subscriptions = None,
            Output::Log(line) => self.log.push(line),
        }
    }

    fn asked_for(&mut self, query: u64, to: SocketAddr, tcp: bool, bytes: Vec<u8>) {
        self.asked.push(self.now);
        self.streams += usize::from(tcp);
        let n = usize::from(to.port() - 5300);
        let most = if tcp { 65_535 } else { 1_232 };
        let mood = self.moods[n];
        let mut answer = self.zones[n]
            .answer(&bytes, most)
            .expect("a query that can be read");
        match mood {
            Mood::Fine => {}
            Mood::Silent => return,
            Mood::Code(code) => {
                answer = bytes;
                (answer[2], answer[3]) = (answer[2] | 0x84, code);
            }
            Mood::Garbage => answer[12..]
                .iter_mut()
                .for_each(|b| *b = b.wrapping_mul(31).wrapping_add(97)),
            Mood::Half => answer.truncate(answer.len() / 2),
            Mood::OnlyTruncated if tcp => return self.come(WAY, Coming::Broken { query }),
            Mood::OnlyTruncated => answer[2] |= 2,
            Mood::Spoofed => {
                let empty = |id: u8| {
                    let mut m = bytes.clone();
                    (m[0], m[2], m[3]) = (m[0] ^ id, m[2] | 0x84, 3);
                    m
                };
                let mut other = empty(0);
                other[13] ^= 1;
                for (from, bytes) in [(resolver(7), empty(0)), (to, empty(0x40)), (to, other)] {
                    self.come(WAY, Coming::Datagram { query, from, bytes });
                }
            }
        }
        let came = match tcp {
            true => Coming::Stream {
                query,
                bytes: answer,
            },
            false => Coming::Datagram {
                query,
                from: to,
                bytes: answer,
            },
        };
        self.come(2 * WAY, came);
    }

    /// The push server's side of a session.
    fn session(&mut self, message: &[u8]) {
        if self.push_mute || self.subscriptions.is_none() {
            return;
        }
        let mut response = message[..12].to_vec();
        response[2] |= 0x80;
        if message[13] == 1 {
            response.extend(&message[12..]);
            return self.come(2 * WAY, Coming::Pushed(response));
        }
        // SUBSCRIBE: an uncompressed name, type and class.
        let (mut name, mut at) = (Vec::new(), 16);
        while message[at] != 0 {
            let length = usize::from(message[at]);
            name.push(String::from_utf8_lossy(&message[at + 1..at + 1 + length]).to_string());
            at += 1 + length;
        }
        let (name, rtype) = (
            name.join("."),
            u16::from_be_bytes([message[at + 1], message[at + 2]]),
        );
        let here: Vec<Vec<u8>> = self.zones[0]
            .records(&name)
            .iter()
            .filter(|rr| rtype == 255 || rr.rtype().to_int() == rtype)
            .map(|rr| rr.pushed(&name, 10))
            .collect();
        if let Some(all) = &mut self.subscriptions {
            all.push((name, rtype));
        }
        self.come(2 * WAY, Coming::Pushed(response));
        if !here.is_empty() {
            self.come(2 * WAY, Coming::Pushed(push(&here)));
        }
    }

    /// Changes the first zone and tells whoever has subscribed.
    pub fn change(&mut self, change: impl FnOnce(&mut Zone)) {
        change(&mut self.zones[0]);
        let changes = self.zones[0].take_changes();
        if self.push_mute {
            return;
        }
        let Some(names) = &self.subscriptions else {
            return;
        };
        let fits = |c: &&ZoneChange| {
            let same = |n: &str| n.eq_ignore_ascii_case(&c.owner);
            names
                .iter()
                .any(|(n, t)| same(n) && (*t == 255 || *t == c.rr.rtype().to_int()))
        };
        let told: Vec<Vec<u8>> = changes
            .iter()
            .filter(fits)
            .map(|c| c.rr.pushed(&c.owner, if c.added { 10 } else { u32::MAX }))
            .collect();
        if !told.is_empty() {
            self.come(WAY, Coming::Pushed(push(&told)));
        }
    }

    /// The push server says this.
    pub fn push_raw(&mut self, message: Vec<u8>) {
        self.come(WAY, Coming::Pushed(message));
    }

    pub fn push_dies(&mut self) {
        self.subscriptions = None;
        self.come(WAY, Coming::Closed);
    }

    pub fn state(&self, uid: &str) -> Option<EndpointState> {
        self.fleet.get(uid).map(|m| m.state)
    }

    pub fn ready(&self) -> usize {
        self.fleet
            .values()
            .filter(|m| m.state == EndpointState::Ready)
            .count()
    }
}

/// A PUSH message with these records.
pub fn push(records: &[Vec<u8>]) -> Vec<u8> {
    let data = records.concat();
    let mut message = vec![0, 0, 6 << 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x41];
    message.extend((data.len() as u16).to_be_bytes());
    message.extend(data);
    message
}

/// The PTR record of an instance.
pub fn ptr(instance: &str) -> Rr {
    Rr::Ptr(format!("{instance}.{SERVICE}"))
}
