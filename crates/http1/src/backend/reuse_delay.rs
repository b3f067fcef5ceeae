//! Determines how long a connection stays idle before it is reused.
//!
//! A server may send a second response to a request, which would be taken for the response to the next request on the
//! connection. On an idle connection it is detected as unsolicited.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum idle time before a connection is reused: second responses come some milliseconds late.
const MIN_IDLE: Duration = Duration::from_millis(25);
/// Minimum idle time while servers send second responses: a server may also stand still before one.
const MIN_IDLE_WITH_SECOND_RESPONSES: Duration = Duration::from_millis(500);
/// Time from an unsolicited response during which servers are assumed to send second responses.
const SECOND_RESPONSES_PERIOD: Duration = Duration::from_secs(60);

/// The minimum idle time of connections, learned from all servers together.
#[derive(Default)]
pub struct ReuseDelay {
    last_unsolicited_at: Cell<Option<Instant>>,
}

impl ReuseDelay {
    /// Records that a server has sent unsolicited bytes.
    pub fn record_unsolicited(&self) {
        self.last_unsolicited_at.set(Some(Instant::now()));
    }

    /// Returns the minimum idle time before a connection is reused.
    pub fn min_idle_time(&self) -> Duration {
        let last = self.last_unsolicited_at.get();
        if last.is_some_and(|at| at.elapsed() < SECOND_RESPONSES_PERIOD) {
            MIN_IDLE_WITH_SECOND_RESPONSES
        } else {
            MIN_IDLE
        }
    }
}

#[cfg(test)]
mod tests;
