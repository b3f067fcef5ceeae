//! One member's part in the consensus on policies: always a lease holder, an acceptor if the configuration names it as one, and a
//! proposer whenever an operator proposes a policy.
//!
//! [`ConsensusNode`] is a state machine without I/O. It takes messages, ticks and the results of writes, and returns messages to
//! send, acceptor records to store and log lines. All times are microseconds of the caller's monotonic clock; randomness comes from
//! the seed in [`NodeConfig`].
//!
//! | module | concern |
//! | --- | --- |
//! | `interface` | configuration, outputs and serving state |
//! | `member` | the state of a member; [`ConsensusNode::tick`] |
//! | `dispatch` | decoding, routing and sending of messages |
//! | `documents` | checks and parts of documents |
//! | `fetches` | the documents that are being fetched |
//! | `leases` | lease upkeep, and recovery of interrupted changes |
//! | `local_acceptor` | the state of the member's own acceptor |
//! | `acceptor_requests` | requests to that acceptor, and their persistence |
//! | `join` | how that acceptor joins in place of a lost one |
//! | `proposal`, `proposals` | a proposal started at this member, and all of them |
//! | `serving` | whether, and under which policy, requests may be admitted |

mod acceptor_requests;
mod dispatch;
mod documents;
mod fetches;
mod interface;
mod join;
mod leases;
mod local_acceptor;
mod member;
mod proposal;
mod proposals;
mod serving;

pub use interface::{LeaseLossPolicy, NodeConfig, NodeOutput, PolicyValidator, ServingState};
pub use member::ConsensusNode;
pub use proposal::ProposalStatus;
