//! Why a connection ended.

use crate::peer::CloseReason;

/// Why a connection ended; the text is for the log.
#[derive(Debug, thiserror::Error)]
pub enum LinkEnd {
    /// The state machine closed it.
    #[error(transparent)]
    Closed(#[from] CloseReason),
    /// Too many messages wait to be written.
    #[error("it does not read")]
    PeerNotReading,
    /// The stream cannot be split into messages.
    #[error("its stream cannot be followed, {code}")]
    InvalidFrame {
        /// Result code of the fault.
        code: u32,
    },
    /// The peer closed the transport, or reading from it failed.
    #[error("the connection ended")]
    ConnectionEnded,
    /// The gateway abandoned it.
    #[error("it is left")]
    Abandoned,
    /// Writing to the transport failed.
    #[error("it cannot be written to")]
    WriteFailed,
    /// The TLS handshake failed.
    #[error(transparent)]
    TlsFailed(#[from] std::io::Error),
    /// The TLS handshake took too long.
    #[error("no TLS in time")]
    TlsTimeout,
}
