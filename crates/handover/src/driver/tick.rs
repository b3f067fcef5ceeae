//! The interval of the ticks by which both state machines check their deadlines.

use std::time::Duration;

pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(100);
