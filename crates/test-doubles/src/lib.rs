//! Stand-ins on loopback: servers, list agents, counters, resolvers and clients that do as a test says, and the real
//! program between them. Written from the protocol pages and RFCs; of the gateway's own code only the Diameter codec is used.
#![expect(
    clippy::missing_panics_doc,
    clippy::single_match_else,
    clippy::too_many_lines,
    missing_docs
)]

pub mod agent;
pub mod counter;
pub mod diameter;
pub mod http;
pub mod program;
pub mod resolver;
pub mod shared_counter;
pub mod shim;
pub mod zone;

pub use agent::*;
pub use counter::*;
pub use http::*;
pub use program::*;
pub use resolver::*;
pub use shared_counter::*;
pub use shim::*;
pub use zone::*;
