//! Membership of a cluster, agreed among processes by SWIM gossip over sealed UDP datagrams.
//!
//! Each [`Membership`] keeps a table of all members, detects failed ones, disseminates the usage that gateways admitted so that
//! quotas hold without the shared counter, and publishes a few gauges.
//!
//! [`membership`] is the state machine: no sockets, no clock, and no randomness but from a seed. Its parts are [`record`] (what
//! is disseminated about a member), [`member_table`] (all members and the view that follows), [`failure_detector`] (probes and
//! suspicions), [`session`] (replay protection), [`usage_counters`] and [`usage_gossip`] (usage), [`gauges`], [`token_bucket`]
//! (rate limits), [`wire`] and [`seal`] (encoding and authentication). [`driver`] holds the socket.

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
