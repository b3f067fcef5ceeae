//! Client of the list agent: follows the endpoint list of one agent by long polling.

mod client;
mod server_list;

pub use server_list::{invalid_entries, ServerList};

use crate::registry::EndpointRegistry;
use client::{request_list, CallError, ListResponse, NewerThan};
use frosthatch_http1::conn::ServerConnection;
use frosthatch_log::log_line;
use frosthatch_traffic_control::ListKind;
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{interval, sleep_until, timeout, Instant, MissedTickBehavior};
use tracing::debug;

/// How long the agent may hold a long poll, in milliseconds. A short time, so that a connection that failed without
/// being closed is detected soon.
const LONG_POLL_HOLD_MS: u64 = 1_000;
/// How long a response is awaited in addition to the time that the agent may hold the call.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between retries after a failed call; each retry uses a new connection.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of calls in flight after a failure. At the limit, a new call replaces the second oldest one. The
/// oldest is kept until it reaches [`MAX_CALL_AGE`], as an overloaded agent may respond late.
const MAX_CALLS_IN_FLIGHT: usize = 6;
/// Age at which the oldest call in flight is replaced. A change has to be known within 6 s, of which the preceding long
/// poll has taken up to 1.5 s.
const MAX_CALL_AGE: Duration = Duration::from_secs(4);
/// Minimum interval between calls, whatever the agent responds.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Follows the list of one agent for as long as the future is polled. While calls fail, the last list stays in use; the
/// calls after a failed long poll continue from the last list's version.
pub(crate) async fn follow(address: SocketAddr, registry: &EndpointRegistry) {
    let mut poller = ListPoller {
        address,
        connection: None,
        version: None,
        is_failing: false,
        next_call_at: Instant::now(),
    };
    loop {
        sleep_until(poller.next_call_at).await;
        poller.next_call_at = Instant::now() + MIN_CALL_INTERVAL;
        let list = poller.next_list().await;
        if poller.accept_version(&list) {
            let kind = if list.all {
                ListKind::Complete
            } else {
                ListKind::Partial
            };
            registry.update_endpoints(kind, list.targets);
        }
    }
}

/// Polls the list of one agent, and tracks the list's version.
struct ListPoller {
    address: SocketAddr,
    /// The last call's connection, if it can be reused.
    connection: Option<ServerConnection>,
    /// Version of the last accepted list; `None`: the next call requests the complete list.
    version: Option<u64>,
    /// Whether the last long poll failed, which has been logged.
    is_failing: bool,
    next_call_at: Instant,
}

impl ListPoller {
    /// Returns the list from the next successful call.
    async fn next_list(&mut self) -> ServerList {
        let response = match self.long_poll().await {
            Ok(response) => {
                self.is_failing = false;
                response
            }
            Err(error) => {
                self.report_failure(&error);
                let response = retry_until_response(self.address, self.version).await;
                self.next_call_at = Instant::now() + RETRY_INTERVAL;
                response
            }
        };
        self.connection = response.connection;
        response.list
    }

    /// Calls the agent, which may hold the call for [`LONG_POLL_HOLD_MS`] if a version is known.
    async fn long_poll(&mut self) -> Result<ListResponse, CallError> {
        let newer_than = self.version.map(|version| NewerThan {
            version,
            hold_ms: LONG_POLL_HOLD_MS,
        });
        let hold_ms = newer_than.map_or(0, |newer_than| newer_than.hold_ms);
        let call = request_list(self.address, self.connection.take(), newer_than);
        let response = timeout(RESPONSE_TIMEOUT + Duration::from_millis(hold_ms), call).await;
        response.unwrap_or(Err(CallError::Timeout))
    }

    /// Logs the first of consecutive failures.
    fn report_failure(&mut self, error: &CallError) {
        debug!(address = %self.address, reason = %error, "endpoint_list.poll_failed");
        if !std::mem::replace(&mut self.is_failing, true) {
            log_line!(
                "discovery: long poll of the list agent failed: {error}; keeping the last list"
            );
        }
    }

    /// Returns whether a received list applies to the known version, and records its version. A change whose version
    /// is older than the known one comes from an agent that restarted. The change belongs to another list, so the
    /// complete list is requested, as it is if no version is known.
    fn accept_version(&mut self, list: &ServerList) -> bool {
        let is_older = self.version.is_none_or(|version| list.rev < version);
        if !list.all && is_older {
            self.version = None;
            self.next_call_at = Instant::now() + RETRY_INTERVAL;
            return false;
        }
        self.version = Some(list.rev);
        debug!(
            rev = list.rev,
            all = list.all,
            entries = list.targets.len(),
            "endpoint_list.received"
        );
        true
    }
}

/// A call in flight.
struct PendingCall<F> {
    started_at: Instant,
    call: Pin<Box<F>>,
}

/// Calls the agent, which may not hold these calls, until one call succeeds. A further call starts at each
/// [`RETRY_INTERVAL`], because those in flight may never receive a response.
async fn retry_until_response(address: SocketAddr, version: Option<u64>) -> ListResponse {
    let newer_than = version.map(|version| NewerThan {
        version,
        hold_ms: 0,
    });
    let mut pending = VecDeque::new();
    let mut retry = interval(RETRY_INTERVAL);
    retry.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = retry.tick() => {
                if pending.len() >= MAX_CALLS_IN_FLIGHT {
                    evict_call(&mut pending);
                }
                pending.push_back(PendingCall {
                    started_at: Instant::now(),
                    call: Box::pin(request_list(address, None, newer_than)),
                });
            }
            (index, result) = first_completed(&mut pending), if !pending.is_empty() => match result {
                Ok(response) => return response,
                // A failed call is not replaced at once: the next one starts at the next tick, so that an agent that
                // responds with errors is not called more often.
                Err(_) => drop(pending.remove(index)),
            }
        }
    }
}

/// Drops the oldest call if its age has reached [`MAX_CALL_AGE`], otherwise the second oldest.
fn evict_call<F>(pending: &mut VecDeque<PendingCall<F>>) {
    let is_oldest_expired = pending
        .front()
        .is_some_and(|oldest| oldest.started_at.elapsed() >= MAX_CALL_AGE);
    let index = if is_oldest_expired { 0 } else { 1 };
    pending.remove(index);
}

/// Waits for the first call that completes, and returns its index and result.
async fn first_completed<F: Future>(pending: &mut VecDeque<PendingCall<F>>) -> (usize, F::Output) {
    poll_fn(|context| {
        for (index, pending) in pending.iter_mut().enumerate() {
            if let Poll::Ready(output) = pending.call.as_mut().poll(context) {
                return Poll::Ready((index, output));
            }
        }
        Poll::Pending
    })
    .await
}
