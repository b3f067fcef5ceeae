//! Test doubles on loopback: servers, list agents, counters, resolvers and clients whose behavior a test specifies, and
//! a launcher for the gateway's binary. They are written from the protocol documents and RFCs; of the gateway's own
//! code they use only the Diameter codec.
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
pub mod long_answer;
pub mod program;
pub mod resolver;
pub mod shared_counter;
pub mod shim;
pub mod zone;

pub use agent::*;
pub use counter::*;
pub use http::*;
pub use long_answer::*;
pub use program::*;
pub use resolver::*;
pub use shared_counter::*;
pub use shim::*;
pub use zone::*;
