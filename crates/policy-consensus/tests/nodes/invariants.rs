//! What was observed at all members, and the guarantees of `docs/policy-changes.md` by their numbers.

use crate::cluster::{Member, MEMBERS, REFUSED_BY_LAST};
use frosthatch_policy_consensus::node::ServingState;
use frosthatch_policy_consensus::proposer::ProposalOutcome;
use frosthatch_policy_consensus::PolicyId;
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a proposal.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProposalKey {
    pub member: usize,
    /// Which start of the member's process.
    pub start: u64,
    pub number: u64,
}

pub struct Proposed {
    pub id: PolicyId,
    pub worth: String,
}

#[derive(Default)]
pub struct Observed {
    pub proposed: BTreeMap<ProposalKey, Proposed>,
    finished: BTreeSet<ProposalKey>,
    /// Policies that were reported to their proposers as in force, by version.
    pub in_force: BTreeMap<u64, PolicyId>,
    /// Policies that were reported to their proposers as never to be in force.
    pub rejected: BTreeSet<PolicyId>,
    held: BTreeSet<PolicyId>,
    pub highest_version: u64,
    /// How often a running member held no policy when it was looked at.
    pub looks_without_lease: usize,
}

impl Observed {
    /// I3, I4, I5: the outcomes of the proposals that were started at a member.
    pub fn check_outcomes(&mut self, n: usize, member: &Member) {
        let Some(node) = &member.node else {
            return;
        };
        for proposal in node.proposals() {
            let Some(outcome) = proposal.outcome else {
                continue;
            };
            let key = ProposalKey {
                member: n,
                start: member.starts,
                number: proposal.number,
            };
            let Some(id) = self.proposed.get(&key).map(|proposed| proposed.id) else {
                continue;
            };
            if self.finished.insert(key) {
                self.check_outcome(id, &outcome);
            }
        }
    }

    fn check_outcome(&mut self, id: PolicyId, outcome: &ProposalOutcome) {
        match outcome {
            ProposalOutcome::InForce => {
                let other = self.in_force.insert(id.version, id);
                assert!(
                    other.is_none_or(|other| other == id),
                    "I5: two of one version in force"
                );
                assert!(
                    !self.rejected.contains(&id),
                    "I3: one that was told to be nowhere is in force"
                );
            }
            ProposalOutcome::Rejected(_) | ProposalOutcome::Superseded(_) => {
                assert!(
                    !self.held.contains(&id),
                    "I3: one that holds was told to be nowhere"
                );
                assert!(
                    !self.in_force.values().any(|in_force| *in_force == id),
                    "I4: one in force was told to be nowhere"
                );
                self.rejected.insert(id);
            }
            ProposalOutcome::Unknown => {}
        }
    }

    /// I1, I2, I3, I5: under what a request would be admitted now.
    pub fn check_serving_state(&mut self, n: usize, state: ServingState) {
        let ServingState::Serving(id, stricter_with) = state else {
            self.looks_without_lease += 1;
            return;
        };
        assert!(
            id.version >= self.highest_version || stricter_with.is_some(),
            "I1, I2: n{n} under {} after {}",
            id.version,
            self.highest_version
        );
        assert!(
            !self.rejected.contains(&id),
            "I3: one that was told to be nowhere holds"
        );
        assert!(
            !(self.is_refused_by_last(&id) && n == MEMBERS - 1),
            "it serves under what it cannot take"
        );
        let is_fork = self
            .held
            .iter()
            .any(|held| held.version == id.version && *held != id);
        assert!(!is_fork, "I5: two of one version hold");
        self.highest_version = self.highest_version.max(id.version);
        self.held.insert(id);
    }

    /// Whether the last member cannot serve under a policy.
    pub fn is_refused_by_last(&self, id: &PolicyId) -> bool {
        self.proposed
            .values()
            .any(|proposed| proposed.id == *id && proposed.worth == REFUSED_BY_LAST)
    }
}
