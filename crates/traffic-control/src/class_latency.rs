//! How long attempts of a class take, and how many units they carry. Measurement only.

use crate::interface::{Micros, RequestClass};

const LOWEST_GROWTH: f64 = 1.01; // growth of the lowest latency an interval, to forget an old floor
const MIN_SAMPLES: u32 = 3; // answers that make a mean worth acting on
const MEAN_UNITS_WEIGHT: f64 = 0.02; // of one attempt in the mean units: about the last fifty
const OBJECTIVE_PER_UNMEASURED_ATTEMPT: f64 = 8.0; // part of the aim that an attempt is taken to need before any was measured

#[derive(Clone, Default)]
pub(crate) struct ClassLatency {
    /// Mean units of a request, so that a large one is not taken for a slow server.
    pub mean_units: f64,
    sum_us: f64,
    count: u32,
    /// Last interval's mean, µs; 0: nothing measured yet.
    pub mean_us: f64,
    /// Lowest recent mean, µs.
    pub lowest_us: f64,
}

impl ClassLatency {
    /// A request came; the first one stands for all until there is a mean.
    pub fn record_request(&mut self, units: f64) {
        self.mean_units = if self.mean_units > 0.0 {
            self.mean_units
        } else {
            units
        };
    }

    /// An attempt ended, after a usual time for its units or so many times that.
    pub fn record_units_and_compare(&mut self, units: f64, elapsed_us: Micros) -> f64 {
        self.mean_units += MEAN_UNITS_WEIGHT * (units - self.mean_units);
        let usual = if self.mean_us > 0.0 {
            self.mean_us * units / self.mean_units
        } else {
            elapsed_us as f64
        };
        elapsed_us as f64 / usual.max(1.0)
    }

    /// How many times its time at an idle server it took; none before any was measured.
    pub fn idle_multiple(&self, units: f64, elapsed_us: Micros) -> Option<f64> {
        let idle = self.lowest_us * units / self.mean_units.max(1e-9);
        (self.lowest_us > 0.0).then(|| elapsed_us as f64 / idle.max(1.0))
    }

    /// It tells of latency.
    pub fn record_latency(&mut self, elapsed_us: Micros) {
        (self.sum_us, self.count) = (self.sum_us + elapsed_us as f64, self.count + 1);
    }

    /// An interval is over. Whether its mean is worth acting on.
    pub fn end_interval(&mut self) -> bool {
        let enough = self.count >= MIN_SAMPLES;
        if enough {
            self.mean_us = self.sum_us / f64::from(self.count);
            self.lowest_us = if self.lowest_us > 0.0 {
                (self.lowest_us * LOWEST_GROWTH).min(self.mean_us)
            } else {
                self.mean_us
            };
            (self.sum_us, self.count) = (0.0, 0);
        }
        enough
    }

    /// How long an attempt takes now, in seconds, and how long at idle servers.
    pub fn attempt_times(&self, class: &RequestClass) -> (f64, f64) {
        let least = class.latency_objective_us as f64 / OBJECTIVE_PER_UNMEASURED_ATTEMPT;
        let idle = if self.lowest_us > 0.0 {
            self.lowest_us
        } else {
            least
        };
        (self.mean_us.max(least) / 1e6, idle / 1e6)
    }
}
