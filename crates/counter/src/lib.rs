//! Client of the shared counter over a few pipelined connections.
//!
//! [`run`] takes the calls of the engine, sends each on one of its connections and reports every outcome to the engine. On
//! each connection replies come in the order of the calls.

mod connection;
mod pool;
mod response_time;
mod wire;

pub use connection::MAX_PENDING_CALLS;
pub use pool::run;
