//! What this gateway knows of one customer's use besides what the counter says: what it added itself, what the meter
//! told, and so whether the counter's totals can be true. Evidence only; what follows from it is decided elsewhere.

use crate::decaying_sum::DecayingSum;
use crate::interface::Micros;

/// Of a total seven digits are exact, of either sign.
const MAX_EXACT_TOTAL: f64 = 5e6;
/// A figure of the meter counts for so long: a period, its lateness, and one that was missed.
const METER_TIMEOUT_US: Micros = 3_500_000;
/// Use is taken over at least this: longer than the meter is late, so that both speak of about the same time...
const MIN_TAU_US: f64 = 2_000_000.0;
/// ...at most this, and else over as long as so many units come in: of few units chance is most.
const MAX_TAU_US: f64 = 8_000_000.0;
const TAU_UNITS: f64 = 40.0;
/// The most that was told of late fades to half in this.
const PEAK_HALF_LIFE_US: f64 = 2_000_000.0;
/// That a customer uses too much is half forgotten after this: most do so for some seconds.
const OVERUSE_HALF_LIFE_US: f64 = 5_000_000.0;
/// ...or in the time of so many visits: whoever meets a customer rarely has nothing newer.
const OVERUSE_HALF_LIFE_REQUESTS: f64 = 2.0;
/// Weight of the meter's last figure.
const METER_WEIGHT: f64 = 0.5;
/// A unit a second is chance.
const METER_NOISE_PER_S: f64 = 1.0;
/// The meter is above what the counter told by so much, for so many periods in a row, before the counter is doubted.
const METER_TOLERANCE: f64 = 1.1;
const PERIODS_TO_DOUBT: u8 = 2;
/// It tells of all again for so many periods more before it is believed.
const PERIODS_TO_RECOVER: u8 = 3;
/// Calls in a row that had no answer before nothing is heard: one may be late at any time.
const UNANSWERED_CALLS_TO_LOSE: u8 = 3;
/// ...and for so long: calls that were on one connection are lost with it all at once.
const UNANSWERED_US_TO_LOSE: Micros = 500_000;
/// Of a total so much is gone that it is another's: less may be others' corrections.
const REPLACED_COUNT_LOSS: f64 = 0.5;
/// Totals are taken by their changes for so long after the last that could not be true.
const DOUBT_TIMEOUT_US: Micros = 5_000_000;

/// Each gateway of a customer's set has a digit of the count for its own open attempts, so that it sees what the
/// count holds for it: a call of which nobody knows whether it was added is put right by the next answer.
#[derive(Clone, Copy)]
pub(crate) struct PermitDigits {
    base: i64,
    width: u32,
    /// At or past the width: not of the set, which only reads.
    own_index: u32,
}

impl PermitDigits {
    /// None where so many digits of that size do not fit what a count keeps exactly.
    pub fn new(most: f64, width: u32, mine: u32) -> Option<Self> {
        let base = (4.0 * most + 5.0).max(16.0);
        (base.powi(width as i32) <= MAX_EXACT_TOTAL).then_some(PermitDigits {
            base: base as i64,
            width,
            own_index: mine,
        })
    }

    /// Of the customer's set: it has a digit of its own.
    pub fn is_member(self) -> bool {
        self.own_index < self.width
    }

    /// What one place of this gateway adds to the count.
    pub fn weight(self) -> f64 {
        if self.is_member() {
            (self.base as f64).powi(self.own_index as i32)
        } else {
            0.0
        }
    }

    /// What the total holds for this gateway, and for all others. A digit below nothing is a correction under way.
    pub fn decode(self, total: f64) -> (f64, f64) {
        let (mut left, mut mine, mut others) = (total.round() as i64, 0, 0);
        for n in 0..self.width {
            let half = self.base / 2;
            let digit = (left + half).rem_euclid(self.base) - half;
            left = (left - digit) / self.base;
            if n == self.own_index {
                mine = digit
            } else {
                others += digit.max(0)
            }
        }
        (mine as f64, others as f64)
    }
}

/// Why a total cannot be true.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CounterEvidence {
    /// It went back, further than anything in use could be given back.
    TotalDecreased,
    /// It is below nothing.
    TotalNegative,
    /// It grew by more than the others could have used.
    TotalJumped,
    /// The meter told of more use than it.
    Underreported,
}

impl CounterEvidence {
    pub fn text(self) -> &'static str {
        match self {
            CounterEvidence::TotalDecreased => "a total went back",
            CounterEvidence::TotalNegative => "a total is below nothing",
            CounterEvidence::TotalJumped => "a total grew by more than can be used",
            CounterEvidence::Underreported => "the meter tells of use that a total leaves out",
        }
    }
}

