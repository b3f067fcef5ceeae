//! Random schedules of faults in a cluster of five complete members, three of them acceptors. The schedules cover
//! document transfer in parts, checks, writes that take time and may be interrupted, messages that are delayed, lost,
//! duplicated and reordered, network partitions, members that pause, stop and start, and clocks that drift. The tests
//! check the guarantees of `docs/policy-changes.md` by their numbers (I1 to I5).

mod common;

#[path = "nodes/cluster.rs"]
mod cluster;
#[path = "nodes/faults.rs"]
mod faults;
#[path = "nodes/invariants.rs"]
mod invariants;

use cluster::{document, is_verbose, Cluster, MEMBERS, PROPOSAL_TIMEOUT_US, REJECTED_BY_LAST};
use frosthatch_policy_consensus::node::{LeaseLossPolicy, ServingState};
use std::ops::Range;

/// Sums of the observations in all schedules of a test.
#[derive(Default)]
struct Totals {
    in_force: usize,
    rejected: usize,
    directories_lost: usize,
    directories_restored: usize,
}

/// Runs one schedule for each seed, and checks that the schedules lose and restore directories.
fn run_schedules(
    seeds: Range<u64>,
    lease_loss_policy: LeaseLossPolicy,
    directory_fault_odds: u64,
) -> Totals {
    let mut totals = Totals::default();
    for seed in seeds {
        if is_verbose() {
            eprintln!("seed {seed}");
        }
        let cluster = run_schedule(seed, lease_loss_policy, directory_fault_odds);
        totals.in_force += cluster.observed.in_force.len();
        totals.rejected += cluster.observed.rejected.len();
        totals.directories_lost += cluster.directories_lost;
        totals.directories_restored += cluster.directories_restored;
    }
    let lost = totals.directories_lost;
    let restored = totals.directories_restored;
    println!("directories: {lost} lost, {restored} restored");
    assert!(
        lost > totals.in_force / 50 && restored > 0,
        "the schedules lose and restore directories: {lost} lost, {restored} restored"
    );
    totals
}

/// Injects faults for a while, then checks that the members recover, serve under the same policy and can change it.
fn run_schedule(
    seed: u64,
    lease_loss_policy: LeaseLossPolicy,
    directory_fault_odds: u64,
) -> Cluster {
    let mut cluster = Cluster::new(seed, lease_loss_policy);
    cluster.directory_fault_odds = directory_fault_odds;
    cluster.run(1_000_000);
    for _ in 0..2_500 {
        cluster.inject_random_fault();
        cluster.step();
    }
    cluster.heal();
    cluster.run(2_000_000);
    // An acceptor whose directory was restored from a copy stays disabled until a new one joins to replace it.
    let is_disabled = cluster
        .faulty_acceptor_status()
        .is_some_and(|state| state.is_err());
    if cluster.directories_restored > 0 || is_disabled {
        cluster.lose_directory();
    }
    cluster.run(PROPOSAL_TIMEOUT_US + 4_000_000);
    let state = cluster.faulty_acceptor_status();
    assert!(
        state.as_ref().is_some_and(Result::is_ok),
        "seed {seed}: the acceptor answers requests after recovery: {state:?}"
    );
    check_agreement(seed, &mut cluster);
    assert!(
        cluster.propose_until_in_force(),
        "seed {seed}: a policy can be changed after recovery"
    );
    cluster
}

/// Checks that all members serve under the same policy and that it matches the outcomes reported to the proposers.
fn check_agreement(seed: u64, cluster: &mut Cluster) {
    let states = cluster.serving_states();
    let in_force = &cluster.observed.in_force;
    let latest = in_force.last_key_value().map_or(0, |(version, _)| *version);
    let ServingState::Serving(id, None) = states[0] else {
        panic!("seed {seed}: the first member serves under one policy: {states:?}")
    };
    // The last member may have been unreachable during the check of a policy that it cannot serve under; it then
    // rejects requests.
    let is_rejected_by_last = cluster.observed.is_rejected_by_last(&id);
    let matches_first_member = |(n, state): (usize, &ServingState)| {
        *state == states[0]
            || is_rejected_by_last && n == MEMBERS - 1 && *state == ServingState::NotServing
    };
    assert!(
        states.iter().enumerate().all(matches_first_member),
        "seed {seed}: all members serve under the same policy: {states:?}"
    );
    assert!(
        id.version >= latest,
        "seed {seed}: I4: version {latest} was reported as in force, version {} is held",
        id.version
    );
    let reported_in_force = in_force.get(&id.version);
    assert!(
        reported_in_force.is_none_or(|in_force| *in_force == id),
        "seed {seed}: I4: the held policy is the one reported as in force"
    );
}

