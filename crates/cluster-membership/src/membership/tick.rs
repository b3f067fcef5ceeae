//! The periodic work of a member.

use super::output::Output;
use super::peer::last_received_at_us;
use super::probing::RELAYED_PING_TIMEOUT_US;
use super::send::DatagramContent;
use super::state::Membership;
use crate::record::LifecyclePhase;
use crate::wire::MAX_WANTED_GATEWAYS;

/// Time without a datagram from a member after which the other members are requested to relay its usage.
const SILENCE_TIMEOUT_US: u64 = 1_000_000;
/// Minimum of the limit of updates per tick.
const MIN_UPDATES_PER_TICK: u64 = 8;

impl Membership {
    /// Does the periodic work that is due. The driver calls this at every tick.
    pub fn tick(&mut self, now_us: u64, outputs: &mut Vec<Output>) {
        if self.clock.tick(now_us) {
            self.detector.resume_after_pause(self.clock.running_us());
        }
        self.forget_gone(now_us, outputs);
        self.report_absent_gateways(outputs);
        self.report_usage(now_us, outputs);
        if self.is_superseded {
            return;
        }
        if self.has_left {
            self.leave(now_us, outputs);
            return;
        }
        self.update_silent_gateways();
        self.contact_seeds(now_us, outputs);
        self.run_failure_detector(now_us, outputs);
        self.start_table_comparison(now_us, outputs);
        self.send_updates(now_us, outputs);
        self.log_suppressed(now_us, outputs);
    }

    /// Removes members that have been gone for `forget_us`, expired relayed probes, and peers that are not in the
    /// member table and sent nothing for [`RELAYED_PING_TIMEOUT_US`].
    fn forget_gone(&mut self, now_us: u64, outputs: &mut Vec<Output>) {
        for record in self.table.forget_gone(now_us) {
            self.log(
                now_us,
                format!("member {}: forgotten", record.name),
                outputs,
            );
        }
        let running_us = self.clock.running_us();
        self.relayed_pings
            .retain(|_, relayed| relayed.expires_at_us > running_us);
        let table = &self.table;
        self.peers.retain(|name, peer| {
            let is_member = table.record(name).is_some();
            is_member || running_us < peer.last_datagram_at_us + RELAYED_PING_TIMEOUT_US
        });
    }

    /// Reports the gateway numbers that no known member has, other than members that have left, if these numbers have
    /// changed.
    fn report_absent_gateways(&mut self, outputs: &mut Vec<Output>) {
        if !self.has_joined {
            return;
        }
        let mut is_used = vec![false; usize::from(self.config.gateway_count)];
        for record in self.table.records() {
            if record.phase == LifecyclePhase::Left {
                continue;
            }
            if let Some(used) = is_used.get_mut(usize::from(record.number)) {
                *used = true;
            }
        }
        let absent: Vec<u32> = (0..)
            .zip(is_used)
            .filter(|(_, used)| !used)
            .map(|(number, _)| number)
            .collect();
        if absent != self.absent_gateways {
            self.absent_gateways.clone_from(&absent);
            outputs.push(Output::GatewaysAbsent(absent));
        }
    }

    /// Reports the usage received since the last tick, if there is any.
    fn report_usage(&mut self, now_us: u64, outputs: &mut Vec<Output>) {
        let reported = self.usage.tick(now_us);
        if reported.is_empty() && self.fully_reported.is_empty() {
            return;
        }
        let complete_gateways = std::mem::take(&mut self.fully_reported);
        outputs.push(Output::UsageReported {
            complete_gateways: complete_gateways.into_iter().collect(),
            uses: reported.uses,
            earlier_uses: reported.earlier_uses,
        });
    }

    /// Determines the gateways whose usage the other members are requested to relay.
    fn update_silent_gateways(&mut self) {
        let running_us = self.clock.running_us();
        let is_silent = |name: &str| {
            let last_received_at_us = last_received_at_us(&self.peers, name);
            last_received_at_us == 0
                || running_us.saturating_sub(last_received_at_us) >= SILENCE_TIMEOUT_US
        };
        self.silent_gateways = self
            .table
            .present_others()
            .filter(|record| is_silent(&record.name))
            .map(|record| record.number)
            .take(MAX_WANTED_GATEWAYS)
            .collect();
    }

    /// Sends updates to the members for which one is due, in the order of the due times, so that all members share an
    /// insufficient budget.
    fn send_updates(&mut self, now_us: u64, outputs: &mut Vec<Output>) {
        let due_at_us = |name: &str| self.peers.get(name).map_or(0, |p| p.next_update_at_us);
        let mut due: Vec<(u64, String)> = self
            .table
            .present_others()
            .map(|record| (due_at_us(&record.name), record.name.clone()))
            .filter(|(at_us, _)| *at_us <= now_us)
            .collect();
        due.sort_unstable();
        due.truncate(self.max_updates_per_tick());
        for (_, name) in due {
            if !self.byte_budget.has_tokens(now_us) || !self.datagram_budget.has_tokens(now_us) {
                return;
            }
            self.send(now_us, &name, DatagramContent::default(), outputs);
        }
    }

    /// Returns the maximum number of updates per tick, with one tick per `update_interval_us`: an equal share of all
    /// updates plus a quarter. Composing an update takes some 20 us, during which requests wait.
    fn max_updates_per_tick(&self) -> usize {
        let others = self.table.len().saturating_sub(1);
        let interval_us = self.config.scaled_update_interval_us(others);
        let per_tick = others as u64 * self.config.update_interval_us / interval_us;
        (per_tick + per_tick / 4).max(MIN_UPDATES_PER_TICK) as usize
    }

    /// Logs a flood of invalid datagrams, and the number of suppressed log lines.
    fn log_suppressed(&mut self, now_us: u64, outputs: &mut Vec<Output>) {
        if self.invalid_seals.take_unreported_flood() {
            let text = "fleet: flood of datagrams with an invalid seal; those above the rate limit are dropped unverified";
            outputs.push(Output::Log(text.into()));
        }
        if let Some(suppressed) = self.log_limiter.take_suppressed(now_us) {
            self.log(
                now_us,
                format!("fleet: {suppressed} log lines suppressed by the rate limit"),
                outputs,
            );
        }
    }
}
