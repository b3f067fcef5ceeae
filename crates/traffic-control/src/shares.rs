//! Which part of a customer's store belongs to which gateway while some of its set are silent. The reachable ones share one
//! store, which is charged with each use that is reported. For a gateway that falls silent a share is set aside, by its
//! recent use: it may go on using that where it is, and nobody else does. Once it is heard again, what it did not use goes
//! back. Arithmetic only.

use crate::decaying_sum::{DecayingSum, DEMAND_TAU_US};
use crate::interface::Micros;
use crate::quota::Quota;

/// This part of each share is even: a gateway that used little recently may come to need more.
const EVEN_SPLIT_WEIGHT: f64 = 0.2;

/// A silent gateway and its share of the store.
struct SilentGateway {
    gateway: u32,
    share: f64,
    /// Units of its share as it was last heard, less what it reported to have used since; negative: it used more.
    remaining_units: f64,
    as_of: Micros,
}

impl SilentGateway {
    /// What is left of its share now, which fills as the store does.
    fn remaining_at(&self, now: Micros, quota: &Quota) -> f64 {
        let elapsed_us = now.saturating_sub(self.as_of) as f64;
        self.remaining_units + quota.rate_per_s * self.share * elapsed_us / 1e6
    }
}

/// Recent use of a customer by gateway, and the shares of the silent ones.
#[derive(Default)]
pub(crate) struct StoreShares {
    recent_usage: Vec<(u32, DecayingSum)>,
    silent_gateways: Vec<SilentGateway>,
}

impl StoreShares {
    /// The share of the store that all reachable gateways have together, this one included.
    pub fn reachable_share(&self) -> f64 {
        let set_aside: f64 = self.silent_gateways.iter().map(|s| s.share).sum();
        (1.0 - set_aside).max(0.0)
    }

    pub fn all_reachable(&self) -> bool {
        self.silent_gateways.is_empty()
    }

    pub fn record_usage(&mut self, now: Micros, gateway: u32, units: f64) {
        let known = self.recent_usage.iter_mut().find(|(g, _)| *g == gateway);
        if let Some((_, usage)) = known {
            usage.add(now, DEMAND_TAU_US, units);
        } else {
            self.recent_usage
                .push((gateway, DecayingSum::new(now, units)));
        }
    }

    /// Records use that a gateway reported. Returns the units that come out of the common store: all of a reachable one's;
    /// of a silent one's, reported by others, what exceeds the units set aside for it until now. `is_heard`: the gateway
    /// reports itself again, and settles then.
    pub fn charge_reported(
        &mut self,
        now: Micros,
        quota: &Quota,
        gateway: u32,
        units: f64,
        is_heard: bool,
    ) -> f64 {
        self.record_usage(now, gateway, units);
        let Some(silent) = self
            .silent_gateways
            .iter_mut()
            .find(|s| s.gateway == gateway)
        else {
            return units;
        };
        let within_share = if is_heard {
            units
        } else {
            units.min(silent.remaining_at(now, quota).max(0.0))
        };
        silent.remaining_units -= within_share;
        units - within_share
    }

    /// Sets the shares aside of the `silent` gateways, by when each was last heard, out of a set of `gateway_count`. Puts
    /// back into `level` what is left of the shares of the others; nothing where the level `is_counted` by the counter.
    pub fn reassign(
        &mut self,
        now: Micros,
        quota: &Quota,
        gateway_count: u32,
        is_counted: bool,
        silent: &[(u32, Micros)],
        level: &mut f64,
    ) {
        self.silent_gateways.retain(|known| {
            let is_silent = silent.iter().any(|(g, _)| *g == known.gateway);
            if !is_silent && !is_counted {
                let max_units = quota.capacity * known.share;
                *level += known.remaining_at(now, quota).clamp(-max_units, max_units);
            }
            is_silent
        });
        let all_usage = self.all_usage(now);
        for &(gateway, since) in silent {
            if self.silent_gateways.iter().any(|s| s.gateway == gateway) {
                continue;
            }
            let reachable_share = self.reachable_share();
            // The last gateway's share is what is left.
            let share = self
                .share_by_usage(now, gateway, gateway_count, all_usage)
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
                as_of: since,
            });
        }
    }

    fn all_usage(&self, now: Micros) -> f64 {
        self.recent_usage
            .iter()
            .map(|(_, usage)| usage.at(now, DEMAND_TAU_US))
            .sum()
    }

    fn share_by_usage(&self, now: Micros, gateway: u32, gateway_count: u32, all_usage: f64) -> f64 {
        let even_share = 1.0 / f64::from(gateway_count);
        if all_usage <= 0.0 {
            return even_share;
        }
        let usage = self
            .recent_usage
            .iter()
            .find(|(g, _)| *g == gateway)
            .map_or(0.0, |(_, usage)| usage.at(now, DEMAND_TAU_US));
        EVEN_SPLIT_WEIGHT * even_share + (1.0 - EVEN_SPLIT_WEIGHT) * usage / all_usage
    }
}

#[cfg(test)]
mod tests;
