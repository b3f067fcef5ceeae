//! Dissemination of the usage that gateways admitted. Each member sends its own counters to all others until they have them.
//! Either side says which of the other's changes it has and is sent those after that: a lost datagram is made up for by the next
//! one, and one that comes twice or late changes nothing, since counters only grow. Times are in microseconds.

use crate::usage_counters::{InstanceKey, UsageCounters, UsageKey, WINDOW_US};
use crate::wire::{DatagramWriter, UsageGroup};
use std::collections::{BTreeMap, HashMap};

/// Counters are in thousandths of a unit.
const PARTS_PER_UNIT: f64 = 1_000.0;
/// Usage received this soon after its instance was first heard of is counted as usage before that.
const CATCH_UP_US: u64 = 300_000;
/// Upper bound of the instances that are remembered as known.
const MAX_KNOWN_INSTANCES: usize = 8_192;

/// How far one other member and this one have sent each other their usage.
#[derive(Clone, Debug, Default)]
pub struct UsageProgress {
    /// The other one has our changes up to and including this one.
    pub acked: u64,
    /// We have its changes up to and including this one.
    pub received: u64,
    /// Numbers of gateways that it does not hear directly.
    pub wanted_gateways: Vec<u16>,
    /// Our changes up to and including this one were relayed to it in the current round.
    relayed: u64,
}

/// Usage of other gateways that was not known before, in units.
#[derive(Debug, Default, PartialEq)]
pub struct UsageChanges {
    /// Gateway, customer, and units.
    pub uses: Vec<(u32, u32, f64)>,
    /// Customer, and units admitted before their gateway was first heard of.
    pub past: Vec<(u32, f64)>,
}

impl UsageChanges {
    /// Whether nothing is new.
    pub fn is_empty(&self) -> bool {
        self.uses.is_empty() && self.past.is_empty()
    }
}

/// Which of a member's usage a datagram carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageCoverage {
    /// Number of the last change carried.
    pub up_to: u64,
    /// Whether these are all.
    pub is_complete: bool,
}

/// The usage of all gateways as this member knows it.
pub struct UsageGossip {
    local: InstanceKey,
    gateways: u16,
    counters: UsageCounters,
    /// Own usage since the last tick, in units.
    pending_own: HashMap<u32, f64>,
    started_at_us: Option<u64>,
    /// Usage of others since the last tick, in thousandths of a unit, by gateway and customer.
    grown: BTreeMap<(u16, u32), u64>,
    /// The same, from before their gateway was first heard of, by customer.
    past: BTreeMap<u32, u64>,
    /// When each instance was first heard of.
    known_since_us: BTreeMap<InstanceKey, u64>,
}

impl UsageGossip {
    /// Nothing is known yet. `gateways`: how many there are; `max_entries`: upper bound of the counters retained.
    pub fn new(local: InstanceKey, gateways: u16, max_entries: usize) -> UsageGossip {
        UsageGossip {
            local,
            gateways,
            counters: UsageCounters::new(max_entries),
            pending_own: HashMap::new(),
            started_at_us: None,
            grown: BTreeMap::new(),
            past: BTreeMap::new(),
            known_since_us: BTreeMap::new(),
        }
    }

    /// All counters.
    pub fn counters(&self) -> &UsageCounters {
        &self.counters
    }

    /// Records that this gateway admitted units of a customer.
    pub fn record_own(&mut self, tag: u32, units: f64) {
        if units.is_finite() && units > 0.0 {
            *self.pending_own.entry(tag).or_default() += units;
        }
    }

    /// Records that an instance is heard for the first time.
    pub fn record_instance(&mut self, now_us: u64, instance: InstanceKey) {
        self.known_since_us.entry(instance).or_insert(now_us);
    }

    /// Merges what another member sent.
    pub fn merge(&mut self, now_us: u64, groups: Vec<UsageGroup>) {
        for UsageGroup { key, totals } in groups {
            let instance = InstanceKey {
                gateway: key.gateway,
                instance_id: key.instance_id,
            };
            // Only this process knows its own usage.
            if instance == self.local || key.gateway >= self.gateways {
                continue;
            }
            for counter in totals {
                let growth = self.counters.merge(now_us, key, counter.tag, counter.total);
                if growth > 0 {
                    self.record_growth(now_us, instance, counter.tag, growth);
                }
            }
        }
    }

