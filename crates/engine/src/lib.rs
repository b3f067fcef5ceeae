//! The one loop round the decisions. It owns the [`frosthatch_traffic_control::Gateway`], its clock and timers and the table of requests;
//! it knows no socket and no protocol. Fronts hand it [`Arrival`]s whose payload it never looks into, backends and
//! membership sources and counters are what the wiring hands it ([`ports`]): adding one touches nothing here.
#![expect(
    clippy::match_bool,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    missing_docs
)]

mod clock;
mod counters;
mod engine;
pub mod ports;
mod rules;
mod starts;
mod timers;

pub use clock::Clock;
pub use counters::{ClassCounters, RequestCounters};
pub use engine::Engine;
pub use ports::*;
pub use rules::{AttemptPermit, ClientPresence, ForwardedDeadline, Rule, Violations, WriteDenied};
