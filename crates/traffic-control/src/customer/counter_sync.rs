//! What a total of the counter says of a customer's store, and what of it this gateway corrects. Arithmetic only.

use super::Customer;
use crate::counter::{CounterEvidence, CounterReply, ReportedTotal};
use crate::decaying_sum::DEMAND_TAU_US;
use crate::interface::Micros;
use crate::quota::Quota;

/// A count out of step for so long is not being corrected by the gateway that caused it.
const PERSISTENT_LOW_US: Micros = 300_000;
/// One in so many calls that find a count out of step corrects it.
const GATEWAYS_PER_CORRECTION: f64 = 4.0;
/// Bound on a single correction, in units.
const MAX_CORRECTION: f64 = 1e6;

/// What a total of units said.
pub(crate) struct UnitSync {
    /// Why the total cannot be true, if so.
    pub evidence: Option<CounterEvidence>,
    /// Units of the store that the count holds for this gateway.
    pub reserved_units: f64,
}

/// The store's level as a total is taken in, beside what is known without the count.
struct LevelSync {
    /// By the total.
    level: f64,
    /// At most so much is there...
    expected: f64,
    /// ...and so much of it the others have left, as far as is known.
    remaining: f64,
    unsynced_s: f64,
    /// What a new window's count has to carry on from the previous one.
    carried: f64,
}

/// Who corrects a count that is out of step.
struct CorrectionRule {
    /// Whether few gateways see the customer, so that each may correct the count.
    has_few_correctors: bool,
    /// Whether this gateway corrects it now.
    corrects: bool,
}

impl Customer {
    /// Takes in a total of permits, by digits or as a sum that starts again in each epoch.
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

