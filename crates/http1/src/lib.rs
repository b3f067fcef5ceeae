//! HTTP/1.1 on both sides: [`server`] reads the requests of clients and writes the one response to each, [`backend`] sends
//! them to servers over a pool of connections, [`conn`] is one of these connections.

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
