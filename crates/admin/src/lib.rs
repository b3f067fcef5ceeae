//! The admin API: HTTP on an address of its own, on which operators take servers out, drain the gateway, propose a policy and
//! read metrics. [`AdminCall`] parses what may be called and knows no socket; [`listen`] is the driver, and [`AdminBackend`]
//! carries the calls out. The names of paths and metrics are the platform's; they are mapped here and nowhere else.

mod call;
mod client;
mod driver;
mod metrics;
mod responses;

pub use call::{AdminCall, CallError};
pub use client::{call, AdminClientError, AdminResponse};
pub use driver::{listen, AdminBackend, MAX_CONNECTIONS};
pub use metrics::{ClassMetrics, Metrics};
