//! Members and the network between them, in virtual time.
#![allow(dead_code)]

use cpu_time::ThreadTime;
use frosthatch_cluster_membership::seal::Keys;
use frosthatch_cluster_membership::{
    LifecyclePhase, MemberRecord, Membership, MembershipConfig, Output,
};
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

pub const TICK: u64 = 50_000;
pub const S: u64 = 1_000_000;
pub const KEY: &[u8] = &[7; 32];

pub fn keys() -> Keys {
    Keys::one(0, KEY).expect("a key")
}

pub fn at(n: usize) -> SocketAddr {
    ([127, 0, (n / 250) as u8, 1], 7_000 + (n % 250) as u16).into()
}

fn place(of: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = of else { return None };
    Some(usize::from(v4.ip().octets()[2]) * 250 + usize::from(v4.port().checked_sub(7_000)?))
}

pub fn plan(n: usize, of: usize, started_ms: u64) -> MembershipConfig {
    MembershipConfig {
        name: format!("n{n}"),
        number: n as u16,
        gateways: of as u16,
        zone: format!("z{}", n % 3),
        region: "north".into(),
        program: "0.2.0".into(),
        advertise: at(n),
        seeds: (0..of.min(3)).map(at).collect(),
        tick_us: TICK,
        probe_us: 200_000,
        bytes_per_s: 250_000,
        messages_per_s: 400,
        most_entries: 10_000,
        most_members: 2_000,
        forget_us: 30 * S,
        started_ms,
        seed: started_ms * 1_000 + n as u64,
    }
}

pub struct Node {
    pub fleet: Membership,
    /// It does not run: what comes waits, as much as a socket holds.
    pub stopped: bool,
    waiting: Vec<(SocketAddr, Vec<u8>)>,
    /// Added to what it takes for the time.
    pub skew: u64,
    pub told: BTreeMap<u32, f64>,
    pub past: BTreeMap<u32, f64>,
    pub heard: BTreeMap<u32, u64>,
    pub absent: Vec<u32>,
    pub logs: Vec<(u64, String)>,
    pub bytes: u64,
    pub messages: u64,
    /// Time of a processor that it took, and the longest at once.
    pub busy: Duration,
    pub longest: Duration,
    /// How often it was asked to do something, and how often that took more than a millisecond.
    pub calls: u64,
    pub over_1ms: u64,
}

impl Node {
    fn took(&mut self, time: Duration) {
        self.busy += time;
        self.longest = self.longest.max(time);
        self.calls += 1;
        self.over_1ms += u64::from(time > Duration::from_millis(1));
    }
}

/// When it arrives, to whom, from whom, and what.
type Flight = std::cmp::Reverse<(u64, u64, usize, usize, Vec<u8>)>;

pub struct World {
    pub now: u64,
    pub of: usize,
    pub nodes: Vec<Option<Node>>,
    flying: BinaryHeap<Flight>,
    sent: u64,
    pub loss: f64,
    pub delay: (u64, u64),
    /// What does not pass, from one to another.
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
    state: u64,
    pub record: Option<Vec<(usize, usize, Vec<u8>)>>,
}

impl World {
    pub fn new(of: usize, seed: u64) -> World {
        let nodes = (0..of).map(|_| None).collect();
        let flying = BinaryHeap::new();
        let cut = Box::new(|_, _| false);
        World {
            now: S,
            of,
            nodes,
            flying,
            sent: 0,
            loss: 0.0,
            delay: (1_000, 1_000),
            cut,
            state: seed,
            record: None,
        }
    }

    /// All of them, started within a second, ready and found.
    pub fn settled(of: usize, seed: u64) -> World {
        let mut world = World::new(of, seed);
        (0..of).for_each(|n| world.start(n));
        world.run(3 * S);
        world
    }

    pub fn start(&mut self, n: usize) {
        self.start_with(n, plan(n, self.of, self.now / 1_000));
    }

    pub fn start_with(&mut self, n: usize, plan: MembershipConfig) {
        let mut fleet = Membership::new(plan, keys());
        fleet.set_phase(self.now, LifecyclePhase::Ready);
        let node = Node {
            fleet,
            stopped: false,
            waiting: Vec::new(),
            skew: 0,
            told: BTreeMap::new(),
            past: BTreeMap::new(),
            heard: BTreeMap::new(),
            absent: Vec::new(),
            logs: Vec::new(),
            bytes: 0,
            messages: 0,
            busy: Duration::ZERO,
            longest: Duration::ZERO,
            calls: 0,
            over_1ms: 0,
        };
        self.nodes[n] = Some(node);
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
    }

