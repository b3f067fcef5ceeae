//! The laws of the merge: any order, loss that is made up for, and repetition give the same totals; what is dropped for its
//! age is never counted again; memory is bounded.

use frosthatch_cluster_membership::usage_counters::{UsageCounters, UsageKey, LIVES, WINDOWS};
use proptest::prelude::*;
use std::collections::BTreeMap;

type Entry = (UsageKey, u32, u64);

fn slot(gateway: u16, life: u64, window: u32) -> UsageKey {
    UsageKey {
        gateway,
        life,
        window,
    }
}

fn entries() -> impl Strategy<Value = Vec<Entry>> {
    let one = (0u16..4, 1u64..3, 0..WINDOWS, 0u32..6, 1u64..1_000);
    let one = one
        .prop_map(|(gateway, life, window, tag, total)| (slot(gateway, life, window), tag, total));
    prop::collection::vec(one, 0..80)
}

fn merged(entries: &[Entry]) -> UsageCounters {
    let mut uses = UsageCounters::new(10_000);
    for (s, tag, total) in entries {
        uses.merge(1, *s, *tag, *total);
    }
    uses
}

proptest! {
    #[test]
    fn order_and_repetition_make_no_difference(all in entries(), seed in any::<u64>()) {
        let mut shuffled: Vec<Entry> = all.iter().chain(&all).copied().collect();
        let mut state = seed | 1;
        for n in (1..shuffled.len()).rev() {
            state = state.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(1);
            shuffled.swap(n, (state >> 33) as usize % (n + 1));
        }
        prop_assert_eq!(merged(&all).totals(), merged(&shuffled).totals());
    }

    /// What two have is the same whichever of them takes in the other's; taking it in again adds nothing.
    #[test]
    fn two_states_merge_to_the_same_from_either_side(a in entries(), b in entries()) {
        let told = |to: &mut UsageCounters, from: &UsageCounters| -> u64 {
            from.since(0).map(|(_, s, tag, total)| to.merge(2, s, tag, total)).sum()
        };
        let (mut left, mut right) = (merged(&a), merged(&b));
        let (was_left, was_right) = (merged(&a), merged(&b));
        told(&mut left, &was_right);
        told(&mut right, &was_left);
        prop_assert_eq!(left.totals(), right.totals());
        prop_assert_eq!(told(&mut left, &was_right), 0);
    }

    /// What is told as growth adds up to the totals, whatever came twice.
    #[test]
    fn growth_adds_up_to_the_totals(all in entries()) {
        let mut uses = UsageCounters::new(10_000);
        let mut grown: BTreeMap<(UsageKey, u32), u64> = BTreeMap::new();
        for (s, tag, total) in &all {
            *grown.entry((*s, *tag)).or_default() += uses.merge(1, *s, *tag, *total);
        }
        grown.retain(|_, n| *n > 0);
        prop_assert_eq!(grown, uses.totals());
    }
}

#[test]
fn a_window_that_was_dropped_is_not_counted_again() {
    let mut uses = UsageCounters::new(100);
    assert_eq!(uses.merge(1, slot(1, 7, 0), 5, 40), 40);
    assert_eq!(uses.merge(2, slot(1, 7, WINDOWS), 5, 10), 10);
    assert_eq!(uses.len(), 1, "the first window is past");
    assert_eq!(
        uses.merge(3, slot(1, 7, 0), 5, 50),
        0,
        "an old word from elsewhere"
    );
    // After a long silence all of it goes, and stays away.
    uses.age(100_000_000);
    assert!(uses.is_empty());
    assert_eq!(uses.merge(100_000_001, slot(1, 7, WINDOWS), 5, 10), 0);
    assert_eq!(uses.merge(100_000_002, slot(1, 7, WINDOWS + 4), 5, 3), 3);
}

#[test]
fn another_life_of_a_gateway_counts_beside_the_first() {
    let mut uses = UsageCounters::new(100);
    assert_eq!(uses.merge(1, slot(1, 7, 2), 5, 40), 40);
    assert_eq!(uses.merge(2, slot(1, 8, 0), 5, 10), 10);
    assert_eq!(uses.len(), 2);
}

#[test]
fn memory_is_bounded_in_entries_and_in_lives() {
    let mut uses = UsageCounters::new(50);
    for n in 0..1_000 {
        uses.merge(n, slot((n % 5) as u16, n % 40, 0), n as u32, 1);
        assert!(uses.len() <= 50);
    }
    let lives: std::collections::BTreeSet<(u16, u64)> = uses
        .totals()
        .keys()
        .map(|(s, _)| (s.gateway, s.life))
        .collect();
    assert!(lives.len() <= 5 * LIVES);
    // One life alone cannot push out its own: it is told no.
    let mut one = UsageCounters::new(10);
    let grown: u64 = (0..20).map(|tag| one.merge(1, slot(1, 1, 0), tag, 1)).sum();
    assert_eq!((one.len(), grown), (10, 10));
}
