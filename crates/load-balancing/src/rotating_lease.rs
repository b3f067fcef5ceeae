//! Leases that rotate: what only one of several candidates should do at a time.
//!
//! The holder of a lease follows from the candidates and the time alone, so no message is needed, and the lease of a holder
//! that is gone passes to another candidate with the next epoch. Two candidates may both hold a lease for as long as their
//! clocks, or the candidates that they know, differ. Leases granted by messages would be exact, at the cost of messages for
//! each unhealthy server; here the only cost of two holders is one more request an epoch.

use crate::hash_rank;

/// The candidate that holds the lease on `resource` in an epoch, chosen by hash; `None` without candidates.
pub fn holder(resource: u64, candidates: impl Iterator<Item = u64>, epoch: u64) -> Option<u64> {
    let epoch_key = hash_rank(resource, epoch);
    candidates.max_by_key(|candidate| (hash_rank(*candidate, epoch_key), *candidate))
}

/// Whether `me` holds the lease on `resource` now. `now` and `epoch_length` are in the same unit.
///
/// To be checked at the moment of use: a process that was stopped meanwhile finds that its lease has expired.
pub fn holds(
    me: u64,
    resource: u64,
    candidates: impl Iterator<Item = u64>,
    now: u64,
    epoch_length: u64,
) -> bool {
    holder(resource, candidates, now / epoch_length.max(1)) == Some(me)
}

#[cfg(test)]
mod tests;
