//! A proposer: the state machine of one change of the register. First all reachable members check the policy, then a
//! majority of the acceptors promises a ballot, then a majority accepts the policy. A change that an earlier proposer
//! left incomplete is completed first.
//!
//! ```text
//! Checking -> Preparing -> Accepting -> Done
//!                 ^            |
//!                 +------------+  preempted, or another change had to be completed first
//! ```

mod outcome;

pub use outcome::{ProposalOutcome, ProposerOutput};

use crate::acceptor::{AcceptorIncarnation, AcceptorReply, AcceptorRequest};
use crate::{majority, Ballot, Policy};
use std::collections::{BTreeMap, BTreeSet};

/// The fixed parameters of a proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ProposerConfig {
    /// The proposer's id, which is unique among all proposers and part of their ballots.
    pub id: u64,
    /// The number of acceptors.
    pub acceptors: usize,
    /// Maximum duration of the proposal, in microseconds. The members have half of it to check the policy.
    pub timeout_us: u64,
    /// Interval after which a request is repeated if no majority of the acceptors has answered it, in microseconds.
    pub retry_interval_us: u64,
}

/// An acceptor's promise of the proposer's ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Promise {
    /// The incarnation of the acceptor that made the promise.
    incarnation: u64,
    /// The acceptor's last accepted policy, with its ballot.
    accepted: Option<(Ballot, Policy)>,
}

/// The phase of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Before the first attempt: members check whether they can serve under the policy. Both sets hold member numbers.
    Checking {
        confirmed: BTreeSet<u64>,
        required: BTreeSet<u64>,
    },
    /// After a prepare request: acceptors promise the ballot, by acceptor index.
    Preparing { promises: BTreeMap<u64, Promise> },
    /// After a majority of promises: acceptors accept `policy`. It is not the proposed policy if another change has
    /// to be completed first.
    Accepting {
        accepted_by: BTreeSet<u64>,
        policy: Policy,
        promised_by: Vec<AcceptorIncarnation>,
    },
    /// The proposal has ended.
    Done,
}

/// The state machine of one proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    config: ProposerConfig,
    /// The proposed policy; `None` if the proposer only completes an interrupted change.
    proposed: Option<Policy>,
    ballot: Ballot,
    phase: Phase,
    /// When the proposer stops waiting for the members' checks.
    check_deadline: u64,
    /// When the proposer stops waiting for the acceptors.
    deadline: u64,
    next_retry_at: u64,
    /// Whether the next attempt needs a new ballot: either an acceptor promised a higher one, or no ballot was tried
    /// yet.
    needs_new_ballot: bool,
    /// Number of ballots that were tried.
    attempts: u32,
    /// Whether an acceptor may have accepted the proposed policy.
    may_be_accepted: bool,
    outcome: Option<ProposalOutcome>,
}

impl Proposer {
    /// Creates the proposer of a proposal that starts at `now`. `highest_ballot` is the highest known ballot number;
    /// `members` are the numbers of the members that have to confirm that they can serve under the policy.
    pub fn new(
        now: u64,
        config: ProposerConfig,
        highest_ballot: u64,
        proposed: Option<Policy>,
        members: BTreeSet<u64>,
    ) -> Proposer {
        Proposer {
            proposed,
            ballot: Ballot {
                number: highest_ballot,
                proposer: config.id,
            },
            phase: Phase::Checking {
                confirmed: BTreeSet::new(),
                required: members,
            },
            check_deadline: now + config.timeout_us / 2,
            deadline: now + config.timeout_us,
            next_retry_at: now,
            needs_new_ballot: true,
            attempts: 0,
            may_be_accepted: false,
            outcome: None,
            config,
        }
    }

    /// Returns how the proposal ended; `None` while it is in progress.
    pub fn outcome(&self) -> Option<&ProposalOutcome> {
        self.outcome.as_ref()
    }

    /// Returns the proposed policy; `None` if the proposer only completes an interrupted change.
    pub fn proposed_policy(&self) -> Option<&Policy> {
        self.proposed.as_ref()
    }

    /// Returns the members that confirmed that they can serve under the policy; `None` after the checking phase.
    pub fn confirmed_members(&self) -> Option<&BTreeSet<u64>> {
        match &self.phase {
            Phase::Checking { confirmed, .. } => Some(confirmed),
            _ => None,
        }
    }

