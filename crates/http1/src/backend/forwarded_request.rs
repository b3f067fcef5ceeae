//! The form of a client's request that is forwarded to servers.

use crate::body_memory::BodyReservation;
use frosthatch_engine::ForwardedDeadline;

/// Request as servers receive it, except for the deadline header, which each attempt adds.
pub struct ForwardedRequest {
    /// Request line and headers, each with its line end, without the deadline header and the final empty line.
    pub head: Vec<u8>,
    /// Body, at most [`MAX_LONG_BODY_BYTES`](crate::limits::MAX_LONG_BODY_BYTES) long.
    pub body: Vec<u8>,
    /// Memory reserved for the body if it is long; released when the request is dropped.
    pub body_memory: Option<BodyReservation>,
    /// Index of the request's class in [`RequestCounters`](frosthatch_engine::RequestCounters).
    pub class_index: usize,
}

impl ForwardedRequest {
    /// Returns the complete head, with the remaining time as the `X-Expires-In` header, in seconds.
    pub(super) fn head_with_deadline(&self, deadline: &ForwardedDeadline) -> Vec<u8> {
        let remaining_s = deadline.remaining().as_secs_f64();
        let deadline_header = format!("X-Expires-In: {remaining_s:.3}\r\n\r\n");
        [&self.head[..], deadline_header.as_bytes()].concat()
    }
}
