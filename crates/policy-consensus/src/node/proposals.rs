//! The set of proposals that were started at this member.

use super::interface::NodeOutput;
use super::member::ConsensusNode;
use super::proposal::{describe_outcome, Proposal, ProposalStatus};
use crate::acceptor::AcceptorRequest;
use crate::document::Document;
use crate::message::Message;
use crate::proposer::{ProposalOutcome, Proposer, ProposerConfig, ProposerOutput};
use crate::Policy;
use rand_pcg::rand_core::RngCore;
use std::collections::BTreeSet;

/// Maximum number of proposals in the set, in progress or finished.
const MAX_PROPOSALS: usize = 32;
/// Maximum number of proposals in progress at the same time.
const MAX_ACTIVE_PROPOSALS: usize = 4;

impl ConsensusNode {
    /// Returns the status of the proposals that were started at this member, except of those that were evicted and of
    /// those that only complete an interrupted change.
    pub fn proposals(&self) -> impl Iterator<Item = ProposalStatus> + '_ {
        let own_name = &self.config.name;
        self.proposals
            .iter()
            .filter_map(move |(number, proposal)| proposal.status(*number, own_name))
    }

    /// Returns whether a proposal that was started at this member is in progress.
    pub fn has_active_proposal(&self) -> bool {
        self.proposals.values().any(Proposal::is_active)
    }

    /// Proposes the policy document `text`. `other_members` are the reachable members other than this one; all of
    /// them have to be able to serve under the policy. Returns the proposal's number, which identifies it in
    /// [`ConsensusNode::proposals`].
    ///
    /// # Errors
    /// Returns an error if the document is invalid, this member cannot serve under it, or too many proposals are in
    /// progress.
    pub fn propose(
        &mut self,
        now: u64,
        text: &str,
        other_members: &[String],
        out: &mut Vec<NodeOutput>,
    ) -> Result<u64, String> {
        let document = Document::read("policy", text).map_err(|mistakes| {
            let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
            lines.join("\n")
        })?;
        let policy = document.policy(text);
        (self.validator)(&document)?;
        self.documents.insert(text);
        let number = self.start_proposal(now, Some(policy), other_members)?;
        out.push(NodeOutput::Log(format!(
            "policy: proposed version={} number={number}",
            policy.id().short()
        )));
        self.process_inbox(now, out);
        Ok(number)
    }

    /// Aborts a proposal. Returns `false` if that is impossible: the proposal is unknown or finished, or acceptors
    /// may have accepted its policy.
    pub fn abort(&mut self, now: u64, number: u64, out: &mut Vec<NodeOutput>) -> bool {
        self.with_proposal(now, number, out, |proposal, outputs| {
            proposal.proposer.abort(outputs)
        })
    }

    /// Starts a proposal and returns its number. Without a `policy`, the proposal only completes an interrupted change.
    pub(super) fn start_proposal(
        &mut self,
        now: u64,
        policy: Option<Policy>,
        other_members: &[String],
    ) -> Result<u64, String> {
        let active = self.proposals.values().filter(|p| p.is_active()).count();
        if active >= MAX_ACTIVE_PROPOSALS {
            return Err(format!(
                "{active} proposals are in progress at this member, the maximum is {MAX_ACTIVE_PROPOSALS}; wait until one has ended"
            ));
        }
        self.evict_finished_proposals();
        // Odd, so that the number differs from that of join requests.
        let number = self.rng.next_u64() >> 1 | 1;
        let members = other_members.to_vec();
        let member_numbers: BTreeSet<u64> = (1..=members.len() as u64).collect();
        let config = ProposerConfig {
            id: number,
            acceptors: self.config.acceptors.len(),
            timeout_us: self.config.proposal_timeout_us,
            retry_interval_us: self.config.retry_interval_us,
        };
        let highest_ballot = self.lease_holder.highest_ballot_number();
        let proposer = Proposer::new(now, config, highest_ballot, policy, member_numbers);
        self.proposals.insert(
            number,
            Proposal {
                proposer,
                policy,
                members,
                started_at: now,
                finished_at: 0,
                logged_phase: "",
            },
        );
        Ok(number)
    }

    /// Evicts the oldest finished proposals to make room for another one.
    fn evict_finished_proposals(&mut self) {
        while self.proposals.len() >= MAX_PROPOSALS {
            let finished = self.proposals.iter().filter(|(_, p)| !p.is_active());
            let oldest = finished.min_by_key(|(_, p)| p.finished_at);
            // A finished proposal exists, as MAX_ACTIVE_PROPOSALS is lower than MAX_PROPOSALS.
            if let Some(number) = oldest.map(|(number, _)| *number) {
                self.proposals.remove(&number);
            }
        }
    }

    /// Stops waiting for the checks of unreachable members in each proposal, then does the work that is due for the
    /// proposal.
    pub(super) fn tick_proposals(
        &mut self,
        now: u64,
        other_members: &[String],
        out: &mut Vec<NodeOutput>,
    ) {
        let numbers: Vec<u64> = self.proposals.keys().copied().collect();
        for number in numbers {
            self.with_proposal(now, number, out, |proposal, outputs| {
                for (member, name) in (1..).zip(&proposal.members) {
                    if !other_members.contains(name) {
                        proposal.proposer.remove_member(member);
                    }
                }
                proposal.proposer.tick(now, outputs);
            });
        }
    }

    /// Applies `action` to a proposal and carries out the outputs of its proposer. Returns the result of `action`, or
    /// the default value if the proposal is unknown.
    pub(super) fn with_proposal<T: Default>(
        &mut self,
        now: u64,
        number: u64,
        out: &mut Vec<NodeOutput>,
        action: impl FnOnce(&mut Proposal, &mut Vec<ProposerOutput>) -> T,
    ) -> T {
        let Some(proposal) = self.proposals.get_mut(&number) else {
            return T::default();
        };
        let mut outputs = Vec::new();
        let result = action(proposal, &mut outputs);
        for output in outputs {
            match output {
                ProposerOutput::CheckMembers(policy) => self.check_members(number, policy, out),
                ProposerOutput::SendToAcceptors(request) => {
                    self.log_phase(number, &request, out);
                    self.send_to_acceptors(number, &request, out);
                }
                ProposerOutput::Finished(outcome) => {
                    self.finish_proposal(now, number, &outcome, out);
                }
            }
        }
        result
    }

    /// Sends a check request to each member that has not confirmed yet that it can serve under the policy.
    fn check_members(&mut self, number: u64, policy: Policy, out: &mut Vec<NodeOutput>) {
        let Some(proposal) = self.proposals.get(&number) else {
            return;
        };
        let Some(confirmed) = proposal.proposer.confirmed_members() else {
            return;
        };
        let unconfirmed: Vec<String> = (1..)
            .zip(&proposal.members)
            .filter(|(member, _)| !confirmed.contains(member))
            .map(|(_, name)| name.clone())
            .collect();
        for name in unconfirmed {
            self.send(&name, Message::CheckRequest { number, policy }, out);
        }
    }

    /// Logs the phase that a request begins. Retries within the same phase are not logged.
    fn log_phase(&mut self, number: u64, request: &AcceptorRequest, out: &mut Vec<NodeOutput>) {
        let phase = match request {
            AcceptorRequest::Prepare(_) => "prepare",
            _ => "accept",
        };
        let Some(proposal) = self.proposals.get_mut(&number) else {
            return;
        };
        if proposal.logged_phase != phase {
            proposal.logged_phase = phase;
            out.push(NodeOutput::Log(format!("policy: {phase} number={number}")));
        }
    }

    /// Records and logs the outcome of a proposal. A proposal without a policy of its own is removed, whatever its
    /// outcome, and is logged as finished.
    fn finish_proposal(
        &mut self,
        now: u64,
        number: u64,
        outcome: &ProposalOutcome,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(proposal) = self.proposals.get_mut(&number) else {
            return;
        };
        proposal.finished_at = now;
        let summary = if let Some(policy) = proposal.policy {
            describe_outcome(outcome, &policy)
        } else {
            self.proposals.remove(&number);
            "finished".to_string()
        };
        out.push(NodeOutput::Log(format!(
            "policy: {summary} number={number}"
        )));
    }
}
