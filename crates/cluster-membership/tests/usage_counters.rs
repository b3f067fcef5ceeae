//! Tests of the merge of usage counters: updates give the same totals in any order and with repetitions, dropped
//! windows are never counted again, and memory is bounded.

use frosthatch_cluster_membership::usage_counters::{
    UsageCounters, UsageKey, MAX_INSTANCES_PER_GATEWAY, MAX_WINDOWS_PER_INSTANCE,
};
use proptest::prelude::{any, prop, prop_assert_eq, proptest, Strategy};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug)]
struct Entry {
    key: UsageKey,
    tag: u32,
    total: u64,
}

fn key(gateway: u16, instance_id: u64, window: u32) -> UsageKey {
    UsageKey {
        gateway,
        instance_id,
        window,
    }
}

fn entries() -> impl Strategy<Value = Vec<Entry>> {
    let entry = (
        0u16..4,
        1u64..3,
        0..MAX_WINDOWS_PER_INSTANCE,
        0u32..6,
        1u64..1_000,
    )
        .prop_map(|(gateway, instance_id, window, tag, total)| Entry {
            key: key(gateway, instance_id, window),
            tag,
            total,
        });
    prop::collection::vec(entry, 0..80)
}

fn merged(entries: &[Entry]) -> UsageCounters {
    let mut counters = UsageCounters::new(10_000);
    for entry in entries {
        counters.merge(1, entry.key, entry.tag, entry.total);
    }
    counters
}

/// Merges all counters of `from` into `to` and returns the total growth.
fn merge_all(to: &mut UsageCounters, from: &UsageCounters) -> u64 {
    from.changes_after(0)
        .map(|entry| to.merge(2, entry.key, entry.tag, entry.total))
        .sum()
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

    #[test]
    fn merging_is_commutative_and_idempotent(a in entries(), b in entries()) {
        let mut left = merged(&a);
        let mut right = merged(&b);
        let left_before = merged(&a);
        let right_before = merged(&b);
        merge_all(&mut left, &right_before);
        merge_all(&mut right, &left_before);
        prop_assert_eq!(left.totals(), right.totals());
        prop_assert_eq!(merge_all(&mut left, &right_before), 0);
    }

    #[test]
    fn reported_growth_adds_up_to_the_totals(all in entries()) {
        let mut counters = UsageCounters::new(10_000);
        let mut grown: BTreeMap<(UsageKey, u32), u64> = BTreeMap::new();
        for entry in &all {
            let growth = counters.merge(1, entry.key, entry.tag, entry.total);
            *grown.entry((entry.key, entry.tag)).or_default() += growth;
        }
        grown.retain(|_, growth| *growth > 0);
        prop_assert_eq!(grown, counters.totals());
    }
}

#[test]
fn a_dropped_window_is_not_counted_again() {
    let mut counters = UsageCounters::new(100);
    assert_eq!(counters.merge(1, key(1, 7, 0), 5, 40), 40);
    assert_eq!(
        counters.merge(2, key(1, 7, MAX_WINDOWS_PER_INSTANCE), 5, 10),
        10
    );
    assert_eq!(counters.len(), 1, "the first window is dropped");
    assert_eq!(
        counters.merge(3, key(1, 7, 0), 5, 50),
        0,
        "an update of a dropped window has no effect"
    );
    // After a long time without growth, all windows are dropped permanently.
    counters.drop_silent_instances(100_000_000);
    assert!(counters.is_empty());
    assert_eq!(
        counters.merge(100_000_001, key(1, 7, MAX_WINDOWS_PER_INSTANCE), 5, 10),
        0
    );
    assert_eq!(
        counters.merge(100_000_002, key(1, 7, MAX_WINDOWS_PER_INSTANCE + 4), 5, 3),
        3
    );
}

#[test]
fn instances_of_one_gateway_are_counted_separately() {
    let mut counters = UsageCounters::new(100);
    assert_eq!(counters.merge(1, key(1, 7, 2), 5, 40), 40);
    assert_eq!(counters.merge(2, key(1, 8, 0), 5, 10), 10);
    assert_eq!(counters.len(), 2);
}

#[test]
fn memory_is_bounded_in_entries_and_in_instances() {
    let mut counters = UsageCounters::new(50);
    for n in 0..1_000 {
        counters.merge(n, key((n % 5) as u16, n % 40, 0), n as u32, 1);
        assert!(counters.len() <= 50);
    }
    let instances: BTreeSet<(u16, u64)> = counters
        .totals()
        .keys()
        .map(|(key, _)| (key.gateway, key.instance_id))
        .collect();
    assert!(instances.len() <= 5 * MAX_INSTANCES_PER_GATEWAY);
    // An instance does not evict its own counters, so its further ones are rejected.
    let mut counters = UsageCounters::new(10);
    let growth: u64 = (0..20)
        .map(|tag| counters.merge(1, key(1, 1, 0), tag, 1))
        .sum();
    assert_eq!((counters.len(), growth), (10, 10));
}
