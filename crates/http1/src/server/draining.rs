//! Lets connections go: at the end of the process, while the gateway is drained by hand, and where descriptors run short.

use super::HttpServer;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

/// When descriptors run short a connection that has served may be closed after this: a request that crosses the close is
/// sent once more, while one on a new connection waits unread for as long as none is closed. Guards against any crowd
/// that keeps more connections than there is room for. Does harm where all of them ask again and again, more slowly
/// than this: each then has to connect anew...
const KEEPALIVE_AT_LEAST: Duration = Duration::from_millis(50);
/// ...and one that has not asked yet after this: clients of ours ask as soon as they connect.
const ASKS_WITHIN: Duration = Duration::from_millis(300);
/// At the end of the process a request that comes whole has at least so long to be answered in.
const LAST_REQUESTS: Duration = Duration::from_millis(100);
/// While the gateway is emptied, new connections come for 0.2 s after it has said that it is not ready, and are served.
const DRAIN_STARTS_AFTER: Duration = Duration::from_millis(500);
/// Then connections that have been idle for this long are closed: few requests cross such a close...
const DRAINS_IDLE_FOR: Duration = Duration::from_secs(1);
/// ...and from so long after the beginning all that are idle, but for those that have hardly come.
const DRAINED_WITHIN: Duration = Duration::from_millis(2_500);
const JUST_CONNECTED: Duration = Duration::from_millis(100);

/// The process ends.
#[derive(Clone, Copy)]
pub(super) struct Leaving {
    /// Requests that are not whole by then are turned away.
    pub(super) requests_until: Instant,
}

/// A connection on which no request is open.
pub(super) struct IdleConnection {
    pub(super) since: Instant,
    /// It has asked before.
    pub(super) kept: bool,
    /// Something of a request has come.
    pub(super) begun: bool,
    pub(super) end: Rc<Notify>,
}

impl HttpServer {
    /// From now on every answer closes its connection, and all have been given by that time.
    pub fn leave(&self, answers_until: Instant) {
        let requests_until = answers_until
            .checked_sub(LAST_REQUESTS)
            .unwrap_or(answers_until);
        self.leaving.set(Some(Leaving { requests_until }));
        self.engine.answer_all_by(answers_until);
    }

    /// Clients are sent away, by hand.
    pub fn draining(&self) -> bool {
        self.draining.get().is_some()
    }

    /// Every answer closes its connection.
    pub(super) fn ends_connections(&self) -> bool {
        self.leaving.get().is_some() || self.draining.get().is_some()
    }

    /// From now on clients are sent away: the gateway is not ready and lets go of connections, gently at first.
    pub fn drain(self: &Rc<Self>) {
        let since = Instant::now();
        if self.draining.get().is_some() {
            return;
        }
        self.draining.set(Some(since));
        let server = self.clone();
        tokio::task::spawn_local(async move {
            sleep(DRAIN_STARTS_AFTER).await;
            while server.draining.get() == Some(since) {
                let all = since.elapsed() >= DRAINED_WITHIN;
                server.close_idle(
                    if all { JUST_CONNECTED } else { DRAINS_IDLE_FOR },
                    JUST_CONNECTED,
                );
                sleep(JUST_CONNECTED / 2).await;
            }
        });
    }

    /// Clients may come again.
    pub fn resume(&self) {
        self.draining.set(None);
    }

    /// Idle connections end now, but for those that have hardly come and may be about to ask; the others after their answer.
    /// In the end there is no time for an answer to what has not come whole: that is turned away.
    pub fn close(&self) {
        if self
            .leaving
            .get()
            .is_some_and(|leaving| Instant::now() >= leaving.requests_until)
        {
            self.idle.borrow().values().for_each(|i| i.end.notify_one());
        } else {
            self.close_idle(Duration::ZERO, ASKS_WITHIN);
        }
    }

    /// Ends connections that have been idle for so long, those that have never asked after `new`. One on which a request has
    /// begun is not idle.
    pub(super) fn close_idle(&self, least: Duration, new: Duration) {
        let now = Instant::now();
        let idle = |i: &&IdleConnection| {
            !i.begun && now - i.since >= if i.kept { least } else { least.max(new) }
        };
        self.idle
            .borrow()
            .values()
            .filter(idle)
            .for_each(|i| i.end.notify_one());
    }

    /// Lets go of connections that have been idle for a while.
    pub fn close_stale(&self) {
        self.close_idle(DRAINS_IDLE_FOR, DRAINS_IDLE_FOR);
    }

    /// Ends the connection that has been idle longest, if any has been for long enough.
    pub(super) fn evict_idle(&self) -> bool {
        let now = Instant::now();
        let idle = self.idle.borrow();
        let may_end = |i: &&IdleConnection| {
            now - i.since
                >= if i.kept {
                    KEEPALIVE_AT_LEAST
                } else {
                    ASKS_WITHIN
                }
        };
        let longest = idle.values().filter(may_end).min_by_key(|i| i.since);
        longest.inspect(|i| i.end.notify_one()).is_some()
    }
}
