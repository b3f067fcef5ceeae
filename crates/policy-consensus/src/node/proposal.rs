//! One proposal that was started at this member.

use crate::proposer::{ProposalOutcome, Proposer};
use crate::Policy;

/// A proposal that was started here, in progress or finished.
pub(super) struct Proposal {
    pub(super) proposer: Proposer,
    /// `None` where it only finishes an interrupted change.
    pub(super) policy: Option<Policy>,
    /// The members that have to be able to serve under the policy. The proposer numbers them from 1; 0 is this member.
    pub(super) members: Vec<String>,
    pub(super) started_at: u64,
    /// Valid once it is finished.
    pub(super) finished_at: u64,
    /// The phase that was logged last.
    pub(super) logged_phase: &'static str,
}

impl Proposal {
    /// Whether it is in progress.
    pub(super) fn is_active(&self) -> bool {
        self.proposer.outcome().is_none()
    }

    /// The name of the member that the proposer numbers so.
    fn member_name<'a>(&'a self, number: u64, own_name: &'a str) -> &'a str {
        let index = number.checked_sub(1);
        let name = index.and_then(|index| self.members.get(index as usize));
        name.map_or(own_name, String::as_str)
    }

    /// The proposal as operators see it; `None` where it only finishes an interrupted change.
    pub(super) fn status(&self, number: u64, own_name: &str) -> Option<ProposalStatus> {
        let end = self.proposer.outcome().cloned();
        let why = match &end {
            Some(ProposalOutcome::Rejected(reasons)) => reasons
                .iter()
                .map(|(member, why)| (self.member_name(*member, own_name).into(), why.clone()))
                .collect(),
            _ => Vec::new(),
        };
        let until = if end.is_some() {
            self.finished_at
        } else {
            u64::MAX
        };
        Some(ProposalStatus {
            number,
            policy: self.policy?,
            elapsed_us: until.saturating_sub(self.started_at),
            outcome: end,
            refusals: why,
        })
    }
}

/// A proposal, as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct ProposalStatus {
    /// Its number, as [`ConsensusNode::propose`](super::ConsensusNode::propose) returned it.
    pub number: u64,
    /// The proposed policy.
    pub policy: Policy,
    /// How long it took; of no meaning while it is in progress.
    pub elapsed_us: u64,
    /// How it ended; `None` while it is in progress.
    pub outcome: Option<ProposalOutcome>,
    /// Where it was refused: the members that refused it, and why.
    pub refusals: Vec<(String, String)>,
}

/// How a proposal of `policy` ended, as it is logged.
pub(super) fn describe_outcome(outcome: &ProposalOutcome, policy: &Policy) -> String {
    let proposed = policy.id().short();
    match outcome {
        ProposalOutcome::InForce => format!("in-force version={proposed}"),
        ProposalOutcome::Rejected(why) => format!("refused version={proposed} why={why:?}"),
        ProposalOutcome::Superseded(winner) => {
            format!("lost version={proposed} to={}", winner.id().short())
        }
        ProposalOutcome::Unknown => format!("open version={proposed}"),
    }
}
