//! Counters of the usage that each gateway admitted, by gateway, process instance, window and customer. Counters only
//! grow, and two states are merged by the larger value of each counter, so that the order, loss and repetition of
//! updates do not affect the result (a state-based CRDT, the G-counter; Shapiro et al., INRIA RR-7506, section
//! 3.1.1). Times are in microseconds, totals in thousandths of a unit.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Length of a window in microseconds of its gateway's monotonic clock.
pub const WINDOW_US: u64 = 10_000_000;
/// Upper bound of the retained windows per instance: 20 to 30 s of usage, about as much as a quota's burst can hold.
pub const MAX_WINDOWS_PER_INSTANCE: u32 = 3;
/// Upper bound of the remembered instances of one gateway, including those whose windows are all dropped and of which
/// only the index of the first window not dropped is left.
pub const MAX_INSTANCES_PER_GATEWAY: usize = 8;
/// Time without growth after which all windows of an instance are dropped.
const SILENT_INSTANCE_TIMEOUT_US: u64 = 40_000_000;

/// The gateway, process instance and window to which usage belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UsageKey {
    /// Number of the gateway that admitted the usage.
    pub gateway: u16,
    /// Process instance of the gateway.
    pub instance_id: u64,
    /// Index of the window, counted from the start of the instance.
    pub window: u32,
}

impl UsageKey {
    /// Returns the instance of this key.
    fn instance(self) -> InstanceKey {
        InstanceKey {
            gateway: self.gateway,
            instance_id: self.instance_id,
        }
    }
}

/// A process instance of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceKey {
    /// Number of the gateway.
    pub gateway: u16,
    /// Instance id of the process.
    pub instance_id: u64,
}

impl InstanceKey {
    /// Returns the key of one window of this instance.
    fn window(self, window: u32) -> UsageKey {
        UsageKey {
            gateway: self.gateway,
            instance_id: self.instance_id,
            window,
        }
    }
}

/// A counter with the number of its last change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageChange {
    /// Number of the change in the local order of all changes.
    pub change: u64,
    /// Gateway, instance and window.
    pub key: UsageKey,
    /// Customer.
    pub tag: u32,
    /// Total in thousandths of a unit.
    pub total: u64,
}

/// The total of one counter, in thousandths of a unit, and the number of its last change.
#[derive(Clone, Copy)]
struct Counter {
    total: u64,
    last_change: u64,
}

/// The retained state of one instance.
struct InstanceState {
    /// First window that is not dropped. Updates of earlier windows are ignored.
    first_window: u32,
    /// When a counter of the instance last grew.
    grew_at_us: u64,
}

/// The counters of all gateways, with the local order of their changes.
pub struct UsageCounters {
    max_entries: usize,
    windows: BTreeMap<UsageKey, BTreeMap<u32, Counter>>,
    instances: BTreeMap<InstanceKey, InstanceState>,
    /// Window and customer of each counter, by the number of its last change.
    changes: BTreeMap<u64, (UsageKey, u32)>,
    last_change: u64,
}

impl UsageCounters {
    /// Creates an empty set of counters, of which at most `max_entries` are retained.
    pub fn new(max_entries: usize) -> UsageCounters {
        UsageCounters {
            max_entries,
            windows: BTreeMap::new(),
            instances: BTreeMap::new(),
            changes: BTreeMap::new(),
            last_change: 0,
        }
    }

    /// Returns the number of counters.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Returns whether there are no counters.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the number of the last change; 0 if there was none.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the totals of all counters by key and customer.
    pub fn totals(&self) -> BTreeMap<(UsageKey, u32), u64> {
        self.windows
            .iter()
            .flat_map(|(key, counters)| {
                counters
                    .iter()
                    .map(|(tag, counter)| ((*key, *tag), counter.total))
            })
            .collect()
    }

    /// Returns the total of one counter; 0 if there is no such counter.
    pub fn total(&self, key: UsageKey, tag: u32) -> u64 {
        self.windows
            .get(&key)
            .and_then(|counters| counters.get(&tag))
            .map_or(0, |counter| counter.total)
    }

