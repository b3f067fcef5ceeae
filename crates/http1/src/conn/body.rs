//! Incremental decoding of response bodies.

use crate::chunked::ChunkedDecoder;
use crate::error::MessageError;
use crate::limits::MAX_LONG_BODY_BYTES;
use std::io;

/// Framing of a response's body.
pub(super) enum ResponseFraming {
    /// The body has this length in bytes.
    Length(usize),
    /// The body ends after its last chunk and the trailer section.
    Chunked(ChunkedDecoder),
    /// The body ends when the server closes the connection (RFC 9112 section 6.3).
    UntilClose,
}

/// Part of a response's body that has not been returned to the caller yet.
pub struct RemainingBody {
    framing: ResponseFraming,
    /// Bytes read from the connection that are not decoded yet.
    pub(super) buffer: Vec<u8>,
    decoded_bytes: usize,
}

impl RemainingBody {
    /// Creates a body of which nothing has been decoded. `buffer` contains the bytes read after the head.
    pub(super) fn new(framing: ResponseFraming, buffer: Vec<u8>) -> Self {
        RemainingBody {
            framing,
            buffer,
            decoded_bytes: 0,
        }
    }

    /// Returns the length of the whole body in bytes, if the response's head declares it.
    pub fn declared_length(&self) -> Option<usize> {
        match self.framing {
            ResponseFraming::Length(length) => Some(length),
            ResponseFraming::Chunked(_) | ResponseFraming::UntilClose => None,
        }
    }

    /// Returns whether no bytes were read behind the end of the body.
    pub(crate) fn has_no_excess_bytes(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Decodes the buffered bytes and appends them to `body`. `at_end` states that the connection has ended. Returns
    /// whether the body is complete.
    pub(super) fn decode_into(&mut self, body: &mut Vec<u8>, at_end: bool) -> io::Result<bool> {
        let bytes_before = body.len();
        let is_complete = match &mut self.framing {
            ResponseFraming::Length(length) => {
                let missing_bytes = *length - self.decoded_bytes;
                take_up_to(&mut self.buffer, missing_bytes, body)?
            }
            ResponseFraming::Chunked(decoder) => decoder.decode(&mut self.buffer, body)?,
            ResponseFraming::UntilClose => {
                body.append(&mut self.buffer);
                at_end
            }
        };
        self.decoded_bytes += body.len() - bytes_before;
        if self.decoded_bytes > MAX_LONG_BODY_BYTES {
            return Err(MessageError::BodyTooLong.into());
        }
        if at_end && !is_complete {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(is_complete)
    }
}

/// Moves up to `missing_bytes` from the start of `buffer` to the end of `body`. Returns whether `buffer` held that
/// many.
fn take_up_to(
    buffer: &mut Vec<u8>,
    missing_bytes: usize,
    body: &mut Vec<u8>,
) -> Result<bool, MessageError> {
    if buffer.len() < missing_bytes {
        body.append(buffer);
        return Ok(false);
    }
    let following = buffer.split_off(missing_bytes);
    body.append(buffer);
    *buffer = following;
    // If the server declared too short a length, the bytes after it are the rest of the body. They are accepted only if
    // they can be the start of another response.
    if !could_start_response(buffer) {
        return Err(MessageError::BodyExceedsLength);
    }
    Ok(true)
}

/// Returns whether `bytes` is empty or the start of a response.
fn could_start_response(bytes: &[u8]) -> bool {
    let start = b"HTTP/1.";
    start.starts_with(bytes) || bytes.starts_with(start)
}
