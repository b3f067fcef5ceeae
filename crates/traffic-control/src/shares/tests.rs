use super::StoreShares;
use crate::interface::Micros;
use crate::quota::Quota;

const SECOND: Micros = 1_000_000;

fn store() -> Quota {
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

/// Four gateways that recently used 4, 3, 2, 1 parts, as the first of them sees it.
fn known(now: Micros) -> StoreShares {
    let mut shares = StoreShares::default();
    (0..4).for_each(|g| shares.record_usage(now, g, 12.0 - 3.0 * f64::from(g)));
    shares
}

#[test]
fn the_shares_of_two_sides_sum_to_one_and_a_silent_gateway_keeps_its_usual_share() {
    let mut here = known(SECOND);
    let mut there = known(SECOND);
    let mut level_here = 40.0;
    let mut level_there = 40.0;
    here.reassign(SECOND, &store(), 4, false, &[(3, SECOND)], &mut level_here);
    there.reassign(
        SECOND,
        &store(),
        4,
        false,
        &[(0, SECOND), (1, SECOND), (2, SECOND)],
        &mut level_there,
    );
    assert!((here.reachable_share() + there.reachable_share() - 1.0).abs() < 1e-9);
    assert!(
        (there.reachable_share() - (0.05 + 0.8 * 0.1)).abs() < 1e-9,
        "{}",
        there.reachable_share()
    );
    assert!(
        (level_here + level_there - 40.0).abs() < 1e-9,
        "the level is dealt out once: {level_here} {level_there}"
    );
}

#[test]
fn use_within_the_share_of_a_silent_gateway_costs_nobody_else() {
    let mut shares = known(SECOND);
    let mut level = 0.0;
    shares.reassign(SECOND, &store(), 4, false, &[(0, SECOND)], &mut level);
    let part = 1.0 - shares.reachable_share();
    // Ten seconds at its whole share, reported at once.
    assert!(shares.charge_reported(11 * SECOND, &store(), 0, 400.0 * part, true) < 1e-6);
    shares.reassign(11 * SECOND, &store(), 4, false, &[], &mut level);
    assert!(level.abs() < 1e-6 && shares.all_reachable(), "{level}");
    assert_eq!(
        shares.charge_reported(12 * SECOND, &store(), 0, 1.0, true),
        1.0,
        "from now on it is of the common store"
    );
}

#[test]
fn unused_units_go_back_up_to_the_share_and_excess_comes_out_of_the_common_store() {
    let mut shares = known(SECOND);
    let mut level = 0.0;
    shares.reassign(SECOND, &store(), 4, false, &[(0, SECOND)], &mut level);
    let part = 1.0 - shares.reachable_share();
    shares.reassign(60 * SECOND, &store(), 4, false, &[], &mut level);
    assert!((level - 80.0 * part).abs() < 1e-6, "{level}");
    // Reported by another gateway while it is still silent itself: more than was set aside for it.
    shares.reassign(
        61 * SECOND,
        &store(),
        4,
        false,
        &[(0, 61 * SECOND)],
        &mut level,
    );
    let left = 80.0 * part * (1.0 - shares.reachable_share());
    let part = 1.0 - shares.reachable_share();
    let beyond = shares.charge_reported(62 * SECOND, &store(), 0, 100.0, false);
    assert!(
        (beyond - (100.0 - 40.0 * part - left)).abs() < 1e-6,
        "{beyond}"
    );
    assert!((shares.charge_reported(62 * SECOND, &store(), 0, 5.0, false) - 5.0).abs() < 1e-6);
}

#[test]
fn shares_of_unknown_use_are_even_and_never_negative() {
    let mut shares = StoreShares::default();
    let mut level = 80.0;
    shares.reassign(
        SECOND,
        &store(),
        4,
        false,
        &[(1, 0), (2, 0), (3, 0)],
        &mut level,
    );
    assert!((shares.reachable_share() - 0.25).abs() < 1e-9 && (level - 20.0).abs() < 1e-9);
    // All use was by one gateway that is silent now: the others still have a share.
    let mut shares = StoreShares::default();
    shares.record_usage(SECOND, 2, 100.0);
    shares.reassign(SECOND, &store(), 4, false, &[(2, SECOND)], &mut level);
    assert!((shares.reachable_share() - 0.15).abs() < 1e-9);
}

#[test]
fn nothing_is_put_back_into_a_level_that_the_counter_reported() {
    let mut shares = known(SECOND);
    let mut level = 40.0;
    shares.reassign(SECOND, &store(), 4, false, &[(0, SECOND)], &mut level);
    level = 10.0;
    shares.reassign(9 * SECOND, &store(), 4, true, &[], &mut level);
    assert_eq!(level, 10.0);
}
