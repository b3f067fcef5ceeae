//! The guarantees under random schedules: acceptors, lease holders and proposers alone. Messages are delayed, lost, duplicated and
//! reordered; acceptors stop and start from disk; gateways pause or start anew; clocks drift apart by 1%. What is checked after each
//! step are the guarantees of `docs/policy-changes.md`, by their numbers.

mod common;

#[path = "promise/faults.rs"]
mod faults;
#[path = "promise/invariants.rs"]
mod invariants;
#[path = "promise/network.rs"]
mod network;
#[path = "promise/simulation.rs"]
mod simulation;

use simulation::{policy, Simulation, GATEWAYS};

/// Runs one schedule with faults, then ends them and checks that the gateways agree. Returns the simulation as it ended.
fn run_schedule(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, true);
    simulation.propose(Some(policy(1, 0, [0; 32])));
    for _ in 0..700 {
        simulation.inject_random_fault();
        simulation.step();
    }
    simulation.heal();
    simulation.run(6_000_000);
    simulation.propose(None);
    simulation.run(6_000_000);
    let held = simulation.held_policies();
    let in_force = &simulation.observed.in_force;
    let latest = in_force.last_key_value().map_or(0, |(version, _)| *version);
    let first = held[0];
    assert!(
        held.iter().all(|other| *other == first),
        "seed {seed}: {held:?}"
    );
    assert!(
        first.map_or(0, |id| id.version) >= latest,
        "seed {seed}: I4: {latest} was in force, {first:?} is held"
    );
    let reported_in_force = first.and_then(|id| in_force.get(&id.version));
    if let (Some(id), Some(policy)) = (first, reported_in_force) {
        assert_eq!(id, policy.id(), "seed {seed}: I4");
    }
    simulation
}

#[test]
fn no_schedule_breaks_the_guarantees() {
    let mut changes = 0;
    let mut refused = 0;
    for seed in 0..1_500 {
        let simulation = run_schedule(seed);
        changes += simulation.observed.in_force.len();
        refused += simulation.observed.rejected.len();
    }
    println!("{changes} changes in force, {refused} nowhere");
    assert!(
        changes > 3_000 && refused > 300,
        "{changes} {refused}: the schedules show both"
    );
}

/// With one acceptor down no request has to wait, and a change lets a gateway without a lease wait for some milliseconds only.
#[test]
fn a_minority_of_acceptors_that_is_down_costs_nothing() {
    let mut simulation = Simulation::new(7, false);
    simulation.propose(Some(policy(1, 0, [0; 32])));
    simulation.run(3_000_000);
    simulation.observed.steps_without_lease = 0;
    simulation.acceptors[1] = None;
    simulation.run(10_000_000);
    assert_eq!(
        simulation.observed.steps_without_lease, 0,
        "steps of 20 ms in which a gateway had no lease"
    );
    for version in 2..12 {
        let digest = policy(version - 1, 0, [0; 32]).digest;
        simulation.propose(Some(policy(version, 0, digest)));
        simulation.run(3_000_000);
        assert_eq!(simulation.observed.highest_version, version);
    }
    let steps_without_lease = simulation.observed.steps_without_lease;
    println!("{steps_without_lease} steps in ten turns");
    // In each of ten changes each gateway may miss a few steps: 2% of a lease for drift, twice, and the way of a message.
    assert!(
        steps_without_lease <= 10 * GATEWAYS * 5,
        "{steps_without_lease}"
    );
    simulation.start_acceptor(1);
    simulation.run(3_000_000);
    assert_eq!(simulation.observed.in_force.len(), 11);
}
