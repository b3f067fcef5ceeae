//! Evidence about one customer's usage beside the counter's totals, and so whether these totals can be true.
//! Decisions that follow from it are made elsewhere.

use super::meter_history::{MeterComparison, MeterHistory};
use crate::interface::Micros;

/// Minimum number of unanswered calls in a row for the counter to be lost: a single reply may be late at any time.
const MIN_UNANSWERED_CALLS: u8 = 3;
/// Minimum time that these calls span for the counter to be lost: a broken connection loses all its calls at once.
const MIN_UNANSWERED_US: Micros = 500_000;
/// Share of a total whose loss shows that the count was replaced: a smaller loss may be corrections by other
/// gateways.
const MIN_REPLACED_COUNT_LOSS: f64 = 0.5;
/// Minimum duration of a doubt, from its latest reason: an implausible total, or the recovery of a counter that was
/// lost or underreported. During a doubt only the changes of totals are used.
const DOUBT_TIMEOUT_US: Micros = 5_000_000;

/// Why a total of the counter cannot be true.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CounterEvidence {
    /// The total decreased by more than can have been returned.
    TotalDecreased,
    /// The total is negative.
    TotalNegative,
    /// The total grew by more than the other gateways can have used.
    TotalJumped,
    /// The meter reported more usage than the total contains.
    Underreported,
}

impl CounterEvidence {
    /// Returns the description for log lines.
    pub fn description(self) -> &'static str {
        match self {
            CounterEvidence::TotalDecreased => "a total went back",
            CounterEvidence::TotalNegative => "a total is negative",
            CounterEvidence::TotalJumped => "a total grew by more than can be used",
            CounterEvidence::Underreported => "the meter tells of use that a total leaves out",
        }
    }
}

/// A total that the counter replied, with the bounds on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedTotal {
    /// Number of the counter's time window.
    pub window: u64,
    /// Amount that the call itself added.
    pub amount: f64,
    /// Total after the call.
    pub total: f64,
    /// Maximum units that all gateways can have used in the window.
    pub max_usage: f64,
    /// Maximum units that may be returned at any time because they were reserved and not used.
    pub slack: f64,
}

/// What a total says of the usage and of the counter.
#[derive(Debug, PartialEq)]
pub(crate) struct TotalAssessment {
    /// Units that the other gateways used since the previous total.
    pub others_units: f64,
    /// Units of this gateway that the counter lost and that have to be added again.
    pub units_to_add_again: f64,
    /// Why the total cannot be true; `None` if it is plausible.
    pub evidence: Option<CounterEvidence>,
    /// Whether this is the first total of a new window.
    pub begins_window: bool,
}

impl TotalAssessment {
    fn plausible(others_units: f64, begins_window: bool) -> Self {
        TotalAssessment {
            others_units,
            units_to_add_again: 0.0,
            evidence: None,
            begins_window,
        }
    }

    fn implausible(evidence: CounterEvidence, begins_window: bool) -> Self {
        TotalAssessment {
            evidence: Some(evidence),
            ..TotalAssessment::plausible(0.0, begins_window)
        }
    }
}

/// One customer's last total, its unanswered calls, and its meter readings.
#[derive(Default)]
pub(crate) struct UsageLedger {
    /// Number of the counter's last known window, and the last total in it.
    last_total: Option<(u64, f64)>,
    /// Units that this gateway added in that window and expects in the total.
    added_units: f64,
    /// Sum of the amounts of calls since the last total that were not answered and may or may not have been added.
    uncertain_units: f64,
    /// Number of unanswered calls in a row.
    unanswered_calls: u8,
    /// Time at which the first of the unanswered calls was recorded.
    unanswered_since: Option<Micros>,
    /// Whether the counter is lost: enough calls in a row were unanswered, over a long enough time.
    is_lost: bool,
    /// Sum of the changes of the total that were rejected as implausible. If the total reverts them, nothing was
    /// lost.
    rejected_change: f64,
    /// Time of the latest reason to doubt the totals; `None` while they are trusted.
    doubted_at: Option<Micros>,
    /// Time of the first reply after the counter was last lost.
    recovered_at: Option<Micros>,
    /// Usage rates by the meter, beside those by the counter.
    meter: MeterHistory,
}

