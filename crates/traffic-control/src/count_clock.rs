//! The lives of counts: which one it is by the wall clock, as all gateways have to agree on names, and for how long it has
//! lasted by the monotonic one, as what fills in meanwhile must not change with a step.

use crate::customer::COUNT_TTL_US;
use crate::interface::Micros;

/// One life of all counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Life {
    /// The same at all gateways.
    pub number: u64,
    /// Since it began.
    pub elapsed: Micros,
}

/// Lives whose beginnings are remembered: a clock may go back into the one before.
const REMEMBERED: usize = 4;

#[derive(Debug, Default)]
pub(crate) struct CountClock {
    /// How far the wall clock is ahead of the gateway's own.
    ahead_us: i64,
    /// Numbers of the latest lives, and when they began by the gateway's own clock.
    begun: Vec<(u64, Micros)>,
}

impl CountClock {
    /// The wall clock is so far ahead of the gateway's own from now on.
    pub fn step(&mut self, now: Micros, ahead_us: i64) {
        // The life that the step ends is remembered with its own beginning.
        self.life(now);
        self.ahead_us = ahead_us;
    }

    /// The wall clock.
    pub fn wall(&self, now: Micros) -> Micros {
        now.saturating_add_signed(self.ahead_us)
    }

    /// The life that counts are in now.
    pub fn life(&mut self, now: Micros) -> Life {
        let wall = self.wall(now);
        let number = wall / COUNT_TTL_US;
        if let Some((_, began)) = self.begun.iter().find(|(known, _)| *known == number) {
            return Life {
                number,
                elapsed: now.saturating_sub(*began),
            };
        }
        let elapsed = wall % COUNT_TTL_US;
        self.begun.push((number, now.saturating_sub(elapsed)));
        if self.begun.len() > REMEMBERED {
            self.begun.remove(0);
        }
        Life { number, elapsed }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;
    const START: Micros = 600 * S;

    #[test]
    fn without_a_step_a_life_is_a_minute_of_the_clock() {
        let mut clock = CountClock::default();
        assert_eq!(
            clock.life(START + 7 * S),
            Life {
                number: 10,
                elapsed: 7 * S
            }
        );
        assert_eq!(
            clock.life(START + 67 * S),
            Life {
                number: 11,
                elapsed: 7 * S
            }
        );
    }

    #[test]
    fn a_step_within_a_life_does_not_change_how_long_it_has_lasted() {
        for ahead_s in [3, -3] {
            let mut clock = CountClock::default();
            clock.life(START + 10 * S);
            clock.step(START + 10 * S, ahead_s * S as i64);
            assert_eq!(
                clock.life(START + 12 * S),
                Life {
                    number: 10,
                    elapsed: 12 * S
                },
                "{ahead_s}"
            );
        }
    }

    #[test]
    fn after_a_step_names_are_those_of_a_process_that_starts_by_the_new_clock() {
        let ahead = -3_600 * S as i64;
        let (mut running, mut started) = (CountClock::default(), CountClock::default());
        let now = 10_000 * S;
        running.step(now, ahead);
        let by_new_clock = now.saturating_add_signed(ahead);
        assert_eq!(running.life(now).number, started.life(by_new_clock).number);
    }
}
