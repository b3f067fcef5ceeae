//! HTTP/1.1 on both sides: [`server`] reads clients' requests and writes the one answer, [`backend`] makes attempts at
//! servers over a pool of connections, [`conn`] is one connection of our own making.
#![forbid(unsafe_code)]

pub mod backend;
mod chunked;
pub mod conn;
mod message;
pub mod server;
mod staleness;

pub use message::{BODY_BYTES, HEAD_BYTES};
