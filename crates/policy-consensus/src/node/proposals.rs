//! The proposals that were started at this member.

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

/// Proposals that are remembered.
const MAX_PROPOSALS: usize = 32;
/// Proposals that may be in progress at once.
const MAX_ACTIVE_PROPOSALS: usize = 4;

impl ConsensusNode {
    /// The proposals that were started here and are still remembered.
    pub fn proposals(&self) -> impl Iterator<Item = ProposalStatus> + '_ {
        let own_name = &self.config.name;
        self.proposals
            .iter()
            .filter_map(move |(number, proposal)| proposal.status(*number, own_name))
    }

    /// Whether a proposal is in progress here.
    pub fn has_active_proposal(&self) -> bool {
        self.proposals.values().any(Proposal::is_active)
    }

    /// Proposes the policy document `text`. `other_members` are all reachable members but this one; all of them have to be able to
    /// serve under it. Returns the proposal's number, by which it is found among [`ConsensusNode::proposals`].
    ///
    /// # Errors
    /// The document is wrong, this member cannot serve under it, or too many proposals are in progress.
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

    /// Aborts a proposal. Returns `false` where that is not possible: it is not known, it is finished, or acceptors may have accepted
    /// it already.
    pub fn abort(&mut self, now: u64, number: u64, out: &mut Vec<NodeOutput>) -> bool {
        self.with_proposal(now, number, out, |proposal, outputs| {
            proposal.proposer.abort(outputs)
        })
    }

    /// Starts a proposal, of `policy` or, without one, only to finish an interrupted change; returns its number.
    pub(super) fn start_proposal(
        &mut self,
        now: u64,
        policy: Option<Policy>,
        other_members: &[String],
    ) -> Result<u64, String> {
        let active = self.proposals.values().filter(|p| p.is_active()).count();
        if active >= MAX_ACTIVE_PROPOSALS {
            return Err(format!(
                "{active} proposals are under way here; wait for their end"
            ));
        }
        self.evict_finished_proposals();
        // Odd, so that it differs from the numbers of join requests.
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

    /// Makes room for one more proposal.
    fn evict_finished_proposals(&mut self) {
        while self.proposals.len() >= MAX_PROPOSALS {
            let finished = self.proposals.iter().filter(|(_, p)| !p.is_active());
            let oldest = finished.min_by_key(|(_, p)| p.finished_at);
            // There is one, as MAX_ACTIVE_PROPOSALS is lower.
            if let Some(number) = oldest.map(|(number, _)| *number) {
                self.proposals.remove(&number);
            }
        }
    }

    /// Tells the proposals which members are not reachable any more, and has them do what is due.
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

    /// Has a proposal do something, then carries out what its proposer wants done. Returns the default where there is no such
    /// proposal.
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

    /// Asks the members that have not confirmed yet whether they can serve under the policy.
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

    /// Logs the phase that a request begins; not its retries.
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
        let result = if let Some(policy) = proposal.policy {
            describe_outcome(outcome, &policy)
        } else {
            self.proposals.remove(&number);
            "finished".to_string()
        };
        out.push(NodeOutput::Log(format!("policy: {result} number={number}")));
    }
}
