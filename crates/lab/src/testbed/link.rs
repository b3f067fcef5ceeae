//! Simulated link for one direction between two processes: decides whether, when and how often a datagram arrives. Uses
//! neither sockets nor a clock.

use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;

/// Faults of a link; the default is a link without faults.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that are delivered twice.
    pub duplicate: f64,
    /// Fraction of datagrams that are delayed by 50 ms more, so that datagrams sent meanwhile overtake them.
    pub reorder: f64,
    pub delay_ms: u64,
    /// Upper bound of a uniformly distributed delay added to `delay_ms`.
    pub jitter_ms: u64,
    /// Rate limit; 0 means none. A datagram that would be queued for more than 200 ms is lost.
    pub bytes_per_s: u64,
    /// Drops all datagrams.
    pub cut: bool,
}

/// Additional delay of a reordered datagram.
const REORDER_DELAY_US: u64 = 50_000;
/// Longest time that a datagram is queued on a rate-limited link.
const MAX_QUEUE_DELAY_US: u64 = 200_000;

/// One direction between two processes.
pub struct Link {
    pub faults: Faults,
    rng: Pcg64Mcg,
    /// Time at which a rate-limited link has sent all queued datagrams.
    busy_until_us: u64,
}

impl Link {
    pub fn new(seed: u64) -> Link {
        Link {
            faults: Faults::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            busy_until_us: 0,
        }
    }

    /// Draws a number from 0 (inclusive) to 1 (exclusive).
    fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// Returns the delay, in microseconds, of each copy of a datagram sent at `now_us`; an empty vector means it is
    /// lost.
    pub fn deliver(&mut self, now_us: u64, bytes: usize) -> Vec<u64> {
        // Four random numbers are drawn for every datagram, whichever faults are set: with the same seed, the n-th
        // datagram gets the same numbers under any faults.
        let [lost, duplicated, reordered, jitter] = [0; 4].map(|_| self.random_fraction());
        let faults = &self.faults;
        if faults.cut || lost < faults.loss {
            return Vec::new();
        }
        let mut delay_us =
            faults.delay_ms * 1_000 + (faults.jitter_ms as f64 * 1_000.0 * jitter) as u64;
        if reordered < faults.reorder {
            delay_us += REORDER_DELAY_US;
        }
        if let Some(transmission_us) = (bytes as u64 * 1_000_000).checked_div(faults.bytes_per_s) {
            let sent_at_us = self.busy_until_us.max(now_us) + transmission_us;
            if sent_at_us - now_us > MAX_QUEUE_DELAY_US {
                return Vec::new();
            }
            self.busy_until_us = sent_at_us;
            delay_us += sent_at_us - now_us;
        }
        let copies = 1 + usize::from(duplicated < faults.duplicate);
        vec![delay_us; copies]
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn deliver_datagrams(faults: Faults, n: u64) -> Vec<Vec<u64>> {
        let mut link = Link::new(3);
        link.faults = faults;
        (0..n).map(|k| link.deliver(k * 1_000, 100)).collect()
    }

    #[test]
    fn a_link_without_faults_delivers_without_delay_and_a_cut_link_delivers_nothing() {
        assert!(deliver_datagrams(Faults::default(), 100)
            .iter()
            .all(|d| *d == [0]));
        assert!(deliver_datagrams(
            Faults {
                cut: true,
                ..Faults::default()
            },
            100
        )
        .iter()
        .all(Vec::is_empty));
    }

    #[test]
    fn fault_rates_match_the_settings_and_a_seed_is_reproducible() {
        let faults = Faults {
            loss: 0.3,
            duplicate: 0.2,
            reorder: 0.1,
            jitter_ms: 200,
            ..Faults::default()
        };
        let all = deliver_datagrams(faults.clone(), 10_000);
        let lost = all.iter().filter(|d| d.is_empty()).count();
        let duplicated = all.iter().filter(|d| d.len() == 2).count();
        assert!(
            (2_800..3_200).contains(&lost) && (1_250..1_550).contains(&duplicated),
            "of 10000 datagrams 2800 to 3200 are lost and 1250 to 1550 delivered twice: {lost}, {duplicated}"
        );
        assert!(all.iter().flatten().all(|delay_us| *delay_us < 250_000));
        assert_eq!(all, deliver_datagrams(faults, 10_000));
    }

    #[test]
    fn a_rate_limited_link_queues_and_then_drops() {
        // 100 bytes are sent each millisecond, twice the rate of the link.
        let all = deliver_datagrams(
            Faults {
                bytes_per_s: 50_000,
                ..Faults::default()
            },
            2_000,
        );
        let passed = all.iter().filter(|d| !d.is_empty()).count();
        assert!(
            (1_000..1_150).contains(&passed),
            "a link at half the sending rate delivers 1000 to 1150 of 2000 datagrams, it delivered {passed}"
        );
        assert!(all
            .iter()
            .flatten()
            .all(|delay_us| *delay_us <= MAX_QUEUE_DELAY_US));
    }
}
