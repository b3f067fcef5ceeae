//! Rules of the decisions' parts by themselves.

use super::quota::{rate_share_by_meter, QuotaEstimate};
use proptest::prelude::*;

proptest! {
    /// Whatever each used, if all go by the same figure the parts come to the rate at most.
    #[test]
    fn parts_by_the_meter_come_to_the_rate(uses in prop::collection::vec(0.0..100.0f64, 2..8), rate in 1.0..200.0f64) {
        let all: f64 = uses.iter().sum();
        let sum: f64 = uses.iter().map(|own| rate_share_by_meter(*own, all, rate, uses.len() as f64)).sum();
        prop_assert!(sum <= 1.0 + 1e-9, "{}", sum);
        prop_assert!(sum >= 1.0 - 1e-9 || all > 0.0 && uses.iter().any(|u| *u > rate), "{}", sum);
    }

    /// A word is sure only of what is at least there, or more than can be there.
    #[test]
    fn between_least_and_most_somebody_has_to_be_asked(least in -10.0..10.0f64, more in 0.0..10.0f64, units in 0.0..30.0f64) {
        let word = QuotaEstimate { certain_units: least, possible_units: least + more, likely_units: least, is_synced: true };
        let expected = if units <= least { Some(true) } else if units > least + more { Some(false) } else { None };
        prop_assert_eq!(word.says(units), expected);
    }
}
