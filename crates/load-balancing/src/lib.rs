//! Load-balancing decisions that each gateway computes locally and that have to be consistent across all gateways.
//!
//! The crate performs no I/O and reads no clock and no random numbers: gateways with the same input compute the same
//! result.
//!
//! - [`subset`]: the servers that each gateway uses;
//! - [`outlier_signals`]: health reports on servers, and the servers that all gateways eject;
//! - [`rotating_lease`]: leases for work that only one of several gateways should do at a time;
//! - [`fairness`]: measures of how evenly a resource was shared.

pub mod fairness;
pub mod outlier_signals;
pub mod rotating_lease;
pub mod subset;

/// Returns the hash of a name. The hash is the same at every gateway and in every version of the gateway.
pub fn stable_hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// Returns a hash of two keys, distributed uniformly over all 64 bits.
pub(crate) fn hash_rank(first: u64, second: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&first.to_le_bytes(), second)
}
