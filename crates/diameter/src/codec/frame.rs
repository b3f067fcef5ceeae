//! Finds message boundaries in the byte stream of a connection.

use super::big_endian::u24_at;
use super::fault::Fault;
use super::header::HEADER_BYTES;
use crate::dictionary::result;

/// Maximum length of an accepted message. A longer message ends the connection, because up to 16 MB would have to be
/// read to find its end.
pub const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// Returns the length of the first message in the buffer, or `None` while the message is incomplete.
///
/// # Errors
/// Returns a fault if the protocol version is not 1 or the length is invalid. The rest of the stream cannot be split into
/// messages then.
pub fn first_message_length(buffer: &[u8]) -> Result<Option<usize>, Fault> {
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
