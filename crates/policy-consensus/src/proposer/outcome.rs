//! The outcomes of proposals and the outputs of proposers.

use crate::acceptor::AcceptorRequest;
use crate::Policy;

/// How a proposal ended, as far as its proposer knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalOutcome {
    /// The proposed policy is in force; without a proposed policy, the interrupted change is complete.
    InForce,
    /// The proposal was rejected and the register is unchanged. Each reason comes with the number of the member that
    /// gave it; 0 is the proposer's own member.
    Rejected(Vec<(u64, String)>),
    /// This other policy is in force instead; the proposed one will never be in force.
    Superseded(Policy),
    /// The outcome is unknown: acceptors that may have accepted the policy did not reply.
    Unknown,
}

impl ProposalOutcome {
    /// Derives the outcome for the `proposed` policy from the policy that was `chosen` last. If `may_be_accepted`,
    /// the proposed policy may have been accepted although no reply confirmed it, and later policies may have
    /// succeeded it. The outcome is then unknown if the chosen version is below the proposed one or more than one
    /// above it.
    pub(super) fn from_chosen(
        proposed: &Policy,
        chosen: &Policy,
        may_be_accepted: bool,
    ) -> ProposalOutcome {
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

/// An action that the caller has to carry out for a proposer.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposerOutput {
    /// Send a check request for the policy to the members that have not confirmed yet.
    CheckMembers(Policy),
    /// Send this request to all acceptors.
    SendToAcceptors(AcceptorRequest),
    /// Record the outcome of the proposal, which has ended.
    Finished(ProposalOutcome),
}
