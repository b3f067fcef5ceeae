//! Permits to write attempts to servers, shared by the back ends of all protocols.
//!
//! Traffic control limits when an attempt may begin. A server begins to process a request when its last byte has
//! arrived, which may be much later than the first. Each back end therefore checks the attempt's [`AttemptPermit`]
//! before every write, not only before the first, and reports when the last byte was written. An attempt that was
//! written too late counts as a violation of a [`Rule`].

use crate::violations::{Rule, Violations};
use frosthatch_traffic_control::{RequestId, CLIENT_GONE_SLACK_US, MAX_GATEWAY_DELAY_US};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum delay of the process between reading its clock and writing. Traffic control deducts it from the window
/// in which an attempt may begin, so a write that is late by no more is not a violation.
const MAX_PROCESS_DELAY: Duration = Duration::from_micros(MAX_GATEWAY_DELAY_US);
/// The protocol's tolerance on each of its time limits.
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(50);
/// The maximum time from the moment when the client stops waiting until an attempt begins. Traffic control uses the
/// same limit.
const CLIENT_GONE_SLACK: Duration = Duration::from_micros(CLIENT_GONE_SLACK_US);
/// How far the deadline forwarded to a server may lie after the client's own.
const FORWARDED_DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// The reason why an attempt is not written, or not completely. The server has not executed the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WriteDenied {
    /// The client has received its response or has gone.
    #[error("the client no longer waits for a response")]
    ClientGone,
    /// The window in which the attempt may begin has ended.
    #[error("the latest start of the attempt has passed")]
    TooLate,
    /// The server takes no new requests, no longer runs, or has another address.
    #[error("the server takes no new requests")]
    ServerNotReady,
    /// The server reads so slowly that the remaining time stated in the request head is no longer correct.
    #[error("the server reads too slowly for the forwarded deadline")]
    ForwardedDeadlineStale,
}

/// Records when the client of a request stopped waiting, because the client received the response or disconnected. The
/// client may come back as long as the request is open.
///
/// All clones share one state.
#[derive(Clone, Debug, Default)]
pub struct ClientPresence(Rc<Cell<Option<Instant>>>);

impl ClientPresence {
    /// Records that the client has stopped waiting now. Has no effect if it did so before.
    pub fn record_gone(&self) {
        if self.0.get().is_none() {
            self.0.set(Some(Instant::now()));
        }
    }

    /// Records that the client waits. Returns whether it had stopped.
    pub fn record_back(&self) -> bool {
        self.0.take().is_some()
    }

    /// Returns when the client stopped waiting; `None` while it waits.
    pub fn stopped_waiting_at(&self) -> Option<Instant> {
        self.0.get()
    }
}

/// Permission to write one attempt to a server, valid for as long as [`AttemptPermit::check`] succeeds.
#[derive(Clone)]
pub struct AttemptPermit {
    request: RequestId,
    /// The last byte of the attempt has to be written before this.
    latest_start: Instant,
    client_deadline: Instant,
    client: ClientPresence,
    violations: Rc<Violations>,
}

impl AttemptPermit {
    /// Creates a permit for an attempt whose last byte has to be written before `latest_start`, and whose client waits
    /// until `client_deadline`.
    pub fn new(
        request: RequestId,
        latest_start: Instant,
        client_deadline: Instant,
        client: ClientPresence,
        violations: Rc<Violations>,
    ) -> Self {
        AttemptPermit {
            request,
            latest_start,
            client_deadline,
            client,
            violations,
        }
    }

    /// Checks that the attempt may be written now: that its client waits and its latest start has not passed. The state
    /// of the server is not checked.
    ///
    /// # Errors
    /// Returns the reason why the attempt must not be written.
    pub fn check(&self) -> Result<(), WriteDenied> {
        if self.client.stopped_waiting_at().is_some() {
            return Err(WriteDenied::ClientGone);
        }
        if Instant::now() >= self.latest_start {
            return Err(WriteDenied::TooLate);
        }
        Ok(())
    }

    /// Records that the last byte of the attempt was written, and counts a violation of each rule that forbids writing
    /// it now. `forwarded_deadline`: the end of the remaining time that the request states to the server, if it states
    /// one.
    pub fn record_written(&self, forwarded_deadline: Option<Instant>) {
        let now = Instant::now();
        let record_violation = |rule| self.violations.record(rule, Some(self.request));
        if now > self.latest_start + MAX_PROCESS_DELAY + TIME_LIMIT_SLACK {
            record_violation(Rule::LatestStart);
        }
        let client_stopped_waiting_at = self
            .client
            .stopped_waiting_at()
            .map_or(self.client_deadline, |stopped_waiting_at| {
                stopped_waiting_at.min(self.client_deadline)
            });
        if now > client_stopped_waiting_at + CLIENT_GONE_SLACK {
            record_violation(Rule::ClientWaiting);
        }
        let latest_deadline = self.client_deadline + FORWARDED_DEADLINE_SLACK;
        if forwarded_deadline.is_some_and(|deadline| deadline > latest_deadline) {
            record_violation(Rule::ForwardedDeadline);
        }
    }
}

#[cfg(test)]
mod tests;
