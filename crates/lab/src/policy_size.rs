//! `policy-size`: policy consensus of 300 members in virtual time. Measures the traffic of leases and of a change, and the duration
//! of a change. Membership traffic is not included; `members-size` measures it.

use crate::figures::Figures;
use crate::testbed::policy_fixture::{digest, document};
use frosthatch_policy_consensus::node::{
    ConsensusNode, LeaseLossPolicy, NodeConfig, NodeOutput, ServingState,
};
use frosthatch_policy_consensus::record::AcceptorRecord;
use frosthatch_policy_consensus::LeaseConfig;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MEMBERS: usize = 300;
const KEEPERS: usize = 3;
const LEASE_US: u64 = 1_000_000;
const TICK_US: u64 = 10_000;
const US_PER_S: u64 = 1_000_000;
/// Overhead of a datagram in bytes: IP and UDP headers, sender name, sequence numbers and authentication tag.
const DATAGRAM_OVERHEAD_BYTES: u64 = 100;

/// A scheduled event.
enum SimEvent {
    /// A message of this member arrives.
    MessageArrival(usize, Vec<u8>),
    /// The node's record is on disk.
    RecordStored,
}

/// Simulated members and the event queue.
struct World {
    now: u64,
    rng: Pcg64Mcg,
    nodes: Vec<ConsensusNode>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    pending: std::collections::BTreeMap<u64, (usize, SimEvent)>,
    next: u64,
    /// Bytes and datagrams sent by each member.
    sent: Vec<(u64, u64)>,
}

fn name(n: usize) -> String {
    format!("n{n}")
}

impl World {
    fn new(seed: u64) -> World {
        let node = |n: usize| {
            let config = NodeConfig {
                name: name(n),
                acceptors: (0..KEEPERS).map(name).collect(),
                lease_config: LeaseConfig {
                    lease_us: LEASE_US,
                    max_drift_permille: 10,
                },
                proposal_timeout_us: 10 * US_PER_S,
                retry_interval_us: 150_000,
                lease_loss_policy: LeaseLossPolicy::Reject,
                seed: seed ^ n as u64,
            };
            let acceptor_record = (n < KEEPERS).then(|| Ok(AcceptorRecord::initial(&name(n))));
            ConsensusNode::new(0, config, acceptor_record, Box::new(|_| Ok(())))
        };
        World {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            nodes: (0..MEMBERS).map(node).collect(),
            due: BinaryHeap::new(),
            pending: Default::default(),
            next: 0,
            sent: vec![(0, 0); MEMBERS],
        }
    }

    fn schedule(&mut self, delay_us: u64, to: usize, sim_event: SimEvent) {
        self.next += 1;
        self.due.push(Reverse((self.now + delay_us, self.next)));
        self.pending.insert(self.next, (to, sim_event));
    }

