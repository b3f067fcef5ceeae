//! Members and a network between them, in virtual time (microseconds).
#![allow(
    dead_code,
    reason = "each test program that includes this module uses a part of it"
)]

use cpu_time::ThreadTime;
use frosthatch_cluster_membership::seal::Keys;
use frosthatch_cluster_membership::{LifecyclePhase, Membership, MembershipConfig, Output};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between the ticks of a member.
pub const TICK: u64 = 50_000;
/// A second.
pub const S: u64 = 1_000_000;
const SECRET: &[u8] = &[7; 32];
/// Datagrams that the socket of a stopped member holds.
const MAX_WAITING: usize = 200;

pub fn keys() -> Keys {
    Keys::from_secret(0, SECRET).expect("a key")
}

pub fn address_of(n: usize) -> SocketAddr {
    ([127, 0, (n / 250) as u8, 1], 7_000 + (n % 250) as u16).into()
}

fn index_of(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = address else {
        return None;
    };
    let offset = usize::from(v4.port().checked_sub(7_000)?);
    Some(usize::from(v4.ip().octets()[2]) * 250 + offset)
}

/// Configuration of the `n`th of `count` members.
pub fn config(n: usize, count: usize, started_ms: u64) -> MembershipConfig {
    MembershipConfig {
        name: format!("n{n}"),
        number: n as u16,
        gateways: count as u16,
        zone: format!("z{}", n % 3),
        region: "north".into(),
        program: "0.2.0".into(),
        advertise: address_of(n),
        seeds: (0..count.min(3)).map(address_of).collect(),
        update_interval_us: TICK,
        probe_interval_us: 200_000,
        bytes_per_s: 250_000,
        messages_per_s: 400,
        max_entries: 10_000,
        max_members: 2_000,
        forget_us: 30 * S,
        started_ms,
        seed: started_ms * 1_000 + n as u64,
    }
}

/// A member, what it reported, and what it cost.
pub struct Node {
    pub membership: Membership,
    /// It does not run; datagrams wait at its socket.
    pub stopped: bool,
    waiting: Vec<(SocketAddr, Vec<u8>)>,
    /// Added to the time that it is given.
    pub skew: u64,
    /// Units of others that it learned of, by customer.
    pub peer_usage: BTreeMap<u32, f64>,
    /// The same, of before their gateway was first heard of.
    pub past_usage: BTreeMap<u32, f64>,
    /// When each gateway last reported all of its usage.
    pub reported_at: BTreeMap<u32, u64>,
    pub absent: Vec<u32>,
    pub logs: Vec<(u64, String)>,
    pub bytes: u64,
    pub messages: u64,
    /// Processor time in total, and of the longest call.
    pub busy: Duration,
    pub longest: Duration,
    /// Calls, and those of them that took more than a millisecond.
    pub calls: u64,
    pub over_1ms: u64,
}

impl Node {
    fn new(membership: Membership) -> Node {
        Node {
            membership,
            stopped: false,
            waiting: Vec::new(),
            skew: 0,
            peer_usage: BTreeMap::new(),
            past_usage: BTreeMap::new(),
            reported_at: BTreeMap::new(),
            absent: Vec::new(),
            logs: Vec::new(),
            bytes: 0,
            messages: 0,
            busy: Duration::ZERO,
            longest: Duration::ZERO,
            calls: 0,
            over_1ms: 0,
        }
    }

    /// Calls the member and measures the processor time of the call.
    fn call(&mut self, call: impl FnOnce(&mut Membership, &mut Vec<Output>)) -> Vec<Output> {
        let mut outputs = Vec::new();
        let started = ThreadTime::now();
        call(&mut self.membership, &mut outputs);
        let took = started.elapsed();
        self.busy += took;
        self.longest = self.longest.max(took);
        self.calls += 1;
        self.over_1ms += u64::from(took > Duration::from_millis(1));
        outputs
    }
}

