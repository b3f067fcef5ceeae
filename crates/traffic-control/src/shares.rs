//! What of a customer's store belongs to whom while some gateways of its set are not heard. Those heard share one store, from
//! which each use that is told is taken. Of whoever falls silent a part is set aside, by what it used of late: it may go on using
//! that where it is, and nobody else does. Once it is heard again, what it did not use of its part goes back. Arithmetic only.

use crate::customer::{Quota, DEMAND_TAU_US};
use crate::decaying_sum::DecayingSum;
use crate::interface::Micros;

/// Of each part so much goes by number alone: whoever used little of late may come to need more.
const EVEN_SPLIT_WEIGHT: f64 = 0.2;

/// A gateway that is not heard, and its part of the store.
struct SilentGateway {
    gateway: u32,
    share: f64,
    /// Of its part, as it was when it was last heard, less what it told to have used since; below 0: it had more.
    remaining_units: f64,
    as_of: Micros,
}

impl SilentGateway {
    /// What is left of its part now; it fills as the store does.
    fn remaining_at(&self, now: Micros, q: &Quota) -> f64 {
        self.remaining_units
            + q.rate_per_s * self.share * now.saturating_sub(self.as_of) as f64 / 1e6
    }
}

#[derive(Default)]
pub(crate) struct StoreShares {
    /// What each gateway of the set used of late.
    recent_usage: Vec<(u32, DecayingSum)>,
    silent_gateways: Vec<SilentGateway>,
}

impl StoreShares {
    /// The part of the store that this gateway and those it hears have.
    pub fn reachable_share(&self) -> f64 {
        (1.0 - self.silent_gateways.iter().map(|a| a.share).sum::<f64>()).max(0.0)
    }

    pub fn all_reachable(&self) -> bool {
        self.silent_gateways.is_empty()
    }

    pub fn record_usage(&mut self, now: Micros, gateway: u32, units: f64) {
        match self.recent_usage.iter_mut().find(|(g, _)| *g == gateway) {
            Some((_, d)) => d.add(now, DEMAND_TAU_US, units),
            None => self
                .recent_usage
                .push((gateway, DecayingSum::new(now, units))),
        }
    }

    /// Use that a gateway told; how much of it comes out of the common store: all; or, where others tell it as the gateway is still not
    /// heard itself, what goes beyond what was set aside for it until now. `back`: it is heard again, and settles when it is.
    pub fn charge_reported(
        &mut self,
        now: Micros,
        q: &Quota,
        gateway: u32,
        units: f64,
        back: bool,
    ) -> f64 {
        self.record_usage(now, gateway, units);
        let Some(a) = self
            .silent_gateways
            .iter_mut()
            .find(|a| a.gateway == gateway)
        else {
            return units;
        };
        let within = if back {
            units
        } else {
            units.min(a.remaining_at(now, q).max(0.0))
        };
        a.remaining_units -= within;
        units - within
    }

