//! What ends the adapter.

use frosthatch_traffic_control::SettingsError;
use std::io;

/// Why the adapter cannot go on.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A line could not be read.
    #[error("line {line}: cannot be read: {source}")]
    Read {
        /// The line's number, from 1.
        line: usize,
        /// The failure.
        source: io::Error,
    },
    /// A line is no batch.
    #[error("line {line}: malformed: {source}")]
    Malformed {
        /// The line's number, from 1.
        line: usize,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A message of a batch makes no sense.
    #[error("line {line}: {source}")]
    Message {
        /// The line's number, from 1.
        line: usize,
        /// What is wrong with the message.
        source: MessageError,
    },
    /// A reply could not be written.
    #[error("cannot write the reply: {0}")]
    Write(#[from] io::Error),
}

/// What is wrong with a message.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The settings of a gateway cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An event for a gateway that was not started.
    #[error("event for instance {0}, which is not started")]
    NotStarted(u32),
    /// A request's id in another form.
    #[error("request id {0:?} is not 16 lower-case hex digits")]
    RequestId(String),
    /// A peer's message in another form.
    #[error("message content {0:?} is not hex bytes")]
    PeerContent(String),
}
