//! Rotating leases, for work that only one of several candidates should do at a time.
//!
//! The holder of a lease is computed from the candidates and the time alone, without messages, and the lease of a
//! holder that is gone passes to another candidate in the next epoch. Two candidates may both hold a lease for as long
//! as their clocks, or the sets of candidates that they know, differ. To probe unhealthy servers, leases granted by
//! messages would be exact but would need messages for each server, whereas a second holder costs only one more probe
//! per epoch.

use crate::hash_rank;

/// Returns the candidate that holds the lease on `resource` in an epoch, chosen by hash; `None` without candidates.
pub fn holder(resource: u64, candidates: impl Iterator<Item = u64>, epoch: u64) -> Option<u64> {
    let epoch_key = hash_rank(resource, epoch);
    candidates.max_by_key(|candidate| (hash_rank(*candidate, epoch_key), *candidate))
}

/// Returns whether `candidate` holds the lease on `resource` at the time `now`. `now` and `epoch_length` are in the
/// same unit.
///
/// Check this at the moment of use, so that a process that was suspended in the meantime finds that its lease has
/// expired.
pub fn is_holder(
    candidate: u64,
    resource: u64,
    candidates: impl Iterator<Item = u64>,
    now: u64,
    epoch_length: u64,
) -> bool {
    holder(resource, candidates, now / epoch_length.max(1)) == Some(candidate)
}

#[cfg(test)]
mod tests;
