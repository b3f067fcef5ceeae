//! Runs the failure detector, executes its actions, and relays probes on behalf of other members.

use super::output::Output;
use super::peer::last_received_at_us;
use super::send::DatagramContent;
use super::state::{Membership, RelayedPing};
use crate::failure_detector::DetectorAction;
use crate::record::{Liveness, MemberRecord};
use crate::wire::IndirectPing;

/// How long a probe on behalf of another member waits for its acknowledgement, and how long a peer that is not in the
/// member table is retained after its last datagram.
pub(super) const RELAYED_PING_TIMEOUT_US: u64 = 5_000_000;
/// Upper bound of the probes in flight on behalf of other members.
const MAX_RELAYED_PINGS: usize = 1_024;

impl Membership {
    /// Ticks the failure detector and executes its actions. Does nothing while received datagrams may date from the
    /// last pause of this process.
    pub(super) fn run_failure_detector(&mut self, now_us: u64, outputs: &mut Vec<Output>) {
        if self.clock.is_catching_up() {
            return;
        }
        let others: Vec<&str> = self
            .table
            .present_others()
            .map(|record| record.name.as_str())
            .collect();
        let mut actions = Vec::new();
        self.detector.tick(
            self.clock.running_us(),
            self.config.scaled_update_interval_us(others.len()),
            &others,
            |name| last_received_at_us(&self.peers, name),
            &mut actions,
        );
        for action in actions {
            self.execute_detector_action(now_us, action, outputs);
        }
    }

    /// Executes one action of the failure detector.
    fn execute_detector_action(
        &mut self,
        now_us: u64,
        action: DetectorAction,
        outputs: &mut Vec<Output>,
    ) {
        match action {
            DetectorAction::Ping { target, ping } => {
                self.send(now_us, &target, DatagramContent::ping(ping), outputs);
            }
            DetectorAction::IndirectPing { via, target, ping } => {
                for name in via {
                    let request = IndirectPing {
                        target: target.clone(),
                        ping,
                    };
                    let content = DatagramContent {
                        indirect_pings: vec![request],
                        ..DatagramContent::default()
                    };
                    self.send(now_us, &name, content, outputs);
                }
            }
            DetectorAction::Suspect(name) => self.suspect(now_us, &name, outputs),
            DetectorAction::DeclareDead(name) => self.declare_dead(now_us, &name, outputs),
            DetectorAction::NotifySuspect(name) => {
                self.send(now_us, &name, DatagramContent::receiver_record(), outputs);
            }
        }
    }

    /// Marks a present member as suspect and adds this member to its suspectors.
    fn suspect(&mut self, now_us: u64, name: &str, outputs: &mut Vec<Output>) {
        let present = self.table.record(name).filter(|r| r.is_present());
        let Some(incarnation) = present.map(|record| record.incarnation) else {
            return;
        };
        if let Some(change) = self.table.set_liveness(now_us, name, Liveness::Suspect) {
            self.handle_change(now_us, &change, outputs);
        }
        self.add_own_suspicion(name);
        self.record_suspicion(name, incarnation);
    }

    /// Declares a member dead if it is a suspect.
    fn declare_dead(&mut self, now_us: u64, name: &str, outputs: &mut Vec<Output>) {
        let is_suspect = self
            .table
            .record(name)
            .is_some_and(|record| record.liveness == Liveness::Suspect);
        if !is_suspect {
            return;
        }
        if let Some(change) = self.table.set_liveness(now_us, name, Liveness::Dead) {
            self.handle_change(now_us, &change, outputs);
            // A member that is running after all refutes this record.
            self.send(now_us, name, DatagramContent::receiver_record(), outputs);
        }
    }

    /// Probes a member on behalf of `requester`.
    pub(super) fn relay_ping(
        &mut self,
        now_us: u64,
        requester: &str,
        request: &IndirectPing,
        outputs: &mut Vec<Output>,
    ) {
        let target = self.table.record(&request.target);
        let is_target_present = target.is_some_and(MemberRecord::is_present);
        if self.relayed_pings.len() >= MAX_RELAYED_PINGS || !is_target_present {
            return;
        }
        let ping = self.detector.next_ping();
        let relayed = RelayedPing {
            requester: requester.into(),
            requester_ping: request.ping,
            expires_at_us: self.clock.running_us() + RELAYED_PING_TIMEOUT_US,
        };
        self.relayed_pings.insert(ping, relayed);
        self.send(
            now_us,
            &request.target,
            DatagramContent::ping(ping),
            outputs,
        );
    }

    /// Handles the acknowledgement of the probe numbered `ping`, and forwards it if the probe was sent on behalf of
    /// another member.
    pub(super) fn handle_ack(&mut self, now_us: u64, ping: u32, outputs: &mut Vec<Output>) {
        self.detector.acknowledge(ping);
        if let Some(relayed) = self.relayed_pings.remove(&ping) {
            let content = DatagramContent {
                acks: vec![relayed.requester_ping],
                ..DatagramContent::default()
            };
            self.send(now_us, &relayed.requester, content, outputs);
        }
    }
}
