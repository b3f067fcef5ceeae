//! A keeper: one of those among whom the register is kept (the acceptor of Paxos, for a register that is changed again and again as in
//! CASPaxos, Rystsov 2018), and who grant leases on what it holds.
//!
//! A keeper that has accepted another policy goes on granting the one before until a time that is fixed then, a lease's length
//! later, and grants the new one from that time on. So each lease on the one before that it ever granted is over when one on the new
//! one begins; and as any two majorities share a keeper, no two gateways let requests in under both.

use crate::{Ballot, Id, Policy, Times};
use serde::{Deserialize, Serialize};

/// What has to be on disk before an answer goes out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Durable {
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Policy)>,
}

impl Durable {
    /// A keeper's first: what each gateway's own files say is in force.
    pub fn first() -> Durable {
        Durable { accepted: Some(Default::default()), ..Durable::default() }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    Prepare(Ballot),
    Accept(Ballot, Policy),
    /// A gateway wants a lease.
    Lease,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// No ballot below it is accepted any more; what was accepted so far.
    Promised(Ballot, Option<(Ballot, Policy)>),
    Accepted(Ballot),
    /// A higher ballot was promised.
    Outrun(Ballot),
    /// The policy before is still granted, for so long: no other is accepted meanwhile.
    Busy(u64),
    /// What may be served under what, by this keeper's word.
    Lease(Grant),
}

/// Times from when it was sent; with each policy the ballot by which it was accepted here: it is chosen only where a majority
/// accepted it by one and the same.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The policy before, for so long.
    pub before: Option<(Id, Ballot, u64)>,
    /// The policy that is accepted: from when on, and how long from then.
    pub now: Option<(Policy, Ballot, u64, u64)>,
}

pub struct Keeper {
    times: Times,
    state: Durable,
    /// Not on disk: whoever started again does not know if its turn is over.
    before: Option<(Id, Ballot)>,
    /// The policy before is granted till then, and the accepted one from then on.
    turn: u64,
}

impl Keeper {
    /// As a keeper starts, with what it had on disk. What it granted before it stopped it has forgotten: all that was is over a lease
    /// from now.
    pub fn new(times: Times, state: Durable, now: u64) -> Keeper {
        Keeper { times, state, before: None, turn: now + times.lease_us }
    }

    pub fn state(&self) -> &Durable {
        &self.state
    }

    /// The answer, and whether the state has to be on disk before it goes out.
    pub fn ask(&mut self, now: u64, ask: Ask) -> (Answer, bool) {
        match ask {
            // Asked again it says so again: the answer may have been lost.
            Ask::Prepare(ballot) if ballot >= self.state.promised => {
                let news = ballot > self.state.promised;
                self.state.promised = ballot;
                (Answer::Promised(ballot, self.state.accepted), news)
            }
            Ask::Accept(ballot, policy) if ballot >= self.state.promised => {
                let was = self.state.accepted.as_ref().map(|(b, p)| (p.id(), *b));
                let another = was.map(|(id, _)| id) != Some(policy.id());
                // Leases on one that has not had its turn may be out: with a third one no single time would end them all.
                if another && was.is_some() && now < self.turn {
                    return (Answer::Busy(self.turn - now), false);
                }
                let news = self.state.promised != ballot || self.state.accepted != Some((ballot, policy));
                self.state.promised = ballot;
                self.state.accepted = Some((ballot, policy));
                if another {
                    self.before = was;
                    self.turn = now + self.times.lease_us;
                }
                (Answer::Accepted(ballot), news)
            }
            Ask::Prepare(_) | Ask::Accept(..) => (Answer::Outrun(self.state.promised), false),
            Ask::Lease => (Answer::Lease(self.grant(now)), false),
        }
    }

