//! How much of a customer's quota may pass at this gateway, as far as is known without another query.

use super::Customer;
use crate::interface::Micros;
use crate::quota::Quota;

/// Units that other gateways reserved in vain are soon returned: a level that is older than this may be higher by now.
const MAX_SPARSE_STALENESS_US: Micros = 100_000;
/// A guess that a permit is free has to earn so many times its cost, as many gateways guess alike.
pub(crate) const GUESS_COST_FACTOR: f64 = 2.0;

/// What a quota says of one request.
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
    /// The decision for a quota that surely covers a request, or surely does not.
    pub fn covers(is_covered: bool) -> Self {
        if is_covered {
            QuotaDecision::Admit
        } else {
            QuotaDecision::Reject
        }
    }
}

/// How many units may pass here, as far as is known now.
pub(crate) struct QuotaEstimate {
    /// Surely so many.
    pub certain_units: f64,
    /// Surely not more.
    pub possible_units: f64,
    /// So many where nobody is left to query.
    pub likely_units: f64,
    /// Whether the level was synced not too long ago.
    pub is_synced: bool,
}

impl QuotaEstimate {
    /// Whether the estimate alone decides a request of `units`; `Undecided` where the counter or the owner has to be
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

    /// The decision where nobody is left to query.
    pub fn decide_by_likelihood(&self, units: f64) -> QuotaDecision {
        QuotaDecision::covers(self.likely_units >= units)
    }
}

/// The least and the most that the store can hold for this gateway.
struct LevelBounds {
    certain: f64,
    possible: f64,
}

impl Customer {
    /// What may pass here of its quota. `overrun_cost`: what passing on beyond it costs, beside what it earns within;
    /// `attempt_s`: how long a mean attempt takes.
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

    /// Until the others report again, each gateway keeps to its share of what is there, as all see the same store.
    fn level_by_peer_reports(&self, now: Micros) -> f64 {
        if self.used_since_reports == 0.0 {
            return self.level;
        }
        let even_share = 1.0 / f64::from(self.gateway_count);
        let share = self.demand_share(now).max(even_share);
        let own_part = share * (self.level + self.used_since_reports) - self.used_since_reports;
        self.level.min(own_part)
    }

    /// The probability that a permit is free, where that is a guess: permits that were not synced just now.
    fn permit_probability(&self, quota: &Quota, now: Micros, attempt_s: f64) -> Option<f64> {
        let counts_permits = self.permit_digits.is_some() || self.counts_in_epochs(quota);
        if !counts_permits || self.is_synced_now(now) {
            return None;
        }
        let free = quota.capacity - f64::from(self.open_attempts);
        self.permits
            .availability_probability(now, attempt_s * 1e6, free)
    }

    /// What the store surely holds for this gateway, and what it can hold at most: since the last sync the others used
    /// the whole rate, or nothing.
    fn level_bounds(&self, quota: &Quota, now: Micros) -> LevelBounds {
        let is_sparse = self.is_sparse(quota);
        if self.is_owner || !is_sparse && self.ledger.is_unreliable(now) {
            return LevelBounds {
                certain: self.level,
                possible: self.level,
            };
        }
        let reserved = f64::from(self.permits.spare).max(self.reserved_units);
        let count_is_in_step = !quota.limits_concurrency && self.level > -quota.capacity;
        let Some(synced_at) = self.synced_at.filter(|_| count_is_in_step) else {
            return LevelBounds {
                certain: reserved,
                possible: f64::MAX,
            };
        };
        let overuse_factor = if is_sparse {
            self.ledger.overuse_factor(now)
        } else {
            1.0
        };
        let age_us = now.saturating_sub(synced_at);
        let filled = age_us as f64 / 1e6 * quota.rate_per_s * overuse_factor;
        let possible = if is_sparse && age_us > MAX_SPARSE_STALENESS_US {
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

/// A permit that is free with this probability is used if that earns more than it costs.
fn guessed_permits(free_probability: f64, overrun_cost: f64) -> f64 {
    if free_probability > (1.0 - free_probability) * overrun_cost * GUESS_COST_FACTOR {
        1.0
    } else {
        0.0
    }
}
