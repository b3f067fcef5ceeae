//! An acceptor: one of the members that replicate the register and grant leases on its value. It is the acceptor of
//! Paxos for a register that is changed repeatedly, as in CASPaxos (Rystsov 2018).
//!
//! After accepting a new policy, an acceptor keeps granting leases on the previous policy for one lease duration and
//! grants leases on the new policy from then on. The switching time is fixed when the new policy is accepted, so
//! every lease that the acceptor ever granted on the previous policy has ended when a lease on the new one begins. As
//! any two majorities share an acceptor, no two gateways admit requests under the two policies at the same time.

use crate::{Ballot, LeaseConfig, Policy, PolicyId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The durable state of an acceptor: it has to be on disk before a reply that depends on it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptorState {
    /// The highest promised ballot; requests with a lower ballot are rejected.
    pub promised: Ballot,
    /// The last accepted policy and the ballot by which it was accepted.
    pub accepted: Option<(Ballot, Policy)>,
    /// The number of the ballot by which this acceptor joined to replace an earlier acceptor at its index; 0 for the
    /// first acceptor at its index.
    pub incarnation: u64,
    /// The highest known incarnations of the other acceptors, by index. Replies of earlier incarnations are void.
    pub incarnations: BTreeMap<u64, u64>,
    /// Whether this acceptor is joining to replace an earlier one and lacks promises from a majority of the
    /// acceptors. Until it has them it must not answer requests.
    pub joining: bool,
}

impl AcceptorState {
    /// Returns the state of a new acceptor, which has accepted version 0: the policy in each gateway's own files.
    pub fn initial() -> AcceptorState {
        AcceptorState {
            accepted: Some((Ballot::default(), Policy::default())),
            ..AcceptorState::default()
        }
    }
}

/// An acceptor's index together with its incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AcceptorIncarnation {
    /// The acceptor's index.
    pub acceptor: u64,
    /// The acceptor's [`AcceptorState::incarnation`].
    pub incarnation: u64,
}

/// A request to an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AcceptorRequest {
    /// Requests the promise to accept no ballot below this one.
    Prepare(Ballot),
    /// Requests the same promise as [`AcceptorRequest::Prepare`], and announces that an acceptor was replaced by a
    /// new one whose incarnation is the ballot's number.
    Join {
        /// The ballot to promise.
        ballot: Ballot,
        /// The index of the joining acceptor.
        acceptor: u64,
    },
    /// Requests that a policy be accepted.
    Accept {
        /// The ballot by which the policy is accepted.
        ballot: Ballot,
        /// The policy to accept.
        policy: Policy,
        /// The acceptors that promised the ballot.
        promised_by: Vec<AcceptorIncarnation>,
    },
    /// Requests leases on the register's value.
    Lease,
}

/// An acceptor's reply.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AcceptorReply {
    /// The ballot is promised. The second field is the last accepted policy with its ballot.
    Promised(Ballot, Option<(Ballot, Policy)>),
    /// The policy is accepted by this ballot.
    Accepted(Ballot),
    /// The request is rejected: its ballot is too low, an acceptor that promised its ballot was replaced, or a `Join`
    /// names this acceptor itself as the joining one. The field is the highest promised ballot.
    Preempted(Ballot),
    /// The policy is rejected for now: the accepted policy takes effect in this many microseconds, and no other
    /// policy is accepted before.
    Busy(u64),
    /// The leases that the acceptor grants.
    Lease(LeaseGrant),
}

/// The leases that an acceptor grants. Durations count from the time at which the acceptor sent the grant. Each lease
/// names the ballot by which the acceptor accepted the policy: a policy is chosen only if a majority accepted it by
/// the same ballot.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The lease on the previous policy, until the accepted policy takes effect.
    pub previous: Option<PreviousPolicyLease>,
    /// The lease on the accepted policy; `None` if no policy has been accepted.
    pub current: Option<CurrentPolicyLease>,
}

/// A lease on the policy that preceded the accepted one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PreviousPolicyLease {
    /// The previous policy.
    pub id: PolicyId,
    /// The ballot by which the previous policy was accepted.
    pub ballot: Ballot,
    /// Time until the lease ends, in microseconds.
    pub remaining_us: u64,
}

/// A lease on the accepted policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CurrentPolicyLease {
    /// The accepted policy.
    pub policy: Policy,
    /// The ballot by which the policy was accepted.
    pub ballot: Ballot,
    /// Time until the lease begins, in microseconds; 0 if it has begun.
    pub starts_in_us: u64,
    /// Duration of the lease from its beginning, in microseconds.
    pub duration_us: u64,
}

