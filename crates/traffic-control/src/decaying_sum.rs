//! A sum whose terms decay exponentially with age. The caller gives the time constant.

use crate::interface::Micros;

/// Time constant of demand and usage rates, in microseconds: a customer's load moves between gateways within seconds.
pub(crate) const DEMAND_TIME_CONSTANT_US: f64 = 3_000_000.0;

/// An exponentially decaying sum, as its value at the last update.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated_at: Micros,
}

impl DecayingSum {
    pub fn new(now: Micros, sum: f64) -> Self {
        DecayingSum {
            sum,
            updated_at: now,
        }
    }

    /// Returns the sum at `now`, with each term weighted by `exp(-age / tau_us)`.
    pub fn at(&self, now: Micros, tau_us: f64) -> f64 {
        self.sum * (-(now.saturating_sub(self.updated_at) as f64) / tau_us).exp()
    }

    /// Adds `amount` as a term of age zero.
    pub fn add(&mut self, now: Micros, tau_us: f64, amount: f64) {
        *self = DecayingSum::new(now, self.at(now, tau_us) + amount);
    }

    /// Returns the rate per second at which amounts have to be added to keep the sum at its value at `now`.
    pub fn per_s(&self, now: Micros, tau_us: f64) -> f64 {
        self.at(now, tau_us) / (tau_us / 1e6)
    }
}
