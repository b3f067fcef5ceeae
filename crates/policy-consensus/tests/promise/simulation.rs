//! The simulation: acceptors, gateways and proposers with their clocks and disks, advanced step by step.

use crate::common::{Clock, SeededRandom};
use crate::invariants::Observed;
use crate::network::{InFlight, Message};
use frosthatch_policy_consensus::acceptor::{Acceptor, AcceptorState};
use frosthatch_policy_consensus::lease_holder::LeaseHolder;
use frosthatch_policy_consensus::proposer::{Proposer, ProposerConfig, ProposerOutput};
use frosthatch_policy_consensus::{LeaseConfig, Policy, PolicyId};
use std::collections::BTreeSet;

const LEASE_CONFIG: LeaseConfig = LeaseConfig {
    lease_us: 1_000_000,
    max_drift_permille: 10,
};
pub const ACCEPTORS: usize = 3;
pub const GATEWAYS: usize = 3;
const STEP_US: u64 = 20_000;

/// A gateway, of which only the lease holder is simulated.
pub struct Gateway {
    pub lease_holder: LeaseHolder,
    /// Number of restarts so far; a process ignores replies to requests of an earlier one.
    pub start: u64,
    pub is_paused: bool,
    /// When leases were last requested, by the gateway's clock.
    requested_at: u64,
}

impl Gateway {
    fn new() -> Gateway {
        Gateway {
            lease_holder: LeaseHolder::new(LEASE_CONFIG, ACCEPTORS),
            start: 0,
            is_paused: false,
            requested_at: 0,
        }
    }

    /// Restarts the process, without any leases.
    pub fn restart(&mut self) {
        self.lease_holder = LeaseHolder::new(LEASE_CONFIG, ACCEPTORS);
        self.start += 1;
    }
}

pub struct Simulation {
    pub now: u64,
    pub random: SeededRandom,
    pub acceptors: Vec<Option<Acceptor>>,
    pub disks: Vec<AcceptorState>,
    pub gateways: Vec<Gateway>,
    pub proposers: Vec<Proposer>,
    pub in_flight: Vec<InFlight>,
    /// The clocks of the acceptors, then those of the gateways.
    clocks: Vec<Clock>,
    pub observed: Observed,
    pub has_faults: bool,
}

/// Returns a policy; those of the same version differ by their salt.
pub fn policy(version: u64, salt: u8, parent: [u8; 32]) -> Policy {
    let mut digest = [version as u8; 32];
    digest[0] = salt;
    Policy {
        version,
        digest,
        parent,
    }
}

impl Simulation {
    pub fn new(seed: u64, has_faults: bool) -> Simulation {
        let mut simulation = Simulation {
            now: 1_000_000,
            random: SeededRandom::new(seed),
            acceptors: Vec::new(),
            disks: vec![AcceptorState::default(); ACCEPTORS],
            gateways: (0..GATEWAYS).map(|_| Gateway::new()).collect(),
            proposers: Vec::new(),
            in_flight: Vec::new(),
            clocks: Vec::new(),
            observed: Observed::default(),
            has_faults,
        };
        for _ in 0..ACCEPTORS + GATEWAYS {
            let clock = simulation.random.clock();
            simulation.clocks.push(clock);
        }
        for index in 0..ACCEPTORS {
            simulation.acceptors.push(None);
            simulation.start_acceptor(index);
        }
        simulation
    }

    pub fn acceptor_time(&self, index: usize) -> u64 {
        self.clocks[index].at(self.now)
    }

    pub fn gateway_time(&self, index: usize) -> u64 {
        self.clocks[ACCEPTORS + index].at(self.now)
    }

    pub fn start_acceptor(&mut self, index: usize) {
        let now = self.acceptor_time(index);
        let state = self.disks[index].clone();
        let acceptor = Acceptor::new(LEASE_CONFIG, index as u64, state, now);
        self.acceptors[index] = Some(acceptor);
    }

    /// Starts a proposer; without a policy it only completes an interrupted change.
    pub fn propose(&mut self, policy: Option<Policy>) {
        let config = ProposerConfig {
            id: self.proposers.len() as u64 + 1,
            acceptors: ACCEPTORS,
            timeout_us: 4_000_000,
            retry_interval_us: 150_000,
        };
        let proposer = Proposer::new(self.now, config, 0, policy, BTreeSet::new());
        self.proposers.push(proposer);
    }

    /// Advances time by [`STEP_US`], delivers the due messages, requests leases, ticks the proposers and checks the
    /// held policies.
    pub fn step(&mut self) {
        self.now += STEP_US;
        self.deliver_due_messages();
        for index in 0..GATEWAYS {
            self.request_leases(index);
        }
        for index in 0..self.proposers.len() {
            let mut outputs = Vec::new();
            self.proposers[index].tick(self.now, &mut outputs);
            self.carry_out(index, outputs);
        }
        self.observe_held_policies();
    }

    pub fn run(&mut self, us: u64) {
        for _ in 0..us / STEP_US {
            self.step();
        }
    }

    fn request_leases(&mut self, index: usize) {
        let now = self.gateway_time(index);
        let gateway = &mut self.gateways[index];
        let renew_at = gateway.requested_at + gateway.lease_holder.renewal_interval_us();
        if gateway.is_paused || now < renew_at {
            return;
        }
        gateway.requested_at = now;
        let start = gateway.start;
        for acceptor in 0..ACCEPTORS {
            self.send(&Message::LeaseRequest {
                gateway: index,
                start,
                acceptor,
                requested_at: now,
            });
        }
    }

    /// Carries out the outputs of a proposer.
    pub fn carry_out(&mut self, proposer: usize, outputs: Vec<ProposerOutput>) {
        for output in outputs {
            match output {
                ProposerOutput::CheckMembers(_) => {}
                ProposerOutput::SendToAcceptors(request) => {
                    for acceptor in 0..ACCEPTORS {
                        self.send(&Message::ToAcceptor {
                            proposer,
                            acceptor,
                            request: request.clone(),
                        });
                    }
                }
                ProposerOutput::Finished(outcome) => {
                    let proposed = self.proposers[proposer].proposed_policy();
                    if let Some(policy) = proposed.copied() {
                        self.observed.check_outcome(policy, &outcome);
                    }
                }
            }
        }
    }

    /// Observes and checks the policy that each running gateway holds, as a request to it would.
    fn observe_held_policies(&mut self) {
        let running_acceptors = self.acceptors.iter().flatten().count();
        let has_majority = running_acceptors * 2 > ACCEPTORS;
        for index in 0..GATEWAYS {
            let now = self.gateway_time(index);
            let gateway = &mut self.gateways[index];
            if gateway.is_paused {
                continue;
            }
            match gateway.lease_holder.advance_to_held_policy(now) {
                Some(id) => self.observed.check_held_policy(index, id),
                None if has_majority => self.observed.steps_without_lease += 1,
                None => {}
            }
        }
    }

    /// Returns the policy that each gateway holds now.
    pub fn held_policies(&mut self) -> Vec<Option<PolicyId>> {
        let mut held = Vec::new();
        for index in 0..GATEWAYS {
            let now = self.gateway_time(index);
            let lease_holder = &mut self.gateways[index].lease_holder;
            held.push(lease_holder.advance_to_held_policy(now));
        }
        held
    }
}
