//! Client of the shared counter with a few pipelined connections.
//!
//! [`run`] receives calls from the engine, sends each on one of its connections and reports every outcome to the
//! engine. On each connection, replies arrive in the order of the calls.

mod connection;
mod pool;
mod response_time;
mod wire;

pub use connection::MAX_PENDING_CALLS;
pub use pool::run;
