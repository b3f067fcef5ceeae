//! Each member's small table of figures for the others, with their ages. It is told as a whole, by its version; of another's only
//! the latest counts.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Figures of one member, and bytes of one's name.
pub const MOST: usize = 32;
pub const MOST_NAME: usize = 24;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gauge {
    pub name: String,
    pub value: f64,
    /// Milliseconds since it was found out.
    pub age_ms: u32,
}

/// One member's figures, and when each was found out.
#[derive(Clone, Debug, Default)]
pub struct Gauges {
    pub version: u64,
    all: BTreeMap<String, (f64, u64)>,
}

impl Gauges {
    /// False: it is no figure, its name is too long, or there are too many.
    pub fn set(&mut self, now: u64, name: &str, value: f64) -> bool {
        let room = self.all.len() < MOST || self.all.contains_key(name);
        if !room || !value.is_finite() || name.is_empty() || name.len() > MOST_NAME {
            return false;
        }
        self.all.insert(name.into(), (value, now));
        self.version += 1;
        true
    }

    /// It is told no more.
    pub fn clear(&mut self, name: &str) {
        if self.all.remove(name).is_some() {
            self.version += 1;
        }
    }

    /// All figures: name, value, and when it was found out.
    pub fn all(&self) -> impl Iterator<Item = (&str, f64, u64)> + '_ {
        self.all
            .iter()
            .map(|(name, (value, at))| (name.as_str(), *value, *at))
    }

    pub fn told(&self, now: u64) -> Vec<Gauge> {
        let age = |at: u64| u32::try_from(now.saturating_sub(at) / 1_000).unwrap_or(u32::MAX);
        let fact = |(name, (value, at)): (&String, &(f64, u64))| Gauge {
            name: name.clone(),
            value: *value,
            age_ms: age(*at),
        };
        self.all.iter().map(fact).collect()
    }

    /// Takes in all of another's, if they are later than what is known.
    pub fn take(&mut self, now: u64, version: u64, facts: Vec<Gauge>) {
        if version <= self.version {
            return;
        }
        let fine = |f: &Gauge| f.value.is_finite() && f.name.len() <= MOST_NAME;
        let kept = facts.into_iter().take(MOST).filter(fine);
        let at = |f: &Gauge| now.saturating_sub(u64::from(f.age_ms) * 1_000);
        self.all = kept.map(|f| (f.name.clone(), (f.value, at(&f)))).collect();
        self.version = version;
    }

    pub fn get(&self, name: &str) -> Option<(f64, u64)> {
        self.all.get(name).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_latest_counts_and_ages_go_along() {
        let (mut mine, mut theirs) = (Gauges::default(), Gauges::default());
        assert!(mine.set(1_000_000, "strain", 0.5));
        let first = (mine.version, mine.told(3_000_000));
        assert!(mine.set(4_000_000, "strain", 0.7));
        theirs.take(9_000_000, mine.version, mine.told(4_500_000));
        theirs.take(9_000_000, first.0, first.1);
        assert_eq!(theirs.get("strain"), Some((0.7, 8_500_000)));
    }

    #[test]
    fn they_are_bounded_and_figures() {
        let mut facts = Gauges::default();
        let set = (0..100)
            .filter(|n| facts.set(1, &format!("f{n}"), 1.0))
            .count();
        assert_eq!(set, MOST);
        assert!(!facts.set(1, "f1", f64::NAN) && facts.set(1, "f1", 2.0));
        let version = facts.version;
        facts.clear("f1");
        facts.clear("f1");
        assert!(
            facts.get("f1").is_none() && facts.version == version + 1 && facts.set(1, "g", 1.0)
        );
        let mut other = Gauges::default();
        let many = (0..100)
            .map(|n| Gauge {
                name: format!("f{n}"),
                value: 1.0,
                age_ms: 0,
            })
            .collect();
        other.take(1, 5, many);
        assert_eq!(other.told(1).len(), MOST);
    }
}
