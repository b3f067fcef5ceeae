//! Counts of ready instances by SRV priority and weight, kept up to date instance by instance: a pass over thousands of
//! instances for each reply would delay everything else.

use crate::dnssd::instance_records::ServiceLocation;
use crate::dnssd::wire::Name;
use std::collections::BTreeMap;

/// The part of an SRV record that depends on those of other instances.
#[derive(Clone, Copy)]
pub(super) struct InstanceRank {
    priority: u16,
    has_weight: bool,
}

impl From<&ServiceLocation> for InstanceRank {
    fn from(location: &ServiceLocation) -> Self {
        InstanceRank {
            priority: location.priority,
            has_weight: location.weight > 0,
        }
    }
}

/// What all ready instances together say: the lowest priority of which one is ready serves, the others stand by (RFC 2782).
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) struct RankSummary {
    /// The lowest priority of any ready instance.
    pub(super) serving_priority: Option<u16>,
    /// Whether any ready instance has a weight above 0.
    pub(super) has_weights: bool,
}

/// Ready instances by priority and weight.
#[derive(Default)]
pub(super) struct InstanceRanking {
    ready_by_priority: BTreeMap<u16, usize>,
    ready_with_weight: usize,
    counted: BTreeMap<Name, InstanceRank>,
}

impl InstanceRanking {
    /// Counts an instance under its rank; `None`: it is not ready.
    pub(super) fn update(&mut self, name: &Name, rank: Option<InstanceRank>) {
        let previous = match rank {
            Some(rank) => self.counted.insert(name.clone(), rank),
            None => self.counted.remove(name),
        };
        if let Some(previous) = previous {
            self.subtract(previous);
        }
        if let Some(rank) = rank {
            self.ready_with_weight += usize::from(rank.has_weight);
            *self.ready_by_priority.entry(rank.priority).or_default() += 1;
        }
    }

    fn subtract(&mut self, rank: InstanceRank) {
        self.ready_with_weight -= usize::from(rank.has_weight);
        if let Some(count) = self.ready_by_priority.get_mut(&rank.priority) {
            *count -= 1;
            if *count == 0 {
                self.ready_by_priority.remove(&rank.priority);
            }
        }
    }

    pub(super) fn summary(&self) -> RankSummary {
        RankSummary {
            serving_priority: self
                .ready_by_priority
                .first_key_value()
                .map(|(priority, _)| *priority),
            has_weights: self.ready_with_weight > 0,
        }
    }
}
