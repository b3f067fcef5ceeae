//! One direction between two processes: when a datagram arrives, if it does, and how often. No sockets and no clock.

use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;

/// What is wrong with a link; the default is nothing.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Shares of datagrams that are lost, that come twice, and that are overtaken by those of the next 50 ms.
    pub loss: f64,
    pub duplicate: f64,
    pub reorder: f64,
    pub delay_ms: u64,
    /// Up to so much more, evenly.
    pub jitter_ms: u64,
    /// 0: no limit. What does not fit within 200 ms is lost.
    pub bytes_per_s: u64,
    /// Nothing passes.
    pub cut: bool,
}

/// An overtaken datagram waits so long.
const OVERTAKEN_US: u64 = 50_000;
/// What a limited link holds back at most.
const QUEUE_US: u64 = 200_000;

pub struct Link {
    pub faults: Faults,
    rng: Pcg64Mcg,
    /// When a limited link has sent what it was given.
    busy_till: u64,
}

impl Link {
    pub fn new(seed: u64) -> Link {
        Link {
            faults: Faults::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            busy_till: 0,
        }
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// How much later each copy of a datagram that comes at `now` arrives, in microseconds; none: it is lost.
    pub fn pass(&mut self, now: u64, bytes: usize) -> Vec<u64> {
        // Drawn in any case, so that the same seed gives the same fate to the same datagram.
        let [lost, twice, late, more] = [0; 4].map(|_| self.chance());
        let f = &self.faults;
        if f.cut || lost < f.loss {
            return Vec::new();
        }
        let mut after = f.delay_ms * 1_000 + (f.jitter_ms as f64 * 1_000.0 * more) as u64;
        if late < f.reorder {
            after += OVERTAKEN_US;
        }
        if let Some(takes) = (bytes as u64 * 1_000_000).checked_div(f.bytes_per_s) {
            let sent = self.busy_till.max(now) + takes;
            if sent - now > QUEUE_US {
                return Vec::new();
            }
            self.busy_till = sent;
            after += sent - now;
        }
        let copies = 1 + usize::from(twice < f.duplicate);
        vec![after; copies]
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn through(faults: Faults, n: u64) -> Vec<Vec<u64>> {
        let mut link = Link::new(3);
        link.faults = faults;
        (0..n).map(|k| link.pass(k * 1_000, 100)).collect()
    }

    #[test]
    fn a_healthy_link_passes_all_at_once_and_a_cut_one_nothing() {
        assert!(through(Faults::default(), 100).iter().all(|d| *d == [0]));
        assert!(through(
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
    fn shares_are_kept_and_the_same_seed_draws_the_same() {
        let faults = Faults {
            loss: 0.3,
            duplicate: 0.2,
            reorder: 0.1,
            jitter_ms: 200,
            ..Faults::default()
        };
        let all = through(faults.clone(), 10_000);
        let lost = all.iter().filter(|d| d.is_empty()).count();
        let twice = all.iter().filter(|d| d.len() == 2).count();
        assert!(
            (2_800..3_200).contains(&lost) && (1_250..1_550).contains(&twice),
            "{lost} {twice}"
        );
        assert!(all.iter().flatten().all(|after| *after < 250_000));
        assert_eq!(all, through(faults, 10_000));
    }

    #[test]
    fn a_limited_link_holds_back_and_then_drops() {
        // 100 bytes a millisecond come, half of that passes.
        let all = through(
            Faults {
                bytes_per_s: 50_000,
                ..Faults::default()
            },
            2_000,
        );
        let passed = all.iter().filter(|d| !d.is_empty()).count();
        assert!((1_000..1_150).contains(&passed), "{passed}");
        assert!(all.iter().flatten().all(|after| *after <= QUEUE_US));
    }
}
