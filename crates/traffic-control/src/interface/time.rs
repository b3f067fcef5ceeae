//! Time as the decisions count it, and how late things may happen.

/// A time or a span in whole microseconds.
pub type Micros = u64;

/// A gateway may be held up for so long between reading its clock and writing; latest starts allow for it.
pub const HELD_UP_US: Micros = 150_000;

/// An attempt may begin so long after its client has gone.
pub const GONE_SLACK_US: Micros = 100_000;
