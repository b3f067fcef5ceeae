//! What this gateway knows of one customer's use besides what the counter says: what it added itself, what the meter
//! told, and so whether the counter's totals can be true. Evidence only; what follows from it is decided elsewhere.

use crate::decayed::Decayed;
use crate::interface::Micros;

/// Of a total seven digits are exact, of either sign.
const COUNT_EXACT: f64 = 5e6;
/// A figure of the meter counts for so long: a period, its lateness, and one that was missed.
const METER_HOLDS_US: Micros = 3_500_000;
/// Use is taken over at least this: longer than the meter is late, so that both speak of about the same time...
const TAU_LEAST_US: f64 = 2_000_000.0;
/// ...at most this, and else over as long as so many units come in: of few units chance is most.
const TAU_MOST_US: f64 = 8_000_000.0;
const TAU_UNITS: f64 = 40.0;
/// The most that was told of late fades to half in this.
const PEAK_US: f64 = 2_000_000.0;
/// That a customer uses too much is half forgotten after this: most do so for some seconds.
const BUSY_FADES_US: f64 = 5_000_000.0;
/// ...or in the time of so many visits: whoever meets a customer rarely has nothing newer.
const BUSY_VISITS: f64 = 2.0;
/// Weight of the meter's last figure.
const FIGURE: f64 = 0.5;
/// A unit a second is chance.
const CHANCE: f64 = 1.0;
/// The meter is above what the counter told by so much, for so many periods in a row, before the counter is doubted.
const MORE: f64 = 1.1;
const PERIODS: u8 = 2;
/// It tells of all again for so many periods more before it is believed.
const AGREES: u8 = 3;
/// Calls in a row that had no answer before nothing is heard: one may be late at any time.
const SILENT: u8 = 3;
/// ...and for so long: calls that were on one connection are lost with it all at once.
const SILENT_US: Micros = 500_000;
/// Of a total so much is gone that it is another's: less may be others' corrections.
const REPLACED: f64 = 0.5;
/// Totals are taken by their changes for so long after the last that could not be true.
const DOUBT_US: Micros = 5_000_000;

/// Each gateway of a customer's set has a digit of the count for its own open attempts, so that it sees what the
/// count holds for it: a call of which nobody knows whether it was added is put right by the next answer.
#[derive(Clone, Copy)]
pub(crate) struct Digits {
    base: i64,
    width: u32,
    /// At or past the width: not of the set, which only reads.
    mine: u32,
}

impl Digits {
    /// None where so many digits of that size do not fit what a count keeps exactly.
    pub fn new(most: f64, width: u32, mine: u32) -> Option<Self> {
        let base = (4.0 * most + 5.0).max(16.0);
        (base.powi(width as i32) <= COUNT_EXACT).then_some(Digits {
            base: base as i64,
            width,
            mine,
        })
    }

    /// Of the customer's set: it has a digit of its own.
    pub fn counts(self) -> bool {
        self.mine < self.width
    }

    /// What one place of this gateway adds to the count.
    pub fn weight(self) -> f64 {
        if self.counts() {
            (self.base as f64).powi(self.mine as i32)
        } else {
            0.0
        }
    }

