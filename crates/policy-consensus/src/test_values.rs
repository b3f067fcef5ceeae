//! Policies and ballots for the unit tests of several modules.

use crate::{Ballot, Policy};

/// Returns a policy of this version without a parent.
pub fn policy(version: u64) -> Policy {
    Policy {
        version,
        digest: [version as u8; 32],
        parent: [0; 32],
    }
}

/// Returns the ballot with this number of the proposer with id 1.
pub fn ballot(number: u64) -> Ballot {
    Ballot {
        number,
        proposer: 1,
    }
}