    fn process_outputs(&mut self, n: usize, out: Vec<NodeOutput>) {
        for o in out {
            match o {
                NodeOutput::Send { to, bytes } => {
                    let to = to[1..].parse().expect("a member name ends in its index");
                    self.sent[n].0 += bytes.len() as u64 + DATAGRAM_OVERHEAD_BYTES;
                    self.sent[n].1 += 1;
                    let delay_us = 500 + self.rng.next_u64() % 2_500;
                    self.schedule(delay_us, to, SimEvent::MessageArrival(n, bytes));
                }
                NodeOutput::Store(_) => self.schedule(5_000, n, SimEvent::RecordStored),
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
            let Some((to, sim_event)) = self.pending.remove(&number) else {
                continue;
            };
            let mut out = Vec::new();
            match sim_event {
                SimEvent::MessageArrival(from, bytes) => {
                    self.nodes[to].handle_message(self.now, &name(from), &bytes, &mut out);
                }
                SimEvent::RecordStored => self.nodes[to].record_stored(self.now, Ok(()), &mut out),
            }
            self.process_outputs(to, out);
        }
        self.now = until;
        let reachable: Vec<String> = (0..MEMBERS).map(name).collect();
        for n in 0..MEMBERS {
            let mut out = Vec::new();
            self.nodes[n].tick(self.now, &reachable, &mut out);
            self.process_outputs(n, out);
        }
    }

    fn run(&mut self, us: u64) {
        let until = self.now + us;
        while self.now < until {
            self.tick();
        }
    }

    /// Returns the number of members that hold a lease on this version now.
    fn count_serving(&mut self, version: u64) -> usize {
        let now = self.now;
        let of = |n: &mut ConsensusNode| matches!(n.serving_state(now), ServingState::Serving(id, None) if id.version == version);
        self.nodes
            .iter_mut()
            .filter_map(|n| of(n).then_some(()))
            .count()
    }
}

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    let duration_s = seconds.unwrap_or(10);
    let seed = 4;
    figures.remark(&format!(
        "{MEMBERS} members, {KEEPERS} keepers, a lease of 1 s, link delays of 0.5 to 3 ms, seed {seed}"
    ));
    let mut w = World::new(seed);
    w.run(3 * US_PER_S);
    let unleased = MEMBERS - w.count_serving(0);
    figures.at_most("without_a_lease", unleased as f64, "members", 0.0);
    w.sent.fill((0, 0));
    let mut member_ticks_without_lease = 0;
    for _ in 0..duration_s * US_PER_S / TICK_US {
        w.tick();
        member_ticks_without_lease += MEMBERS - w.count_serving(0);
    }
    figures.at_most(
        "without_a_lease_in_health",
        member_ticks_without_lease as f64,
        "ticks",
        0.0,
    );
    let traffic_per_member_s = |sent: &[(u64, u64)], duration_s: f64| {
        let all = sent.iter().fold((0, 0), |a, s| (a.0 + s.0, a.1 + s.1));
        (
            all.0 as f64 / duration_s / sent.len() as f64,
            all.1 as f64 / duration_s / sent.len() as f64,
        )
    };
    let (bytes, datagrams) = traffic_per_member_s(&w.sent[KEEPERS..], duration_s as f64);
    figures.at_most("gateway_bytes", bytes, "B/s", 4_000.0);
    figures.at_most("gateway_datagrams", datagrams, "1/s", 16.0);
    let (bytes, datagrams) = traffic_per_member_s(&w.sent[..KEEPERS], duration_s as f64);
    figures.at_most("keeper_bytes", bytes, "B/s", 400_000.0);
    figures.at_most("keeper_datagrams", datagrams, "1/s", 1_500.0);

    let mut parent = String::new();
    let (mut max_reported_us, mut max_held_us, mut unleased) = (0, 0, 0);
    w.sent.fill((0, 0));
    let began = w.now;
    for version in 1..=5 {
        let text = document(version, &parent, 100.0 + version as f64);
        parent = digest(&text);
        let by = 7 * version as usize;
        let others: Vec<String> = (0..MEMBERS).filter(|n| *n != by).map(name).collect();
        let (from, mut out) = (w.now, Vec::new());
        let number = w.nodes[by]
            .propose(from, &text, &others, &mut out)
            .expect("a member with a lease can propose");
        w.process_outputs(by, out);
        let mut reported_us = None;
        while w.count_serving(version) < MEMBERS && w.now < from + 20 * US_PER_S {
            w.tick();
            let end = w.nodes[by]
                .proposals()
                .find(|p| p.number == number)
                .and_then(|p| p.outcome);
            if end.is_some() {
                reported_us.get_or_insert(w.now - from);
            }
            let leased = w.count_serving(version) + w.count_serving(version - 1);
            unleased = unleased.max(MEMBERS - leased);
        }
        max_reported_us = max_reported_us.max(reported_us.unwrap_or(20 * US_PER_S));
        max_held_us = max_held_us.max(w.now - from);
    }
    let elapsed_s = (w.now - began) as f64 / 1e6;
    figures.at_most("change_told", max_reported_us as f64 / 1e6, "s", 1.0);
    figures.at_most("change_held_by_all", max_held_us as f64 / 1e6, "s", 3.0);
    figures.record("between_two_leases_at_once", unleased as f64, "members");
    let (bytes, datagrams) = traffic_per_member_s(&w.sent[KEEPERS..], elapsed_s);
    figures.record("gateway_bytes_while_changing", bytes, "B/s");
    figures.record("gateway_datagrams_while_changing", datagrams, "1/s");
    let (bytes, datagrams) = traffic_per_member_s(&w.sent[..KEEPERS], elapsed_s);
    figures.record("keeper_bytes_while_changing", bytes, "B/s");
    figures.record("keeper_datagrams_while_changing", datagrams, "1/s");
}
