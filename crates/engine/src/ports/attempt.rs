//! Attempts on servers, which the back end of a request's protocol makes.

use crate::attempt_permit::AttemptPermit;
use bytes::Bytes;
use frosthatch_traffic_control::{CompletionStatus, LoadMetric, ServerId};
use std::any::Any;
use std::future::Future;
use std::pin::Pin;
use tokio::time::Instant;

/// A boxed future that runs on the engine's single thread.
pub type BoxedFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// A running attempt. Dropping the future cancels the attempt, if [`Payload::can_cancel_attempts`] says so.
pub type Attempt = BoxedFuture<AttemptResult>;

/// When an attempt ends at the latest.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadlines {
    /// When a response has to have begun, and to be complete if it is known to be short.
    pub answer_by: Instant,
    /// When a response of unknown length that is still arriving is passed on to the client as a stream. It may be later than
    /// `answer_by`: a server that sends a response is not silent. `None`: it has to be complete by `answer_by`.
    pub pass_on_at: Option<Instant>,
}

/// The part of a client's request that is sent to a server. The front end creates it for the back end of its protocol;
/// it is opaque to the engine.
pub trait Payload {
    /// Makes one attempt on `server`. If `permit` denies the write, the attempt ends as not sent.
    ///
    /// An attempt that can be cancelled ends by `deadlines` in any case, and writes no further bytes once it is dropped.
    /// One that cannot is not begun after `answer_by`; it may end later.
    fn attempt(
        &self,
        server: &ServerId,
        deadlines: AttemptDeadlines,
        permit: AttemptPermit,
    ) -> Attempt;

    /// Whether the gateway can end an attempt by itself. On a connection that carries one request it closes the
    /// connection. On a connection that carries many it cannot: the server may execute what was written until it
    /// answers or the connection ends, so the attempt is not over before.
    fn can_cancel_attempts(&self) -> bool;
}

/// The result of an attempt: how it ended, and its response, if there is one.
pub struct AttemptResult {
    /// How the attempt ended.
    pub status: CompletionStatus,
    /// The response, encoded in the protocol of the payload.
    pub body: Bytes,
    /// The rest of a streamed response, for the front end of the payload's protocol.
    pub rest: Option<Box<dyn Any>>,
    /// When the head of a streamed response arrived: how long the rest takes says nothing of the server's load.
    pub streamed_since: Option<Instant>,
    /// Whether a response began and then fell silent.
    pub fell_silent: bool,
    /// The customer's use over all gateways as the server meters it, as a fraction of its rate limit or of its
    /// concurrency limit.
    pub metered_use: Option<f64>,
    /// The load metrics that the server reports of itself.
    pub load_report: Vec<(LoadMetric, f64)>,
}

impl AttemptResult {
    /// Creates the result of an attempt that received no response.
    pub fn without_response(status: CompletionStatus) -> Self {
        AttemptResult {
            status,
            body: Bytes::new(),
            rest: None,
            streamed_since: None,
            fell_silent: false,
            metered_use: None,
            load_report: Vec::new(),
        }
    }
}
