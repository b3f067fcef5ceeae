//! The disseminated state of one member, and the precedence between two records of it.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

#[cfg(test)]
pub(crate) mod tests;

/// Upper bound of the length of a name, zone, region or program version, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;

/// The lifecycle phase that a member publishes of itself. Each change has a higher incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LifecyclePhase {
    /// The member has started and is not ready yet.
    Joining,
    /// The member takes requests.
    Ready,
    /// The member completes its requests and takes no new ones.
    Draining,
    /// The member has notified the others that it shuts down.
    Left,
}

/// The state of a member according to the failure detectors of the others. Within one incarnation the worse state takes
/// precedence; the member itself refutes it by a higher incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// The member is considered running.
    Alive,
    /// The member did not answer a probe. It is declared dead unless it refutes the suspicion in time.
    Suspect,
    /// The member was declared dead after a suspicion timed out.
    Dead,
}

/// A member's state as it is disseminated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name, unique in the cluster and stable across restarts.
    pub name: String,
    /// Gateway number, unique in the cluster and below
    /// [`MembershipConfig::gateway_count`](crate::MembershipConfig::gateway_count). A request names the gateways of its
    /// customer by the first one's number and a count.
    pub number: u16,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Address at which the other members reach this one.
    pub address: SocketAddr,
    /// Random id that the process chooses at its start; a restarted process has a different one.
    pub instance_id: u64,
    /// Incarnation: starts as the process's start time in milliseconds since 1970 and grows with each change and
    /// refutation.
    pub incarnation: u64,
    /// Lifecycle phase, as published by the member.
    pub phase: LifecyclePhase,
    /// Liveness according to the other members.
    pub liveness: Liveness,
    /// Version of the program that the member runs.
    pub program: String,
}

impl MemberRecord {
    /// Returns whether this record takes precedence over `other`.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        self.precedence() > other.precedence()
    }

    /// Returns the key by which records of one member are ordered; the greatest one takes precedence.
    fn precedence(&self) -> (u64, u64, Liveness) {
        (self.incarnation, self.instance_id, self.liveness)
    }

    /// Returns whether all texts are plain (see [`MemberRecord::is_plain`]) and the name is not empty.
    pub fn is_valid(&self) -> bool {
        let texts = [&self.name, &self.zone, &self.region, &self.program];
        let all_plain = texts.iter().all(|text| MemberRecord::is_plain(text));
        !self.name.is_empty() && all_plain
    }

    /// Returns whether a text has at most [`MAX_TEXT_BYTES`] bytes, all of them ASCII letters, digits, `-`, `.` or
    /// `_`, so that it is safe in a log line.
    pub fn is_plain(text: &str) -> bool {
        let is_safe = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
        text.len() <= MAX_TEXT_BYTES && text.chars().all(is_safe)
    }

    /// Returns whether the member takes part in the cluster: it is neither dead nor has it left.
    pub fn is_present(&self) -> bool {
        self.phase != LifecyclePhase::Left && self.liveness != Liveness::Dead
    }

    /// Returns whether the member is present and takes requests.
    pub fn is_ready(&self) -> bool {
        self.is_present() && self.phase == LifecyclePhase::Ready
    }

    /// Returns phase and liveness as one term for operators.
    pub fn state(&self) -> &'static str {
        match (self.phase, self.liveness) {
            (LifecyclePhase::Left, _) => "left",
            (_, Liveness::Dead) => "dead",
            (_, Liveness::Suspect) => "suspect",
            (LifecyclePhase::Joining, _) => "joining",
            (LifecyclePhase::Ready, _) => "ready",
            (LifecyclePhase::Draining, _) => "draining",
        }
    }

    /// Returns the digest of the state on which all members converge. Suspicion is left out, since it soon ends
    /// either way.
    pub fn digest(&self) -> u64 {
        stable_hash((
            &self.name,
            self.instance_id,
            self.incarnation,
            self.phase,
            self.liveness == Liveness::Dead,
        ))
    }
}

/// Returns a hash that is the same in every process, so that members can compare digests.
pub fn stable_hash(value: impl Hash) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x6672_6f73_7468, 0x6174_6368);
    value.hash(&mut hasher);
    hasher.finish()
}
