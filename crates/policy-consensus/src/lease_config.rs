//! Duration of leases, and allowance for clocks that drift.

/// How long leases last, and by how much each clock may be fast or slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// Duration of a lease by the acceptor's clock.
    pub lease_us: u64,
    /// Bound on clock drift, in thousandths; below 1000.
    pub drift: u64,
}

impl LeaseConfig {
    /// How long a lease holder may rely on a lease of `us` microseconds, if its clock is slow and the acceptor's is fast.
    pub fn shrink_for_drift(&self, us: u64) -> u64 {
        us * (1_000 - self.drift) / (1_000 + self.drift)
    }

    /// How long a lease holder has to wait by its own clock to be sure that `us` microseconds have passed at an acceptor.
    pub fn stretch_for_drift(&self, us: u64) -> u64 {
        (us * (1_000 + self.drift)).div_ceil(1_000 - self.drift)
    }
}

#[cfg(test)]
mod tests;
