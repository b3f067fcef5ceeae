//! Lease renewal, the acceptors' grants and incarnations, and recovery of changes that the grants show to be
//! incomplete.

use super::interface::{NodeOutput, ServingState};
use super::member::{ConsensusNode, LeaseRequest};
use crate::acceptor::{AcceptorRequest, LeaseGrant};
use crate::message::{Message, ReportedState};
use rand_pcg::rand_core::RngCore;

/// Maximum number of lease requests whose answers are still accepted.
const MAX_LEASE_REQUESTS: usize = 16;
/// Minimum time for which a change has to be incomplete before an acceptor recovers it. Each acceptor adds a random
/// time of up to the same length, so that two acceptors rarely recover a change at the same time.
const MIN_RECOVERY_DELAY_US: u64 = 500_000;

impl ConsensusNode {
    /// Requests leases from all acceptors when the renewal is due; twice as often while the member is not serving.
    pub(super) fn renew_leases(&mut self, now: u64, out: &mut Vec<NodeOutput>) {
        if now < self.next_lease_request_at {
            return;
        }
        let interval_us = self.lease_holder.renewal_interval_us();
        let is_serving = matches!(self.serving_state(now), ServingState::Serving(..));
        self.next_lease_request_at = now
            + if is_serving {
                interval_us
            } else {
                interval_us / 2
            };
        let number = self.rng.next_u64();
        self.lease_requests.push_back(LeaseRequest {
            number,
            sent_at: now,
        });
        let excess = self.lease_requests.len().saturating_sub(MAX_LEASE_REQUESTS);
        self.lease_requests.drain(..excess);
        self.send_to_acceptors(number, &AcceptorRequest::Lease, out);
    }

    /// Records an acceptor's grant in reply to the lease request `number`. Grants in reply to unknown requests are
    /// ignored.
    pub(super) fn record_grant(
        &mut self,
        now: u64,
        from: &str,
        acceptor: u64,
        number: u64,
        grant: LeaseGrant,
    ) {
        let request = self.lease_requests.iter().find(|r| r.number == number);
        let Some(sent_at) = request.map(|request| request.sent_at) else {
            return;
        };
        if let Some(current) = &grant.current {
            let digest = current.policy.digest;
            if !self.documents.contains(&digest) {
                self.fetches.start(now, digest, from);
            }
        }
        self.lease_holder
            .record_grant(sent_at, now, acceptor, grant);
        self.invalidate_serving_state();
        self.accept_chosen_policy();
    }

    /// Sends the latest chosen policy to the local acceptor if the acceptor missed the proposal.
    fn accept_chosen_policy(&mut self) {
        let local = self.local_acceptor.as_ref();
        let Some(local) = local.filter(|local| local.is_active()) else {
            return;
        };
        let accepted = local.acceptor.state().accepted;
        let accepted_version = accepted.map_or(0, |(_, policy)| policy.version);
        let Some((ballot, policy)) = self.lease_holder.latest_chosen() else {
            return;
        };
        if policy.version > accepted_version {
            self.inbox.push_back(Message::Request {
                number: 0,
                last_reported: ReportedState::default(),
                request: AcceptorRequest::Accept {
                    ballot,
                    policy,
                    promised_by: Vec::new(),
                },
            });
        }
    }

    /// Records an acceptor's incarnation. A higher incarnation than the known one voids the leases and replies of the
    /// earlier one.
    pub(super) fn record_incarnation(&mut self, acceptor: u64, incarnation: u64) {
        if acceptor >= self.config.acceptors.len() as u64 {
            return;
        }
        let known = self.incarnations.entry(acceptor).or_default();
        if incarnation <= *known {
            return;
        }
        *known = incarnation;
        self.lease_holder.discard_acceptor(acceptor);
        for proposal in self.proposals.values_mut() {
            proposal.proposer.discard_acceptor(acceptor);
        }
        self.invalidate_serving_state();
    }

    /// Starts a proposal without a policy of its own, which completes an interrupted change, once the acceptors have
    /// diverged for long enough. Only members with an active acceptor do so.
    pub(super) fn recover_interrupted_change(&mut self, now: u64, out: &mut Vec<NodeOutput>) {
        let local = self.local_acceptor.as_ref();
        let is_active = local.is_some_and(|local| local.is_active());
        if !is_active || self.has_active_proposal() || !self.lease_holder.acceptors_diverge(now) {
            self.recovery_at = None;
            return;
        }
        // Drawn in each tick, but only the delay drawn when the divergence is first seen is used.
        let delay_us = MIN_RECOVERY_DELAY_US + self.rng.next_u64() % MIN_RECOVERY_DELAY_US;
        let recovery_at = *self.recovery_at.get_or_insert(now + delay_us);
        if now < recovery_at {
            return;
        }
        self.recovery_at = None;
        if self.start_proposal(now, None, &[]).is_ok() {
            out.push(NodeOutput::Log(
                "policy: finishing what was left half done".into(),
            ));
        }
    }
}
