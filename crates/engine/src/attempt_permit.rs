//! Whether an attempt may be written now, decided in one place for every back end.
//!
//! The decisions limit when an attempt may begin. A server begins a request when its last byte has arrived, which may be
//! much later than the first: so each back end consults the attempt's [`AttemptPermit`] before every write, not only
//! before the first, and reports when the last byte was written. What turns out to have been written too late counts as a
//! violation of a [`Rule`].

use crate::violations::{Rule, Violations};
use frosthatch_traffic_control::{RequestId, CLIENT_GONE_SLACK_US, MAX_GATEWAY_DELAY_US};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long the process may be held up; the latest start allows for it.
const MAX_HOLDUP: Duration = Duration::from_micros(MAX_GATEWAY_DELAY_US);
/// The protocol's tolerance on each time limit.
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(50);
/// How long after the client has gone an attempt may still begin; the decisions allow for it.
const CLIENT_GONE_SLACK: Duration = Duration::from_micros(CLIENT_GONE_SLACK_US);
/// How much more time than the client has left may be forwarded to a server.
const FORWARDED_DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// Why an attempt is not written, or not completely. The server has not run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WriteDenied {
    /// The request has its response, or its client has gone.
    #[error("nobody waits for it")]
    ClientGone,
    /// The window in which the attempt may begin is over.
    #[error("too late")]
    TooLate,
    /// The server takes no new requests, is gone, or has moved.
    #[error("its server takes nothing new")]
    ServerNotReady,
    /// The server reads so slowly that the remaining time forwarded to it no longer holds.
    #[error("its server reads too slowly")]
    ForwardedDeadlineStale,
}

/// Since when a request's client no longer waits: because it has its response, or because it has gone.
///
/// Clones share one state.
#[derive(Clone, Debug, Default)]
pub struct ClientPresence(Rc<Cell<Option<Instant>>>);

impl ClientPresence {
    /// Records that the client no longer waits. Only the first call has an effect.
    pub fn record_gone(&self) {
        if self.0.get().is_none() {
            self.0.set(Some(Instant::now()));
        }
    }

    /// When the client ceased to wait; `None` while it waits.
    pub fn ended_at(&self) -> Option<Instant> {
        self.0.get()
    }
}

/// Permission to write one attempt, for as long as its checks pass.
#[derive(Clone)]
pub struct AttemptPermit {
    request: RequestId,
    /// The last byte has to be written before this.
    latest_start: Instant,
    client_leaves_at: Instant,
    client: ClientPresence,
    violations: Rc<Violations>,
}

impl AttemptPermit {
    /// A permit for an attempt whose last byte is written before `latest_start`, for a client that leaves at
    /// `client_leaves_at`.
    pub fn new(
        request: RequestId,
        latest_start: Instant,
        client_leaves_at: Instant,
        client: ClientPresence,
        violations: Rc<Violations>,
    ) -> Self {
        AttemptPermit {
            request,
            latest_start,
            client_leaves_at,
            client,
            violations,
        }
    }

    /// Checks that the attempt may be written now, as far as its request is concerned.
    ///
    /// # Errors
    /// The reason why it may not.
    pub fn check(&self) -> Result<(), WriteDenied> {
        if self.client.ended_at().is_some() {
            return Err(WriteDenied::ClientGone);
        }
        if Instant::now() >= self.latest_start {
            return Err(WriteDenied::TooLate);
        }
        Ok(())
    }

    /// Records that the last byte was written, and counts the rules that this violates. `forwarded_deadline`: until when
    /// the server believes that the response is awaited, if it was informed.
    pub fn record_written(&self, forwarded_deadline: Option<Instant>) {
        let now = Instant::now();
        let note_violation = |rule| self.violations.record(rule, Some(self.request));
        if now > self.latest_start + MAX_HOLDUP + TIME_LIMIT_SLACK {
            note_violation(Rule::LatestStart);
        }
        let client_gone_at = self
            .client
            .ended_at()
            .map_or(self.client_leaves_at, |ended| {
                ended.min(self.client_leaves_at)
            });
        if now > client_gone_at + CLIENT_GONE_SLACK {
            note_violation(Rule::ClientWaiting);
        }
        let latest_deadline = self.client_leaves_at + FORWARDED_DEADLINE_SLACK;
        if forwarded_deadline.is_some_and(|deadline| deadline > latest_deadline) {
            note_violation(Rule::ForwardedDeadline);
        }
    }
}

#[cfg(test)]
mod tests;
