//! Whole members with random schedules of faults: five members of which three are acceptors, documents in parts, checks, writes that
//! take time and may be cut off, messages that are delayed, lost, duplicated and reordered, network partitions, members that pause,
//! stop and start, clocks that drift. What is checked are the guarantees of `docs/policy-changes.md`, by their numbers.

mod common;

#[path = "nodes/cluster.rs"]
mod cluster;
#[path = "nodes/faults.rs"]
mod faults;
#[path = "nodes/invariants.rs"]
mod invariants;

use cluster::{document, is_verbose, Cluster, MEMBERS, PROPOSAL_TIMEOUT_US, REFUSED_BY_LAST};
use frosthatch_policy_consensus::node::{LeaseLossPolicy, ServingState};
use std::ops::Range;

/// What all schedules of a test have shown.
#[derive(Default)]
struct Totals {
    in_force: usize,
    rejected: usize,
    directories_lost: usize,
    directories_restored: usize,
}

/// Runs one schedule for each seed.
fn run_schedules(
    seeds: Range<u64>,
    lease_loss_policy: LeaseLossPolicy,
    directory_durability: u64,
) -> Totals {
    let mut totals = Totals::default();
    for seed in seeds {
        if is_verbose() {
            eprintln!("seed {seed}");
        }
        let cluster = run_schedule(seed, lease_loss_policy, directory_durability);
        totals.in_force += cluster.observed.in_force.len();
        totals.rejected += cluster.observed.rejected.len();
        totals.directories_lost += cluster.directories_lost;
        totals.directories_restored += cluster.directories_restored;
    }
    let lost = totals.directories_lost;
    let restored = totals.directories_restored;
    println!("{lost} folders lost, {restored} put back");
    assert!(
        lost > totals.in_force / 50 && restored > 0,
        "{lost} {restored}: the schedules show both"
    );
    totals
}

/// Has faults for a while, then checks that the members recover and agree on a policy that can be changed.
fn run_schedule(
    seed: u64,
    lease_loss_policy: LeaseLossPolicy,
    directory_durability: u64,
) -> Cluster {
    let mut cluster = Cluster::new(seed, lease_loss_policy);
    cluster.directory_durability = directory_durability;
    cluster.run(1_000_000);
    for _ in 0..2_500 {
        cluster.inject_random_fault();
        cluster.step();
    }
    cluster.heal();
    cluster.run(2_000_000);
    // An acceptor that was restored from a copy stays disabled until a new one joins in its place.
    let is_disabled = cluster
        .fragile_acceptor_state()
        .is_some_and(|state| state.is_err());
    if cluster.directories_restored > 0 || is_disabled {
        cluster.lose_directory();
    }
    cluster.run(PROPOSAL_TIMEOUT_US + 4_000_000);
    let state = cluster.fragile_acceptor_state();
    assert!(
        state.as_ref().is_some_and(Result::is_ok),
        "seed {seed}: {state:?}"
    );
    check_agreement(seed, &mut cluster);
    assert!(
        cluster.can_be_changed(),
        "seed {seed}: nothing can be changed any more"
    );
    cluster
}

/// All members serve under the same policy, which agrees with what was reported to the proposers.
fn check_agreement(seed: u64, cluster: &mut Cluster) {
    let states = cluster.serving_states();
    let in_force = &cluster.observed.in_force;
    let latest = in_force.last_key_value().map_or(0, |(version, _)| *version);
    let ServingState::Serving(id, None) = states[0] else {
        panic!("seed {seed}: {states:?}")
    };
    // The last member may have been unreachable when a policy was checked that it cannot serve under: then it rejects requests.
    let is_refused_by_last = cluster.observed.is_refused_by_last(&id);
    let is_as_expected = |(n, state): (usize, &ServingState)| {
        *state == states[0]
            || is_refused_by_last && n == MEMBERS - 1 && *state == ServingState::NotServing
    };
    assert!(
        states.iter().enumerate().all(is_as_expected),
        "seed {seed}: {states:?}"
    );
    assert!(
        id.version >= latest,
        "seed {seed}: I4: {latest} was told as in force, {} is held",
        id.version
    );
    let reported_in_force = in_force.get(&id.version);
    assert!(
        reported_in_force.is_none_or(|in_force| *in_force == id),
        "seed {seed}: I4"
    );
}

