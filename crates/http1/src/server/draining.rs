//! Closes connections: at shutdown, while the gateway is draining, and where descriptors run short.

use super::http_server::HttpServer;
use super::idle_connection::IdleConnection;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Where descriptors run short, a connection that has served may be closed after this: a request that crosses the close is
/// retried by its client, while one on a new connection would wait unread.
const MIN_KEEPALIVE: Duration = Duration::from_millis(50);
/// A new connection may be closed after this: clients send as soon as they have connected.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// At shutdown, a request that is complete in time has at least this long to be answered.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Draining closes nothing for this long: clients still connect shortly after the gateway has reported not ready.
const DRAIN_DELAY: Duration = Duration::from_millis(500);
/// Then it closes connections that have been idle for this long, as few requests cross such a close...
const MIN_IDLE_TO_CLOSE: Duration = Duration::from_secs(1);
/// ...and from this long after its start all idle ones...
const GENTLE_DRAIN_TIMEOUT: Duration = Duration::from_millis(2_500);
/// ...but those that have just connected.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(100);
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

impl HttpServer {
    /// Begins the shutdown: each response closes its connection, and all are given by `answers_until`.
    pub fn begin_shutdown(&self, answers_until: Instant) {
        let requests_until = answers_until
            .checked_sub(MIN_ANSWER_TIME)
            .unwrap_or(answers_until);
        self.shutdown_requests_until.set(Some(requests_until));
        self.engine.answer_all_by(answers_until);
    }

    /// Begins to drain: the gateway is not ready, and closes connections once they are idle, gently at first.
    pub fn drain(self: &Rc<Self>) {
        let since = Instant::now();
        if self.is_draining() {
            return;
        }
        self.draining_since.set(Some(since));
        let server = self.clone();
        tokio::task::spawn_local(async move { server.close_while_draining(since).await });
    }

    /// Ends draining: clients may come again.
    pub fn resume(&self) {
        self.draining_since.set(None);
    }

    /// At shutdown, closes idle connections but those so new that a request may be about to arrive. Once no time is left
    /// to answer a request that is not complete, ends them all: such a request is rejected.
    pub fn close_for_shutdown(&self) {
        if self.is_too_late_for_requests() {
            self.idle.borrow().values().for_each(|i| i.end.notify_one());
        } else {
            self.close_idle(Duration::ZERO, FIRST_REQUEST_TIMEOUT);
        }
    }

    /// Closes connections that have been idle for a while.
    pub fn close_idle_connections(&self) {
        self.close_idle(MIN_IDLE_TO_CLOSE, MIN_IDLE_TO_CLOSE);
    }

    /// Whether a request that is not complete now cannot be answered before the process ends.
    pub(super) fn is_too_late_for_requests(&self) -> bool {
        self.shutdown_requests_until
            .get()
            .is_some_and(|requests_until| Instant::now() >= requests_until)
    }

    /// Closes the connection that has been idle longest, if any has been for long enough. Returns whether there was one.
    pub(super) fn evict_idle(&self) -> bool {
        let now = Instant::now();
        let idle = self.idle.borrow();
        let longest = idle
            .values()
            .filter(|i| i.is_idle_for(now, MIN_KEEPALIVE, FIRST_REQUEST_TIMEOUT))
            .min_by_key(|i| i.since);
        longest.inspect(|i| i.end.notify_one()).is_some()
    }

    async fn close_while_draining(&self, since: Instant) {
        sleep(DRAIN_DELAY).await;
        while self.draining_since.get() == Some(since) {
            let min_idle = if since.elapsed() >= GENTLE_DRAIN_TIMEOUT {
                NEW_CONNECTION_GRACE
            } else {
                MIN_IDLE_TO_CLOSE
            };
            self.close_idle(min_idle, NEW_CONNECTION_GRACE);
            sleep(DRAIN_INTERVAL).await;
        }
    }

    /// Closes connections that have been idle for `min_idle`, those that have carried no request also for `min_idle_new`.
    /// One on which a request has begun is not idle.
    fn close_idle(&self, min_idle: Duration, min_idle_new: Duration) {
        let now = Instant::now();
        let min_idle_new = min_idle.max(min_idle_new);
        let may_close = |connection: &&IdleConnection| {
            !connection.request_begun && connection.is_idle_for(now, min_idle, min_idle_new)
        };
        self.idle
            .borrow()
            .values()
            .filter(may_close)
            .for_each(|i| i.end.notify_one());
    }
}
