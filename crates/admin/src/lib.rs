//! The admin API: an HTTP interface on an address of its own, with which operators take servers out of service, drain
//! the gateway, propose a policy and read metrics.
//!
//! [`AdminCall`] parses a call without I/O, [`listen`] serves the connections, and [`AdminBackend`] carries out the
//! calls. The platform defines the names of paths and metrics; only this crate maps them to the gateway's own names.

mod call;
mod client;
mod driver;
mod metrics;
mod responses;

pub use call::{AdminCall, CallError};
pub use client::{call, AdminClientError, AdminResponse};
pub use driver::{listen, AdminBackend, MAX_CONNECTIONS};
pub use metrics::{ClassMetrics, Metrics};
