//! Properties of a customer's quota state.

use super::estimate::{QuotaDecision, QuotaEstimate};
use super::store::rate_share_by_meter;
use proptest::prelude::{prop, prop_assert, prop_assert_eq, proptest};

proptest! {
    /// The shares of gateways that follow the same reading sum up to the rate, whatever each of them used, unless
    /// one of them used more than the rate.
    #[test]
    fn rate_shares_by_the_meter_sum_to_the_rate(uses in prop::collection::vec(0.0..100.0f64, 2..8), rate in 1.0..200.0f64) {
        let all: f64 = uses.iter().sum();
        let sum: f64 = uses.iter().map(|own| rate_share_by_meter(*own, all, rate, uses.len() as f64)).sum();
        prop_assert!(sum <= 1.0 + 1e-9, "shares of {} exceed the whole rate", sum);
        prop_assert!(sum >= 1.0 - 1e-9 || all > 0.0 && uses.iter().any(|u| *u > rate), "shares of {} leave a part of the rate unused", sum);
    }

    /// An estimate admits up to its certain units, rejects above its possible units, and is undecided in between.
    #[test]
    fn an_estimate_is_undecided_between_certain_and_possible_units(certain in -10.0..10.0f64, range in 0.0..10.0f64, units in 0.0..30.0f64) {
        let estimate = QuotaEstimate { certain_units: certain, possible_units: certain + range, likely_units: certain, is_synced: true };
        let expected = if units <= certain { QuotaDecision::Admit } else if units > certain + range { QuotaDecision::Reject } else { QuotaDecision::Undecided };
        prop_assert_eq!(estimate.decide(units), expected);
    }
}
