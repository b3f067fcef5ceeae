//! Types for a client's request, while it is being received and when it is complete.

use crate::backend::ForwardedRequest;
use crate::body_memory::BodyReservation;
use crate::chunked::ChunkedDecoder;
use std::time::Duration;
use tokio::time::Instant;

/// Client's request that is to be forwarded to a server.
pub(super) struct ClientRequest {
    pub(super) request: frosthatch_traffic_control::Request,
    /// Time for which the client waits for the response after it has sent the last byte.
    pub(super) client_timeout: Duration,
    /// Time until which the client waits for the response; set when the request is complete.
    pub(super) client_deadline: Instant,
    /// Whether the request's class allows repeating it; such a request has no body.
    pub(super) is_repeatable: bool,
    /// Request as it is forwarded.
    pub(super) forwarded: ForwardedRequest,
    /// Names and values of the headers that the operator's plugins need.
    pub(super) plugin_headers: Vec<(String, String)>,
}

/// Target of a request.
pub(super) enum RequestTarget {
    /// Query of the gateway's readiness.
    Readiness,
    /// Request that is forwarded to a server.
    Server(Box<ClientRequest>),
}

/// Complete and valid request.
pub(super) struct ReceivedRequest {
    pub(super) target: RequestTarget,
    /// Whether the connection must be closed after the response: the client requests it, or speaks HTTP/1.0.
    pub(super) closes_connection: bool,
    /// Whether the client speaks HTTP/1.0, which has no chunked encoding.
    pub(super) is_http_1_0: bool,
}

/// Framing of a request's body.
pub(super) enum RequestFraming {
    /// The body has this length in bytes.
    Length(usize),
    /// The body ends after its last chunk and the trailer section.
    Chunked(ChunkedDecoder),
}

impl RequestFraming {
    /// Returns whether the request has no body.
    pub(super) fn is_empty(&self) -> bool {
        matches!(self, RequestFraming::Length(0))
    }
}

/// Request with a valid head, and the part of its body that has been decoded.
pub(super) struct PartialRequest {
    /// Length of the head in bytes, as received.
    pub(super) head_bytes: usize,
    pub(super) framing: RequestFraming,
    pub(super) body: Vec<u8>,
    pub(super) body_memory: Option<BodyReservation>,
    /// Whether the client waits for an interim response before it sends the body (RFC 9110 section 10.1.1).
    pub(super) expects_continue: bool,
    pub(super) closes_connection: bool,
    pub(super) is_http_1_0: bool,
    pub(super) target: RequestTarget,
}

impl PartialRequest {
    /// Converts a request whose body is complete. `received_at` is the earliest time at which its last byte may have
    /// arrived; the client's timeout is counted from it.
    pub(super) fn into_received(self, received_at: Instant) -> ReceivedRequest {
        let mut target = self.target;
        if let RequestTarget::Server(request) = &mut target {
            request.client_deadline = received_at + request.client_timeout;
            let forwarded = &mut request.forwarded;
            if !request.is_repeatable {
                // Bodies are forwarded with a length, whatever the client's framing.
                let length = format!("Content-Length: {}\r\n", self.body.len());
                forwarded.head.extend(length.into_bytes());
            }
            forwarded.body = self.body;
            forwarded.body_memory = self.body_memory;
        }
        ReceivedRequest {
            target,
            closes_connection: self.closes_connection,
            is_http_1_0: self.is_http_1_0,
        }
    }
}
