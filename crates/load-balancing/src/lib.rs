//! Choices that each gateway makes by itself and that have to add up over all of them.
//!
//! No I/O, no clock and no randomness of its own: gateways with the same input compute the same result.
//!
//! - [`subset`]: which servers each gateway uses;
//! - [`outlier_signals`]: health reports on servers, and which servers all gateways eject;
//! - [`rotating_lease`]: what only one of several should do at a time;
//! - [`fairness`]: how evenly something was shared.

pub mod fairness;
pub mod outlier_signals;
pub mod rotating_lease;
pub mod subset;

/// The key of a name: the same at every gateway and in every version.
pub fn key(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// A rank that depends on two keys only, spread evenly over all 64 bits.
pub(crate) fn hash_rank(first: u64, second: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&first.to_le_bytes(), second)
}
