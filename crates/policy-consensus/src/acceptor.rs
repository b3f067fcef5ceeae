//! A keeper: one of those among whom the register is kept (the acceptor of Paxos, for a register that is changed again and again as in
//! CASPaxos, Rystsov 2018), and who grant leases on what it holds.
//!
//! A keeper that has accepted another policy goes on granting the one before until a time that is fixed then, a lease's length
//! later, and grants the new one from that time on. So each lease on the one before that it ever granted is over when one on the new
//! one begins; and as any two majorities share a keeper, no two gateways let requests in under both.

use crate::{Ballot, LeaseConfig, Policy, PolicyId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What has to be on disk before an answer goes out.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptorState {
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Policy)>,
    /// The number of the ballot by which it joined in the place of an earlier keeper; 0: it is the first in its place.
    pub incarnation: u64,
    /// Of the other keepers, by their place, as far as they were told here: an earlier life's word counts no more.
    pub incarnations: BTreeMap<u64, u64>,
    /// It takes an earlier one's place and has not heard enough of the others yet: it keeps nothing.
    pub joining: bool,
}

impl AcceptorState {
    /// A keeper's first: what each gateway's own files say is in force.
    pub fn first() -> AcceptorState {
        AcceptorState {
            accepted: Some(Default::default()),
            ..AcceptorState::default()
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AcceptorRequest {
    Prepare(Ballot),
    /// The same, and the keeper of this place is another from now on, with the ballot's number as its life.
    Join(Ballot, u64),
    /// The promises on which it rests: place and life of each keeper that gave one.
    Accept(Ballot, Policy, Vec<(u64, u64)>),
    /// A gateway wants a lease.
    Lease,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AcceptorReply {
    /// No ballot below it is accepted any more; what was accepted so far.
    Promised(Ballot, Option<(Ballot, Policy)>),
    Accepted(Ballot),
    /// A higher ballot was promised.
    Preempted(Ballot),
    /// The policy before is still granted, for so long: no other is accepted meanwhile.
    Busy(u64),
    /// What may be served under what, by this keeper's word.
    Lease(LeaseGrant),
}

/// Times from when it was sent; with each policy the ballot by which it was accepted here: it is chosen only where a majority
/// accepted it by one and the same.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The policy before, for so long.
    pub before: Option<(PolicyId, Ballot, u64)>,
    /// The policy that is accepted: from when on, and how long from then.
    pub now: Option<(Policy, Ballot, u64, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    times: LeaseConfig,
    /// Its place among the keepers.
    me: u64,
    state: AcceptorState,
    /// Not on disk: whoever started again does not know if its turn is over.
    before: Option<(PolicyId, Ballot)>,
    /// The policy before is granted till then, and the accepted one from then on.
    turn: u64,
}

impl Acceptor {
    /// As a keeper starts, with what it had on disk. What it granted before it stopped it has forgotten: all that was is over a lease
    /// from now.
    pub fn new(times: LeaseConfig, me: u64, state: AcceptorState, now: u64) -> Acceptor {
        Acceptor {
            times,
            me,
            state,
            before: None,
            turn: now + times.lease_us,
        }
    }

    pub fn state(&self) -> &AcceptorState {
        &self.state
    }

    /// The answer, and whether the state has to be on disk before it goes out.
    pub fn handle(&mut self, now: u64, ask: AcceptorRequest) -> (AcceptorReply, bool) {
        match ask {
            // Asked again it says so again: the answer may have been lost.
            AcceptorRequest::Prepare(ballot) if ballot >= self.state.promised => {
                let news = ballot > self.state.promised;
                self.state.promised = ballot;
                (AcceptorReply::Promised(ballot, self.state.accepted), news)
            }
            // Its number is a life: no two may have the same.
            AcceptorRequest::Join(ballot, place)
                if ballot.number > self.state.promised.number && place != self.me =>
            {
                self.state.promised = ballot;
                self.state.incarnations.insert(place, ballot.number);
                (AcceptorReply::Promised(ballot, self.state.accepted), true)
            }
            AcceptorRequest::Accept(ballot, policy, rests)
                if ballot >= self.state.promised && !self.outlived(&rests) =>
            {
                let was = self.state.accepted.as_ref().map(|(b, p)| (p.id(), *b));
                let another = was.map(|(id, _)| id) != Some(policy.id());
                // Leases on one that has not had its turn may be out: with a third one no single time would end them all.
                if another && was.is_some() && now < self.turn {
                    return (AcceptorReply::Busy(self.turn - now), false);
                }
                let news =
                    self.state.promised != ballot || self.state.accepted != Some((ballot, policy));
                self.state.promised = ballot;
                self.state.accepted = Some((ballot, policy));
                if another {
                    self.before = was;
                    self.turn = now + self.times.lease_us;
                }
                (AcceptorReply::Accepted(ballot), news)
            }
            AcceptorRequest::Prepare(_)
            | AcceptorRequest::Join(..)
            | AcceptorRequest::Accept(..) => (AcceptorReply::Preempted(self.state.promised), false),
            AcceptorRequest::Lease => (AcceptorReply::Lease(self.grant(now)), false),
        }
    }

    /// One of these promises was given by a keeper whose place another has taken.
    fn outlived(&self, rests: &[(u64, u64)]) -> bool {
        rests.iter().any(|(place, life)| match *place == self.me {
            true => *life != self.state.incarnation,
            false => self
                .state
                .incarnations
                .get(place)
                .is_some_and(|known| life < known),
        })
    }

    fn grant(&self, now: u64) -> LeaseGrant {
        let left = self.turn.saturating_sub(now);
        let before = self
            .before
            .filter(|_| left > 0)
            .map(|(id, ballot)| (id, ballot, left));
        let accepted = self.state.accepted;
        LeaseGrant {
            before,
            now: accepted.map(|(ballot, p)| (p, ballot, left, self.times.lease_us)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::tests::{ballot, policy};

    const TIMES: LeaseConfig = LeaseConfig {
        lease_us: 1_000,
        drift: 10,
    };

    fn grant(k: &mut Acceptor, now: u64) -> LeaseGrant {
        match k.handle(now, AcceptorRequest::Lease) {
            (AcceptorReply::Lease(g), false) => g,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn a_lower_ballot_is_outrun_and_what_was_accepted_is_told() {
        let mut k = Acceptor::new(TIMES, 0, AcceptorState::default(), 0);
        assert_eq!(
            k.handle(0, AcceptorRequest::Prepare(ballot(2))),
            (AcceptorReply::Promised(ballot(2), None), true)
        );
        assert_eq!(
            k.handle(0, AcceptorRequest::Accept(ballot(1), policy(1), Vec::new())),
            (AcceptorReply::Preempted(ballot(2)), false)
        );
        assert_eq!(
            k.handle(0, AcceptorRequest::Accept(ballot(2), policy(1), Vec::new())),
            (AcceptorReply::Accepted(ballot(2)), true)
        );
        let told = k.handle(0, AcceptorRequest::Prepare(ballot(3))).0;
        assert_eq!(
            told,
            AcceptorReply::Promised(ballot(3), Some((ballot(2), policy(1))))
        );
    }

    #[test]
    fn the_one_before_is_granted_until_the_turn_and_the_new_one_from_then_on() {
        let mut k = Acceptor::new(TIMES, 0, AcceptorState::default(), 0);
        k.handle(0, AcceptorRequest::Accept(ballot(1), policy(1), Vec::new()));
        assert_eq!(
            grant(&mut k, 400),
            LeaseGrant {
                before: None,
                now: Some((policy(1), ballot(1), 600, 1_000))
            }
        );
        assert_eq!(
            grant(&mut k, 2_000),
            LeaseGrant {
                before: None,
                now: Some((policy(1), ballot(1), 0, 1_000))
            }
        );
        k.handle(
            5_000,
            AcceptorRequest::Accept(ballot(2), policy(2), Vec::new()),
        );
        let g = grant(&mut k, 5_300);
        assert_eq!(
            g,
            LeaseGrant {
                before: Some((policy(1).id(), ballot(1), 700)),
                now: Some((policy(2), ballot(2), 700, 1_000))
            }
        );
        assert_eq!(grant(&mut k, 6_000).before, None);
        // Accepted again under another ballot, as a proposer does that finishes another's change: the turn stays.
        k.handle(
            6_000,
            AcceptorRequest::Accept(ballot(3), policy(2), Vec::new()),
        );
        assert_eq!(
            grant(&mut k, 6_100).now,
            Some((policy(2), ballot(3), 0, 1_000))
        );
    }

    #[test]
    fn a_change_within_a_turn_has_to_wait_for_its_end() {
        let mut k = Acceptor::new(TIMES, 0, AcceptorState::default(), 0);
        k.handle(0, AcceptorRequest::Accept(ballot(1), policy(1), Vec::new()));
        k.handle(
            5_000,
            AcceptorRequest::Accept(ballot(2), policy(2), Vec::new()),
        );
        assert_eq!(
            k.handle(
                5_500,
                AcceptorRequest::Accept(ballot(3), policy(3), Vec::new())
            ),
            (AcceptorReply::Busy(500), false)
        );
        assert_eq!(
            k.handle(
                6_000,
                AcceptorRequest::Accept(ballot(3), policy(3), Vec::new())
            ),
            (AcceptorReply::Accepted(ballot(3)), true)
        );
        assert_eq!(
            grant(&mut k, 6_100).before,
            Some((policy(2).id(), ballot(2), 900))
        );
    }

    #[test]
    fn what_rests_on_the_word_of_a_keeper_whose_place_was_taken_is_not_accepted() {
        let mut k = Acceptor::new(TIMES, 0, AcceptorState::first(), 0);
        assert!(matches!(
            k.handle(0, AcceptorRequest::Join(ballot(5), 2)).0,
            AcceptorReply::Promised(..)
        ));
        assert_eq!(
            k.handle(0, AcceptorRequest::Prepare(ballot(6))).0,
            AcceptorReply::Promised(ballot(6), Some(Default::default()))
        );
        let accept = |rests: Vec<(u64, u64)>| AcceptorRequest::Accept(ballot(6), policy(1), rests);
        assert_eq!(
            k.handle(5_000, accept(vec![(0, 0), (2, 0)])).0,
            AcceptorReply::Preempted(ballot(6))
        );
        assert_eq!(
            k.handle(5_000, accept(vec![(0, 3), (1, 0)])).0,
            AcceptorReply::Preempted(ballot(6)),
            "of another life of its own"
        );
        assert_eq!(
            k.handle(5_000, accept(vec![(0, 0), (2, 5)])).0,
            AcceptorReply::Accepted(ballot(6))
        );
        assert!(
            matches!(
                k.handle(0, AcceptorRequest::Join(ballot(6), 2)).0,
                AcceptorReply::Preempted(_)
            ),
            "it has to be above all"
        );
    }

    #[test]
    fn a_keeper_that_starts_again_waits_a_lease_before_it_grants_what_it_accepted() {
        let mut k = Acceptor::new(TIMES, 0, AcceptorState::default(), 0);
        k.handle(0, AcceptorRequest::Accept(ballot(1), policy(1), Vec::new()));
        k.handle(
            5_000,
            AcceptorRequest::Accept(ballot(2), policy(2), Vec::new()),
        );
        let mut k = Acceptor::new(TIMES, 0, k.state().clone(), 5_100);
        assert_eq!(
            grant(&mut k, 5_100).now,
            Some((policy(2), ballot(2), 1_000, 1_000))
        );
        assert_eq!(
            grant(&mut k, 5_100).before,
            None,
            "its turn may be over long since"
        );
    }
}
