//! What this gateway knows of one customer's use besides the counter's totals, and so whether these can be true. It keeps
//! evidence only; what follows from it is decided elsewhere.

use super::meter_history::{MeterComparison, MeterHistory};
use crate::interface::Micros;

/// Calls in a row without a reply before the counter is lost: one may be late at any time...
const UNANSWERED_CALLS_TO_LOSE: u8 = 3;
/// ...and the time for which there was none: calls on one connection are lost with it all at once.
const UNANSWERED_US_TO_LOSE: Micros = 500_000;
/// Share of a total whose loss shows that the count was replaced: less may be corrections of other gateways.
const REPLACED_COUNT_LOSS: f64 = 0.5;
/// Totals are taken by their changes for so long after the last that could not be true.
const DOUBT_TIMEOUT_US: Micros = 5_000_000;

/// Why a total cannot be true.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CounterEvidence {
    /// It decreased by more than can have been given back.
    TotalDecreased,
    /// It is negative.
    TotalNegative,
    /// It grew by more than the other gateways can have used.
    TotalJumped,
    /// The meter reported more use than the total holds.
    Underreported,
}

impl CounterEvidence {
    /// The text of log lines.
    pub fn text(self) -> &'static str {
        match self {
            CounterEvidence::TotalDecreased => "a total went back",
            CounterEvidence::TotalNegative => "a total is below nothing",
            CounterEvidence::TotalJumped => "a total grew by more than can be used",
            CounterEvidence::Underreported => "the meter tells of use that a total leaves out",
        }
    }
}

/// A total as the counter replied it, with what bounds it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedTotal {
    /// Number of the counter's window.
    pub window: u64,
    /// What the call itself added.
    pub amount: f64,
    /// The total after the call.
    pub total: f64,
    /// The most that all gateways can have used in the window.
    pub max_usage: f64,
    /// What may be given back at any time, as it was requested and not used.
    pub slack: f64,
}

/// What a total of the counter says.
#[derive(Debug, PartialEq)]
pub(crate) struct TotalAssessment {
    /// Use of the other gateways since the previous total.
    pub others_units: f64,
    /// Units that this gateway had added and that are lost: they have to be added again.
    pub units_to_add_again: f64,
    /// Why the total cannot be true, if so.
    pub evidence: Option<CounterEvidence>,
    /// Whether it is the first total of another window.
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

/// One customer's totals, the calls without a reply, and the meter beside them.
#[derive(Default)]
pub(crate) struct UsageLedger {
    /// Number of the counter's window, and the last total in it.
    last_total: Option<(u64, f64)>,
    /// What this gateway added in that window and expects to be in the total.
    added_units: f64,
    /// Amounts of calls without a reply since the last total: they may or may not have been added.
    uncertain_units: f64,
    /// Such calls in a row.
    unanswered_calls: u8,
    unanswered_since: Option<Micros>,
    /// There were so many, and for so long, that the counter is lost.
    is_lost: bool,
    /// Sum of the changes that were not believed: if the total takes them back, nothing was lost.
    rejected_change: f64,
    doubted_at: Option<Micros>,
    /// When the counter last replied again after it was lost.
    recovered_at: Option<Micros>,
    meter: MeterHistory,
}

impl UsageLedger {
    /// A ledger for a quota that fills at this rate.
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

    /// Records a call without a reply: its amount may or may not have been added.
    pub fn record_unanswered_call(&mut self, now: Micros, amount: f64) {
        self.uncertain_units += amount;
        self.unanswered_calls = self.unanswered_calls.saturating_add(1);
        let since = *self.unanswered_since.get_or_insert(now);
        self.is_lost |= self.unanswered_calls >= UNANSWERED_CALLS_TO_LOSE
            && now.saturating_sub(since) >= UNANSWERED_US_TO_LOSE;
    }

    /// Whether the counter replied again after a loss, not long ago.
    pub fn has_recently_recovered(&self, now: Micros) -> bool {
        self.recovered_at
            .is_some_and(|at| now.saturating_sub(at) < 2 * DOUBT_TIMEOUT_US)
    }

