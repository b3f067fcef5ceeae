//! Concurrency permits of a customer: how its open attempts are counted at this gateway, in the counter, and by its
//! owner.

use super::Customer;
use crate::counter::{CounterWindow, COUNTER_WINDOW_US};
use crate::interface::Micros;
use crate::quota::Quota;

/// Length of an epoch: many attempts long, and short enough for permits of a gateway that died, which stay counted
/// until the epoch ends.
const PERMIT_EPOCH_US: Micros = 3_000_000;

/// A change in a customer's open attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptChange {
    /// An attempt is sent.
    Begins,
    /// An attempt has ended.
    Ends,
}

/// Name of a customer's count, and how long the counter retains it.
pub(crate) struct CountName {
    pub name: String,
    pub ttl_us: Micros,
}

impl Customer {
    /// Records that an attempt begins or ends. Returns the number of spare permits that the count then holds for
    /// this gateway; `None` where the counter does not count this gateway's permits: the quota limits no
    /// concurrency, this gateway is the owner, or nothing was reported in this epoch yet.
    pub fn record_attempt(
        &mut self,
        quota: &Quota,
        change: AttemptChange,
        now: Micros,
        wall: Micros,
    ) -> Option<u32> {
        self.open_attempts = match change {
            AttemptChange::Begins => self.open_attempts + 1,
            AttemptChange::Ends => self.open_attempts.saturating_sub(1),
        };
        let epoch_is_unreported =
            self.counts_in_epochs(quota) && self.reported_epoch != self.epoch(wall);
        if !quota.limits_concurrency || self.is_owner || epoch_is_unreported {
            return None;
        }
        let spare = self.permits.spare;
        match change {
            AttemptChange::Begins => {
                self.unreported += 1.0;
                self.level -= 1.0;
                Some(spare.saturating_sub(1))
            }
            AttemptChange::Ends => {
                self.unreported -= 1.0;
                self.level += f64::from(u8::from(self.is_synced(now)));
                Some(spare + 1)
            }
        }
    }

    /// Returns the permits that the count holds for this gateway, that are not in use, and for which there is
    /// capacity.
    fn unused_permits(&self) -> f64 {
        self.permit_digits
            .map_or(0.0, |_| self.level.min(-self.unreported).max(0.0))
    }

    /// Keeps up to `wanted` spare permits for this gateway's next requests, at most those that the count holds for
    /// it and for which there is capacity. Returns true if the caller has to schedule a review of the spare
    /// permits.
    pub fn set_spare_permits(&mut self, wanted: u32) -> bool {
        let available = self.unused_permits() as u32;
        self.permits.set_spare(wanted.min(available))
    }

    /// Reviews the spare permits, and releases those that no request needed. Returns true if the caller has to
    /// schedule another review.
    pub fn release_unneeded_permits(&mut self) -> bool {
        let Some(unneeded) = self.permits.take_unneeded() else {
            return false;
        };
        self.permits
            .set_spare(self.permits.spare.saturating_sub(unneeded))
    }

    /// As owner, records permits that other gateways took until `lapses_at`, or returned if `taken` is negative.
    pub fn update_granted_permits(&mut self, quota: &Quota, taken: f64, lapses_at: Micros) {
        let returned = (-taken).clamp(0.0, self.granted_permits.len() as f64) as usize;
        self.granted_permits.drain(..returned);
        let granted = taken.clamp(0.0, quota.capacity) as usize;
        self.granted_permits
            .extend(std::iter::repeat_n(lapses_at, granted));
    }

    /// Whether the customer's gateways are too many for permit digits, so that the counter keeps one sum that
    /// starts at zero in each epoch. The new sum omits permits that a gateway did not return because it died or had
    /// no call left.
    pub fn counts_in_epochs(&self, quota: &Quota) -> bool {
        quota.limits_concurrency && self.permit_digits.is_none() && quota.is_counter_only
    }

    /// Returns the name and the lifetime of the customer's present count.
    pub fn count_name(&self, quota: &Quota, wall: Micros, window: CounterWindow) -> CountName {
        let (number, ttl_us) = if self.counts_in_epochs(quota) {
            (self.epoch(wall), 2 * PERMIT_EPOCH_US)
        } else {
            (window.number, COUNTER_WINDOW_US)
        };
        CountName {
            name: format!("{:08x}:{number}", self.tag),
            ttl_us,
        }
    }

    /// Returns the number of the present epoch. Epochs of different customers begin at different times.
    fn epoch(&self, wall: Micros) -> u64 {
        (wall + Micros::from(self.tag) % PERMIT_EPOCH_US) / PERMIT_EPOCH_US
    }

    /// Begins a new epoch if one is due: all open attempts are unreported in it.
    pub fn begin_epoch_if_due(&mut self, quota: &Quota, wall: Micros) {
        let epoch = self.epoch(wall);
        if !self.counts_in_epochs(quota) {
            return;
        }
        let previous = std::mem::replace(&mut self.reported_epoch, epoch);
        if previous != epoch {
            self.unreported = f64::from(self.open_attempts);
        }
    }
}
