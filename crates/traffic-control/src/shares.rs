//! Division of a customer's token bucket between its gateways while some of them are silent, that is, send no usage
//! reports. The reachable gateways share one bucket, from which all reported usage is charged. When a gateway falls
//! silent, a share of the bucket is reserved for it according to its recent usage: the silent gateway may go on using
//! that share, and no other gateway does. Once it reports again, unused units return to the common bucket. Keeps no
//! track of reports: `peer_reports` determines which gateways are silent.

use crate::decaying_sum::{DecayingSum, DEMAND_TIME_CONSTANT_US};
use crate::interface::Micros;
use crate::quota::Quota;

/// Part of each share that is the same for all gateways, as a gateway with little recent usage may need more later. The
/// rest is in proportion to recent usage.
const EVEN_SPLIT_WEIGHT: f64 = 0.2;

/// A silent gateway and its share of the bucket.
struct SilentGateway {
    gateway: u32,
    share: f64,
    /// Units reserved for the gateway at `silent_since`, less its usage that was reported after that; negative if it
    /// used more.
    remaining_units: f64,
    silent_since: Micros,
}

impl SilentGateway {
    /// Returns the units left in the share at `now`. The share is refilled at its part of the bucket's rate.
    fn remaining_at(&self, now: Micros, quota: &Quota) -> f64 {
        let elapsed_us = now.saturating_sub(self.silent_since) as f64;
        self.remaining_units + quota.rate_per_s * self.share * elapsed_us / 1e6
    }
}

/// A customer's recent usage by gateway, and the shares of the silent gateways.
#[derive(Default)]
pub(crate) struct BucketShares {
    recent_usage: Vec<(u32, DecayingSum)>,
    silent_gateways: Vec<SilentGateway>,
}

impl BucketShares {
    /// Returns the share of the bucket that all reachable gateways have together, including this one.
    pub fn reachable_share(&self) -> f64 {
        let reserved_share: f64 = self.silent_gateways.iter().map(|s| s.share).sum();
        (1.0 - reserved_share).max(0.0)
    }

    pub fn all_reachable(&self) -> bool {
        self.silent_gateways.is_empty()
    }

    pub fn record_usage(&mut self, now: Micros, gateway: u32, units: f64) {
        let known = self.recent_usage.iter_mut().find(|(g, _)| *g == gateway);
        if let Some((_, usage)) = known {
            usage.add(now, DEMAND_TIME_CONSTANT_US, units);
        } else {
            self.recent_usage
                .push((gateway, DecayingSum::new(now, units)));
        }
    }

    /// Records reported usage of a gateway. Returns the units to charge to the common bucket: all units of a reachable
    /// gateway; of a silent gateway, reported by another one, the units beyond those reserved for it; none if the
    /// silent gateway itself reports again (`is_own_report`), as [`reassign`](Self::reassign) then settles its share.
    pub fn charge_reported(
        &mut self,
        now: Micros,
        quota: &Quota,
        gateway: u32,
        units: f64,
        is_own_report: bool,
    ) -> f64 {
        self.record_usage(now, gateway, units);
        let Some(silent) = self
            .silent_gateways
            .iter_mut()
            .find(|s| s.gateway == gateway)
        else {
            return units;
        };
        let units_within_share = if is_own_report {
            units
        } else {
            units.min(silent.remaining_at(now, quota).max(0.0))
        };
        silent.remaining_units -= units_within_share;
        units - units_within_share
    }

    /// Reserves a share for each gateway in `silent` (its index and since when it is silent), out of `gateway_count`
    /// gateways, and releases the shares of all others. `level` is the level of the common bucket: the units of new
    /// shares are taken from it, and what is left of released shares is returned to it, unless it `is_from_counter` and
    /// so includes those units already.
    pub fn reassign(
        &mut self,
        now: Micros,
        quota: &Quota,
        gateway_count: u32,
        is_from_counter: bool,
        silent: &[(u32, Micros)],
        level: &mut f64,
    ) {
        self.silent_gateways.retain(|known| {
            let is_silent = silent.iter().any(|(g, _)| *g == known.gateway);
            if !is_silent && !is_from_counter {
                let max_units = quota.capacity * known.share;
                *level += known.remaining_at(now, quota).clamp(-max_units, max_units);
            }
            is_silent
        });
        let total_usage = self.total_usage(now);
        for &(gateway, silent_since) in silent {
            if self.silent_gateways.iter().any(|s| s.gateway == gateway) {
                continue;
            }
            let reachable_share = self.reachable_share();
            // All shares together must not exceed the bucket.
            let share = self
                .share_by_usage(now, gateway, gateway_count, total_usage)
                .min(reachable_share);
            let remaining_units = if reachable_share > 0.0 {
                *level * share / reachable_share
            } else {
                0.0
            };
            *level -= remaining_units;
            self.silent_gateways.push(SilentGateway {
                gateway,
                share,
                remaining_units,
                silent_since,
            });
        }
    }

    fn total_usage(&self, now: Micros) -> f64 {
        self.recent_usage
            .iter()
            .map(|(_, usage)| usage.at(now, DEMAND_TIME_CONSTANT_US))
            .sum()
    }

    fn share_by_usage(
        &self,
        now: Micros,
        gateway: u32,
        gateway_count: u32,
        total_usage: f64,
    ) -> f64 {
        let even_share = 1.0 / f64::from(gateway_count);
        if total_usage <= 0.0 {
            return even_share;
        }
        let usage = self
            .recent_usage
            .iter()
            .find(|(g, _)| *g == gateway)
            .map_or(0.0, |(_, usage)| usage.at(now, DEMAND_TIME_CONSTANT_US));
        EVEN_SPLIT_WEIGHT * even_share + (1.0 - EVEN_SPLIT_WEIGHT) * usage / total_usage
    }
}

#[cfg(test)]
mod tests;
