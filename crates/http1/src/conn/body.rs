//! The body of a response, decoded as it arrives.

use crate::chunked::ChunkedDecoder;
use crate::error::MessageError;
use crate::limits::MAX_LONG_BODY_BYTES;
use std::io;

/// How the end of a response's body is found.
pub(super) enum ResponseFraming {
    /// After so many bytes.
    Length(usize),
    /// After the last chunk.
    Chunked(ChunkedDecoder),
    /// At the end of the connection (RFC 9112 section 6.3).
    UntilClose,
}

/// The part of a response's body that the caller has not received yet.
pub struct RemainingBody {
    framing: ResponseFraming,
    /// Read from the connection, not yet decoded.
    pub(super) buffer: Vec<u8>,
    decoded_bytes: usize,
}

impl RemainingBody {
    /// A body of which nothing has been decoded; `buffer` holds what was read behind the head.
    pub(super) fn new(framing: ResponseFraming, buffer: Vec<u8>) -> Self {
        RemainingBody {
            framing,
            buffer,
            decoded_bytes: 0,
        }
    }

    /// Length of the whole body in bytes, where the head declares it.
    pub fn declared_length(&self) -> Option<usize> {
        match self.framing {
            ResponseFraming::Length(length) => Some(length),
            ResponseFraming::Chunked(_) | ResponseFraming::UntilClose => None,
        }
    }

    /// Moves what has arrived of the body behind `body`. `at_end`: the connection has ended. Returns whether the body is
    /// complete.
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

/// Moves at most `missing_bytes` from the start of `buffer` behind `body`; returns whether that many were there.
fn take_up_to(
    buffer: &mut Vec<u8>,
    missing_bytes: usize,
    body: &mut Vec<u8>,
) -> Result<bool, MessageError> {
    if buffer.len() < missing_bytes {
        body.append(buffer);
        return Ok(false);
    }
    let behind = buffer.split_off(missing_bytes);
    body.append(buffer);
    *buffer = behind;
    // Guards against a declared length that is too short: the rest of the body would stand behind it. Only the beginning
    // of another response is known to be no part of this one.
    if !may_begin_response(buffer) {
        return Err(MessageError::BodyExceedsLength);
    }
    Ok(true)
}

/// Whether the bytes are none, or the beginning of a response.
fn may_begin_response(bytes: &[u8]) -> bool {
    let start = b"HTTP/1.";
    start.starts_with(bytes) || bytes.starts_with(start)
}
