//! The gateway's two clocks: a monotonic clock for all durations, and the wall clock that requests, endpoint lists and
//! counter periods refer to.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock whose initial value is the wall-clock time at which this `Clock` is created, at process start.
///
/// Deadlines, windows, waits and ages are measured with the monotonic clock, so steps of the wall clock do not affect
/// them.
pub struct Clock {
    unix_us_at_start: u64,
    started_at: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Clock {
            unix_us_at_start: read_wall_clock_us(),
            started_at: Instant::now(),
        }
    }
}

/// Returns the time of the wall clock, in microseconds since the Unix epoch (1970).
fn read_wall_clock_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

impl Clock {
    /// Returns the monotonic time, in microseconds. It never decreases.
    pub fn now_us(&self) -> u64 {
        self.unix_us_at_start + self.uptime().as_micros() as u64
    }

    /// Returns the time of the wall clock, in microseconds since the Unix epoch. Used to display times and to translate
    /// wall-clock times that other processes state.
    pub fn wall_clock_us(&self) -> u64 {
        read_wall_clock_us()
    }

    /// Returns the time since the clock was created.
    pub fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns a function that reads the monotonic clock in microseconds, for code that should not depend on this type.
    pub fn reader(self: Rc<Self>) -> Rc<dyn Fn() -> u64> {
        Rc::new(move || self.now_us())
    }
}
