//! All members as this one knows them: what is disseminated, what differs from another member's table, the view that follows,
//! and when members that are gone are forgotten. Times are in microseconds.

use crate::record::{stable_hash, LifecyclePhase, Liveness, MemberRecord};
use std::collections::{BTreeMap, VecDeque};

#[cfg(test)]
mod tests;

/// Buckets into which a table is divided for anti-entropy: tables are compared, and differences sent, by the bucket.
pub const BUCKETS: usize = 16;
/// Each change is disseminated this many times the binary logarithm of the number of members (SWIM, section 4.1 of Das et al.,
/// DSN 2002).
const DISSEMINATION_FACTOR: u32 = 4;

/// A member in the table.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Its latest record.
    pub record: MemberRecord,
    /// When it died or left, by what other members said of its age; for a member that is present, when its record came.
    pub since_us: u64,
    /// While it is suspected, short hashes of the names of the members that suspect it.
    pub suspectors: Vec<u32>,
}

/// The set of ready members. Any two members that have received the same updates have the same set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Digest of the ready members.
    pub digest: u64,
    /// How many are ready.
    pub ready_count: usize,
    /// When the digest last changed, in microseconds.
    pub changed_at_us: u64,
}

/// What an update changed.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberChange {
    /// The record before; `None` if the member was not known.
    pub before: Option<MemberRecord>,
    /// The record now.
    pub now: MemberRecord,
}

struct Dissemination {
    name: String,
    sent_count: u32,
}

/// The table of all known members, this one included.
pub struct MemberTable {
    own_name: String,
    max_members: usize,
    forget_us: u64,
    entries: BTreeMap<String, MemberEntry>,
    /// Members with changes that are disseminated, the next one first.
    dissemination_queue: VecDeque<Dissemination>,
    view: View,
    bucket_digests: Vec<u32>,
}

impl MemberTable {
    /// A table that holds only this member. `forget_us`: how long members that are gone are remembered.
    pub fn new(own: MemberRecord, max_members: usize, forget_us: u64) -> MemberTable {
        let mut table = MemberTable {
            own_name: own.name.clone(),
            max_members,
            forget_us,
            entries: BTreeMap::new(),
            dissemination_queue: VecDeque::new(),
            view: View::default(),
            bucket_digests: vec![0; BUCKETS],
        };
        table.put(0, own, 0);
        table
    }

    /// The record of this member.
    pub fn own_record(&self) -> &MemberRecord {
        &self.entries[&self.own_name].record
    }

    /// The record of a member.
    pub fn record(&self, name: &str) -> Option<&MemberRecord> {
        self.entries.get(name).map(|entry| &entry.record)
    }

    /// The entry of a member.
    pub fn entry(&self, name: &str) -> Option<&MemberEntry> {
        self.entries.get(name)
    }

