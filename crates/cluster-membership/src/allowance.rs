//! So many a second, with a tenth of a second's saved up.

#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    rate: f64,
    left: f64,
    at: u64,
}

impl Allowance {
    pub fn new(rate: f64) -> Allowance {
        Allowance {
            rate,
            left: (rate / 10.0).max(1.0),
            at: 0,
        }
    }

    fn refill(&mut self, now: u64) -> f64 {
        let most = (self.rate / 10.0).max(1.0);
        self.left = (self.left + now.saturating_sub(self.at) as f64 * self.rate / 1e6).min(most);
        self.at = self.at.max(now);
        self.left
    }

    pub fn some(&mut self, now: u64) -> bool {
        self.refill(now) > 0.0
    }

    /// Takes an amount if anything is left; more than is left is owed.
    pub fn take(&mut self, now: u64, amount: f64) -> bool {
        let may = self.some(now);
        self.left -= if may { amount } else { 0.0 };
        may
    }

    /// Takes it in any case.
    pub fn spend(&mut self, now: u64, amount: f64) {
        self.refill(now);
        self.left -= amount;
    }
}
