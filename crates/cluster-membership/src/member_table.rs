//! The table of all members known to this one. It queues changes for dissemination, finds differences from another
//! member's table, derives the view of ready members, and forgets members that have been gone for long. Times are in
//! microseconds.

use crate::record::{stable_hash, LifecyclePhase, Liveness, MemberRecord};
use std::collections::{BTreeMap, VecDeque};

#[cfg(test)]
mod tests;

/// Number of buckets into which a table is divided for anti-entropy: tables are compared, and differences sent, per
/// bucket.
pub const BUCKETS: usize = 16;
/// How often each change is disseminated, as a multiple of the binary logarithm of the number of members (SWIM,
/// section 4.1 of Das et al., DSN 2002).
const DISSEMINATION_FACTOR: u32 = 4;

/// A member in the table.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Latest record of the member.
    pub record: MemberRecord,
    /// When a member that is gone died or left, derived from the age reported by other members; for a present member,
    /// when its record was received.
    pub since_us: u64,
    /// Short hashes of the names of the members that suspect this one; empty unless it is a suspect.
    pub suspectors: Vec<u32>,
}

/// A summary of the set of ready members. Members that have received the same updates have the same set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Digest of the ready members.
    pub digest: u64,
    /// Number of ready members.
    pub ready_count: usize,
    /// Time of the last change of the digest, in microseconds.
    pub changed_at_us: u64,
}

/// A change of a member's record by an update.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberChange {
    /// The record before the update; `None` if the member was not known.
    pub previous: Option<MemberRecord>,
    /// The record after the update.
    pub current: MemberRecord,
}

/// A member whose change is being disseminated, and how often that was sent.
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
    /// Members whose changes are to be disseminated; the first one is sent next.
    dissemination_queue: VecDeque<Dissemination>,
    view: View,
    bucket_digests: Vec<u32>,
}

impl MemberTable {
    /// Creates a table that holds only this member. `forget_us`: how long dead members and those that have left are
    /// remembered.
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
        table.insert_record(0, own, 0);
        table
    }

    /// Returns the record of this member.
    pub fn own_record(&self) -> &MemberRecord {
        &self.entries[&self.own_name].record
    }

    /// Returns the record of a member.
    pub fn record(&self, name: &str) -> Option<&MemberRecord> {
        self.entries.get(name).map(|entry| &entry.record)
    }

    /// Returns the entry of a member.
    pub fn entry(&self, name: &str) -> Option<&MemberEntry> {
        self.entries.get(name)
    }

    /// Iterates over all records in the order of names.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns the number of members, including those that are gone.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty, which never happens, since it holds this member.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over the records of all other present members in the order of names.
    pub fn present_others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(|record| record.is_present() && record.name != self.own_name)
    }

    /// Returns the summary of the ready members.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns region, zone and name of each ready member, sorted by these three.
    pub fn ready_members(&self) -> Vec<(&str, &str, &str)> {
        let mut ready: Vec<_> = self
            .records()
            .filter(|record| record.is_ready())
            .map(|r| (r.region.as_str(), r.zone.as_str(), r.name.as_str()))
            .collect();
        ready.sort_unstable();
        ready
    }

    /// Merges a record received from another member and returns the change, if any. `age_us`: how long the record's
    /// member has been gone; 0 if it is present.
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
            // A member that all tables are about to forget must not be added again.
            let is_outdated = !received.is_present() && age_us >= self.forget_us;
            if is_outdated || !self.ensure_capacity() {
                return None;
            }
        }
        self.insert_record(now_us, received.clone(), now_us.saturating_sub(age_us));
        Some(MemberChange {
            previous: before,
            current: received.clone(),
        })
    }

    /// Publishes a phase of this member under an incarnation above both its last one and `min_incarnation`. The new
    /// record also refutes records of lower incarnations in which this member is suspect, dead or gone.
    pub fn publish_own(&mut self, now_us: u64, phase: LifecyclePhase, min_incarnation: u64) {
        let own = self.own_record().clone();
        let record = MemberRecord {
            phase,
            incarnation: own.incarnation.max(min_incarnation) + 1,
            liveness: Liveness::Alive,
            ..own
        };
        self.insert_record(now_us, record, now_us);
    }

    /// Sets the liveness of a member in its current incarnation and returns the change: `None` unless the liveness is
    /// worse than the known one.
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

    /// Adds a suspector (the short hash of its name) to the member `name`. Returns false and adds nothing if the
    /// member is no suspect, already has `max_suspectors` suspectors, or has this one.
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

    /// Returns the number of suspectors recorded for the member `name`.
    pub fn suspector_count(&self, name: &str) -> usize {
        self.entry(name).map_or(0, |entry| entry.suspectors.len())
    }

    /// Passes the changes to disseminate to `accept` one by one, the least often sent ones first, until it returns
    /// false.
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

    /// Returns the digests of all buckets.
    pub fn bucket_digests(&self) -> Vec<u32> {
        self.bucket_digests.clone()
    }

    /// Returns all members in the buckets whose digests differ from `other_digests`, those of another member.
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

    /// Removes the members that have been gone for the configured time and returns their records.
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

    /// Returns whether the table has room for another member. A full table first drops the member that has been gone
    /// for longest.
    fn ensure_capacity(&mut self) -> bool {
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

    /// Inserts a record, or replaces that of the same name, and queues it for dissemination.
    fn insert_record(&mut self, now_us: u64, record: MemberRecord, since_us: u64) {
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

    /// Adds a record to the digests or removes it from them; exclusive or does either.
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

    /// Puts a member at the front of the dissemination queue, with a send count of 0.
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
