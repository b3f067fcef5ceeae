//! The library in a process that knows nothing of it.

use frosthatch_test_doubles::{Fault, Shim};
use std::process::Command;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Seconds of the wall clock, as a process under the shim has it.
fn date(shim: &Shim) -> u64 {
    let output = shim
        .preload(Command::new("date").arg("+%s"))
        .output()
        .expect("date runs");
    String::from_utf8_lossy(&output.stdout)
        .trim()
        .parse()
        .expect("seconds")
}

#[test]
fn the_wall_clock_is_stepped_both_ways() {
    const HOUR: Duration = Duration::from_secs(3_600);
    const SLACK_S: u64 = 10;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time")
        .as_secs();
    let shim = Shim::new();
    assert!(date(&shim).abs_diff(now) < SLACK_S);
    for (offset_ms, expected) in [
        (-(HOUR.as_millis() as i64), now - HOUR.as_secs()),
        (HOUR.as_millis() as i64, now + HOUR.as_secs()),
    ] {
        shim.set(Fault::WallClockOffsetMs, offset_ms);
        assert!(date(&shim).abs_diff(expected) < SLACK_S, "{offset_ms}");
    }
}
