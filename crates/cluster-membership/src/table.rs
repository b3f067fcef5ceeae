//! All members as this one knows them: what is passed on to others, what differs from another's table, the view that follows, and
//! when those that are gone are forgotten.

use crate::record::{hash, LifecyclePhase, Liveness, MemberRecord};
use std::collections::{BTreeMap, VecDeque};

/// A table is compared by so many parts: what differs is told by the part.
pub const BUCKETS: usize = 16;
/// Each change is passed on so many times the binary logarithm of the fleet, as SWIM has it (section 4.1 of Das et al., DSN 2002).
const PASSED_ON: u32 = 4;

#[derive(Clone, Debug)]
pub struct Row {
    pub record: MemberRecord,
    /// Since when it is dead or has left, as far as was told.
    pub since: u64,
    /// Of a suspicion, short names of who told it.
    pub accusers: Vec<u32>,
}

/// The set of ready members that follows from a table: any two that have heard the same come to the same.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    pub digest: u64,
    /// How many are ready.
    pub ready: usize,
    pub since: u64,
}

pub struct Table {
    me: String,
    most: usize,
    forget_us: u64,
    rows: BTreeMap<String, Row>,
    /// What is passed on: names, and how often they have been.
    fresh: VecDeque<(String, u32)>,
    view: View,
    buckets: Vec<u32>,
}

/// What a telling changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub before: Option<MemberRecord>,
    pub now: MemberRecord,
}

impl Table {
    /// `most`: members that are kept; `forget_us`: how long those that are gone are.
    pub fn new(own: MemberRecord, most: usize, forget_us: u64) -> Table {
        let me = own.name.clone();
        let (rows, fresh) = (BTreeMap::new(), VecDeque::new());
        let (view, buckets) = (View::default(), vec![0; BUCKETS]);
        let mut table = Table {
            me,
            most,
            forget_us,
            rows,
            fresh,
            view,
            buckets,
        };
        table.put(0, own, 0);
        table
    }

    pub fn me(&self) -> &MemberRecord {
        &self.rows[&self.me].record
    }

    pub fn get(&self, name: &str) -> Option<&MemberRecord> {
        self.rows.get(name).map(|r| &r.record)
    }

