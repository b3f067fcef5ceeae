//! Injection of random faults and proposals, and the end of all faults.

use crate::cluster::{
    document, is_verbose, member_name, Cluster, MEMBERS, REJECTED_BY_ALL, REJECTED_BY_LAST,
};
use crate::invariants::{ProposalKey, Proposed};
use frosthatch_policy_consensus::document::sha256;
use frosthatch_policy_consensus::record::AcceptorRecord;
use frosthatch_policy_consensus::PolicyId;

/// Maximum number of proposals by each member until a change comes into force.
const MAX_PROPOSALS_PER_MEMBER: usize = 3;

impl Cluster {
    /// Injects a random fault, the end of one, a proposal, or nothing.
    pub fn inject_random_fault(&mut self) {
        let n = self.random.below(MEMBERS as u64) as usize;
        match self.random.below(130) {
            0 => self.kill(n),
            1 if self.random.below(4) == 0 => self.kill_all(),
            2..8 if self.members[n].node.is_none() => self.start(n),
            8 => self.members[n].is_paused = self.members[n].node.is_some(),
            9..14 => self.resume(n),
            14 => self.partitions = std::array::from_fn(|_| self.random.below(2) as usize),
            15 | 16 => self.partitions = [0; MEMBERS],
            17 => self.loss_percent = [0, 10, 30][self.random.below(3) as usize],
            21 if self.random.below(self.directory_fault_odds) == 0 => self.lose_directory(),
            22 if self.random.below(self.directory_fault_odds) == 0 => self.restore_directory(),
            23..30 if self.directory_fault_odds == 1 && !self.members[n].is_paused => {
                self.propose(n);
            }
            18..21 if !self.members[n].is_paused => self.propose(n),
            _ => {}
        }
    }

    fn kill_all(&mut self) {
        for n in 0..MEMBERS {
            self.kill(n);
        }
    }

    /// Loses the directory of the faulty acceptor, and starts a new acceptor that joins to replace it.
    pub fn lose_directory(&mut self) {
        let n = self.faulty_acceptor;
        self.print_fault(n, "directory lost");
        self.kill(n);
        let member = &mut self.members[n];
        let is_joining = member
            .disk
            .as_ref()
            .is_some_and(|disk| disk.durable.joining);
        if !is_joining {
            member.backup = member.disk.take();
        }
        member.disk = Some(AcceptorRecord::joining(&member_name(n)));
        self.directories_lost += 1;
        self.start(n);
    }

    /// Restores an old copy of the lost directory, either before the new acceptor has joined or after it has.
    fn restore_directory(&mut self) {
        let n = self.faulty_acceptor;
        let member = &self.members[n];
        let Some(backup) = member.backup.clone() else {
            return;
        };
        let Some(disk) = member.disk.clone() else {
            return;
        };
        // A copy of the current incarnation is not restored, because only members that remember the acceptor's
        // reported state could detect it.
        let has_newer_incarnation = disk.durable.incarnation > backup.durable.incarnation;
        if disk.durable.joining || has_newer_incarnation {
            self.print_fault(n, "directory restored");
            self.kill(n);
            let member = &mut self.members[n];
            member.disk = Some(backup);
            member.backup = None;
            self.directories_restored += 1;
            self.start(n);
        }
    }

    /// Resumes a paused member. Its next request arrives before the messages in its backlog.
    fn resume(&mut self, n: usize) {
        if !std::mem::take(&mut self.members[n].is_paused) {
            return;
        }
        self.observe_serving_state(n);
        for received in std::mem::take(&mut self.members[n].backlog) {
            self.deliver(received.from, n, &received.bytes);
        }
    }

    /// Ends all faults: restores the network, and resumes or starts all members.
    pub fn heal(&mut self) {
        self.has_faults = false;
        self.loss_percent = 0;
        self.partitions = [0; MEMBERS];
        for n in 0..MEMBERS {
            self.resume(n);
            if self.members[n].node.is_none() {
                self.start(n);
            }
        }
    }

    /// Proposes a successor of the policy that the member held last, which is not always the latest one.
    pub fn propose(&mut self, n: usize) {
        let worths = ["1.0", "2.0", "3.0", REJECTED_BY_LAST, REJECTED_BY_ALL];
        let worth = worths[self.random.below(5) as usize];
        let rate = self.random.below(1 << 29);
        let now = self.local_time(n);
        let reachable = self.reachable_members(n);
        let start = self.members[n].starts;
        let Some(node) = &mut self.members[n].node else {
            return;
        };
        let last_held = node.history().last().map(|(id, _)| *id);
        let parent = last_held.unwrap_or_default();
        let text = document(parent.version + 1, parent.digest, worth, rate);
        let id = PolicyId {
            version: parent.version + 1,
            digest: sha256(&text),
        };
        let mut outputs = Vec::new();
        match node.propose(now, &text, &reachable, &mut outputs) {
            Ok(number) => {
                let key = ProposalKey {
                    member: n,
                    start,
                    number,
                };
                let worth = worth.into();
                self.observed.proposed.insert(key, Proposed { id, worth });
            }
            Err(reason) => {
                if is_verbose() {
                    eprintln!(
                        "{:.2} n{n} proposal not started: {reason}",
                        self.now as f64 / 1e6
                    );
                }
                self.observed.rejected.insert(id);
            }
        }
        self.carry_out(n, outputs);
    }

    /// Proposes at one member after the other, up to three times each, so that some document is acceptable to all
    /// members. Returns whether a change came into force.
    pub fn propose_until_in_force(&mut self) -> bool {
        let before = self.observed.in_force.len();
        for n in 0..MEMBERS {
            for _ in 0..MAX_PROPOSALS_PER_MEMBER {
                if self.observed.in_force.len() > before {
                    return true;
                }
                self.propose(n);
                self.run(3_000_000);
            }
        }
        self.observed.in_force.len() > before
    }
}