    pub fn node(&mut self, n: usize) -> &mut Node {
        self.nodes[n].as_mut().expect("it runs")
    }

    pub fn fleet(&self, n: usize) -> &Membership {
        &self.nodes[n].as_ref().expect("it runs").fleet
    }

    pub fn chance(&mut self) -> f64 {
        self.state = self
            .state
            .wrapping_mul(0x5851_F42D_4C95_7F2D)
            .wrapping_add(0x1405_7B7E_F767_814F);
        (self.state >> 33) as f64 / f64::from(1u32 << 31)
    }

    /// Time goes on by millisecond; each ticks at a time of its own.
    pub fn run(&mut self, us: u64) {
        let till = self.now + us;
        while self.now < till {
            self.now += 1_000;
            while self.flying.peek().is_some_and(|f| f.0 .0 <= self.now) {
                let Some(std::cmp::Reverse((_, _, to, from, bytes))) = self.flying.pop() else {
                    break;
                };
                self.deliver(to, at(from), &bytes);
            }
            let phase = (self.now / 1_000 % (TICK / 1_000)) as usize;
            for n in (phase..self.nodes.len()).step_by(TICK as usize / 1_000) {
                self.tick(n);
            }
        }
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
        let mut out = Vec::new();
        let since = ThreadTime::now();
        node.fleet.tick(now + node.skew, &mut out);
        node.took(since.elapsed());
        self.carry(n, out);
    }

    pub fn deliver(&mut self, to: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.now;
        let Some(node) = self.nodes[to].as_mut() else {
            return;
        };
        if node.stopped {
            if node.waiting.len() < 200 {
                node.waiting.push((from, bytes.to_vec()));
            }
            return;
        }
        let mut out = Vec::new();
        let since = ThreadTime::now();
        node.fleet.datagram(now + node.skew, from, bytes, &mut out);
        node.took(since.elapsed());
        self.carry(to, out);
    }

    fn carry(&mut self, n: usize, out: Vec<Output>) {
        for output in out {
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
                    node.heard.extend(heard.into_iter().map(|h| (h, now)));
                    uses.into_iter()
                        .for_each(|(_, tag, n)| *node.told.entry(tag).or_default() += n);
                    past.into_iter()
                        .for_each(|(tag, n)| *node.past.entry(tag).or_default() += n);
                }
                Output::GatewaysAbsent(absent) => node.absent = absent,
                Output::Log(line) => node.logs.push((now, line)),
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        assert!(bytes.len() <= 1_200);
        let node = self.nodes[from].as_mut().expect("it sends");
        (node.bytes, node.messages) = (node.bytes + bytes.len() as u64, node.messages + 1);
        let Some(to) = place(to).filter(|n| *n < self.of) else {
            return;
        };
        let lost = self.chance() < self.loss || (self.cut)(from, to);
        let more = (self.chance() * (self.delay.1 - self.delay.0) as f64) as u64;
        if !lost {
            if let Some(r) = &mut self.record {
                r.push((from, to, bytes.clone()));
            }
            self.sent += 1;
            self.flying.push(std::cmp::Reverse((
                self.now + self.delay.0 + more,
                self.sent,
                to,
                from,
                bytes,
            )));
        }
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.of)
            .filter(|n| self.nodes[*n].as_ref().is_some_and(|node| !node.stopped))
            .collect()
    }

    /// What one holds of another.
    pub fn state(&self, of: usize, by: usize) -> &'static str {
        let name = format!("n{of}");
        let members: Vec<MemberRecord> = self.fleet(by).members().map(|m| m.record).collect();
        members
            .iter()
            .find(|r| r.name == name)
            .map_or("unknown", MemberRecord::state)
    }

    /// Whether all that run hold this of it.
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

    /// Runs until it holds; how long that took.
    pub fn until(&mut self, most: u64, holds: impl Fn(&World) -> bool) -> Option<u64> {
        let from = self.now;
        while self.now < from + most {
            if holds(self) {
                return Some(self.now - from);
            }
            self.run(TICK);
        }
        holds(self).then_some(self.now - from)
    }

    /// Lines that say somebody is dead.
    pub fn accusations(&self) -> Vec<(usize, u64, String)> {
        let all = self
            .nodes
            .iter()
            .enumerate()
            .filter_map(|(n, node)| Some((n, node.as_ref()?)));
        let dead = |l: &&(u64, String)| l.1.contains(": dead");
        all.flat_map(|(n, node)| {
            node.logs
                .iter()
                .filter(dead)
                .map(move |(at, l)| (n, *at, l.clone()))
        })
        .collect()
    }
}
