//! The list agent's client: a long poll that follows the endpoint list of one agent.

mod client;
mod server_list;

pub use server_list::{unreadable, ServerList};

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

/// How long the agent may hold a long poll. Short, so that a connection that has failed silently is noticed soon.
const HOLD_MS: u64 = 1_000;
/// How long a response is awaited after the time that the agent may hold the call.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of the further calls, each over a new connection, after one that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Limit on the calls in flight after a failure. At the limit a new call replaces the second oldest: the oldest stays, as
/// an overloaded agent may answer late...
const MAX_CALLS_IN_FLIGHT: usize = 6;
/// ...until it is this old. A change has to be known within 6 s, of which the long poll before has taken up to 1.5 s.
const MAX_CALL_AGE: Duration = Duration::from_secs(4);
/// The shortest interval between calls, whatever the agent answers.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Follows the list of one agent for as long as the future is polled. The last list stays in use while calls fail; a
/// broken long poll continues from its version.
pub(crate) async fn follow(address: SocketAddr, registry: &EndpointRegistry) {
    let mut watch = Watch {
        address,
        connection: None,
        version: None,
        is_failing: false,
        next_call_at: Instant::now(),
    };
    loop {
        sleep_until(watch.next_call_at).await;
        watch.next_call_at = Instant::now() + MIN_CALL_INTERVAL;
        let list = watch.next_list().await;
        if watch.accept_version(&list) {
            let kind = if list.all {
                ListKind::Complete
            } else {
                ListKind::Partial
            };
            registry.update_endpoints(kind, list.targets);
        }
    }
}

struct Watch {
    address: SocketAddr,
    /// Open connection of the last call, if it can be used again.
    connection: Option<ServerConnection>,
    /// Version of the list that is known; `None`: the next call asks for the complete list.
    version: Option<u64>,
    /// Whether the last call failed; this has been logged.
    is_failing: bool,
    next_call_at: Instant,
}

impl Watch {
    /// The list from the next call that succeeds.
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

    async fn long_poll(&mut self) -> Result<ListResponse, CallError> {
        let newer_than = self.version.map(|version| NewerThan {
            version,
            hold_ms: HOLD_MS,
        });
        let hold_ms = newer_than.map_or(0, |newer_than| newer_than.hold_ms);
        let call = request_list(self.address, self.connection.take(), newer_than);
        let response = timeout(RESPONSE_TIMEOUT + Duration::from_millis(hold_ms), call).await;
        response.unwrap_or(Err(CallError::Timeout))
    }

    fn report_failure(&mut self, error: &CallError) {
        debug!(address = %self.address, reason = %error, "endpoint_list.poll_failed");
        if !std::mem::replace(&mut self.is_failing, true) {
            log_line!("discovery: {error}; keeping the last list");
        }
    }

    /// Whether the list applies to the version that is known. A change that leads to an older version comes from an agent
    /// that has restarted, and is a change of another list; then the complete list is requested.
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

/// A call without a response.
struct PendingCall<F> {
    started_at: Instant,
    call: Pin<Box<F>>,
}

/// Calls, without letting the agent hold them, until one succeeds. A further call starts at each interval, because those
/// in flight may never be answered.
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
                    drop_one_call(&mut pending);
                }
                pending.push_back(PendingCall {
                    started_at: Instant::now(),
                    call: Box::pin(request_list(address, None, newer_than)),
                });
            }
            (index, result) = first_completed(&mut pending), if !pending.is_empty() => match result {
                Ok(response) => return response,
                // The next call waits for its interval, so that an agent that answers with errors is not called more often.
                Err(_) => drop(pending.remove(index)),
            }
        }
    }
}

/// Drops the oldest call if it is too old, otherwise the second oldest.
fn drop_one_call<F>(pending: &mut VecDeque<PendingCall<F>>) {
    let is_oldest_lost = pending
        .front()
        .is_some_and(|oldest| oldest.started_at.elapsed() >= MAX_CALL_AGE);
    let index = if is_oldest_lost { 0 } else { 1 };
    pending.remove(index);
}

/// The index and the result of the first call that completes.
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
