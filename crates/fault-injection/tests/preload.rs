//! Runs an unmodified program with the library preloaded.

use frosthatch_test_doubles::{Fault, Shim};
use std::process::Command;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the wall clock, in Unix seconds, of a process that runs with the library preloaded and the control file of
/// `shim`.
fn preloaded_wall_clock_s(shim: &Shim) -> u64 {
    let output = shim
        .preload(Command::new("date").arg("+%s"))
        .output()
        .expect("`date` is installed");
    String::from_utf8_lossy(&output.stdout)
        .trim()
        .parse()
        .expect("`date +%s` prints an integer")
}

#[test]
fn the_wall_clock_is_shifted_forwards_and_backwards() {
    const HOUR: Duration = Duration::from_secs(3_600);
    const TOLERANCE_S: u64 = 10;
    let now_s = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the system clock is after the Unix epoch")
        .as_secs();
    let shim = Shim::new();
    assert!(preloaded_wall_clock_s(&shim).abs_diff(now_s) < TOLERANCE_S);
    for (offset_ms, expected_s) in [
        (-(HOUR.as_millis() as i64), now_s - HOUR.as_secs()),
        (HOUR.as_millis() as i64, now_s + HOUR.as_secs()),
    ] {
        shim.set(Fault::WallClockOffsetMs, offset_ms);
        assert!(
            preloaded_wall_clock_s(&shim).abs_diff(expected_s) < TOLERANCE_S,
            "the wall clock is shifted by {offset_ms} ms"
        );
    }
}
