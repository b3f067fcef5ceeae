//! Applies the counter's totals to a customer's level, and determines which corrections of the count this gateway
//! makes. Arithmetic only.

use super::Customer;
use crate::counter::{CounterEvidence, CounterReply, ReportedTotal};
use crate::decaying_sum::DEMAND_TIME_CONSTANT_US;
use crate::interface::Micros;
use crate::quota::Quota;

/// Time for which a count has to be too high before another gateway lowers it: the gateway that caused the excess
/// would have corrected it within this time.
const MIN_OVERCOUNT_US: Micros = 300_000;
/// Number of calls that find a count inconsistent, for each one that corrects it.
const CALLS_PER_CORRECTION: f64 = 4.0;
/// Maximum size of a single correction, in units.
const MAX_CORRECTION_UNITS: f64 = 1e6;

/// Result of applying a total of units.
pub(crate) struct UnitSync {
    /// Why the total cannot be true; `None` if it is plausible.
    pub evidence: Option<CounterEvidence>,
    /// Units of the store that the count holds for this gateway.
    pub reserved_units: f64,
}

/// The store's level by a total, and what is known of it without the count.
struct LevelSync {
    /// Level computed from the total.
    level: f64,
    /// The present level, and the other gateways' share of what has filled in since the last sync: the level if
    /// they used nothing.
    max_level: f64,
    /// `max_level` less the other gateways' usage by the meter; the present level shortly after the counter
    /// recovered.
    remaining: f64,
    /// Time since the last sync; 0 before the first one.
    unsynced_s: f64,
    /// Units by which a new window's count has to be raised to carry on from the previous one.
    carried_over_units: f64,
}

/// Permission of this gateway to correct an inconsistent count.
struct CorrectionRule {
    /// Whether every gateway may correct the count: either the ceiling is held separately, or the customer has
    /// usage reports and an even slice holds the largest request.
    every_gateway_may_correct: bool,
    /// Whether this gateway may correct the count on this reply.
    may_correct_now: bool,
}

impl Customer {
    /// Applies a total of permits, which is either encoded in digits or a sum that starts at zero in each epoch.
    pub fn sync_permits(&mut self, quota: &Quota, reply: &CounterReply, now: Micros) {
        let capacity = quota.capacity;
        let in_flight = reply.in_flight_amount;
        let open = f64::from(self.open_attempts);
        let level;
        let used_by_others;
        if let Some(digits) = self.permit_digits {
            let permits = digits.decode(reply.total);
            self.unreported = if digits.is_member() {
                open - permits.own - in_flight
            } else {
                0.0
            };
            level = (capacity - permits.others - open).clamp(-capacity, capacity);
            used_by_others = permits.others;
        } else {
            level =
                (capacity - reply.total - self.unreported - in_flight).clamp(-capacity, capacity);
            used_by_others = (capacity - level - open).max(0.0);
        }
        self.sync_level(level, now);
        self.permits.record_use_by_others(now, used_by_others);
    }

    /// Applies a total of units. The store's level is its capacity and what has filled in since the window began,
    /// less what all gateways used in the window; units that overflowed while the store was full are corrected in
    /// the count. `rate_share` is this gateway's share of what fills in. `random` is called only where it decides
    /// whether this gateway corrects the count.
    pub fn sync_units(
        &mut self,
        quota: &Quota,
        rate_share: f64,
        reply: &CounterReply,
        now: Micros,
        random: impl FnOnce() -> f64,
    ) -> UnitSync {
        let gateways = f64::from(self.gateway_count);
        let filled = if quota.limits_concurrency {
            0.0
        } else {
            quota.rate_per_s * reply.call.window.elapsed_us as f64 / 1e6
        };
        let mut sync = self.begin_level_sync(quota, rate_share, filled, reply, now);
        let max_returned = gateways * (quota.max_request_units + 1.0) + quota.capacity / 4.0;
        let slack = if quota.limits_concurrency {
            f64::MAX
        } else {
            max_returned
        };
        let reported = ReportedTotal {
            window: reply.call.window.number,
            amount: reply.call.amount,
            total: reply.total,
            max_usage: quota.capacity + filled,
            slack,
        };
        let assessment = self.ledger.assess_total(now, &reported);
        let missing_units = sync.level - sync.remaining;
        let not_added = self.ledger.resolve_uncertain(now, missing_units, slack);
        self.unreported += assessment.units_to_add_again + not_added;
        sync.level -= (not_added * gateways).min((sync.level - sync.remaining).max(0.0));
        // The new count carries on from the last known level, less what the others have used since. Otherwise every
        // customer would have a second burst when a window begins.
        if assessment.begins_window && !quota.limits_concurrency {
            sync.carried_over_units = (sync.level - sync.remaining).max(0.0);
        }
        sync.level -= sync.carried_over_units;
        let is_inconsistent = (sync.level - sync.max_level).abs() > gateways + quota.capacity / 8.0;
        let is_doubted = self.ledger.update_doubt(now, is_inconsistent);
        if is_doubted {
            let ignores_change = assessment.evidence.is_some() || !self.is_synced(now);
            sync.apply_change_only(quota, assessment.others_units, ignores_change);
            sync.carried_over_units /= gateways;
        }
        let rule = self.correction_rule(quota, reply, random);
        self.undo_doubled_correction(&mut sync, assessment.others_units);
        self.correct_count(quota, &sync, &rule, is_doubted, now);
        let reserved_units = self.apply_level(quota, &sync, assessment.others_units, now);
        // A doubted total reserves nothing for any gateway: otherwise it would create up to a whole ceiling of
        // units.
        let is_certain = !is_doubted && reply.in_flight_amount == 0.0;
        UnitSync {
            evidence: assessment.evidence,
            reserved_units: reserved_units.filter(|_| is_certain).unwrap_or(0.0),
        }
    }