#[test]
fn no_schedule_breaks_the_guarantees() {
    let totals = run_schedules(0..120, LeaseLossPolicy::Reject, 3);
    let changes = totals.in_force;
    let rejected = totals.rejected;
    println!("changes: {changes} in force, {rejected} rejected or superseded");
    assert!(
        changes > 300 && rejected > 300,
        "both outcomes occur: {changes} in force, {rejected} rejected or superseded"
    );
}

#[test]
fn serving_under_the_stricter_policy_without_a_lease_keeps_the_guarantees() {
    let totals = run_schedules(1_000..1_030, LeaseLossPolicy::ServeStricter, 3);
    let changes = totals.in_force;
    assert!(changes > 60, "{changes} changes came into force");
}

#[test]
fn repeated_loss_and_restoration_of_a_directory_keeps_the_guarantees() {
    let totals = run_schedules(2_000..2_120, LeaseLossPolicy::Reject, 1);
    let changes = totals.in_force;
    assert!(changes > 200, "{changes} changes came into force");
}

/// Guards against lost availability while one of three acceptors is down: through ten changes, no member is without a
/// lease except while a change takes effect. The acceptor catches up after its restart.
#[test]
fn leases_survive_an_acceptor_failure_and_the_acceptor_catches_up() {
    let mut cluster = Cluster::new(3, LeaseLossPolicy::Reject);
    cluster.has_faults = false;
    cluster.run(2_000_000);
    cluster.kill(1);
    cluster.observed.observations_not_serving = 0;
    cluster.run(5_000_000);
    assert_eq!(
        cluster.observed.observations_not_serving, 0,
        "every observed member is serving while one acceptor is down"
    );
    for version in 1..=10 {
        while cluster.observed.highest_version < version {
            cluster.propose(4);
            cluster.run(2_500_000);
        }
    }
    let observations_not_serving = cluster.observed.observations_not_serving;
    println!(
        "{observations_not_serving} observations of a member that is not serving, in ten changes"
    );
    // Two observations per step, and on average at most 7 steps of 10 ms per member and change: 2% of a lease of 500
    // ms for drift, twice, one round trip of up to 30 ms, and one step.
    assert!(
        observations_not_serving <= 10 * MEMBERS * 2 * 7,
        "{observations_not_serving} observations of a member that is not serving; two per step, at most 7 steps per member and change are allowed"
    );
    cluster.start(1);
    cluster.run(1_500_000);
    let record = cluster.members[1]
        .disk
        .clone()
        .expect("the member is an acceptor");
    let accepted = record.durable.accepted;
    assert_eq!(
        accepted.map(|(_, policy)| policy.version),
        Some(cluster.observed.highest_version),
        "the restarted acceptor has accepted the latest policy"
    );
}

/// A proposal of a policy that one member cannot serve under is rejected with that member's name and has no effect.
#[test]
fn a_rejected_proposal_names_the_member_that_rejected_it() {
    let mut cluster = Cluster::new(4, LeaseLossPolicy::Reject);
    cluster.has_faults = false;
    cluster.run(2_000_000);
    let now = cluster.local_time(1);
    let reachable = cluster.reachable_members(1);
    let mut outputs = Vec::new();
    let text = document(1, [0; 32], REJECTED_BY_LAST, 5);
    let node = cluster.members[1]
        .node
        .as_mut()
        .expect("the member is running");
    let number = node
        .propose(now, &text, &reachable, &mut outputs)
        .expect("the proposing member can serve under the document");
    cluster.carry_out(1, outputs);
    cluster.run(1_000_000);
    let node = cluster.members[1]
        .node
        .as_ref()
        .expect("the member is running");
    let proposal = node
        .proposals()
        .find(|proposal| proposal.number == number)
        .expect("the proposal is in the set");
    assert_eq!(
        proposal.refusals,
        [(
            "n4".to_string(),
            "the last member rejects this worth".to_string()
        )]
    );
    assert_eq!(cluster.observed.highest_version, 0);
}