    /// Records whether a member can serve under the policy. The proposal ends if it cannot.
    pub fn record_check(
        &mut self,
        member: u64,
        result: Result<(), String>,
        out: &mut Vec<ProposerOutput>,
    ) {
        let Phase::Checking { confirmed, .. } = &mut self.phase else {
            return;
        };
        match result {
            Ok(()) => {
                confirmed.insert(member);
            }
            Err(reason) => self.finish(ProposalOutcome::Rejected(vec![(member, reason)]), out),
        }
    }

    /// Stops waiting for the check of an unreachable member. No check is needed, because the member's lease ends
    /// before the change takes effect.
    pub fn remove_member(&mut self, member: u64) {
        if let Phase::Checking { required, .. } = &mut self.phase {
            required.remove(&member);
        }
    }

    /// Discards the replies of an acceptor that was replaced by a new one.
    pub fn discard_acceptor(&mut self, acceptor: u64) {
        match &mut self.phase {
            Phase::Preparing { promises } => {
                promises.remove(&acceptor);
            }
            Phase::Accepting { accepted_by, .. } => {
                accepted_by.remove(&acceptor);
            }
            Phase::Checking { .. } | Phase::Done => {}
        }
    }

    /// Ends the proposal if no acceptor can have accepted the policy. Returns whether the proposal was ended.
    pub fn abort(&mut self, out: &mut Vec<ProposerOutput>) -> bool {
        let can_abort = !self.may_be_accepted && self.outcome.is_none();
        if can_abort {
            self.reject("the proposal was aborted", out);
        }
        can_abort
    }

    /// Handles a reply of the acceptor with this index and incarnation.
    pub fn handle_reply(
        &mut self,
        now: u64,
        acceptor: u64,
        incarnation: u64,
        reply: AcceptorReply,
        out: &mut Vec<ProposerOutput>,
    ) {
        match reply {
            AcceptorReply::Preempted(higher)
                if higher > self.ballot && !matches!(self.phase, Phase::Done) =>
            {
                self.back_off(now, higher);
            }
            AcceptorReply::Promised(ballot, accepted) if ballot == self.ballot => {
                let promise = Promise {
                    incarnation,
                    accepted,
                };
                self.handle_promise(acceptor, promise, out);
            }
            AcceptorReply::Accepted(ballot) if ballot == self.ballot => {
                self.handle_accepted(now, acceptor, out);
            }
            AcceptorReply::Busy(remaining_us) => {
                self.next_retry_at = self.next_retry_at.min(now + remaining_us);
            }
            AcceptorReply::Preempted(_)
            | AcceptorReply::Promised(..)
            | AcceptorReply::Accepted(_)
            | AcceptorReply::Lease(_) => {}
        }
    }

    /// Schedules the next attempt, with a ballot above `higher`. The backoff differs between proposers and grows with
    /// each attempt, so that two proposers do not preempt each other forever.
    fn back_off(&mut self, now: u64, higher: Ballot) {
        self.ballot.number = higher.number;
        let base_us = self.config.retry_interval_us / 16 * (1 + self.ballot.proposer % 7);
        let backoff_us = base_us << self.attempts.min(4);
        if !self.needs_new_ballot {
            self.needs_new_ballot = true;
            self.next_retry_at = now + backoff_us;
        }
    }

    /// Records a promise. Once a majority has promised the ballot, sends the request to accept a policy.
    fn handle_promise(&mut self, acceptor: u64, promise: Promise, out: &mut Vec<ProposerOutput>) {
        let Phase::Preparing { promises } = &mut self.phase else {
            return;
        };
        promises.insert(acceptor, promise);
        if promises.len() < majority(self.config.acceptors) {
            return;
        }
        let promised_by: Vec<AcceptorIncarnation> = promises
            .iter()
            .map(|(acceptor, promise)| AcceptorIncarnation {
                acceptor: *acceptor,
                incarnation: promise.incarnation,
            })
            .collect();
        let latest_accepted = promises
            .values()
            .filter_map(|promise| promise.accepted)
            .max_by_key(|(ballot, _)| *ballot)
            .map(|(_, policy)| policy);
        let successor = self
            .proposed
            .filter(|proposed| proposed.follows(latest_accepted.as_ref()));
        // If the proposed policy is not a successor of the policy with the highest ballot among the promises, the
        // latter is completed first.
        let Some(policy) = successor.or(latest_accepted) else {
            return self.reject(
                "no policy has been accepted yet: the first one must have version 1",
                out,
            );
        };
        self.may_be_accepted |= Some(policy) == self.proposed;
        self.phase = Phase::Accepting {
            accepted_by: BTreeSet::new(),
            policy,
            promised_by: promised_by.clone(),
        };
        out.push(ProposerOutput::SendToAcceptors(AcceptorRequest::Accept {
            ballot: self.ballot,
            policy,
            promised_by,
        }));
    }

