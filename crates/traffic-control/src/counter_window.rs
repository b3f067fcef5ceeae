//! The lives of counts: which one it is by the wall clock, as all gateways have to agree on names, and for how long it has
//! lasted by the monotonic one, as what fills in meanwhile must not change with a step.

use crate::customer::COUNTER_WINDOW_US;
use crate::interface::Micros;

/// One life of all counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CounterWindow {
    /// The same at all gateways.
    pub number: u64,
    /// Since it began.
    pub elapsed_us: Micros,
}

/// Lives whose beginnings are remembered: a clock may go back into the one before.
const MAX_REMEMBERED_WINDOWS: usize = 4;

#[derive(Debug, Default)]
pub(crate) struct CounterClock {
    /// How far the wall clock is ahead of the gateway's own.
    ahead_us: i64,
    /// Numbers of the latest lives, and when they began by the gateway's own clock.
    window_starts: Vec<(u64, Micros)>,
}

impl CounterClock {
    /// The wall clock is so far ahead of the gateway's own from now on.
    pub fn set_wall_offset(&mut self, now: Micros, ahead_us: i64) {
        // The life that the step ends is remembered with its own beginning.
        self.window_at(now);
        self.ahead_us = ahead_us;
    }

    /// The wall clock.
    pub fn wall_clock(&self, now: Micros) -> Micros {
        now.saturating_add_signed(self.ahead_us)
    }

    /// The life that counts are in now.
    pub fn window_at(&mut self, now: Micros) -> CounterWindow {
        let wall = self.wall_clock(now);
        let number = wall / COUNTER_WINDOW_US;
        if let Some((_, began)) = self
            .window_starts
            .iter()
            .find(|(known, _)| *known == number)
        {
            return CounterWindow {
                number,
                elapsed_us: now.saturating_sub(*began),
            };
        }
        let elapsed = wall % COUNTER_WINDOW_US;
        self.window_starts
            .push((number, now.saturating_sub(elapsed)));
        if self.window_starts.len() > MAX_REMEMBERED_WINDOWS {
            self.window_starts.remove(0);
        }
        CounterWindow {
            number,
            elapsed_us: elapsed,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;
    const START: Micros = 600 * S;

    #[test]
    fn without_a_step_a_life_is_a_minute_of_the_clock() {
        let mut clock = CounterClock::default();
        assert_eq!(
            clock.window_at(START + 7 * S),
            CounterWindow {
                number: 10,
                elapsed_us: 7 * S
            }
        );
        assert_eq!(
            clock.window_at(START + 67 * S),
            CounterWindow {
                number: 11,
                elapsed_us: 7 * S
            }
        );
    }

    #[test]
    fn a_step_within_a_life_does_not_change_how_long_it_has_lasted() {
        for ahead_s in [3, -3] {
            let mut clock = CounterClock::default();
            clock.window_at(START + 10 * S);
            clock.set_wall_offset(START + 10 * S, ahead_s * S as i64);
            assert_eq!(
                clock.window_at(START + 12 * S),
                CounterWindow {
                    number: 10,
                    elapsed_us: 12 * S
                },
                "{ahead_s}"
            );
        }
    }

    #[test]
    fn after_a_step_names_are_those_of_a_process_that_starts_by_the_new_clock() {
        let ahead = -3_600 * S as i64;
        let (mut running, mut started) = (CounterClock::default(), CounterClock::default());
        let now = 10_000 * S;
        running.set_wall_offset(now, ahead);
        let by_new_clock = now.saturating_add_signed(ahead);
        assert_eq!(
            running.window_at(now).number,
            started.window_at(by_new_clock).number
        );
    }
}
