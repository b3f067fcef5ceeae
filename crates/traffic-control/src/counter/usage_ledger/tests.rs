use super::{CounterEvidence, ReportedTotal, TotalAssessment, UsageLedger};
use crate::counter::meter_history::METER_TIMEOUT_US;
use crate::interface::Micros;
use proptest::prelude::{prop, prop_assert, proptest};

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
        let reported = ReportedTotal {
            window: 0,
            amount,
            total: self.total,
            max_usage: 400.0,
            slack: 4.0,
        };
        self.ledgers[n].assess_total(self.now, &reported)
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
    // 55 rounds of 4 were added by all; each adds its share of what it sees lacking again.
    assert!(rig.total <= 220.0, "{}", rig.total);
    // Gateways that reply later see less lacking.
    assert!(rig.total >= 100.0, "{}", rig.total);
    let now = rig.now;
    assert!(rig.ledgers.iter_mut().all(|l| l.update_doubt(now, false)));
}

#[test]
fn a_decrease_within_the_slack_is_no_evidence() {
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
fn a_jump_that_is_taken_back_loses_nothing() {
    let mut rig = Rig::new(1);
    (0..10).for_each(|_| rig.round());
    rig.total += 500.0;
    assert_eq!(rig.add(0, 1.0).evidence, Some(CounterEvidence::TotalJumped));
    rig.total -= 500.0;
    let assessment = rig.add(0, 1.0);
    assert_eq!(
        (assessment.units_to_add_again, assessment.evidence),
        (0.0, None)
    );
}

#[test]
fn a_negative_total_is_rejected_and_nothing_is_added_again() {
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

/// A split counter leaves out half of what is used, which the meter shows.
#[test]
fn the_meter_shows_what_a_split_counter_leaves_out() {
    let mut ledger = UsageLedger::new(20.0);
    let mut now = 0;
    let mut detections = 0;
    for second in 0..10u64 {
        for _ in 0..10 {
            now += 100_000;
            ledger.record_own_usage(now, 1.0);
        }
        let reading_per_s = if second < 5 {
            9.0 + second as f64 / 10.0
        } else {
            20.0 + second as f64
        };
        detections += u32::from(ledger.record_meter_reading(now, reading_per_s));
        assert_eq!(ledger.counter_underreports(now), second >= 6, "{second}");
    }
    assert_eq!(detections, 1, "told once");
    assert!(
        !ledger.counter_underreports(now + METER_TIMEOUT_US + 1),
        "a meter that is silent proves nothing"
    );
}

proptest! {
    /// No order of replies adds more again than was lost, or anything of a negative total.
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
                let reported = ReportedTotal { window: 0, amount: again, total: rig.total, max_usage: 1e9, slack: 4.0 };
                rig.ledgers[n].assess_total(rig.now, &reported);
            }
            lost -= again;
            prop_assert!(lost >= -1e-6, "{} more than was lost", -lost);
        }
    }
}