    pub fn row(&self, name: &str) -> Option<&Row> {
        self.rows.get(name)
    }

    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// All others that are neither dead nor gone.
    pub fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.rows
            .values()
            .map(|r| &r.record)
            .filter(|r| r.there() && r.name != self.me)
    }

    /// Takes in what was told of a member, so long ago if it is gone. What changed, if anything did.
    pub fn merge(&mut self, now: u64, told: &MemberRecord, age_us: u64) -> Option<Change> {
        if !told.fits() {
            return None;
        }
        let before = self.rows.get(&told.name).map(|k| k.record.clone());
        if before.as_ref().is_some_and(|known| !told.beats(known)) {
            return None;
        }
        // One that all are about to forget is not learned anew.
        if before.is_none() && (!told.there() && age_us >= self.forget_us || !self.room()) {
            return None;
        }
        self.put(now, told.clone(), now.saturating_sub(age_us));
        Some(Change {
            before,
            now: told.clone(),
        })
    }

    /// Whether another member fits in; one that is gone makes room.
    fn room(&mut self) -> bool {
        if self.rows.len() < self.most {
            return true;
        }
        let gone = self
            .rows
            .values()
            .filter(|r| !r.record.there())
            .min_by_key(|r| r.since);
        gone.map(|r| r.record.name.clone())
            .is_some_and(|name| self.remove(&name).is_some())
    }

    fn remove(&mut self, name: &str) -> Option<MemberRecord> {
        let record = self.rows.remove(name)?.record;
        self.count(&record, false);
        Some(record)
    }

    /// Adds a record to the digests, or takes it out of them: the same way.
    fn count(&mut self, r: &MemberRecord, in_it: bool) {
        self.buckets[bucket(&r.name)] ^= r.digest() as u32;
        if r.ready() {
            self.view.digest ^= hash((&r.region, &r.zone, &r.name, r.number, r.instance_id));
            self.view.ready = if in_it {
                self.view.ready + 1
            } else {
                self.view.ready - 1
            };
        }
    }

    fn put(&mut self, now: u64, record: MemberRecord, since: u64) {
        let (name, digest) = (record.name.clone(), self.view.digest);
        self.remove(&name);
        self.count(&record, true);
        self.rows.insert(
            name.clone(),
            Row {
                record,
                since,
                accusers: Vec::new(),
            },
        );
        self.pass_on(&name);
        if self.view.digest != digest {
            self.view.since = now;
        }
    }

    /// What this member says of itself now, or answers to what others say of it.
    pub fn say(&mut self, now: u64, phase: LifecyclePhase, above: u64) {
        let me = self.me().clone();
        let incarnation = me.incarnation.max(above) + 1;
        self.put(
            now,
            MemberRecord {
                phase,
                incarnation,
                verdict: Liveness::Alive,
                ..me
            },
            now,
        );
    }

    /// Changes the verdict on one that is there.
    pub fn judge(&mut self, now: u64, name: &str, verdict: Liveness) -> Option<Change> {
        let told = MemberRecord {
            verdict,
            ..self.get(name)?.clone()
        };
        self.merge(now, &told, 0)
    }

    /// One more accuses a suspect; whether that is news, among the first few.
    pub fn accused(&mut self, name: &str, by: u32, most: usize) -> bool {
        let Some(row) = self
            .rows
            .get_mut(name)
            .filter(|r| r.record.verdict == Liveness::Suspect)
        else {
            return false;
        };
        let news = row.accusers.len() < most && !row.accusers.contains(&by);
        if news {
            row.accusers.push(by);
            self.pass_on(name);
        }
        news
    }

    pub fn accusers(&self, name: &str) -> &[u32] {
        self.rows.get(name).map_or(&[], |r| &r.accusers)
    }

    /// From now on it is passed on as news.
    pub fn pass_on(&mut self, name: &str) {
        self.fresh.retain(|(n, _)| n != name);
        self.fresh.push_front((name.into(), 0));
    }

    /// The next of what is to be passed on, as long as `takes` takes it.
    pub fn passing(&mut self, mut takes: impl FnMut(&Row) -> bool) {
        let most = PASSED_ON * (usize::BITS - self.rows.len().leading_zeros());
        for _ in 0..self.fresh.len() {
            let Some((name, sent)) = self.fresh.pop_front() else {
                return;
            };
            let Some(row) = self.rows.get(&name) else {
                continue;
            };
            if !takes(row) {
                return self.fresh.push_front((name, sent));
            }
            if sent + 1 < most {
                self.fresh.push_back((name, sent + 1));
            }
        }
    }

    /// A digest of each part of the table.
    pub fn buckets(&self) -> Vec<u32> {
        self.buckets.clone()
    }

    /// The members of those parts in which the other's table differs.
    pub fn differing(&self, theirs: &[u32]) -> Vec<&Row> {
        let differs: Vec<bool> = self
            .buckets
            .iter()
            .zip(theirs)
            .map(|(a, b)| a != b)
            .collect();
        let in_part = |name: &str| differs.get(bucket(name)).copied().unwrap_or(false);
        self.rows
            .iter()
            .filter(|(name, _)| in_part(name))
            .map(|(_, row)| row)
            .collect()
    }

    /// Forgets those that have been gone for long enough; who they were.
    pub fn forget(&mut self, now: u64) -> Vec<MemberRecord> {
        let old = |r: &Row| !r.record.there() && now.saturating_sub(r.since) >= self.forget_us;
        let gone: Vec<String> = self
            .rows
            .values()
            .filter(|r| old(r))
            .map(|r| r.record.name.clone())
            .collect();
        gone.iter().filter_map(|name| self.remove(name)).collect()
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    /// Those that the view is of: region, zone and name, in this order.
    pub fn ready(&self) -> Vec<(&str, &str, &str)> {
        let ready = self.rows.values().map(|r| &r.record).filter(|r| r.ready());
        let mut ready: Vec<_> = ready
            .map(|r| (r.region.as_str(), r.zone.as_str(), r.name.as_str()))
            .collect();
        ready.sort_unstable();
        ready
    }
}

