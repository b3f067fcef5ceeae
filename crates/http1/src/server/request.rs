//! A client's request while it is read, and when it is complete.

use crate::backend::ForwardedRequest;
use crate::body_memory::BodyReservation;
use crate::chunked::ChunkedDecoder;
use std::time::Duration;
use tokio::time::Instant;

/// A request that is to be forwarded to a server.
pub(super) struct ClientRequest {
    pub(super) request: frosthatch_traffic_control::Request,
    /// How long the client waits, from its last byte on...
    pub(super) patience: Duration,
    /// ...and until when that is, once the request is complete.
    pub(super) gone_at: Instant,
    /// Its class is safe to repeat; such a request has no body.
    pub(super) is_safe: bool,
    pub(super) forwarded: ForwardedRequest,
    /// Headers that the operator's plugins want to see.
    pub(super) plugin_headers: Vec<(String, String)>,
}

/// What a request is for.
pub(super) enum RequestTarget {
    /// A query whether the gateway is ready.
    Readiness,
    /// A request for a server.
    Server(Box<ClientRequest>),
}

/// A complete request that is in order.
pub(super) struct ReceivedRequest {
    pub(super) target: RequestTarget,
    /// The client wants the connection to end.
    pub(super) closes_connection: bool,
    /// The client speaks HTTP/1.0, without chunks.
    pub(super) is_http_1_0: bool,
}

/// How the end of a request's body is found.
pub(super) enum RequestFraming {
    /// After so many bytes.
    Length(usize),
    /// After the last chunk.
    Chunked(ChunkedDecoder),
}

impl RequestFraming {
    /// Whether there is no body.
    pub(super) fn is_empty(&self) -> bool {
        matches!(self, RequestFraming::Length(0))
    }
}

/// A request whose head is in order, with what has arrived of its body.
pub(super) struct PartialRequest {
    /// Length of the head in the buffer.
    pub(super) head_bytes: usize,
    pub(super) framing: RequestFraming,
    pub(super) body: Vec<u8>,
    pub(super) body_memory: Option<BodyReservation>,
    /// The client waits for an interim response before it sends the body (RFC 9110 section 10.1.1).
    pub(super) expects_continue: bool,
    pub(super) closes_connection: bool,
    pub(super) is_http_1_0: bool,
    pub(super) target: RequestTarget,
}

impl PartialRequest {
    /// The request, now that its body is complete. Its client's patience counts from `received_at`, when the last of it
    /// arrived.
    pub(super) fn into_received(self, received_at: Instant) -> ReceivedRequest {
        let mut target = self.target;
        if let RequestTarget::Server(request) = &mut target {
            request.gone_at = received_at + request.patience;
            let forwarded = &mut request.forwarded;
            if !request.is_safe {
                // Servers get a length, whatever the client's framing.
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
