//! Attempts of requests at servers, and the pool of connections to the servers. A connection carries one request at a
//! time and closes when it is dropped. Retries are the engine's task: this module never repeats a request.

mod attempt;
mod connect;
mod forwarded_request;
mod outgoing;
mod pooled_connection;
mod response_start;
mod response_stream;
mod reuse_delay;
mod server_table;
mod upstream;

pub(crate) use forwarded_request::ForwardedRequest;
pub(crate) use outgoing::OutgoingRequest;
pub(crate) use response_stream::ResponseStream;
pub use upstream::{close_stale_connections, Upstream, UpstreamLimits};
