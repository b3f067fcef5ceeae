//! What each gateway has let through: a counter that only grows, by gateway, life, window and customer. Two states are
//! merged by the larger of each entry, so order, loss and repetition make no difference (a state-based CRDT, a G-counter;
//! Shapiro et al., INRIA RR-7506, section 3.1.1).

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A window lasts so long on its gateway's own clock, which only runs forward.
pub const WINDOW_US: u64 = 10_000_000;
/// Windows of one life that are kept: 20 to 30 s of use, about what a quota's store can hold.
pub const WINDOWS: u32 = 3;
/// Lives of one gateway that are remembered, if only by how far they were dropped.
pub const LIVES: usize = 8;
/// A life that says nothing new for so long is dropped.
const SILENT_US: u64 = 40_000_000;

/// Where use belongs: a restarted gateway is another life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UsageKey {
    pub gateway: u16,
    pub life: u64,
    pub window: u32,
}

#[derive(Clone, Copy)]
struct Entry {
    /// Thousandths of a unit.
    total: u64,
    /// When it last changed, in the order of all changes here.
    change: u64,
}

/// One life of a gateway.
struct Life {
    /// Windows below are dropped for good: what is told of them again is old.
    floor: u32,
    grew_at: u64,
}

/// The state, with the order in which it changed here.
pub struct UsageCounters {
    most: usize,
    slots: BTreeMap<UsageKey, BTreeMap<u32, Entry>>,
    lives: BTreeMap<(u16, u64), Life>,
    changes: BTreeMap<u64, (UsageKey, u32)>,
    change: u64,
}

impl UsageCounters {
    /// `most`: entries that are kept.
    pub fn new(most: usize) -> UsageCounters {
        UsageCounters {
            most,
            slots: BTreeMap::new(),
            lives: BTreeMap::new(),
            changes: BTreeMap::new(),
            change: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.changes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Number of the last change; 0: none yet.
    pub fn last_change(&self) -> u64 {
        self.change
    }

    /// All that is held, for comparison.
    pub fn totals(&self) -> BTreeMap<(UsageKey, u32), u64> {
        let all = self
            .slots
            .iter()
            .flat_map(|(s, of)| of.iter().map(|(tag, e)| ((*s, *tag), e.total)));
        all.collect()
    }

    pub fn total(&self, slot: UsageKey, tag: u32) -> u64 {
        self.slots
            .get(&slot)
            .and_then(|of| of.get(&tag))
            .map_or(0, |e| e.total)
    }

    /// Takes in one entry; by how much it grew. What is below what is held, or of a window that was dropped, changes
    /// nothing.
    pub fn merge(&mut self, now: u64, slot: UsageKey, tag: u32, total: u64) -> u64 {
        let key = (slot.gateway, slot.life);
        if self.lives.get(&key).is_some_and(|l| slot.window < l.floor) {
            return 0;
        }
        let held = self.total(slot, tag);
        if total <= held {
            return 0;
        }
        if held == 0 && self.len() >= self.most && !self.make_room(slot) {
            return 0;
        }
        if !self.lives.contains_key(&key) {
            self.forget_a_life(slot.gateway);
        }
        let life = self.lives.entry(key).or_insert(Life {
            floor: 0,
            grew_at: now,
        });
        life.grew_at = now;
        let floor = slot.window.saturating_sub(WINDOWS - 1).max(life.floor);
        if floor > life.floor {
            life.floor = floor;
            self.drop_below(key, floor);
        }
        self.change += 1;
        let entry = Entry {
            total,
            change: self.change,
        };
        let before = self.slots.entry(slot).or_default().insert(tag, entry);
        if let Some(before) = before {
            self.changes.remove(&before.change);
        }
        self.changes.insert(self.change, (slot, tag));
        total - held
    }

    fn drop_below(&mut self, (gateway, life): (u16, u64), floor: u32) {
        let from = UsageKey {
            gateway,
            life,
            window: 0,
        };
        let old: Vec<UsageKey> = self
            .slots
            .range(
                from..UsageKey {
                    window: floor,
                    ..from
                },
            )
            .map(|(s, _)| *s)
            .collect();
        old.into_iter().for_each(|slot| self.drop_slot(slot));
    }

    fn drop_slot(&mut self, slot: UsageKey) {
        for entry in self.slots.remove(&slot).into_iter().flatten() {
            self.changes.remove(&entry.1.change);
        }
    }

    /// The entry that changed longest ago goes with its window, unless it is of the window that wants room.
    fn make_room(&mut self, wants: UsageKey) -> bool {
        let oldest = self
            .changes
            .values()
            .map(|(slot, _)| *slot)
            .find(|s| (s.gateway, s.life) != (wants.gateway, wants.life));
        let Some(slot) = oldest else { return false };
        if let Some(life) = self.lives.get_mut(&(slot.gateway, slot.life)) {
            life.floor = life.floor.max(slot.window + 1);
        }
        self.drop_slot(slot);
        true
    }

    /// Of too many lives of one gateway the one that has said nothing for longest goes.
    fn forget_a_life(&mut self, gateway: u16) {
        let of = || self.lives.range((gateway, 0)..=(gateway, u64::MAX));
        if of().count() >= LIVES {
            if let Some(key) = of().min_by_key(|(_, l)| l.grew_at).map(|(key, _)| *key) {
                self.drop_below(key, u32::MAX);
                self.lives.remove(&key);
            }
        }
    }

    /// Drops what lives that are over have left behind; how far they had come is remembered.
    pub fn age(&mut self, now: u64) {
        let silent = |l: &Life| now.saturating_sub(l.grew_at) >= SILENT_US;
        let over: Vec<_> = self
            .lives
            .iter()
            .filter(|(_, l)| silent(l))
            .map(|(key, _)| *key)
            .collect();
        for (gateway, life) in over {
            let from = UsageKey {
                gateway,
                life,
                window: 0,
            };
            let last = self
                .slots
                .range(
                    from..=UsageKey {
                        window: u32::MAX,
                        ..from
                    },
                )
                .next_back();
            let Some(last) = last.map(|(s, _)| s.window) else {
                continue;
            };
            if let Some(l) = self.lives.get_mut(&(gateway, life)) {
                l.floor = last + 1;
            }
            self.drop_below((gateway, life), last + 1);
        }
    }

    /// Entries that changed after a change, oldest first.
    pub fn since(&self, change: u64) -> impl Iterator<Item = (u64, UsageKey, u32, u64)> + '_ {
        let after = self.changes.range(change + 1..);
        after.map(|(change, (slot, tag))| (*change, *slot, *tag, self.total(*slot, *tag)))
    }
}
