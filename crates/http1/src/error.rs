//! What can be wrong with a message that a peer sends.

use std::io;

/// Why a message of a peer cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The size line of a chunk is not a size, too large or too long.
    #[error("a chunk's size")]
    ChunkSize,
    /// The data of a chunk is not followed by a line end.
    #[error("a chunk's end")]
    ChunkEnd,
    /// The trailer section is not a list of fields, or is too long.
    #[error("its trailer")]
    Trailer,
    /// Size lines and trailers take far more bytes than the data in the chunks.
    #[error("too much around its chunks")]
    ChunkOverhead,
    /// The head is not that of a response.
    #[error("its head")]
    Head,
    /// `Content-Length` is repeated or not a number.
    #[error("its length")]
    ContentLength,
    /// The headers do not tell beyond doubt where the body ends.
    #[error("its framing")]
    Framing,
    /// The body exceeds [`MAX_LONG_BODY_BYTES`](crate::limits::MAX_LONG_BODY_BYTES).
    #[error("too long")]
    BodyTooLong,
    /// Bytes that begin no response follow a body of declared length.
    #[error("longer than it says")]
    BodyExceedsLength,
    /// Bytes arrived on the connection before the request was written.
    #[error("ahead of its request")]
    Unsolicited,
    /// Too many interim responses, or one with too long a head.
    #[error("no end of heads")]
    TooManyHeads,
    /// The head does not end within [`MAX_HEAD_BYTES`](crate::limits::MAX_HEAD_BYTES).
    #[error("a head without end")]
    HeadTooLong,
}

impl From<MessageError> for io::Error {
    fn from(error: MessageError) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}
