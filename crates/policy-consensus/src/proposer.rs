//! A proposer: it changes the register. First all reachable members check the policy, then a majority of the acceptors promises a
//! ballot, then a majority accepts the policy. Where an earlier proposer left a change incomplete, that one is finished first.
//!
//! ```text
//! Checking -> Preparing -> Accepting -> Done
//!                 ^            |
//!                 +------------+  preempted, or another policy had to be finished first
//! ```

mod outcome;

pub use outcome::{ProposalOutcome, ProposerOutput};

use crate::acceptor::{AcceptorIncarnation, AcceptorReply, AcceptorRequest};
use crate::{majority, Ballot, Policy};
use std::collections::{BTreeMap, BTreeSet};

/// The fixed parameters of a proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ProposerConfig {
    /// Differs between all proposers; part of their ballots.
    pub id: u64,
    /// The number of acceptors.
    pub acceptors: usize,
    /// How long the proposal may take; members have half of it to check the policy.
    pub timeout_us: u64,
    /// After how long without a majority a request is repeated.
    pub retry_interval_us: u64,
}

/// An acceptor's promise.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Promise {
    /// The incarnation of the acceptor that gave it.
    incarnation: u64,
    accepted: Option<(Ballot, Policy)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Members check the policy.
    Checking {
        confirmed: BTreeSet<u64>,
        required: BTreeSet<u64>,
    },
    /// Acceptors promise the ballot; by acceptor index.
    Preparing {
        promises: BTreeMap<u64, Promise>,
    },
    /// Acceptors accept a policy, which is not the proposed one where another has to be finished first.
    Accepting {
        accepted_by: BTreeSet<u64>,
        policy: Policy,
        promised_by: Vec<AcceptorIncarnation>,
    },
    Done,
}

/// The state machine of one proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    config: ProposerConfig,
    /// `None` where it only finishes an interrupted change.
    proposed: Option<Policy>,
    ballot: Ballot,
    phase: Phase,
    /// When it stops waiting for members.
    check_deadline: u64,
    /// When it stops waiting for acceptors.
    deadline: u64,
    next_retry_at: u64,
    /// A higher ballot was promised, so this one cannot get a majority any more; or none was tried yet.
    is_preempted: bool,
    /// Ballots that were tried.
    attempts: u32,
    /// Some acceptor may have accepted the proposed policy.
    may_be_accepted: bool,
    outcome: Option<ProposalOutcome>,
}

