//! HTTP/1.1 on both sides: [`server`] reads clients' requests and writes the one answer, [`backend`] makes attempts at
//! servers over a pool of connections, [`conn`] is one connection of our own making.
#![expect(
    clippy::match_bool,
    clippy::missing_errors_doc,
    clippy::semicolon_if_nothing_returned,
    clippy::single_match_else,
    clippy::too_many_lines,
    missing_docs
)]

pub mod backend;
mod chunked;
pub mod conn;
mod message;
pub mod server;
mod staleness;

pub use message::{BODY_BYTES, HEAD_BYTES};