impl UsageLedger {
    /// Creates the ledger of a customer whose quota fills at `rate_per_s`.
    pub fn new(rate_per_s: f64) -> UsageLedger {
        UsageLedger {
            meter: MeterHistory::new(rate_per_s),
            ..UsageLedger::default()
        }
    }

    /// Records units that this gateway admitted.
    pub fn record_own_usage(&mut self, now: Micros, units: f64) {
        self.meter.record_own_usage(now, units);
    }

    /// Records an unanswered call, whose `amount` may or may not have been added.
    pub fn record_unanswered_call(&mut self, now: Micros, amount: f64) {
        self.uncertain_units += amount;
        self.unanswered_calls = self.unanswered_calls.saturating_add(1);
        let since = *self.unanswered_since.get_or_insert(now);
        self.is_lost |= self.unanswered_calls >= MIN_UNANSWERED_CALLS
            && now.saturating_sub(since) >= MIN_UNANSWERED_US;
    }

    /// Whether the counter recovered from a loss within the last `2 * DOUBT_TIMEOUT_US`.
    pub fn has_recently_recovered(&self, now: Micros) -> bool {
        self.recovered_at
            .is_some_and(|at| now.saturating_sub(at) < 2 * DOUBT_TIMEOUT_US)
    }

    /// Whether the meter has to replace the totals: the counter is lost, omits usage of other gateways, or has just
    /// recovered and lacks what the others have not reported yet.
    pub fn totals_are_unreliable(&self, now: Micros) -> bool {
        let is_recovering = self
            .recovered_at
            .is_some_and(|at| now.saturating_sub(at) < DOUBT_TIMEOUT_US);
        self.is_lost || is_recovering || self.counter_underreports(now)
    }

    /// Resolves the unanswered calls, given the `missing_units` of the total. Returns how many of their units the
    /// counter did not add, so that they have to be added again.
    pub fn resolve_uncertain(&mut self, now: Micros, missing_units: f64, slack: f64) -> f64 {
        let uncertain = std::mem::take(&mut self.uncertain_units).max(0.0);
        // Without a preceding loss of the counter, unanswered calls count as added: the total does not show whether
        // they were.
        if self.recovered_at == Some(now) && missing_units > slack {
            uncertain.min(missing_units)
        } else {
            0.0
        }
    }

    /// Records a total and assesses it.
    pub fn assess_total(&mut self, now: Micros, reported: &ReportedTotal) -> TotalAssessment {
        self.record_reply(now);
        let previous = self.last_total.replace((reported.window, reported.total));
        let previous_in_window = previous.filter(|(window, _)| *window == reported.window);
        let begins_window = previous.is_some() && previous_in_window.is_none();
        if previous_in_window.is_none() {
            self.added_units = 0.0;
            self.rejected_change = 0.0;
            self.uncertain_units = 0.0;
        }
        let last = previous_in_window.map_or(0.0, |(_, last)| last);
        let change = reported.total - reported.amount - last;
        let added_before = self.added_units;
        self.added_units += reported.amount;
        if self.reverts_rejected_change(change) {
            self.rejected_change = 0.0;
            return TotalAssessment::plausible(0.0, false);
        }
        if change < -reported.slack {
            self.doubted_at = Some(now);
            let mut assessment = self.assess_decrease(reported, change, last, added_before);
            assessment.begins_window = begins_window;
            return assessment;
        }
        let exceeds_possible_use =
            reported.total - reported.amount > reported.max_usage + reported.slack;
        if exceeds_possible_use && change > reported.slack {
            self.doubted_at = Some(now);
            self.rejected_change += change;
            return TotalAssessment::implausible(CounterEvidence::TotalJumped, begins_window);
        }
        self.meter.record_counter_usage(now, change.max(0.0));
        TotalAssessment::plausible(change.max(0.0), begins_window)
    }

    /// Ends a series of unanswered calls, and records the recovery of a lost counter.
    fn record_reply(&mut self, now: Micros) {
        self.unanswered_calls = 0;
        self.unanswered_since = None;
        if std::mem::take(&mut self.is_lost) {
            self.doubted_at = Some(now);
            self.recovered_at = Some(now);
        }
    }

