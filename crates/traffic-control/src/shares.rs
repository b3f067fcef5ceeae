//! What of a customer's store belongs to whom while some gateways of its set are not heard. Those heard share one store, from
//! which each use that is told is taken. Of whoever falls silent a part is set aside, by what it used of late: it may go on using
//! that where it is, and nobody else does. Once it is heard again, what it did not use of its part goes back. Arithmetic only.

use crate::customer::{Quota, RATE_TAU_US};
use crate::decayed::Decayed;
use crate::interface::Micros;

/// Of each part so much goes by number alone: whoever used little of late may come to need more.
const EVEN: f64 = 0.2;

/// A gateway that is not heard, and its part of the store.
struct Away {
    gateway: u32,
    part: f64,
    /// Of its part, as it was when it was last heard, less what it told to have used since; below 0: it had more.
    left: f64,
    since: Micros,
}

impl Away {
    /// What is left of its part now; it fills as the store does.
    fn filled(&self, now: Micros, q: &Quota) -> f64 {
        self.left + q.rate * self.part * now.saturating_sub(self.since) as f64 / 1e6
    }
}

#[derive(Default)]
pub(crate) struct Shares {
    /// What each gateway of the set used of late.
    used: Vec<(u32, Decayed)>,
    away: Vec<Away>,
}

impl Shares {
    /// The part of the store that this gateway and those it hears have.
    pub fn part(&self) -> f64 {
        (1.0 - self.away.iter().map(|a| a.part).sum::<f64>()).max(0.0)
    }

    pub fn all_heard(&self) -> bool {
        self.away.is_empty()
    }

    pub fn used(&mut self, now: Micros, gateway: u32, units: f64) {
        match self.used.iter_mut().find(|(g, _)| *g == gateway) {
            Some((_, d)) => d.add(now, RATE_TAU_US, units),
            None => self.used.push((gateway, Decayed::new(now, units))),
        }
    }

    /// Use that a gateway told; how much of it comes out of the common store: all; or, where others tell it as the gateway is still not
    /// heard itself, what goes beyond what was set aside for it until now. `back`: it is heard again, and settles when it is.
    pub fn told(&mut self, now: Micros, q: &Quota, gateway: u32, units: f64, back: bool) -> f64 {
        self.used(now, gateway, units);
        let Some(a) = self.away.iter_mut().find(|a| a.gateway == gateway) else {
            return units;
        };
        let within = if back {
            units
        } else {
            units.min(a.filled(now, q).max(0.0))
        };
        a.left -= within;
        units - within
    }

