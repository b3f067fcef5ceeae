//! Latency (mean in each control interval) and units (running mean) of the attempts of one request class. Makes no
//! decisions.

use crate::interface::{Micros, RequestClass};

/// Factor by which the lowest mean latency grows in each interval, so that an old minimum is forgotten.
const LOWEST_LATENCY_GROWTH: f64 = 1.01;
/// Number of latencies from which the mean of an interval is used.
const MIN_SAMPLES: u32 = 3;
/// Weight of one attempt in the mean units: an average over about the last fifty attempts.
const MEAN_UNITS_WEIGHT: f64 = 0.02;
/// Ratio of the latency objective to the assumed latency of an attempt. The assumed latency stands for the idle latency
/// until the first interval with enough samples, and is a lower bound of the current latency.
const OBJECTIVE_TO_ASSUMED_LATENCY: f64 = 8.0;

/// Estimated latency of an attempt of a class.
#[derive(Clone, Copy)]
pub(crate) struct AttemptTimes {
    /// Latency under the current load, at least the assumed latency.
    pub current_s: f64,
    /// Latency at an idle server.
    pub idle_s: f64,
}

/// Measured latency and units of the attempts of one class.
#[derive(Clone, Default)]
pub(crate) struct ClassLatency {
    /// Mean units of a request. Latencies are divided by the units before they are compared, so that a server does not
    /// count as slow for a large request.
    pub mean_units: f64,
    /// Sum of the latencies of this interval.
    latency_sum_us: f64,
    /// Number of the latencies of this interval.
    latency_count: u32,
    /// Mean latency of the last interval that had enough samples; 0 before the first.
    pub mean_us: f64,
    /// Lowest recent mean latency, taken as the latency at an idle server; 0 before the first.
    pub lowest_us: f64,
}

impl ClassLatency {
    /// Sets the mean units to those of the first request, which stand in for the mean until attempts end. Later
    /// requests have no effect.
    pub fn record_request(&mut self, units: f64) {
        if self.mean_units <= 0.0 {
            self.mean_units = units;
        }
    }

    /// Records the units of an attempt that ended. Returns its latency as a multiple of the usual latency for these
    /// units; 1 before the first interval with enough samples.
    pub fn record_units_and_compare(&mut self, units: f64, elapsed_us: Micros) -> f64 {
        self.mean_units += MEAN_UNITS_WEIGHT * (units - self.mean_units);
        let usual_us = if self.mean_us > 0.0 {
            self.mean_us * units / self.mean_units
        } else {
            elapsed_us as f64
        };
        elapsed_us as f64 / usual_us.max(1.0)
    }

    /// Returns the latency of an attempt as a multiple of its latency at an idle server; `None` before the first
    /// interval with enough samples.
    pub fn multiple_of_idle_latency(&self, units: f64, elapsed_us: Micros) -> Option<f64> {
        let idle_us = self.lowest_us * units / self.mean_units.max(1e-9);
        (self.lowest_us > 0.0).then(|| elapsed_us as f64 / idle_us.max(1.0))
    }

    /// Records the latency of an attempt in this interval.
    pub fn record_latency(&mut self, elapsed_us: Micros) {
        self.latency_sum_us += elapsed_us as f64;
        self.latency_count += 1;
    }

    /// Ends the interval and updates the means. Returns whether the interval had enough samples; if not, the samples
    /// are carried over to the next interval.
    pub fn end_interval(&mut self) -> bool {
        if self.latency_count < MIN_SAMPLES {
            return false;
        }
        self.mean_us = self.latency_sum_us / f64::from(self.latency_count);
        self.lowest_us = if self.lowest_us > 0.0 {
            (self.lowest_us * LOWEST_LATENCY_GROWTH).min(self.mean_us)
        } else {
            self.mean_us
        };
        self.latency_sum_us = 0.0;
        self.latency_count = 0;
        true
    }

    /// Returns the estimated latency of an attempt of `class`.
    pub fn attempt_times(&self, class: &RequestClass) -> AttemptTimes {
        let assumed_us = class.latency_objective_us as f64 / OBJECTIVE_TO_ASSUMED_LATENCY;
        let idle_us = if self.lowest_us > 0.0 {
            self.lowest_us
        } else {
            assumed_us
        };
        AttemptTimes {
            current_s: self.mean_us.max(assumed_us) / 1e6,
            idle_s: idle_us / 1e6,
        }
    }
}
