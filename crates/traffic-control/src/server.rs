//! The state of one server: its zone and cell, its warm-up, its attempts in flight and the assessment of its recent
//! outcomes. Keeps state only; `policy` decides which server a request goes to.

use crate::interface::{Health, Micros, SlowStart};

/// Slowness ratio up to which a server is not reported as slow to other gateways.
const MAX_UNREPORTED_SLOWNESS_RATIO: f64 = 4.0;
/// Half-life of a server's error rate while it is lower than the error rate of its zone.
const HEALTHY_HALF_LIFE_US: f64 = 300_000.0;

/// Number of sends saved up for a server in slow start at the time `as_of`: that of its last send, addition or restart.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowStartCredit {
    pub sends: f64,
    pub as_of: Micros,
}

/// A server's recent slowness and error rate.
#[derive(Clone, Copy)]
pub(crate) struct Assessment {
    /// Latency of the server's attempts relative to the usual latency of their class at all servers; 1 is usual.
    pub slowness_ratio: f64,
    /// Share of the attempts that failed, from 0 to 1.
    pub error_rate: f64,
}

/// The outcome of one attempt, and its weight in the assessment of the server.
#[derive(Clone, Copy)]
pub(crate) struct WeightedOutcome {
    /// Weight of this outcome, from 0 to 1; all earlier ones together have the rest.
    pub weight: f64,
    /// See [`Assessment::slowness_ratio`].
    pub slowness_ratio: f64,
    /// 1 if the attempt failed, 0 if not.
    pub failed: f64,
}

/// One server as this gateway knows it.
#[derive(Default)]
pub(crate) struct Server {
    /// Zone and cell.
    pub zone_and_cell: (String, u64),
    /// Capacity relative to the other servers.
    pub weight: f64,
    /// Hash of the server's name, the same at all gateways.
    pub hash_key: u64,
    /// Time of the last start; 0 if that was long ago.
    pub started_us: Micros,
    pub health: Health,
    pub pool: u8,
    /// Attempts of this gateway that have not ended.
    pub in_flight: u32,
    /// Slowness ratio at the last outcome; see [`Assessment`]. 0 only in an entry that is being added.
    pub slowness_ratio: f64,
    /// Error rate at the last outcome; see [`Assessment`].
    pub error_rate: f64,
    /// Time of the last outcome, or of the server's addition or restart if that was later.
    pub assessed_at: Micros,
    pub slow_start_credit: SlowStartCredit,
}

impl Server {
    /// Returns the minimum share of its full capacity that the server has: it grows linearly from
    /// [`SlowStart::initial_share`] at the start of the server to 1.
    pub fn warm_capacity_share(&self, slow_start: &SlowStart, now: Micros) -> f64 {
        let age_us = now.saturating_sub(self.started_us) as f64;
        let progress = if self.started_us == 0 || slow_start.duration_us == 0 {
            1.0
        } else {
            (age_us / slow_start.duration_us.max(1) as f64).min(1.0)
        };
        slow_start.initial_share + (1.0 - slow_start.initial_share) * progress
    }

    /// Returns the assessment at `now`. Without outcomes the slowness ratio decays to 1 and the error rate to that of
    /// the zone, so that a server that was avoided is tried again.
    pub fn decayed_assessment(
        &self,
        now: Micros,
        half_life_us: f64,
        zone_error_rate: f64,
    ) -> Assessment {
        let age_us = now.saturating_sub(self.assessed_at) as f64;
        let retained = 0.5f64.powf(age_us / half_life_us);
        // A healthy assessment soon loses its significance while other servers of the zone fail.
        let retained_errors = if zone_error_rate > self.error_rate {
            0.5f64.powf(age_us / HEALTHY_HALF_LIFE_US)
        } else {
            retained
        };
        Assessment {
            slowness_ratio: 1.0 + (self.slowness_ratio - 1.0) * retained,
            error_rate: zone_error_rate + (self.error_rate - zone_error_rate) * retained_errors,
        }
    }

    /// Returns the error rate that is reported to other gateways: the error rate at the last outcome, or an equivalent
    /// for the server's slowness if that is higher.
    pub fn reported_error_rate(&self) -> f64 {
        let slowness_ratio = self.slowness_ratio.max(MAX_UNREPORTED_SLOWNESS_RATIO);
        self.error_rate
            .max(1.0 - MAX_UNREPORTED_SLOWNESS_RATIO / slowness_ratio)
    }

    /// Records the outcome of an attempt in the server's assessment.
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
