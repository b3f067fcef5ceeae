//! A state of the model, and the guarantees of `docs/policy-changes.md` (I1 to I5) that have to hold in each state.

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

/// A state of the model: the processes, their disks, the network, and what was observed so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: u64,
    pub acceptors: Vec<Option<Acceptor>>,
    pub disks: Vec<AcceptorState>,
    pub lease_holders: Vec<LeaseHolder>,
    pub proposers: Vec<Proposer>,
    pub in_flight: BTreeSet<Message>,
    /// The pairs of gateway and acceptor between which leases were requested since the last tick; one request per
    /// tick is enough.
    pub lease_requests: BTreeSet<(usize, usize)>,
    pub kills: u8,
    /// The highest version that any gateway held.
    pub highest_version: u64,
    /// The policies that any gateway held.
    pub held: BTreeSet<PolicyId>,
    /// Policies that were reported to their proposers as in force, by version.
    pub in_force: BTreeMap<u64, PolicyId>,
    /// Policies that were reported to their proposers as rejected or superseded.
    pub rejected: BTreeSet<PolicyId>,
    /// The first violation of a guarantee.
    pub violation: Option<&'static str>,
}

impl State {
    /// Records the violation unless `holds`.
    fn check(&mut self, holds: bool, violation: &'static str) {
        if !holds {
            self.violation.get_or_insert(violation);
        }
    }

    /// Carries out the outputs of a proposer.
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

    /// Checks I3, I4 and I5 for an outcome that was reported to a proposer.
    fn check_outcome(&mut self, id: PolicyId, outcome: &ProposalOutcome) {
        match outcome {
            ProposalOutcome::InForce => {
                let other = self.in_force.insert(id.version, id);
                self.check(
                    other.is_none_or(|other| other == id),
                    "I5: two policies of the same version are in force",
                );
                let is_rejected = self.rejected.contains(&id);
                self.check(
                    !is_rejected,
                    "I3: a policy reported as rejected is in force",
                );
            }
            ProposalOutcome::Rejected(_) | ProposalOutcome::Superseded(_) => {
                let is_in_force = self.in_force.values().any(|in_force| *in_force == id);
                let is_held = self.held.contains(&id);
                self.check(
                    !is_held && !is_in_force,
                    "I3, I4: a policy that is held or in force is reported as rejected",
                );
                self.rejected.insert(id);
            }
            ProposalOutcome::Unknown => {}
        }
    }

    /// Returns an acceptor's reply to a lease request that a gateway sends now; `None` if the acceptor is not running.
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

    /// Checks I1 to I5 for the policies that the gateways hold.
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
        self.check(is_latest, "I1, I2: an earlier version is held");
        let is_rejected = self.rejected.contains(&id);
        self.check(!is_rejected, "I3: a policy reported as rejected is held");
        let is_fork = self
            .held
            .iter()
            .any(|held| held.version == id.version && *held != id);
        self.check(!is_fork, "I5: two policies of the same version are held");
        let reported_in_force = self.in_force.get(&id.version);
        let is_other = reported_in_force.is_some_and(|in_force| *in_force != id);
        self.check(
            !is_other,
            "I4: the held policy is not the one reported as in force",
        );
        self.held.insert(id);
    }
}
