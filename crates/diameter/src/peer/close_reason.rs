//! The reasons for which the gateway closes a peer's connection.

/// The reason for which the gateway closes a peer's connection, with the text that the log shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseReason {
    /// A message that cannot be decoded arrived before capabilities were exchanged, or after a disconnect request.
    #[error("received a message that cannot be decoded while the connection was not open")]
    UndecodableMessage,
    /// The gateway ends a connection that is not open.
    #[error("gateway ended a connection that was not open")]
    Abandoned,
    /// The peer did not send its capabilities in time.
    #[error("peer did not send its capabilities within 5 s")]
    CapabilitiesTimeout,
    /// The peer did not answer the gateway's disconnect request in time.
    #[error("peer did not answer the disconnect request within 5 s")]
    DisconnectAnswerTimeout,
    /// The peer did not close the connection in time after its disconnect request.
    #[error("peer did not close the connection within 30 s after its disconnect request")]
    PeerCloseTimeout,
    /// The peer did not answer watchdog requests.
    #[error("peer did not answer watchdog requests")]
    WatchdogTimeout,
    /// The first message was not a capabilities exchange.
    #[error("first message was not a capabilities exchange")]
    CapabilitiesExpected,
    /// The peer answered the gateway's disconnect request.
    #[error("goodbye")]
    Disconnected,
    /// The disconnect requests of both sides crossed.
    #[error("gateway and peer sent disconnect requests at the same time")]
    DisconnectedByBoth,
    /// The peer's capabilities are incomplete or invalid.
    #[error("peer's capabilities lack a required AVP or contain an invalid one")]
    InvalidCapabilities,
    /// The peer does not support credit control.
    #[error("peer does not support credit control")]
    NoCommonApplication,
    /// The peer answered the capabilities exchange with an error.
    #[error("peer rejected the capabilities, result code {}", .result_code)]
    CapabilitiesRejected {
        /// The answer's Result-Code, 0 if it had none.
        result_code: u32,
    },
}
