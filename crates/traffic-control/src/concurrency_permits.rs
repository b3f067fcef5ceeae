//! A gateway's record of a customer's concurrency permits: how many of its own it recently left unused, and an estimate
//! of how many the other gateways use. Keeps state only; `customer` and `policy` decide how many permits a gateway
//! holds.

use crate::interface::Micros;

/// Weight of one reply of the counter in the mean number of permits used by other gateways: an average over about the
/// last ten replies.
const USE_BY_OTHERS_WEIGHT: f64 = 0.1;
/// Numbers of permits above this are treated as equal to it: the probability that one is free is then zero or one.
const MAX_DISTINGUISHED_PERMITS: usize = 64;

/// One customer's concurrency permits as seen by this gateway.
#[derive(Default)]
pub(crate) struct ConcurrencyPermits {
    /// Permits that are reported as taken by this gateway but not in use: they are held for its next requests.
    pub spare: u32,
    /// Lowest number of spare permits since a review was scheduled: this many were not needed.
    min_spare: u32,
    /// Whether a review of the spare permits is scheduled.
    is_review_scheduled: bool,
    /// Permits that other gateways used at the counter's last reply.
    used_by_others: f64,
    /// Mean of the recent values of `used_by_others`.
    mean_used_by_others: f64,
    /// Time of the counter's last reply; `None` before the first.
    reported_at: Option<Micros>,
}

impl ConcurrencyPermits {
    /// Sets the number of spare permits. Returns whether the caller has to schedule a review for later.
    pub fn set_spare(&mut self, spare: u32) -> bool {
        self.spare = spare;
        self.min_spare = self.min_spare.min(spare);
        let must_schedule_review = spare > 0 && !self.is_review_scheduled;
        if must_schedule_review {
            self.is_review_scheduled = true;
            self.min_spare = spare;
        }
        must_schedule_review
    }

    /// Ends the review. Returns how many permits were spare during the whole time since it was scheduled; `None` if no
    /// review is scheduled.
    pub fn take_unneeded(&mut self) -> Option<u32> {
        std::mem::take(&mut self.is_review_scheduled).then_some(self.min_spare)
    }

    /// Records the number of permits that the other gateways use, as reported by the counter.
    pub fn record_use_by_others(&mut self, now: Micros, used: f64) {
        let weight = if self.reported_at.is_some() {
            USE_BY_OTHERS_WEIGHT
        } else {
            1.0
        };
        self.mean_used_by_others += weight * (used - self.mean_used_by_others);
        self.used_by_others = used;
        self.reported_at = Some(now);
    }

    /// Returns the probability that the other gateways use fewer than `free` permits at `now`; `None` before the
    /// counter's first reply. Models their permits as an infinite-server queue: each permit in the last reply is
    /// released after `attempt_us` on average, and others are taken at the rate that keeps the mean number in use
    /// constant.
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
            probability += count_probability * poisson_cdf(mean_new, max_used - count);
        }
        Some(probability.min(1.0))
    }
}

/// Returns the probabilities that exactly 0, 1, … `max` of `trials` independent events happen.
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

/// Returns the probability that a Poisson distribution with mean `mean` yields at most `max`.
fn poisson_cdf(mean: f64, max: usize) -> f64 {
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
