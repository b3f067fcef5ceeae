//! Linear congruential generator modulo 2^64, whose numbers do not repeat within its period.

/// Multiplier of a full-period generator (from Knuth's MMIX).
const MULTIPLIER: u64 = 0x5851_F42D_4C95_7F2D;

/// Returns the number that follows `state`. If `increment` is odd, the period contains every number once.
pub(crate) fn next(state: u64, increment: u64) -> u64 {
    state.wrapping_mul(MULTIPLIER).wrapping_add(increment)
}
