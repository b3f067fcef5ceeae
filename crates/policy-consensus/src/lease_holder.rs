//! A lease holder: a gateway admits requests only under a policy that is chosen and on which a majority of the
//! acceptors has granted it leases.
//!
//! The durations in a grant count from the time at which the acceptor sent it, which the gateway does not know. The
//! gateway counts the end of a lease from the time at which it sent its request, and the beginning from the time at
//! which it received the grant, so message delay cannot lengthen a lease. To allow for the drift of both clocks, the
//! gateway shortens each lease and lengthens each wait as computed by [`LeaseConfig`].

use crate::acceptor::LeaseGrant;
use crate::{majority, Ballot, LeaseConfig, Policy, PolicyId};
use std::collections::{BTreeMap, BTreeSet};

/// A lease granted by one acceptor, with times of the gateway's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lease {
    id: PolicyId,
    /// The ballot by which the acceptor accepted the policy.
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
    /// The number of acceptors.
    acceptors: usize,
    /// Leases by acceptor index: the lease on the previous policy, if any, then the lease on the accepted one.
    leases: BTreeMap<u64, Vec<Lease>>,
    /// The policies that acceptors reported as accepted.
    policies: BTreeMap<PolicyId, Policy>,
    /// The policies that a majority accepted by the same ballot, with that ballot. They stay chosen when acceptors
    /// report other ballots for them later.
    chosen: BTreeMap<PolicyId, Ballot>,
    /// The highest version that was ever held; earlier versions are not held again.
    highest_held_version: u64,
}

impl LeaseHolder {
    /// Creates a lease holder without leases; `acceptors` is the number of acceptors.
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

    /// Returns the interval between lease requests, in microseconds. It is short enough that two consecutive replies
    /// may be lost.
    pub fn renewal_interval_us(&self) -> u64 {
        self.config.lease_us / 4
    }

    /// Records an acceptor's grant, which was received at `now` in reply to a request sent at `requested_at`. It
    /// replaces the earlier grants of that acceptor.
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
        self.evict_unused_policies();
    }

    /// Adds the policies that a majority has accepted by the same ballot to the chosen ones. Expired leases count
    /// too, because the acceptor did accept the policy that it reported.
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

    /// Drops the policies on which no acceptor reported a lease, except the one held last. Drops the chosen policies
    /// whose version is below the highest held one.
    fn evict_unused_policies(&mut self) {
        let leases = self.leases.values().flatten();
        let leased: BTreeSet<PolicyId> = leases.map(|lease| lease.id).collect();
        let highest_held_version = self.highest_held_version;
        self.policies
            .retain(|id, _| leased.contains(id) || id.version == highest_held_version);
        self.chosen
            .retain(|id, _| id.version >= highest_held_version);
    }

    /// Returns the policy under which requests may be admitted at `now`, and records its version so that no earlier
    /// version is held again.
    pub fn advance_to_held_policy(&mut self, now: u64) -> Option<PolicyId> {
        let id = self.held_policy_at(now)?;
        self.highest_held_version = id.version;
        Some(id)
    }

    /// Returns the policy that is held at `time` by the leases granted so far.
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

    /// Returns the earliest time after `now` at which the held policy may change if no grant is received until then.
    pub fn next_change_at(&self, now: u64) -> Option<u64> {
        self.lease_bounds().filter(|time| *time > now).min()
    }

    /// Returns the earliest time after `now` from which a policy is held by the leases granted so far.
    pub fn next_held_at(&self, now: u64) -> Option<u64> {
        let mut bounds: Vec<u64> = self.lease_bounds().filter(|time| *time > now).collect();
        bounds.sort_unstable();
        bounds
            .into_iter()
            .find(|time| self.held_policy_at(*time).is_some())
    }

    /// Returns the start and end times of all leases.
    fn lease_bounds(&self) -> impl Iterator<Item = u64> + '_ {
        self.leases
            .values()
            .flatten()
            .flat_map(|lease| [lease.starts_at, lease.ends_at])
    }

    /// Drops the leases of an acceptor that was replaced by a new one. The policies that the old one helped to choose
    /// stay chosen.
    pub fn discard_acceptor(&mut self, acceptor: u64) {
        self.leases.remove(&acceptor);
    }

    /// Returns the chosen policy of the highest version, with a ballot by which a majority accepted it and any
    /// acceptor may accept it; `None` if no policy is known to be chosen or no acceptor has reported its contents.
    pub fn latest_chosen(&self) -> Option<(Ballot, Policy)> {
        let (id, ballot) = self.chosen.last_key_value()?;
        Some((*ballot, *self.policies.get(id)?))
    }

    /// Returns the highest ballot number in any lease; 0 without leases.
    pub fn highest_ballot_number(&self) -> u64 {
        self.leases
            .values()
            .flatten()
            .map(|lease| lease.ballot.number)
            .max()
            .unwrap_or(0)
    }

    /// Returns whether the acceptors with unexpired leases have accepted different policies, or one that is not
    /// chosen. In both cases a change is incomplete: it is still in progress, or its proposer abandoned it.
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

    /// Returns the highest version that was ever held.
    pub fn highest_held_version(&self) -> u64 {
        self.highest_held_version
    }

    /// Returns the policies that acceptors reported.
    pub fn known_policies(&self) -> impl Iterator<Item = &Policy> {
        self.policies.values()
    }

    /// Returns the policy with this id if an acceptor reported it.
    pub fn policy(&self, id: &PolicyId) -> Option<&Policy> {
        self.policies.get(id)
    }
}

#[cfg(test)]
mod tests;
