//! `policy-size`: the agreement of 300 members in virtual time: what leases and a change cost in bytes and datagrams, and how long a
//! change takes. What members say for themselves beside it is `members-size`'s.

use crate::figures::Figures;
use crate::rig::agreed::{digest, document};
use frosthatch_policy_consensus::node::{
    ConsensusNode, LeaseLossPolicy, NodeConfig, NodeOutput, ServingState,
};
use frosthatch_policy_consensus::record::AcceptorRecord;
use frosthatch_policy_consensus::LeaseConfig;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const ALL: usize = 300;
const KEEPERS: usize = 3;
const LEASE_US: u64 = 1_000_000;
const TICK_US: u64 = 10_000;
const S: u64 = 1_000_000;
/// A datagram's own: headers of UDP and IP, name, numbers and seal.
const ROUND_IT: u64 = 100;

enum What {
    Letter(usize, Vec<u8>),
    Stored,
}

struct World {
    now: u64,
    rng: Pcg64Mcg,
    nodes: Vec<ConsensusNode>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    to_come: std::collections::BTreeMap<u64, (usize, What)>,
    next: u64,
    /// Bytes and datagrams that each sent.
    sent: Vec<(u64, u64)>,
}

fn name(n: usize) -> String {
    format!("n{n}")
}

impl World {
    fn new(seed: u64) -> World {
        let node = |n: usize| {
            let plan = NodeConfig {
                name: name(n),
                acceptors: (0..KEEPERS).map(name).collect(),
                lease_config: LeaseConfig {
                    lease_us: LEASE_US,
                    max_drift_permille: 10,
                },
                proposal_timeout_us: 10 * S,
                retry_interval_us: 150_000,
                lease_loss_policy: LeaseLossPolicy::Reject,
                seed: seed ^ n as u64,
            };
            let own = (n < KEEPERS).then(|| Ok(AcceptorRecord::initial(&name(n))));
            ConsensusNode::new(0, plan, own, Box::new(|_| Ok(())))
        };
        World {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            nodes: (0..ALL).map(node).collect(),
            due: BinaryHeap::new(),
            to_come: Default::default(),
            next: 0,
            sent: vec![(0, 0); ALL],
        }
    }

    fn comes(&mut self, late: u64, to: usize, what: What) {
        self.next += 1;
        self.due.push(Reverse((self.now + late, self.next)));
        self.to_come.insert(self.next, (to, what));
    }

    fn outs(&mut self, n: usize, out: Vec<NodeOutput>) {
        for o in out {
            match o {
                NodeOutput::Send { to, bytes } => {
                    let to = to[1..].parse().expect("a number");
                    self.sent[n].0 += bytes.len() as u64 + ROUND_IT;
                    self.sent[n].1 += 1;
                    let late = 500 + self.rng.next_u64() % 2_500;
                    self.comes(late, to, What::Letter(n, bytes));
                }
                NodeOutput::Store(_) => self.comes(5_000, n, What::Stored),
                NodeOutput::Log(_) => {}
            }
        }
    }

    fn tick(&mut self) {
        let until = self.now + TICK_US;
        while let Some(Reverse((at, number))) = self.due.peek().copied().filter(|r| r.0 .0 <= until)
        {
            self.due.pop();
            self.now = self.now.max(at);
            let Some((to, what)) = self.to_come.remove(&number) else {
                continue;
            };
            let mut out = Vec::new();
            match what {
                What::Letter(from, bytes) => {
                    self.nodes[to].handle_message(self.now, &name(from), &bytes, &mut out);
                }
                What::Stored => self.nodes[to].record_stored(self.now, Ok(()), &mut out),
            }
            self.outs(to, out);
        }
        self.now = until;
        let there: Vec<String> = (0..ALL).map(name).collect();
        for n in 0..ALL {
            let mut out = Vec::new();
            self.nodes[n].tick(self.now, &there, &mut out);
            self.outs(n, out);
        }
    }

    fn run(&mut self, us: u64) {
        let until = self.now + us;
        while self.now < until {
            self.tick();
        }
    }

