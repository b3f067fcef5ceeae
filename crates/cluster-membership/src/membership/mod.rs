//! The state machine of a member: datagrams and ticks in, datagrams and events out. It has no sockets, no clock, and no
//! randomness but from a seed. Times are in microseconds of a monotonic clock.
//!
//! [`Membership`] is one type with its methods divided by concern: `state` holds the data and what is read of it, `receive`
//! handles datagrams, `member_updates` what they say of members, `probing` drives the failure detector, `anti_entropy` compares
//! tables, `seeds` finds other members, `send` composes datagrams, and `tick` does what is due.

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
