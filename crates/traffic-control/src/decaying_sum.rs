//! A sum whose parts lose weight with age; the time constant is the caller's.

use crate::interface::Micros;

/// Time constant of rates of demand and use: customers move within seconds.
pub(crate) const DEMAND_TAU_US: f64 = 3_000_000.0;

/// A sum as of a time.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    sum: f64,
    at: Micros,
}

impl DecayingSum {
    pub fn new(now: Micros, sum: f64) -> Self {
        DecayingSum { sum, at: now }
    }

    /// The sum at `now`, each part weighed by `exp(-age / tau_us)`.
    pub fn at(&self, now: Micros, tau_us: f64) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / tau_us).exp()
    }

    pub fn add(&mut self, now: Micros, tau_us: f64, amount: f64) {
        *self = DecayingSum::new(now, self.at(now, tau_us) + amount);
    }

    /// The rate a second that would keep the sum where it is.
    pub fn per_s(&self, now: Micros, tau_us: f64) -> f64 {
        self.at(now, tau_us) / (tau_us / 1e6)
    }
}
