//! Closes clients' connections at shutdown, while the gateway is draining, and when file descriptors run short.

use super::http_server::HttpServer;
use super::idle_connection::IdleConnection;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Idle time after which a connection that has carried a request may be closed to make room for a new one. A client
/// retries a request that crosses the close, while a request on a connection that is not accepted would wait unread.
const MIN_IDLE_TO_EVICT: Duration = Duration::from_millis(50);
/// Idle time after which a connection without any request may be closed, at shutdown or to make room for a new one:
/// clients send their first request as soon as they have connected.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum time left for answering a request at shutdown: a request that is completed later is rejected.
const MIN_RESPONSE_TIME: Duration = Duration::from_millis(100);
/// Time for which draining closes no connections: clients still connect shortly after the gateway has become not ready.
const DRAIN_DELAY: Duration = Duration::from_millis(500);
/// Idle time after which a connection is closed while draining, until [`ALL_IDLE_DRAIN_DELAY`]. Few requests cross the
/// close of a connection that has been idle for so long.
const MIN_IDLE_TO_CLOSE: Duration = Duration::from_secs(1);
/// Time from the start of draining after which all idle connections are closed, except new ones.
const ALL_IDLE_DRAIN_DELAY: Duration = Duration::from_millis(2_500);
/// Minimum idle time of a connection that is closed after [`ALL_IDLE_DRAIN_DELAY`], so that new clients can send a
/// request.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(100);
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

    /// Begins to drain: the gateway becomes not ready, and closes idle connections, at first only those that have been
    /// idle for long.
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
        if self.is_too_late_for_requests() {
            self.idle
                .borrow()
                .values()
                .for_each(|i| i.close_notify.notify_one());
        } else {
            self.close_idle(Duration::ZERO, FIRST_REQUEST_TIMEOUT);
        }
    }

    /// Closes connections that have been idle for [`MIN_IDLE_TO_CLOSE`].
    pub fn close_idle_connections(&self) {
        self.close_idle(MIN_IDLE_TO_CLOSE, MIN_IDLE_TO_CLOSE);
    }

    /// Returns whether it is too late to answer a request that is still incomplete before the process ends.
    pub(super) fn is_too_late_for_requests(&self) -> bool {
        self.shutdown_request_deadline
            .get()
            .is_some_and(|request_deadline| Instant::now() >= request_deadline)
    }

    /// Closes the connection that has been idle longest, if it may be closed already. Returns whether one was closed.
    pub(super) fn evict_idle(&self) -> bool {
        let now = Instant::now();
        let idle = self.idle.borrow();
        let longest = idle
            .values()
            .filter(|i| i.is_idle_for(now, MIN_IDLE_TO_EVICT, FIRST_REQUEST_TIMEOUT))
            .min_by_key(|i| i.waiting_since);
        longest.inspect(|i| i.close_notify.notify_one()).is_some()
    }

    /// Closes idle connections until the draining that began at `since` ends.
    async fn close_while_draining(&self, since: Instant) {
        sleep(DRAIN_DELAY).await;
        while self.draining_since.get() == Some(since) {
            let min_idle = if since.elapsed() >= ALL_IDLE_DRAIN_DELAY {
                NEW_CONNECTION_GRACE
            } else {
                MIN_IDLE_TO_CLOSE
            };
            self.close_idle(min_idle, NEW_CONNECTION_GRACE);
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    /// Closes connections that have been idle for at least `min_idle`; those that have carried no request must also have
    /// been idle for at least `min_idle_new`. A connection on which a request has begun is not closed.
    fn close_idle(&self, min_idle: Duration, min_idle_new: Duration) {
        let now = Instant::now();
        let min_idle_new = min_idle.max(min_idle_new);
        let may_close = |connection: &&IdleConnection| {
            !connection.has_request_begun && connection.is_idle_for(now, min_idle, min_idle_new)
        };
        self.idle
            .borrow()
            .values()
            .filter(may_close)
            .for_each(|i| i.close_notify.notify_one());
    }
}
