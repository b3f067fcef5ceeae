//! Configuration, outputs and serving state of a [`ConsensusNode`](super::ConsensusNode).

use crate::document::Document;
use crate::record::AcceptorRecord;
use crate::{LeaseConfig, PolicyId};

/// What a gateway does once its leases have ended and no majority of the acceptors renews them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseLossPolicy {
    /// The gateway rejects requests.
    Reject,
    /// The gateway serves under the stricter of the policy that it held last and the known policy of the highest
    /// version above it. If no such policy is known, or the gateway cannot serve under it, the gateway rejects
    /// requests.
    ServeStricter,
    /// For a grace period, the gateway keeps serving under the policy that it held last, or under the stricter of it
    /// and a known successor.
    ServeDuringGrace {
        /// Duration of the grace period from the end of the lease, in microseconds.
        grace_us: u64,
    },
}

/// The configuration of a member.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The member's own name.
    pub name: String,
    /// The names of the acceptors, in the same order at every member.
    pub acceptors: Vec<String>,
    /// Duration of leases and bound on clock drift.
    pub lease_config: LeaseConfig,
    /// Maximum duration of a proposal, in microseconds.
    pub proposal_timeout_us: u64,
    /// Interval after which a request of a proposal is repeated if no majority of the acceptors has answered it, in
    /// microseconds.
    pub retry_interval_us: u64,
    /// What the member does when its leases cannot be renewed.
    pub lease_loss_policy: LeaseLossPolicy,
    /// Seed of the random numbers. It has to differ between members and between starts of one member.
    pub seed: u64,
}

/// An action that the caller has to carry out for the node.
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

/// Checks whether this member can serve under a document; the error is the reason why it cannot.
pub type PolicyValidator = Box<dyn Fn(&Document) -> Result<(), String>>;

/// Whether and under which policies a member may admit requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// Requests may be admitted under the first policy. If a second policy is given, it may be in force too, and
    /// requests have to be admitted under the stricter of the two.
    Serving(PolicyId, Option<PolicyId>),
    /// No policy is held now; one will be held from this time on, by the leases granted so far.
    Pending(u64),
    /// No requests may be admitted: the member holds no policy, or it cannot serve under the policy that it holds.
    NotServing,
}
