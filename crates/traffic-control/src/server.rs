//! What is known of one server: position, warmth, attempts in flight, and recent outcomes. State only; which server a
//! request goes to is decided in `policy`.

use crate::interface::{Health, Micros, SlowStart};

/// Servers that are at most so many times slower than usual are not reported for their slowness.
const MAX_UNREPORTED_SLOWNESS: f64 = 4.0;
/// That a server was healthy is half forgotten in this while its zone fails.
const HEALTHY_HALF_LIFE_US: f64 = 300_000.0;

/// Sends that a server in slow start may get.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowStartCredit {
    pub sends: f64,
    pub as_of: Micros,
}

/// What is thought of a server.
#[derive(Clone, Copy)]
pub(crate) struct Assessment {
    /// Latency relative to the fleet's usual one for the class; 1 is usual.
    pub slowness_ratio: f64,
    /// Share of the attempts that failed.
    pub error_rate: f64,
}

/// The outcome of one attempt, with its weight beside all earlier ones.
#[derive(Clone, Copy)]
pub(crate) struct WeightedOutcome {
    pub weight: f64,
    pub slowness_ratio: f64,
    /// 1 if it failed, else 0.
    pub failed: f64,
}

/// One server.
#[derive(Default)]
pub(crate) struct Server {
    /// Zone and cell.
    pub group: (String, u64),
    /// Its size beside the others'.
    pub share: f64,
    /// Hash of its name, the same at all gateways.
    pub hash_key: u64,
    /// When it started; 0: long ago.
    pub started_us: Micros,
    pub health: Health,
    pub pool: u8,
    /// Attempts of this gateway that have not ended.
    pub in_flight: u32,
    /// As of the last outcome; see [`Assessment`].
    pub slowness_ratio: f64,
    pub error_rate: f64,
    pub assessed_at: Micros,
    pub slow_start_credit: SlowStartCredit,
}

impl Server {
    /// The share of its capacity that it has at least, which grows evenly from its start.
    pub fn warmth(&self, slow_start: &SlowStart, now: Micros) -> f64 {
        let age_us = now.saturating_sub(self.started_us) as f64;
        let progress = if self.started_us == 0 || slow_start.duration_us == 0 {
            1.0
        } else {
            (age_us / slow_start.duration_us.max(1) as f64).min(1.0)
        };
        slow_start.initial_share + (1.0 - slow_start.initial_share) * progress
    }

    /// What is thought of it now. That fades without outcomes, so that it is tried again: its error rate fades to its
    /// zone's.
    pub fn decayed_assessment(
        &self,
        now: Micros,
        half_life_us: f64,
        zone_error_rate: f64,
    ) -> Assessment {
        let silent_us = now.saturating_sub(self.assessed_at) as f64;
        let retained = 0.5f64.powf(silent_us / half_life_us);
        // That a server was healthy some time ago says little once others of its zone fail.
        let retained_errors = if zone_error_rate > self.error_rate {
            0.5f64.powf(silent_us / HEALTHY_HALF_LIFE_US)
        } else {
            retained
        };
        Assessment {
            slowness_ratio: 1.0 + (self.slowness_ratio - 1.0) * retained,
            error_rate: zone_error_rate + (self.error_rate - zone_error_rate) * retained_errors,
        }
    }

    /// What is reported to other gateways: the share of attempts that had failed at the last outcome, or as much for its
    /// slowness.
    pub fn reported_error_rate(&self) -> f64 {
        let slowness_ratio = self.slowness_ratio.max(MAX_UNREPORTED_SLOWNESS);
        self.error_rate
            .max(1.0 - MAX_UNREPORTED_SLOWNESS / slowness_ratio)
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(
        &mut self,
        now: Micros,
        half_life_us: f64,
        outcome: WeightedOutcome,
        zone_error_rate: f64,
    ) {
        let previous = self.decayed_assessment(now, half_life_us, zone_error_rate);
        let weight = outcome.weight;
        self.slowness_ratio =
            previous.slowness_ratio + weight * (outcome.slowness_ratio - previous.slowness_ratio);
        self.error_rate = previous.error_rate + weight * (outcome.failed - previous.error_rate);
        self.assessed_at = now;
    }
}
