//! Server's record of a client connection without a request in flight.

use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Connection that waits for a request, or for the rest of one.
pub(super) struct IdleConnection {
    /// Time since when the connection waits for this request.
    pub(super) waiting_since: Instant,
    /// Whether the connection has carried a request before.
    pub(super) has_served: bool,
    /// Whether part of a request has arrived.
    pub(super) has_request_begun: bool,
    /// Notified when the connection is to be closed.
    pub(super) close_notify: Rc<Notify>,
}

impl IdleConnection {
    /// Returns whether the connection has been idle for at least `if_served`, or for at least `if_new` if it has
    /// carried no request yet.
    pub(super) fn is_idle_for(&self, now: Instant, if_served: Duration, if_new: Duration) -> bool {
        let min_idle = if self.has_served { if_served } else { if_new };
        now - self.waiting_since >= min_idle
    }
}
