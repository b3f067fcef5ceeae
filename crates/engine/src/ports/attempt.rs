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

/// A running attempt; dropping the future cancels the attempt.
pub type Attempt = BoxedFuture<AttemptResult>;

/// The part of a client's request that is sent to a server. The front end creates it for the back end of its protocol;
/// it is opaque to the engine.
pub trait Payload {
    /// Makes one attempt on `server`, which ends by `deadline` in any case. A dropped attempt writes no further bytes.
    /// If `permit` denies the write, the attempt ends as not sent.
    fn attempt(&self, server: &ServerId, deadline: Instant, permit: AttemptPermit) -> Attempt;
}

/// The result of an attempt: how it ended, and its response, if there is one.
pub struct AttemptResult {
    /// How the attempt ended.
    pub status: CompletionStatus,
    /// The response, encoded in the protocol of the payload.
    pub body: Bytes,
    /// The rest of a streamed response, for the front end of the payload's protocol.
    pub rest: Option<Box<dyn Any>>,
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
            metered_use: None,
            load_report: Vec::new(),
        }
    }
}
