//! An acceptor: one of the members that hold the register (the acceptor of Paxos, for a register that is changed again and again as in
//! CASPaxos, Rystsov 2018) and that grant leases on its value.
//!
//! An acceptor that has accepted another policy goes on granting the previous one until a time that is fixed then, a lease's duration
//! later, and grants the new one from that time on. So every lease on the previous policy that it ever granted has ended when one on
//! the new policy begins. As any two majorities share an acceptor, no two gateways admit requests under both.

use crate::{Ballot, LeaseConfig, Policy, PolicyId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What has to be on disk before a reply that rests on it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptorState {
    /// No ballot below this one is accepted.
    pub promised: Ballot,
    /// The policy that was accepted last, and by which ballot.
    pub accepted: Option<(Ballot, Policy)>,
    /// The number of the ballot by which it joined in place of an earlier acceptor; 0 for the first one at its index.
    pub incarnation: u64,
    /// The latest known incarnations of the other acceptors, by index. What an earlier incarnation said does not count any more.
    pub incarnations: BTreeMap<u64, u64>,
    /// It is joining in place of an earlier acceptor and has not heard from enough of the others yet, so it must not answer.
    pub joining: bool,
}

impl AcceptorState {
    /// The state of a new acceptor: version 0, which is what each gateway's own files say, is accepted.
    pub fn initial() -> AcceptorState {
        AcceptorState {
            accepted: Some((Ballot::default(), Policy::default())),
            ..AcceptorState::default()
        }
    }
}

/// One incarnation of an acceptor.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AcceptorIncarnation {
    /// The acceptor's index.
    pub acceptor: u64,
    /// As in [`AcceptorState::incarnation`].
    pub incarnation: u64,
}

/// A request to an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AcceptorRequest {
    /// Asks for the promise to accept no ballot below this one.
    Prepare(Ballot),
    /// The same; and one acceptor is a new one from now on, with the ballot's number as its incarnation.
    Join {
        /// The ballot to promise.
        ballot: Ballot,
        /// The index of the acceptor that joins.
        acceptor: u64,
    },
    /// Asks to accept a policy.
    Accept {
        /// The ballot by which it is accepted.
        ballot: Ballot,
        /// The policy itself.
        policy: Policy,
        /// The acceptors that gave the promises on which it rests.
        promised_by: Vec<AcceptorIncarnation>,
    },
    /// Asks for a lease.
    Lease,
}

/// An acceptor's reply.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AcceptorReply {
    /// The ballot is promised; with it what was accepted so far.
    Promised(Ballot, Option<(Ballot, Policy)>),
    /// The policy is accepted by this ballot.
    Accepted(Ballot),
    /// Not done: this higher ballot was promised.
    Preempted(Ballot),
    /// Not done: the previous policy is granted for so many more microseconds, and no other is accepted meanwhile.
    Busy(u64),
    /// The leases that this acceptor grants.
    Lease(LeaseGrant),
}

/// The leases that an acceptor grants, with durations from the time at which it sent them. Each names the ballot by which the policy
/// was accepted there: a policy is chosen only where a majority accepted it by the same ballot.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// On the previous policy, while it is still granted.
    pub previous: Option<PreviousPolicyLease>,
    /// On the policy that is accepted.
    pub current: Option<CurrentPolicyLease>,
}

/// A lease on the policy before the accepted one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PreviousPolicyLease {
    /// The previous policy.
    pub id: PolicyId,
    /// The ballot by which it was accepted.
    pub ballot: Ballot,
    /// It ends after this.
    pub remaining_us: u64,
}

/// A lease on the accepted policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CurrentPolicyLease {
    /// The accepted policy.
    pub policy: Policy,
    /// The ballot by which it was accepted.
    pub ballot: Ballot,
    /// It begins after this.
    pub starts_in_us: u64,
    /// How long it lasts once it has begun.
    pub duration_us: u64,
}

/// How an acceptor handled a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptorResponse {
    /// The reply to be sent.
    pub reply: AcceptorReply,
    /// Whether the acceptor's state has to be on disk before the reply is sent.
    pub requires_sync: bool,
}

impl AcceptorResponse {
    fn without_sync(reply: AcceptorReply) -> AcceptorResponse {
        AcceptorResponse {
            reply,
            requires_sync: false,
        }
    }
}

/// The state machine of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    config: LeaseConfig,
    /// Its index among the acceptors.
    index: u64,
    state: AcceptorState,
    /// The policy accepted before, and its ballot. Not on disk, as after a restart it is not known whether it may still be granted.
    previous: Option<(PolicyId, Ballot)>,
    /// The previous policy is granted until then, and the accepted one from then on.
    takes_effect_at: u64,
}

