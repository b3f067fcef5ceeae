//! Estimates how much of a customer's quota may pass at this gateway without another query.

use super::Customer;
use crate::interface::Micros;
use crate::quota::Quota;

/// Maximum age of a level by which requests are rejected in a large fleet without usage reports: an older one may
/// be too low, as units that other gateways reserved and did not use are soon returned.
const MAX_REJECTING_LEVEL_AGE_US: Micros = 100_000;
/// Factor by which the gain from a permit that is only guessed to be free has to exceed its cost, as many gateways
/// guess alike.
pub(crate) const GUESS_COST_FACTOR: f64 = 2.0;

/// Whether a customer's quota covers one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaDecision {
    /// The quota covers the request.
    Admit,
    /// The quota does not cover the request.
    Reject,
    /// The counter or the owner has to be queried.
    Undecided,
}

impl QuotaDecision {
    /// Returns `Admit` if `is_covered`, else `Reject`.
    pub fn from_coverage(is_covered: bool) -> Self {
        if is_covered {
            QuotaDecision::Admit
        } else {
            QuotaDecision::Reject
        }
    }
}

/// Units or permits that may pass at this gateway, as far as is known now.
pub(crate) struct QuotaEstimate {
    /// Units that certainly may pass.
    pub certain_units: f64,
    /// Maximum units that may pass.
    pub possible_units: f64,
    /// Units that may pass where no query is possible any more.
    pub likely_units: f64,
    /// Whether the level was synced recently.
    pub is_synced: bool,
}

impl QuotaEstimate {
    /// Decides a request of `units` by the estimate alone; `Undecided` where the counter or the owner has to be
    /// queried.
    pub fn decide(&self, units: f64) -> QuotaDecision {
        if self.certain_units >= units {
            QuotaDecision::Admit
        } else if self.possible_units < units {
            QuotaDecision::Reject
        } else {
            QuotaDecision::Undecided
        }
    }

    /// Decides a request of `units` by the likely units, where no query is possible any more.
    pub fn decide_by_likelihood(&self, units: f64) -> QuotaDecision {
        QuotaDecision::from_coverage(self.likely_units >= units)
    }
}

/// Bounds on what the store can hold for this gateway.
struct LevelBounds {
    certain: f64,
    possible: f64,
}

impl Customer {
    /// Estimates what may pass of the customer's quota at this gateway. `overrun_cost` is the cost of passing a
    /// request beyond the quota, relative to the gain from one within it; `attempt_s` is the mean duration of an
    /// attempt.
    pub fn estimate(
        &self,
        quota: &Quota,
        overrun_cost: f64,
        now: Micros,
        attempt_s: f64,
    ) -> QuotaEstimate {
        if self.follows_peer_reports(now) && !quota.limits_concurrency {
            let units = self.level_by_peer_reports(now);
            return QuotaEstimate {
                certain_units: units,
                possible_units: units,
                likely_units: units,
                is_synced: true,
            };
        }
        let guess = self.permit_probability(quota, now, attempt_s);
        let likely_units = guess.map_or(self.level, |free| guessed_permits(free, overrun_cost));
        let bounds = self.level_bounds(quota, now);
        QuotaEstimate {
            certain_units: bounds.certain,
            possible_units: bounds.possible,
            likely_units,
            is_synced: self.is_synced(now),
        }
    }

    /// Returns the level by the other gateways' reports. Until they report again, each gateway keeps to its share
    /// of the store, as all of them see the same one.
    fn level_by_peer_reports(&self, now: Micros) -> f64 {
        if self.used_since_reports == 0.0 {
            return self.level;
        }
        let even_share = 1.0 / f64::from(self.gateway_count);
        let share = self.demand_share(now).max(even_share);
        let own_units = share * (self.level + self.used_since_reports) - self.used_since_reports;
        self.level.min(own_units)
    }

    /// Returns the probability that a permit is free; `None` where no guess is needed because the permits were
    /// synced just now, or are not counted.
    fn permit_probability(&self, quota: &Quota, now: Micros, attempt_s: f64) -> Option<f64> {
        let counts_permits = self.permit_digits.is_some() || self.counts_in_epochs(quota);
        if !counts_permits || self.is_synced_now(now) {
            return None;
        }
        let free = quota.capacity - f64::from(self.open_attempts);
        self.permits
            .availability_probability(now, attempt_s * 1e6, free)
    }

    /// Returns the bounds on what the store holds for this gateway: since the last sync, the other gateways used
    /// between nothing and the fill rate times the overuse factor. `possible` is unbounded where the level is not
    /// usable, and without usage reports in a large fleet for a level older than `MAX_REJECTING_LEVEL_AGE_US`.
    fn level_bounds(&self, quota: &Quota, now: Micros) -> LevelBounds {
        let lacks_usage_reports = self.lacks_usage_reports(quota);
        if self.is_owner || !lacks_usage_reports && self.ledger.totals_are_unreliable(now) {
            return LevelBounds {
                certain: self.level,
                possible: self.level,
            };
        }
        let reserved = f64::from(self.permits.spare).max(self.reserved_units);
        let level_is_usable = !quota.limits_concurrency && self.level > -quota.capacity;
        let Some(synced_at) = self.synced_at.filter(|_| level_is_usable) else {
            return LevelBounds {
                certain: reserved,
                possible: f64::MAX,
            };
        };
        let overuse_factor = if lacks_usage_reports {
            self.ledger.overuse_factor(now)
        } else {
            1.0
        };
        let age_us = now.saturating_sub(synced_at);
        let filled = age_us as f64 / 1e6 * quota.rate_per_s * overuse_factor;
        let possible = if lacks_usage_reports && age_us > MAX_REJECTING_LEVEL_AGE_US {
            f64::MAX
        } else {
            self.level + filled * (1.0 - self.rate_share(quota, now))
        };
        let max_certain = if self.has_separate_ceiling(quota) && synced_at != now {
            self.ceiling_level.max(self.reserved_units)
        } else {
            f64::MAX
        };
        LevelBounds {
            certain: reserved.max(self.level - filled).min(max_certain),
            possible,
        }
    }
}

/// Returns one permit if using a permit that is free with this probability earns more than it costs, else none.
fn guessed_permits(free_probability: f64, overrun_cost: f64) -> f64 {
    if free_probability > (1.0 - free_probability) * overrun_cost * GUESS_COST_FACTOR {
        1.0
    } else {
        0.0
    }
}
