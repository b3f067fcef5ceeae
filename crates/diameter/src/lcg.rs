//! Sequences of numbers that do not repeat: a linear congruential generator modulo 2^64.

/// Multiplier of a full-period generator (Knuth, MMIX).
const MULTIPLIER: u64 = 0x5851_F42D_4C95_7F2D;

/// The number that follows `state`. All numbers occur once in a period if `increment` is odd.
pub(crate) fn next(state: u64, increment: u64) -> u64 {
    state.wrapping_mul(MULTIPLIER).wrapping_add(increment)
}
