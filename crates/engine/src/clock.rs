//! The gateway's two clocks: a monotonic one for all spans of time, and the wall clock that requests, endpoint lists and
//! counter periods refer to.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Monotonic time that starts at the wall clock's value at process start.
///
/// Deadlines, windows, waits and ages are spans of it, so steps of the wall clock do not affect them.
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

/// The wall clock, in microseconds since 1970.
fn read_wall_clock_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

impl Clock {
    /// The monotonic time, in microseconds. It never goes back.
    pub fn now_us(&self) -> u64 {
        self.unix_us_at_start + self.uptime().as_micros() as u64
    }

    /// The wall clock now, in microseconds since 1970: to display it, and to translate times that others state by it.
    pub fn wall_clock_us(&self) -> u64 {
        read_wall_clock_us()
    }

    /// The time since the clock was created.
    pub fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The monotonic clock as a function, for code that should not depend on this type.
    pub fn reader(self: Rc<Self>) -> Rc<dyn Fn() -> u64> {
        Rc::new(move || self.now_us())
    }
}