fn bucket(name: &str) -> usize {
    hash(name) as usize % BUCKETS
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::tests::record;

    const S: u64 = 1_000_000;

    fn table() -> Table {
        Table::new(record("n0", 1), 100, 10 * S)
    }

    #[test]
    fn two_tables_that_have_heard_the_same_have_the_same_view_whatever_the_order() {
        let (mut a, mut b) = (table(), table());
        let told = [
            record("n1", 3),
            record("n2", 1),
            MemberRecord {
                phase: LifecyclePhase::Draining,
                ..record("n1", 4)
            },
        ];
        told.iter().for_each(|r| drop(a.merge(S, r, 0)));
        told.iter().rev().for_each(|r| drop(b.merge(2 * S, r, 0)));
        assert_eq!((a.view().digest, a.ready()), (b.view().digest, b.ready()));
        assert_eq!(
            (a.view().ready, a.ready().len()),
            (2, 2),
            "the draining one is not in it"
        );
        assert!(a.differing(&b.buckets()).is_empty());
        let since = a.view().since;
        a.merge(9 * S, &record("n2", 2), 0);
        assert_eq!(a.view().since, since, "who is ready has not changed");
        assert_eq!(
            a.differing(&b.buckets()).len(),
            a.differing(&b.buckets())
                .iter()
                .filter(|r| bucket(&r.record.name) == bucket("n2"))
                .count()
        );
    }

    #[test]
    fn those_that_are_gone_are_forgotten_by_all_at_once_and_not_learned_again() {
        let (mut a, mut b) = (table(), table());
        let dead = MemberRecord {
            verdict: Liveness::Dead,
            ..record("n1", 3)
        };
        a.merge(S, &record("n1", 3), 0);
        a.merge(S, &dead, 0);
        // Told later, with its age.
        b.merge(6 * S, &dead, 5 * S);
        assert!(a.forget(10 * S).is_empty() && b.forget(10 * S).is_empty());
        assert_eq!((a.forget(11 * S).len(), b.forget(11 * S).len()), (1, 1));
        assert_eq!(a.merge(12 * S, &dead, 11 * S), None);
        assert!(a.get("n1").is_none());
    }

    #[test]
    fn a_full_table_drops_the_dead_and_refuses_the_rest() {
        let mut t = Table::new(record("n0", 1), 3, 10 * S);
        t.merge(S, &record("n1", 1), 0);
        t.merge(S, &record("n2", 1), 0);
        assert_eq!(t.merge(S, &record("n3", 1), 0), None);
        t.judge(2 * S, "n1", Liveness::Dead);
        assert!(t.merge(3 * S, &record("n3", 1), 0).is_some());
        assert_eq!(t.len(), 3);
    }

    #[test]
    fn news_is_passed_on_some_times_and_then_no_more() {
        let mut t = table();
        t.merge(S, &record("n1", 1), 0);
        let mut sent = 0;
        for _ in 0..100 {
            t.passing(|r| {
                sent += u32::from(r.record.name == "n1");
                true
            });
        }
        assert_eq!(sent, PASSED_ON * 2);
        t.passing(|_| panic!("nothing is left"));
    }

    #[test]
    fn a_few_accusers_are_told_apart() {
        let mut t = table();
        t.merge(S, &record("n1", 1), 0);
        assert!(!t.accused("n1", 5, 3), "it is no suspect");
        t.judge(S, "n1", Liveness::Suspect);
        assert!(t.accused("n1", 5, 2) && !t.accused("n1", 5, 2) && t.accused("n1", 6, 2));
        assert!(!t.accused("n1", 7, 2));
        assert_eq!(t.accusers("n1"), [5, 6]);
    }
}
