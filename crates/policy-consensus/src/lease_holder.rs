//! A gateway: it lets requests in only under a policy that is chosen, and on which a majority of the keepers has given it a lease.
//! Their times run from when they sent them: an end is counted from when the gateway asked, a beginning from when the answer came, so
//! that neither way of a message matters; and a lease is taken for a little shorter, and a wait for a little longer, than was said,
//! for clocks that drift.

use crate::acceptor::LeaseGrant;
use crate::{majority, Ballot, LeaseConfig, Policy, PolicyId};
use std::collections::{BTreeMap, BTreeSet};

/// A lease by one keeper, on what it accepted by a ballot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lease {
    id: PolicyId,
    ballot: Ballot,
    from: u64,
    till: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    times: LeaseConfig,
    keepers: usize,
    /// By keeper: on the policy before, and on the one accepted there.
    leases: BTreeMap<u64, Vec<Lease>>,
    policies: BTreeMap<PolicyId, Policy>,
    /// Those that a majority accepted by one ballot: they are chosen for good, by whatever ballot keepers hold them later.
    chosen: BTreeMap<PolicyId, Ballot>,
    /// The highest version it was ever in: it goes back to none below.
    high: u64,
}

impl LeaseHolder {
    pub fn new(times: LeaseConfig, keepers: usize) -> LeaseHolder {
        let (leases, policies, chosen) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        LeaseHolder {
            times,
            keepers,
            leases,
            policies,
            chosen,
            high: 0,
        }
    }

    /// How often keepers are to be asked, so that two answers may be lost.
    pub fn asks_every_us(&self) -> u64 {
        self.times.lease_us / 4
    }

    /// A keeper's answer to what was asked at a time. The last that came counts: each end lies before the keeper's next turn.
    pub fn granted(&mut self, asked: u64, now: u64, keeper: u64, grant: LeaseGrant) {
        let mut leases = Vec::new();
        if let Some((id, ballot, left)) = grant.before {
            leases.push(Lease {
                id,
                ballot,
                from: 0,
                till: asked + self.times.shrink_for_drift(left),
            });
        }
        if let Some((policy, ballot, left, length)) = grant.now {
            let id = policy.id();
            let from = if left == 0 {
                0
            } else {
                now + self.times.stretch_for_drift(left)
            };
            leases.push(Lease {
                id,
                ballot,
                from,
                till: asked + self.times.shrink_for_drift(left + length),
            });
            self.policies.insert(id, policy);
        }
        self.leases.insert(keeper, leases);
        self.learn();
        let leased: BTreeSet<PolicyId> = self.leases.values().flatten().map(|l| l.id).collect();
        let high = self.high;
        self.policies
            .retain(|id, _| leased.contains(id) || id.version == high);
        self.chosen.retain(|id, _| id.version >= high);
    }

    /// What keepers said that they accepted they did accept, if long ago.
    fn learn(&mut self) {
        let mut votes: BTreeMap<(PolicyId, Ballot), usize> = BTreeMap::new();
        self.leases
            .values()
            .flatten()
            .for_each(|l| *votes.entry((l.id, l.ballot)).or_default() += 1);
        let most = majority(self.keepers);
        self.chosen.extend(
            votes
                .into_iter()
                .filter(|(_, n)| *n >= most)
                .map(|(vote, _)| vote),
        );
    }

    /// The policy under which a request may be let in now; none: under none.
    pub fn holds(&mut self, now: u64) -> Option<PolicyId> {
        let id = self.at(now)?;
        self.high = id.version;
        Some(id)
    }

    /// The same of any time, as far as is known now.
    pub fn at(&self, now: u64) -> Option<PolicyId> {
        let mut votes: BTreeMap<PolicyId, usize> = BTreeMap::new();
        for leases in self.leases.values() {
            let valid = leases.iter().filter(|l| l.from <= now && now < l.till);
            valid.for_each(|l| *votes.entry(l.id).or_default() += 1);
        }
        let most = majority(self.keepers);
        let may = |id: &PolicyId| id.version >= self.high && self.chosen.contains_key(id);
        votes
            .into_iter()
            .filter(|(id, n)| *n >= most && may(id))
            .map(|(id, _)| id)
            .max()
    }

    /// When what is held may next be another, if nothing is heard until then.
    pub fn next_change(&self, now: u64) -> Option<u64> {
        self.bounds().filter(|at| *at > now).min()
    }

    /// None is held now: from when on one is, by the leases that are there.
    pub fn pending_until(&self, now: u64) -> Option<u64> {
        let mut after: Vec<u64> = self.bounds().filter(|at| *at > now).collect();
        after.sort_unstable();
        after.into_iter().find(|at| self.at(*at).is_some())
    }

