//! Injection of random faults and proposals, and the end of all faults.

use crate::simulation::{policy, Simulation, ACCEPTORS, GATEWAYS};
use frosthatch_policy_consensus::Policy;

impl Simulation {
    /// Injects a random fault, the end of one, a proposal, or nothing.
    pub fn inject_random_fault(&mut self) {
        match self.random.below(60) {
            0 => {
                let index = self.random_acceptor();
                self.acceptors[index] = None;
            }
            1 => self.acceptors.fill(None),
            2..10 => {
                let index = self.random_acceptor();
                if self.acceptors[index].is_none() {
                    self.start_acceptor(index);
                }
            }
            10 => {
                let index = self.random_gateway();
                self.gateways[index].is_paused = true;
            }
            11..16 => {
                let index = self.random_gateway();
                self.gateways[index].is_paused = false;
            }
            16 => {
                let index = self.random_gateway();
                self.gateways[index].restart();
            }
            17..20 => self.propose_successor(),
            _ => {}
        }
    }

    fn random_acceptor(&mut self) -> usize {
        self.random.below(ACCEPTORS as u64) as usize
    }

    fn random_gateway(&mut self) -> usize {
        self.random.below(GATEWAYS as u64) as usize
    }

    /// Proposes a successor of a policy that some acceptor has accepted, which is not always the latest one.
    fn propose_successor(&mut self) {
        let accepted: Vec<Policy> = self
            .disks
            .iter()
            .filter_map(|state| state.accepted)
            .map(|(_, policy)| policy)
            .collect();
        let choice = self.random.below(accepted.len() as u64) as usize;
        let parent = accepted.get(choice).copied().unwrap_or_default();
        // The salt differs between proposers, so that no two of them propose the same policy.
        let salt = self.proposers.len() as u8;
        self.propose(Some(policy(parent.version + 1, salt, parent.digest)));
    }

    /// Ends all faults: starts all acceptors and resumes all gateways.
    pub fn heal(&mut self) {
        self.has_faults = false;
        for index in 0..ACCEPTORS {
            if self.acceptors[index].is_none() {
                self.start_acceptor(index);
            }
        }
        for gateway in &mut self.gateways {
            gateway.is_paused = false;
        }
    }
}
