//! Values that the unit tests of several modules use.

use crate::{Ballot, Policy};

/// A policy of this version without a parent.
pub fn policy(version: u64) -> Policy {
    Policy {
        version,
        digest: [version as u8; 32],
        parent: [0; 32],
    }
}

/// The ballot of this number by the proposer 1.
pub fn ballot(number: u64) -> Ballot {
    Ballot {
        number,
        proposer: 1,
    }
}
