//! A simulated cluster: members with their disks and clocks, and the network between them.

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
    max_drift_permille: 10,
};
pub const MEMBERS: usize = 5;
pub const ACCEPTORS: usize = 3;
pub const STEP_US: u64 = 10_000;
pub const PROPOSAL_TIMEOUT_US: u64 = 6_000_000;

/// A document with this worth is rejected by every member.
pub const REJECTED_BY_ALL: &str = "13.0";
/// A document with this worth is rejected by the last member only.
pub const REJECTED_BY_LAST: &str = "7.0";

/// A member: its process and its disk.
pub struct Member {
    /// The member's process; `None` while it is stopped.
    pub node: Option<ConsensusNode>,
    /// The record on disk; `None` if the member is not an acceptor.
    pub disk: Option<AcceptorRecord>,
    pub pending_write: Option<PendingWrite>,
    pub clock: Clock,
    pub is_paused: bool,
    /// Number of starts of the process.
    pub starts: u64,
    /// The record from before the directory was lost, until it is restored.
    pub backup: Option<AcceptorRecord>,
    /// Messages that arrived while the member is paused.
    pub backlog: Vec<BufferedMessage>,
}

/// A write in progress: the record is on disk from the true time `done_at` on.
pub struct PendingWrite {
    pub done_at: u64,
    pub record: AcceptorRecord,
}

/// A message that waits in the backlog of a paused member.
pub struct BufferedMessage {
    pub from: usize,
    pub bytes: Vec<u8>,
}

/// A message in flight.
struct MessageInFlight {
    arrives_at: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

pub struct Cluster {
    pub now: u64,
    pub random: SeededRandom,
    pub members: Vec<Member>,
    in_flight: Vec<MessageInFlight>,
    /// The network partition of each member; messages between different partitions are lost.
    pub partitions: [usize; MEMBERS],
    pub loss_percent: u64,
    /// Whether messages are duplicated, and delayed by up to 2 s.
    pub has_faults: bool,
    lease_loss_policy: LeaseLossPolicy,
    pub observed: Observed,
    /// The acceptor whose directory may be lost and restored from a copy.
    pub faulty_acceptor: usize,
    /// A directory fault that is due is injected with a probability of 1 in this number.
    pub directory_fault_odds: u64,
    pub directories_lost: usize,
    pub directories_restored: usize,
}

/// Returns whether the tests print faults and log lines.
pub fn is_verbose() -> bool {
    std::env::var_os("SHOW").is_some()
}

/// Returns the text of a policy document with one plan and one class.
pub fn document(version: u64, parent: [u8; 32], worth: &str, rate: u64) -> String {
    let parent = if version > 1 {
        format!("parent = \"{}\"\n", hex(&parent))
    } else {
        String::new()
    };
    // Makes the document long enough for several parts.
    let padding = "# some words\n".repeat(130);
    format!("version = {version}\n{parent}{padding}[plans.p]\nrate = {rate}\nburst = 9\n[classes.c]\naim_ms = 5\nworth = {worth}\nlate_worth = 0\n")
}

pub fn member_name(n: usize) -> String {
    format!("n{n}")
}

/// Checks whether the member `n` can serve under a document.
fn validate(n: usize, document: &Document) -> Result<(), String> {
    match document.classes["c"].worth {
        13.0 => Err("every member rejects this worth".to_string()),
        7.0 if n == MEMBERS - 1 => Err("the last member rejects this worth".to_string()),
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
            faulty_acceptor: seed as usize % ACCEPTORS,
            directory_fault_odds: 3,
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

    /// Returns the time of the member's clock.
    pub fn local_time(&self, n: usize) -> u64 {
        self.members[n].clock.at(self.now)
    }

    /// Starts a member's process from its disk.
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

    /// Kills a member's process. A write in progress reaches the disk or is lost, at random.
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

    /// Carries out the outputs of a member's node.
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

    /// Sends a message, which may be lost, duplicated or delayed.
    fn send(&mut self, from: usize, to: &str, bytes: &[u8]) {
        let to: usize = to[1..]
            .parse()
            .expect("a member name is the letter n and a number");
        let copies_draw = self.random.below(100);
        let delay_draw = self.random.below(100);
        let copies = match copies_draw {
            copies_draw if copies_draw < self.loss_percent => 0,
            copies_draw if self.has_faults && copies_draw > 95 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay_us = if self.has_faults && delay_draw < 5 {
                self.random.below(2_000_000)
            } else {
                self.random.below(15_000)
            };
            self.in_flight.push(MessageInFlight {
                arrives_at: self.now + delay_us,
                from,
                to,
                bytes: bytes.to_vec(),
            });
        }
    }

    /// Prints a fault if the tests are verbose.
    pub fn print_fault(&self, n: usize, fault: &str) {
        if is_verbose() {
            eprintln!("{:.2} n{n} {fault}", self.now as f64 / 1e6);
        }
    }

    /// Returns the other members that are reachable from the member `n`, as its membership protocol would report them.
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

    /// Observes and checks the serving state of a member, as a request to it would.
    pub fn observe_serving_state(&mut self, n: usize) {
        let now = self.local_time(n);
        if let Some(node) = &mut self.members[n].node {
            let state = node.serving_state(now);
            self.observed.check_serving_state(n, state);
        }
    }

    /// Advances time by [`STEP_US`], delivers the due messages and ticks the running members.
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
        let (due, later): (Vec<MessageInFlight>, Vec<MessageInFlight>) = in_flight
            .into_iter()
            .partition(|packet| packet.arrives_at <= now);
        self.in_flight = later;
        for MessageInFlight {
            from, to, bytes, ..
        } in due
        {
            if self.partitions[from] != self.partitions[to] {
                continue;
            }
            let member = &mut self.members[to];
            if member.is_paused {
                member.backlog.push(BufferedMessage { from, bytes });
            } else {
                self.deliver(from, to, &bytes);
            }
        }
    }

    fn tick_member(&mut self, n: usize) {
        // A request may arrive before the tick.
        self.observe_serving_state(n);
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
        self.observe_serving_state(n);
    }

    /// Delivers a message to a member; a member that is not running ignores it.
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

    /// Returns the serving states of all running members.
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

    /// Returns the number of the durable state of the faulty acceptor, or why the acceptor does not answer requests;
    /// `None` if the process is not running.
    pub fn faulty_acceptor_status(&self) -> Option<Result<u64, String>> {
        self.members[self.faulty_acceptor]
            .node
            .as_ref()?
            .acceptor_status()
    }
}
