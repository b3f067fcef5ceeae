//! The server side: accepts the connections of clients, reads and checks requests, and writes one response to each. It is
//! strict: what a well-behaved client never sends is an error, and ends its connection before anything else sees it.

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
