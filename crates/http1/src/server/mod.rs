//! HTTP/1.1 server: accepts clients' connections, reads and checks their requests, and writes one response to each. The
//! checks are strict: a request that a well-behaved client never sends is rejected before it is submitted to the
//! engine, and its connection is closed.

mod answering;
mod bad_request;
mod call_terms;
mod client;
mod conversation;
mod draining;
mod http_server;
mod idle_connection;
mod listener;
mod poll_once;
mod relay;
mod request;
mod request_body;
mod request_head;
mod request_reader;
mod response;

pub use http_server::HttpServer;
