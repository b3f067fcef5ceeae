//! One policy everywhere or nowhere. Keepers hold a register ([`keeper`]) that a proposer changes whole ([`proposer`]); a gateway lets
//! requests in only under a version on which it holds a lease from a majority of them ([`tenant`]).
//!
//! What is promised, and why it holds, is on the page `docs/policy-changes.md`. All of this is free of sockets, disks, clocks and
//! chance: times are microseconds of the caller's own clock, which only runs forward.
#![expect(
    clippy::items_after_statements,
    clippy::match_bool,
    clippy::semicolon_if_nothing_returned,
    clippy::single_match_else,
    clippy::too_many_lines,
    missing_docs
)]

pub mod acceptor;
pub mod document;
pub mod document_store;
pub mod lease_holder;
pub mod message;
pub mod node;
pub mod proposer;
pub mod record;
pub mod state_directory;

use serde::{Deserialize, Serialize};

/// A policy, as far as agreement on it goes: its text goes by its digest. Versions grow by one; version 0 is what each gateway's own
/// files say, and the parent of the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Policy {
    pub version: u64,
    /// Of the whole document, and of that which it follows on.
    pub digest: [u8; 32],
    pub parent: [u8; 32],
}

impl Policy {
    pub fn follows(&self, on: Option<&Policy>) -> bool {
        match on {
            Some(on) => self.version == on.version + 1 && self.parent == on.digest,
            None => self.version == 1 && self.parent == [0; 32],
        }
    }

    pub fn id(&self) -> PolicyId {
        PolicyId {
            version: self.version,
            digest: self.digest,
        }
    }
}

/// Which policy: two documents of one version differ in their digest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PolicyId {
    pub version: u64,
    pub digest: [u8; 32],
}

/// The order of attempts to change the register; no two proposers have the same.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    pub number: u64,
    pub proposer: u64,
}

/// How long leases last, and by how much each clock may be fast or slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    pub lease_us: u64,
    /// Parts in a thousand; below a thousand.
    pub drift: u64,
}

impl LeaseConfig {
    /// For so long a tenant takes a lease of such a length: its clock may be slow, the keeper's fast.
    pub fn shrink_for_drift(&self, us: u64) -> u64 {
        us * (1_000 - self.drift) / (1_000 + self.drift)
    }

    /// After so long by its own clock a tenant may be sure that such a time has passed at a keeper.
    pub fn stretch_for_drift(&self, us: u64) -> u64 {
        (us * (1_000 + self.drift)).div_ceil(1_000 - self.drift)
    }
}

/// More than half of so many.
pub fn majority(of: usize) -> usize {
    of / 2 + 1
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    pub fn policy(version: u64) -> Policy {
        Policy {
            version,
            digest: [version as u8; 32],
            parent: [0; 32],
        }
    }

    pub fn ballot(number: u64) -> Ballot {
        Ballot {
            number,
            proposer: 1,
        }
    }

    /// The tenant's clock slow and the keeper's fast, and the other way round, as far as they may be.
    #[test]
    fn clocks_that_drift_make_no_lease_longer_and_no_wait_shorter() {
        let times = LeaseConfig {
            lease_us: 1_000_000,
            drift: 10,
        };
        // So much true time passes while a clock of such a rate shows so much.
        let truly = |shows: u64, rate: u64| shows as f64 * 1_000.0 / rate as f64;
        for us in [1, 999, 1_000_000, 60_000_000] {
            assert!(
                truly(times.shrink_for_drift(us), 990) <= truly(us, 1_010),
                "{us}"
            );
            assert!(
                truly(times.stretch_for_drift(us), 1_010) >= truly(us, 990),
                "{us}"
            );
        }
        assert!(
            times.shrink_for_drift(1_000_000) > 980_000
                && times.stretch_for_drift(1_000_000) < 1_021_000
        );
    }
}
