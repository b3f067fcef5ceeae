//! Chance by a seed.

use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

pub struct Chance(Pcg64Mcg);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Another generator, for another part of the same run.
    pub fn fork(&mut self) -> Chance {
        Chance::new(self.0.next_u64())
    }

    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Below `n`, which is above 0.
    pub fn below(&mut self, n: usize) -> usize {
        (self.0.next_u64() % n as u64) as usize
    }

    /// True in so many of a hundred cases.
    pub fn percent(&mut self, n: u64) -> bool {
        self.0.next_u64() % 100 < n
    }

    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.0.next_u64() % (to - from + 1))
    }

    pub fn pick<'a, T>(&mut self, of: &'a [T]) -> &'a T {
        &of[self.below(of.len())]
    }
}
