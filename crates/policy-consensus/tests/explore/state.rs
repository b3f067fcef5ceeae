//! One state of the simulation, and the guarantees that have to hold in it.

use frosthatch_policy_consensus::acceptor::{
    Acceptor, AcceptorReply, AcceptorRequest, AcceptorState, LeaseGrant,
};
use frosthatch_policy_consensus::lease_holder::LeaseHolder;
use frosthatch_policy_consensus::proposer::{ProposalOutcome, Proposer, ProposerOutput};
use frosthatch_policy_consensus::{Policy, PolicyId};
use std::collections::{BTreeMap, BTreeSet};

pub const ACCEPTORS: usize = 3;

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    Request {
        proposer: usize,
        acceptor: usize,
        request: AcceptorRequest,
    },
    Reply {
        proposer: usize,
        acceptor: usize,
        reply: AcceptorReply,
    },
    Grant {
        gateway: usize,
        acceptor: usize,
        requested_at: u64,
        grant: LeaseGrant,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: u64,
    pub acceptors: Vec<Option<Acceptor>>,
    pub disks: Vec<AcceptorState>,
    pub lease_holders: Vec<LeaseHolder>,
    pub proposers: Vec<Proposer>,
    pub in_flight: BTreeSet<Message>,
    /// Which gateway requested a lease from which acceptor since the last step of time: once is enough.
    pub lease_requests: BTreeSet<(usize, usize)>,
    pub kills: u8,
    pub highest_version: u64,
    pub held: BTreeSet<PolicyId>,
    pub in_force: BTreeMap<u64, PolicyId>,
    /// Policies that were reported to their proposers as never to be in force.
    pub rejected: BTreeSet<PolicyId>,
    /// The first guarantee that was broken.
    pub violation: Option<&'static str>,
}

impl State {
    fn check(&mut self, holds: bool, violation: &'static str) {
        if !holds {
            self.violation.get_or_insert(violation);
        }
    }

    /// Carries out what a proposer wants done.
    pub fn carry_out(&mut self, proposer: usize, outputs: Vec<ProposerOutput>) {
        for output in outputs {
            match output {
                ProposerOutput::CheckMembers(_) => {}
                ProposerOutput::SendToAcceptors(request) => {
                    let messages = (0..ACCEPTORS).map(|acceptor| Message::Request {
                        proposer,
                        acceptor,
                        request: request.clone(),
                    });
                    self.in_flight.extend(messages);
                }
                ProposerOutput::Finished(outcome) => {
                    let proposed = self.proposers[proposer].proposed_policy();
                    if let Some(id) = proposed.map(Policy::id) {
                        self.check_outcome(id, &outcome);
                    }
                }
            }
        }
    }

    /// I3, I4, I5: the outcome that was reported to a proposer.
    fn check_outcome(&mut self, id: PolicyId, outcome: &ProposalOutcome) {
        match outcome {
            ProposalOutcome::InForce => {
                let other = self.in_force.insert(id.version, id);
                self.check(
                    other.is_none_or(|other| other == id),
                    "I5: two of one version in force",
                );
                let is_rejected = self.rejected.contains(&id);
                self.check(
                    !is_rejected,
                    "I3: one that was told to be nowhere is in force",
                );
            }
            ProposalOutcome::Rejected(_) | ProposalOutcome::Superseded(_) => {
                let is_in_force = self.in_force.values().any(|in_force| *in_force == id);
                let is_held = self.held.contains(&id);
                self.check(
                    !is_held && !is_in_force,
                    "I3, I4: one that holds was told to be nowhere",
                );
                self.rejected.insert(id);
            }
            ProposalOutcome::Unknown => {}
        }
    }

    /// An acceptor's answer to a lease request that a gateway sends now.
    pub fn request_lease(&mut self, gateway: usize, acceptor: usize) -> Option<Message> {
        let running = self.acceptors[acceptor].as_mut()?;
        let reply = running.handle(self.now, AcceptorRequest::Lease).reply;
        match reply {
            AcceptorReply::Lease(grant) => Some(Message::Grant {
                gateway,
                acceptor,
                requested_at: self.now,
                grant,
            }),
            _ => None,
        }
    }

    /// I1 to I5: what the gateways hold.
    pub fn check_held_policies(&mut self) {
        let now = self.now;
        let held: Vec<PolicyId> = self
            .lease_holders
            .iter_mut()
            .filter_map(|lease_holder| lease_holder.advance_to_held_policy(now))
            .collect();
        let highest_held = held.iter().map(|id| id.version).max();
        self.highest_version = highest_held.unwrap_or(0).max(self.highest_version);
        for id in held {
            self.check_held_policy(id);
        }
    }

    fn check_held_policy(&mut self, id: PolicyId) {
        let is_latest = id.version >= self.highest_version;
        self.check(is_latest, "I1, I2: let in under an earlier version");
        let is_rejected = self.rejected.contains(&id);
        self.check(!is_rejected, "I3: one that was told to be nowhere holds");
        let is_fork = self
            .held
            .iter()
            .any(|held| held.version == id.version && *held != id);
        self.check(!is_fork, "I5: two of one version hold");
        let reported_in_force = self.in_force.get(&id.version);
        let is_other = reported_in_force.is_some_and(|in_force| *in_force != id);
        self.check(!is_other, "I4: another holds than was told as in force");
        self.held.insert(id);
    }
}
