//! Errors in messages that a peer sends.

use std::io;

/// Reason why a peer's message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The size line of a chunk is malformed or too long, or its size is too large.
    #[error("invalid chunk size line")]
    ChunkSize,
    /// The data of a chunk is not followed by CRLF.
    #[error("no line end after chunk data")]
    ChunkEnd,
    /// A line of the trailer section is not a field, or is too long.
    #[error("invalid trailer section")]
    Trailer,
    /// Size lines, chunk ends and trailers exceed both `MAX_OVERHEAD_BYTES` and `MAX_OVERHEAD_RATIO` times the data.
    #[error("chunk overhead exceeds both 256 KiB and 4 times the data")]
    ChunkOverhead,
    /// The head is not a valid response head.
    #[error("invalid response head")]
    Head,
    /// `Content-Length` is repeated or not a number.
    #[error("Content-Length is repeated or not a number")]
    ContentLength,
    /// The headers do not define the end of the body unambiguously.
    #[error("ambiguous or unsupported body framing")]
    Framing,
    /// The body exceeds [`MAX_LONG_BODY_BYTES`](crate::limits::MAX_LONG_BODY_BYTES).
    #[error("body exceeds 32 MiB")]
    BodyTooLong,
    /// A body of declared length is followed by bytes that are not the start of a response.
    #[error("body is longer than its declared length")]
    BodyExceedsLength,
    /// Bytes arrived on the connection before the request was completely written.
    #[error("bytes received before the request was written")]
    Unsolicited,
    /// There are too many interim responses, or a complete head is longer than
    /// [`MAX_HEAD_BYTES`](crate::limits::MAX_HEAD_BYTES).
    #[error("more than 16 interim responses, or a response head over 16 KiB")]
    TooManyHeads,
    /// The head is incomplete after [`MAX_HEAD_BYTES`](crate::limits::MAX_HEAD_BYTES).
    #[error("incomplete response head exceeds 16 KiB")]
    HeadTooLong,
}

impl MessageError {
    /// Returns whether an I/O error was caused by [`MessageError::Unsolicited`].
    pub fn is_unsolicited(error: &io::Error) -> bool {
        let cause = error.get_ref().and_then(|cause| cause.downcast_ref());
        cause == Some(&MessageError::Unsolicited)
    }
}

impl From<MessageError> for io::Error {
    fn from(error: MessageError) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}
