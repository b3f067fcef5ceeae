//! Requests from front ends and the responses to them.

use super::Payload;
use bytes::Bytes;
use frosthatch_traffic_control::Request;
use std::any::Any;
use std::time::Duration;
use tokio::time::Instant;

/// A client's request, read and checked.
pub struct IncomingRequest {
    /// What the decisions need to know of it.
    pub request: Request,
    /// When the client leaves.
    pub client_leaves_at: Instant,
    /// What goes to the server.
    pub payload: Box<dyn Payload>,
}

/// The one final response to a request.
pub enum Response {
    /// The complete response of a server.
    Served(Bytes),
    /// The first bytes of a server's response, and the rest: by the back end, for the front end of the same protocol.
    Streaming(Bytes, Box<dyn Any>),
    /// The request is rejected.
    Rejected {
        /// After which the client may retry.
        retry_after: Duration,
    },
    /// The request failed at a server or on the way to it, or got no response in time.
    Failed {
        /// Whether there was no response in time.
        timed_out: bool,
    },
}

/// A request was not taken: one with the same id is held.
pub struct DuplicateRequest;
