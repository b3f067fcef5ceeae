//! Ballots and majorities.

use serde::{Deserialize, Serialize};

/// The order of attempts to change the register. No two proposers use the same ballot.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Compared first.
    pub number: u64,
    /// The proposer, which decides between equal numbers.
    pub proposer: u64,
}

/// The smallest number that is more than half of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}
