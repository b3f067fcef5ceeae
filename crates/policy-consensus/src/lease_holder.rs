//! A lease holder: a gateway admits requests only under a policy that is chosen, and on which a majority of the acceptors has granted
//! it a lease.
//!
//! The durations in a grant run from when the acceptor sent it. So an end is counted from when the gateway sent its request, and a
//! beginning from when the grant was received: then the time that messages take cannot make a lease longer. To allow for clocks that
//! drift, leases are taken for a little shorter and waits for a little longer than granted.

use crate::acceptor::LeaseGrant;
use crate::{majority, Ballot, LeaseConfig, Policy, PolicyId};
use std::collections::{BTreeMap, BTreeSet};

/// A lease by one acceptor, on a policy that it accepted by a ballot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lease {
    id: PolicyId,
    ballot: Ballot,
    starts_at: u64,
    ends_at: u64,
}

impl Lease {
    fn is_valid(&self, now: u64) -> bool {
        self.starts_at <= now && now < self.ends_at
    }
}

/// The state machine of a lease holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    config: LeaseConfig,
    acceptors: usize,
    /// By acceptor index: the lease on the previous policy, if any, then that on the accepted one.
    leases: BTreeMap<u64, Vec<Lease>>,
    policies: BTreeMap<PolicyId, Policy>,
    /// The policies that a majority accepted by the same ballot, and that ballot. They stay chosen, whatever ballots acceptors report
    /// for them later.
    chosen: BTreeMap<PolicyId, Ballot>,
    highest_held_version: u64,
}

impl LeaseHolder {
    /// A lease holder that has no leases yet from any of the `acceptors`.
    pub fn new(config: LeaseConfig, acceptors: usize) -> LeaseHolder {
        LeaseHolder {
            config,
            acceptors,
            leases: BTreeMap::new(),
            policies: BTreeMap::new(),
            chosen: BTreeMap::new(),
            highest_held_version: 0,
        }
    }

    /// How often leases are to be requested, so that two answers in a row may be lost.
    pub fn renewal_interval_us(&self) -> u64 {
        self.config.lease_us / 4
    }

    /// Takes an acceptor's grant, received at `now` in answer to a request sent at `requested_at`. It replaces that acceptor's
    /// earlier grants.
    pub fn record_grant(&mut self, requested_at: u64, now: u64, acceptor: u64, grant: LeaseGrant) {
        let mut leases = Vec::new();
        if let Some(previous) = grant.previous {
            leases.push(Lease {
                id: previous.id,
                ballot: previous.ballot,
                starts_at: 0,
                ends_at: requested_at + self.config.shrink_for_drift(previous.remaining_us),
            });
        }
        if let Some(current) = grant.current {
            let id = current.policy.id();
            let starts_at = if current.starts_in_us == 0 {
                0
            } else {
                now + self.config.stretch_for_drift(current.starts_in_us)
            };
            let ends_in_us = current.starts_in_us + current.duration_us;
            leases.push(Lease {
                id,
                ballot: current.ballot,
                starts_at,
                ends_at: requested_at + self.config.shrink_for_drift(ends_in_us),
            });
            self.policies.insert(id, current.policy);
        }
        self.leases.insert(acceptor, leases);
        self.update_chosen();
        self.forget_unused_policies();
    }

    /// Finds policies that a majority has accepted by the same ballot. Leases that have ended count as well: what an acceptor said
    /// that it accepted it did accept.
    fn update_chosen(&mut self) {
        let mut votes: BTreeMap<(PolicyId, Ballot), usize> = BTreeMap::new();
        for lease in self.leases.values().flatten() {
            *votes.entry((lease.id, lease.ballot)).or_default() += 1;
        }
        let quorum = majority(self.acceptors);
        let chosen = votes
            .into_iter()
            .filter(|(_, count)| *count >= quorum)
            .map(|(vote, _)| vote);
        self.chosen.extend(chosen);
    }