/// A datagram on its way; the first to arrive comes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Flight {
    arrives_at: u64,
    sequence: u64,
    to: usize,
    from: usize,
    bytes: Vec<u8>,
}

pub struct World {
    pub now: u64,
    pub count: usize,
    pub nodes: Vec<Option<Node>>,
    flying: BinaryHeap<Reverse<Flight>>,
    sent: u64,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Shortest and longest time that a datagram takes.
    pub delay: (u64, u64),
    /// Whether datagrams from one to another are lost.
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
    random_state: u64,
    /// Sender, receiver and bytes of all datagrams, if they are recorded.
    pub record: Option<Vec<(usize, usize, Vec<u8>)>>,
}

impl World {
    pub fn new(count: usize, seed: u64) -> World {
        World {
            now: S,
            count,
            nodes: (0..count).map(|_| None).collect(),
            flying: BinaryHeap::new(),
            sent: 0,
            loss: 0.0,
            delay: (1_000, 1_000),
            cut: Box::new(|_, _| false),
            random_state: seed,
            record: None,
        }
    }

    /// A world in which all members have started and found each other.
    pub fn settled(count: usize, seed: u64) -> World {
        let mut world = World::new(count, seed);
        (0..count).for_each(|n| world.start(n));
        world.run(3 * S);
        world
    }

    pub fn start(&mut self, n: usize) {
        self.start_with(n, config(n, self.count, self.now / 1_000));
    }

    pub fn start_with(&mut self, n: usize, config: MembershipConfig) {
        let mut membership = Membership::new(config, keys());
        membership.set_phase(self.now, LifecyclePhase::Ready);
        self.nodes[n] = Some(Node::new(membership));
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
    }

    pub fn node(&mut self, n: usize) -> &mut Node {
        self.nodes[n].as_mut().expect("it runs")
    }

    pub fn fleet(&self, n: usize) -> &Membership {
        &self.nodes[n].as_ref().expect("it runs").membership
    }

    /// A random number from 0 to below 1.
    pub fn random_unit(&mut self) -> f64 {
        self.random_state = self
            .random_state
            .wrapping_mul(0x5851_F42D_4C95_7F2D)
            .wrapping_add(0x1405_7B7E_F767_814F);
        (self.random_state >> 33) as f64 / f64::from(1u32 << 31)
    }

    /// Runs by the millisecond; the members tick at different ones.
    pub fn run(&mut self, us: u64) {
        let end = self.now + us;
        while self.now < end {
            self.now += 1_000;
            while let Some(flight) = self.next_arrival() {
                self.deliver(flight.to, address_of(flight.from), &flight.bytes);
            }
            let phase = (self.now / 1_000 % (TICK / 1_000)) as usize;
            for n in (phase..self.nodes.len()).step_by(TICK as usize / 1_000) {
                self.tick(n);
            }
        }
    }

    fn next_arrival(&mut self) -> Option<Flight> {
        let next = self.flying.peek()?;
        if next.0.arrives_at > self.now {
            return None;
        }
        self.flying.pop().map(|flight| flight.0)
    }

    fn tick(&mut self, n: usize) {
        let now = self.now;
        let Some(node) = self.nodes[n].as_mut().filter(|node| !node.stopped) else {
            return;
        };
        for (from, bytes) in std::mem::take(&mut node.waiting) {
            self.deliver(n, from, &bytes);
        }
        let Some(node) = self.nodes[n].as_mut() else {
            return;
        };
        let now = now + node.skew;
        let outputs = node.call(|membership, outputs| membership.tick(now, outputs));
        self.carry_out(n, outputs);
    }

