//! The reasons for which a connection ends.

use crate::peer::CloseReason;

/// The reason for which a connection ended, with the text that the log shows.
#[derive(Debug, thiserror::Error)]
pub enum LinkEndReason {
    /// The state machine closed the connection.
    #[error(transparent)]
    Closed(#[from] CloseReason),
    /// The write queue has no room for a message of the state machine.
    #[error("write queue is full because the peer does not read fast enough")]
    PeerNotReading,
    /// The byte stream cannot be split into messages.
    #[error("invalid message version or length, result code {code}")]
    InvalidFrame {
        /// Result-Code of the fault.
        code: u32,
    },
    /// The peer closed the transport, or reading from it failed.
    #[error("connection closed by the peer or failed while reading")]
    ConnectionEnded,
    /// The gateway ended the connection without waiting for the peer.
    #[error("gateway closed the connection because an answer could not be queued or the connection was not open")]
    Abandoned,
    /// Writing to the transport failed.
    #[error("write to the connection failed")]
    WriteFailed,
    /// A request could not be written completely while it was of use, because the server does not read fast enough.
    #[error("server did not read a whole request in time")]
    AttemptLapsed,
    /// The TLS handshake failed.
    #[error(transparent)]
    TlsFailed(#[from] std::io::Error),
    /// The TLS handshake did not complete within `TLS_HANDSHAKE_TIMEOUT`.
    #[error("TLS handshake timed out")]
    TlsTimeout,
}
