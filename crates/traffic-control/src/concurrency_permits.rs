//! Places: what a gateway knows of a customer's open attempts where a plan caps them. How many of
//! its own it did not need of late, and how many the other gateways use by now. Knowledge only; how many it keeps is
//! decided elsewhere.

use crate::interface::Micros;

/// Weight of one answer in the mean of what others use: about the last ten.
const MEAN_WEIGHT: f64 = 0.1;
/// More places than this are not told apart: by then the chance of room is nothing or certain.
const MAX_DISTINGUISHED_PERMITS: usize = 64;

/// One customer's places, as one gateway knows them.
#[derive(Default)]
pub(crate) struct ConcurrencyPermits {
    /// Told to all, not in use, and kept for this gateway's next request.
    pub spare: u32,
    /// Fewest that were spare since it was last looked: they were not needed.
    fewest_spare: u32,
    /// A look is due.
    review_is_due: bool,
    used_by_others: f64,
    mean_used_by_others: f64,
    heard_at: Option<Micros>,
}

impl ConcurrencyPermits {
    /// One becomes spare, or is used. True: a look is due a while from now.
    pub fn set_spare(&mut self, spare: u32) -> bool {
        self.spare = spare;
        self.fewest_spare = self.fewest_spare.min(spare);
        let look = spare > 0 && !self.review_is_due;
        if look {
            (self.review_is_due, self.fewest_spare) = (true, spare);
        }
        look
    }

    /// How many were spare all the time since a look became due; none: no look is due.
    pub fn take_unneeded(&mut self) -> Option<u32> {
        std::mem::take(&mut self.review_is_due).then_some(self.fewest_spare)
    }

    /// The count told how many the others use.
    pub fn record_use_by_others(&mut self, now: Micros, others: f64) {
        let weight = if self.heard_at.is_some() {
            MEAN_WEIGHT
        } else {
            1.0
        };
        self.mean_used_by_others += weight * (others - self.mean_used_by_others);
        (self.used_by_others, self.heard_at) = (others, Some(now));
    }

    /// The chance that the others use fewer than `free` by now; none if nothing was ever heard. Each of those that
    /// were told has ended with time, and new ones came as is usual: the mean of a queue that never waits.
    pub fn availability_probability(&self, now: Micros, attempt_us: f64, free: f64) -> Option<f64> {
        let age = now.saturating_sub(self.heard_at?) as f64;
        if free < 1.0 {
            return Some(0.0);
        }
        let still = (-age / attempt_us.max(1.0)).exp();
        let most = (free as usize).min(MAX_DISTINGUISHED_PERMITS) - 1;
        // How many of those told are still there, up to `most`.
        let told = (self.used_by_others.max(0.0) as usize).min(MAX_DISTINGUISHED_PERMITS);
        let mut left = vec![0.0; most + 1];
        left[0] = 1.0;
        for _ in 0..told {
            for k in (1..=most).rev() {
                left[k] = left[k] * (1.0 - still) + left[k - 1] * still;
            }
            left[0] *= 1.0 - still;
        }
        let new = self.mean_used_by_others * (1.0 - still);
        let mut chance = 0.0;
        for (k, p) in left.iter().enumerate() {
            let (mut term, mut sum) = ((-new).exp(), 0.0);
            for j in 0..=(most - k) {
                sum += term;
                term *= new / (j + 1) as f64;
            }
            chance += p * sum;
        }
        Some(chance.min(1.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_told_is_certain_then_fades_to_what_is_usual() {
        let mut p = ConcurrencyPermits::default();
        assert_eq!(p.availability_probability(0, 50_000.0, 2.0), None);
        p.record_use_by_others(1_000, 2.0);
        assert_eq!(p.availability_probability(1_000, 50_000.0, 2.0), Some(0.0));
        assert_eq!(p.availability_probability(1_000, 50_000.0, 3.0), Some(1.0));
        let soon = p
            .availability_probability(51_000, 50_000.0, 2.0)
            .expect("heard");
        let late = p
            .availability_probability(10_000_000, 50_000.0, 2.0)
            .expect("heard");
        // After one usual attempt each of two is still there by 0.37, and 1.26 new ones came on the mean; later it is
        // Poisson's two.
        assert!((soon - 0.387).abs() < 0.01, "{soon}");
        assert!((late - 0.406).abs() < 0.01, "{late}");
        assert_eq!(
            p.availability_probability(51_000, 50_000.0, 0.0),
            Some(0.0),
            "its own take all"
        );
    }

    #[test]
    fn what_was_spare_all_the_time_is_not_needed() {
        let mut p = ConcurrencyPermits::default();
        assert!(p.set_spare(1), "a look is due");
        assert!(!p.set_spare(0) && !p.set_spare(1), "one look at a time");
        assert_eq!(p.take_unneeded(), Some(0), "it was needed");
        assert_eq!(p.take_unneeded(), None, "no look is due");
        assert!(p.set_spare(2) && !p.set_spare(1) && !p.set_spare(2));
        assert_eq!(p.take_unneeded(), Some(1), "one of two was needed");
    }
}