    /// Sets aside the parts of those of the set of `width` that are silent since then, and puts back into `level` what is left of
    /// the parts of the others; nothing where the level is by the counter's word.
    pub fn reassign(
        &mut self,
        now: Micros,
        q: &Quota,
        width: u32,
        counted: bool,
        silent: &[(u32, Micros)],
        level: &mut f64,
    ) {
        let used = std::mem::take(&mut self.recent_usage);
        let of = |g: u32| {
            used.iter()
                .find(|(u, _)| *u == g)
                .map_or(0.0, |(_, d)| d.at(now, DEMAND_TAU_US))
        };
        let all: f64 = used.iter().map(|(_, d)| d.at(now, DEMAND_TAU_US)).sum();
        self.silent_gateways.retain(|a| {
            let away = silent.iter().any(|(g, _)| *g == a.gateway);
            if !away && !counted {
                *level += a
                    .remaining_at(now, q)
                    .clamp(-q.capacity * a.share, q.capacity * a.share);
            }
            away
        });
        for &(gateway, since) in silent {
            if self.silent_gateways.iter().any(|a| a.gateway == gateway) {
                continue;
            }
            let even = 1.0 / f64::from(width);
            let part = if all > 0.0 {
                EVEN_SPLIT_WEIGHT * even + (1.0 - EVEN_SPLIT_WEIGHT) * of(gateway) / all
            } else {
                even
            };
            let rest = self.reachable_share();
            // The last one's is what is left.
            let part = part.min(rest);
            let left = if rest > 0.0 {
                *level * part / rest
            } else {
                0.0
            };
            *level -= left;
            self.silent_gateways.push(SilentGateway {
                gateway,
                share: part,
                remaining_units: left,
                as_of: since,
            });
        }
        self.recent_usage = used;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn store() -> Quota {
        let (rate, most) = (40.0, 80.0);
        Quota {
            rate_per_s: rate,
            capacity: most,
            max_request_units: 1.0,
            limits_concurrency: false,
            ceiling: None,
            relative_cost: 1.0,
            is_counter_only: false,
            has_counter: false,
        }
    }

    /// Four gateways that used 4, 3, 2, 1 parts of late, as the first of them sees it.
    fn known(now: Micros) -> StoreShares {
        let mut shares = StoreShares::default();
        (0..4).for_each(|g| shares.record_usage(now, g, 12.0 - 3.0 * f64::from(g)));
        shares
    }

    #[test]
    fn the_parts_of_two_sides_add_up_to_one_and_a_silent_one_keeps_what_it_used() {
        let (mut here, mut there) = (known(S), known(S));
        let (mut a, mut b) = (40.0, 40.0);
        here.reassign(S, &store(), 4, false, &[(3, S)], &mut a);
        there.reassign(S, &store(), 4, false, &[(0, S), (1, S), (2, S)], &mut b);
        assert!((here.reachable_share() + there.reachable_share() - 1.0).abs() < 1e-9);
        assert!(
            (there.reachable_share() - (0.05 + 0.8 * 0.1)).abs() < 1e-9,
            "{}",
            there.reachable_share()
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
        shares.reassign(S, &store(), 4, false, &[(0, S)], &mut level);
        let part = 1.0 - shares.reachable_share();
        // Ten seconds at its whole part, told at once.
        assert!(shares.charge_reported(11 * S, &store(), 0, 400.0 * part, true) < 1e-6);
        shares.reassign(11 * S, &store(), 4, false, &[], &mut level);
        assert!(level.abs() < 1e-6 && shares.all_reachable(), "{level}");
        assert_eq!(
            shares.charge_reported(12 * S, &store(), 0, 1.0, true),
            1.0,
            "from now on it is of the common store"
        );
    }

    #[test]
    fn what_was_not_used_goes_back_up_to_its_part_of_the_store_and_what_was_beyond_is_the_common_ones(
    ) {
        let mut shares = known(S);
        let mut level = 0.0;
        shares.reassign(S, &store(), 4, false, &[(0, S)], &mut level);
        let part = 1.0 - shares.reachable_share();
        shares.reassign(60 * S, &store(), 4, false, &[], &mut level);
        assert!((level - 80.0 * part).abs() < 1e-6, "{level}");
        // Told by another while it is still not heard itself: more than was set aside for it.
        shares.reassign(61 * S, &store(), 4, false, &[(0, 61 * S)], &mut level);
        let (part, left) = (
            1.0 - shares.reachable_share(),
            80.0 * part * (1.0 - shares.reachable_share()),
        );
        let beyond = shares.charge_reported(62 * S, &store(), 0, 100.0, false);
        assert!(
            (beyond - (100.0 - 40.0 * part - left)).abs() < 1e-6,
            "{beyond}"
        );
        assert!((shares.charge_reported(62 * S, &store(), 0, 5.0, false) - 5.0).abs() < 1e-6);
    }

    #[test]
    fn of_unknown_use_parts_are_even_and_nothing_is_left_below_none() {
        let mut shares = StoreShares::default();
        let mut level = 80.0;
        shares.reassign(S, &store(), 4, false, &[(1, 0), (2, 0), (3, 0)], &mut level);
        assert!((shares.reachable_share() - 0.25).abs() < 1e-9 && (level - 20.0).abs() < 1e-9);
        // All use was one's that is silent now: the others still have a part.
        let mut shares = StoreShares::default();
        shares.record_usage(S, 2, 100.0);
        shares.reassign(S, &store(), 4, false, &[(2, S)], &mut level);
        assert!((shares.reachable_share() - 0.15).abs() < 1e-9);
    }

    #[test]
    fn by_the_counters_word_nothing_is_put_back() {
        let mut shares = known(S);
        let mut level = 40.0;
        shares.reassign(S, &store(), 4, false, &[(0, S)], &mut level);
        level = 10.0;
        shares.reassign(9 * S, &store(), 4, true, &[], &mut level);
        assert_eq!(level, 10.0);
    }
}
