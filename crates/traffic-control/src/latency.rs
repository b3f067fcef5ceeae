//! How long attempts of a class take, and how many units they carry. Measurement only.

use crate::interface::{Micros, RequestClass};

const FLOOR_DRIFT: f64 = 1.01; // growth of the lowest latency an interval, to forget an old floor
const ENOUGH: u32 = 3; // answers that make a mean worth acting on
const UNITS_WEIGHT: f64 = 0.02; // of one attempt in the mean units: about the last fifty
const UNMEASURED: f64 = 8.0; // part of the aim that an attempt is taken to need before any was measured

#[derive(Clone, Default)]
pub(crate) struct ClassLatency {
    /// Mean units of a request, so that a large one is not taken for a slow server.
    pub units: f64,
    sum: f64,
    count: u32,
    /// Last interval's mean, µs; 0: nothing measured yet.
    pub mean: f64,
    /// Lowest recent mean, µs.
    pub lowest: f64,
}

impl ClassLatency {
    /// A request came; the first one stands for all until there is a mean.
    pub fn came(&mut self, units: f64) {
        self.units = if self.units > 0.0 { self.units } else { units };
    }

    /// An attempt ended, after a usual time for its units or so many times that.
    pub fn ratio(&mut self, units: f64, elapsed_us: Micros) -> f64 {
        self.units += UNITS_WEIGHT * (units - self.units);
        let usual = if self.mean > 0.0 {
            self.mean * units / self.units
        } else {
            elapsed_us as f64
        };
        elapsed_us as f64 / usual.max(1.0)
    }

    /// How many times its time at an idle server it took; none before any was measured.
    pub fn times_idle(&self, units: f64, elapsed_us: Micros) -> Option<f64> {
        let idle = self.lowest * units / self.units.max(1e-9);
        (self.lowest > 0.0).then(|| elapsed_us as f64 / idle.max(1.0))
    }

    /// It tells of latency.
    pub fn measure(&mut self, elapsed_us: Micros) {
        (self.sum, self.count) = (self.sum + elapsed_us as f64, self.count + 1);
    }

    /// An interval is over. Whether its mean is worth acting on.
    pub fn interval(&mut self) -> bool {
        let enough = self.count >= ENOUGH;
        if enough {
            self.mean = self.sum / f64::from(self.count);
            self.lowest = if self.lowest > 0.0 {
                (self.lowest * FLOOR_DRIFT).min(self.mean)
            } else {
                self.mean
            };
            (self.sum, self.count) = (0.0, 0);
        }
        enough
    }

    /// How long an attempt takes now, in seconds, and how long at idle servers.
    pub fn attempt_s(&self, class: &RequestClass) -> (f64, f64) {
        let least = class.latency_objective_us as f64 / UNMEASURED;
        let idle = if self.lowest > 0.0 {
            self.lowest
        } else {
            least
        };
        (self.mean.max(least) / 1e6, idle / 1e6)
    }
}
