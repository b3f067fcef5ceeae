//! A member of the consensus on policies. Every member is a lease holder; it is also an acceptor if the configuration
//! lists it as one, and a proposer while a proposal that was started at it is in progress.
//!
//! [`ConsensusNode`] is a state machine without I/O. Its inputs are messages, ticks and the results of writes; its
//! outputs are messages to send, acceptor records to store and log lines. All times are microseconds of the caller's
//! monotonic clock, and the random numbers depend on the seed in [`NodeConfig`] alone.
//!
//! | module | contents |
//! | --- | --- |
//! | `interface` | configuration, outputs and serving state |
//! | `member` | the state of a member; [`ConsensusNode::tick`] |
//! | `dispatch` | decoding, routing and sending of messages |
//! | `documents` | transfer of documents in parts, and checks of documents |
//! | `fetches` | bookkeeping of the documents that are being fetched |
//! | `leases` | lease renewal, and recovery of interrupted changes |
//! | `local_acceptor` | the member's own acceptor with its pending write and its join |
//! | `acceptor_requests` | requests to that acceptor, and the writes of its state |
//! | `join` | the join of that acceptor, which replaces a lost one |
//! | `proposal`, `proposals` | one proposal started at this member, and the set of them |
//! | `serving` | whether and under which policies requests may be admitted |

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