    /// Whether the meter has to do in place of the totals: the counter is lost, or leaves out what others use, or has just
    /// recovered and lacks what others have not reported yet.
    pub fn is_unreliable(&self, now: Micros) -> bool {
        let is_recovering = self
            .recovered_at
            .is_some_and(|at| now.saturating_sub(at) < DOUBT_TIMEOUT_US);
        self.is_lost || is_recovering || self.counter_underreports(now)
    }

    /// Settles the calls without a reply by the units that the total `lacks`. Returns what was not added and has to be
    /// added again.
    pub fn resolve_uncertain(&mut self, now: Micros, lacks: f64, slack: f64) -> f64 {
        let uncertain = std::mem::take(&mut self.uncertain_units).max(0.0);
        // A single lost call shows in nothing: it may as well have been added.
        if self.recovered_at == Some(now) && lacks > slack {
            uncertain.min(lacks)
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
        if self.takes_back_rejected_change(change) {
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

    /// Ends a series of calls without a reply.
    fn record_reply(&mut self, now: Micros) {
        self.unanswered_calls = 0;
        self.unanswered_since = None;
        if std::mem::take(&mut self.is_lost) {
            self.doubted_at = Some(now);
            self.recovered_at = Some(now);
        }
    }

    fn takes_back_rejected_change(&self, change: f64) -> bool {
        self.rejected_change != 0.0
            && (change + self.rejected_change).abs() <= self.rejected_change.abs() / 2.0
    }

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
        // Where most of the total is gone, the count was replaced. Each gateway adds again its own share of the loss: all
        // shares together are no more than that, whoever comes first, so nothing is counted twice.
        let lost_share = (-change / last.max(1e-9)).min(1.0);
        let units_to_add_again = if lost_share >= REPLACED_COUNT_LOSS {
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

    /// Whether totals are taken by their changes only: for a time after one that could not be true, and then for as long
    /// as they are `off` what is known.
    pub fn update_doubt(&mut self, now: Micros, off: bool) -> bool {
        let has_expired = self
            .doubted_at
            .is_some_and(|at| now.saturating_sub(at) >= DOUBT_TIMEOUT_US);
        if has_expired && !off {
            self.doubted_at = None;
        }
        self.doubted_at.is_some()
    }

    /// Records a reading of the meter: units a second that all gateways used in a period that is over. True once the
    /// counter has reported less for some periods, and is to be doubted.
    pub fn record_meter_reading(&mut self, now: Micros, units_per_s: f64) -> bool {
        match self.meter.record_reading(now, units_per_s) {
            MeterComparison::Unchanged => false,
            MeterComparison::NewlyUnderreported => true,
            MeterComparison::Recovering => {
                // From now on its totals have to agree with what is known.
                self.doubted_at = Some(now);
                false
            }
        }
    }

    /// Records the meter's reading as a share of the quota.
    pub fn record_metered_quota_share(&mut self, now: Micros, share: f64) {
        self.meter.record_quota_share(now, share);
    }

    /// How many times its quota the customer uses by the meter's last reading, at least 1; it fades with age.
    pub fn overuse_factor(&self, now: Micros) -> f64 {
        self.overuse_factor_after(now, 0.0)
    }

    /// The same where the reading has to last for requests that are `gap_us` apart.
    pub fn overuse_factor_after(&self, now: Micros, gap_us: f64) -> f64 {
        self.meter.overuse_factor(now, gap_us)
    }

    /// Whether the counter leaves out use of the other gateways.
    pub fn counter_underreports(&self, now: Micros) -> bool {
        self.meter.counter_underreports(now)
    }

    /// Units a second that all gateways use by the meter; `None` if it is silent.
    pub fn metered_usage_per_s(&self, now: Micros) -> Option<f64> {
        self.meter.usage_per_s(now)
    }

    /// Units a second that the other gateways use by the meter; `None` if it is silent.
    pub fn metered_others_usage_per_s(&self, now: Micros) -> Option<f64> {
        self.meter.others_usage_per_s(now)
    }

    /// Units a second that this gateway uses.
    pub fn own_usage_per_s(&self, now: Micros) -> f64 {
        self.meter.own_usage_per_s(now)
    }
}

#[cfg(test)]
mod tests;
