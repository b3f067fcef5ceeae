//! The unit of time, and the delays that the deadlines for starting attempts allow for.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Longest delay of a gateway between reading its clock and sending. The deadlines for starting attempts allow for it.
pub const MAX_GATEWAY_DELAY_US: Micros = 150_000;

/// Longest time between the departure of a client and the start of an attempt for it.
pub const CLIENT_GONE_SLACK_US: Micros = 100_000;