/// What an answer of the counter is worth.
#[derive(Debug, PartialEq)]
pub(crate) struct TotalAssessment {
    /// Use of the other gateways since the answer before.
    pub others_units: f64,
    /// Of what this gateway had added, so much has to be added again.
    pub units_to_add_again: f64,
    pub evidence: Option<CounterEvidence>,
    /// It is the first of another life of the count.
    pub begins_window: bool,
}

#[derive(Default)]
pub(crate) struct UsageLedger {
    /// Which of the count's lives, and the total that it was last at.
    last_total: Option<(u64, f64)>,
    /// What this gateway has added in that life and holds to be in the total.
    added_units: f64,
    /// Added by calls of which nobody knows whether they were, since the last total.
    uncertain_units: f64,
    /// Such calls in a row.
    unanswered_calls: u8,
    unanswered_since: Option<Micros>,
    /// There were so many, and for so long, that nothing is heard any more.
    is_lost: bool,
    /// Leaps that were not believed, less what was below nothing: when it is taken back, all is as before.
    rejected_change: f64,
    doubted_at: Option<Micros>,
    /// When it was last heard again after a silence.
    recovered_at: Option<Micros>,
    /// Time constant of what follows.
    tau_us: f64,
    /// Own use.
    own_usage: DecayingSum,
    /// The same with that of others as the counter told it, and the highest rate of it.
    counter_usage: DecayingSum,
    counter_usage_peak: (f64, Micros),
    /// The meter's figure, as a rate.
    meter_reading: Option<(Micros, f64)>,
    /// The same, of the last few.
    meter_average: f64,
    /// The meter's last figure as a part of the quota.
    metered_quota_share: Option<(Micros, f64)>,
    /// Periods in a row in which the meter told of more than the counter.
    underreported_periods: u8,
}

impl UsageLedger {
    /// Of a quota that fills at this rate.
    pub fn new(rate: f64) -> UsageLedger {
        let tau_us = (TAU_UNITS / rate.max(1e-9) * 1e6).clamp(MIN_TAU_US, MAX_TAU_US);
        UsageLedger {
            tau_us,
            ..UsageLedger::default()
        }
    }

    /// Units that this gateway sent on.
    pub fn record_own_usage(&mut self, now: Micros, units: f64) {
        self.own_usage.add(now, self.tau_us, units);
        self.record_counter_usage(now, units);
    }

    fn record_counter_usage(&mut self, now: Micros, units: f64) {
        self.counter_usage.add(now, self.tau_us, units);
        self.counter_usage_peak = (
            self.counter_usage
                .per_s(now, self.tau_us)
                .max(self.decayed_peak(now)),
            now,
        );
    }

    fn decayed_peak(&self, now: Micros) -> f64 {
        self.counter_usage_peak.0
            * 0.5f64.powf(now.saturating_sub(self.counter_usage_peak.1) as f64 / PEAK_HALF_LIFE_US)
    }

    /// A call had no answer: it may have been added, or not.
    pub fn record_unanswered_call(&mut self, now: Micros, amount: f64) {
        self.uncertain_units += amount;
        self.unanswered_calls = self.unanswered_calls.saturating_add(1);
        let since = *self.unanswered_since.get_or_insert(now);
        self.is_lost |= self.unanswered_calls >= UNANSWERED_CALLS_TO_LOSE
            && now.saturating_sub(since) >= UNANSWERED_US_TO_LOSE;
    }

    /// It came back after a silence, and not long ago.
    pub fn has_recently_recovered(&self, now: Micros) -> bool {
        self.recovered_at
            .is_some_and(|at| now.saturating_sub(at) < 2 * DOUBT_TIMEOUT_US)
    }

    /// Nothing is heard of its total any more, or it leaves out what others use, or it has just come back and lacks what
    /// others have not told yet: the meter has to do.
    pub fn is_unreliable(&self, now: Micros) -> bool {
        let settles = self
            .recovered_at
            .is_some_and(|at| now.saturating_sub(at) < DOUBT_TIMEOUT_US);
        self.is_lost || settles || self.counter_underreports(now)
    }

    /// What of such calls was not added, by what the total lacks: it is to be added again. Others lack about as much.
    pub fn resolve_uncertain(&mut self, now: Micros, lacks: f64, slack: f64) -> f64 {
        let uncertain = std::mem::take(&mut self.uncertain_units).max(0.0);
        // One that was lost now and then shows in nothing: it may as well have been added.
        if self.recovered_at == Some(now) && lacks > slack {
            uncertain.min(lacks)
        } else {
            0.0
        }
    }

