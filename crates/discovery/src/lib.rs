//! Endpoint discovery: where the servers are.
//!
//! [`list`] is the client of a list agent, [`dnssd`] finds endpoints with DNS-SD. [`run`] follows whichever [`Source`] is
//! configured. Both pass lists and changes to the [`EndpointRegistry`], which applies the marks of operators, lets
//! endpoints drain when one source takes over from another, and passes the result to the engine.

pub mod dnssd;
mod endpoint_table;
pub mod list;
mod registry;
mod source;

pub use endpoint_table::OperatorMark;
pub use registry::EndpointRegistry;
pub use source::{run, Source};
