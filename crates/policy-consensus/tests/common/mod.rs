//! What the tests with random schedules share: random numbers by a seed, and clocks that drift apart.

/// Random numbers that depend on the seed alone.
pub struct SeededRandom(u64);

impl SeededRandom {
    pub fn new(seed: u64) -> SeededRandom {
        SeededRandom(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// A number from 0 to `bound` - 1.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(0x5851_F42D_4C95_7F2D)
            .wrapping_add(0x1405_7B7E_F767_814F);
        (self.0 >> 33) % bound.max(1)
    }

    /// A seed for another generator.
    #[allow(dead_code)]
    pub fn seed(&self) -> u64 {
        self.0
    }

    /// A clock that is fast or slow by up to 1%.
    pub fn clock(&mut self) -> Clock {
        Clock {
            start: self.below(1_000_000_000),
            rate: 990 + self.below(21),
        }
    }
}

/// A clock that drifts.
#[derive(Clone, Copy)]
pub struct Clock {
    /// What it shows at the true time 0.
    start: u64,
    /// How fast it runs, in thousandths.
    rate: u64,
}

impl Clock {
    /// What the clock shows at a true time.
    pub fn at(self, now: u64) -> u64 {
        self.start + now * self.rate / 1_000
    }
}
