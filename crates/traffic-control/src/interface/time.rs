//! The unit of time, and how late attempts may begin.

/// A time or a duration in whole microseconds.
pub type Micros = u64;

/// A gateway may be delayed by this much between reading its clock and writing. Latest starts of attempts allow for it.
pub const MAX_GATEWAY_DELAY_US: Micros = 150_000;

/// An attempt may begin this long after its client has gone.
pub const CLIENT_GONE_SLACK_US: Micros = 100_000;
