//! The gateway's two clocks: a monotonic one for all spans of time, and the wall clock, as requests, lists and counts go by it.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Monotonic time that begins at the wall clock's of the process's start. Deadlines, windows, waits and ages are spans of
/// it; the wall clock may be stepped meanwhile.
pub struct Clock {
    unix_us: u64,
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Clock {
            unix_us: wall_us(),
            start: Instant::now(),
        }
    }
}

/// The wall clock, in microseconds since 1970.
fn wall_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

impl Clock {
    /// Microseconds; it only goes forward.
    pub fn now(&self) -> u64 {
        self.unix_us + self.running().as_micros() as u64
    }

    /// The wall clock now, in microseconds since 1970: to be shown, and to understand what others tell by it.
    pub fn wall(&self) -> u64 {
        wall_us()
    }

    /// Since the start.
    pub fn running(&self) -> Duration {
        self.start.elapsed()
    }

    /// The monotonic clock as a function, for whoever should not know of clocks.
    pub fn reader(self: Rc<Self>) -> Rc<dyn Fn() -> u64> {
        Rc::new(move || self.now())
    }
}
