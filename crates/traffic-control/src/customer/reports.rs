//! What this gateway reports of a customer's usage, and what it reserves in the counter in advance.

use super::Customer;
use crate::decaying_sum::DEMAND_TIME_CONSTANT_US;
use crate::interface::Micros;
use crate::quota::Quota;

/// Time for which units that were reserved in advance are held.
pub(crate) const RESERVATION_TIMEOUT_US: Micros = 1_500_000;

impl Customer {
    /// Returns what the counter holds for this gateway beyond what is in use.
    pub fn reserved(&self) -> f64 {
        f64::from(self.permits.spare) + self.reserved_units
    }

    /// Begins a call that reports what is unreported and reserves `wanted_units`. Returns the amount to add to the
    /// count.
    pub fn take_report_amount(&mut self, wanted_units: f64) -> f64 {
        let reserved = self.reserved();
        let amount = self.unreported + reserved + wanted_units;
        self.query_attempts = 1;
        self.unreported = -reserved - wanted_units;
        amount
    }

    /// Returns the units to reserve in addition to a request's, for requests expected soon: at most an even slice
    /// of the store. It is 0 unless the ceiling is held separately, the level was synced and is at least half the
    /// capacity, and the customer is within its quota.
    pub fn prefetch_units(&self, quota: &Quota, now: Micros) -> f64 {
        let is_well_filled = self.ledger.overuse_factor(now) <= 1.0
            && self.synced_at.is_some()
            && self.level >= quota.capacity / 2.0;
        if !self.has_separate_ceiling(quota) || !is_well_filled {
            return 0.0;
        }
        let expected_units =
            self.demand.per_s(now, DEMAND_TIME_CONSTANT_US) * RESERVATION_TIMEOUT_US as f64 / 1e6;
        expected_units.min(quota.capacity / f64::from(self.gateway_count))
    }

    /// Releases units that were reserved in advance and not used in time.
    pub fn release_expired_reservation(&mut self, now: Micros) {
        let is_fresh = self
            .synced_at
            .is_some_and(|at| now.saturating_sub(at) < RESERVATION_TIMEOUT_US);
        if !is_fresh {
            self.reserved_units = 0.0;
        }
    }
}
