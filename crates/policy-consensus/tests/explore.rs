//! Every interleaving to a bounded depth, beside the random schedules: proposers, three acceptors and gateways. Messages arrive in any
//! order, late or never; acceptors stop and start from disk; time passes. The state machines are those of the program. A paused
//! gateway is one that receives nothing for a while: what it holds is looked at in every state.

#[path = "explore/model.rs"]
mod model;
#[path = "explore/state.rs"]
mod state;

use model::{Action, Simulation};
use state::ACCEPTORS;
use stateright::{Checker, Model};

/// Explores breadth first, then depth first, up to a number of states each.
fn explore(simulation: Simulation, max_states: usize) {
    let what = format!(
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
    breadth_first.assert_no_discovery("the promise");
    println!(
        "{what}: all of {} states to depth {}",
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
    depth_first.assert_no_discovery("the promise");
    println!(
        "{what}: {} states down to depth {}",
        depth_first.unique_state_count(),
        depth_first.max_depth()
    );
}

/// `EXPLORE_STATES` sets how many states are explored at most.
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

/// The explored transitions lead where they should: a change comes into force, and a gateway holds it.
#[test]
fn a_change_comes_into_force() {
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
                .expect("it goes on");
        }
        state = simulation
            .next_state(&state, Action::Tick)
            .expect("time passes");
        for acceptor in 0..ACCEPTORS {
            let request = Action::RequestLease {
                gateway: 0,
                acceptor,
            };
            state = simulation.next_state(&state, request).expect("it is asked");
        }
    }
    assert!(
        state.violation.is_none() && state.highest_version == 1 && state.in_force.len() == 1,
        "{state:?}"
    );
}
