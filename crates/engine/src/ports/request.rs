//! The requests that front ends submit, and the responses to them.

use super::Payload;
use bytes::Bytes;
use frosthatch_traffic_control::Request;
use std::any::Any;
use std::time::Duration;
use tokio::time::Instant;

/// A client's request that a front end has read and validated.
pub struct IncomingRequest {
    /// The request as traffic control receives it.
    pub request: Request,
    /// When the client stops waiting for the response.
    pub client_deadline: Instant,
    /// The part of the request that is sent to a server.
    pub payload: Box<dyn Payload>,
}

/// The final response to a request; each request receives exactly one.
pub enum Response {
    /// The complete response of a server.
    Served(Bytes),
    /// The first bytes of a server's response, and the rest as the back end passes it to the front end of its protocol.
    Streaming(Bytes, Box<dyn Any>),
    /// The gateway rejects the request.
    Rejected {
        /// The time after which the client may retry.
        retry_after: Duration,
    },
    /// The request failed at a server or on the way to it, or no response arrived in time.
    Failed {
        /// Whether no response arrived in time.
        timed_out: bool,
    },
}

/// The error when a submitted request has the id of a request that the engine holds, or whose client left lately.
pub struct DuplicateRequest;
