//! The value of the register: a policy, given by its version and digests.

use crate::digest::{hex, Digest};
use serde::{Deserialize, Serialize};

/// A policy as the register holds it. Its document is transferred separately and identified by its digest. Each
/// version is one above its parent's. Version 0 is the policy in each gateway's own files; it is the parent of
/// version 1 and has no document.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Policy {
    /// The policy's version: one above the version of the parent.
    pub version: u64,
    /// SHA-256 of the policy's document.
    pub digest: Digest,
    /// SHA-256 of the parent's document; zeros in versions 0 and 1.
    pub parent: Digest,
}

impl Policy {
    /// Returns whether this policy is a direct successor of `predecessor`; without a predecessor, whether it is a
    /// valid first policy.
    pub fn follows(&self, predecessor: Option<&Policy>) -> bool {
        match predecessor {
            Some(predecessor) => {
                self.version == predecessor.version + 1 && self.parent == predecessor.digest
            }
            None => self.version == 1 && self.parent == [0; 32],
        }
    }

    /// Returns the identifier of this policy.
    pub fn id(&self) -> PolicyId {
        PolicyId {
            version: self.version,
            digest: self.digest,
        }
    }
}

/// The identifier of a policy. Two proposed policies of the same version differ in their digest.
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
    /// Formats the version and the first 12 hexadecimal digits of the digest, for logs and operators.
    pub fn short(&self) -> String {
        format!("{} ({})", self.version, &hex(&self.digest)[..12])
    }
}