    /// What the total holds for this gateway, and for all others. A digit below nothing is a correction under way.
    pub fn read(self, total: f64) -> (f64, f64) {
        let (mut left, mut mine, mut others) = (total.round() as i64, 0, 0);
        for n in 0..self.width {
            let half = self.base / 2;
            let digit = (left + half).rem_euclid(self.base) - half;
            left = (left - digit) / self.base;
            if n == self.mine {
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
pub(crate) enum Evidence {
    /// It went back, further than anything in use could be given back.
    WentBack,
    /// It is below nothing.
    BelowNothing,
    /// It grew by more than the others could have used.
    Leapt,
    /// The meter told of more use than it.
    LeavesOut,
}

impl Evidence {
    pub fn text(self) -> &'static str {
        match self {
            Evidence::WentBack => "a total went back",
            Evidence::BelowNothing => "a total is below nothing",
            Evidence::Leapt => "a total grew by more than can be used",
            Evidence::LeavesOut => "the meter tells of use that a total leaves out",
        }
    }
}

/// What an answer of the counter is worth.
#[derive(Debug, PartialEq)]
pub(crate) struct Judged {
    /// Use of the other gateways since the answer before.
    pub others: f64,
    /// Of what this gateway had added, so much has to be added again.
    pub again: f64,
    pub evidence: Option<Evidence>,
    /// It is the first of another life of the count.
    pub begins: bool,
}

#[derive(Default)]
pub(crate) struct Ledger {
    /// Which of the count's lives, and the total that it was last at.
    last: Option<(u64, f64)>,
    /// What this gateway has added in that life and holds to be in the total.
    added: f64,
    /// Added by calls of which nobody knows whether they were, since the last total.
    uncertain: f64,
    /// Such calls in a row.
    silent: u8,
    silent_since: Option<Micros>,
    /// There were so many, and for so long, that nothing is heard any more.
    lost: bool,
    /// Leaps that were not believed, less what was below nothing: when it is taken back, all is as before.
    unbelieved: f64,
    doubted_at: Option<Micros>,
    /// When it was last heard again after a silence.
    returned_at: Option<Micros>,
    /// Time constant of what follows.
    tau_us: f64,
    /// Own use.
    own: Decayed,
    /// The same with that of others as the counter told it, and the highest rate of it.
    told: Decayed,
    peak: (f64, Micros),
    /// The meter's figure, as a rate.
    metered: Option<(Micros, f64)>,
    /// The same, of the last few.
    usual: f64,
    /// The meter's last figure as a part of the quota.
    seen: Option<(Micros, f64)>,
    /// Periods in a row in which the meter told of more than the counter.
    left_out: u8,
}

impl Ledger {
    /// Of a quota that fills at this rate.
    pub fn new(rate: f64) -> Ledger {
        let tau_us = (TAU_UNITS / rate.max(1e-9) * 1e6).clamp(TAU_LEAST_US, TAU_MOST_US);
        Ledger {
            tau_us,
            ..Ledger::default()
        }
    }

    /// Units that this gateway sent on.
    pub fn used(&mut self, now: Micros, units: f64) {
        self.own.add(now, self.tau_us, units);
        self.tell(now, units);
    }

    fn tell(&mut self, now: Micros, units: f64) {
        self.told.add(now, self.tau_us, units);
        self.peak = (self.told.per_s(now, self.tau_us).max(self.peak(now)), now);
    }

    fn peak(&self, now: Micros) -> f64 {
        self.peak.0 * 0.5f64.powf(now.saturating_sub(self.peak.1) as f64 / PEAK_US)
    }

    /// A call had no answer: it may have been added, or not.
    pub fn unanswered(&mut self, now: Micros, amount: f64) {
        self.uncertain += amount;
        self.silent = self.silent.saturating_add(1);
        let since = *self.silent_since.get_or_insert(now);
        self.lost |= self.silent >= SILENT && now.saturating_sub(since) >= SILENT_US;
    }

    /// It came back after a silence, and not long ago.
    pub fn returned(&self, now: Micros) -> bool {
        self.returned_at
            .is_some_and(|at| now.saturating_sub(at) < 2 * DOUBT_US)
    }

    /// Nothing is heard of its total any more, or it leaves out what others use, or it has just come back and lacks what
    /// others have not told yet: the meter has to do.
    pub fn astray(&self, now: Micros) -> bool {
        let settles = self
            .returned_at
            .is_some_and(|at| now.saturating_sub(at) < DOUBT_US);
        self.lost || settles || self.leaves_out(now)
    }

    /// What of such calls was not added, by what the total lacks: it is to be added again. Others lack about as much.
    pub fn resolve(&mut self, now: Micros, lacks: f64, slack: f64) -> f64 {
        let uncertain = std::mem::take(&mut self.uncertain).max(0.0);
        // One that was lost now and then shows in nothing: it may as well have been added.
        if self.returned_at == Some(now) && lacks > slack {
            uncertain.min(lacks)
        } else {
            0.0
        }
    }

    /// Takes in a total. `limit`: what all can have used in this life; `slack`: what may be given back at any time, as it
    /// was asked for and not used.
    pub fn judge(
        &mut self,
        now: Micros,
        life: u64,
        amount: f64,
        total: f64,
        limit: f64,
        slack: f64,
    ) -> Judged {
        (self.silent, self.silent_since) = (0, None);
        if std::mem::take(&mut self.lost) {
            (self.doubted_at, self.returned_at) = (Some(now), Some(now));
        }
        let fine = |others| Judged {
            others,
            again: 0.0,
            evidence: None,
            begins: false,
        };
        let before = self.last.replace((life, total));
        let same = before.filter(|(was, _)| *was == life);
        let begins = before.is_some() && same.is_none();
        let doubtful = |evidence| Judged {
            evidence: Some(evidence),
            begins,
            ..fine(0.0)
        };
        if same.is_none() {
            (self.added, self.unbelieved, self.uncertain) = (0.0, 0.0, 0.0);
        }
        let last = same.map_or(0.0, |(_, last)| last);
        let change = total - amount - last;
        let added = self.added;
        self.added += amount;
        // What was not believed is taken back: nothing was lost.
        let reversed = self.unbelieved != 0.0
            && (change + self.unbelieved).abs() <= self.unbelieved.abs() / 2.0;
        if reversed {
            self.unbelieved = 0.0;
            return fine(0.0);
        }
        if change < -slack {
            self.doubted_at = Some(now);
            if total - amount < -slack {
                self.unbelieved += change;
                return doubtful(Evidence::BelowNothing);
            }
            // Most of it is gone: it was replaced. Each gateway makes up for its own part in what is lacking: all parts
            // together are no more than that, whoever comes first, so nothing is there twice.
            let lacks = (-change / last.max(1e-9)).min(1.0);
            let again = if lacks >= REPLACED {
                (added * lacks).max(0.0)
            } else {
                0.0
            };
            self.added -= again;
            return Judged {
                again,
                ..doubtful(Evidence::WentBack)
            };
        }
        if total - amount > limit + slack && change > slack {
            self.doubted_at = Some(now);
            self.unbelieved += change;
            return doubtful(Evidence::Leapt);
        }
        self.tell(now, change.max(0.0));
        Judged {
            begins,
            ..fine(change.max(0.0))
        }
    }

    /// Whether totals are taken by their changes only, not for what they are: for a time after one that could not be
    /// true, and then as long as they are `off` what is known.
    pub fn in_doubt(&mut self, now: Micros, off: bool) -> bool {
        if !off
            && self
                .doubted_at
                .is_some_and(|at| now.saturating_sub(at) >= DOUBT_US)
        {
            self.doubted_at = None;
        }
        self.doubted_at.is_some()
    }

    /// The meter's figure came: units that all gateways used in a period that is over. True once the counter has told of
    /// less for some periods, and is to be doubted.
    pub fn metered(&mut self, now: Micros, units_per_s: f64) -> bool {
        // Every answer tells it, until there is another.
        let before = self.metered.replace((now, units_per_s));
        if before.is_some_and(|(_, was)| was == units_per_s) {
            return false;
        }
        self.usual += FIGURE * (units_per_s - self.usual);
        // Once in doubt, it has to tell of all again, and for longer; before that what it told at any time of late will do.
        let doubted = self.left_out >= PERIODS;
        let told = if doubted {
            self.told.per_s(now, self.tau_us)
        } else {
            self.peak(now)
        };
        self.left_out = match self.usual > told * MORE + CHANCE {
            true if doubted => PERIODS + AGREES,
            true => self.left_out + 1,
            false if doubted => {
                // Then its totals have to agree with what is known.
                self.doubted_at = Some(now);
                self.left_out - 1
            }
            false => 0,
        };
        !doubted && self.left_out == PERIODS
    }

    /// The meter told of so much, as a part of the quota.
    pub fn seen(&mut self, now: Micros, part: f64) {
        self.seen = Some((now, part));
    }

    /// How many times the quota the customer uses, by the meter's last figure; 1 at least. The older it is the less it
    /// says.
    pub fn busy(&self, now: Micros) -> f64 {
        self.busy_after(now, 0.0)
    }

    /// The same where it is to last until the customer comes again, so long after.
    pub fn busy_after(&self, now: Micros, gap_us: f64) -> f64 {
        let fades_us = BUSY_FADES_US.max(BUSY_VISITS * gap_us);
        let faded = |(at, part): (Micros, f64)| {
            (part - 1.0).max(0.0) * 0.5f64.powf(now.saturating_sub(at) as f64 / fades_us)
        };
        1.0 + self.seen.map_or(0.0, faded)
    }

    /// The counter leaves out what others use.
    pub fn leaves_out(&self, now: Micros) -> bool {
        self.left_out >= PERIODS && self.figure(now).is_some()
    }

    /// What all use, by the meter; none if it is silent.
    pub fn figure(&self, now: Micros) -> Option<f64> {
        self.metered
            .filter(|(at, _)| now.saturating_sub(*at) <= METER_HOLDS_US)
            .map(|_| self.usual)
    }

    /// What the others use, by the meter.
    pub fn others(&self, now: Micros) -> Option<f64> {
        Some((self.figure(now)? - self.own(now)).max(0.0))
    }

    /// What this gateway uses, a second.
    pub fn own(&self, now: Micros) -> f64 {
        self.own.per_s(now, self.tau_us)
    }
}

/// What the log says of the counter: each change once, and not too often.
#[derive(Default)]
pub(crate) struct CounterWatch {
    answered_at: Option<Micros>,
    lost: bool,
    doubted_at: Option<Micros>,
    told_at: Option<Micros>,
}

/// No answer for so long, though there were calls: it is lost.
const LOST_US: Micros = 1_500_000;
/// Without evidence for so long it is whole again.
const WHOLE_US: Micros = 10_000_000;

impl CounterWatch {
    /// A call ended, answered or not.
    pub fn answered(&mut self, now: Micros, answered: bool) -> Option<String> {
        let silent = now.saturating_sub(*self.answered_at.get_or_insert(now));
        if answered {
            self.answered_at = Some(now);
            return std::mem::take(&mut self.lost).then(|| "counter answers again".into());
        }
        let lost = !self.lost && silent >= LOST_US && self.may_tell(now);
        self.lost |= lost;
        lost.then(|| format!("counter lost: no answer for {} ms", silent / 1_000))
    }

    /// There is evidence that it is not whole, at a name or in what a server's meter told.
    pub fn doubt(&mut self, now: Micros, evidence: Evidence, place: &str) -> Option<String> {
        let new = self.doubted_at.replace(now).is_none() && self.may_tell(now);
        new.then(|| format!("counter doubtful: {} ({place})", evidence.text()))
    }

    pub fn tick(&mut self, now: Micros) -> Option<String> {
        let over = self
            .doubted_at
            .is_some_and(|at| now.saturating_sub(at) >= WHOLE_US);
        over.then(|| self.doubted_at = None)
            .map(|()| "counter whole again".into())
    }

    fn may_tell(&mut self, now: Micros) -> bool {
        let may = self
            .told_at
            .is_none_or(|at| now.saturating_sub(at) >= WHOLE_US);
        if may {
            self.told_at = Some(now);
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
        ledgers: Vec<Ledger>,
        total: f64,
        now: Micros,
    }

    impl Rig {
        fn new(gateways: usize) -> Rig {
            Rig {
                ledgers: (0..gateways).map(|_| Ledger::new(20.0)).collect(),
                total: 0.0,
                now: 1,
            }
        }

        fn add(&mut self, n: usize, amount: f64) -> Judged {
            self.now += 10_000;
            self.total += amount;
            self.ledgers[n].judge(self.now, 0, amount, self.total, 400.0, 4.0)
        }

        /// Each adds once, and what it has to add again.
        fn round(&mut self) {
            for n in 0..self.ledgers.len() {
                let again = self.add(n, 1.0).again;
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
        assert!(rig.ledgers.iter_mut().all(|l| l.in_doubt(now, false)));
    }

    #[test]
    fn what_is_given_back_within_the_slack_is_no_evidence() {
        let mut rig = Rig::new(1);
        (0..10).for_each(|_| rig.round());
        rig.total -= 3.0;
        assert_eq!(
            rig.add(0, 1.0),
            Judged {
                others: 0.0,
                again: 0.0,
                evidence: None,
                begins: false
            }
        );
    }

    #[test]
    fn a_leap_that_is_taken_back_loses_nothing() {
        let mut rig = Rig::new(1);
        (0..10).for_each(|_| rig.round());
        rig.total += 500.0;
        assert_eq!(rig.add(0, 1.0).evidence, Some(Evidence::Leapt));
        rig.total -= 500.0;
        let back = rig.add(0, 1.0);
        assert_eq!((back.again, back.evidence), (0.0, None));
    }

    #[test]
    fn a_total_below_nothing_is_a_lie_and_nothing_is_added_again() {
        let mut rig = Rig::new(1);
        (0..10).for_each(|_| rig.round());
        rig.total -= 500.0;
        let below = rig.add(0, 1.0);
        assert_eq!(
            (below.again, below.evidence),
            (0.0, Some(Evidence::BelowNothing))
        );
        rig.total += 500.0;
        assert_eq!(rig.add(0, 1.0).evidence, None, "as it was before");
    }

    /// A split leaves out half of what is used: the meter shows it, and by it the sum of the parts is the rate.
    #[test]
    fn the_meter_shows_what_a_split_counter_leaves_out() {
        let mut ledger = Ledger::new(20.0);
        let (mut now, mut told) = (0, 0);
        for second in 0..10u64 {
            for _ in 0..10 {
                now += 100_000;
                ledger.used(now, 1.0);
            }
            let figure = if second < 5 {
                9.0 + second as f64 / 10.0
            } else {
                20.0 + second as f64
            };
            told += u32::from(ledger.metered(now, figure));
            assert_eq!(ledger.leaves_out(now), second >= 6, "{second}");
        }
        assert_eq!(told, 1, "told once");
        assert!(
            !ledger.leaves_out(now + METER_HOLDS_US + 1),
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
                let again = rig.add(n, amount).again;
                prop_assert!(again >= 0.0);
                rig.total += again;
                if again > 0.0 {
                    let (now, total) = (rig.now, rig.total);
                    rig.ledgers[n].judge(now, 0, again, total, 1e9, 4.0);
                }
                lost -= again;
                prop_assert!(lost >= -1e-6, "{} more than was lost", -lost);
            }
        }
    }
}
