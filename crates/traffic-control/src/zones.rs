//! How many attempts failed recently, by zone.

use crate::interface::Micros;
use std::collections::BTreeMap;

/// Weight of one outcome in a zone's error rate: about the last five.
const ZONE_WEIGHT: f64 = 0.2;
/// The error rate of a zone without attempts halves in this.
const ZONE_HALF_LIFE_US: f64 = 4_000_000.0;

/// The recent error rate of each zone, and when it was last updated. Where a gateway meets each server rarely, the loss of
/// a zone shows in all of its servers together long before it shows in one.
#[derive(Default)]
pub(crate) struct ZoneFailures(BTreeMap<String, (f64, Micros)>);

impl ZoneFailures {
    /// The error rates now: each zone fades once, not for each of its servers.
    pub fn at(&self, now: Micros) -> ZoneErrors<'_> {
        let decayed = |(error_rate, at): (f64, Micros)| {
            error_rate * 0.5f64.powf(now.saturating_sub(at) as f64 / ZONE_HALF_LIFE_US)
        };
        ZoneErrors(
            self.0
                .iter()
                .map(|(zone, &updated)| (zone.as_str(), decayed(updated)))
                .collect(),
        )
    }

    /// Records an outcome in a zone; `failed` is 1 or 0.
    pub fn record_outcome(&mut self, zone: &str, now: Micros, failed: f64) {
        let error_rate = self.at(now).error_rate(zone);
        let updated = self.0.entry(zone.to_string()).or_default();
        *updated = (error_rate + ZONE_WEIGHT * (failed - error_rate), now);
    }

    /// Forgets zones that are not listed any more.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.0.retain(|zone, _| is_listed(zone));
    }
}

/// The error rates of the zones at one time.
pub(crate) struct ZoneErrors<'a>(Vec<(&'a str, f64)>);

impl ZoneErrors<'_> {
    /// The error rate of a zone; 0 where none is known.
    pub fn error_rate(&self, zone: &str) -> f64 {
        self.0
            .iter()
            .find(|(name, _)| *name == zone)
            .map_or(0.0, |(_, error_rate)| *error_rate)
    }
}
