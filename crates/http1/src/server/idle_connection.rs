//! Record of a client's connection that waits for a complete request.

use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Connection whose next request has not been completely received.
pub(super) struct WaitingConnection {
    /// Time at which the gateway began to wait for the request. If the connection has carried a request before,
    /// replaced by the time at which the first bytes arrive.
    pub(super) waiting_since: Instant,
    /// Whether the connection has carried a request before.
    pub(super) has_served: bool,
    /// Whether part of a request has arrived.
    pub(super) has_request_begun: bool,
    /// Notified when the connection is to be closed.
    pub(super) close_notify: Rc<Notify>,
}

impl WaitingConnection {
    /// Returns whether the connection has waited for at least `min_wait_served`, or for at least `min_wait_new` if it
    /// has carried no request yet.
    pub(super) fn has_waited_for(
        &self,
        now: Instant,
        min_wait_served: Duration,
        min_wait_new: Duration,
    ) -> bool {
        let min_wait = if self.has_served {
            min_wait_served
        } else {
            min_wait_new
        };
        now - self.waiting_since >= min_wait
    }
}
