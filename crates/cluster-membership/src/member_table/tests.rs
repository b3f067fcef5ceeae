use super::{bucket_of, MemberTable, DISSEMINATION_FACTOR};
use crate::record::tests::record;
use crate::record::{LifecyclePhase, Liveness, MemberRecord};

const SECOND_US: u64 = 1_000_000;

fn table() -> MemberTable {
    MemberTable::new(record("n0", 1), 100, 10 * SECOND_US)
}

#[test]
fn tables_that_merged_the_same_records_in_any_order_have_the_same_view() {
    let mut a = table();
    let mut b = table();
    let records = [
        record("n1", 3),
        record("n2", 1),
        MemberRecord {
            phase: LifecyclePhase::Draining,
            ..record("n1", 4)
        },
    ];
    for received in &records {
        a.merge(SECOND_US, received, 0);
    }
    for received in records.iter().rev() {
        b.merge(2 * SECOND_US, received, 0);
    }
    assert_eq!(
        (a.view().digest, a.ready_members()),
        (b.view().digest, b.ready_members())
    );
    assert_eq!(
        (a.view().ready_count, a.ready_members().len()),
        (2, 2),
        "the draining member is not in the view"
    );
    assert!(a
        .entries_in_differing_buckets(&b.bucket_digests())
        .is_empty());
    let changed_at_us = a.view().changed_at_us;
    a.merge(9 * SECOND_US, &record("n2", 2), 0);
    assert_eq!(
        a.view().changed_at_us,
        changed_at_us,
        "the set of ready members has not changed"
    );
    let differing = a.entries_in_differing_buckets(&b.bucket_digests());
    assert_eq!(
        differing.len(),
        differing
            .iter()
            .filter(|entry| bucket_of(&entry.record.name) == bucket_of("n2"))
            .count()
    );
}

#[test]
fn gone_members_are_forgotten_by_all_tables_at_the_same_time_and_are_not_added_again() {
    let mut a = table();
    let mut b = table();
    let dead = MemberRecord {
        liveness: Liveness::Dead,
        ..record("n1", 3)
    };
    a.merge(SECOND_US, &record("n1", 3), 0);
    a.merge(SECOND_US, &dead, 0);
    // The second table receives the record 5 s later, with its age.
    b.merge(6 * SECOND_US, &dead, 5 * SECOND_US);
    assert!(a.forget_gone(10 * SECOND_US).is_empty() && b.forget_gone(10 * SECOND_US).is_empty());
    assert_eq!(
        (
            a.forget_gone(11 * SECOND_US).len(),
            b.forget_gone(11 * SECOND_US).len()
        ),
        (1, 1)
    );
    assert_eq!(a.merge(12 * SECOND_US, &dead, 11 * SECOND_US), None);
    assert!(a.record("n1").is_none());
}

#[test]
fn a_full_table_drops_dead_members_and_rejects_further_ones() {
    let mut table = MemberTable::new(record("n0", 1), 3, 10 * SECOND_US);
    table.merge(SECOND_US, &record("n1", 1), 0);
    table.merge(SECOND_US, &record("n2", 1), 0);
    assert_eq!(table.merge(SECOND_US, &record("n3", 1), 0), None);
    table.set_liveness(2 * SECOND_US, "n1", Liveness::Dead);
    assert!(table.merge(3 * SECOND_US, &record("n3", 1), 0).is_some());
    assert_eq!(table.len(), 3);
}

#[test]
fn a_change_is_disseminated_a_bounded_number_of_times() {
    let mut table = table();
    table.merge(SECOND_US, &record("n1", 1), 0);
    let mut sent = 0;
    for _ in 0..100 {
        table.drain_disseminations(|entry| {
            sent += u32::from(entry.record.name == "n1");
            true
        });
    }
    assert_eq!(sent, DISSEMINATION_FACTOR * 2);
    table.drain_disseminations(|_| panic!("a change was disseminated more often than its limit"));
}

#[test]
fn suspectors_are_recorded_once_each_up_to_the_limit() {
    let mut table = table();
    table.merge(SECOND_US, &record("n1", 1), 0);
    assert!(
        !table.add_suspector("n1", 5, 3),
        "a member that is no suspect has no suspectors"
    );
    table.set_liveness(SECOND_US, "n1", Liveness::Suspect);
    assert!(
        table.add_suspector("n1", 5, 2)
            && !table.add_suspector("n1", 5, 2)
            && table.add_suspector("n1", 6, 2)
    );
    assert!(!table.add_suspector("n1", 7, 2));
    let suspectors = table.entry("n1").map(|entry| entry.suspectors.as_slice());
    assert_eq!(suspectors, Some([5, 6].as_slice()));
}