    /// Sets aside the parts of those of the set of `width` that are silent since then, and puts back into `level` what is left of
    /// the parts of the others; nothing where the level is by the counter's word.
    pub fn look(
        &mut self,
        now: Micros,
        q: &Quota,
        width: u32,
        counted: bool,
        silent: &[(u32, Micros)],
        level: &mut f64,
    ) {
        let used = std::mem::take(&mut self.used);
        let of = |g: u32| {
            used.iter()
                .find(|(u, _)| *u == g)
                .map_or(0.0, |(_, d)| d.at(now, RATE_TAU_US))
        };
        let all: f64 = used.iter().map(|(_, d)| d.at(now, RATE_TAU_US)).sum();
        self.away.retain(|a| {
            let away = silent.iter().any(|(g, _)| *g == a.gateway);
            if !away && !counted {
                *level += a.filled(now, q).clamp(-q.most * a.part, q.most * a.part);
            }
            away
        });
        for &(gateway, since) in silent {
            if self.away.iter().any(|a| a.gateway == gateway) {
                continue;
            }
            let even = 1.0 / f64::from(width);
            let part = if all > 0.0 {
                EVEN * even + (1.0 - EVEN) * of(gateway) / all
            } else {
                even
            };
            let rest = self.part();
            // The last one's is what is left.
            let part = part.min(rest);
            let left = if rest > 0.0 {
                *level * part / rest
            } else {
                0.0
            };
            *level -= left;
            self.away.push(Away {
                gateway,
                part,
                left,
                since,
            });
        }
        self.used = used;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn store() -> Quota {
        let (rate, most) = (40.0, 80.0);
        Quota {
            rate,
            most,
            largest: 1.0,
            places: false,
            ceiling: None,
            stake: 1.0,
            alone: false,
            counter: false,
        }
    }

    /// Four gateways that used 4, 3, 2, 1 parts of late, as the first of them sees it.
    fn known(now: Micros) -> Shares {
        let mut shares = Shares::default();
        (0..4).for_each(|g| shares.used(now, g, 12.0 - 3.0 * f64::from(g)));
        shares
    }

    #[test]
    fn the_parts_of_two_sides_add_up_to_one_and_a_silent_one_keeps_what_it_used() {
        let (mut here, mut there) = (known(S), known(S));
        let (mut a, mut b) = (40.0, 40.0);
        here.look(S, &store(), 4, false, &[(3, S)], &mut a);
        there.look(S, &store(), 4, false, &[(0, S), (1, S), (2, S)], &mut b);
        assert!((here.part() + there.part() - 1.0).abs() < 1e-9);
        assert!(
            (there.part() - (0.05 + 0.8 * 0.1)).abs() < 1e-9,
            "{}",
            there.part()
        );
        assert!(
            (a + b - 40.0).abs() < 1e-9,
            "the level is dealt out once: {a} {b}"
        );
    }

    #[test]
    fn what_was_used_within_the_part_while_away_costs_nobody_else() {
        let mut shares = known(S);
        let mut level = 0.0;
        shares.look(S, &store(), 4, false, &[(0, S)], &mut level);
        let part = 1.0 - shares.part();
        // Ten seconds at its whole part, told at once.
        assert!(shares.told(11 * S, &store(), 0, 400.0 * part, true) < 1e-6);
        shares.look(11 * S, &store(), 4, false, &[], &mut level);
        assert!(level.abs() < 1e-6 && shares.all_heard(), "{level}");
        assert_eq!(
            shares.told(12 * S, &store(), 0, 1.0, true),
            1.0,
            "from now on it is of the common store"
        );
    }

    #[test]
    fn what_was_not_used_goes_back_up_to_its_part_of_the_store_and_what_was_beyond_is_the_common_ones(
    ) {
        let mut shares = known(S);
        let mut level = 0.0;
        shares.look(S, &store(), 4, false, &[(0, S)], &mut level);
        let part = 1.0 - shares.part();
        shares.look(60 * S, &store(), 4, false, &[], &mut level);
        assert!((level - 80.0 * part).abs() < 1e-6, "{level}");
        // Told by another while it is still not heard itself: more than was set aside for it.
        shares.look(61 * S, &store(), 4, false, &[(0, 61 * S)], &mut level);
        let (part, left) = (1.0 - shares.part(), 80.0 * part * (1.0 - shares.part()));
        let beyond = shares.told(62 * S, &store(), 0, 100.0, false);
        assert!(
            (beyond - (100.0 - 40.0 * part - left)).abs() < 1e-6,
            "{beyond}"
        );
        assert!((shares.told(62 * S, &store(), 0, 5.0, false) - 5.0).abs() < 1e-6);
    }

    #[test]
    fn of_unknown_use_parts_are_even_and_nothing_is_left_below_none() {
        let mut shares = Shares::default();
        let mut level = 80.0;
        shares.look(S, &store(), 4, false, &[(1, 0), (2, 0), (3, 0)], &mut level);
        assert!((shares.part() - 0.25).abs() < 1e-9 && (level - 20.0).abs() < 1e-9);
        // All use was one's that is silent now: the others still have a part.
        let mut shares = Shares::default();
        shares.used(S, 2, 100.0);
        shares.look(S, &store(), 4, false, &[(2, S)], &mut level);
        assert!((shares.part() - 0.15).abs() < 1e-9);
    }

    #[test]
    fn by_the_counters_word_nothing_is_put_back() {
        let mut shares = known(S);
        let mut level = 40.0;
        shares.look(S, &store(), 4, false, &[(0, S)], &mut level);
        level = 10.0;
        shares.look(9 * S, &store(), 4, true, &[], &mut level);
        assert_eq!(level, 10.0);
    }
}
