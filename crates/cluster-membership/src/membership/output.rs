//! What the state machine asks its driver to do.

use std::net::SocketAddr;

/// An effect to be carried out by the driver.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Its receiver.
        to: SocketAddr,
        /// The sealed datagram.
        bytes: Vec<u8>,
    },
    /// Usage of other gateways became known.
    UsageReported {
        /// Numbers of the gateways that have reported all of their own usage since the last tick.
        heard: Vec<u32>,
        /// Gateway, customer, and units not known before.
        uses: Vec<(u32, u32, f64)>,
        /// Customer, and units admitted before their gateway was first heard of.
        past: Vec<(u32, f64)>,
    },
    /// All numbers that no gateway uses, so that nothing is admitted under them.
    GatewaysAbsent(Vec<u32>),
    /// A message came from a member, as it was passed to [`Membership::send_message`](super::Membership::send_message) there.
    MessageReceived {
        /// Name of the sender.
        from: String,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
}
