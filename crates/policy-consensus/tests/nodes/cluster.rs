//! A simulated cluster: its members with their disks and clocks, and the network between them.

use crate::common::{Clock, SeededRandom};
use crate::invariants::Observed;
use frosthatch_policy_consensus::document::{hex, Document};
use frosthatch_policy_consensus::node::{
    ConsensusNode, LeaseLossPolicy, NodeConfig, NodeOutput, ServingState,
};
use frosthatch_policy_consensus::record::AcceptorRecord;
use frosthatch_policy_consensus::LeaseConfig;

const LEASE_CONFIG: LeaseConfig = LeaseConfig {
    lease_us: 500_000,
    drift: 10,
};
pub const MEMBERS: usize = 5;
pub const ACCEPTORS: usize = 3;
pub const STEP_US: u64 = 10_000;
pub const PROPOSAL_TIMEOUT_US: u64 = 6_000_000;

/// No member can serve under a document with this worth.
pub const REFUSED_BY_ALL: &str = "13.0";
/// The last member cannot serve under a document with this worth.
pub const REFUSED_BY_LAST: &str = "7.0";

/// One member: its process, and what is on its disk.
pub struct Member {
    pub node: Option<ConsensusNode>,
    pub disk: Option<AcceptorRecord>,
    pub pending_write: Option<PendingWrite>,
    pub clock: Clock,
    pub is_paused: bool,
    /// How often its process was started.
    pub starts: u64,
    /// The record from before its directory was lost.
    pub backup: Option<AcceptorRecord>,
    /// Messages that arrived while it is paused.
    pub backlog: Vec<Received>,
}

/// A record that will be on disk at the time `done_at`.
pub struct PendingWrite {
    pub done_at: u64,
    pub record: AcceptorRecord,
}

pub struct Received {
    pub from: usize,
    pub bytes: Vec<u8>,
}

/// A message in flight.
struct Packet {
    arrives_at: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

pub struct Cluster {
    pub now: u64,
    pub random: SeededRandom,
    pub members: Vec<Member>,
    in_flight: Vec<Packet>,
    /// The side of a network partition on which each member is.
    pub partitions: [usize; MEMBERS],
    pub loss_percent: u64,
    /// Whether messages are duplicated and delayed for long.
    pub has_faults: bool,
    lease_loss_policy: LeaseLossPolicy,
    pub observed: Observed,
    /// The acceptor whose directory may be lost, and restored from a copy.
    pub fragile: usize,
    /// The larger, the less often a directory is lost.
    pub directory_durability: u64,
    pub directories_lost: usize,
    pub directories_restored: usize,
}

/// Whether the tests print what happens.
pub fn is_verbose() -> bool {
    std::env::var_os("SHOW").is_some()
}

pub fn document(version: u64, parent: [u8; 32], worth: &str, rate: u64) -> String {
    let parent = if version > 1 {
        format!("parent = \"{}\"\n", hex(&parent))
    } else {
        String::new()
    };
    // Long enough for several parts.
    let padding = "# some words\n".repeat(130);
    format!("version = {version}\n{parent}{padding}[plans.p]\nrate = {rate}\nburst = 9\n[classes.c]\naim_ms = 5\nworth = {worth}\nlate_worth = 0\n")
}

pub fn member_name(n: usize) -> String {
    format!("n{n}")
}

/// What the member `n` can serve under.
fn validate(n: usize, document: &Document) -> Result<(), String> {
    match document.classes["c"].worth {
        13.0 => Err("nobody takes it".to_string()),
        7.0 if n == MEMBERS - 1 => Err("I do not take it".to_string()),
        _ => Ok(()),
    }
}

impl Cluster {
    pub fn new(seed: u64, lease_loss_policy: LeaseLossPolicy) -> Cluster {
        let mut cluster = Cluster {
            now: 5_000_000,
            random: SeededRandom::new(seed),
            members: Vec::new(),
            in_flight: Vec::new(),
            partitions: [0; MEMBERS],
            loss_percent: 0,
            has_faults: true,
            lease_loss_policy,
            observed: Observed::default(),
            fragile: seed as usize % ACCEPTORS,
            directory_durability: 3,
            directories_lost: 0,
            directories_restored: 0,
        };
        for n in 0..MEMBERS {
            let clock = cluster.random.clock();
            cluster.members.push(Member {
                node: None,
                disk: (n < ACCEPTORS).then(|| AcceptorRecord::initial(&member_name(n))),
                pending_write: None,
                clock,
                is_paused: false,
                starts: 0,
                backup: None,
                backlog: Vec::new(),
            });
            cluster.start(n);
        }
        cluster
    }

    /// What the member's clock shows.
    pub fn local_time(&self, n: usize) -> u64 {
        self.members[n].clock.at(self.now)
    }

    pub fn start(&mut self, n: usize) {
        let now = self.local_time(n);
        let config = NodeConfig {
            name: member_name(n),
            acceptors: (0..ACCEPTORS).map(member_name).collect(),
            lease_config: LEASE_CONFIG,
            proposal_timeout_us: PROPOSAL_TIMEOUT_US,
            retry_interval_us: 150_000,
            lease_loss_policy: self.lease_loss_policy,
            seed: self.random.seed(),
        };
        let validator = Box::new(move |document: &Document| validate(n, document));
        let member = &mut self.members[n];
        let record = member.disk.clone().map(Ok);
        member.starts += 1;
        member.node = Some(ConsensusNode::new(now, config, record, validator));
    }