    /// Takes in a total. `limit`: what all can have used in this life; `slack`: what may be given back at any time, as it
    /// was asked for and not used.
    pub fn assess_total(
        &mut self,
        now: Micros,
        life: u64,
        amount: f64,
        total: f64,
        limit: f64,
        slack: f64,
    ) -> TotalAssessment {
        (self.unanswered_calls, self.unanswered_since) = (0, None);
        if std::mem::take(&mut self.is_lost) {
            (self.doubted_at, self.recovered_at) = (Some(now), Some(now));
        }
        let fine = |others| TotalAssessment {
            others_units: others,
            units_to_add_again: 0.0,
            evidence: None,
            begins_window: false,
        };
        let before = self.last_total.replace((life, total));
        let same = before.filter(|(was, _)| *was == life);
        let begins = before.is_some() && same.is_none();
        let doubtful = |evidence| TotalAssessment {
            evidence: Some(evidence),
            begins_window: begins,
            ..fine(0.0)
        };
        if same.is_none() {
            (self.added_units, self.rejected_change, self.uncertain_units) = (0.0, 0.0, 0.0);
        }
        let last = same.map_or(0.0, |(_, last)| last);
        let change = total - amount - last;
        let added = self.added_units;
        self.added_units += amount;
        // What was not believed is taken back: nothing was lost.
        let reversed = self.rejected_change != 0.0
            && (change + self.rejected_change).abs() <= self.rejected_change.abs() / 2.0;
        if reversed {
            self.rejected_change = 0.0;
            return fine(0.0);
        }
        if change < -slack {
            self.doubted_at = Some(now);
            if total - amount < -slack {
                self.rejected_change += change;
                return doubtful(CounterEvidence::TotalNegative);
            }
            // Most of it is gone: it was replaced. Each gateway makes up for its own part in what is lacking: all parts
            // together are no more than that, whoever comes first, so nothing is there twice.
            let lacks = (-change / last.max(1e-9)).min(1.0);
            let again = if lacks >= REPLACED_COUNT_LOSS {
                (added * lacks).max(0.0)
            } else {
                0.0
            };
            self.added_units -= again;
            return TotalAssessment {
                units_to_add_again: again,
                ..doubtful(CounterEvidence::TotalDecreased)
            };
        }
        if total - amount > limit + slack && change > slack {
            self.doubted_at = Some(now);
            self.rejected_change += change;
            return doubtful(CounterEvidence::TotalJumped);
        }
        self.record_counter_usage(now, change.max(0.0));
        TotalAssessment {
            begins_window: begins,
            ..fine(change.max(0.0))
        }
    }

    /// Whether totals are taken by their changes only, not for what they are: for a time after one that could not be
    /// true, and then as long as they are `off` what is known.
    pub fn update_doubt(&mut self, now: Micros, off: bool) -> bool {
        if !off
            && self
                .doubted_at
                .is_some_and(|at| now.saturating_sub(at) >= DOUBT_TIMEOUT_US)
        {
            self.doubted_at = None;
        }
        self.doubted_at.is_some()
    }

    /// The meter's figure came: units that all gateways used in a period that is over. True once the counter has told of
    /// less for some periods, and is to be doubted.
    pub fn record_meter_reading(&mut self, now: Micros, units_per_s: f64) -> bool {
        // Every answer tells it, until there is another.
        let before = self.meter_reading.replace((now, units_per_s));
        if before.is_some_and(|(_, was)| was == units_per_s) {
            return false;
        }
        self.meter_average += METER_WEIGHT * (units_per_s - self.meter_average);
        // Once in doubt, it has to tell of all again, and for longer; before that what it told at any time of late will do.
        let doubted = self.underreported_periods >= PERIODS_TO_DOUBT;
        let told = if doubted {
            self.counter_usage.per_s(now, self.tau_us)
        } else {
            self.decayed_peak(now)
        };
        self.underreported_periods =
            match self.meter_average > told * METER_TOLERANCE + METER_NOISE_PER_S {
                true if doubted => PERIODS_TO_DOUBT + PERIODS_TO_RECOVER,
                true => self.underreported_periods + 1,
                false if doubted => {
                    // Then its totals have to agree with what is known.
                    self.doubted_at = Some(now);
                    self.underreported_periods - 1
                }
                false => 0,
            };
        !doubted && self.underreported_periods == PERIODS_TO_DOUBT
    }

