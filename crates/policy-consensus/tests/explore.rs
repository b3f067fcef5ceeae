//! Model checking of the policy guarantees: explores the interleavings of proposers, three acceptors and gateways up
//! to a bounded number of states, and complements the tests with random schedules. The state machines are those of
//! the program. Messages arrive in any order, late or never; acceptors stop and restart from disk; time passes. A
//! paused gateway is one that receives no messages for a while; the policies that gateways hold are checked in every
//! state.

#[path = "explore/model.rs"]
mod model;
#[path = "explore/state.rs"]
mod state;

use model::{Action, Simulation};
use state::ACCEPTORS;
use stateright::{Checker, Model};

/// Explores breadth first, then depth first, up to `max_states` states each.
fn explore(simulation: Simulation, max_states: usize) {
    let summary = format!(
        "{} proposers, {} gateways, {} kills, {} ticks",
        simulation.proposers, simulation.gateways, simulation.max_kills, simulation.max_ticks
    );
    let breadth_first = simulation
        .clone()
        .checker()
        .threads(2)
        .target_state_count(max_states)
        .spawn_bfs()
        .join();
    breadth_first.assert_no_discovery("the guarantees hold");
    println!(
        "{summary}: {} states breadth first, to depth {}",
        breadth_first.unique_state_count(),
        breadth_first.max_depth()
    );
    let depth_first = simulation
        .checker()
        .threads(2)
        .target_state_count(max_states)
        .target_max_depth(70)
        .spawn_dfs()
        .join();
    depth_first.assert_no_discovery("the guarantees hold");
    println!(
        "{summary}: {} states depth first, to depth {}",
        depth_first.unique_state_count(),
        depth_first.max_depth()
    );
}

/// The environment variable `EXPLORE_STATES` sets the maximum number of states that each search explores.
#[test]
fn no_interleaving_breaks_the_guarantees() {
    let max_states = std::env::var("EXPLORE_STATES")
        .ok()
        .and_then(|states| states.parse().ok())
        .unwrap_or(100_000);
    explore(
        Simulation {
            proposers: 1,
            gateways: 2,
            max_kills: 1,
            max_ticks: 4,
        },
        max_states,
    );
    explore(
        Simulation {
            proposers: 2,
            gateways: 1,
            max_kills: 1,
            max_ticks: 4,
        },
        max_states,
    );
    explore(
        Simulation {
            proposers: 1,
            gateways: 1,
            max_kills: 2,
            max_ticks: 6,
        },
        max_states,
    );
}

/// Guards against transitions that never complete a change: a change comes into force, and a gateway holds its policy.
#[test]
fn a_change_comes_into_force_and_is_held_by_a_gateway() {
    let simulation = Simulation {
        proposers: 1,
        gateways: 1,
        max_kills: 0,
        max_ticks: 3,
    };
    let mut state = simulation.initial_state();
    for _ in 0..3 {
        for _ in 0..6 {
            let Some(message) = state.in_flight.iter().next().cloned() else {
                break;
            };
            state = simulation
                .next_state(&state, Action::Deliver(message))
                .expect("the delivery changes the state");
        }
        state = simulation
            .next_state(&state, Action::Tick)
            .expect("a tick changes the state");
        for acceptor in 0..ACCEPTORS {
            let request = Action::RequestLease {
                gateway: 0,
                acceptor,
            };
            state = simulation
                .next_state(&state, request)
                .expect("a lease request changes the state");
        }
    }
    assert!(
        state.violation.is_none() && state.highest_version == 1 && state.in_force.len() == 1,
        "{state:?}"
    );
}
