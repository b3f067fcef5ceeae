//! Reasons why requests are rejected: by the checks before the engine, or by the engine because a request with the same
//! identifier is in flight or was abandoned lately.

use std::time::Duration;

/// Time after which a request may be retried if there was no memory for its long body.
pub(super) const BODY_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason why a request is rejected. Its display form is the body of the error response.
#[derive(Debug, thiserror::Error)]
pub(super) enum BadRequest {
    /// The head is not valid HTTP/1, or the chunked body is malformed.
    #[error("the request cannot be read")]
    Malformed,
    /// The head exceeds [`MAX_HEAD_BYTES`](crate::limits::MAX_HEAD_BYTES).
    #[error("the head is too long")]
    HeadTooLong,
    /// The path does not name a request class, or contains characters other than printable ASCII.
    #[error("no such class")]
    UnknownClass,
    /// The method is not the one that the class requires.
    #[error("not the class's method")]
    WrongMethod,
    /// A header is missing, repeated, malformed or out of range.
    #[error("{name} is missing or makes no sense")]
    InvalidHeader {
        /// Name of the header.
        name: &'static str,
    },
    /// The body exceeds [`MAX_LONG_BODY_BYTES`](crate::limits::MAX_LONG_BODY_BYTES).
    #[error("the body is too long")]
    BodyTooLong,
    /// The shared memory budget of long bodies does not suffice.
    #[error("no room for long requests now")]
    NoBodyMemory,
    /// The request was not completely received in time.
    #[error("the request came too slowly")]
    TooSlow,
    /// The request is still incomplete at the request deadline of the shutdown.
    #[error("this gateway ends")]
    ShuttingDown,
    /// A request with the same identifier is in flight, or its client has left lately.
    #[error("a request with this id is open")]
    Duplicate,
}

impl BadRequest {
    /// Creates the error for a header that is missing, repeated, malformed or out of range.
    pub(super) fn header(name: &'static str) -> Self {
        BadRequest::InvalidHeader { name }
    }

    /// Returns the status code and the reason phrase.
    pub(super) fn status(&self) -> &'static str {
        match self {
            BadRequest::Malformed | BadRequest::InvalidHeader { .. } => "400 Bad Request",
            BadRequest::HeadTooLong => "431 Request Header Fields Too Large",
            BadRequest::UnknownClass => "404 Not Found",
            BadRequest::WrongMethod => "405 Method Not Allowed",
            BadRequest::BodyTooLong => "413 Content Too Large",
            BadRequest::NoBodyMemory | BadRequest::ShuttingDown => "503 Service Unavailable",
            BadRequest::TooSlow => "408 Request Timeout",
            BadRequest::Duplicate => "409 Conflict",
        }
    }

    /// Returns additional header lines of the error response, each with its line end.
    pub(super) fn headers(&self) -> String {
        match self {
            BadRequest::NoBodyMemory => {
                format!("Retry-After: {}\r\n", BODY_MEMORY_RETRY_AFTER.as_secs())
            }
            _ => String::new(),
        }
    }
}
