//! How long attempts of a class take, and how many units they carry. Measurement only.

use crate::interface::{Micros, RequestClass};

/// Growth of the lowest latency in an interval, to forget an old one.
const LOWEST_GROWTH: f64 = 1.01;
/// Answers that make a mean worth acting on.
const MIN_SAMPLES: u32 = 3;
/// Weight of one attempt in the mean units: about the last fifty.
const MEAN_UNITS_WEIGHT: f64 = 0.02;
/// Before any attempt was measured, it is taken to need this part of the latency objective.
const OBJECTIVE_PER_UNMEASURED_ATTEMPT: f64 = 8.0;

/// How long an attempt takes.
#[derive(Clone, Copy)]
pub(crate) struct AttemptTimes {
    /// Now.
    pub current_s: f64,
    /// At an idle server.
    pub idle_s: f64,
}

/// The latency of one class.
#[derive(Clone, Default)]
pub(crate) struct ClassLatency {
    /// Mean units of a request, so that a large one is not taken for a slow server.
    pub mean_units: f64,
    /// Sum and number of the latencies of this interval.
    sum_us: f64,
    count: u32,
    /// Mean of the last interval; 0: nothing was measured yet.
    pub mean_us: f64,
    /// Lowest recent mean.
    pub lowest_us: f64,
}

impl ClassLatency {
    /// Records a request; the first one's units stand for all until there is a mean.
    pub fn record_request(&mut self, units: f64) {
        if self.mean_units <= 0.0 {
            self.mean_units = units;
        }
    }

    /// Records the units of an attempt that ended. Returns how many times the usual time for its units it took.
    pub fn record_units_and_compare(&mut self, units: f64, elapsed_us: Micros) -> f64 {
        self.mean_units += MEAN_UNITS_WEIGHT * (units - self.mean_units);
        let usual_us = if self.mean_us > 0.0 {
            self.mean_us * units / self.mean_units
        } else {
            elapsed_us as f64
        };
        elapsed_us as f64 / usual_us.max(1.0)
    }

    /// How many times its time at an idle server an attempt took; `None` before any was measured.
    pub fn idle_multiple(&self, units: f64, elapsed_us: Micros) -> Option<f64> {
        let idle_us = self.lowest_us * units / self.mean_units.max(1e-9);
        (self.lowest_us > 0.0).then(|| elapsed_us as f64 / idle_us.max(1.0))
    }

    /// Records the latency of an attempt.
    pub fn record_latency(&mut self, elapsed_us: Micros) {
        self.sum_us += elapsed_us as f64;
        self.count += 1;
    }

    /// Ends an interval. Returns whether its mean is worth acting on.
    pub fn end_interval(&mut self) -> bool {
        if self.count < MIN_SAMPLES {
            return false;
        }
        self.mean_us = self.sum_us / f64::from(self.count);
        self.lowest_us = if self.lowest_us > 0.0 {
            (self.lowest_us * LOWEST_GROWTH).min(self.mean_us)
        } else {
            self.mean_us
        };
        self.sum_us = 0.0;
        self.count = 0;
        true
    }

    /// How long an attempt takes, now and at idle servers.
    pub fn attempt_times(&self, class: &RequestClass) -> AttemptTimes {
        let unmeasured_us = class.latency_objective_us as f64 / OBJECTIVE_PER_UNMEASURED_ATTEMPT;
        let idle_us = if self.lowest_us > 0.0 {
            self.lowest_us
        } else {
            unmeasured_us
        };
        AttemptTimes {
            current_s: self.mean_us.max(unmeasured_us) / 1e6,
            idle_s: idle_us / 1e6,
        }
    }
}
