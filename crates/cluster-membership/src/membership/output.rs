//! Outputs of the state machine, which its driver executes.

use std::net::SocketAddr;

/// An effect for the driver to execute.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The sealed datagram.
        bytes: Vec<u8>,
    },
    /// Usage reported by other gateways since the last tick.
    UsageReported {
        /// Numbers of the gateways from which, since the last tick, a datagram arrived that completes this member's
        /// knowledge of their own usage.
        complete_gateways: Vec<u32>,
        /// Newly reported usage, as gateway number, customer and units.
        uses: Vec<(u32, u32, f64)>,
        /// Usage admitted before its gateway's process instance became known to this member, as customer and units.
        earlier_uses: Vec<(u32, f64)>,
    },
    /// All gateway numbers that no known member has, other than members that have left. No requests are admitted
    /// under them.
    GatewaysAbsent(Vec<u32>),
    /// A message from another member, which passed it to [`Membership::send_message`](super::Membership::send_message).
    MessageReceived {
        /// Name of the sender.
        from: String,
        /// Contents of the message.
        bytes: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
}