    /// All records in the order of names.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Number of members, those that are gone included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no members. Never, since this member is one.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records of all other members that are present, in the order of names.
    pub fn present_others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(|record| record.is_present() && record.name != self.own_name)
    }

    /// The ready members.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Region, zone and name of the ready members, sorted in this order.
    pub fn ready_members(&self) -> Vec<(&str, &str, &str)> {
        let mut ready: Vec<_> = self
            .records()
            .filter(|record| record.is_ready())
            .map(|r| (r.region.as_str(), r.zone.as_str(), r.name.as_str()))
            .collect();
        ready.sort_unstable();
        ready
    }

    /// Merges what another member said. `age_us`: for how long the member has been gone, if it is. Returns what changed.
    pub fn merge(
        &mut self,
        now_us: u64,
        received: &MemberRecord,
        age_us: u64,
    ) -> Option<MemberChange> {
        if !received.is_valid() {
            return None;
        }
        let before = self.record(&received.name).cloned();
        if let Some(known) = &before {
            if !received.supersedes(known) {
                return None;
            }
        } else {
            // A member that all are about to forget must not come back.
            let is_outdated = !received.is_present() && age_us >= self.forget_us;
            if is_outdated || !self.make_room() {
                return None;
            }
        }
        self.put(now_us, received.clone(), now_us.saturating_sub(age_us));
        Some(MemberChange {
            before,
            now: received.clone(),
        })
    }

    /// Publishes a phase of this member under an incarnation above its last one and above `min_incarnation`. This also refutes
    /// what other members say of it.
    pub fn publish_own(&mut self, now_us: u64, phase: LifecyclePhase, min_incarnation: u64) {
        let own = self.own_record().clone();
        let record = MemberRecord {
            phase,
            incarnation: own.incarnation.max(min_incarnation) + 1,
            liveness: Liveness::Alive,
            ..own
        };
        self.put(now_us, record, now_us);
    }

    /// Sets the liveness of a member in its current incarnation. Returns what changed: nothing if it is not worse than before.
    pub fn set_liveness(
        &mut self,
        now_us: u64,
        name: &str,
        liveness: Liveness,
    ) -> Option<MemberChange> {
        let record = MemberRecord {
            liveness,
            ..self.record(name)?.clone()
        };
        self.merge(now_us, &record, 0)
    }

    /// Adds a member that suspects another one. Returns whether it was added: the other one is a suspect, fewer than
    /// `max_suspectors` are known and this is none of them.
    pub fn add_suspector(&mut self, name: &str, suspector: u32, max_suspectors: usize) -> bool {
        let Some(entry) = self.entries.get_mut(name) else {
            return false;
        };
        let is_new = entry.record.liveness == Liveness::Suspect
            && entry.suspectors.len() < max_suspectors
            && !entry.suspectors.contains(&suspector);
        if is_new {
            entry.suspectors.push(suspector);
            self.disseminate(name);
        }
        is_new
    }

    /// How many members suspect a member.
    pub fn suspector_count(&self, name: &str) -> usize {
        self.entry(name).map_or(0, |entry| entry.suspectors.len())
    }

    /// Offers the changes to disseminate one by one, the least often sent ones first, until `accept` returns false.
    pub fn drain_disseminations(&mut self, mut accept: impl FnMut(&MemberEntry) -> bool) {
        let members_log2 = usize::BITS - self.entries.len().leading_zeros();
        let max_sent = DISSEMINATION_FACTOR * members_log2;
        for _ in 0..self.dissemination_queue.len() {
            let Some(mut dissemination) = self.dissemination_queue.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get(&dissemination.name) else {
                continue;
            };
            if !accept(entry) {
                self.dissemination_queue.push_front(dissemination);
                return;
            }
            dissemination.sent_count += 1;
            if dissemination.sent_count < max_sent {
                self.dissemination_queue.push_back(dissemination);
            }
        }
    }

    /// A digest of each bucket.
    pub fn bucket_digests(&self) -> Vec<u32> {
        self.bucket_digests.clone()
    }

    /// All members in the buckets whose digests differ from another member's.
    pub fn entries_in_differing_buckets(&self, other_digests: &[u32]) -> Vec<&MemberEntry> {
        let differs: Vec<bool> = self
            .bucket_digests
            .iter()
            .zip(other_digests)
            .map(|(own, other)| own != other)
            .collect();
        let is_in_differing = |name: &str| differs.get(bucket_of(name)).copied().unwrap_or(false);
        self.entries
            .iter()
            .filter(|(name, _)| is_in_differing(name))
            .map(|(_, entry)| entry)
            .collect()
    }

    /// Forgets the members that have been gone for long enough and returns their records.
    pub fn forget_gone(&mut self, now_us: u64) -> Vec<MemberRecord> {
        let is_due = |entry: &MemberEntry| {
            let gone_us = now_us.saturating_sub(entry.since_us);
            !entry.record.is_present() && gone_us >= self.forget_us
        };
        let names: Vec<String> = self
            .entries
            .values()
            .filter(|entry| is_due(entry))
            .map(|entry| entry.record.name.clone())
            .collect();
        names.iter().filter_map(|name| self.remove(name)).collect()
    }

    /// Whether another member fits; the one that has been gone for longest is dropped for it.
    fn make_room(&mut self) -> bool {
        if self.entries.len() < self.max_members {
            return true;
        }
        let longest_gone = self
            .entries
            .values()
            .filter(|entry| !entry.record.is_present())
            .min_by_key(|entry| entry.since_us)
            .map(|entry| entry.record.name.clone());
        longest_gone.is_some_and(|name| self.remove(&name).is_some())
    }

    fn put(&mut self, now_us: u64, record: MemberRecord, since_us: u64) {
        let name = record.name.clone();
        let digest_before = self.view.digest;
        self.remove(&name);
        self.toggle_in_digests(&record);
        if record.is_ready() {
            self.view.ready_count += 1;
        }
        let entry = MemberEntry {
            record,
            since_us,
            suspectors: Vec::new(),
        };
        self.entries.insert(name.clone(), entry);
        self.disseminate(&name);
        if self.view.digest != digest_before {
            self.view.changed_at_us = now_us;
        }
    }

    fn remove(&mut self, name: &str) -> Option<MemberRecord> {
        let record = self.entries.remove(name)?.record;
        self.toggle_in_digests(&record);
        if record.is_ready() {
            self.view.ready_count -= 1;
        }
        Some(record)
    }

    /// Adds a record to the digests, or takes it out of them: exclusive or does both.
    fn toggle_in_digests(&mut self, record: &MemberRecord) {
        self.bucket_digests[bucket_of(&record.name)] ^= record.digest() as u32;
        if record.is_ready() {
            self.view.digest ^= stable_hash((
                &record.region,
                &record.zone,
                &record.name,
                record.number,
                record.instance_id,
            ));
        }
    }

    /// Puts a member first in the queue, as never sent.
    fn disseminate(&mut self, name: &str) {
        self.dissemination_queue.retain(|d| d.name != name);
        self.dissemination_queue.push_front(Dissemination {
            name: name.into(),
            sent_count: 0,
        });
    }
}

fn bucket_of(name: &str) -> usize {
    stable_hash(name) as usize % BUCKETS
}
