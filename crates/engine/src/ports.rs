//! The traits and types through which the engine is connected to front ends, back ends, discovery, the shared counter,
//! other gateways and plugins.

mod attempt;
mod endpoint;
mod peers;
mod plugin;
mod request;

pub use attempt::{Attempt, AttemptDeadlines, AttemptResult, BoxedFuture, Payload};
pub use endpoint::{Endpoint, EndpointObserver, EndpointState, Protocol};
pub use peers::{CounterCall, PolicyLease, UsageReporter};
pub use plugin::{PluginRequest, PluginVerdict, RequestPlugins};
pub use request::{DuplicateRequest, IncomingRequest, Response};
