//! Fills a customer's bucket and this gateway's slice of its ceiling.

use super::Customer;
use crate::decaying_sum::DEMAND_TIME_CONSTANT_US;
use crate::interface::{Ceiling, Micros};
use crate::quota::Quota;

/// Multiple of the quota that a count may let pass: a count is corrected only where the level exceeds the capacity
/// by more than a tenth.
const COUNT_TOLERANCE: f64 = 1.1;

/// Returns a gateway's share of the rate, from 0 to 1, by the meter alone: its own usage and an even part of what
/// all gateways left unused, and a proportionally smaller share where they used more than the rate. If all gateways
/// follow the same reading, the shares sum up to 1.
pub(super) fn rate_share_by_meter(
    own_per_s: f64,
    all_per_s: f64,
    rate_per_s: f64,
    gateways: f64,
) -> f64 {
    let unused_per_s = (rate_per_s - all_per_s).max(0.0) / gateways;
    ((own_per_s + unused_per_s) / rate_per_s.max(all_per_s).max(1e-9)).min(1.0)
}

impl Customer {
    /// Returns this gateway's share of the quota's rate, from 0 to 1. The owner has all of it. While the gateways
    /// report their usage, the reachable ones have a common share. While synced, the share is that of recent
    /// demand, at least the even one. Otherwise it is the share by the meter, at least the even one, or the common
    /// share of the reachable gateways while others are silent.
    pub fn rate_share(&self, quota: &Quota, now: Micros) -> f64 {
        if self.is_owner {
            return 1.0;
        }
        if self.follows_peer_reports(now) {
            return self.shares.reachable_share();
        }
        let even_share = 1.0 / f64::from(self.gateway_count);
        if self.is_synced(now) {
            return self.demand_share(now).max(even_share);
        }
        if quota.limits_concurrency {
            return even_share;
        }
        let metered_share = self.metered_rate_share(quota, now);
        // Some gateways of the set are silent: what was set aside for them is not used here.
        if !self.shares.all_reachable() {
            return metered_share.max(self.shares.reachable_share());
        }
        metered_share.max(even_share)
    }

    /// Returns this gateway's share of the rate by the meter; 0 without a recent reading.
    fn metered_rate_share(&self, quota: &Quota, now: Micros) -> f64 {
        let own_per_s = self.ledger.own_usage_per_s(now);
        let gateways = f64::from(self.gateway_count);
        self.ledger
            .metered_usage_per_s(now)
            .map_or(0.0, |all_per_s| {
                rate_share_by_meter(own_per_s, all_per_s, quota.rate_per_s, gateways)
            })
    }

    /// Fills the bucket and the slice of the ceiling for the time since the last refill.
    pub fn refill(&mut self, quota: &Quota, now: Micros) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = now;
        self.refill_level(quota, elapsed_s, now);
        self.refill_ceiling(quota, elapsed_s);
        self.granted_permits.retain(|&lapses_at| lapses_at > now);
        if quota.limits_concurrency && self.is_owner {
            let granted = self.granted_permits.len() as f64;
            self.level = quota.capacity - f64::from(self.open_attempts) - granted;
        }
    }

    fn refill_level(&mut self, quota: &Quota, elapsed_s: f64, now: Micros) {
        let share = self.rate_share(quota, now);
        // Without a sync, the slice of a gateway in a large fleet is less than one request, so it may save up the
        // largest request.
        let slice = (quota.capacity * share)
            .max(quota.max_request_units)
            .min(quota.capacity);
        let is_synced = self.is_synced(now);
        // The other gateways already count the units of the synced level as used, so a slice smaller than one
        // request restarts at no more than zero when the sync expires.
        let restarts =
            !is_synced && self.has_undersized_slice(quota) && self.synced_at.take().is_some();
        self.level = self.level.min(if restarts { 0.0 } else { quota.capacity });
        let fill_per_s = if is_synced && quota.limits_concurrency {
            0.0
        } else if is_synced && self.lacks_usage_reports(quota) {
            // All gateways see the same store, and the others use it meanwhile.
            quota.rate_per_s - self.others_demand.per_s(now, DEMAND_TIME_CONSTANT_US)
        } else {
            quota.rate_per_s * share
        };
        let max_level = if is_synced && !self.follows_peer_reports(now) {
            quota.capacity
        } else {
            slice
        };
        self.level = (self.level + fill_per_s * elapsed_s).min(max_level);
    }

    /// Fills this gateway's slice of the ceiling. A restarted gateway begins with an empty slice, so that no
    /// restart creates a second burst.
    fn refill_ceiling(&mut self, quota: &Quota, elapsed_s: f64) {
        let ceiling = quota.ceiling.unwrap_or(Ceiling {
            rate: 0.0,
            depth: 0.0,
        });
        let available = if self.has_separate_ceiling(quota) {
            Ceiling {
                rate: ceiling.rate - COUNT_TOLERANCE * quota.rate_per_s,
                depth: ceiling.depth - COUNT_TOLERANCE * quota.capacity,
            }
        } else {
            ceiling
        };
        let gateways = f64::from(self.gateway_count);
        self.ceiling_level = (self.ceiling_level + available.rate / gateways * elapsed_s)
            .min(available.depth / gateways);
    }

    /// Whether this gateway's slice of the part of the ceiling above the quota holds less than `units`.
    pub fn is_short_of_ceiling(&self, quota: &Quota, units: f64) -> bool {
        self.has_separate_ceiling(quota) && self.ceiling_level < units
    }
}
