//! The server's record of a client's connection that has no request in flight.

use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection that waits for a request, or for the rest of one.
pub(super) struct IdleConnection {
    pub(super) since: Instant,
    /// It has carried a request before.
    pub(super) has_served: bool,
    /// Part of a request has arrived.
    pub(super) request_begun: bool,
    /// Notified when the connection is to end.
    pub(super) end: Rc<Notify>,
}

impl IdleConnection {
    /// Whether it has been idle for `if_served`, or for `if_new` where it has carried no request yet.
    pub(super) fn is_idle_for(&self, now: Instant, if_served: Duration, if_new: Duration) -> bool {
        let min_idle = if self.has_served { if_served } else { if_new };
        now - self.since >= min_idle
    }
}