    fn forget_unused_policies(&mut self) {
        let leases = self.leases.values().flatten();
        let leased: BTreeSet<PolicyId> = leases.map(|lease| lease.id).collect();
        let highest_held_version = self.highest_held_version;
        self.policies
            .retain(|id, _| leased.contains(id) || id.version == highest_held_version);
        self.chosen
            .retain(|id, _| id.version >= highest_held_version);
    }

    /// The policy under which requests may be admitted at `now`. From then on no earlier version is held any more.
    pub fn advance_to_held_policy(&mut self, now: u64) -> Option<PolicyId> {
        let id = self.held_policy_at(now)?;
        self.highest_held_version = id.version;
        Some(id)
    }

    /// The policy that will be held at `time`, as far as is known now.
    pub fn held_policy_at(&self, time: u64) -> Option<PolicyId> {
        let mut votes: BTreeMap<PolicyId, usize> = BTreeMap::new();
        for lease in self.leases.values().flatten() {
            if lease.is_valid(time) {
                *votes.entry(lease.id).or_default() += 1;
            }
        }
        let quorum = majority(self.acceptors);
        let leased_by_majority = votes
            .into_iter()
            .filter(|(_, count)| *count >= quorum)
            .map(|(id, _)| id);
        leased_by_majority
            .filter(|id| id.version >= self.highest_held_version && self.chosen.contains_key(id))
            .max()
    }

    /// The next time at which another policy or none may be held, if nothing is received until then.
    pub fn next_change(&self, now: u64) -> Option<u64> {
        self.lease_bounds().filter(|time| *time > now).min()
    }

    /// The time from which on a policy will be held by the leases that are already granted.
    pub fn pending_until(&self, now: u64) -> Option<u64> {
        let mut bounds: Vec<u64> = self.lease_bounds().filter(|time| *time > now).collect();
        bounds.sort_unstable();
        bounds
            .into_iter()
            .find(|time| self.held_policy_at(*time).is_some())
    }

    fn lease_bounds(&self) -> impl Iterator<Item = u64> + '_ {
        self.leases
            .values()
            .flatten()
            .flat_map(|lease| [lease.starts_at, lease.ends_at])
    }

    /// Drops the leases of an acceptor after a new one has taken its place. What the old one accepted still counts as accepted.
    pub fn forget_acceptor(&mut self, acceptor: u64) {
        self.leases.remove(&acceptor);
    }

    /// The latest policy that is known to be chosen, and the ballot by which any acceptor may accept it.
    pub fn latest_chosen(&self) -> Option<(Ballot, Policy)> {
        let (id, ballot) = self.chosen.last_key_value()?;
        Some((*ballot, *self.policies.get(id)?))
    }

    /// The highest ballot number in any lease; 0 without one.
    pub fn highest_ballot_number(&self) -> u64 {
        self.leases
            .values()
            .flatten()
            .map(|lease| lease.ballot.number)
            .max()
            .unwrap_or(0)
    }

    /// Whether the acceptors that were heard of late have accepted different policies, or one that is not chosen: then a proposer
    /// left a change incomplete.
    pub fn acceptors_diverge(&self, now: u64) -> bool {
        let accepted: Vec<&Lease> = self
            .leases
            .values()
            .filter_map(|leases| leases.last())
            .filter(|lease| now < lease.ends_at)
            .collect();
        let Some(first) = accepted.first() else {
            return false;
        };
        accepted
            .iter()
            .any(|lease| lease.id != first.id || !self.chosen.contains_key(&lease.id))
    }

    /// The highest version that was ever held.
    pub fn highest_held_version(&self) -> u64 {
        self.highest_held_version
    }

    /// All policies that acceptors reported.
    pub fn known_policies(&self) -> impl Iterator<Item = &Policy> {
        self.policies.values()
    }

    /// A policy that acceptors reported.
    pub fn policy(&self, id: &PolicyId) -> Option<&Policy> {
        self.policies.get(id)
    }
}

#[cfg(test)]
mod tests;
