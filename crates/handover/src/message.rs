//! The messages between the old and the new process, and their frames on the connection.
//!
//! A frame consists of the body's length and CRC-32, four big-endian bytes each, and the body in JSON. The names in
//! the JSON are part of the protocol between versions of this program.

use crate::rejection::RejectionReason;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The protocol version of this process. A different major version is incompatible. A new minor version adds fields and
/// messages, which processes of older minor versions skip.
pub const VERSION: Version = Version { major: 1, minor: 0 };
/// Maximum length of a message body.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Length of the frame header: the body's length and checksum.
pub const HEADER_BYTES: usize = 8;

/// A version of the handover protocol.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// The major version; processes with different major versions are incompatible.
    pub major: u16,
    /// The minor version; processes with different minor versions are compatible.
    pub minor: u16,
}

/// An operator's out-of-service mark: the server was taken out of service and possibly put back later.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// The id of the server.
    pub server: String,
    /// The time at which the server was taken out of service, in milliseconds since the Unix epoch.
    pub out_ms: u64,
    /// The time at which the server was put back into service, in milliseconds since the Unix epoch; `None` while it
    /// is out of service.
    pub back_ms: Option<u64>,
}

/// The state that the old process transfers to the new one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TransferredState {
    /// The operators' out-of-service marks on all servers.
    pub marks: Vec<Mark>,
}

/// A message between the old and the new process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// New to old: requests the takeover.
    Hello {
        /// The version of the new process.
        version: Version,
        /// The process id of the new process.
        pid: u32,
    },
    /// Old to new: offers the takeover. The message carries the descriptors of the listeners.
    Welcome {
        /// The version of the old process.
        version: Version,
        /// The names of the listeners, in the order of their descriptors.
        listeners: Vec<String>,
        /// The state to adopt.
        state: TransferredState,
    },
    /// Old to new: rejects or cancels the takeover.
    #[serde(rename = "Refused")]
    Rejected {
        /// Why the new process may not take over.
        #[serde(rename = "why")]
        reason: RejectionReason,
    },
    /// New to old: the new process is ready to accept connections.
    Ready,
    /// Old to new: the old process has stopped accepting connections.
    #[serde(rename = "Yours")]
    StoppedAccepting,
    /// In both directions: an operator marked a server in the sending process.
    Marked(Mark),
    /// A message of a later minor version; it is ignored.
    #[serde(other)]
    Unknown,
}

/// Why received bytes are not a valid frame.
#[derive(Debug, Error, PartialEq)]
pub enum FrameError {
    /// The header states a body length above [`MAX_MESSAGE_BYTES`].
    #[error("message body of {bytes} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes")]
    TooLong {
        /// The length stated in the header.
        bytes: usize,
    },
    /// The CRC-32 of the body does not match the header.
    #[error("message checksum mismatch")]
    Checksum,
    /// The body cannot be decoded; holds the reason.
    #[error("invalid message body: {0}")]
    Malformed(String),
}

impl Message {
    /// Encodes the message as a frame.
    pub fn encode_frame(&self) -> Vec<u8> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
        frame.extend((body.len() as u32).to_be_bytes());
        frame.extend(crc32fast::hash(&body).to_be_bytes());
        frame.extend(body);
        frame
    }
}

/// Removes the first frame from the received bytes and decodes its message. Returns `None` while the frame is
/// incomplete.
///
/// # Errors
/// Returns an error if the bytes are not a valid frame; the connection must not be used any more.
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

/// Returns whether the body is an unknown message with fields; `#[serde(other)]` covers only those without fields.
fn is_message_of_later_version(body: &[u8]) -> bool {
    let known_names = ["Hello", "Welcome", "Refused", "Marked"];
    match serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(body) {
        Ok(map) => map.len() == 1 && !map.keys().any(|name| known_names.contains(&name.as_str())),
        Err(_) => false,
    }
}

#[cfg(test)]
mod tests;
