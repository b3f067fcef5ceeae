//! Who is in the fleet, agreed among processes: each [`Fleet`] keeps a table of all members, finds out who is lost, tells what it
//! let through so that quotas hold without the shared counter, and passes small figures on.
//!
//! [`fleet`] is the state machine; it has neither sockets nor a clock nor chance but a seed. Its parts: [`record`], what is told of
//! one member and which of two tellings counts; [`table`], all of them, with what is to be passed on and the view that follows;
//! [`detect`], who is probed, suspected and held to be dead; [`session`], which datagrams count; [`merge`] and [`telling`], use;
//! [`facts`], figures; [`wire`] and [`seal`], the form on the network. [`driver`] is the thin part that holds the socket.
#![expect(
    clippy::match_bool,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines,
    missing_docs
)]

pub mod allowance;
pub mod detect;
pub mod driver;
pub mod fleet;
pub mod gauges;
pub mod record;
pub mod seal;
pub mod session;
pub mod table;
pub mod usage_counters;
pub mod usage_gossip;
pub mod wire;

pub use fleet::{Membership, MembershipConfig, Output};
pub use record::{LifecyclePhase, Liveness, MemberRecord};
