//! Loss detection, with hysteresis: decides when an answer that lacks known instances may remove them, and when a zone
//! with an older serial is accepted.

use super::events::Output;
use super::query::BrowseRound;
use super::state::Browser;
use crate::dnssd::wire::Name;

impl Browser {
    /// Returns whether a round with this zone serial is used. A serial older than the newest one seen comes from a
    /// resolver with an outdated zone; it is accepted only after replies have had an older serial for
    /// `mass_loss_hold`.
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
                "dns-sd: zone serial went back from {newest} to {received}; ignoring the older zone until it has lasted for loss_hold_ms"
            );
            self.log_limiter.log(now_us, line, out);
        }
        let since_us = *self.serial.regressed_since_us.get_or_insert(now_us);
        let has_persisted = now_us - since_us >= self.config.mass_loss_hold.as_micros() as u64;
        if has_persisted {
            self.serial.newest = serial;
            self.serial.regressed_since_us = None;
            self.removals.must_confirm = true;
        }
        has_persisted
    }

    /// Drains the instances that a round lacks, once the confirmation time, if one is required, and the hold of a mass
    /// loss are over.
    pub(super) fn handle_missing_instances(
        &mut self,
        now_us: u64,
        round: &BrowseRound,
        out: &mut Vec<Output>,
    ) {
        let missing = self.missing_instances(round);
        self.removals
            .missing_since_us
            .retain(|name, _| !round.instance_names.contains(name));
        if missing.is_empty() {
            self.removals.mass_loss_since_us = None;
            self.removals.must_confirm = false;
            return;
        }
        if !round.is_authoritative && !self.config.trusts_cached_answers {
            let line = "dns-sd: replies lack the AA bit and cached_answers is false; ignoring missing instances";
            self.log_limiter.log_once(now_us, line, out);
            return;
        }
        let is_loss_held = self.hold_mass_loss(now_us, missing.len(), out);
        let must_confirm = self.removals.must_confirm || round.instance_names.is_empty();
        let confirmation_us = self.config.confirmation_time.as_micros() as u64;
        for name in missing {
            let missing_since = &mut self.removals.missing_since_us;
            let since_us = *missing_since.entry(name.clone()).or_insert(now_us);
            let is_confirmed = !must_confirm || now_us - since_us >= confirmation_us;
            if is_confirmed && !is_loss_held {
                self.drain_instance(now_us, &name);
                self.expect_pushed_change(now_us, &name);
            }
        }
    }

    /// Returns the instances that a round lacks, except those that push reported after the round began.
    fn missing_instances(&self, round: &BrowseRound) -> Vec<Name> {
        self.instances
            .iter()
            .filter(|(name, instance)| {
                instance.is_present()
                    && instance.pushed_at_us < round.started_at_us
                    && !round.instance_names.contains(*name)
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns whether removals are held back because more than `max_loss_share` of the instances are missing at once.
    /// The hold lasts `mass_loss_hold`.
    fn hold_mass_loss(&mut self, now_us: u64, missing_count: usize, out: &mut Vec<Output>) -> bool {
        let present_count = self.instances.values().filter(|i| i.is_present()).count();
        let is_mass_loss = missing_count as f64 > self.config.max_loss_share * present_count as f64;
        if !is_mass_loss {
            self.removals.mass_loss_since_us = None;
            return false;
        }
        if self.removals.mass_loss_since_us.is_none() {
            let hold_s = self.config.mass_loss_hold.as_secs_f64();
            let line = format!(
                "dns-sd: {missing_count} of {present_count} instances are missing at once; holding their removal for {hold_s} s"
            );
            self.log_limiter.log(now_us, line, out);
        }
        let since_us = *self.removals.mass_loss_since_us.get_or_insert(now_us);
        now_us - since_us < self.config.mass_loss_hold.as_micros() as u64
    }
}
