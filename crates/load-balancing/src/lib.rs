//! What each gateway chooses by itself and what has to add up over all of them. No I/O, no clock, no chance of its own: whoever hears the
//! same computes the same.
//!
//! - [`subset`]: which servers each gateway uses;
//! - [`signals`]: what is said of servers in trouble, and which are left alone by all;
//! - [`turns`]: what only one of several should do at a time;
//! - [`fairness`]: how evenly something came to be shared.

pub mod fairness;
pub mod outlier_signals;
pub mod rotating_lease;
pub mod subset;

/// A name's key: the same at every gateway and in every version.
pub fn key(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// What two keys draw together, evenly over all 64 bits.
pub(crate) fn drawn(a: u64, b: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&a.to_le_bytes(), b)
}
