use super::{bucket_of, MemberTable, DISSEMINATION_FACTOR};
use crate::record::tests::record;
use crate::record::{LifecyclePhase, Liveness, MemberRecord};

const S: u64 = 1_000_000;

fn table() -> MemberTable {
    MemberTable::new(record("n0", 1), 100, 10 * S)
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
        a.merge(S, received, 0);
    }
    for received in records.iter().rev() {
        b.merge(2 * S, received, 0);
    }
    assert_eq!(
        (a.view().digest, a.ready_members()),
        (b.view().digest, b.ready_members())
    );
    assert_eq!(
        (a.view().ready_count, a.ready_members().len()),
        (2, 2),
        "the draining one is not in it"
    );
    assert!(a
        .entries_in_differing_buckets(&b.bucket_digests())
        .is_empty());
    let since = a.view().changed_at_us;
    a.merge(9 * S, &record("n2", 2), 0);
    assert_eq!(
        a.view().changed_at_us,
        since,
        "who is ready has not changed"
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
fn gone_members_are_forgotten_by_all_at_once_and_do_not_come_back() {
    let mut a = table();
    let mut b = table();
    let dead = MemberRecord {
        liveness: Liveness::Dead,
        ..record("n1", 3)
    };
    a.merge(S, &record("n1", 3), 0);
    a.merge(S, &dead, 0);
    // Received later, with its age.
    b.merge(6 * S, &dead, 5 * S);
    assert!(a.forget_gone(10 * S).is_empty() && b.forget_gone(10 * S).is_empty());
    assert_eq!(
        (a.forget_gone(11 * S).len(), b.forget_gone(11 * S).len()),
        (1, 1)
    );
    assert_eq!(a.merge(12 * S, &dead, 11 * S), None);
    assert!(a.record("n1").is_none());
}

#[test]
fn a_full_table_drops_dead_members_and_rejects_further_ones() {
    let mut table = MemberTable::new(record("n0", 1), 3, 10 * S);
    table.merge(S, &record("n1", 1), 0);
    table.merge(S, &record("n2", 1), 0);
    assert_eq!(table.merge(S, &record("n3", 1), 0), None);
    table.set_liveness(2 * S, "n1", Liveness::Dead);
    assert!(table.merge(3 * S, &record("n3", 1), 0).is_some());
    assert_eq!(table.len(), 3);
}

#[test]
fn a_change_is_disseminated_a_bounded_number_of_times() {
    let mut table = table();
    table.merge(S, &record("n1", 1), 0);
    let mut sent = 0;
    for _ in 0..100 {
        table.drain_disseminations(|entry| {
            sent += u32::from(entry.record.name == "n1");
            true
        });
    }
    assert_eq!(sent, DISSEMINATION_FACTOR * 2);
    table.drain_disseminations(|_| panic!("nothing is left"));
}

#[test]
fn a_few_suspectors_are_recorded_once_each() {
    let mut table = table();
    table.merge(S, &record("n1", 1), 0);
    assert!(!table.add_suspector("n1", 5, 3), "it is no suspect");
    table.set_liveness(S, "n1", Liveness::Suspect);
    assert!(
        table.add_suspector("n1", 5, 2)
            && !table.add_suspector("n1", 5, 2)
            && table.add_suspector("n1", 6, 2)
    );
    assert!(!table.add_suspector("n1", 7, 2));
    let suspectors = table.entry("n1").map(|entry| entry.suspectors.as_slice());
    assert_eq!(suspectors, Some([5, 6].as_slice()));
}
