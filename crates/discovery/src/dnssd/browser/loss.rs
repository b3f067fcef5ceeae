//! Detection of losses, with hysteresis: when an answer that lacks instances is trusted to remove them, and when a zone
//! that seems to have gone back in time is trusted at all.

use super::events::Output;
use super::query::BrowseRound;
use super::state::Browser;
use crate::dnssd::wire::Name;

impl Browser {
    /// Whether a round with this serial is used. A zone older than the newest one seen comes from a resolver that is
    /// behind; it is accepted only once it has stayed so for `loss_hold`.
    pub(super) fn accept_serial(
        &mut self,
        now_us: u64,
        serial: Option<u32>,
        out: &mut Vec<Output>,
    ) -> bool {
        let (Some(received), Some(newest)) = (serial, self.serial.newest) else {
            self.serial.newest = self.serial.newest.or(serial);
            return true;
        };
        let is_regression = (received.wrapping_sub(newest) as i32) < 0;
        if !is_regression {
            self.serial.newest = serial;
            self.serial.regressed_since_us = None;
            return true;
        }
        if self.serial.regressed_since_us.is_none() {
            let line = format!(
                "dns-sd: the zone's serial went back from {newest} to {received}; not believed"
            );
            self.log.log(now_us, line, out);
        }
        let since_us = *self.serial.regressed_since_us.get_or_insert(now_us);
        let is_lasting = now_us - since_us >= self.config.mass_loss_hold.as_micros() as u64;
        if is_lasting {
            self.serial.newest = serial;
            self.serial.regressed_since_us = None;
            self.removals.must_confirm = true;
        }
        is_lasting
    }

    /// Removes the instances that the round lacks, as far as the round is trusted to do so.
    pub(super) fn handle_missing_instances(
        &mut self,
        now_us: u64,
        round: &BrowseRound,
        out: &mut Vec<Output>,
    ) {
        let missing = self.missing_instances(round);
        self.removals
            .missing_since_us
            .retain(|name, _| !round.names.contains(name));
        if missing.is_empty() {
            self.removals.mass_loss_since_us = None;
            self.removals.must_confirm = false;
            return;
        }
        if !round.is_authoritative && !self.config.trusts_cached_answers {
            let line = "dns-sd: answers are not authoritative; nothing is removed by them";
            self.log.log_once(now_us, line, out);
            return;
        }
        let is_held = self.hold_mass_loss(now_us, missing.len(), out);
        let must_confirm = self.removals.must_confirm || round.names.is_empty();
        let confirm_us = self.config.confirmation_time.as_micros() as u64;
        for name in missing {
            let missing_since = &mut self.removals.missing_since_us;
            let since_us = *missing_since.entry(name.clone()).or_insert(now_us);
            let is_confirmed = !must_confirm || now_us - since_us >= confirm_us;
            if is_confirmed && !is_held {
                self.drain_instance(now_us, &name);
                self.expect_push_of(now_us, &name);
            }
        }
    }

    /// Instances that the round lacks. Those that push reported after the round began do not count.
    fn missing_instances(&self, round: &BrowseRound) -> Vec<Name> {
        self.instances
            .iter()
            .filter(|(name, instance)| {
                instance.is_present()
                    && instance.pushed_at_us < round.started_at_us
                    && !round.names.contains(*name)
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Whether removals wait because more than `loss_share` of the instances are missing at once.
    fn hold_mass_loss(&mut self, now_us: u64, missing: usize, out: &mut Vec<Output>) -> bool {
        let present = self.instances.values().filter(|i| i.is_present()).count();
        let is_mass_loss = missing as f64 > self.config.max_loss_share * present as f64;
        if !is_mass_loss {
            self.removals.mass_loss_since_us = None;
            return false;
        }
        if self.removals.mass_loss_since_us.is_none() {
            let hold_s = self.config.mass_loss_hold.as_secs_f64();
            let line = format!(
                "dns-sd: {missing} of {present} instances are missing at once; held for {hold_s} s"
            );
            self.log.log(now_us, line, out);
        }
        let since_us = *self.removals.mass_loss_since_us.get_or_insert(now_us);
        now_us - since_us < self.config.mass_loss_hold.as_micros() as u64
    }
}
