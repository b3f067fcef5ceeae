//! Attempts on servers, made by the back end of a request's protocol.

use crate::attempt_permit::AttemptPermit;
use bytes::Bytes;
use frosthatch_traffic_control::{CompletionStatus, LoadMetric, ServerId};
use std::any::Any;
use std::future::Future;
use std::pin::Pin;
use tokio::time::Instant;

/// A future on the engine's one thread.
pub type BoxedFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// An attempt under way; dropping it cancels the attempt.
pub type Attempt = BoxedFuture<AttemptResult>;

/// The part of a client's request that goes to a server, in whatever protocol. Made by the front end, for the back end of
/// its protocol; the engine only keeps it.
pub trait Payload {
    /// Makes one attempt. It always ends by `deadline`; once dropped it writes nothing more. Where `permit` no longer allows
    /// it to be written, it ends as not sent.
    fn attempt(&self, server: &ServerId, deadline: Instant, permit: AttemptPermit) -> Attempt;
}

/// How an attempt ended, and what its response contained.
pub struct AttemptResult {
    /// How it ended.
    pub status: CompletionStatus,
    /// The response in the protocol of its payload.
    pub body: Bytes,
    /// The rest of a response that is streamed, for the front end of its protocol.
    pub rest: Option<Box<dyn Any>>,
    /// The customer's use over all gateways as the server meters it, as a share of its rate or open limit.
    pub metered_use: Option<f64>,
    /// The load that the server reports of itself.
    pub load_report: Vec<(LoadMetric, f64)>,
}

impl AttemptResult {
    /// The result of an attempt that got no response.
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
