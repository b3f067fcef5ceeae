//! Compares the decisions of gateways with recorded ones. Simulates random scenarios (gateways, servers, a counter, peer messages,
//! list updates and takeovers) and compares a digest of all actions with the recorded digest. A change that alters behaviour on
//! purpose records the digests again, in a commit of its own that says what is gained:
//!
//!     RECORD=1 cargo test -p frosthatch-traffic-control --test replay

mod play;
mod world;

use play::Simulation;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::TestRunner;
use std::fmt::Write;
use std::sync::LazyLock;
use world::scenarios;

/// File of the recorded digests, relative to the package.
const GOLDEN: &str = "tests/golden/replay.txt";

/// Number of scenarios for each fleet size.
const SCENARIOS_PER_FLEET: usize = 12;

/// Simulates all scenarios and returns the counts of their actions and their digests, as they are recorded.
fn simulate_all() -> String {
    let mut text = String::from(
        "# gateways world: sends cancels refusals failures tells counts uses timers digest\n",
    );
    for gateway_count in [1, 3, 30, 300] {
        let mut runner = TestRunner::deterministic();
        for n in 0..SCENARIOS_PER_FLEET {
            let scenario = scenarios(gateway_count)
                .new_tree(&mut runner)
                .expect("the strategies reject no values")
                .current();
            let (digest, action_counts) = Simulation::new(scenario).run();
            let action_counts = action_counts.map(|n| n.to_string()).join(" ");
            writeln!(text, "{gateway_count} {n}: {action_counts} {digest:016x}")
                .expect("writing to a string cannot fail");
        }
    }
    text
}

/// Results of one simulation of all scenarios, for all tests that only read them.
static RESULTS: LazyLock<String> = LazyLock::new(simulate_all);

#[test]
fn the_decisions_match_the_recorded_ones() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join(GOLDEN);
    let current = RESULTS.as_str();
    if std::env::var_os("RECORD").is_some() {
        return std::fs::write(path, current).expect("the file of recorded digests is writable");
    }
    let recorded = std::fs::read_to_string(path).expect("the file of recorded digests is readable");
    for (recorded, current) in recorded.lines().zip(current.lines()) {
        assert_eq!(
            recorded, current,
            "the decisions match the recorded ones (left)"
        );
    }
    assert_eq!(recorded.lines().count(), current.lines().count());
}

/// A digest shows changes only in the kinds of actions that occur in the scenarios.
#[test]
fn the_scenarios_cover_all_counted_kinds_of_actions() {
    let mut sums = [0u64; 8];
    for line in RESULTS.lines().skip(1) {
        let counts = line
            .split_once(": ")
            .expect("the counts follow a colon")
            .1
            .split(' ');
        counts
            .zip(&mut sums)
            .for_each(|(f, sum)| *sum += f.parse::<u64>().unwrap_or(0));
    }
    assert!(
        sums.iter().all(|n| *n > 100),
        "more than 100 actions of each kind: {sums:?}"
    );
}

/// The same events give the same actions, whatever the process has done before.
#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(simulate_all(), *RESULTS);
}
