//! The unit of time, and bounds on delays that deadlines of attempts allow for.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Longest delay of a gateway between reading its clock and sending. The deadlines for starting attempts allow for it.
pub const MAX_GATEWAY_DELAY_US: Micros = 150_000;

/// How long after its client has gone an attempt may still begin.
pub const CLIENT_GONE_SLACK_US: Micros = 100_000;