    /// Whether `change` reverts the changes that were rejected before.
    fn reverts_rejected_change(&self, change: f64) -> bool {
        self.rejected_change != 0.0
            && (change + self.rejected_change).abs() <= self.rejected_change.abs() / 2.0
    }

    /// Assesses a total that decreased by more than the slack.
    fn assess_decrease(
        &mut self,
        reported: &ReportedTotal,
        change: f64,
        last: f64,
        added_before: f64,
    ) -> TotalAssessment {
        if reported.total - reported.amount < -reported.slack {
            self.rejected_change += change;
            return TotalAssessment::implausible(CounterEvidence::TotalNegative, false);
        }
        // A loss of most of the total shows that the count was replaced. Each gateway adds its own share of the
        // loss again: all shares together are no more than the loss, in whatever order they come, so nothing is
        // counted twice.
        let lost_share = (-change / last.max(1e-9)).min(1.0);
        let units_to_add_again = if lost_share >= MIN_REPLACED_COUNT_LOSS {
            (added_before * lost_share).max(0.0)
        } else {
            0.0
        };
        self.added_units -= units_to_add_again;
        TotalAssessment {
            units_to_add_again,
            ..TotalAssessment::implausible(CounterEvidence::TotalDecreased, false)
        }
    }

    /// Updates the doubt about the totals, and returns whether it lasts: for `DOUBT_TIMEOUT_US` after its latest
    /// reason, and then for as long as a level by the totals `is_inconsistent` with what is known otherwise.
    pub fn update_doubt(&mut self, now: Micros, is_inconsistent: bool) -> bool {
        let has_expired = self
            .doubted_at
            .is_some_and(|at| now.saturating_sub(at) >= DOUBT_TIMEOUT_US);
        if has_expired && !is_inconsistent {
            self.doubted_at = None;
        }
        self.doubted_at.is_some()
    }

    /// Records a meter reading: the units a second that all gateways used in the meter's last complete period.
    /// Returns true once the counter has underreported for some periods, so that it becomes doubted.
    pub fn record_meter_reading(&mut self, now: Micros, units_per_s: f64) -> bool {
        match self.meter.record_reading(now, units_per_s) {
            MeterComparison::Unchanged => false,
            MeterComparison::NewlyUnderreported => true,
            MeterComparison::Recovering => {
                // From now on the counter's totals have to be consistent with what is known.
                self.doubted_at = Some(now);
                false
            }
        }
    }

    /// Records a meter reading as a share of the quota.
    pub fn record_metered_quota_share(&mut self, now: Micros, share: f64) {
        self.meter.record_quota_share(now, share);
    }

    /// Returns how many times its quota the customer uses by the last meter reading, at least 1. The excess decays
    /// with the reading's age.
    pub fn overuse_factor(&self, now: Micros) -> f64 {
        self.overuse_factor_for_gap(now, 0.0)
    }

    /// Returns the overuse factor of a customer whose requests are `gap_us` apart, for which the excess decays more
    /// slowly.
    pub fn overuse_factor_for_gap(&self, now: Micros, gap_us: f64) -> f64 {
        self.meter.overuse_factor(now, gap_us)
    }

    /// Whether the counter's totals omit usage of other gateways, by the meter.
    pub fn counter_underreports(&self, now: Micros) -> bool {
        self.meter.counter_underreports(now)
    }

    /// Returns the usage of all gateways by the meter, in units a second; `None` if the last reading is too old.
    pub fn metered_usage_per_s(&self, now: Micros) -> Option<f64> {
        self.meter.usage_per_s(now)
    }

    /// Returns the usage of the other gateways by the meter, in units a second; `None` if the last reading is too
    /// old.
    pub fn metered_others_usage_per_s(&self, now: Micros) -> Option<f64> {
        self.meter.others_usage_per_s(now)
    }

    /// Returns the usage of this gateway in units a second.
    pub fn own_usage_per_s(&self, now: Micros) -> f64 {
        self.meter.own_usage_per_s(now)
    }
}

#[cfg(test)]
mod tests;
