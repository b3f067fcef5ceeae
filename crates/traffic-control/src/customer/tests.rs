//! Rules of a customer's quota state by itself.

use super::estimate::{QuotaDecision, QuotaEstimate};
use super::store::rate_share_by_meter;
use proptest::prelude::{prop, prop_assert, prop_assert_eq, proptest};

proptest! {
    /// Whatever each used, if all go by the same reading the shares come to the rate at most.
    #[test]
    fn rate_shares_by_the_meter_sum_to_the_rate(uses in prop::collection::vec(0.0..100.0f64, 2..8), rate in 1.0..200.0f64) {
        let all: f64 = uses.iter().sum();
        let sum: f64 = uses.iter().map(|own| rate_share_by_meter(*own, all, rate, uses.len() as f64)).sum();
        prop_assert!(sum <= 1.0 + 1e-9, "{}", sum);
        prop_assert!(sum >= 1.0 - 1e-9 || all > 0.0 && uses.iter().any(|u| *u > rate), "{}", sum);
    }

    /// An estimate is sure only of what is at least there, or of more than can be there.
    #[test]
    fn an_estimate_is_undecided_between_certain_and_possible_units(least in -10.0..10.0f64, more in 0.0..10.0f64, units in 0.0..30.0f64) {
        let estimate = QuotaEstimate { certain_units: least, possible_units: least + more, likely_units: least, is_synced: true };
        let expected = if units <= least { QuotaDecision::Admit } else if units > least + more { QuotaDecision::Reject } else { QuotaDecision::Undecided };
        prop_assert_eq!(estimate.decide(units), expected);
    }
}
