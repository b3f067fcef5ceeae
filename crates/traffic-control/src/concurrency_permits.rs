//! What a gateway knows of a customer's concurrency permits: how many of its own it did not need recently, and how many
//! the other gateways use by now. State only; how many it holds is decided elsewhere.

use crate::interface::Micros;

/// Weight of one reply in the mean of what others use: about the last ten.
const MEAN_WEIGHT: f64 = 0.1;
/// More permits than this are not distinguished: by then the probability that one is free is zero or one.
const MAX_DISTINGUISHED_PERMITS: usize = 64;

/// One customer's permits, as one gateway knows them.
#[derive(Default)]
pub(crate) struct ConcurrencyPermits {
    /// Reported to all, not in use, and held for this gateway's next request.
    pub spare: u32,
    /// The fewest that were spare since the review became due: these were not needed.
    fewest_spare: u32,
    review_is_due: bool,
    used_by_others: f64,
    mean_used_by_others: f64,
    /// When the use by others was last reported.
    reported_at: Option<Micros>,
}

impl ConcurrencyPermits {
    /// Sets the number of spare permits. True: a review becomes due a while from now.
    pub fn set_spare(&mut self, spare: u32) -> bool {
        self.spare = spare;
        self.fewest_spare = self.fewest_spare.min(spare);
        let becomes_due = spare > 0 && !self.review_is_due;
        if becomes_due {
            self.review_is_due = true;
            self.fewest_spare = spare;
        }
        becomes_due
    }

    /// Takes the review: how many permits were spare all the time since it became due; `None` where none is due.
    pub fn take_unneeded(&mut self) -> Option<u32> {
        std::mem::take(&mut self.review_is_due).then_some(self.fewest_spare)
    }

    /// Records how many permits the others use, as the count reported.
    pub fn record_use_by_others(&mut self, now: Micros, used: f64) {
        let weight = if self.reported_at.is_some() {
            MEAN_WEIGHT
        } else {
            1.0
        };
        self.mean_used_by_others += weight * (used - self.mean_used_by_others);
        self.used_by_others = used;
        self.reported_at = Some(now);
    }

    /// The probability that the others use fewer than `free` permits by now; `None` if nothing was ever reported. Each
    /// reported one ends with time and new ones come as usual: the mean of a queue that never waits.
    pub fn availability_probability(&self, now: Micros, attempt_us: f64, free: f64) -> Option<f64> {
        let age_us = now.saturating_sub(self.reported_at?) as f64;
        if free < 1.0 {
            return Some(0.0);
        }
        let survival = (-age_us / attempt_us.max(1.0)).exp();
        let max_used = (free as usize).min(MAX_DISTINGUISHED_PERMITS) - 1;
        let reported = (self.used_by_others.max(0.0) as usize).min(MAX_DISTINGUISHED_PERMITS);
        let survivors = binomial(reported, survival, max_used);
        let mean_new = self.mean_used_by_others * (1.0 - survival);
        let mut probability = 0.0;
        for (count, count_probability) in survivors.iter().enumerate() {
            probability += count_probability * poisson_at_most(mean_new, max_used - count);
        }
        Some(probability.min(1.0))
    }
}

/// The probabilities that 0 to `max` of `trials` events happen.
fn binomial(trials: usize, probability: f64, max: usize) -> Vec<f64> {
    let mut distribution = vec![0.0; max + 1];
    distribution[0] = 1.0;
    for _ in 0..trials {
        for k in (1..=max).rev() {
            distribution[k] =
                distribution[k] * (1.0 - probability) + distribution[k - 1] * probability;
        }
        distribution[0] *= 1.0 - probability;
    }
    distribution
}

/// The probability of at most `max` events where `mean` happen on average.
fn poisson_at_most(mean: f64, max: usize) -> f64 {
    let mut term = (-mean).exp();
    let mut sum = 0.0;
    for count in 0..=max {
        sum += term;
        term *= mean / (count + 1) as f64;
    }
    sum
}

#[cfg(test)]
mod tests;