    /// Takes in a total of units. What all gateways used in the window, beside what filled in since, is the store's level;
    /// what overflowed while it was full is corrected in the count. `rate_share`: this gateway's share of what fills in;
    /// `random` is drawn only where it decides who corrects the count.
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
        let lacks = sync.level - sync.remaining;
        let not_added = self.ledger.resolve_uncertain(now, lacks, slack);
        self.unreported += assessment.units_to_add_again + not_added;
        sync.level -= (not_added * gateways).min((sync.level - sync.remaining).max(0.0));
        // Without this every customer would have a second burst when a window begins: the new count carries on from the
        // level that was known, and what the others have not used since.
        if assessment.begins_window && !quota.limits_concurrency {
            sync.carried = (sync.level - sync.remaining).max(0.0);
        }
        sync.level -= sync.carried;
        let is_off = (sync.level - sync.expected).abs() > gateways + quota.capacity / 8.0;
        let is_doubted = self.ledger.update_doubt(now, is_off);
        if is_doubted {
            let is_fresh = assessment.evidence.is_some() || !self.is_synced(now);
            sync.take_change_only(quota, assessment.others_units, is_fresh);
            sync.carried /= gateways;
        }
        let rule = self.correction_rule(quota, reply, random);
        self.undo_doubled_correction(&mut sync, assessment.others_units);
        self.correct_count(quota, &sync, &rule, is_doubted, now);
        let reserved_units = self.apply_level(quota, &sync, assessment.others_units, now);
        // A doubted total reserves nothing for anyone: otherwise it would create as much as a ceiling holds.
        let is_certain = !is_doubted && reply.in_flight_amount == 0.0;
        UnitSync {
            evidence: assessment.evidence,
            reserved_units: reserved_units.filter(|_| is_certain).unwrap_or(0.0),
        }
    }

    fn begin_level_sync(
        &self,
        quota: &Quota,
        rate_share: f64,
        filled: f64,
        reply: &CounterReply,
        now: Micros,
    ) -> LevelSync {
        // What this gateway wanted and has not used yet is unreported, below nothing.
        let level =
            quota.capacity + filled - reply.total - self.unreported - reply.in_flight_amount;
        let unsynced_s = self
            .synced_at
            .map_or(0.0, |at| now.saturating_sub(at) as f64 / 1e6);
        let expected = self.level + quota.rate_per_s * (1.0 - rate_share) * unsynced_s;
        let remaining = if !self.is_synced(now) && self.ledger.has_recently_recovered(now) {
            // Each gateway kept its share of the store: that is certain to be there.
            self.level
        } else {
            let others_per_s = self.ledger.metered_others_usage_per_s(now).unwrap_or(0.0);
            expected - others_per_s * unsynced_s
        };
        LevelSync {
            level,
            expected,
            remaining,
            unsynced_s,
            carried: 0.0,
        }
    }

    /// Of many gateways the one that begins a count corrects it, later only a few do, so that they do not all overshoot.
    fn correction_rule(
        &self,
        quota: &Quota,
        reply: &CounterReply,
        random: impl FnOnce() -> f64,
    ) -> CorrectionRule {
        let has_few_correctors = self.has_separate_ceiling(quota)
            || !self.is_undersized(quota) && !self.is_sparse(quota);
        let begins_count = reply.total == reply.call.amount;
        CorrectionRule {
            has_few_correctors,
            corrects: has_few_correctors
                || begins_count
                || random() < 1.0 / GATEWAYS_PER_CORRECTION,
        }
    }

    /// Takes the last correction back where another gateway corrected the same.
    fn undo_doubled_correction(&mut self, sync: &mut LevelSync, others_units: f64) {
        let correction = std::mem::take(&mut self.count_correction);
        if correction > 0.0 && others_units >= correction / 2.0 {
            let doubled = correction.min(others_units);
            self.unreported -= doubled;
            sync.level += doubled;
        }
    }

    /// Corrects a count that overflowed while the store was full, or that has been below nothing for a while.
    fn correct_count(
        &mut self,
        quota: &Quota,
        sync: &LevelSync,
        rule: &CorrectionRule,
        is_doubted: bool,
        now: Micros,
    ) {
        let capacity = quota.capacity;
        self.low_since = self
            .low_since
            .or(Some(now))
            .filter(|_| sync.level < -capacity);
        let stays_low = self
            .low_since
            .is_some_and(|since| now - since >= PERSISTENT_LOW_US);
        let tolerance = if rule.has_few_correctors { 1.1 } else { 1.5 };
        let may_correct = !is_doubted && rule.corrects;
        if sync.carried > 0.0 || may_correct && sync.level > tolerance * capacity {
            let overflow = (sync.level - capacity).max(0.0);
            self.count_correction = (sync.carried + overflow).min(MAX_CORRECTION);
            self.unreported += self.count_correction;
        } else if may_correct && stays_low && !self.has_separate_ceiling(quota) {
            self.unreported += sync.level.max(-MAX_CORRECTION);
            self.low_since = None;
        }
    }

    /// Takes the level over, unless the other gateways' own reports or the meter are more reliable. Returns what the count
    /// then holds for this gateway.
    fn apply_level(
        &mut self,
        quota: &Quota,
        sync: &LevelSync,
        others_units: f64,
        now: Micros,
    ) -> Option<f64> {
        let is_trusted = self.is_sparse(quota) || !self.ledger.is_unreliable(now);
        if self.follows_peer_reports(now) || !is_trusted {
            return None;
        }
        let capacity = quota.capacity;
        self.others_demand
            .add(now, DEMAND_TAU_US, others_units.min(capacity));
        self.sync_level(sync.level.clamp(-capacity, capacity), now);
        Some((-self.unreported).min(self.level).max(0.0))
    }

    /// Records a call that brought no total. `never_ran`: its amount was surely not added.
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
        // Were it added, it would look like another gateway's at the next reply.
        self.count_correction = 0.0;
        if !quota.limits_concurrency {
            self.ledger.record_unanswered_call(now, amount);
        }
    }
}

impl LevelSync {
    /// A total that cannot be true, or could not a moment ago, is taken by its change, as far as that is use.
    fn take_change_only(&mut self, quota: &Quota, others_units: f64, is_fresh: bool) {
        let used = others_units.min(quota.rate_per_s * self.unsynced_s + 1.0);
        self.level = if is_fresh {
            self.remaining
        } else {
            self.expected - used
        };
    }
}