#[test]
fn no_schedule_breaks_the_guarantees() {
    let totals = run_schedules(0..120, LeaseLossPolicy::Reject, 3);
    let changes = totals.in_force;
    let nowhere = totals.rejected;
    println!("{changes} changes in force, {nowhere} nowhere");
    assert!(
        changes > 300 && nowhere > 300,
        "{changes} {nowhere}: the schedules show both"
    );
}

#[test]
fn serving_under_the_stricter_policy_without_a_lease_keeps_the_guarantees() {
    let totals = run_schedules(1_000..1_030, LeaseLossPolicy::ServeStricter, 3);
    let changes = totals.in_force;
    assert!(changes > 60, "{changes}");
}

#[test]
fn losing_and_restoring_a_directory_again_and_again_keeps_the_guarantees() {
    let totals = run_schedules(2_000..2_120, LeaseLossPolicy::Reject, 1);
    let changes = totals.in_force;
    assert!(changes > 200, "{changes}");
}

/// One of three acceptors is down, and there are ten changes: no member is without a lease except while a change takes effect.
#[test]
fn an_acceptor_that_is_down_costs_nothing_and_catches_up_when_it_is_back() {
    let mut cluster = Cluster::new(3, LeaseLossPolicy::Reject);
    cluster.has_faults = false;
    cluster.run(2_000_000);
    cluster.kill(1);
    cluster.observed.looks_without_lease = 0;
    cluster.run(5_000_000);
    assert_eq!(
        cluster.observed.looks_without_lease, 0,
        "looks at which a gateway had no lease"
    );
    for version in 1..=10 {
        while cluster.observed.highest_version < version {
            cluster.propose(4);
            cluster.run(2_500_000);
        }
    }
    let looks_without_lease = cluster.observed.looks_without_lease;
    println!("{looks_without_lease} looks without a lease in ten turns");
    // Two looks a step: 2% of a lease for drift, twice, the way there and back, and a step.
    assert!(
        looks_without_lease <= 10 * MEMBERS * 2 * 7,
        "{looks_without_lease}"
    );
    cluster.start(1);
    cluster.run(1_500_000);
    let record = cluster.members[1].disk.clone().expect("it keeps");
    let accepted = record.durable.accepted;
    assert_eq!(
        accepted.map(|(_, policy)| policy.version),
        Some(cluster.observed.highest_version),
        "it has caught up by itself"
    );
}

/// A change that one member cannot serve under is refused with that member's name, and has no effect.
#[test]
fn a_member_that_refuses_a_change_is_named() {
    let mut cluster = Cluster::new(4, LeaseLossPolicy::Reject);
    cluster.has_faults = false;
    cluster.run(2_000_000);
    let now = cluster.local_time(1);
    let reachable = cluster.reachable_members(1);
    let mut outputs = Vec::new();
    let text = document(1, [0; 32], REFUSED_BY_LAST, 5);
    let node = cluster.members[1].node.as_mut().expect("it runs");
    let number = node
        .propose(now, &text, &reachable, &mut outputs)
        .expect("it is asked about");
    cluster.carry_out(1, outputs);
    cluster.run(1_000_000);
    let node = cluster.members[1].node.as_ref().expect("it runs");
    let proposal = node
        .proposals()
        .find(|proposal| proposal.number == number)
        .expect("it is known");
    assert_eq!(
        proposal.refusals,
        [("n4".to_string(), "I do not take it".to_string())]
    );
    assert_eq!(cluster.observed.highest_version, 0);
}
