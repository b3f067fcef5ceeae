//! A clock of the time during which this process was running; pauses in which it was stopped or starved hardly count.

use super::config::MembershipConfig;

/// Longest gap between two ticks, in update intervals; a longer one counts as a pause of the process.
const MAX_TICK_GAP_INTERVALS: u64 = 6;

/// A clock that advances by at most [`MAX_TICK_GAP_INTERVALS`] update intervals per tick, so that a pause of the
/// process counts for no more than that. All times are in microseconds.
pub(super) struct RunClock {
    max_gap_us: u64,
    report_ttl_us: u64,
    started_at_us: Option<u64>,
    last_tick_at_us: u64,
    running_us: u64,
    catching_up_until_us: u64,
}

impl RunClock {
    pub fn new(config: &MembershipConfig) -> RunClock {
        RunClock {
            max_gap_us: config.update_interval_us * MAX_TICK_GAP_INTERVALS,
            report_ttl_us: config.usage_report_ttl_us(),
            started_at_us: None,
            last_tick_at_us: 0,
            running_us: 0,
            catching_up_until_us: 0,
        }
    }

    /// Returns the time during which this process was running, as of the last tick.
    pub fn running_us(&self) -> u64 {
        self.running_us
    }

    /// Returns the time since the first tick, including pauses; 0 before the first tick.
    pub fn uptime_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.started_at_us.unwrap_or(now_us))
    }

    /// Returns whether received datagrams may still date from the last pause, so that they do not prove that their
    /// senders are running now.
    pub fn is_catching_up(&self) -> bool {
        self.running_us < self.catching_up_until_us
    }

    /// Detects a pause at the first datagram after it, which may be handled before the next tick.
    pub fn observe_datagram(&mut self, now_us: u64) {
        let has_ticked = self.last_tick_at_us > 0;
        if has_ticked && now_us.saturating_sub(self.last_tick_at_us) > self.max_gap_us {
            let until_us = self.running_us + self.report_ttl_us;
            self.catching_up_until_us = self.catching_up_until_us.max(until_us);
        }
    }

    /// Advances the clock to `now_us`. Returns whether the process was paused since the last tick.
    pub fn tick(&mut self, now_us: u64) -> bool {
        self.started_at_us.get_or_insert(now_us);
        let gap_us = now_us.saturating_sub(self.last_tick_at_us);
        let is_first = self.last_tick_at_us == 0;
        self.last_tick_at_us = now_us;
        if is_first {
            self.running_us += 1;
            return false;
        }
        self.running_us += gap_us.min(self.max_gap_us);
        let was_paused = gap_us > self.max_gap_us;
        if was_paused {
            self.catching_up_until_us = self.running_us + self.report_ttl_us;
        }
        was_paused
    }
}
