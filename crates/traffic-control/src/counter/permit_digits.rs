//! Encodes the concurrency permits of several gateways in one count: each gateway owns one digit of the total.

/// Maximum number of distinct totals, of either sign, that the counter returns exactly: it keeps seven digits.
const MAX_EXACT_TOTAL: f64 = 5e6;

/// The digits of a customer's count. Each gateway of the customer's set keeps its open attempts in a digit of its
/// own, so that each total shows the permits counted for it, and with them whether an unanswered call was added.
#[derive(Clone, Copy)]
pub(crate) struct PermitDigits {
    /// Number of values of a digit, about half of which are negative.
    base: i64,
    /// Number of gateways in the set, each with one digit.
    gateway_count: u32,
    /// Index of this gateway's digit; at or above `gateway_count`, this gateway is not in the set and only reads.
    own_index: u32,
}

/// The permits that a total contains.
#[derive(Clone, Copy)]
pub(crate) struct DecodedPermits {
    /// Permits of this gateway; negative while a correction is in flight.
    pub own: f64,
    /// Permits of all other gateways of the set.
    pub others: f64,
}

impl PermitDigits {
    /// Creates the digits for `capacity` permits at `gateway_count` gateways; `None` where a total could not
    /// represent them exactly.
    pub fn new(capacity: f64, gateway_count: u32, own_index: u32) -> Option<Self> {
        let base = (4.0 * capacity + 5.0).max(16.0);
        (base.powi(gateway_count as i32) <= MAX_EXACT_TOTAL).then_some(PermitDigits {
            base: base as i64,
            gateway_count,
            own_index,
        })
    }

    /// Whether this gateway is in the customer's set and so has a digit of its own.
    pub fn is_member(self) -> bool {
        self.own_index < self.gateway_count
    }

    /// Returns the amount that one permit of this gateway adds to the count.
    pub fn weight(self) -> f64 {
        if self.is_member() {
            (self.base as f64).powi(self.own_index as i32)
        } else {
            0.0
        }
    }

    /// Splits `total` into the permits of this gateway and those of the others.
    pub fn decode(self, total: f64) -> DecodedPermits {
        let mut rest = total.round() as i64;
        let mut own = 0;
        let mut others = 0;
        for index in 0..self.gateway_count {
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
