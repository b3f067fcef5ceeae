//! State machine that browses a service with unicast DNS-SD (RFC 6763). It performs no I/O and reads no clock: the
//! driver passes in events and the time, and carries out the outputs.
//!
//! One resolver, the leading one, receives all queries; after two consecutive failed rounds the next resolver in the
//! operator's order takes the lead. A round browses the service: it sends one PTR query for each of the service's names
//! and one SOA query for the zone's serial. Records that the additional sections leave out are queried one by one. The
//! last known list stays in use until a newer one is accepted (RFC 8767).
//!
//! ```text
//!   scheduling ──query──> resolver ──reply──> answers ──records──> resolution ──> reporting ──> endpoint update
//!       ^                                       └─ PTR ─> rounds ──> instances ───────^
//!       └── rounds, refresh                               loss (removals)
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
