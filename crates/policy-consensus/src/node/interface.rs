//! Configuration of a [`ConsensusNode`](super::ConsensusNode), what it wants done, and its serving state.

use crate::document::Document;
use crate::record::AcceptorRecord;
use crate::{LeaseConfig, PolicyId};

/// What a gateway does when its lease ended because no majority of the acceptors was heard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseLossPolicy {
    /// It rejects requests.
    Reject,
    /// If it knows of a policy that may have replaced its own, it serves under the stricter of both; otherwise it rejects requests.
    ServeStricter,
    /// It goes on serving for a limited time.
    ServeDuringGrace {
        /// How long, counted from the end of the lease.
        grace_us: u64,
    },
}

/// What is configured about a member.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The member's own name.
    pub name: String,
    /// The names of the acceptors, in the same order at every member.
    pub acceptors: Vec<String>,
    /// Duration of leases and bound on clock drift.
    pub lease_config: LeaseConfig,
    /// How long a proposal may take.
    pub proposal_timeout_us: u64,
    /// After how long without a majority a phase of a proposal is retried.
    pub retry_interval_us: u64,
    /// What to do when a lease cannot be renewed.
    pub lease_loss_policy: LeaseLossPolicy,
    /// Seed of the random numbers; has to differ between members and between starts of one member.
    pub seed: u64,
}

/// What the caller has to do for the node.
#[derive(Debug, PartialEq)]
pub enum NodeOutput {
    /// Send a message to another member.
    Send {
        /// The receiver's name.
        to: String,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Write the acceptor's record to disk, then call
    /// [`ConsensusNode::record_stored`](super::ConsensusNode::record_stored).
    Store(AcceptorRecord),
    /// Write a line to the log.
    Log(String),
}

/// Whether this member can serve under a document; the error says why not.
pub type PolicyValidator = Box<dyn Fn(&Document) -> Result<(), String>>;

/// Whether requests may be admitted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// Under this policy; where there is a second one that may be in force as well, under the stricter of both.
    Serving(PolicyId, Option<PolicyId>),
    /// From this time on, by the leases that are already granted.
    Pending(u64),
    /// Not: there is no lease, or this member cannot serve under the policy.
    NotServing,
}
