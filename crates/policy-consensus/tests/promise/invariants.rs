//! Observations at all gateways and proposers, checked against the guarantees of `docs/policy-changes.md` by their
//! numbers (I1 to I5).

use frosthatch_policy_consensus::proposer::ProposalOutcome;
use frosthatch_policy_consensus::{Policy, PolicyId};
use std::collections::{BTreeMap, BTreeSet};

/// The observations at all gateways and proposers.
#[derive(Default)]
pub struct Observed {
    /// Policies that were reported to their proposers as in force, by version.
    pub in_force: BTreeMap<u64, Policy>,
    /// Policies that were reported to their proposers as rejected or superseded.
    pub rejected: BTreeSet<PolicyId>,
    /// The highest version that any gateway held.
    pub highest_version: u64,
    /// The policies that any gateway held.
    held: BTreeSet<PolicyId>,
    /// Number of steps in which a running gateway held no policy although a majority of the acceptors was running,
    /// summed over gateways.
    pub steps_without_lease: usize,
}

impl Observed {
    /// Checks I3, I4 and I5 for an outcome that was reported to a proposer.
    pub fn check_outcome(&mut self, policy: Policy, outcome: &ProposalOutcome) {
        match outcome {
            ProposalOutcome::InForce => {
                let other = self.in_force.insert(policy.version, policy);
                assert!(
                    other.is_none_or(|other| other == policy),
                    "I5: two policies of the same version are in force"
                );
                assert!(
                    !self.rejected.contains(&policy.id()),
                    "I3: a policy reported as rejected is in force"
                );
            }
            ProposalOutcome::Rejected(_) | ProposalOutcome::Superseded(_) => {
                assert!(
                    !self.held.contains(&policy.id()),
                    "I3: a policy that is held is reported as rejected"
                );
                assert!(
                    !self.in_force.values().any(|in_force| *in_force == policy),
                    "I4: a policy in force is reported as rejected"
                );
                self.rejected.insert(policy.id());
            }
            ProposalOutcome::Unknown => {}
        }
    }

    /// Checks I1, I2, I3 and I5 for a policy that a gateway holds: no gateway has held a later version before, and no
    /// other policy of the same version was ever held.
    pub fn check_held_policy(&mut self, gateway: usize, id: PolicyId) {
        assert!(
            id.version >= self.highest_version,
            "I1, I2: gateway {} holds version {} after version {} was held",
            gateway,
            id.version,
            self.highest_version
        );
        assert!(
            !self.rejected.contains(&id),
            "I3: a policy reported as rejected is held"
        );
        let fork = self
            .held
            .iter()
            .find(|held| held.version == id.version && **held != id);
        assert!(
            fork.is_none(),
            "I5: two policies of the same version are held"
        );
        self.highest_version = id.version;
        self.held.insert(id);
    }
}
