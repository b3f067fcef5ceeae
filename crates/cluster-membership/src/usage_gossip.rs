//! Dissemination of the usage that gateways admitted. Each member sends its own counters to every other member until
//! that member has acknowledged them. Each datagram acknowledges its receiver's changes up to a change number, and
//! the receiver then sends only later changes. The next datagram thus makes up for a lost one, and a duplicate or
//! late one has no effect, since counters only grow. Times are in microseconds.

use crate::usage_counters::{InstanceKey, UsageCounters, UsageKey, WINDOW_US};
use crate::wire::{DatagramWriter, UsageGroup};
use std::collections::{BTreeMap, HashMap};

/// Resolution of the counters: one count is a thousandth of a unit.
const MILLIUNITS_PER_UNIT: f64 = 1_000.0;
/// Time after an instance became known to this member during which the growth of its counters is reported as admitted
/// before the instance became known.
const CATCH_UP_PERIOD_US: u64 = 300_000;
/// Upper bound of the instances whose time of becoming known is remembered.
const MAX_KNOWN_INSTANCES: usize = 8_192;

/// Progress of the exchange of usage with one other member.
#[derive(Clone, Debug, Default)]
pub struct UsageProgress {
    /// Change number up to which the other member has acknowledged this member's usage changes.
    pub acked: u64,
    /// Change number up to which all usage changes of the other member have been received.
    pub received: u64,
    /// Numbers of the gateways from which the other member receives no datagrams directly.
    pub wanted_gateways: Vec<u16>,
    /// Change number up to which usage was relayed to the other member in the current round.
    relayed: u64,
}

/// Usage of other gateways that was reported to this member since the last tick, in units.
#[derive(Debug, Default, PartialEq)]
pub struct ReportedUsage {
    /// Newly reported usage, as gateway number, customer and units.
    pub uses: Vec<(u32, u32, f64)>,
    /// Usage admitted before its gateway's process instance became known to this member, as customer and units.
    pub earlier_uses: Vec<(u32, f64)>,
}

impl ReportedUsage {
    /// Returns whether there is no new usage.
    pub fn is_empty(&self) -> bool {
        self.uses.is_empty() && self.earlier_uses.is_empty()
    }
}

/// The part of the sender's usage that a datagram carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageCoverage {
    /// Change number up to which the datagram covers the sender's usage changes.
    pub up_to: u64,
    /// Whether the datagram carries all usage that the receiver lacks of the sender and of the receiver's earlier
    /// instances; relayed usage of other gateways is not considered.
    pub is_complete: bool,
}

/// The usage of all gateways, as known to this member.
pub struct UsageGossip {
    local: InstanceKey,
    gateways: u16,
    counters: UsageCounters,
    /// This gateway's own usage since the last tick, in units by customer.
    pending_own: HashMap<u32, f64>,
    started_at_us: Option<u64>,
    /// Growth of the other gateways' usage since the last tick, in thousandths of a unit by gateway and customer.
    growth: BTreeMap<(u16, u32), u64>,
    /// Growth since the last tick of usage admitted before its gateway's process instance became known, in
    /// thousandths of a unit by customer.
    earlier_growth: BTreeMap<u32, u64>,
    /// When each instance became known to this member.
    known_since_us: BTreeMap<InstanceKey, u64>,
}

impl UsageGossip {
    /// Creates the state without any usage. `gateways`: number of gateways; `max_entries`: upper bound of the
    /// retained counters.
    pub fn new(local: InstanceKey, gateways: u16, max_entries: usize) -> UsageGossip {
        UsageGossip {
            local,
            gateways,
            counters: UsageCounters::new(max_entries),
            pending_own: HashMap::new(),
            started_at_us: None,
            growth: BTreeMap::new(),
            earlier_growth: BTreeMap::new(),
            known_since_us: BTreeMap::new(),
        }
    }

    /// Returns the counters of all gateways.
    pub fn counters(&self) -> &UsageCounters {
        &self.counters
    }

    /// Records that this gateway admitted `units` of the customer `tag`.
    pub fn record_own(&mut self, tag: u32, units: f64) {
        if units.is_finite() && units > 0.0 {
            *self.pending_own.entry(tag).or_default() += units;
        }
    }

    /// Records that an instance became known, unless it was known before.
    pub fn record_instance(&mut self, now_us: u64, instance: InstanceKey) {
        self.known_since_us.entry(instance).or_insert(now_us);
    }

    /// Merges the usage counters in a datagram from another member.
    pub fn merge(&mut self, now_us: u64, groups: Vec<UsageGroup>) {
        for UsageGroup { key, totals } in groups {
            let instance = InstanceKey {
                gateway: key.gateway,
                instance_id: key.instance_id,
            };
            // Only this process knows its own usage, and gateway numbers out of range are invalid.
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

    /// Adds the growth of a counter to the usage to report at the next tick.
    fn record_growth(&mut self, now_us: u64, instance: InstanceKey, tag: u32, growth: u64) {
        let known_since_us = *self.known_since_us.entry(instance).or_insert(now_us);
        // The first report of a new instance covers up to three windows of past usage, so its growth is not reported
        // as current.
        if now_us.saturating_sub(known_since_us) < CATCH_UP_PERIOD_US {
            *self.earlier_growth.entry(tag).or_default() += growth;
        } else {
            *self.growth.entry((instance.gateway, tag)).or_default() += growth;
        }
    }

    /// Adds this gateway's pending usage to its counters, drops outdated counters, and returns the usage of other
    /// gateways that became known since the last tick.
    pub fn tick(&mut self, now_us: u64) -> ReportedUsage {
        self.count_own(now_us);
        self.counters.drop_silent_instances(now_us);
        self.forget_oldest_instances();
        let to_units = |milliunits: u64| milliunits as f64 / MILLIUNITS_PER_UNIT;
        let uses = std::mem::take(&mut self.growth)
            .into_iter()
            .map(|((gateway, tag), milliunits)| (u32::from(gateway), tag, to_units(milliunits)))
            .collect();
        let earlier_uses = std::mem::take(&mut self.earlier_growth)
            .into_iter()
            .map(|(tag, milliunits)| (tag, to_units(milliunits)))
            .collect();
        ReportedUsage { uses, earlier_uses }
    }

    /// Adds this gateway's pending usage to its counters of the current window.
    fn count_own(&mut self, now_us: u64) {
        let started_at_us = *self.started_at_us.get_or_insert(now_us);
        let window = now_us.saturating_sub(started_at_us) / WINDOW_US;
        let key = UsageKey {
            gateway: self.local.gateway,
            instance_id: self.local.instance_id,
            window: u32::try_from(window).unwrap_or(u32::MAX),
        };
        for (tag, units) in self.pending_own.drain() {
            let milliunits = (units * MILLIUNITS_PER_UNIT).ceil() as u64;
            let total = self.counters.total(key, tag).saturating_add(milliunits);
            self.counters.merge(now_us, key, tag, total);
        }
    }

    /// Forgets the instances that became known longest ago, beyond [`MAX_KNOWN_INSTANCES`].
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

    /// Adds to a datagram the usage that its receiver lacks: this gateway's own, that of the receiver's earlier
    /// instances, and, as far as there is room, that of the gateways from which the receiver gets no datagrams
    /// directly. Returns the coverage.
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

    /// Adds usage of the gateways from which the receiver gets no datagrams directly. The relay restarts from the
    /// first change after each round, since the receiver does not acknowledge relayed changes.
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
