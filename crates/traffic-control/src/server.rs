//! What is known of one server: where it stands, how warm it must be by now, what is out there, and what its answers
//! were like. Knowledge only; which server a request goes to is decided elsewhere.

use crate::interface::{Health, Micros, SlowStart};
use std::collections::BTreeMap;

#[derive(Default)]
pub(crate) struct Server {
    /// Zone and cell.
    pub group: (String, u64),
    pub share: f64,
    /// Of its name, as all gateways have it.
    pub hash_key: u64,
    pub started_us: Micros,
    pub health: Health,
    pub pool: u8,
    pub in_flight: u32,
    /// Latency beside the fleet's usual for the class; 1 is usual.
    pub slowness_ratio: f64,
    pub error_rate: f64,
    pub assessed_at: Micros,
    /// Sends it may get while cold, as of when.
    pub slow_start_credit: (f64, Micros),
}

impl Server {
    /// Share of its capacity at least: evenly from the stated start.
    pub fn warmth(&self, cold: &SlowStart, now: Micros) -> f64 {
        let age = now.saturating_sub(self.started_us) as f64 / cold.duration_us.max(1) as f64;
        let share = if self.started_us == 0 || cold.duration_us == 0 {
            1.0
        } else {
            age.min(1.0)
        };
        cold.initial_share + (1.0 - cold.initial_share) * share
    }

    /// Slowness and errors now: what is thought of a silent server fades, so that it is tried again. It fades to what is
    /// thought of its zone.
    pub fn decayed_assessment(&self, now: Micros, forget_us: f64, zone: f64) -> (f64, f64) {
        let silent = now.saturating_sub(self.assessed_at) as f64;
        let keep = 0.5f64.powf(silent / forget_us);
        // That a server was well some time ago says little once others of its zone fail.
        let well = if zone > self.error_rate {
            0.5f64.powf(silent / HEALTHY_HALF_LIFE_US)
        } else {
            keep
        };
        (
            1.0 + (self.slowness_ratio - 1.0) * keep,
            zone + (self.error_rate - zone) * well,
        )
    }

    /// What the others are told: the part that failed of what was sent there from here when it was judged last, or as much for its
    /// slowness.
    pub fn reported_error_rate(&self) -> f64 {
        self.error_rate
            .max(1.0 - MAX_UNREPORTED_SLOWNESS / self.slowness_ratio.max(MAX_UNREPORTED_SLOWNESS))
    }

    /// Another outcome, with its weight beside all before it.
    pub fn record_outcome(
        &mut self,
        now: Micros,
        forget_us: f64,
        weight: f64,
        slow: f64,
        failed: f64,
        zone: f64,
    ) {
        let (was_slow, errors) = self.decayed_assessment(now, forget_us, zone);
        self.slowness_ratio = was_slow + weight * (slow - was_slow);
        self.error_rate = errors + weight * (failed - errors);
        self.assessed_at = now;
    }
}

/// Times the usual that no server is told of for.
const MAX_UNREPORTED_SLOWNESS: f64 = 4.0;
/// That a server is well is half forgotten in this while its zone is not.
const HEALTHY_HALF_LIFE_US: f64 = 300_000.0;
/// Weight of one outcome in what is thought of a zone: about the last five.
const ZONE_WEIGHT: f64 = 0.2;
/// What is thought of a silent zone halves in this.
const ZONE_HALF_LIFE_US: f64 = 4_000_000.0;

/// How many attempts failed of late, by zone. Where a gateway meets each server rarely, that a zone is gone shows in all of
/// its servers together long before it shows in one.
#[derive(Default)]
pub(crate) struct ZoneFailures(BTreeMap<String, (f64, Micros)>);

impl ZoneFailures {
    /// As they are now: few zones fade once, not for each of their servers.
    pub fn at(&self, now: Micros) -> ZoneErrors<'_> {
        let faded = |(errors, at): (f64, Micros)| {
            errors * 0.5f64.powf(now.saturating_sub(at) as f64 / ZONE_HALF_LIFE_US)
        };
        ZoneErrors(
            self.0
                .iter()
                .map(|(zone, &judged)| (zone.as_str(), faded(judged)))
                .collect(),
        )
    }

    /// Another outcome.
    pub fn judge(&mut self, zone: &str, now: Micros, failed: f64) {
        let errors = self.at(now).error_rate(zone);
        let z = self.0.entry(zone.to_string()).or_default();
        *z = (errors + ZONE_WEIGHT * (failed - errors), now);
    }

    /// Forgets zones that are not listed any more.
    pub fn retain_listed(&mut self, listed: impl Fn(&str) -> bool) {
        self.0.retain(|zone, _| listed(zone));
    }
}

/// What is thought of the zones at one time.
pub(crate) struct ZoneErrors<'a>(Vec<(&'a str, f64)>);

impl ZoneErrors<'_> {
    pub fn error_rate(&self, zone: &str) -> f64 {
        self.0
            .iter()
            .find(|(name, _)| *name == zone)
            .map_or(0.0, |(_, errors)| *errors)
    }
}