    /// The meter told of so much, as a part of the quota.
    pub fn record_metered_quota_share(&mut self, now: Micros, part: f64) {
        self.metered_quota_share = Some((now, part));
    }

    /// How many times the quota the customer uses, by the meter's last figure; 1 at least. The older it is the less it
    /// says.
    pub fn overuse_factor(&self, now: Micros) -> f64 {
        self.overuse_factor_after(now, 0.0)
    }

    /// The same where it is to last until the customer comes again, so long after.
    pub fn overuse_factor_after(&self, now: Micros, gap_us: f64) -> f64 {
        let fades_us = OVERUSE_HALF_LIFE_US.max(OVERUSE_HALF_LIFE_REQUESTS * gap_us);
        let faded = |(at, part): (Micros, f64)| {
            (part - 1.0).max(0.0) * 0.5f64.powf(now.saturating_sub(at) as f64 / fades_us)
        };
        1.0 + self.metered_quota_share.map_or(0.0, faded)
    }

    /// The counter leaves out what others use.
    pub fn counter_underreports(&self, now: Micros) -> bool {
        self.underreported_periods >= PERIODS_TO_DOUBT && self.metered_usage(now).is_some()
    }

    /// What all use, by the meter; none if it is silent.
    pub fn metered_usage(&self, now: Micros) -> Option<f64> {
        self.meter_reading
            .filter(|(at, _)| now.saturating_sub(*at) <= METER_TIMEOUT_US)
            .map(|_| self.meter_average)
    }

    /// What the others use, by the meter.
    pub fn metered_others_usage(&self, now: Micros) -> Option<f64> {
        Some((self.metered_usage(now)? - self.own_usage_per_s(now)).max(0.0))
    }

    /// What this gateway uses, a second.
    pub fn own_usage_per_s(&self, now: Micros) -> f64 {
        self.own_usage.per_s(now, self.tau_us)
    }
}

/// What the log says of the counter: each change once, and not too often.
#[derive(Default)]
pub(crate) struct CounterMonitor {
    answered_at: Option<Micros>,
    is_lost: bool,
    doubted_at: Option<Micros>,
    logged_at: Option<Micros>,
}

/// No answer for so long, though there were calls: it is lost.
const COUNTER_LOST_TIMEOUT_US: Micros = 1_500_000;
/// Without evidence for so long it is whole again.
const COUNTER_RECOVERED_TIMEOUT_US: Micros = 10_000_000;

impl CounterMonitor {
    /// A call ended, answered or not.
    pub fn record_call(&mut self, now: Micros, answered: bool) -> Option<String> {
        let silent = now.saturating_sub(*self.answered_at.get_or_insert(now));
        if answered {
            self.answered_at = Some(now);
            return std::mem::take(&mut self.is_lost).then(|| "counter answers again".into());
        }
        let lost = !self.is_lost && silent >= COUNTER_LOST_TIMEOUT_US && self.may_log(now);
        self.is_lost |= lost;
        lost.then(|| format!("counter lost: no answer for {} ms", silent / 1_000))
    }

    /// There is evidence that it is not whole, at a name or in what a server's meter told.
    pub fn record_evidence(
        &mut self,
        now: Micros,
        evidence: CounterEvidence,
        place: &str,
    ) -> Option<String> {
        let new = self.doubted_at.replace(now).is_none() && self.may_log(now);
        new.then(|| format!("counter doubtful: {} ({place})", evidence.text()))
    }

    pub fn clear_expired_doubt(&mut self, now: Micros) -> Option<String> {
        let over = self
            .doubted_at
            .is_some_and(|at| now.saturating_sub(at) >= COUNTER_RECOVERED_TIMEOUT_US);
        over.then(|| self.doubted_at = None)
            .map(|()| "counter whole again".into())
    }

