//! The messages between the two processes, and their frames on the connection.
//!
//! A frame is the length and the CRC-32 of the body, four bytes each and big-endian, and the body in JSON. The names in
//! the JSON are part of the protocol between versions of this program.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of this process. Another major version is incompatible; a minor version adds fields and messages that older
/// ones skip.
pub const VERSION: Version = Version { major: 1, minor: 0 };
/// Length of a message's body, at most.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Length and checksum ahead of each message's body.
pub const HEADER_BYTES: usize = 8;

/// A version of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Incompatible if it differs.
    pub major: u16,
    /// Compatible if it differs.
    pub minor: u16,
}

/// An operator's mark that takes a server out of service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// The server's name.
    pub server: String,
    /// When it was taken out of service, Unix time in milliseconds.
    pub out_ms: u64,
    /// When it was put back into service, Unix time in milliseconds; `None` while it is out.
    pub back_ms: Option<u64>,
}

/// The state that the new process gets from the old one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// All marks of operators.
    pub marks: Vec<Mark>,
}

/// A message between the old and the new process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// New to old: it wants to take over.
    Hello {
        /// The version of the new process.
        version: Version,
        /// Its process id.
        pid: u32,
    },
    /// Old to new: the listeners' descriptors come with this message.
    Welcome {
        /// The version of the old process.
        version: Version,
        /// The names of the listeners, in the order of their descriptors.
        listeners: Vec<String>,
        /// The state to adopt.
        state: State,
    },
    /// Old to new: the handover does not take place.
    #[serde(rename = "Refused")]
    Rejected {
        /// For the log of the new process.
        #[serde(rename = "why")]
        reason: String,
    },
    /// New to old: it can accept connections.
    Ready,
    /// Old to new: it has stopped accepting connections.
    #[serde(rename = "Yours")]
    StoppedAccepting,
    /// Either way: an operator marked a server.
    Marked(Mark),
    /// A message of a later minor version.
    #[serde(other)]
    Unknown,
}

/// Why received bytes are not a message.
#[derive(Debug, Error, PartialEq)]
pub enum FrameError {
    /// The header announces a longer body than is permitted.
    #[error("a message of {bytes} bytes, of {MAX_MESSAGE_BYTES} at most")]
    TooLong {
        /// The announced length.
        bytes: usize,
    },
    /// The body was corrupted.
    #[error("a message whose checksum is wrong")]
    Checksum,
    /// The body is not a known message, for this reason.
    #[error("a message that cannot be read: {0}")]
    Malformed(String),
}

impl Message {
    /// Encodes the message with its header.
    pub fn encode_frame(&self) -> Vec<u8> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
        frame.extend((body.len() as u32).to_be_bytes());
        frame.extend(crc32fast::hash(&body).to_be_bytes());
        frame.extend(body);
        frame
    }
}

/// Removes the first message from the received bytes; `None` while it is incomplete.
///
/// # Errors
/// The bytes are not a message; the connection cannot be used any more.
pub fn take_message(buffer: &mut Vec<u8>) -> Result<Option<Message>, FrameError> {
    let (Some(length), Some(checksum)) = (u32_at(buffer, 0), u32_at(buffer, 4)) else {
        return Ok(None);
    };
    let length = length as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(FrameError::TooLong { bytes: length });
    }
    let Some(body) = buffer.get(HEADER_BYTES..HEADER_BYTES + length) else {
        return Ok(None);
    };
    if crc32fast::hash(body) != checksum {
        return Err(FrameError::Checksum);
    }
    let message = decode_body(body)?;
    buffer.drain(..HEADER_BYTES + length);
    Ok(Some(message))
}

fn u32_at(buffer: &[u8], offset: usize) -> Option<u32> {
    let bytes = buffer.get(offset..offset + 4)?;
    bytes.try_into().ok().map(u32::from_be_bytes)
}

fn decode_body(body: &[u8]) -> Result<Message, FrameError> {
    serde_json::from_slice(body).or_else(|error| {
        if is_message_of_later_version(body) {
            Ok(Message::Unknown)
        } else {
            Err(FrameError::Malformed(error.to_string()))
        }
    })
}

/// `#[serde(other)]` covers only unknown messages without fields; this covers those with fields.
fn is_message_of_later_version(body: &[u8]) -> bool {
    let known_names = ["Hello", "Welcome", "Refused", "Marked"];
    match serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(body) {
        Ok(map) => map.len() == 1 && !map.keys().any(|name| known_names.contains(&name.as_str())),
        Err(_) => false,
    }
}

#[cfg(test)]
mod tests;
