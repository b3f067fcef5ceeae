//! A token bucket (rate limiter) that holds the tokens of a tenth of a second. Times are in microseconds.

/// A bucket that refills at a constant rate and may be overdrawn; a debt delays the next admission.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_at_us: u64,
}

impl TokenBucket {
    /// Creates a full bucket. Its capacity is a tenth of `rate_per_s`, but at least one token.
    pub fn new(rate_per_s: f64) -> TokenBucket {
        TokenBucket {
            rate_per_s,
            tokens: (rate_per_s / 10.0).max(1.0),
            refilled_at_us: 0,
        }
    }

    /// Returns whether any token is left.
    pub fn has_tokens(&mut self, now_us: u64) -> bool {
        self.refill(now_us);
        self.tokens > 0.0
    }

    /// Takes `amount` tokens if any token is left, even if fewer than `amount` are. Returns whether they were taken.
    pub fn try_take(&mut self, now_us: u64, amount: f64) -> bool {
        let is_admitted = self.has_tokens(now_us);
        if is_admitted {
            self.tokens -= amount;
        }
        is_admitted
    }

    /// Takes `amount` tokens whether or not any are left.
    pub fn spend(&mut self, now_us: u64, amount: f64) {
        self.refill(now_us);
        self.tokens -= amount;
    }

    fn refill(&mut self, now_us: u64) {
        let capacity = (self.rate_per_s / 10.0).max(1.0);
        let elapsed_us = now_us.saturating_sub(self.refilled_at_us) as f64;
        self.tokens = (self.tokens + elapsed_us * self.rate_per_s / 1e6).min(capacity);
        self.refilled_at_us = self.refilled_at_us.max(now_us);
    }
}
