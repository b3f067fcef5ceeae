//! Consensus of all gateways on one policy. A group of acceptors holds a register ([`acceptor`]) that proposers change as a whole
//! ([`proposer`]), as in CASPaxos. A gateway admits requests only under a policy on which it holds a lease from a majority of the
//! acceptors ([`lease_holder`]). [`node`] joins the three into one member.
//!
//! The guarantees and the reasons for them are on the page `docs/policy-changes.md`. Except for [`state_directory`] nothing here
//! uses sockets, disks, clocks or a source of randomness: all times are microseconds of the caller's monotonic clock.

pub mod acceptor;
mod ballot;
mod digest;
pub mod document;
pub mod document_store;
mod lease_config;
pub mod lease_holder;
pub mod message;
pub mod node;
mod policy;
pub mod proposer;
pub mod record;
pub mod state_directory;
#[cfg(test)]
mod test_values;

pub use ballot::{majority, Ballot};
pub use digest::Digest;
pub use lease_config::LeaseConfig;
pub use policy::{Policy, PolicyId};
