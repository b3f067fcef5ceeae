//! Tests of rotating leases.

use super::{holder, is_holder};
use std::collections::BTreeMap;

const SECOND_US: u64 = 1_000_000;

#[test]
fn each_epoch_has_one_holder_and_all_candidates_hold_the_lease_equally_often() {
    let candidates: Vec<u64> = (0..12)
        .map(|n| crate::stable_hash(&format!("g{n}")))
        .collect();
    let mut epochs_held = BTreeMap::<u64, f64>::new();
    for epoch in 0..12_000 {
        let now_us = epoch * SECOND_US + 3;
        let holders: Vec<u64> = candidates
            .iter()
            .copied()
            .filter(|candidate| {
                is_holder(*candidate, 7, candidates.iter().copied(), now_us, SECOND_US)
            })
            .collect();
        assert_eq!(holders.len(), 1);
        *epochs_held.entry(holders[0]).or_default() += 1.0;
    }
    let shares: Vec<f64> = epochs_held.into_values().collect();
    assert!(
        crate::fairness::jain_index(&shares) > 0.99 && shares.len() == 12,
        "{shares:?}"
    );
    assert_eq!(holder(7, std::iter::empty(), 3), None);
}

/// When a candidate departs, other candidates hold its leases, and all other leases keep their holders.
#[test]
fn only_the_leases_of_a_departed_candidate_move() {
    let candidates: Vec<u64> = (1..=9).collect();
    for epoch in 0..200 {
        let before = holder(1, candidates.iter().copied(), epoch);
        let after = holder(
            1,
            candidates
                .iter()
                .copied()
                .filter(|candidate| *candidate != 4),
            epoch,
        );
        assert!(if before == Some(4) {
            after != Some(4)
        } else {
            after == before
        });
    }
}

/// Two candidates with different clocks both hold a lease for at most the difference of their clocks at each change of
/// holder.
#[test]
fn a_lease_has_two_holders_for_at_most_the_clock_difference() {
    let candidates = [1, 2, 3];
    let clock_difference_us = 150_000;
    let mut both_hold_us = 0;
    for now_us in (0..200 * SECOND_US).step_by(10_000) {
        let delayed_us = now_us.saturating_sub(clock_difference_us);
        let first = is_holder(1, 5, candidates.into_iter(), now_us, SECOND_US);
        let second = is_holder(2, 5, candidates.into_iter(), delayed_us, SECOND_US);
        both_hold_us += u64::from(first && second) * 10_000;
    }
    // The clock of the first candidate is ahead, so both hold the lease only when it passes from the second to the
    // first: on average in a ninth of the 200 epochs, each time for the clock difference. The bound is twice this
    // expected total.
    assert!(
        both_hold_us > 0 && both_hold_us <= 200 * clock_difference_us / 9 * 2,
        "both candidates held the lease for {both_hold_us} us in all"
    );
}
