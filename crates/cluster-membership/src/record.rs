//! What is told of one member, and which of two tellings counts.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Names, zones and regions are no longer than this.
pub const MOST_NAME: usize = 64;

/// What a member says of itself. Each change has a higher incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LifecyclePhase {
    /// Not ready yet.
    Joining,
    Ready,
    /// Finishes what it has.
    Draining,
    /// It has gone in good order.
    Left,
}

/// What the others hold of it; of the same incarnation the worse one counts, and the member itself refutes it by a higher one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    Alive,
    Suspect,
    Dead,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub name: String,
    /// Its place in the sets of gateways that requests name.
    pub number: u16,
    pub zone: String,
    pub region: String,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// Drawn by the process at its start: a restarted one is another.
    pub instance_id: u64,
    /// Begins with the time of its start in milliseconds, and grows with each change and each refutation.
    pub incarnation: u64,
    pub phase: LifecyclePhase,
    pub verdict: Liveness,
    pub program: String,
}

impl MemberRecord {
    /// Whether this telling replaces the other.
    pub fn beats(&self, other: &MemberRecord) -> bool {
        let order = |r: &MemberRecord| (r.incarnation, r.instance_id, r.verdict);
        order(self) > order(other)
    }

    /// Whether it names what can be a member: lengths in bounds, nothing that would spoil a log.
    pub fn fits(&self) -> bool {
        let texts = [&self.name, &self.zone, &self.region, &self.program];
        !self.name.is_empty() && texts.iter().all(|t| MemberRecord::is_plain(t))
    }

    pub fn is_plain(text: &str) -> bool {
        let fine = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
        text.len() <= MOST_NAME && text.chars().all(fine)
    }

    /// Neither dead nor gone.
    pub fn there(&self) -> bool {
        self.phase != LifecyclePhase::Left && self.verdict != Liveness::Dead
    }

    pub fn ready(&self) -> bool {
        self.there() && self.phase == LifecyclePhase::Ready
    }

    /// As operators read it.
    pub fn state(&self) -> &'static str {
        match (self.phase, self.verdict) {
            (LifecyclePhase::Left, _) => "left",
            (_, Liveness::Dead) => "dead",
            (_, Liveness::Suspect) => "suspect",
            (LifecyclePhase::Joining, _) => "joining",
            (LifecyclePhase::Ready, _) => "ready",
            (LifecyclePhase::Draining, _) => "draining",
        }
    }

    /// Of what all are to agree on. A suspicion is not: it is over soon, one way or the other.
    pub fn digest(&self) -> u64 {
        let mut h = hasher();
        (
            &self.name,
            self.instance_id,
            self.incarnation,
            self.phase,
            self.verdict == Liveness::Dead,
        )
            .hash(&mut h);
        h.finish()
    }
}

/// The same in every process, so that digests can be compared.
pub fn hasher() -> SipHasher13 {
    SipHasher13::new_with_keys(0x6672_6f73_7468, 0x6174_6368)
}

pub fn hash(of: impl Hash) -> u64 {
    let mut h = hasher();
    of.hash(&mut h);
    h.finish()
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    pub fn record(name: &str, incarnation: u64) -> MemberRecord {
        MemberRecord {
            name: name.into(),
            number: name.trim_start_matches('n').parse().unwrap_or(0),
            zone: "a".into(),
            region: String::new(),
            address: ([127, 0, 0, 1], 7_400).into(),
            instance_id: 1,
            incarnation,
            phase: LifecyclePhase::Ready,
            verdict: Liveness::Alive,
            program: "0.2.0".into(),
        }
    }

    #[test]
    fn the_later_incarnation_counts_and_of_one_the_worse_verdict() {
        let alive = record("n1", 5);
        let dead = MemberRecord {
            verdict: Liveness::Dead,
            ..alive.clone()
        };
        let back = MemberRecord {
            incarnation: 6,
            ..alive.clone()
        };
        assert!(dead.beats(&alive) && !alive.beats(&dead));
        assert!(back.beats(&dead) && !dead.beats(&back));
        assert!(!alive.beats(&alive));
    }

    #[test]
    fn names_that_would_spoil_a_log_are_refused() {
        assert!(record("n1.example-2_b", 1).fits());
        for name in ["", "a b", "a\nb", "\u{e6}", &"x".repeat(MOST_NAME + 1)] {
            assert!(!record(name, 1).fits(), "{name:?}");
        }
    }
}
