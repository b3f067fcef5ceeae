//! Random faults and proposals.

use crate::cluster::{
    document, is_verbose, member_name, Cluster, MEMBERS, REFUSED_BY_ALL, REFUSED_BY_LAST,
};
use crate::invariants::{ProposalKey, Proposed};
use frosthatch_policy_consensus::document::sha256;
use frosthatch_policy_consensus::record::AcceptorRecord;
use frosthatch_policy_consensus::PolicyId;

/// How often each member proposes until a change comes into force.
const MAX_PROPOSALS_PER_MEMBER: usize = 3;

impl Cluster {
    /// Now and then a fault or its end, or a proposal.
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
            21 if self.random.below(self.directory_durability) == 0 => self.lose_directory(),
            22 if self.random.below(self.directory_durability) == 0 => self.restore_directory(),
            23..30 if self.directory_durability == 1 && !self.members[n].is_paused => {
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

    /// The directory of the fragile acceptor is lost for good, and a new acceptor joins in its place.
    pub fn lose_directory(&mut self) {
        let n = self.fragile;
        self.print_fault(n, "its folder is lost");
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

    /// An old copy of the lost directory is put back, before a new acceptor has joined in its place or long after.
    fn restore_directory(&mut self) {
        let n = self.fragile;
        let member = &self.members[n];
        let Some(backup) = member.backup.clone() else {
            return;
        };
        let Some(disk) = member.disk.clone() else {
            return;
        };
        // An old copy of the same incarnation would be noticed only by members that remember what it reported.
        let is_superseded = disk.durable.incarnation > backup.durable.incarnation;
        if disk.durable.joining || is_superseded {
            self.print_fault(n, "its folder is put back");
            self.kill(n);
            let member = &mut self.members[n];
            member.disk = Some(backup);
            member.backup = None;
            self.directories_restored += 1;
            self.start(n);
        }
    }

    /// Resumes a paused member. Its next request comes before the messages that wait for it.
    fn resume(&mut self, n: usize) {
        if !std::mem::take(&mut self.members[n].is_paused) {
            return;
        }
        self.look_at_serving_state(n);
        for received in std::mem::take(&mut self.members[n].backlog) {
            self.deliver(received.from, n, &received.bytes);
        }
    }

    /// Ends all faults.
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

    /// Proposes a successor of the policy that the member held last, which now and then is not the latest.
    pub fn propose(&mut self, n: usize) {
        let worths = ["1.0", "2.0", "3.0", REFUSED_BY_LAST, REFUSED_BY_ALL];
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
            Err(why) => {
                if is_verbose() {
                    eprintln!("{:.2} n{n} not begun: {why}", self.now as f64 / 1e6);
                }
                self.observed.rejected.insert(id);
            }
        }
        self.carry_out(n, outputs);
    }

    /// Proposes at one member after the other, up to three times each, so that some document is one that all can serve under. Returns
    /// whether a change came into force.
    pub fn can_be_changed(&mut self) -> bool {
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