    fn grant(&self, now: u64) -> Grant {
        let left = self.turn.saturating_sub(now);
        let before = self.before.filter(|_| left > 0).map(|(id, ballot)| (id, ballot, left));
        let accepted = self.state.accepted;
        Grant { before, now: accepted.map(|(ballot, p)| (p, ballot, left, self.times.lease_us)) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TIMES: Times = Times { lease_us: 1_000, drift: 10 };

    fn policy(version: u64) -> Policy {
        Policy { version, digest: [version as u8; 32], parent: [0; 32] }
    }

    fn ballot(number: u64) -> Ballot {
        Ballot { number, proposer: 1 }
    }

    fn grant(k: &mut Keeper, now: u64) -> Grant {
        match k.ask(now, Ask::Lease) {
            (Answer::Lease(g), false) => g,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn a_lower_ballot_is_outrun_and_what_was_accepted_is_told() {
        let mut k = Keeper::new(TIMES, Durable::default(), 0);
        assert_eq!(k.ask(0, Ask::Prepare(ballot(2))), (Answer::Promised(ballot(2), None), true));
        assert_eq!(k.ask(0, Ask::Accept(ballot(1), policy(1))), (Answer::Outrun(ballot(2)), false));
        assert_eq!(k.ask(0, Ask::Accept(ballot(2), policy(1))), (Answer::Accepted(ballot(2)), true));
        let told = k.ask(0, Ask::Prepare(ballot(3))).0;
        assert_eq!(told, Answer::Promised(ballot(3), Some((ballot(2), policy(1)))));
    }

    #[test]
    fn the_one_before_is_granted_until_the_turn_and_the_new_one_from_then_on() {
        let mut k = Keeper::new(TIMES, Durable::default(), 0);
        k.ask(0, Ask::Accept(ballot(1), policy(1)));
        assert_eq!(grant(&mut k, 400), Grant { before: None, now: Some((policy(1), ballot(1), 600, 1_000)) });
        assert_eq!(grant(&mut k, 2_000), Grant { before: None, now: Some((policy(1), ballot(1), 0, 1_000)) });
        k.ask(5_000, Ask::Accept(ballot(2), policy(2)));
        let g = grant(&mut k, 5_300);
        assert_eq!(
            g,
            Grant {
                before: Some((policy(1).id(), ballot(1), 700)),
                now: Some((policy(2), ballot(2), 700, 1_000))
            }
        );
        assert_eq!(grant(&mut k, 6_000).before, None);
        // Accepted again under another ballot, as a proposer does that finishes another's change: the turn stays.
        k.ask(6_000, Ask::Accept(ballot(3), policy(2)));
        assert_eq!(grant(&mut k, 6_100).now, Some((policy(2), ballot(3), 0, 1_000)));
    }

    #[test]
    fn a_change_within_a_turn_has_to_wait_for_its_end() {
        let mut k = Keeper::new(TIMES, Durable::default(), 0);
        k.ask(0, Ask::Accept(ballot(1), policy(1)));
        k.ask(5_000, Ask::Accept(ballot(2), policy(2)));
        assert_eq!(k.ask(5_500, Ask::Accept(ballot(3), policy(3))), (Answer::Busy(500), false));
        assert_eq!(k.ask(6_000, Ask::Accept(ballot(3), policy(3))), (Answer::Accepted(ballot(3)), true));
        assert_eq!(grant(&mut k, 6_100).before, Some((policy(2).id(), ballot(2), 900)));
    }

    #[test]
    fn a_keeper_that_starts_again_waits_a_lease_before_it_grants_what_it_accepted() {
        let mut k = Keeper::new(TIMES, Durable::default(), 0);
        k.ask(0, Ask::Accept(ballot(1), policy(1)));
        k.ask(5_000, Ask::Accept(ballot(2), policy(2)));
        let mut k = Keeper::new(TIMES, k.state().clone(), 5_100);
        assert_eq!(grant(&mut k, 5_100).now, Some((policy(2), ballot(2), 1_000, 1_000)));
        assert_eq!(grant(&mut k, 5_100).before, None, "its turn may be over long since");
    }
}
