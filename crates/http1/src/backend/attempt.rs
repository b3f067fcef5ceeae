//! Makes one attempt at a server: connects, writes the request and reads the response.

use super::connect::{AcquiredConnection, ConnectFailure};
use super::forwarded_request::ForwardedRequest;
use super::pooled_connection::PooledConnection;
use super::response_start::{read_response_start, ResponseFailure};
use super::response_stream::ResponseStream;
use super::upstream::{Route, Upstream};
use crate::conn::{BegunResponse, Sending, ServerConnection, ServerResponse, WriteProgress};
use crate::error::MessageError;
use crate::limits::MAX_BODY_BYTES;
use crate::staleness::StalenessEstimator;
use frosthatch_engine::{
    AttemptDeadlines, AttemptPermit, AttemptResult, ForwardedDeadline, WriteDenied,
};
use frosthatch_traffic_control::{CompletionStatus, ServerId};
use std::any::Any;
use std::cell::Cell;
use std::io;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};
use tracing::debug;

/// Outcome of writing a request and waiting for its response.
struct ExchangeOutcome {
    reply: ServerReply,
    written_bytes: usize,
    is_request_written: bool,
    /// The reason why the rest of the request was not written, if it was denied.
    write_denied: Option<WriteDenied>,
    duration: Duration,
}

enum ServerReply {
    Received {
        begun_at: Instant,
        response: ServerResponse,
    },
    ConnectionFailed,
    TimedOut,
    FellSilent,
}

impl Upstream {
    /// Makes one attempt, which ends by `deadlines`. Only the rest of a long response is streamed after the attempt.
    pub(super) async fn attempt(
        &self,
        server: &ServerId,
        request: &ForwardedRequest,
        deadlines: &AttemptDeadlines,
        permit: &AttemptPermit,
    ) -> AttemptResult {
        let Some(route) = self.route(server) else {
            return AttemptResult::without_response(CompletionStatus::NoConnection);
        };
        let connecting = self.connect(server, &route, deadlines.answer_by, permit);
        let acquired = match connecting.await {
            Ok(acquired) => acquired,
            Err(status) => return AttemptResult::without_response(status),
        };
        let AcquiredConnection {
            connection,
            idle_time,
        } = acquired;
        let exchange = self
            .exchange(server, &route, &connection.conn, request, deadlines, permit)
            .await;
        if let Some(reason) = exchange.write_denied {
            log_denied(server, reason, exchange.written_bytes);
            let is_unused = exchange.written_bytes == 0;
            if reason != WriteDenied::ForwardedDeadlineStale && is_unused {
                self.put_back(server, route.address, connection);
            }
            return AttemptResult::without_response(denied_status(reason));
        }
        if let Some(idle_time) = idle_time {
            let is_failed = matches!(exchange.reply, ServerReply::ConnectionFailed);
            if is_failed && exchange.written_bytes == 0 {
                // The idle connection failed before any byte of the request was written: the server closed it, sent
                // unsolicited bytes, or was removed.
                return AttemptResult::without_response(CompletionStatus::NotSent);
            }
            let is_lost = is_failed && exchange.duration < StalenessEstimator::STALE_FAILURE_WINDOW;
            self.staleness.borrow_mut().record_use(idle_time, is_lost);
        }
        match exchange.reply {
            ServerReply::Received { begun_at, response } => {
                self.response_result(server, &route, connection, begun_at, response)
            }
            // Servers never execute an incomplete request. A complete one may have been executed, or may still be
            // executed.
            _ if !exchange.is_request_written => {
                AttemptResult::without_response(CompletionStatus::NoConnection)
            }
            ServerReply::ConnectionFailed => {
                AttemptResult::without_response(CompletionStatus::ConnectionLost)
            }
            ServerReply::TimedOut => AttemptResult::without_response(CompletionStatus::NoAnswer),
            ServerReply::FellSilent => AttemptResult {
                fell_silent: true,
                ..AttemptResult::without_response(CompletionStatus::NoAnswer)
            },
        }
    }

    /// Gets a connection by `deadline`.
    ///
    /// # Errors
    /// Returns the status with which the attempt ends. It is `NotSent`, which does not count against the server,
    /// after a local shortage (see [`super::connect`]).
    async fn connect(
        &self,
        server: &ServerId,
        route: &Route,
        deadline: Instant,
        permit: &AttemptPermit,
    ) -> Result<AcquiredConnection, CompletionStatus> {
        let has_local_shortage = Cell::new(false);
        let acquiring = self.acquire_connection(server, route.address, permit, &has_local_shortage);
        match timeout_at(deadline, acquiring).await {
            Ok(Ok(acquired)) => Ok(acquired),
            Ok(Err(ConnectFailure::Denied(reason))) => {
                log_denied(server, reason, 0);
                Err(CompletionStatus::NotSent)
            }
            Err(_) if has_local_shortage.get() => Err(CompletionStatus::NotSent),
            Ok(Err(ConnectFailure::Unreachable)) | Err(_) => Err(CompletionStatus::NoConnection),
        }
    }

