//! Ballots, which order the attempts to change the register, and the size of a majority.

use serde::{Deserialize, Serialize};

/// The ballot of an attempt to change the register. Ballots are totally ordered, and no two proposers use the same one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// The ballot's number, which is compared first.
    pub number: u64,
    /// The id of the proposer, which orders ballots with equal numbers.
    pub proposer: u64,
}

/// Returns the size of a majority of `count` acceptors: the smallest number that is more than half of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}
