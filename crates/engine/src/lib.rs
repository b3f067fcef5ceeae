//! The event loop that connects traffic control with front ends, back ends, discovery and the shared counter.
//!
//! [`Engine`] owns the [`frosthatch_traffic_control::Gateway`], its clock, its timers and the table of pending
//! requests. It is independent of sockets and protocols: front ends submit an [`IncomingRequest`] with a payload that
//! is opaque to the engine, and back ends, discovery and the shared counter are connected through the traits and types
//! of [`ports`].

mod abandoned_requests;
mod attempt_permit;
mod clock;
mod counters;
mod engine;
mod forwarded_deadline;
pub mod ports;
mod request_table;
mod start_times;
mod timers;
mod violations;

pub use attempt_permit::{AttemptPermit, ClientPresence, WriteDenied};
pub use clock::Clock;
pub use counters::{ClassCounters, RequestCounters};
pub use engine::Engine;
pub use forwarded_deadline::ForwardedDeadline;
pub use ports::{
    Attempt, AttemptDeadlines, AttemptResult, BoxedFuture, CounterCall, DuplicateRequest, Endpoint,
    EndpointObserver, EndpointState, IncomingRequest, Payload, PluginRequest, PluginVerdict,
    PolicyLease, Protocol, RequestPlugins, Response, UsageReporter,
};
pub use violations::{Rule, Violations};
