//! HTTP/1.1 towards clients and servers: [`server`] reads clients' requests and writes one response to each,
//! [`backend`] sends requests to servers over a pool of connections, and [`conn`] implements one connection to a
//! server.

pub mod backend;
mod body_memory;
mod chunked;
pub mod conn;
mod error;
mod headers;
mod limits;
pub mod server;
mod socket_io;
mod staleness;

pub use limits::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
