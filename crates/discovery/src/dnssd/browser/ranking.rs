//! Counts of the ready instances by SRV priority and weight: those with a PTR record and a known address that are not
//! marked as draining, on standby or not. The counts are updated instance by instance, because a pass over thousands
//! of instances for each reply would delay all other work.

use crate::dnssd::instance_records::ServiceLocation;
use crate::dnssd::wire::Name;
use std::collections::BTreeMap;

/// The part of an instance's SRV record whose effect depends on the records of other instances.
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

/// Summary of the ready instances. Those with the lowest priority value serve; the others are on standby (RFC 2782).
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) struct RankSummary {
    /// The lowest priority value of any ready instance; `None` while none is ready.
    pub(super) serving_priority: Option<u16>,
    /// Whether any ready instance has an SRV weight above 0.
    pub(super) has_weights: bool,
}

/// Counts of the ready instances by priority and weight.
#[derive(Default)]
pub(super) struct InstanceRanking {
    ready_by_priority: BTreeMap<u16, usize>,
    ready_with_weight: usize,
    counted_ranks: BTreeMap<Name, InstanceRank>,
}

impl InstanceRanking {
    /// Replaces an instance's rank in the counts; `None`: the instance is not ready and is not counted.
    pub(super) fn update(&mut self, name: &Name, rank: Option<InstanceRank>) {
        let previous = match rank {
            Some(rank) => self.counted_ranks.insert(name.clone(), rank),
            None => self.counted_ranks.remove(name),
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
