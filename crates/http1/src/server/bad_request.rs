//! Requests that are rejected before the engine sees them.

use std::time::Duration;

/// A long body for which there is no memory may be sent again after this.
pub(super) const BODY_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request is rejected; displays as the body of the error response.
#[derive(Debug, thiserror::Error)]
pub(super) enum BadRequest {
    /// The head is not one of HTTP/1, or the body is not framed as declared.
    #[error("the request cannot be read")]
    Malformed,
    /// The head exceeds [`MAX_HEAD_BYTES`](crate::limits::MAX_HEAD_BYTES).
    #[error("the head is too long")]
    HeadTooLong,
    /// The path names no class of requests.
    #[error("no such class")]
    UnknownClass,
    /// The class has another method.
    #[error("not the class's method")]
    WrongMethod,
    /// A header is missing, repeated or malformed.
    #[error("{name} is missing or makes no sense")]
    InvalidHeader {
        /// Name of the header.
        name: &'static str,
    },
    /// The body exceeds [`MAX_LONG_BODY_BYTES`](crate::limits::MAX_LONG_BODY_BYTES).
    #[error("the body is too long")]
    BodyTooLong,
    /// Long bodies have taken all memory that they share.
    #[error("no room for long requests now")]
    NoBodyMemory,
    /// The request was not complete in time.
    #[error("the request came too slowly")]
    TooSlow,
    /// The process ends before the request could be answered.
    #[error("this gateway ends")]
    ShuttingDown,
    /// A request with the same identifier is in flight.
    #[error("a request with this id is open")]
    Duplicate,
}

impl BadRequest {
    /// The error for a header that is missing, repeated or malformed.
    pub(super) fn header(name: &'static str) -> Self {
        BadRequest::InvalidHeader { name }
    }

    /// Status code and reason phrase.
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

    /// Header lines of the error response.
    pub(super) fn headers(&self) -> String {
        match self {
            BadRequest::NoBodyMemory => {
                format!("Retry-After: {}\r\n", BODY_MEMORY_RETRY_AFTER.as_secs())
            }
            _ => String::new(),
        }
    }
}
