//! Incremental decoder of chunked bodies (RFC 9112 section 7.1), without I/O.

use crate::error::MessageError;
use httparse::Status;

/// Maximum length of a size line, including chunk extensions.
const MAX_SIZE_LINE_BYTES: usize = 4 << 10;
/// Maximum length of a line of the trailer section.
const MAX_TRAILER_LINE_BYTES: usize = 16 << 10;
/// Maximum number of overhead bytes (size lines, chunk ends, trailers), unless [`MAX_OVERHEAD_RATIO`] allows more.
const MAX_OVERHEAD_BYTES: usize = 256 << 10;
/// Maximum ratio of overhead bytes to data bytes. Applies if it allows more than [`MAX_OVERHEAD_BYTES`].
const MAX_OVERHEAD_RATIO: usize = 4;

/// The element of the body that is decoded next.
#[derive(Debug, Default, PartialEq)]
enum State {
    #[default]
    Size,
    Data {
        remaining_bytes: usize,
    },
    DataEnd,
    Trailer,
    Done,
}

/// Decodes one chunked body.
#[derive(Debug, Default)]
pub struct ChunkedDecoder {
    state: State,
    overhead_bytes: usize,
    data_bytes: usize,
}

impl ChunkedDecoder {
    /// Removes encoded bytes from the start of `input` and appends the decoded data to `body`. Returns whether the body
    /// is complete. Incomplete size lines, chunk ends and trailer lines, and the bytes after the body, stay in `input`.
    ///
    /// # Errors
    /// Fails if the input is not a chunked body, or its overhead exceeds the limits.
    pub fn decode(
        &mut self,
        input: &mut Vec<u8>,
        body: &mut Vec<u8>,
    ) -> Result<bool, MessageError> {
        let mut decoded_input_bytes = 0;
        let is_complete = self.decode_available(input, &mut decoded_input_bytes, body);
        input.drain(..decoded_input_bytes);
        if self.overhead_bytes > MAX_OVERHEAD_BYTES.max(MAX_OVERHEAD_RATIO * self.data_bytes) {
            return Err(MessageError::ChunkOverhead);
        }
        is_complete
    }

    /// Decodes as much of `input` as possible and adds its length to `decoded_input_bytes`.
    fn decode_available(
        &mut self,
        input: &[u8],
        decoded_input_bytes: &mut usize,
        body: &mut Vec<u8>,
    ) -> Result<bool, MessageError> {
        loop {
            let rest = &input[*decoded_input_bytes..];
            let consumed_bytes = match self.state {
                State::Size => self.decode_size(rest)?,
                State::Data { remaining_bytes } => self.decode_data(rest, remaining_bytes, body),
                State::DataEnd => self.decode_data_end(rest)?,
                State::Trailer => self.decode_trailer_line(rest)?,
                State::Done => return Ok(true),
            };
            let Some(consumed_bytes) = consumed_bytes else {
                return Ok(false);
            };
            *decoded_input_bytes += consumed_bytes;
        }
    }

    /// Decodes a size line. Like the other `decode_*` methods, returns the number of bytes consumed, or `None` if more
    /// input is needed.
    fn decode_size(&mut self, rest: &[u8]) -> Result<Option<usize>, MessageError> {
        let parsed = httparse::parse_chunk_size(rest).map_err(|_| MessageError::ChunkSize)?;
        let Status::Complete((line_bytes, size)) = parsed else {
            if rest.len() > MAX_SIZE_LINE_BYTES {
                return Err(MessageError::ChunkSize);
            }
            return Ok(None);
        };
        self.overhead_bytes += line_bytes;
        let size = usize::try_from(size).map_err(|_| MessageError::ChunkSize)?;
        self.state = if size == 0 {
            State::Trailer
        } else {
            State::Data {
                remaining_bytes: size,
            }
        };
        Ok(Some(line_bytes))
    }

    fn decode_data(
        &mut self,
        rest: &[u8],
        remaining_bytes: usize,
        body: &mut Vec<u8>,
    ) -> Option<usize> {
        if rest.is_empty() {
            return None;
        }
        let taken_bytes = remaining_bytes.min(rest.len());
        body.extend_from_slice(&rest[..taken_bytes]);
        self.data_bytes += taken_bytes;
        self.state = if taken_bytes == remaining_bytes {
            State::DataEnd
        } else {
            State::Data {
                remaining_bytes: remaining_bytes - taken_bytes,
            }
        };
        Some(taken_bytes)
    }

    fn decode_data_end(&mut self, rest: &[u8]) -> Result<Option<usize>, MessageError> {
        if rest.len() < 2 {
            return Ok(None);
        }
        if &rest[..2] != b"\r\n" {
            return Err(MessageError::ChunkEnd);
        }
        self.overhead_bytes += 2;
        self.state = State::Size;
        Ok(Some(2))
    }

    /// Checks and discards one field line of the trailer section, or the empty line that ends the section.
    fn decode_trailer_line(&mut self, rest: &[u8]) -> Result<Option<usize>, MessageError> {
        let Some(line_end) = rest.windows(2).position(|pair| pair == b"\r\n") else {
            if rest.len() > MAX_TRAILER_LINE_BYTES {
                return Err(MessageError::Trailer);
            }
            return Ok(None);
        };
        let line = &rest[..line_end];
        let is_field = line
            .iter()
            .position(|&byte| byte == b':')
            .is_some_and(|colon| colon > 0);
        if !(line.is_empty() || is_field) || line.contains(&b'\n') {
            return Err(MessageError::Trailer);
        }
        self.overhead_bytes += line_end + 2;
        if line.is_empty() {
            self.state = State::Done;
        }
        Ok(Some(line_end + 2))
    }
}

#[cfg(test)]
mod tests;