impl Proposer {
    /// Starts a proposal at time `now`. `highest_ballot` is the highest ballot number that was heard of; `members` are the numbers of
    /// those that have to confirm that they can serve under the policy.
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
            is_preempted: true,
            attempts: 0,
            may_be_accepted: false,
            outcome: None,
            config,
        }
    }

    /// How it ended; `None` while it is in progress.
    pub fn outcome(&self) -> Option<&ProposalOutcome> {
        self.outcome.as_ref()
    }

    /// The proposed policy; `None` where it only finishes an interrupted change.
    pub fn proposed_policy(&self) -> Option<&Policy> {
        self.proposed.as_ref()
    }

    /// The members that confirmed that they can serve under the policy; `None` once the acceptors have been asked.
    pub fn confirmed_members(&self) -> Option<&BTreeSet<u64>> {
        match &self.phase {
            Phase::Checking { confirmed, .. } => Some(confirmed),
            _ => None,
        }
    }

    /// Takes a member's answer whether it can serve under the policy.
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
            Err(why) => self.finish(ProposalOutcome::Rejected(vec![(member, why)]), out),
        }
    }

    /// Drops a member that is not reachable any more: its lease ends before the change takes effect.
    pub fn remove_member(&mut self, member: u64) {
        if let Phase::Checking { required, .. } = &mut self.phase {
            required.remove(&member);
        }
    }

    /// Forgets what an acceptor said, after a new one has taken its place.
    pub fn forget_acceptor(&mut self, acceptor: u64) {
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

    /// Ends the proposal if it is certain that no acceptor has accepted the policy; returns whether it did.
    pub fn abort(&mut self, out: &mut Vec<ProposerOutput>) -> bool {
        let can_abort = !self.may_be_accepted && self.outcome.is_none();
        if can_abort {
            self.refuse("it was called off", out);
        }
        can_abort
    }

    /// Takes an acceptor's reply; `incarnation` is the incarnation of that acceptor.
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

    /// Has the next attempt made with a ballot above `higher`, after a backoff that differs between proposers and grows with each
    /// attempt, so that two of them do not preempt each other for ever.
    fn back_off(&mut self, now: u64, higher: Ballot) {
        self.ballot.number = higher.number;
        let base_us = self.config.retry_interval_us / 16 * (1 + self.ballot.proposer % 7);
        let backoff_us = base_us << self.attempts.min(4);
        if !self.is_preempted {
            self.is_preempted = true;
            self.next_retry_at = now + backoff_us;
        }
    }

    /// Once a majority has promised the ballot, asks the acceptors to accept a policy.
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
        let current = promises
            .values()
            .filter_map(|promise| promise.accepted)
            .max_by_key(|(ballot, _)| *ballot)
            .map(|(_, policy)| policy);
        let successor = self
            .proposed
            .filter(|proposed| proposed.follows(current.as_ref()));
        // Where the proposed policy is no successor of the current one, the current one is finished first.
        let Some(policy) = successor.or(current) else {
            return self.refuse("no policy is there yet: the first has the version 1", out);
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

    /// Once a majority has accepted a policy by the ballot, that policy is chosen.
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
            // Another policy had to be finished first; now comes the proposed one.
            return self.prepare(now, out);
        }
        let outcome = ProposalOutcome::of(&proposed, &chosen, self.may_be_accepted);
        self.finish(outcome, out);
    }

    /// Does what is due at `now`: the first request of each phase, retries and timeouts.
    pub fn tick(&mut self, now: u64, out: &mut Vec<ProposerOutput>) {
        match &self.phase {
            Phase::Done => {}
            Phase::Checking {
                confirmed,
                required,
            } => {
                let missing: Vec<u64> = required.difference(confirmed).copied().collect();
                self.tick_checking(now, missing, out);
            }
            Phase::Preparing { .. } | Phase::Accepting { .. } => self.tick_acceptors(now, out),
        }
    }

    /// While members check: `missing` are those that have not confirmed yet.
    fn tick_checking(&mut self, now: u64, missing: Vec<u64>, out: &mut Vec<ProposerOutput>) {
        if self.proposed.is_none() || missing.is_empty() {
            return self.prepare(now, out);
        }
        if now >= self.check_deadline {
            let why = "it did not say in time whether it can take it";
            let reasons = missing.into_iter().map(|member| (member, why.to_string()));
            return self.finish(ProposalOutcome::Rejected(reasons.collect()), out);
        }
        if now >= self.next_retry_at {
            self.next_retry_at = now + self.config.retry_interval_us;
            out.extend(self.proposed.map(ProposerOutput::CheckMembers));
        }
    }

    /// While acceptors are asked.
    fn tick_acceptors(&mut self, now: u64, out: &mut Vec<ProposerOutput>) {
        if now >= self.deadline {
            if self.may_be_accepted {
                self.finish(ProposalOutcome::Unknown, out);
            } else {
                self.refuse("no majority of the keepers was heard", out);
            }
            return;
        }
        if now < self.next_retry_at {
            return;
        }
        let request = match &self.phase {
            Phase::Preparing { .. } if !self.is_preempted => AcceptorRequest::Prepare(self.ballot),
            Phase::Accepting {
                policy,
                promised_by,
                ..
            } if !self.is_preempted => AcceptorRequest::Accept {
                ballot: self.ballot,
                policy: *policy,
                promised_by: promised_by.clone(),
            },
            _ => return self.prepare(now, out),
        };
        self.next_retry_at = now + self.config.retry_interval_us;
        out.push(ProposerOutput::SendToAcceptors(request));
    }

    /// Makes an attempt with the next ballot.
    fn prepare(&mut self, now: u64, out: &mut Vec<ProposerOutput>) {
        self.ballot.number += 1;
        self.is_preempted = false;
        self.attempts += 1;
        self.phase = Phase::Preparing {
            promises: BTreeMap::new(),
        };
        self.next_retry_at = now + self.config.retry_interval_us;
        out.push(ProposerOutput::SendToAcceptors(AcceptorRequest::Prepare(
            self.ballot,
        )));
    }

    /// Ends the proposal with nothing changed, for a reason of this member's own.
    fn refuse(&mut self, why: &str, out: &mut Vec<ProposerOutput>) {
        self.finish(ProposalOutcome::Rejected(vec![(0, why.to_string())]), out);
    }

    fn finish(&mut self, outcome: ProposalOutcome, out: &mut Vec<ProposerOutput>) {
        self.phase = Phase::Done;
        self.outcome = Some(outcome.clone());
        out.push(ProposerOutput::Finished(outcome));
    }
}