    fn may_log(&mut self, now: Micros) -> bool {
        let may = self
            .logged_at
            .is_none_or(|at| now.saturating_sub(at) >= COUNTER_RECOVERED_TIMEOUT_US);
        if may {
            self.logged_at = Some(now);
        }
        may
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// Some gateways add to a counter that fails; each has a ledger.
    struct Rig {
        ledgers: Vec<UsageLedger>,
        total: f64,
        now: Micros,
    }

    impl Rig {
        fn new(gateways: usize) -> Rig {
            Rig {
                ledgers: (0..gateways).map(|_| UsageLedger::new(20.0)).collect(),
                total: 0.0,
                now: 1,
            }
        }

        fn add(&mut self, n: usize, amount: f64) -> TotalAssessment {
            self.now += 10_000;
            self.total += amount;
            self.ledgers[n].assess_total(self.now, 0, amount, self.total, 400.0, 4.0)
        }

        /// Each adds once, and what it has to add again.
        fn round(&mut self) {
            for n in 0..self.ledgers.len() {
                let again = self.add(n, 1.0).units_to_add_again;
                if again > 0.0 {
                    self.add(n, again);
                }
            }
        }
    }

    #[test]
    fn a_counter_replaced_by_one_from_zero_gets_back_no_more_than_was_lost() {
        let mut rig = Rig::new(4);
        (0..50).for_each(|_| rig.round());
        rig.total = 0.0;
        (0..5).for_each(|_| rig.round());
        // 55 rounds of 4 were added by all; each makes up for its part of what it sees lacking.
        assert!(rig.total <= 220.0, "{}", rig.total);
        // Who comes later sees less lacking.
        assert!(rig.total >= 100.0, "{}", rig.total);
        let now = rig.now;
        assert!(rig.ledgers.iter_mut().all(|l| l.update_doubt(now, false)));
    }

    #[test]
    fn what_is_given_back_within_the_slack_is_no_evidence() {
        let mut rig = Rig::new(1);
        (0..10).for_each(|_| rig.round());
        rig.total -= 3.0;
        assert_eq!(
            rig.add(0, 1.0),
            TotalAssessment {
                others_units: 0.0,
                units_to_add_again: 0.0,
                evidence: None,
                begins_window: false
            }
        );
    }

    #[test]
    fn a_leap_that_is_taken_back_loses_nothing() {
        let mut rig = Rig::new(1);
        (0..10).for_each(|_| rig.round());
        rig.total += 500.0;
        assert_eq!(rig.add(0, 1.0).evidence, Some(CounterEvidence::TotalJumped));
        rig.total -= 500.0;
        let back = rig.add(0, 1.0);
        assert_eq!((back.units_to_add_again, back.evidence), (0.0, None));
    }

    #[test]
    fn a_total_below_nothing_is_a_lie_and_nothing_is_added_again() {
        let mut rig = Rig::new(1);
        (0..10).for_each(|_| rig.round());
        rig.total -= 500.0;
        let below = rig.add(0, 1.0);
        assert_eq!(
            (below.units_to_add_again, below.evidence),
            (0.0, Some(CounterEvidence::TotalNegative))
        );
        rig.total += 500.0;
        assert_eq!(rig.add(0, 1.0).evidence, None, "as it was before");
    }

    /// A split leaves out half of what is used: the meter shows it, and by it the sum of the parts is the rate.
    #[test]
    fn the_meter_shows_what_a_split_counter_leaves_out() {
        let mut ledger = UsageLedger::new(20.0);
        let (mut now, mut told) = (0, 0);
        for second in 0..10u64 {
            for _ in 0..10 {
                now += 100_000;
                ledger.record_own_usage(now, 1.0);
            }
            let figure = if second < 5 {
                9.0 + second as f64 / 10.0
            } else {
                20.0 + second as f64
            };
            told += u32::from(ledger.record_meter_reading(now, figure));
            assert_eq!(ledger.counter_underreports(now), second >= 6, "{second}");
        }
        assert_eq!(told, 1, "told once");
        assert!(
            !ledger.counter_underreports(now + METER_TIMEOUT_US + 1),
            "a meter that is silent proves nothing"
        );
    }

    proptest! {
        /// No order of answers makes up for more than was lost, or for anything below nothing.
        #[test]
        fn never_more_is_added_again_than_is_lacking(steps in prop::collection::vec((0usize..4, 0.0..5.0f64, prop::option::weighted(0.1, 0.0..300.0f64)), 1..200)) {
            let mut rig = Rig::new(4);
            let mut lost = 0.0;
            for (n, amount, falls) in steps {
                if let Some(falls) = falls {
                    let falls = f64::min(falls, rig.total.max(0.0));
                    rig.total -= falls;
                    lost += falls;
                }
                let again = rig.add(n, amount).units_to_add_again;
                prop_assert!(again >= 0.0);
                rig.total += again;
                if again > 0.0 {
                    let (now, total) = (rig.now, rig.total);
                    rig.ledgers[n].assess_total(now, 0, again, total, 1e9, 4.0);
                }
                lost -= again;
                prop_assert!(lost >= -1e-6, "{} more than was lost", -lost);
            }
        }
    }
}
