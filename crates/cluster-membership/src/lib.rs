//! Cluster membership by SWIM gossip over authenticated UDP datagrams.
//!
//! Each [`Membership`] keeps a table of all members, detects failed ones, disseminates the usage that gateways
//! admitted (so that quotas hold without the shared counter), and publishes a few gauges.
//!
//! [`membership`] is the state machine. It has no sockets and no clock, and all its randomness comes from a seed. It
//! builds on [`record`] (the disseminated state of a member), [`member_table`] (all members, and the view of the
//! ready ones), [`failure_detector`] (probes and suspicions), [`session`] (replay protection), [`usage_counters`] and
//! [`usage_gossip`] (admitted usage), [`gauges`], [`token_bucket`] (rate limits), [`wire`] (encoding) and [`seal`]
//! (authentication). [`driver`] connects the state machine to a socket and the engine.

pub mod driver;
pub mod failure_detector;
pub mod gauges;
pub mod member_table;
pub mod membership;
pub mod record;
pub mod seal;
pub mod session;
pub mod token_bucket;
pub mod usage_counters;
pub mod usage_gossip;
pub mod wire;

pub use membership::{Membership, MembershipConfig, Output};
pub use record::{LifecyclePhase, Liveness, MemberRecord};
