//! What this gateway let through is told to all others again and again until they have it, and what they tell is added up. Each
//! side tells how far the other's changes have come and is sent those after that: a lost datagram is made up for by the next, and
//! one that comes twice or late changes nothing, since entries only grow.

use crate::usage_counters::{UsageCounters, UsageKey, WINDOW_US};
use crate::wire::DatagramWriter;
use std::collections::{BTreeMap, HashMap};

/// Thousandths of a unit travel.
const PARTS: f64 = 1_000.0;
/// What is told of a life within so long of when it was first heard of is of before that.
const CATCH_UP_US: u64 = 300_000;
/// Lives that are remembered as known.
const MOST_KNOWN: usize = 8_192;

/// How far one other member and this one have told each other.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// Of our changes, those that it has; of its, those that we have.
    pub acked: u64,
    pub have: u64,
    /// Gateways that it does not hear itself, and how far their entries have gone there, round and round.
    pub wanted: Vec<u16>,
    relayed: u64,
}

/// Use of others that was not known: by gateway and customer, and of before they were heard, by customer.
#[derive(Debug, Default, PartialEq)]
pub struct UsageChanges {
    pub uses: Vec<(u32, u32, f64)>,
    pub past: Vec<(u32, f64)>,
}

impl UsageChanges {
    pub fn is_empty(&self) -> bool {
        self.uses.is_empty() && self.past.is_empty()
    }
}

pub struct UsageGossip {
    me: u16,
    gateways: u16,
    life: u64,
    uses: UsageCounters,
    /// Own use that no entry holds yet.
    own: HashMap<u32, f64>,
    started: Option<u64>,
    grown: BTreeMap<(u16, u32), u64>,
    past: BTreeMap<u32, u64>,
    /// Since when each life is known.
    known: BTreeMap<(u16, u64), u64>,
}

impl UsageGossip {
    pub fn new(me: u16, gateways: u16, life: u64, most_entries: usize) -> UsageGossip {
        UsageGossip {
            me,
            gateways,
            life,
            uses: UsageCounters::new(most_entries),
            own: HashMap::new(),
            started: None,
            grown: BTreeMap::new(),
            past: BTreeMap::new(),
            known: BTreeMap::new(),
        }
    }

    pub fn uses(&self) -> &UsageCounters {
        &self.uses
    }

    /// This gateway let units of a customer through.
    pub fn used(&mut self, tag: u32, units: f64) {
        if units.is_finite() && units > 0.0 {
            *self.own.entry(tag).or_default() += units;
        }
    }

    /// A life is heard for the first time.
    pub fn meets(&mut self, now: u64, gateway: u16, life: u64) {
        self.known.entry((gateway, life)).or_insert(now);
    }

    /// Takes in what another told.
    pub fn take(&mut self, now: u64, entries: Vec<(UsageKey, Vec<(u32, u64)>)>) {
        for (slot, all) in entries {
            // Nobody else knows better what this life did.
            if (slot.gateway, slot.life) == (self.me, self.life) || slot.gateway >= self.gateways {
                continue;
            }
            for (tag, total) in all {
                let grew = self.uses.merge(now, slot, tag, total);
                if grew == 0 {
                    continue;
                }
                // What a life that was not known did until now may be half a minute old.
                let since = *self.known.entry((slot.gateway, slot.life)).or_insert(now);
                match now.saturating_sub(since) < CATCH_UP_US {
                    true => *self.past.entry(tag).or_default() += grew,
                    false => *self.grown.entry((slot.gateway, tag)).or_default() += grew,
                }
            }
        }
    }

    /// Own use becomes entries; what is old goes; what is new since the last time.
    pub fn tick(&mut self, now: u64) -> UsageChanges {
        let started = *self.started.get_or_insert(now);
        let window = u32::try_from(now.saturating_sub(started) / WINDOW_US).unwrap_or(u32::MAX);
        let slot = UsageKey {
            gateway: self.me,
            life: self.life,
            window,
        };
        for (tag, units) in self.own.drain() {
            let total = self
                .uses
                .total(slot, tag)
                .saturating_add((units * PARTS).ceil() as u64);
            self.uses.merge(now, slot, tag, total);
        }
        self.uses.age(now);
        while self.known.len() > MOST_KNOWN {
            let oldest = self
                .known
                .iter()
                .min_by_key(|(_, since)| **since)
                .map(|(key, _)| *key);
            oldest.map(|key| self.known.remove(&key));
        }
        let parts = |n: u64| n as f64 / PARTS;
        let uses = std::mem::take(&mut self.grown).into_iter();
        let past = std::mem::take(&mut self.past).into_iter();
        UsageChanges {
            uses: uses
                .map(|((from, tag), n)| (u32::from(from), tag, parts(n)))
                .collect(),
            past: past.map(|(tag, n)| (tag, parts(n))).collect(),
        }
    }

    /// Puts what another does not have yet into a datagram for it; up to which change, and whether that is all.
    pub fn fill(
        &self,
        told: &mut Told,
        to: (u16, u64),
        writer: &mut DatagramWriter,
    ) -> (u64, bool) {
        let (mut upto, mut complete) = (self.uses.last_change(), true);
        for (change, slot, tag, total) in self.uses.since(told.acked) {
            // Others tell it themselves, this one also of its earlier lives; what it did in one of its own it has forgotten.
            let own = slot.gateway == self.me;
            let earlier = slot.gateway == to.0 && slot.life != to.1;
            if (own || earlier) && !writer.usage(slot, tag, total) {
                (upto, complete) = (change - 1, false);
                break;
            }
        }
        // What it does not hear from them it hears from here; all of it again and again, as room allows.
        let from = std::mem::take(&mut told.relayed);
        if !told.wanted.is_empty() {
            let mut wants = self
                .uses
                .since(from)
                .filter(|(_, s, ..)| told.wanted.contains(&s.gateway));
            if let Some((change, ..)) =
                wants.find(|(_, s, tag, total)| !writer.usage(*s, *tag, *total))
            {
                told.relayed = change - 1;
            }
        }
        (upto, complete)
    }
}
