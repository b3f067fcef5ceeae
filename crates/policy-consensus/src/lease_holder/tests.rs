use super::LeaseHolder;
use crate::acceptor::{CurrentPolicyLease, LeaseGrant, PreviousPolicyLease};
use crate::test_values::{ballot, policy};
use crate::LeaseConfig;

const CONFIG: LeaseConfig = LeaseConfig {
    lease_us: 1_000_000,
    max_drift_permille: 10,
};

fn new_lease_holder() -> LeaseHolder {
    LeaseHolder::new(CONFIG, 3)
}

/// Returns a grant of a lease, beginning now, on a version that was accepted by the ballot.
fn grant_by(ballot_number: u64, version: u64) -> LeaseGrant {
    LeaseGrant {
        previous: None,
        current: Some(CurrentPolicyLease {
            policy: policy(version),
            ballot: ballot(ballot_number),
            starts_in_us: 0,
            duration_us: 1_000_000,
        }),
    }
}

/// Returns a grant of leases on version 1 for the remaining time and on version 2 from then on.
fn grant_of_change(remaining_us: u64) -> LeaseGrant {
    LeaseGrant {
        previous: Some(PreviousPolicyLease {
            id: policy(1).id(),
            ballot: ballot(1),
            remaining_us,
        }),
        current: Some(CurrentPolicyLease {
            policy: policy(2),
            ballot: ballot(2),
            starts_in_us: remaining_us,
            duration_us: 1_000_000,
        }),
    }
}

#[test]
fn a_policy_is_held_only_by_unexpired_leases_of_a_majority() {
    let mut holder = new_lease_holder();
    holder.record_grant(0, 1_000, 1, grant_by(1, 4));
    assert_eq!(holder.advance_to_held_policy(2_000), None);
    holder.record_grant(0, 1_000, 2, grant_by(1, 4));
    assert_eq!(holder.advance_to_held_policy(2_000), Some(policy(4).id()));
    assert_eq!(holder.advance_to_held_policy(980_000), Some(policy(4).id()));
    assert_eq!(
        holder.advance_to_held_policy(981_000),
        None,
        "the lease is shortened for drift and counts from the request"
    );
    assert!(holder.policy(&policy(4).id()).is_some());
}

#[test]
fn leases_on_different_policies_are_not_a_majority() {
    let mut holder = new_lease_holder();
    holder.record_grant(0, 0, 1, grant_by(1, 4));
    holder.record_grant(0, 0, 2, grant_by(2, 5));
    assert_eq!(holder.advance_to_held_policy(1), None);
    holder.record_grant(0, 0, 3, grant_by(2, 5));
    assert_eq!(holder.advance_to_held_policy(1), Some(policy(5).id()));
    // An earlier version is never held again.
    holder.record_grant(2, 2, 2, grant_by(1, 4));
    assert_eq!(holder.advance_to_held_policy(3), None);
}

#[test]
fn a_policy_accepted_by_two_ballots_is_not_chosen() {
    let mut holder = new_lease_holder();
    holder.record_grant(0, 0, 1, grant_by(1, 4));
    holder.record_grant(0, 0, 2, grant_by(3, 4));
    assert_eq!(holder.advance_to_held_policy(1), None);
    holder.record_grant(0, 0, 3, grant_by(3, 4));
    assert_eq!(holder.advance_to_held_policy(1), Some(policy(4).id()));
    // The policy stays chosen while a later proposer gets it accepted by another ballot.
    holder.record_grant(0, 0, 3, grant_by(5, 4));
    assert_eq!(holder.advance_to_held_policy(1), Some(policy(4).id()));
}

#[test]
fn the_gap_between_leases_at_a_change_is_at_most_40_ms() {
    let mut holder = new_lease_holder();
    let mut gap_ms = 0;
    for at in (0..1_500_000u64).step_by(1_000) {
        if at % 250_000 == 0 {
            for acceptor in 1..=3 {
                let remaining_us = 1_000_000u64.saturating_sub(at);
                let grant = if remaining_us > 0 {
                    grant_of_change(remaining_us)
                } else {
                    grant_by(2, 2)
                };
                holder.record_grant(at, at + 2_000, acceptor, grant);
            }
        }
        let held = holder.advance_to_held_policy(at + 2_000);
        gap_ms += u64::from(held.is_none());
    }
    assert!(
        gap_ms <= 40,
        "{gap_ms} ms without a held policy at a change with leases of 1 s; at most 40 ms are allowed"
    );
}
