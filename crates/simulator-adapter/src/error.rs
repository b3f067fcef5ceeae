//! The errors that end the adapter.

use frosthatch_traffic_control::SettingsError;
use std::io;

/// An error that ends the adapter.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A line could not be read from standard input.
    #[error("line {line}: cannot be read: {source}")]
    Read {
        /// The line's number, from 1.
        line: usize,
        /// The error of the read.
        source: io::Error,
    },
    /// A line is not a batch in valid JSON.
    #[error("line {line}: malformed batch: {source}")]
    Malformed {
        /// The line's number, from 1.
        line: usize,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// A batch has an invalid message.
    #[error("line {line}: {source}")]
    Message {
        /// The line's number, from 1.
        line: usize,
        /// The error in the message.
        source: MessageError,
    },
    /// A reply could not be encoded or written to standard output.
    #[error("cannot write the reply: {0}")]
    Write(#[from] io::Error),
}

/// An error in a message.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The settings of a starting gateway are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The message is for an instance that was not started or was stopped.
    #[error("message for instance {0}, which is not running")]
    NotRunning(u32),
    /// A request ID is not 16 lower-case hex digits.
    #[error("request ID {0:?} is not 16 lower-case hex digits")]
    RequestId(String),
    /// The content of a peer's message is not pairs of hex digits.
    #[error("peer message content {0:?} is not pairs of hex digits")]
    PeerContent(String),
}