    /// Iterates over the counters that changed after the change numbered `change`, in the order of their changes.
    pub fn changes_after(&self, change: u64) -> impl Iterator<Item = UsageChange> + '_ {
        self.changes
            .range(change + 1..)
            .map(|(change, (key, tag))| UsageChange {
                change: *change,
                key: *key,
                tag: *tag,
                total: self.total(*key, *tag),
            })
    }

    /// Merges the total of one counter and returns its growth: 0 if the total is not above the known one, the window
    /// was dropped, or the limit of counters is reached and no window can be evicted.
    pub fn merge(&mut self, now_us: u64, key: UsageKey, tag: u32, total: u64) -> u64 {
        let instance_key = key.instance();
        let is_dropped = self
            .instances
            .get(&instance_key)
            .is_some_and(|instance| key.window < instance.first_window);
        if is_dropped {
            return 0;
        }
        let known_total = self.total(key, tag);
        if total <= known_total {
            return 0;
        }
        if known_total == 0
            && self.len() >= self.max_entries
            && !self.evict_oldest_window(instance_key)
        {
            return 0;
        }
        self.record_growth(now_us, key);
        self.set_total(key, tag, total);
        total - known_total
    }

    /// Drops the windows of instances that have not grown for long. The first window not dropped is remembered, so
    /// that late updates are still ignored.
    pub fn drop_silent_instances(&mut self, now_us: u64) {
        let is_silent = |instance: &InstanceState| {
            now_us.saturating_sub(instance.grew_at_us) >= SILENT_INSTANCE_TIMEOUT_US
        };
        let silent: Vec<InstanceKey> = self
            .instances
            .iter()
            .filter(|(_, instance)| is_silent(instance))
            .map(|(key, _)| *key)
            .collect();
        for instance_key in silent {
            let all_windows = instance_key.window(0)..=instance_key.window(u32::MAX);
            let Some((last, _)) = self.windows.range(all_windows).next_back() else {
                continue;
            };
            let first_window = last.window + 1;
            if let Some(instance) = self.instances.get_mut(&instance_key) {
                instance.first_window = first_window;
            }
            self.drop_windows_below(instance_key, first_window);
        }
    }

    /// Records the growth of an instance in `key.window`, and drops the windows of the instance that are now too old.
    fn record_growth(&mut self, now_us: u64, key: UsageKey) {
        let instance_key = key.instance();
        if !self.instances.contains_key(&instance_key) {
            self.evict_instance_if_full(key.gateway);
        }
        let instance = self.instances.entry(instance_key).or_insert(InstanceState {
            first_window: 0,
            grew_at_us: now_us,
        });
        instance.grew_at_us = now_us;
        let first_window = key.window.saturating_sub(MAX_WINDOWS_PER_INSTANCE - 1);
        if first_window > instance.first_window {
            instance.first_window = first_window;
            self.drop_windows_below(instance_key, first_window);
        }
    }

    /// Sets the total of one counter as the latest change.
    fn set_total(&mut self, key: UsageKey, tag: u32, total: u64) {
        self.last_change += 1;
        let counter = Counter {
            total,
            last_change: self.last_change,
        };
        let counters = self.windows.entry(key).or_default();
        if let Some(before) = counters.insert(tag, counter) {
            self.changes.remove(&before.last_change);
        }
        self.changes.insert(self.last_change, (key, tag));
    }

    /// Drops the windows of an instance before `first_window`.
    fn drop_windows_below(&mut self, instance_key: InstanceKey, first_window: u32) {
        let dropped: Vec<UsageKey> = self
            .windows
            .range(instance_key.window(0)..instance_key.window(first_window))
            .map(|(key, _)| *key)
            .collect();
        for key in dropped {
            self.drop_window(key);
        }
    }

    /// Drops one window with its counters.
    fn drop_window(&mut self, key: UsageKey) {
        for (_, counter) in self.windows.remove(&key).into_iter().flatten() {
            self.changes.remove(&counter.last_change);
        }
    }

    /// Drops the window of the counter that changed longest ago, among all instances but `protected`. Returns whether
    /// there was such a window.
    fn evict_oldest_window(&mut self, protected: InstanceKey) -> bool {
        let oldest = self
            .changes
            .values()
            .map(|(key, _)| *key)
            .find(|key| key.instance() != protected);
        let Some(key) = oldest else {
            return false;
        };
        if let Some(instance) = self.instances.get_mut(&key.instance()) {
            instance.first_window = instance.first_window.max(key.window + 1);
        }
        self.drop_window(key);
        true
    }

    /// Forgets the instance that has not grown for longest, if the gateway already has [`MAX_INSTANCES_PER_GATEWAY`]
    /// instances.
    fn evict_instance_if_full(&mut self, gateway: u16) {
        let first = InstanceKey {
            gateway,
            instance_id: 0,
        };
        let last = InstanceKey {
            gateway,
            instance_id: u64::MAX,
        };
        let instances_of_gateway = || self.instances.range(first..=last);
        if instances_of_gateway().count() < MAX_INSTANCES_PER_GATEWAY {
            return;
        }
        let longest_silent = instances_of_gateway()
            .min_by_key(|(_, instance)| instance.grew_at_us)
            .map(|(key, _)| *key);
        if let Some(key) = longest_silent {
            self.drop_windows_below(key, u32::MAX);
            self.instances.remove(&key);
        }
    }
}