    /// Writes the request and reads its response; of a long response, only the beginning.
    async fn exchange(
        &self,
        server: &ServerId,
        route: &Route,
        conn: &ServerConnection,
        request: &ForwardedRequest,
        deadlines: &AttemptDeadlines,
        permit: &AttemptPermit,
    ) -> ExchangeOutcome {
        let has_long_body = request.body.len() > MAX_BODY_BYTES;
        let forwarded_deadline = ForwardedDeadline::new(deadlines.answer_by, has_long_body);
        let head = request.head_with_deadline(&forwarded_deadline);
        let written = Cell::new(0);
        let write_denied = Cell::new(None);
        let check_write = |progress| {
            let allowed = match progress {
                // The server may have begun to drain, or changed its address, while the connection was made.
                WriteProgress::NotBegun if !self.is_route_current(server, route) => {
                    Err(WriteDenied::ServerNotReady)
                }
                WriteProgress::NotBegun => permit.check(),
                WriteProgress::Begun => permit.check().and_then(|()| forwarded_deadline.check()),
            };
            write_denied.set(allowed.err());
            allowed
        };
        let record_written = || {
            permit.record_written(Some(forwarded_deadline.deadline()));
            self.counters.record_attempt(request.class_index);
        };
        let sending = Sending {
            request: [&head[..], &request.body[..]],
            written_bytes: &written,
            check_write: &check_write,
            on_written: &record_written,
        };
        let started_at = Instant::now();
        // A removed server does not begin a response any more; one that it has begun goes on.
        let begun = tokio::select! {
            begun = timeout_at(deadlines.answer_by, conn.request(sending)) => begun,
            () = route.removed.notified() => Ok(Err(io::ErrorKind::ConnectionAborted.into())),
        };
        let reply = match begun {
            Ok(Ok(begun)) => read_reply(conn, begun, deadlines).await,
            Ok(Err(error)) => {
                if MessageError::is_unsolicited(&error) {
                    self.reuse_delay.record_unsolicited();
                }
                ServerReply::ConnectionFailed
            }
            Err(_) => ServerReply::TimedOut,
        };
        ExchangeOutcome {
            reply,
            written_bytes: written.get(),
            is_request_written: written.get() >= head.len() + request.body.len(),
            write_denied: write_denied.get(),
            duration: started_at.elapsed(),
        }
    }

    /// Returns whether new requests for the server still go to the address of `route`.
    fn is_route_current(&self, server: &ServerId, route: &Route) -> bool {
        self.route(server)
            .is_some_and(|current| current.address == route.address)
    }

    /// Builds the result of an attempt with a response. The connection moves into the stream of a response that is not
    /// complete; otherwise it returns to the pool if it is reusable.
    fn response_result(
        &self,
        server: &ServerId,
        route: &Route,
        connection: PooledConnection,
        begun_at: Instant,
        response: ServerResponse,
    ) -> AttemptResult {
        let status = completion_status(&response);
        if response.has_excess_bytes {
            self.reuse_delay.record_unsolicited();
        }
        let is_reusable = response.is_connection_reusable;
        let streamed_since = response.rest.is_some().then_some(begun_at);
        let mut stream = None;
        if let Some(rest) = response.rest {
            stream = Some(Box::new(ResponseStream {
                rest,
                connection,
                server: server.clone(),
                address: route.address,
                is_reusable,
            }) as Box<dyn Any>);
        } else if is_reusable {
            self.put_back(server, route.address, connection);
        }
        AttemptResult {
            status,
            body: response.body,
            rest: stream,
            streamed_since,
            fell_silent: false,
            metered_use: response.metered_use,
            load_report: response.load_report,
        }
    }
}

/// Reads a response that has begun until it may be passed on.
async fn read_reply(
    conn: &ServerConnection,
    begun: BegunResponse,
    deadlines: &AttemptDeadlines,
) -> ServerReply {
    let begun_at = Instant::now();
    match read_response_start(conn, begun, deadlines).await {
        Ok(response) => ServerReply::Received { begun_at, response },
        Err(ResponseFailure::ConnectionFailed) => ServerReply::ConnectionFailed,
        Err(ResponseFailure::TimedOut) => ServerReply::TimedOut,
        Err(ResponseFailure::FellSilent) => ServerReply::FellSilent,
    }
}

fn log_denied(server: &ServerId, reason: WriteDenied, written_bytes: usize) {
    debug!(server = %server.0, %reason, written = written_bytes, "attempt.not_sent");
}

/// Returns the status of an attempt whose request was not written completely because of `reason`.
fn denied_status(reason: WriteDenied) -> CompletionStatus {
    match reason {
        // The server reads so slowly that the forwarded deadline became outdated while the request was written: counts
        // against the server.
        WriteDenied::ForwardedDeadlineStale => CompletionStatus::NoConnection,
        _ => CompletionStatus::NotSent,
    }
}

fn completion_status(response: &ServerResponse) -> CompletionStatus {
    match response.status {
        200 => CompletionStatus::Served,
        503 | 504 if response.never_ran => CompletionStatus::Rejected,
        _ => CompletionStatus::ServerError,
    }
}
