//! The simulator's messages. Their names are mapped to the terms of `frosthatch_traffic_control` in this module only.

mod incoming;
mod outgoing;

pub use incoming::IncomingMessage;
pub use outgoing::OutgoingMessage;

use serde::{Deserialize, Serialize};

/// Messages that arrive at the same time.
#[derive(Deserialize)]
pub struct Batch {
    /// Time of the simulator's clock, in microseconds.
    #[serde(rename = "timeUs")]
    pub time_us: u64,
    /// Number of the batch, repeated in its reply.
    #[serde(rename = "batch")]
    pub number: u64,
    /// The messages, in the order in which they are handled.
    #[serde(rename = "msgs")]
    pub messages: Vec<IncomingMessage>,
}

/// The reply to a batch.
#[derive(Serialize)]
pub struct Reply {
    /// Number of the batch.
    pub batch: u64,
    /// The messages that the gateways sent in response, in order.
    #[serde(rename = "out")]
    pub messages: Vec<OutgoingMessage>,
}
