//! Splits the byte stream of a connection into messages.

use super::big_endian::u24_at;
use super::fault::Fault;
use super::header::HEADER_BYTES;
use crate::dictionary::result;

/// Longest message that is accepted. A longer one ends the connection, because to find its end up to 16 MB would have to
/// be read.
pub const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// The length of the first message in the buffer; `None` while it is incomplete.
///
/// # Errors
/// Another version, or an impossible length: the stream cannot be read any further.
pub fn frame(buffer: &[u8]) -> Result<Option<usize>, Fault> {
    if buffer.first().is_some_and(|&version| version != 1) {
        return Err(Fault::new(result::UNSUPPORTED_VERSION));
    }
    if buffer.len() < 4 {
        return Ok(None);
    }
    let length = u24_at(buffer, 1) as usize;
    if !(HEADER_BYTES..=MAX_MESSAGE_BYTES).contains(&length) || !length.is_multiple_of(4) {
        return Err(Fault::new(result::INVALID_MESSAGE_LENGTH));
    }
    Ok((buffer.len() >= length).then_some(length))
}
