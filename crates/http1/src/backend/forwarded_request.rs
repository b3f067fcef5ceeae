//! The parts of a client's request that are forwarded to a server.

use crate::body_memory::BodyReservation;
use frosthatch_engine::ForwardedDeadline;

/// A request as servers receive it, but for the time that is left when it is sent.
pub struct ForwardedRequest {
    /// Request line and headers, each with its line end; without the deadline header and the empty line.
    pub head: Vec<u8>,
    /// The body, of any length.
    pub body: Vec<u8>,
    /// Memory that is reserved for a long body.
    pub body_memory: Option<BodyReservation>,
    /// Index of the request's class in the counters.
    pub class_index: usize,
}

impl ForwardedRequest {
    /// The complete head, with the time that is left.
    pub(super) fn head_with_deadline(&self, deadline: &ForwardedDeadline) -> Vec<u8> {
        let remaining_s = deadline.remaining().as_secs_f64();
        let deadline_header = format!("X-Expires-In: {remaining_s:.3}\r\n\r\n");
        [&self.head[..], deadline_header.as_bytes()].concat()
    }
}
