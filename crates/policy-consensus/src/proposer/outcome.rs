//! How a proposal ends, and what its proposer wants done until then.

use crate::acceptor::AcceptorRequest;
use crate::Policy;

/// How a proposal ended, as far as its proposer knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalOutcome {
    /// The policy is in force.
    InForce,
    /// Nothing has changed. With each reason the number of the member that gave it; 0 is the proposer's own member.
    Rejected(Vec<(u64, String)>),
    /// This other policy is in force in its place; the proposed one will never be.
    Superseded(Policy),
    /// Not known: acceptors that may have accepted it were not heard.
    Unknown,
}

impl ProposalOutcome {
    /// What has become of the `proposed` policy, as far as it shows in the one that was `chosen` last. The proposed one may have been
    /// accepted although no reply said so, and others may have followed on it; `may_be_accepted` says whether that is possible.
    pub(super) fn of(proposed: &Policy, chosen: &Policy, may_be_accepted: bool) -> ProposalOutcome {
        if proposed == chosen {
            return ProposalOutcome::InForce;
        }
        if !may_be_accepted {
            return ProposalOutcome::Superseded(*chosen);
        }
        match chosen.version.checked_sub(proposed.version) {
            Some(1) if chosen.parent == proposed.digest => ProposalOutcome::InForce,
            Some(0 | 1) => ProposalOutcome::Superseded(*chosen),
            _ => ProposalOutcome::Unknown,
        }
    }
}

/// What a proposer wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposerOutput {
    /// Ask the members that have not confirmed yet whether they can serve under the policy.
    CheckMembers(Policy),
    /// Send a request to all acceptors.
    SendToAcceptors(AcceptorRequest),
    /// The proposal has ended.
    Finished(ProposalOutcome),
}
