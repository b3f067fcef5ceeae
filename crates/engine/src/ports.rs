//! What the engine exchanges with front ends, back ends, discovery, the shared counter and plugins.

mod attempt;
mod endpoint;
mod peers;
mod plugin;
mod request;

pub use attempt::{Attempt, AttemptResult, BoxedFuture, Payload};
pub use endpoint::{Endpoint, EndpointObserver, EndpointState, Protocol};
pub use peers::{CounterCall, PolicyLease, UsageReporter};
pub use plugin::{PluginRequest, PluginVerdict, RequestPlugins};
pub use request::{DuplicateRequest, IncomingRequest, Response};
