//! The recent error rate of attempts in each zone.

use crate::interface::Micros;
use std::collections::BTreeMap;

/// Weight of one outcome in a zone's error rate, which covers about the last five outcomes.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Half-life of the error rate of a zone without attempts.
const ERROR_RATE_HALF_LIFE_US: f64 = 4_000_000.0;

/// The recent error rate of each zone, and the time of its last update. For a gateway that sends to each server rarely,
/// the failure of a zone shows in the outcomes of all its servers together long before it shows in those of one.
#[derive(Default)]
pub(crate) struct ZoneErrorTracker(BTreeMap<String, (f64, Micros)>);

impl ZoneErrorTracker {
    /// Returns the error rates at `now`. Computing the decay of each zone once saves doing so for each of its servers.
    pub fn rates_at(&self, now: Micros) -> ZoneErrorRates<'_> {
        let decayed = |(error_rate, at): (f64, Micros)| {
            error_rate * 0.5f64.powf(now.saturating_sub(at) as f64 / ERROR_RATE_HALF_LIFE_US)
        };
        ZoneErrorRates(
            self.0
                .iter()
                .map(|(zone, &updated)| (zone.as_str(), decayed(updated)))
                .collect(),
        )
    }

    /// Records the outcome of an attempt in a zone; `failed` is 1 if it failed and 0 if not.
    pub fn record_outcome(&mut self, zone: &str, now: Micros, failed: f64) {
        let error_rate = self.rates_at(now).error_rate(zone);
        let updated = self.0.entry(zone.to_string()).or_default();
        *updated = (error_rate + OUTCOME_WEIGHT * (failed - error_rate), now);
    }

    /// Forgets the zones that are no longer listed.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.0.retain(|zone, _| is_listed(zone));
    }
}

/// The error rates of all zones at one time.
pub(crate) struct ZoneErrorRates<'a>(Vec<(&'a str, f64)>);

impl ZoneErrorRates<'_> {
    /// Returns the error rate of a zone; 0 for an unknown zone.
    pub fn error_rate(&self, zone: &str) -> f64 {
        self.0
            .iter()
            .find(|(name, _)| *name == zone)
            .map_or(0.0, |(_, error_rate)| *error_rate)
    }
}
