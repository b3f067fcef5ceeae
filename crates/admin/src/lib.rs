//! The operators' door: an address of its own, on which staff take servers out, empty the gateway and read its figures.
//! [`Call`] is what they may ask and knows no socket; [`listen`] is the thin part that does.
#![expect(clippy::match_bool, clippy::missing_errors_doc, missing_docs)]

mod call;
mod client;
mod driver;
mod metrics;

pub use call::{AdminCall, CallError};
pub use client::ask;
pub use driver::{listen, AdminBackend, PLACES};
pub use metrics::{ClassMetrics, Metrics};