    /// Those that hold this version now.
    fn hold(&mut self, version: u64) -> usize {
        let now = self.now;
        let of = |n: &mut ConsensusNode| matches!(n.serving_state(now), ServingState::Serving(id, None) if id.version == version);
        self.nodes
            .iter_mut()
            .filter_map(|n| of(n).then_some(()))
            .count()
    }
}

pub fn play(seconds: Option<u64>, figures: &mut Figures) {
    let lasts = seconds.unwrap_or(10);
    let seed = 4;
    figures.say(&format!(
        "{ALL} members, {KEEPERS} keepers, a lease of 1 s, ways of 0.5 to 3 ms, seed {seed}"
    ));
    let mut w = World::new(seed);
    w.run(3 * S);
    let without = ALL - w.hold(0);
    figures.at_most("without_a_lease", without as f64, "members", 0.0);
    w.sent.fill((0, 0));
    let mut gaps = 0;
    for _ in 0..lasts * S / TICK_US {
        w.tick();
        gaps += ALL - w.hold(0);
    }
    figures.at_most("without_a_lease_in_health", gaps as f64, "ticks", 0.0);
    let a_second = |sent: &[(u64, u64)], lasts: f64| {
        let all = sent.iter().fold((0, 0), |a, s| (a.0 + s.0, a.1 + s.1));
        (
            all.0 as f64 / lasts / sent.len() as f64,
            all.1 as f64 / lasts / sent.len() as f64,
        )
    };
    let (bytes, datagrams) = a_second(&w.sent[KEEPERS..], lasts as f64);
    figures.at_most("gateway_bytes", bytes, "B/s", 4_000.0);
    figures.at_most("gateway_datagrams", datagrams, "1/s", 16.0);
    let (bytes, datagrams) = a_second(&w.sent[..KEEPERS], lasts as f64);
    figures.at_most("keeper_bytes", bytes, "B/s", 400_000.0);
    figures.at_most("keeper_datagrams", datagrams, "1/s", 1_500.0);

    let mut parent = String::new();
    let (mut worst_told, mut worst_held, mut without) = (0, 0, 0);
    w.sent.fill((0, 0));
    let began = w.now;
    for version in 1..=5 {
        let text = document(version, &parent, 100.0 + version as f64);
        parent = digest(&text);
        let by = 7 * version as usize;
        let others: Vec<String> = (0..ALL).filter(|n| *n != by).map(name).collect();
        let (from, mut out) = (w.now, Vec::new());
        let number = w.nodes[by]
            .propose(from, &text, &others, &mut out)
            .expect("it can be proposed");
        w.outs(by, out);
        let mut told = None;
        while w.hold(version) < ALL && w.now < from + 20 * S {
            w.tick();
            let end = w.nodes[by]
                .proposals()
                .find(|p| p.number == number)
                .and_then(|p| p.outcome);
            if end.is_some() {
                told.get_or_insert(w.now - from);
            }
            let held = w.hold(version) + w.hold(version - 1);
            without = without.max(ALL - held);
        }
        worst_told = worst_told.max(told.unwrap_or(20 * S));
        worst_held = worst_held.max(w.now - from);
    }
    let took = (w.now - began) as f64 / 1e6;
    figures.at_most("change_told", worst_told as f64 / 1e6, "s", 1.0);
    figures.at_most("change_held_by_all", worst_held as f64 / 1e6, "s", 3.0);
    figures.show("between_two_leases_at_once", without as f64, "members");
    let (bytes, datagrams) = a_second(&w.sent[KEEPERS..], took);
    figures.show("gateway_bytes_while_changing", bytes, "B/s");
    figures.show("gateway_datagrams_while_changing", datagrams, "1/s");
    let (bytes, datagrams) = a_second(&w.sent[..KEEPERS], took);
    figures.show("keeper_bytes_while_changing", bytes, "B/s");
    figures.show("keeper_datagrams_while_changing", datagrams, "1/s");
}
