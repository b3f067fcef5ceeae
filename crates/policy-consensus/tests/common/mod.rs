//! What drawn schedules share: chance by a seed, and clocks that drift apart.

pub struct Draw(u64);

impl Draw {
    pub fn new(seed: u64) -> Draw {
        Draw(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(0x5851_F42D_4C95_7F2D)
            .wrapping_add(0x1405_7B7E_F767_814F);
        (self.0 >> 33) % n.max(1)
    }

    /// A seed for whoever draws for itself.
    #[allow(dead_code)]
    pub fn seed(&self) -> u64 {
        self.0
    }

    /// A clock of its own, fast or slow by up to 1%.
    pub fn clock(&mut self) -> Clock {
        Clock {
            from: self.below(1_000_000_000),
            rate: 990 + self.below(21),
        }
    }
}

/// Where it began, and how fast it runs, in thousandths.
#[derive(Clone, Copy)]
pub struct Clock {
    from: u64,
    rate: u64,
}

impl Clock {
    pub fn at(self, now: u64) -> u64 {
        self.from + now * self.rate / 1_000
    }
}