    fn bounds(&self) -> impl Iterator<Item = u64> + '_ {
        self.leases
            .values()
            .flatten()
            .flat_map(|l| [l.from, l.till])
    }

    /// Another keeper has taken the place of this one: its leases count no more. What it accepted it did accept.
    pub fn outlived(&mut self, keeper: u64) {
        self.leases.remove(&keeper);
    }

    /// The last that is known to be chosen, and by which ballot: any keeper may accept it by that.
    pub fn chosen(&self) -> Option<(Ballot, Policy)> {
        let (id, ballot) = self.chosen.last_key_value()?;
        Some((*ballot, *self.policies.get(id)?))
    }

    /// The highest ballot that keepers told of.
    pub fn highest_ballot(&self) -> u64 {
        self.leases
            .values()
            .flatten()
            .map(|l| l.ballot.number)
            .max()
            .unwrap_or(0)
    }

    /// Keepers that were heard of late hold different policies, or one that is not chosen: somebody stopped half way.
    pub fn apart(&self, now: u64) -> bool {
        let fresh = |l: &&Lease| now < l.till;
        let last: Vec<&Lease> = self
            .leases
            .values()
            .filter_map(|all| all.last())
            .filter(fresh)
            .collect();
        let Some(first) = last.first() else {
            return false;
        };
        last.iter()
            .any(|l| l.id != first.id || !self.chosen.contains_key(&l.id))
    }

    /// The highest version that was ever held.
    pub fn high(&self) -> u64 {
        self.high
    }

    /// All that keepers told of.
    pub fn known(&self) -> impl Iterator<Item = &Policy> {
        self.policies.values()
    }

    pub fn policy(&self, id: &PolicyId) -> Option<&Policy> {
        self.policies.get(id)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::tests::{ballot, policy};

    const TIMES: LeaseConfig = LeaseConfig {
        lease_us: 1_000_000,
        drift: 10,
    };

    fn by(number: u64, version: u64) -> LeaseGrant {
        LeaseGrant {
            before: None,
            now: Some((policy(version), ballot(number), 0, 1_000_000)),
        }
    }

    #[test]
    fn a_majority_has_to_say_so_and_its_word_ends() {
        let mut t = LeaseHolder::new(TIMES, 3);
        t.granted(0, 1_000, 1, by(1, 4));
        assert_eq!(t.holds(2_000), None);
        t.granted(0, 1_000, 2, by(1, 4));
        assert_eq!(t.holds(2_000), Some(policy(4).id()));
        assert_eq!(t.holds(980_000), Some(policy(4).id()));
        assert_eq!(
            t.holds(981_000),
            None,
            "a little less than was said, from when it was asked"
        );
        assert!(t.policy(&policy(4).id()).is_some());
    }

    #[test]
    fn two_who_say_two_things_are_no_majority() {
        let mut t = LeaseHolder::new(TIMES, 3);
        t.granted(0, 0, 1, by(1, 4));
        t.granted(0, 0, 2, by(2, 5));
        assert_eq!(t.holds(1), None);
        t.granted(0, 0, 3, by(2, 5));
        assert_eq!(t.holds(1), Some(policy(5).id()));
        // And never back.
        t.granted(2, 2, 2, by(1, 4));
        assert_eq!(t.holds(3), None);
    }

    #[test]
    fn two_who_accepted_it_by_two_ballots_have_not_chosen_it() {
        let mut t = LeaseHolder::new(TIMES, 3);
        t.granted(0, 0, 1, by(1, 4));
        t.granted(0, 0, 2, by(3, 4));
        assert_eq!(t.holds(1), None);
        t.granted(0, 0, 3, by(3, 4));
        assert_eq!(t.holds(1), Some(policy(4).id()));
        // Chosen it stays, while a later proposer goes round.
        t.granted(0, 0, 3, by(5, 4));
        assert_eq!(t.holds(1), Some(policy(4).id()));
    }

    #[test]
    fn over_a_turn_it_goes_from_one_to_the_next_with_hardly_a_gap() {
        let mut t = LeaseHolder::new(TIMES, 3);
        let turning = |left| LeaseGrant {
            before: Some((policy(1).id(), ballot(1), left)),
            now: Some((policy(2), ballot(2), left, 1_000_000)),
        };
        let mut gap = 0;
        for at in (0..1_500_000u64).step_by(1_000) {
            if at % 250_000 == 0 {
                for keeper in 1..=3 {
                    let left = 1_000_000u64.saturating_sub(at);
                    t.granted(
                        at,
                        at + 2_000,
                        keeper,
                        if left > 0 { turning(left) } else { by(2, 2) },
                    );
                }
            }
            gap += u64::from(t.holds(at + 2_000).is_none());
        }
        assert!(gap <= 40, "{gap} ms in a turn of a second");
    }
}
