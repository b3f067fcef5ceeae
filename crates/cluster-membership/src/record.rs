//! What is disseminated about one member, and which of two records about it takes precedence.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

#[cfg(test)]
pub(crate) mod tests;

/// Upper bound of a name, zone, region or program version, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;

/// What a member says of itself. Each change comes with a higher incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LifecyclePhase {
    /// Not ready yet.
    Joining,
    /// Takes requests.
    Ready,
    /// Finishes the requests it has and takes no new ones.
    Draining,
    /// Shut down gracefully.
    Left,
}

/// What the other members hold of a member. Within one incarnation the worse state takes precedence; the member itself refutes
/// it by a higher incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// Believed to run.
    Alive,
    /// Did not answer a probe; confirmed dead unless it refutes in time.
    Suspect,
    /// Confirmed dead.
    Dead,
}

/// A member's state as it is disseminated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name, unique in the cluster and stable across restarts.
    pub name: String,
    /// Its position in the sets of gateways that requests name.
    pub number: u16,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Address at which the other members reach it.
    pub address: SocketAddr,
    /// Random id chosen by the process at its start: a restarted process has another.
    pub instance_id: u64,
    /// Begins with the time of its start in milliseconds since 1970, and grows with each change and each refutation.
    pub incarnation: u64,
    /// What the member says of itself.
    pub phase: LifecyclePhase,
    /// What the others hold of it.
    pub liveness: Liveness,
    /// Version of the program that it runs.
    pub program: String,
}

impl MemberRecord {
    /// Whether this record takes precedence over the other one.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (u64, u64, Liveness) {
        (self.incarnation, self.instance_id, self.liveness)
    }

    /// Whether all texts are in bounds and plain (see [`MemberRecord::is_plain`]), and the name is not empty.
    pub fn is_valid(&self) -> bool {
        let texts = [&self.name, &self.zone, &self.region, &self.program];
        let all_plain = texts.iter().all(|text| MemberRecord::is_plain(text));
        !self.name.is_empty() && all_plain
    }

    /// Whether a text has at most [`MAX_TEXT_BYTES`] and only characters that are safe in a line of the log.
    pub fn is_plain(text: &str) -> bool {
        let is_safe = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
        text.len() <= MAX_TEXT_BYTES && text.chars().all(is_safe)
    }

    /// Whether it takes part in the cluster: it is neither dead nor has it left.
    pub fn is_present(&self) -> bool {
        self.phase != LifecyclePhase::Left && self.liveness != Liveness::Dead
    }

    /// Whether it is present and takes requests.
    pub fn is_ready(&self) -> bool {
        self.is_present() && self.phase == LifecyclePhase::Ready
    }

    /// Phase and liveness as one term for operators.
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

    /// Digest of what all members converge on. A suspicion is left out, since it is settled soon either way.
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

/// A hash that is the same in every process, so that digests can be compared between members.
pub fn stable_hash(value: impl Hash) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x6672_6f73_7468, 0x6174_6368);
    value.hash(&mut hasher);
    hasher.finish()
}