    /// Records that an acceptor accepted the policy. Once a majority has accepted it by the ballot, the policy is
    /// chosen.
    fn handle_accepted(&mut self, now: u64, acceptor: u64, out: &mut Vec<ProposerOutput>) {
        let Phase::Accepting {
            accepted_by,
            policy,
            ..
        } = &mut self.phase
        else {
            return;
        };
        accepted_by.insert(acceptor);
        if accepted_by.len() < majority(self.config.acceptors) {
            return;
        }
        let chosen = *policy;
        let Some(proposed) = self.proposed else {
            return self.finish(ProposalOutcome::InForce, out);
        };
        if proposed != chosen && proposed.follows(Some(&chosen)) {
            // Another change had to be completed first; the proposed policy follows.
            return self.prepare(now, out);
        }
        let outcome = ProposalOutcome::from_chosen(&proposed, &chosen, self.may_be_accepted);
        self.finish(outcome, out);
    }

    /// Does the work that is due at `now`: the first request of each phase, retries and timeouts.
    pub fn tick(&mut self, now: u64, out: &mut Vec<ProposerOutput>) {
        match &self.phase {
            Phase::Done => {}
            Phase::Checking {
                confirmed,
                required,
            } => {
                let unconfirmed: Vec<u64> = required.difference(confirmed).copied().collect();
                self.tick_checking(now, unconfirmed, out);
            }
            Phase::Preparing { .. } | Phase::Accepting { .. } => self.tick_acceptors(now, out),
        }
    }

    /// Does the work that is due in the checking phase; `unconfirmed` are the members that have not confirmed yet.
    fn tick_checking(&mut self, now: u64, unconfirmed: Vec<u64>, out: &mut Vec<ProposerOutput>) {
        if self.proposed.is_none() || unconfirmed.is_empty() {
            return self.prepare(now, out);
        }
        if now >= self.check_deadline {
            let reason = "the member did not answer in time whether it can serve under the policy";
            let reasons = unconfirmed
                .into_iter()
                .map(|member| (member, reason.to_string()));
            return self.finish(ProposalOutcome::Rejected(reasons.collect()), out);
        }
        if now >= self.next_retry_at {
            self.next_retry_at = now + self.config.retry_interval_us;
            out.extend(self.proposed.map(ProposerOutput::CheckMembers));
        }
    }

    /// Does the work that is due in the preparing and accepting phases.
    fn tick_acceptors(&mut self, now: u64, out: &mut Vec<ProposerOutput>) {
        if now >= self.deadline {
            if self.may_be_accepted {
                self.finish(ProposalOutcome::Unknown, out);
            } else {
                self.reject(
                    "no majority of the keepers replied within the proposal timeout",
                    out,
                );
            }
            return;
        }
        if now < self.next_retry_at {
            return;
        }
        let request = match &self.phase {
            Phase::Preparing { .. } if !self.needs_new_ballot => {
                AcceptorRequest::Prepare(self.ballot)
            }
            Phase::Accepting {
                policy,
                promised_by,
                ..
            } if !self.needs_new_ballot => AcceptorRequest::Accept {
                ballot: self.ballot,
                policy: *policy,
                promised_by: promised_by.clone(),
            },
            _ => return self.prepare(now, out),
        };
        self.next_retry_at = now + self.config.retry_interval_us;
        out.push(ProposerOutput::SendToAcceptors(request));
    }

    /// Starts an attempt with the next ballot.
    fn prepare(&mut self, now: u64, out: &mut Vec<ProposerOutput>) {
        self.ballot.number += 1;
        self.needs_new_ballot = false;
        self.attempts += 1;
        self.phase = Phase::Preparing {
            promises: BTreeMap::new(),
        };
        self.next_retry_at = now + self.config.retry_interval_us;
        out.push(ProposerOutput::SendToAcceptors(AcceptorRequest::Prepare(
            self.ballot,
        )));
    }

    /// Ends the proposal without a change, for a reason of this member.
    fn reject(&mut self, reason: &str, out: &mut Vec<ProposerOutput>) {
        self.finish(
            ProposalOutcome::Rejected(vec![(0, reason.to_string())]),
            out,
        );
    }

    /// Ends the proposal with this outcome.
    fn finish(&mut self, outcome: ProposalOutcome, out: &mut Vec<ProposerOutput>) {
        self.phase = Phase::Done;
        self.outcome = Some(outcome.clone());
        out.push(ProposerOutput::Finished(outcome));
    }
}
