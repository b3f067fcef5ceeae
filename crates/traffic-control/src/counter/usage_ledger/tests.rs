use super::{CounterEvidence, ReportedTotal, TotalAssessment, UsageLedger};
use crate::counter::meter_history::METER_TIMEOUT_US;
use crate::interface::Micros;
use proptest::prelude::{prop, prop_assert, proptest};

/// Several gateways that add to one counter, whose total a test can change. Each gateway has a ledger.
struct CounterSimulation {
    ledgers: Vec<UsageLedger>,
    total: f64,
    now: Micros,
}

impl CounterSimulation {
    fn new(gateways: usize) -> CounterSimulation {
        CounterSimulation {
            ledgers: (0..gateways).map(|_| UsageLedger::new(20.0)).collect(),
            total: 0.0,
            now: 1,
        }
    }

    fn add(&mut self, gateway: usize, amount: f64) -> TotalAssessment {
        self.now += 10_000;
        self.total += amount;
        let reported = ReportedTotal {
            window: 0,
            amount,
            total: self.total,
            max_usage: 400.0,
            slack: 4.0,
        };
        self.ledgers[gateway].assess_total(self.now, &reported)
    }

    /// Adds one unit from each gateway, and what that gateway then has to add again.
    fn round(&mut self) {
        for gateway in 0..self.ledgers.len() {
            let units_to_add_again = self.add(gateway, 1.0).units_to_add_again;
            if units_to_add_again > 0.0 {
                self.add(gateway, units_to_add_again);
            }
        }
    }
}

#[test]
fn a_counter_replaced_by_one_from_zero_gets_back_no_more_than_was_lost() {
    let mut simulation = CounterSimulation::new(4);
    (0..50).for_each(|_| simulation.round());
    simulation.total = 0.0;
    (0..5).for_each(|_| simulation.round());
    // All gateways added 220 units in 55 rounds of 4. Each gateway adds again its share of the loss that it sees,
    // and never more.
    assert!(
        simulation.total <= 220.0,
        "total {} exceeds the 220 units added",
        simulation.total
    );
    // Gateways whose calls come later see a smaller loss.
    assert!(
        simulation.total >= 100.0,
        "total {} is below 100: too few of the 200 lost units were added again",
        simulation.total
    );
    let now = simulation.now;
    assert!(simulation
        .ledgers
        .iter_mut()
        .all(|l| l.update_doubt(now, false)));
}

#[test]
fn a_decrease_within_the_slack_is_no_evidence() {
    let mut simulation = CounterSimulation::new(1);
    (0..10).for_each(|_| simulation.round());
    simulation.total -= 3.0;
    assert_eq!(
        simulation.add(0, 1.0),
        TotalAssessment {
            others_units: 0.0,
            units_to_add_again: 0.0,
            evidence: None,
            begins_window: false
        }
    );
}

#[test]
fn a_reverted_jump_loses_nothing() {
    let mut simulation = CounterSimulation::new(1);
    (0..10).for_each(|_| simulation.round());
    simulation.total += 500.0;
    assert_eq!(
        simulation.add(0, 1.0).evidence,
        Some(CounterEvidence::TotalJumped)
    );
    simulation.total -= 500.0;
    let assessment = simulation.add(0, 1.0);
    assert_eq!(
        (assessment.units_to_add_again, assessment.evidence),
        (0.0, None)
    );
}

#[test]
fn a_negative_total_is_rejected_and_nothing_is_added_again() {
    let mut simulation = CounterSimulation::new(1);
    (0..10).for_each(|_| simulation.round());
    simulation.total -= 500.0;
    let assessment = simulation.add(0, 1.0);
    assert_eq!(
        (assessment.units_to_add_again, assessment.evidence),
        (0.0, Some(CounterEvidence::TotalNegative))
    );
    simulation.total += 500.0;
    assert_eq!(
        simulation.add(0, 1.0).evidence,
        None,
        "a total that reverts a rejected change is plausible"
    );
}

/// A split counter omits half of the usage, which the meter shows.
#[test]
fn the_meter_detects_usage_that_a_split_counter_omits() {
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
        assert_eq!(
            ledger.counter_underreports(now),
            second >= 6,
            "second {second}"
        );
    }
    assert_eq!(detections, 1, "the underreporting is detected exactly once");
    assert!(
        !ledger.counter_underreports(now + METER_TIMEOUT_US + 1),
        "a reading older than METER_TIMEOUT_US is not used"
    );
}

proptest! {
    /// In no order of replies is more added again than was lost.
    #[test]
    fn never_more_is_added_again_than_was_lost(steps in prop::collection::vec((0usize..4, 0.0..5.0f64, prop::option::weighted(0.1, 0.0..300.0f64)), 1..200)) {
        let mut simulation = CounterSimulation::new(4);
        let mut lost = 0.0;
        for (gateway, amount, loss) in steps {
            if let Some(loss) = loss {
                let loss = f64::min(loss, simulation.total.max(0.0));
                simulation.total -= loss;
                lost += loss;
            }
            let units_to_add_again = simulation.add(gateway, amount).units_to_add_again;
            prop_assert!(units_to_add_again >= 0.0);
            simulation.total += units_to_add_again;
            if units_to_add_again > 0.0 {
                let reported = ReportedTotal { window: 0, amount: units_to_add_again, total: simulation.total, max_usage: 1e9, slack: 4.0 };
                simulation.ledgers[gateway].assess_total(simulation.now, &reported);
            }
            lost -= units_to_add_again;
            prop_assert!(lost >= -1e-6, "{} units more than were lost were added again", -lost);
        }
    }
}
