//! Lease duration and the allowance for clock drift.

/// The duration of leases and the bound on the drift of each clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// Duration of a lease by the acceptor's clock, in microseconds.
    pub lease_us: u64,
    /// Maximum drift of each clock against true time, in thousandths; below 1000.
    pub max_drift_permille: u64,
}

impl LeaseConfig {
    /// Returns the time for which a lease holder may rely on a lease of `us` microseconds, in microseconds of its own
    /// clock. Assumes the worst case: the holder's clock is slow and the acceptor's clock is fast.
    pub fn shrink_for_drift(&self, us: u64) -> u64 {
        us * (1_000 - self.max_drift_permille) / (1_000 + self.max_drift_permille)
    }

    /// Returns the time that a lease holder has to wait by its own clock, in microseconds, until `us` microseconds
    /// have certainly passed at an acceptor.
    pub fn stretch_for_drift(&self, us: u64) -> u64 {
        (us * (1_000 + self.max_drift_permille)).div_ceil(1_000 - self.max_drift_permille)
    }
}

#[cfg(test)]
mod tests;
