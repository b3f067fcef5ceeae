//! The state machine of a member: its inputs are datagrams and ticks, its outputs are datagrams and events. It has no
//! sockets and no clock, and all its randomness comes from a seed. Times are in microseconds of a monotonic clock.
//!
//! [`Membership`] is one type whose methods are divided by concern: `state` holds the data and its accessors,
//! `receive` handles datagrams, `member_updates` merges the member updates in them, `probing` drives the failure
//! detector, `anti_entropy` compares member tables, `seeds` finds other members, `send` composes datagrams, and
//! `tick` does the periodic work.

mod anti_entropy;
mod config;
mod invalid_seal_limiter;
mod log_limiter;
mod member_updates;
mod output;
mod peer;
mod probing;
mod receive;
mod run_clock;
mod seeds;
mod send;
mod state;
mod tick;

pub use config::MembershipConfig;
pub use output::Output;
pub use send::MAX_MESSAGE_BYTES;
pub use state::{MemberStatus, Membership};
