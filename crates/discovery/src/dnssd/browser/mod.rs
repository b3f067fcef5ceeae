//! State machine that browses a service with unicast DNS-SD (RFC 6763). It does no I/O and reads no clock: the driver
//! passes in what arrived and the time, and carries out the outputs.
//!
//! One resolver leads and receives all queries; after two failed rounds in a row the next one in the operator's order
//! leads. A round browses the service: one PTR query for each of its names and one SOA query for the zone's serial.
//! Records that the additional sections leave out are queried one by one. The last known list stays in use for as long
//! as nothing better is known (RFC 8767).
//!
//! ```text
//!   scheduling ──query──> resolver ──reply──> answers ──records──> resolution ──> reporting ──> endpoint update
//!       ^                                       └─ PTR ─> rounds ──> instances ───────^
//!       └── rounds, refresh                               loss (what may be removed)
//! ```

mod answers;
mod cache;
mod detail_queue;
mod events;
mod instances;
mod log_limiter;
mod loss;
mod loss_state;
mod push_state;
mod push_updates;
mod query;
mod ranking;
mod reporting;
mod resolution;
mod rounds;
mod scheduling;
mod state;

pub use events::{Input, Output, Transport};
pub use state::Browser;