    /// Kills a member's process; what was being written is on disk or not.
    pub fn kill(&mut self, n: usize) {
        let is_written = self.random.below(2) == 0;
        let member = &mut self.members[n];
        if let Some(write) = member.pending_write.take().filter(|_| is_written) {
            member.disk = Some(write.record);
        }
        member.node = None;
        member.is_paused = false;
        member.backlog = Vec::new();
    }

    /// Carries out what a member's node wants done.
    pub fn carry_out(&mut self, n: usize, outputs: Vec<NodeOutput>) {
        for output in outputs {
            match output {
                NodeOutput::Send { to, bytes } => self.send(n, &to, &bytes),
                NodeOutput::Store(record) => {
                    let done_at = self.now + self.random.below(30_000);
                    self.members[n].pending_write = Some(PendingWrite { done_at, record });
                }
                NodeOutput::Log(line) => {
                    if is_verbose() {
                        eprintln!("{:.2} n{n} {line}", self.now as f64 / 1e6);
                    }
                }
            }
        }
        let member = &self.members[n];
        self.observed.check_outcomes(n, member);
    }

    fn send(&mut self, from: usize, to: &str, bytes: &[u8]) {
        let to: usize = to[1..].parse().expect("a number");
        let fate = self.random.below(100);
        let delay_kind = self.random.below(100);
        let copies = match fate {
            fate if fate < self.loss_percent => 0,
            fate if self.has_faults && fate > 95 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay_us = if self.has_faults && delay_kind < 5 {
                self.random.below(2_000_000)
            } else {
                self.random.below(15_000)
            };
            self.in_flight.push(Packet {
                arrives_at: self.now + delay_us,
                from,
                to,
                bytes: bytes.to_vec(),
            });
        }
    }

    /// Prints a fault, if the test is verbose.
    pub fn print_fault(&self, n: usize, what: &str) {
        if is_verbose() {
            eprintln!("{:.2} n{n} {what}", self.now as f64 / 1e6);
        }
    }

    /// The other members that are reachable from the member `n`, as its membership protocol would find out.
    pub fn reachable_members(&self, n: usize) -> Vec<String> {
        let is_reachable = |other: &usize| {
            let member = &self.members[*other];
            *other != n
                && member.node.is_some()
                && !member.is_paused
                && self.partitions[*other] == self.partitions[n]
        };
        (0..MEMBERS).filter(is_reachable).map(member_name).collect()
    }

    /// Looks at the member's serving state, as a request would.
    pub fn look_at_serving_state(&mut self, n: usize) {
        let now = self.local_time(n);
        if let Some(node) = &mut self.members[n].node {
            let state = node.serving_state(now);
            self.observed.check_serving_state(n, state);
        }
    }

    pub fn step(&mut self) {
        self.now += STEP_US;
        self.deliver_due_messages();
        for n in 0..MEMBERS {
            if self.members[n].node.is_some() && !self.members[n].is_paused {
                self.tick_member(n);
            }
        }
    }

    fn deliver_due_messages(&mut self) {
        let now = self.now;
        let in_flight = std::mem::take(&mut self.in_flight);
        let (due, later): (Vec<Packet>, Vec<Packet>) = in_flight
            .into_iter()
            .partition(|packet| packet.arrives_at <= now);
        self.in_flight = later;
        for Packet {
            from, to, bytes, ..
        } in due
        {
            if self.partitions[from] != self.partitions[to] {
                continue;
            }
            let member = &mut self.members[to];
            if member.is_paused {
                member.backlog.push(Received { from, bytes });
            } else {
                self.deliver(from, to, &bytes);
            }
        }
    }

    fn tick_member(&mut self, n: usize) {
        // A request may come before anything else.
        self.look_at_serving_state(n);
        let now = self.local_time(n);
        let reachable = self.reachable_members(n);
        let mut outputs = Vec::new();
        let true_now = self.now;
        let member = &mut self.members[n];
        let write = member.pending_write.as_ref();
        let is_written = write.is_some_and(|write| write.done_at <= true_now);
        if is_written {
            member.disk = member.pending_write.take().map(|write| write.record);
            if let Some(node) = &mut member.node {
                node.record_stored(now, Ok(()), &mut outputs);
            }
        }
        if let Some(node) = &mut member.node {
            node.tick(now, &reachable, &mut outputs);
        }
        self.carry_out(n, outputs);
        self.look_at_serving_state(n);
    }

    pub fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.local_time(to);
        let mut outputs = Vec::new();
        let Some(node) = &mut self.members[to].node else {
            return;
        };
        node.handle_message(now, &member_name(from), bytes, &mut outputs);
        self.carry_out(to, outputs);
    }

    pub fn run(&mut self, us: u64) {
        for _ in 0..us / STEP_US {
            self.step();
        }
    }

    /// The serving states of all members whose process runs.
    pub fn serving_states(&mut self) -> Vec<ServingState> {
        let times: Vec<u64> = (0..MEMBERS).map(|n| self.local_time(n)).collect();
        let mut states = Vec::new();
        for (member, now) in self.members.iter_mut().zip(times) {
            if let Some(node) = &mut member.node {
                states.push(node.serving_state(now));
            }
        }
        states
    }

    /// The state on disk of the fragile acceptor, or why it does not answer; `None` if its process does not run.
    pub fn fragile_acceptor_state(&self) -> Option<Result<u64, String>> {
        self.members[self.fragile].node.as_ref()?.acceptor_status()
    }
}
