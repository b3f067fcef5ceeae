//! How several gateways share one count of concurrency permits: each owns one digit of the total.

/// Totals up to this are exact, of either sign: the counter keeps seven digits.
const MAX_EXACT_TOTAL: f64 = 5e6;

/// Each gateway of a customer's set has a digit of the count for its own open attempts, so that it sees what the count
/// holds for it: a call that may or may not have been added is put right by the next reply.
#[derive(Clone, Copy)]
pub(crate) struct PermitDigits {
    base: i64,
    width: u32,
    /// At or past the width: this gateway is not of the set and only reads.
    own_index: u32,
}

/// The permits that a total holds.
#[derive(Clone, Copy)]
pub(crate) struct DecodedPermits {
    /// For this gateway; negative while a correction is in flight.
    pub own: f64,
    /// For all other gateways of the set.
    pub others: f64,
}

impl PermitDigits {
    /// Digits for `capacity` permits at `width` gateways; `None` where a total could not keep them exactly.
    pub fn new(capacity: f64, width: u32, own_index: u32) -> Option<Self> {
        let base = (4.0 * capacity + 5.0).max(16.0);
        (base.powi(width as i32) <= MAX_EXACT_TOTAL).then_some(PermitDigits {
            base: base as i64,
            width,
            own_index,
        })
    }

    /// Whether this gateway is of the customer's set and so has a digit of its own.
    pub fn is_member(self) -> bool {
        self.own_index < self.width
    }

    /// What one permit of this gateway adds to the count.
    pub fn weight(self) -> f64 {
        if self.is_member() {
            (self.base as f64).powi(self.own_index as i32)
        } else {
            0.0
        }
    }

    /// The permits that `total` holds for this gateway and for the others.
    pub fn decode(self, total: f64) -> DecodedPermits {
        let mut rest = total.round() as i64;
        let mut own = 0;
        let mut others = 0;
        for index in 0..self.width {
            let half = self.base / 2;
            let digit = (rest + half).rem_euclid(self.base) - half;
            rest = (rest - digit) / self.base;
            if index == self.own_index {
                own = digit;
            } else {
                others += digit.max(0);
            }
        }
        DecodedPermits {
            own: own as f64,
            others: others as f64,
        }
    }
}
