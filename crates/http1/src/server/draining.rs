//! Closes clients' connections at shutdown, while the gateway is draining, and when file descriptors run short.

use super::http_server::HttpServer;
use super::idle_connection::WaitingConnection;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};
use tracing::debug;

/// Minimum waiting time of a connection that has carried a request before it may be closed to make room for a new one.
/// If the client sends a request while the gateway closes the connection, the client retries the request, while a
/// request on a connection that is not accepted would wait unread.
const MIN_WAIT_TO_EVICT: Duration = Duration::from_millis(50);
/// Minimum waiting time of a connection that has carried no request before it may be closed, at shutdown or to make
/// room for a new one: clients send their first request as soon as they have connected.
const MIN_WAIT_TO_CLOSE_NEW: Duration = Duration::from_millis(300);
/// Time before the response deadline of a shutdown from which on incomplete requests are rejected, so that at least
/// this long is left to answer complete ones.
const MIN_RESPONSE_TIME: Duration = Duration::from_millis(100);
/// Time from the start of draining until the first idle connections are closed: clients still connect shortly after the
/// gateway has reported that it is not ready.
const DRAIN_DELAY: Duration = Duration::from_millis(500);
/// Minimum idle time of a connection that draining closes before [`ALL_IDLE_DRAIN_DELAY`]. After so long, it is
/// unlikely that the client sends a request while the gateway closes the connection.
const MIN_IDLE_TO_CLOSE: Duration = Duration::from_secs(1);
/// Time from the start of draining after which all connections idle for at least [`MIN_IDLE_LATE_IN_DRAIN`] are closed.
const ALL_IDLE_DRAIN_DELAY: Duration = Duration::from_millis(2_500);
/// Minimum idle time of a connection that draining closes after [`ALL_IDLE_DRAIN_DELAY`]. It leaves new clients time
/// for their first request.
const MIN_IDLE_LATE_IN_DRAIN: Duration = Duration::from_millis(100);
/// Interval at which idle connections are closed while draining.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl HttpServer {
    /// Begins the shutdown: from now on each response closes its connection, and all requests are answered by
    /// `respond_by`.
    pub fn begin_shutdown(&self, respond_by: Instant) {
        let request_deadline = respond_by
            .checked_sub(MIN_RESPONSE_TIME)
            .unwrap_or(respond_by);
        self.shutdown_request_deadline.set(Some(request_deadline));
        self.engine.answer_all_by(respond_by);
    }

    /// Rejects all further requests and closes the connections that wait for one. Responses that are being sent go on.
    pub fn stop_taking_requests(&self) {
        debug!(
            connections = self.open_connections(),
            "server.takes_no_requests"
        );
        self.takes_requests.set(false);
        self.shutdown_request_deadline.set(Some(Instant::now()));
    }

    /// Begins to drain: the gateway reports that it is not ready, each response closes its connection, and idle
    /// connections are closed after [`DRAIN_DELAY`], at first only those idle for [`MIN_IDLE_TO_CLOSE`].
    pub fn drain(self: &Rc<Self>) {
        let since = Instant::now();
        if self.is_draining() {
            return;
        }
        self.draining_since.set(Some(since));
        let server = self.clone();
        tokio::task::spawn_local(async move { server.close_while_draining(since).await });
    }

    /// Ends draining, so that the gateway may become ready again.
    pub fn resume(&self) {
        self.draining_since.set(None);
    }

    /// Closes idle connections at shutdown, except new ones on which a request may be about to arrive. Once it is too
    /// late to answer further requests, closes all connections that wait for a request; incomplete requests are
    /// rejected.
    pub fn close_for_shutdown(&self) {
        if self.is_past_request_deadline() {
            self.waiting_connections
                .borrow()
                .values()
                .for_each(|i| i.close_notify.notify_one());
        } else {
            self.close_idle(Duration::ZERO, MIN_WAIT_TO_CLOSE_NEW);
        }
    }

    /// Closes connections that have been idle for [`MIN_IDLE_TO_CLOSE`].
    pub fn close_long_idle_connections(&self) {
        self.close_idle(MIN_IDLE_TO_CLOSE, MIN_IDLE_TO_CLOSE);
    }

    /// Returns whether the time by which requests must be complete at shutdown has passed.
    pub(super) fn is_past_request_deadline(&self) -> bool {
        self.shutdown_request_deadline
            .get()
            .is_some_and(|request_deadline| Instant::now() >= request_deadline)
    }

    /// Closes, of the connections that have waited for a complete request for at least their minimum, the one that has
    /// waited longest. Returns false if there is none.
    pub(super) fn evict_waiting(&self) -> bool {
        let now = Instant::now();
        let waiting = self.waiting_connections.borrow();
        let longest = waiting
            .values()
            .filter(|i| i.has_waited_for(now, MIN_WAIT_TO_EVICT, MIN_WAIT_TO_CLOSE_NEW))
            .min_by_key(|i| i.waiting_since);
        longest.inspect(|i| i.close_notify.notify_one()).is_some()
    }

    /// Closes idle connections until the draining that began at `since` ends.
    async fn close_while_draining(&self, since: Instant) {
        sleep(DRAIN_DELAY).await;
        while self.draining_since.get() == Some(since) {
            let min_idle = if since.elapsed() >= ALL_IDLE_DRAIN_DELAY {
                MIN_IDLE_LATE_IN_DRAIN
            } else {
                MIN_IDLE_TO_CLOSE
            };
            self.close_idle(min_idle, MIN_IDLE_LATE_IN_DRAIN);
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    /// Closes connections that have been idle for at least `min_idle`; those that have carried no request must also
    /// have been idle for at least `min_idle_new`. A connection on which a request has begun is not closed.
    fn close_idle(&self, min_idle: Duration, min_idle_new: Duration) {
        let now = Instant::now();
        let min_idle_new = min_idle.max(min_idle_new);
        let may_close = |connection: &&WaitingConnection| {
            !connection.has_request_begun && connection.has_waited_for(now, min_idle, min_idle_new)
        };
        self.waiting_connections
            .borrow()
            .values()
            .filter(may_close)
            .for_each(|i| i.close_notify.notify_one());
    }
}
