//! Seeded random numbers and drifting clocks for the tests with random schedules.

/// A random number generator whose numbers depend on the seed alone.
pub struct SeededRandom(u64);

impl SeededRandom {
    pub fn new(seed: u64) -> SeededRandom {
        SeededRandom(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// Returns a random number from 0 to `bound` - 1.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(0x5851_F42D_4C95_7F2D)
            .wrapping_add(0x1405_7B7E_F767_814F);
        (self.0 >> 33) % bound.max(1)
    }

    /// Returns a seed for another generator.
    #[allow(dead_code)]
    pub fn seed(&self) -> u64 {
        self.0
    }

    /// Returns a clock with a random start that is fast or slow by up to 1%.
    pub fn clock(&mut self) -> Clock {
        Clock {
            start: self.below(1_000_000_000),
            rate: 990 + self.below(21),
        }
    }
}

/// A clock that drifts against true time.
#[derive(Clone, Copy)]
pub struct Clock {
    /// The clock's time at the true time 0, in microseconds.
    start: u64,
    /// The clock's rate relative to true time, in thousandths.
    rate: u64,
}

impl Clock {
    /// Returns the clock's time at the true time `now`, in microseconds.
    pub fn at(self, now: u64) -> u64 {
        self.start + now * self.rate / 1_000
    }
}
