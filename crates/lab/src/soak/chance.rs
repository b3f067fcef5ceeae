//! Seeded random choices of the soak.

use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Deterministic random number generator.
pub struct Chance(Pcg64Mcg);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Returns a generator with a seed drawn from this one, for a concurrent task of the same run.
    pub fn fork(&mut self) -> Chance {
        Chance::new(self.0.next_u64())
    }

    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Draws a number below `n`, which must not be 0.
    pub fn below(&mut self, n: usize) -> usize {
        (self.0.next_u64() % n as u64) as usize
    }

    /// Returns true with a probability of `percent`.
    pub fn happens(&mut self, percent: u64) -> bool {
        self.0.next_u64() % 100 < percent
    }

    /// Draws a duration between `from` and `to` milliseconds, both included.
    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.0.next_u64() % (to - from + 1))
    }

    /// Draws an element of a slice that is not empty.
    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> &'a T {
        &items[self.below(items.len())]
    }
}