/// The result of handling an [`AcceptorRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptorResponse {
    /// The reply to send.
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
    /// This acceptor's index among the acceptors.
    index: u64,
    state: AcceptorState,
    /// The previously accepted policy and its ballot. It is not durable, because after a restart it is unknown
    /// whether leases on it may still be granted.
    previous: Option<(PolicyId, Ballot)>,
    /// When the accepted policy takes effect: leases are granted on the previous policy until then and on the
    /// accepted one from then on.
    takes_effect_at: u64,
}

impl Acceptor {
    /// Creates an acceptor at time `now` with the state from its disk. The leases granted before a restart are
    /// unknown, but all of them end within one lease duration, so the accepted policy takes effect one lease duration
    /// after `now`.
    pub fn new(config: LeaseConfig, index: u64, state: AcceptorState, now: u64) -> Acceptor {
        Acceptor {
            config,
            index,
            state,
            previous: None,
            takes_effect_at: now + config.lease_us,
        }
    }

    /// Returns the durable state.
    pub fn state(&self) -> &AcceptorState {
        &self.state
    }

    /// Handles a request received at time `now`.
    pub fn handle(&mut self, now: u64, request: AcceptorRequest) -> AcceptorResponse {
        match request {
            AcceptorRequest::Prepare(ballot) if ballot >= self.state.promised => {
                self.prepare(ballot)
            }
            // The ballot's number becomes an incarnation, so it has to exceed the promised number whatever the
            // proposer's id is.
            AcceptorRequest::Join { ballot, acceptor }
                if ballot.number > self.state.promised.number && acceptor != self.index =>
            {
                self.promise_joining_acceptor(ballot, acceptor)
            }
            AcceptorRequest::Accept {
                ballot,
                policy,
                promised_by,
            } if ballot >= self.state.promised && !self.any_void(&promised_by) => {
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

    /// Promises a ballot. A ballot that is promised already is promised again, because the first reply may have been
    /// lost.
    fn prepare(&mut self, ballot: Ballot) -> AcceptorResponse {
        let is_new_promise = ballot > self.state.promised;
        self.state.promised = ballot;
        AcceptorResponse {
            reply: AcceptorReply::Promised(ballot, self.state.accepted),
            requires_sync: is_new_promise,
        }
    }

    /// Promises the ballot of a joining acceptor and records its new incarnation.
    fn promise_joining_acceptor(&mut self, ballot: Ballot, joining: u64) -> AcceptorResponse {
        self.state.promised = ballot;
        self.state.incarnations.insert(joining, ballot.number);
        AcceptorResponse {
            reply: AcceptorReply::Promised(ballot, self.state.accepted),
            requires_sync: true,
        }
    }

    /// Accepts a policy. A policy other than the accepted one is rejected until the accepted one takes effect.
    fn accept(&mut self, now: u64, ballot: Ballot, policy: Policy) -> AcceptorResponse {
        let accepted = self.state.accepted;
        let changes_policy = accepted.map(|(_, policy)| policy.id()) != Some(policy.id());
        // Leases on both the previous and the accepted policy may be outstanding: with a third policy there would be
        // no single time at which all of them have ended.
        if changes_policy && accepted.is_some() && now < self.takes_effect_at {
            let remaining_us = self.takes_effect_at - now;
            return AcceptorResponse::without_sync(AcceptorReply::Busy(remaining_us));
        }
        let changes_state = self.state.promised != ballot || accepted != Some((ballot, policy));
        self.state.promised = ballot;
        self.state.accepted = Some((ballot, policy));
        if changes_policy {
            self.previous = accepted.map(|(ballot, policy)| (policy.id(), ballot));
            self.takes_effect_at = now + self.config.lease_us;
        }
        AcceptorResponse {
            reply: AcceptorReply::Accepted(ballot),
            requires_sync: changes_state,
        }
    }

    /// Returns whether any of these incarnations is void: below the highest known incarnation of another acceptor, or
    /// different from this acceptor's own.
    fn any_void(&self, incarnations: &[AcceptorIncarnation]) -> bool {
        incarnations.iter().any(|claimed| {
            if claimed.acceptor == self.index {
                claimed.incarnation != self.state.incarnation
            } else {
                let latest = self.state.incarnations.get(&claimed.acceptor);
                latest.is_some_and(|latest| claimed.incarnation < *latest)
            }
        })
    }

    /// Returns the leases that are granted at `now`.
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
