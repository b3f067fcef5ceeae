//! A proposal that was started at this member, and its status for operators.

use crate::proposer::{ProposalOutcome, Proposer};
use crate::Policy;

/// A proposal that was started at this member, in progress or finished.
pub(super) struct Proposal {
    pub(super) proposer: Proposer,
    /// The proposed policy; `None` if the proposal only completes an interrupted change.
    pub(super) policy: Option<Policy>,
    /// The other members that have to be able to serve under the policy. The proposer numbers them from 1 in this
    /// order; 0 is this member.
    pub(super) members: Vec<String>,
    pub(super) started_at: u64,
    /// When the proposal finished; meaningless while it is in progress.
    pub(super) finished_at: u64,
    /// The phase that was logged last; empty before the first one.
    pub(super) logged_phase: &'static str,
}

impl Proposal {
    /// Returns whether the proposal is in progress.
    pub(super) fn is_active(&self) -> bool {
        self.proposer.outcome().is_none()
    }

    /// Returns the name of the member with this number.
    fn member_name<'a>(&'a self, number: u64, own_name: &'a str) -> &'a str {
        let index = number.checked_sub(1);
        let name = index.and_then(|index| self.members.get(index as usize));
        name.map_or(own_name, String::as_str)
    }

    /// Returns the status for operators; `None` if the proposal only completes an interrupted change.
    pub(super) fn status(&self, number: u64, own_name: &str) -> Option<ProposalStatus> {
        let final_outcome = self.proposer.outcome().cloned();
        let rejection_reasons = match &final_outcome {
            Some(ProposalOutcome::Rejected(reasons)) => reasons
                .iter()
                .map(|(member, reason)| {
                    (self.member_name(*member, own_name).into(), reason.clone())
                })
                .collect(),
            _ => Vec::new(),
        };
        let measured_until = if final_outcome.is_some() {
            self.finished_at
        } else {
            u64::MAX
        };
        Some(ProposalStatus {
            number,
            policy: self.policy?,
            elapsed_us: measured_until.saturating_sub(self.started_at),
            outcome: final_outcome,
            refusals: rejection_reasons,
        })
    }
}

/// The status of a proposal for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ProposalStatus {
    /// The proposal's number, as returned by [`ConsensusNode::propose`](super::ConsensusNode::propose).
    pub number: u64,
    /// The proposed policy.
    pub policy: Policy,
    /// Duration of the finished proposal, in microseconds; meaningless while it is in progress.
    pub elapsed_us: u64,
    /// How the proposal ended; `None` while it is in progress.
    pub outcome: Option<ProposalOutcome>,
    /// The members that rejected the policy, each with its reason; empty unless the proposal was rejected.
    pub refusals: Vec<(String, String)>,
}

/// Formats the outcome of a proposal of `policy` for the log.
pub(super) fn describe_outcome(outcome: &ProposalOutcome, policy: &Policy) -> String {
    let proposed = policy.id().short();
    match outcome {
        ProposalOutcome::InForce => format!("in-force version={proposed}"),
        ProposalOutcome::Rejected(reasons) => format!("refused version={proposed} why={reasons:?}"),
        ProposalOutcome::Superseded(winner) => {
            format!("lost version={proposed} to={}", winner.id().short())
        }
        ProposalOutcome::Unknown => format!("open version={proposed}"),
    }
}