    /// Computes the level from a total, and the estimates that do not use the count.
    fn begin_level_sync(
        &self,
        quota: &Quota,
        rate_share: f64,
        filled: f64,
        reply: &CounterReply,
        now: Micros,
    ) -> LevelSync {
        // `unreported` includes, as a negative amount, the units that this gateway reserved and has not used yet.
        let level =
            quota.capacity + filled - reply.total - self.unreported - reply.in_flight_amount;
        let unsynced_s = self
            .synced_at
            .map_or(0.0, |at| now.saturating_sub(at) as f64 / 1e6);
        let max_level = self.level + quota.rate_per_s * (1.0 - rate_share) * unsynced_s;
        let remaining = if !self.is_synced(now) && self.ledger.has_recently_recovered(now) {
            // Each gateway kept its share of the store while the counter was lost: that much is certain to be
            // there.
            self.level
        } else {
            let others_per_s = self.ledger.metered_others_usage_per_s(now).unwrap_or(0.0);
            max_level - others_per_s * unsynced_s
        };
        LevelSync {
            level,
            max_level,
            remaining,
            unsynced_s,
            carried_over_units: 0.0,
        }
    }

    /// Determines whether this gateway may correct the count. In a large fleet, the gateway that begins a count
    /// corrects it, and later a random few do, so that they do not all overshoot.
    fn correction_rule(
        &self,
        quota: &Quota,
        reply: &CounterReply,
        random: impl FnOnce() -> f64,
    ) -> CorrectionRule {
        let every_gateway_may_correct = self.has_separate_ceiling(quota)
            || !self.has_undersized_slice(quota) && !self.lacks_usage_reports(quota);
        let begins_count = reply.total == reply.call.amount;
        CorrectionRule {
            every_gateway_may_correct,
            may_correct_now: every_gateway_may_correct
                || begins_count
                || random() < 1.0 / CALLS_PER_CORRECTION,
        }
    }

    /// Reverts this gateway's last correction where another gateway made the same one.
    fn undo_doubled_correction(&mut self, sync: &mut LevelSync, others_units: f64) {
        let correction = std::mem::take(&mut self.count_correction);
        if correction > 0.0 && others_units >= correction / 2.0 {
            let doubled = correction.min(others_units);
            self.unreported -= doubled;
            sync.level += doubled;
        }
    }

    /// Raises a count that is too low because the store overflowed, and lowers one that has been too high for
    /// `MIN_OVERCOUNT_US`.
    fn correct_count(
        &mut self,
        quota: &Quota,
        sync: &LevelSync,
        rule: &CorrectionRule,
        is_doubted: bool,
        now: Micros,
    ) {
        let capacity = quota.capacity;
        self.overcounted_since = self
            .overcounted_since
            .or(Some(now))
            .filter(|_| sync.level < -capacity);
        let is_persistently_overcounted = self
            .overcounted_since
            .is_some_and(|since| now - since >= MIN_OVERCOUNT_US);
        let tolerance = if rule.every_gateway_may_correct {
            1.1
        } else {
            1.5
        };
        let may_correct = !is_doubted && rule.may_correct_now;
        if sync.carried_over_units > 0.0 || may_correct && sync.level > tolerance * capacity {
            let overflow = (sync.level - capacity).max(0.0);
            self.count_correction = (sync.carried_over_units + overflow).min(MAX_CORRECTION_UNITS);
            self.unreported += self.count_correction;
        } else if may_correct && is_persistently_overcounted && !self.has_separate_ceiling(quota) {
            self.unreported += sync.level.max(-MAX_CORRECTION_UNITS);
            self.overcounted_since = None;
        }
    }

    /// Sets the customer's level, unless the other gateways' own reports or the meter are more reliable. Returns
    /// the units that the count then holds for this gateway.
    fn apply_level(
        &mut self,
        quota: &Quota,
        sync: &LevelSync,
        others_units: f64,
        now: Micros,
    ) -> Option<f64> {
        let is_trusted = self.lacks_usage_reports(quota) || !self.ledger.totals_are_unreliable(now);
        if self.follows_peer_reports(now) || !is_trusted {
            return None;
        }
        let capacity = quota.capacity;
        self.others_demand
            .add(now, DEMAND_TIME_CONSTANT_US, others_units.min(capacity));
        self.sync_level(sync.level.clamp(-capacity, capacity), now);
        Some((-self.unreported).min(self.level).max(0.0))
    }

    /// Records a call that returned no total. `never_ran`: its amount was certainly not added.
    pub fn record_missing_total(
        &mut self,
        quota: &Quota,
        amount: f64,
        never_ran: bool,
        now: Micros,
    ) {
        if never_ran {
            self.unreported += amount;
            return;
        }
        // If the counter did add the correction, the next total would look as if another gateway had made the same
        // one, and `undo_doubled_correction` would revert it.
        self.count_correction = 0.0;
        if !quota.limits_concurrency {
            self.ledger.record_unanswered_call(now, amount);
        }
    }
}

impl LevelSync {
    /// Replaces the level of a doubted total by `max_level` less the change of the total, as far as that can be
    /// usage since the last sync, or by `remaining` if `ignores_change`.
    fn apply_change_only(&mut self, quota: &Quota, others_units: f64, ignores_change: bool) {
        let used = others_units.min(quota.rate_per_s * self.unsynced_s + 1.0);
        self.level = if ignores_change {
            self.remaining
        } else {
            self.max_level - used
        };
    }
}
