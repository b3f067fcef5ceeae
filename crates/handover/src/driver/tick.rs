//! The tick that both state machines need for their deadlines.

use std::time::Duration;

pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(100);
