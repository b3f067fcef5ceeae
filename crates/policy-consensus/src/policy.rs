//! The value of the register: a policy by its version and digests.

use crate::digest::{hex, Digest};
use serde::{Deserialize, Serialize};

/// A policy as the register holds it; its document is transferred separately, by its digest. Versions grow by one. Version 0 is what each
/// gateway's own files say, and the parent of version 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Policy {
    /// One above the version of the parent.
    pub version: u64,
    /// SHA-256 of the document.
    pub digest: Digest,
    /// SHA-256 of the parent's document; zeros in version 1.
    pub parent: Digest,
}

impl Policy {
    /// Whether this policy is a direct successor of `predecessor`; without one, whether it can be the first.
    pub fn follows(&self, predecessor: Option<&Policy>) -> bool {
        match predecessor {
            Some(predecessor) => {
                self.version == predecessor.version + 1 && self.parent == predecessor.digest
            }
            None => self.version == 1 && self.parent == [0; 32],
        }
    }

    /// What identifies this policy.
    pub fn id(&self) -> PolicyId {
        PolicyId {
            version: self.version,
            digest: self.digest,
        }
    }
}

/// Identifies a policy: two proposals of the same version differ in their digest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PolicyId {
    /// The policy's version.
    pub version: u64,
    /// SHA-256 of the policy's document.
    pub digest: Digest,
}

impl PolicyId {
    /// The version and the first 12 digits of the digest, for logs and operators.
    pub fn short(&self) -> String {
        format!("{} ({})", self.version, &hex(&self.digest)[..12])
    }
}
