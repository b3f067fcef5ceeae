//! Consensus of all gateways on one policy.
//!
//! A group of acceptors ([`acceptor`]) replicates a register whose value is a policy. Proposers ([`proposer`])
//! replace the value with its successor, as in CASPaxos. A gateway admits requests only under a policy on which it
//! holds leases from a majority of the acceptors ([`lease_holder`]). [`node`] combines the three roles into one
//! member.
//!
//! The guarantees and the reasons for them are in `docs/policy-changes.md`. Except for [`state_directory`], the crate
//! uses no sockets, disks, clocks or source of randomness: all times are microseconds of the caller's monotonic
//! clock.

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
