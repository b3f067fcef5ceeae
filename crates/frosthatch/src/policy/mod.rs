//! The policy that all gateways agree on: connects the consensus node to the cluster's messages, the engine, its
//! state on disk, the audit log and the admin API.

mod audit;
mod crash_point;
mod document_terms;
mod service;
mod status;

pub use document_terms::{plugin_digests, policy_terms};
pub use service::PolicyService;
pub use status::{PolicyStatus, ProposalReport};
