//! Endpoint discovery: provides the engine with the endpoints of the servers.
//!
//! There are two sources: [`list`] is the client of a list agent, and [`dnssd`] finds endpoints with DNS-SD. [`run`]
//! runs the [`Source`] that is configured. Both sources pass lists and changes to the [`EndpointRegistry`], which
//! applies operator marks, drains endpoints when one source takes over from another, and passes the result to the
//! engine.

pub mod dnssd;
mod endpoint_table;
pub mod list;
mod registry;
mod source;

pub use endpoint_table::OperatorMark;
pub use registry::EndpointRegistry;
pub use source::{run, Source};
