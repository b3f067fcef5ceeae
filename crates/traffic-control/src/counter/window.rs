//! The time windows of counts: which one it is by the wall clock, as all gateways have to agree on names, and for how long
//! it has lasted by the monotonic clock, as what fills in meanwhile must not change when the wall clock is stepped.

use crate::interface::Micros;

/// How long a count and its name are used: the longest time that the counter retains one.
pub(crate) const COUNTER_WINDOW_US: Micros = 60_000_000;

/// One window of all counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CounterWindow {
    /// The same at all gateways.
    pub number: u64,
    /// Time since it began.
    pub elapsed_us: Micros,
}

/// Windows whose beginnings are remembered: a wall clock may be stepped back into the previous one.
const MAX_REMEMBERED_WINDOWS: usize = 4;

/// The wall clock, and when the latest windows began.
#[derive(Debug, Default)]
pub(crate) struct CounterClock {
    /// How far the wall clock is ahead of the gateway's own.
    ahead_us: i64,
    /// Numbers of the latest windows, and when they began by the gateway's own clock.
    window_starts: Vec<(u64, Micros)>,
}

impl CounterClock {
    /// Sets how far the wall clock is ahead of the gateway's own from now on.
    pub fn set_wall_offset(&mut self, now: Micros, ahead_us: i64) {
        // The window that the step ends is remembered with its own beginning.
        self.window_at(now);
        self.ahead_us = ahead_us;
    }

    /// The wall clock.
    pub fn wall_clock(&self, now: Micros) -> Micros {
        now.saturating_add_signed(self.ahead_us)
    }

    /// The window that counts are in now.
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
