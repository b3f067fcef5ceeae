//! The simulator's wire: its names are mapped to the decisions' terms here and nowhere else.

mod incoming;
mod outgoing;

pub use incoming::IncomingMessage;
pub use outgoing::OutgoingMessage;

use serde::{Deserialize, Serialize};

/// Messages that arrive at one moment.
#[derive(Deserialize)]
pub struct Batch {
    /// The simulator's clock.
    #[serde(rename = "timeUs")]
    pub time_us: u64,
    /// The batch's number, which its reply carries as well.
    #[serde(rename = "batch")]
    pub number: u64,
    /// The messages, in their order.
    #[serde(rename = "msgs")]
    pub messages: Vec<IncomingMessage>,
}

/// What follows from a batch.
#[derive(Serialize)]
pub struct Reply {
    /// The batch's number.
    pub batch: u64,
    /// The messages, in their order.
    #[serde(rename = "out")]
    pub messages: Vec<OutgoingMessage>,
}
