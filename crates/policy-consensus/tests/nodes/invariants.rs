//! Observations at all members, checked against the guarantees of `docs/policy-changes.md` by their numbers (I1 to I5).

use crate::cluster::{Member, MEMBERS, REJECTED_BY_LAST};
use frosthatch_policy_consensus::node::ServingState;
use frosthatch_policy_consensus::proposer::ProposalOutcome;
use frosthatch_policy_consensus::PolicyId;
use std::collections::{BTreeMap, BTreeSet};

/// The identifier of a proposal.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProposalKey {
    pub member: usize,
    /// The number of starts of the member's process when the proposal was started.
    pub start: u64,
    pub number: u64,
}

/// A policy that was proposed, with the worth in its document.
pub struct Proposed {
    pub id: PolicyId,
    pub worth: String,
}

/// The observations at all members.
#[derive(Default)]
pub struct Observed {
    pub proposed: BTreeMap<ProposalKey, Proposed>,
    /// Proposals whose outcome was checked.
    finished: BTreeSet<ProposalKey>,
    /// Policies that were reported to their proposers as in force, by version.
    pub in_force: BTreeMap<u64, PolicyId>,
    /// Policies that were reported to their proposers as rejected or superseded.
    pub rejected: BTreeSet<PolicyId>,
    /// Policies under which any member served.
    held: BTreeSet<PolicyId>,
    /// The highest version under which any member served.
    pub highest_version: u64,
    /// Number of observations of a running member that was not serving.
    pub observations_not_serving: usize,
}

impl Observed {
    /// Checks I3, I4 and I5 for the finished proposals that were started at a member.
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
                    "I5: two policies of the same version are in force"
                );
                assert!(
                    !self.rejected.contains(&id),
                    "I3: a policy reported as rejected is in force"
                );
            }
            ProposalOutcome::Rejected(_) | ProposalOutcome::Superseded(_) => {
                assert!(
                    !self.held.contains(&id),
                    "I3: a policy that is held is reported as rejected"
                );
                assert!(
                    !self.in_force.values().any(|in_force| *in_force == id),
                    "I4: a policy in force is reported as rejected"
                );
                self.rejected.insert(id);
            }
            ProposalOutcome::Unknown => {}
        }
    }

    /// Checks I1, I2, I3 and I5 for the policy under which a member would admit a request now.
    pub fn check_serving_state(&mut self, n: usize, state: ServingState) {
        let ServingState::Serving(id, stricter_with) = state else {
            self.observations_not_serving += 1;
            return;
        };
        assert!(
            id.version >= self.highest_version || stricter_with.is_some(),
            "I1, I2: n{n} serves under version {}, although a member has served under version {}",
            id.version,
            self.highest_version
        );
        assert!(
            !self.rejected.contains(&id),
            "I3: a policy reported as rejected is held"
        );
        assert!(
            !(self.is_rejected_by_last(&id) && n == MEMBERS - 1),
            "the last member serves under a policy that it rejects"
        );
        let is_fork = self
            .held
            .iter()
            .any(|held| held.version == id.version && *held != id);
        assert!(!is_fork, "I5: two policies of the same version are held");
        self.highest_version = self.highest_version.max(id.version);
        self.held.insert(id);
    }

    /// Returns whether the last member rejects this policy.
    pub fn is_rejected_by_last(&self, id: &PolicyId) -> bool {
        self.proposed
            .values()
            .any(|proposed| proposed.id == *id && proposed.worth == REJECTED_BY_LAST)
    }
}
