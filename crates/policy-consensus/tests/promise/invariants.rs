//! What was observed at all gateways and proposers, and the guarantees of `docs/policy-changes.md` by their numbers.

use frosthatch_policy_consensus::proposer::ProposalOutcome;
use frosthatch_policy_consensus::{Policy, PolicyId};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub struct Observed {
    /// Policies that were reported to their proposers as in force, by version.
    pub in_force: BTreeMap<u64, Policy>,
    /// Policies that were reported to their proposers as never to be in force.
    pub rejected: BTreeSet<PolicyId>,
    /// The highest version that any gateway held.
    pub highest_version: u64,
    held: BTreeSet<PolicyId>,
    /// Steps in which a running gateway held no policy although a majority of the acceptors ran.
    pub steps_without_lease: usize,
}

impl Observed {
    /// I3, I4, I5: the outcome that was reported to a proposer.
    pub fn check_outcome(&mut self, policy: Policy, outcome: &ProposalOutcome) {
        match outcome {
            ProposalOutcome::InForce => {
                let other = self.in_force.insert(policy.version, policy);
                assert!(
                    other.is_none_or(|other| other == policy),
                    "I5: two policies of one version in force"
                );
                assert!(
                    !self.rejected.contains(&policy.id()),
                    "I3: one that was refused is in force"
                );
            }
            ProposalOutcome::Rejected(_) | ProposalOutcome::Superseded(_) => {
                assert!(
                    !self.held.contains(&policy.id()),
                    "I3: one that holds was told to be nowhere"
                );
                assert!(
                    !self.in_force.values().any(|in_force| *in_force == policy),
                    "I4: one in force was told to be nowhere"
                );
                self.rejected.insert(policy.id());
            }
            ProposalOutcome::Unknown => {}
        }
    }

    /// I1, I2, I3, I5: no gateway has held a later policy before, and no two hold different ones at once.
    pub fn check_held_policy(&mut self, gateway: usize, id: PolicyId) {
        assert!(
            id.version >= self.highest_version,
            "I1, I2: {} let in under {} after {}",
            gateway,
            id.version,
            self.highest_version
        );
        assert!(
            !self.rejected.contains(&id),
            "I3: one that was told to be nowhere holds"
        );
        let fork = self
            .held
            .iter()
            .find(|held| held.version == id.version && **held != id);
        assert!(fork.is_none(), "I5: two of one version hold");
        self.highest_version = id.version;
        self.held.insert(id);
    }
}
