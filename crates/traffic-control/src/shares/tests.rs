use super::BucketShares;
use crate::interface::Micros;
use crate::quota::Quota;

const SECOND_US: Micros = 1_000_000;

fn quota() -> Quota {
    Quota {
        rate_per_s: 40.0,
        capacity: 80.0,
        max_request_units: 1.0,
        limits_concurrency: false,
        ceiling: None,
        relative_cost: 1.0,
        is_counter_only: false,
        has_counter: false,
    }
}

/// Returns the shares as seen by one of four gateways whose recent usage is in the ratio 4 : 3 : 2 : 1.
fn shares_with_usage(now: Micros) -> BucketShares {
    let mut shares = BucketShares::default();
    (0..4).for_each(|g| shares.record_usage(now, g, 12.0 - 3.0 * f64::from(g)));
    shares
}

#[test]
fn shares_on_both_sides_of_a_partition_sum_to_one_and_follow_usage() {
    let mut majority_shares = shares_with_usage(SECOND_US);
    let mut minority_shares = shares_with_usage(SECOND_US);
    let mut majority_level = 40.0;
    let mut minority_level = 40.0;
    majority_shares.reassign(
        SECOND_US,
        &quota(),
        4,
        false,
        &[(3, SECOND_US)],
        &mut majority_level,
    );
    minority_shares.reassign(
        SECOND_US,
        &quota(),
        4,
        false,
        &[(0, SECOND_US), (1, SECOND_US), (2, SECOND_US)],
        &mut minority_level,
    );
    assert!(
        (majority_shares.reachable_share() + minority_shares.reachable_share() - 1.0).abs() < 1e-9
    );
    assert!(
        (minority_shares.reachable_share() - (0.05 + 0.8 * 0.1)).abs() < 1e-9,
        "the share of the silent gateway follows its usage: {}",
        minority_shares.reachable_share()
    );
    assert!(
        (majority_level + minority_level - 40.0).abs() < 1e-9,
        "the levels of both sides sum to the level before the partition: {majority_level} {minority_level}"
    );
}

#[test]
fn usage_within_the_share_of_a_silent_gateway_is_not_charged_to_others() {
    let mut shares = shares_with_usage(SECOND_US);
    let mut level = 0.0;
    shares.reassign(SECOND_US, &quota(), 4, false, &[(0, SECOND_US)], &mut level);
    let silent_share = 1.0 - shares.reachable_share();
    // The silent gateway used its whole share for ten seconds, and reports the usage in one report.
    assert!(shares.charge_reported(11 * SECOND_US, &quota(), 0, 400.0 * silent_share, true) < 1e-6);
    shares.reassign(11 * SECOND_US, &quota(), 4, false, &[], &mut level);
    assert!(
        level.abs() < 1e-6 && shares.all_reachable(),
        "no units of a share that was used up return: {level}"
    );
    assert_eq!(
        shares.charge_reported(12 * SECOND_US, &quota(), 0, 1.0, true),
        1.0,
        "the usage of a gateway that reports again is charged to the common bucket"
    );
}

#[test]
fn unused_units_return_up_to_the_share_and_excess_is_charged_to_the_common_bucket() {
    let mut shares = shares_with_usage(SECOND_US);
    let mut level = 0.0;
    shares.reassign(SECOND_US, &quota(), 4, false, &[(0, SECOND_US)], &mut level);
    let silent_share = 1.0 - shares.reachable_share();
    shares.reassign(60 * SECOND_US, &quota(), 4, false, &[], &mut level);
    assert!(
        (level - 80.0 * silent_share).abs() < 1e-6,
        "unused units return up to the capacity of the share: {level}"
    );
    // Another gateway reports usage of the silent one that exceeds its reserved units.
    shares.reassign(
        61 * SECOND_US,
        &quota(),
        4,
        false,
        &[(0, 61 * SECOND_US)],
        &mut level,
    );
    let reserved_units = 80.0 * silent_share * (1.0 - shares.reachable_share());
    let silent_share = 1.0 - shares.reachable_share();
    let charged_units = shares.charge_reported(62 * SECOND_US, &quota(), 0, 100.0, false);
    assert!(
        (charged_units - (100.0 - 40.0 * silent_share - reserved_units)).abs() < 1e-6,
        "units beyond the reserved and refilled ones are charged to the common bucket: {charged_units}"
    );
    assert!((shares.charge_reported(62 * SECOND_US, &quota(), 0, 5.0, false) - 5.0).abs() < 1e-6);
}

#[test]
fn shares_without_known_usage_are_even_and_never_negative() {
    let mut shares = BucketShares::default();
    let mut level = 80.0;
    shares.reassign(
        SECOND_US,
        &quota(),
        4,
        false,
        &[(1, 0), (2, 0), (3, 0)],
        &mut level,
    );
    assert!((shares.reachable_share() - 0.25).abs() < 1e-9 && (level - 20.0).abs() < 1e-9);
    // All usage was at one gateway that is silent now: the others still have a share.
    let mut shares = BucketShares::default();
    shares.record_usage(SECOND_US, 2, 100.0);
    shares.reassign(SECOND_US, &quota(), 4, false, &[(2, SECOND_US)], &mut level);
    assert!((shares.reachable_share() - 0.15).abs() < 1e-9);
}

#[test]
fn no_units_return_to_a_level_that_the_counter_reported() {
    let mut shares = shares_with_usage(SECOND_US);
    let mut level = 40.0;
    shares.reassign(SECOND_US, &quota(), 4, false, &[(0, SECOND_US)], &mut level);
    level = 10.0;
    shares.reassign(9 * SECOND_US, &quota(), 4, true, &[], &mut level);
    assert_eq!(level, 10.0);
}
