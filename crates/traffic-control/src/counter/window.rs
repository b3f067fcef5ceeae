//! Time windows of counts. The wall clock determines a window's number, as all gateways have to agree on the names
//! of counts; the monotonic clock measures its elapsed time, as a step of the wall clock must not change what has
//! filled in meanwhile.

use crate::interface::Micros;

/// Length of a window, for which a count and its name are used: the longest time that the counter retains a count.
pub(crate) const COUNTER_WINDOW_US: Micros = 60_000_000;

/// A time window, the same for all counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CounterWindow {
    /// Number of the window, the same at all gateways.
    pub number: u64,
    /// Time since the window began.
    pub elapsed_us: Micros,
}

/// Maximum number of windows whose start is remembered: a wall clock may be stepped back into the previous one.
const MAX_REMEMBERED_WINDOWS: usize = 4;

/// The wall clock, and the starts of the latest windows.
#[derive(Debug, Default)]
pub(crate) struct CounterClock {
    /// Time by which the wall clock is ahead of the gateway's own, monotonic clock; negative if it is behind.
    ahead_us: i64,
    /// Numbers of the latest windows, and their starts by the gateway's own clock.
    window_starts: Vec<(u64, Micros)>,
}

impl CounterClock {
    /// Sets the time by which the wall clock is ahead of the gateway's own clock from `now` on.
    pub fn set_wall_offset(&mut self, now: Micros, ahead_us: i64) {
        // Remembers the true start of the window that the step ends.
        self.window_at(now);
        self.ahead_us = ahead_us;
    }

    /// Returns the time of the wall clock at `now`.
    pub fn wall_clock(&self, now: Micros) -> Micros {
        now.saturating_add_signed(self.ahead_us)
    }

    /// Returns the window of counts at `now`.
    pub fn window_at(&mut self, now: Micros) -> CounterWindow {
        let wall = self.wall_clock(now);
        let number = wall / COUNTER_WINDOW_US;
        let known = self
            .window_starts
            .iter()
            .find(|(known, _)| *known == number);
        if let Some((_, began)) = known {
            return CounterWindow {
                number,
                elapsed_us: now.saturating_sub(*began),
            };
        }
        let elapsed_us = wall % COUNTER_WINDOW_US;
        self.window_starts
            .push((number, now.saturating_sub(elapsed_us)));
        if self.window_starts.len() > MAX_REMEMBERED_WINDOWS {
            self.window_starts.remove(0);
        }
        CounterWindow { number, elapsed_us }
    }
}

#[cfg(test)]
mod tests;
