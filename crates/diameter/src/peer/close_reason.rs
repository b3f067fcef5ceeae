//! Why a peer's connection is closed.

/// Why the gateway closes a peer's connection; the text is for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseReason {
    /// A message that cannot be decoded came before capabilities were exchanged, or after a disconnect request.
    #[error("a message that cannot be read before capabilities")]
    UnreadableMessage,
    /// The gateway ends a connection that is not open.
    #[error("it is left")]
    Abandoned,
    /// The peer did not send its capabilities in time.
    #[error("no capabilities in time")]
    CapabilitiesTimeout,
    /// The peer did not answer the gateway's disconnect request in time.
    #[error("no answer to the goodbye")]
    DisconnectAnswerTimeout,
    /// The peer did not close the connection in time after its disconnect request.
    #[error("it did not close after its goodbye")]
    PeerCloseTimeout,
    /// The peer did not answer watchdog requests.
    #[error("its watchdog has fallen silent")]
    WatchdogTimeout,
    /// The first message was not a capabilities exchange.
    #[error("something else than capabilities came first")]
    CapabilitiesExpected,
    /// The peer answered the gateway's disconnect request.
    #[error("goodbye")]
    Disconnected,
    /// The disconnect requests of both sides crossed.
    #[error("goodbye from both sides")]
    DisconnectedByBoth,
    /// The peer's capabilities are incomplete or invalid.
    #[error("its capabilities are not in order")]
    InvalidCapabilities,
    /// The peer does not support credit control.
    #[error("it has no application in common")]
    NoCommonApplication,
    /// The peer answered the capabilities exchange with an error.
    #[error("it refuses, result {}", .result_code)]
    CapabilitiesRejected {
        /// The answer's Result-Code, 0 if it had none.
        result_code: u32,
    },
}
