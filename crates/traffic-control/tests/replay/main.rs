//! Whether the decisions are still the same ones. Random worlds (gateways, servers, a counter, peers, reloads and takeovers)
//! are played against the module, and a digest of all its actions is compared with the one that was recorded. A change
//! that is to alter behaviour records them anew, in a commit of its own that says what it gains:
//!
//!     RECORD=1 cargo test -p frosthatch-traffic-control --test replay

mod play;
mod world;

use play::Play;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::TestRunner;
use std::fmt::Write;
use std::sync::LazyLock;
use world::worlds;

const GOLDEN: &str = "tests/golden/replay.txt";

/// Worlds for each size of fleet.
const WORLDS_PER_FLEET: usize = 12;

fn play_all() -> String {
    let mut text = String::from(
        "# gateways world: sends cancels refusals failures tells counts uses timers digest\n",
    );
    for gateways in [1, 3, 30, 300] {
        let mut runner = TestRunner::deterministic();
        for n in 0..WORLDS_PER_FLEET {
            let world = worlds(gateways)
                .new_tree(&mut runner)
                .expect("a world")
                .current();
            let (digest, seen) = Play::new(world).run();
            let seen = seen.map(|n| n.to_string()).join(" ");
            writeln!(text, "{gateways} {n}: {seen} {digest:016x}").expect("to memory");
        }
    }
    text
}

/// Played once for all tests that only read the results.
static RESULTS: LazyLock<String> = LazyLock::new(play_all);

#[test]
fn the_decisions_are_those_that_were_recorded() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join(GOLDEN);
    let now = RESULTS.as_str();
    if std::env::var_os("RECORD").is_some() {
        return std::fs::write(path, now).expect("written");
    }
    let recorded = std::fs::read_to_string(path).expect("recorded digests");
    for (recorded, now) in recorded.lines().zip(now.lines()) {
        assert_eq!(recorded, now, "recorded on the left");
    }
    assert_eq!(recorded.lines().count(), now.lines().count());
}

/// Without each kind of action in the recorded worlds a digest would say little.
#[test]
fn the_worlds_show_all_kinds_of_actions() {
    let mut sums = [0u64; 8];
    for line in RESULTS.lines().skip(1) {
        let figures = line.split_once(": ").expect("figures").1.split(' ');
        figures
            .zip(&mut sums)
            .for_each(|(f, sum)| *sum += f.parse::<u64>().unwrap_or(0));
    }
    assert!(sums.iter().all(|n| *n > 100), "{sums:?}");
}

/// The same events give the same actions, whatever else this process has done before.
#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(play_all(), *RESULTS);
}