    /// Delivers a datagram at once, or lets it wait if the member is stopped.
    pub fn deliver(&mut self, to: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.now;
        let Some(node) = self.nodes[to].as_mut() else {
            return;
        };
        if node.stopped {
            if node.waiting.len() < MAX_WAITING {
                node.waiting.push((from, bytes.to_vec()));
            }
            return;
        }
        let now = now + node.skew;
        let outputs = node.call(|membership, outputs| {
            membership.handle_datagram(now, from, bytes, outputs);
        });
        self.carry_out(to, outputs);
    }

    fn carry_out(&mut self, n: usize, outputs: Vec<Output>) {
        for output in outputs {
            if let Output::Send { to, bytes } = output {
                self.send(n, to, bytes);
                continue;
            }
            let now = self.now;
            let Some(node) = self.nodes[n].as_mut() else {
                return;
            };
            match output {
                Output::Send { .. } | Output::MessageReceived { .. } => {}
                Output::UsageReported { heard, uses, past } => {
                    node.reported_at
                        .extend(heard.into_iter().map(|gateway| (gateway, now)));
                    for (_, tag, units) in uses {
                        *node.peer_usage.entry(tag).or_default() += units;
                    }
                    for (tag, units) in past {
                        *node.past_usage.entry(tag).or_default() += units;
                    }
                }
                Output::GatewaysAbsent(absent) => node.absent = absent,
                Output::Log(line) => node.logs.push((now, line)),
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        assert!(bytes.len() <= 1_200);
        let node = self.nodes[from].as_mut().expect("it sends");
        node.bytes += bytes.len() as u64;
        node.messages += 1;
        let Some(to) = index_of(to).filter(|n| *n < self.count) else {
            return;
        };
        let is_lost = self.random_unit() < self.loss || (self.cut)(from, to);
        let (shortest, longest) = self.delay;
        let extra = (self.random_unit() * (longest - shortest) as f64) as u64;
        if is_lost {
            return;
        }
        if let Some(record) = &mut self.record {
            record.push((from, to, bytes.clone()));
        }
        self.sent += 1;
        self.flying.push(Reverse(Flight {
            arrives_at: self.now + shortest + extra,
            sequence: self.sent,
            to,
            from,
            bytes,
        }));
    }

    pub fn running(&self) -> Vec<usize> {
        let is_running = |n: &usize| self.nodes[*n].as_ref().is_some_and(|node| !node.stopped);
        (0..self.count).filter(is_running).collect()
    }

    /// The state of one member as another one knows it.
    pub fn state(&self, of: usize, by: usize) -> &'static str {
        let name = format!("n{of}");
        self.fleet(by)
            .members()
            .find(|member| member.record.name == name)
            .map_or("unknown", |member| member.record.state())
    }

    /// Whether one member is in this state for all others that run.
    pub fn all_hold(&self, of: usize, state: &str) -> bool {
        self.running()
            .into_iter()
            .filter(|by| *by != of)
            .all(|by| self.state(of, by) == state)
    }

    pub fn views_equal(&self) -> bool {
        let digests: Vec<u64> = self
            .running()
            .iter()
            .map(|n| self.fleet(*n).view().digest)
            .collect();
        digests.windows(2).all(|w| w[0] == w[1])
    }

    /// Runs until a condition holds, and returns how long that took; `None` if it does not hold after `timeout`.
    pub fn until(&mut self, timeout: u64, holds: impl Fn(&World) -> bool) -> Option<u64> {
        let from = self.now;
        while self.now < from + timeout {
            if holds(self) {
                return Some(self.now - from);
            }
            self.run(TICK);
        }
        holds(self).then_some(self.now - from)
    }

    /// Log lines that say that a member is dead: whose they are, when they were written, and the text.
    pub fn accusations(&self) -> Vec<(usize, u64, String)> {
        let mut accusations = Vec::new();
        for (n, node) in self.nodes.iter().enumerate() {
            let lines = node.iter().flat_map(|node| &node.logs);
            for (at, line) in lines.filter(|(_, line)| line.contains(": dead")) {
                accusations.push((n, *at, line.clone()));
            }
        }
        accusations
    }
}