impl Acceptor {
    /// Starts an acceptor at time `now` with the state from its disk. What it granted before a restart is not known any more: all of
    /// it will have ended a lease's duration from now.
    pub fn new(config: LeaseConfig, index: u64, state: AcceptorState, now: u64) -> Acceptor {
        Acceptor {
            config,
            index,
            state,
            previous: None,
            takes_effect_at: now + config.lease_us,
        }
    }

    /// What has to be on disk.
    pub fn state(&self) -> &AcceptorState {
        &self.state
    }

    /// Handles a request.
    pub fn handle(&mut self, now: u64, request: AcceptorRequest) -> AcceptorResponse {
        match request {
            AcceptorRequest::Prepare(ballot) if ballot >= self.state.promised => {
                self.prepare(ballot)
            }
            // The number becomes an incarnation, so it has to be above all others whoever the proposer is.
            AcceptorRequest::Join { ballot, acceptor }
                if ballot.number > self.state.promised.number && acceptor != self.index =>
            {
                self.admit_joining(ballot, acceptor)
            }
            AcceptorRequest::Accept {
                ballot,
                policy,
                promised_by,
            } if ballot >= self.state.promised && !self.any_superseded(&promised_by) => {
                self.accept(now, ballot, policy)
            }
            AcceptorRequest::Prepare(_)
            | AcceptorRequest::Join { .. }
            | AcceptorRequest::Accept { .. } => {
                AcceptorResponse::without_sync(AcceptorReply::Preempted(self.state.promised))
            }
            AcceptorRequest::Lease => {
                AcceptorResponse::without_sync(AcceptorReply::Lease(self.grant(now)))
            }
        }
    }

    /// Promises a ballot; again if it is promised already, as the first reply may have been lost.
    fn prepare(&mut self, ballot: Ballot) -> AcceptorResponse {
        let is_new = ballot > self.state.promised;
        self.state.promised = ballot;
        AcceptorResponse {
            reply: AcceptorReply::Promised(ballot, self.state.accepted),
            requires_sync: is_new,
        }
    }

    fn admit_joining(&mut self, ballot: Ballot, joining: u64) -> AcceptorResponse {
        self.state.promised = ballot;
        self.state.incarnations.insert(joining, ballot.number);
        AcceptorResponse {
            reply: AcceptorReply::Promised(ballot, self.state.accepted),
            requires_sync: true,
        }
    }

    fn accept(&mut self, now: u64, ballot: Ballot, policy: Policy) -> AcceptorResponse {
        let accepted = self.state.accepted;
        let is_other_policy = accepted.map(|(_, policy)| policy.id()) != Some(policy.id());
        // Leases on both the previous and the accepted policy may exist: with a third policy no single time would end them all.
        if is_other_policy && accepted.is_some() && now < self.takes_effect_at {
            let remaining_us = self.takes_effect_at - now;
            return AcceptorResponse::without_sync(AcceptorReply::Busy(remaining_us));
        }
        let changes_state = self.state.promised != ballot || accepted != Some((ballot, policy));
        self.state.promised = ballot;
        self.state.accepted = Some((ballot, policy));
        if is_other_policy {
            self.previous = accepted.map(|(ballot, policy)| (policy.id(), ballot));
            self.takes_effect_at = now + self.config.lease_us;
        }
        AcceptorResponse {
            reply: AcceptorReply::Accepted(ballot),
            requires_sync: changes_state,
        }
    }

    /// Whether one of these incarnations is known to have been superseded by a later one.
    fn any_superseded(&self, incarnations: &[AcceptorIncarnation]) -> bool {
        incarnations.iter().any(|claimed| {
            if claimed.acceptor == self.index {
                claimed.incarnation != self.state.incarnation
            } else {
                let latest = self.state.incarnations.get(&claimed.acceptor);
                latest.is_some_and(|latest| claimed.incarnation < *latest)
            }
        })
    }

    fn grant(&self, now: u64) -> LeaseGrant {
        let remaining_us = self.takes_effect_at.saturating_sub(now);
        let previous = self.previous.filter(|_| remaining_us > 0);
        LeaseGrant {
            previous: previous.map(|(id, ballot)| PreviousPolicyLease {
                id,
                ballot,
                remaining_us,
            }),
            current: self
                .state
                .accepted
                .map(|(ballot, policy)| CurrentPolicyLease {
                    policy,
                    ballot,
                    starts_in_us: remaining_us,
                    duration_us: self.config.lease_us,
                }),
        }
    }
}

#[cfg(test)]
mod tests;