    fn record_growth(&mut self, now_us: u64, instance: InstanceKey, tag: u32, growth: u64) {
        let known_since_us = *self.known_since_us.entry(instance).or_insert(now_us);
        // The first report of an unknown instance covers up to three windows, not just the last moments.
        if now_us.saturating_sub(known_since_us) < CATCH_UP_US {
            *self.past.entry(tag).or_default() += growth;
        } else {
            *self.grown.entry((instance.gateway, tag)).or_default() += growth;
        }
    }

    /// Moves own usage into the counters, drops what is outdated, and returns the usage of others since the last tick.
    pub fn tick(&mut self, now_us: u64) -> UsageChanges {
        self.count_own(now_us);
        self.counters.drop_silent_instances(now_us);
        self.forget_oldest_instances();
        let to_units = |parts: u64| parts as f64 / PARTS_PER_UNIT;
        let uses = std::mem::take(&mut self.grown)
            .into_iter()
            .map(|((gateway, tag), parts)| (u32::from(gateway), tag, to_units(parts)))
            .collect();
        let past = std::mem::take(&mut self.past)
            .into_iter()
            .map(|(tag, parts)| (tag, to_units(parts)))
            .collect();
        UsageChanges { uses, past }
    }

    fn count_own(&mut self, now_us: u64) {
        let started_at_us = *self.started_at_us.get_or_insert(now_us);
        let window = now_us.saturating_sub(started_at_us) / WINDOW_US;
        let key = UsageKey {
            gateway: self.local.gateway,
            instance_id: self.local.instance_id,
            window: u32::try_from(window).unwrap_or(u32::MAX),
        };
        for (tag, units) in self.pending_own.drain() {
            let parts = (units * PARTS_PER_UNIT).ceil() as u64;
            let total = self.counters.total(key, tag).saturating_add(parts);
            self.counters.merge(now_us, key, tag, total);
        }
    }

    fn forget_oldest_instances(&mut self) {
        while self.known_since_us.len() > MAX_KNOWN_INSTANCES {
            let oldest = self
                .known_since_us
                .iter()
                .min_by_key(|(_, since_us)| **since_us)
                .map(|(instance, _)| *instance);
            if let Some(instance) = oldest {
                self.known_since_us.remove(&instance);
            }
        }
    }

    /// Adds to a datagram what its receiver does not have yet: own usage, usage of the receiver's earlier instances, and, as far
    /// as there is room, usage of the gateways that it does not hear directly.
    pub fn write(
        &self,
        progress: &mut UsageProgress,
        receiver: InstanceKey,
        writer: &mut DatagramWriter,
    ) -> UsageCoverage {
        let mut coverage = UsageCoverage {
            up_to: self.counters.last_change(),
            is_complete: true,
        };
        for entry in self.counters.changes_after(progress.acked) {
            let key = entry.key;
            let is_own = key.gateway == self.local.gateway;
            let is_earlier_of_receiver =
                key.gateway == receiver.gateway && key.instance_id != receiver.instance_id;
            let is_due = is_own || is_earlier_of_receiver;
            if is_due && !writer.add_usage(key, entry.tag, entry.total) {
                coverage.up_to = entry.change - 1;
                coverage.is_complete = false;
                break;
            }
        }
        self.relay_wanted(progress, writer);
        coverage
    }

    /// Adds usage of the gateways that the receiver does not hear directly: again and again from the first change, since it does
    /// not acknowledge these.
    fn relay_wanted(&self, progress: &mut UsageProgress, writer: &mut DatagramWriter) {
        let relayed = std::mem::take(&mut progress.relayed);
        if progress.wanted_gateways.is_empty() {
            return;
        }
        let first_not_added = self
            .counters
            .changes_after(relayed)
            .filter(|entry| progress.wanted_gateways.contains(&entry.key.gateway))
            .find(|entry| !writer.add_usage(entry.key, entry.tag, entry.total));
        if let Some(entry) = first_not_added {
            progress.relayed = entry.change - 1;
        }
    }
}
