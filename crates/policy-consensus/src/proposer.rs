//! Who changes the register: first all members that are there look at the policy, then a majority of the keepers promises, then it
//! accepts. A change is whole or none: what a proposer that stopped left half done the next one finishes, whatever it wanted itself.

use crate::acceptor::{AcceptorReply, AcceptorRequest};
use crate::{majority, Ballot, Policy};
use std::collections::{BTreeMap, BTreeSet};

/// How a change ended, as far as this proposer knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalOutcome {
    /// It is in force, for good.
    InForce,
    /// Nothing has changed: who refused it, and why.
    Refused(Vec<(u64, String)>),
    /// Another change is in force in its place: this one will never be.
    Lost(Policy),
    /// Nobody can say yet: keepers that may have it were not heard. Ask again.
    Open,
}

/// What is to be sent to all.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposerOutput {
    /// To the members that are there: can they take it?
    Check(Policy),
    Keepers(AcceptorRequest),
    End(ProposalOutcome),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Checking {
        yes: BTreeSet<u64>,
        of: BTreeSet<u64>,
    },
    /// With each promise the life of the keeper that gave it.
    Preparing {
        promises: BTreeMap<u64, (u64, Option<(Ballot, Policy)>)>,
    },
    Accepting {
        accepted: BTreeSet<u64>,
        value: Policy,
        rests: Vec<(u64, u64)>,
    },
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    keepers: usize,
    /// None: it only finishes what was begun.
    wants: Option<Policy>,
    ballot: Ballot,
    step: Step,
    /// When it gives up waiting for members, and when for keepers.
    checks_till: u64,
    till: u64,
    next: u64,
    again_us: u64,
    /// A higher ballot was promised: this one gets no further.
    outrun: bool,
    tries: u32,
    /// Some keeper may have accepted what it wants.
    sent: bool,
    end: Option<ProposalOutcome>,
}

impl Proposer {
    /// `members`: who has to say that they can take it; `again_us`: after so long without a majority it asks again; `above`: the
    /// highest ballot that was heard of.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        now: u64,
        id: u64,
        above: u64,
        wants: Option<Policy>,
        members: BTreeSet<u64>,
        keepers: usize,
        patience_us: u64,
        again_us: u64,
    ) -> Proposer {
        Proposer {
            keepers,
            step: Step::Checking {
                yes: BTreeSet::new(),
                of: members,
            },
            wants,
            ballot: Ballot {
                number: above,
                proposer: id,
            },
            checks_till: now + patience_us / 2,
            till: now + patience_us,
            next: now,
            again_us,
            outrun: true,
            tries: 0,
            sent: false,
            end: None,
        }
    }

    pub fn end(&self) -> Option<&ProposalOutcome> {
        self.end.as_ref()
    }

    pub fn wants(&self) -> Option<&Policy> {
        self.wants.as_ref()
    }

    fn ends(&mut self, end: ProposalOutcome, out: &mut Vec<ProposerOutput>) {
        self.step = Step::Done;
        self.end = Some(end.clone());
        out.push(ProposerOutput::End(end));
    }

    /// A member says whether it can take the policy.
    pub fn checked(
        &mut self,
        member: u64,
        says: Result<(), String>,
        out: &mut Vec<ProposerOutput>,
    ) {
        let Step::Checking { yes, .. } = &mut self.step else {
            return;
        };
        match says {
            Ok(()) => drop(yes.insert(member)),
            Err(why) => self.ends(ProposalOutcome::Refused(vec![(member, why)]), out),
        }
    }

    /// Ends it if it is certain that it is nowhere yet. False: keepers may have it.
    pub fn abort(&mut self, out: &mut Vec<ProposerOutput>) -> bool {
        let may = !self.sent && self.end.is_none();
        if may {
            self.ends(
                ProposalOutcome::Refused(vec![(0, "it was called off".into())]),
                out,
            );
        }
        may
    }

    /// Who has said that it can take it; none once that is over.
    pub fn asked(&self) -> Option<&BTreeSet<u64>> {
        match &self.step {
            Step::Checking { yes, .. } => Some(yes),
            _ => None,
        }
    }

    /// Another keeper has taken the place of this one: what it said so far counts no more.
    pub fn outlived(&mut self, keeper: u64) {
        match &mut self.step {
            Step::Preparing { promises } => drop(promises.remove(&keeper)),
            Step::Accepting { accepted, .. } => drop(accepted.remove(&keeper)),
            Step::Checking { .. } | Step::Done => {}
        }
    }

    /// A member is not there any more: its lease ends before the change holds.
    pub fn gone(&mut self, member: u64) {
        if let Step::Checking { of, .. } = &mut self.step {
            of.remove(&member);
        }
    }

    fn prepare(&mut self, now: u64, out: &mut Vec<ProposerOutput>) {
        self.ballot.number += 1;
        (self.outrun, self.tries) = (false, self.tries + 1);
        self.step = Step::Preparing {
            promises: BTreeMap::new(),
        };
        self.next = now + self.again_us;
        out.push(ProposerOutput::Keepers(AcceptorRequest::Prepare(
            self.ballot,
        )));
    }

    /// `life`: of the keeper that answers.
    pub fn answered(
        &mut self,
        now: u64,
        keeper: u64,
        life: u64,
        answer: AcceptorReply,
        out: &mut Vec<ProposerOutput>,
    ) {
        let most = majority(self.keepers);
        match answer {
            AcceptorReply::Preempted(higher)
                if higher > self.ballot && !matches!(self.step, Step::Done) =>
            {
                self.ballot.number = higher.number;
                // Of two that outrun each other one waits longer than the other, and longer each time.
                let share = self.again_us / 16 * (1 + self.ballot.proposer % 7);
                let wait = share << self.tries.min(4);
                if !std::mem::replace(&mut self.outrun, true) {
                    self.next = now + wait;
                }
            }
            AcceptorReply::Promised(ballot, was) if ballot == self.ballot => {
                let Step::Preparing { promises } = &mut self.step else {
                    return;
                };
                promises.insert(keeper, (life, was));
                if promises.len() < most {
                    return;
                }
                let rests: Vec<(u64, u64)> = promises
                    .iter()
                    .map(|(place, (life, _))| (*place, *life))
                    .collect();
                let was = promises
                    .values()
                    .filter_map(|(_, was)| *was)
                    .max_by_key(|(b, _)| *b)
                    .map(|(_, p)| p);
                let value = match (was, &self.wants) {
                    // What follows on what is there; else what is there is finished first.
                    (was, Some(wants)) if wants.follows(was.as_ref()) => *wants,
                    (Some(was), _) => was,
                    (None, _) => {
                        let why = "no policy is there yet: the first has the version 1";
                        return self.ends(ProposalOutcome::Refused(vec![(0, why.into())]), out);
                    }
                };
                self.sent |= Some(&value) == self.wants.as_ref();
                self.step = Step::Accepting {
                    accepted: BTreeSet::new(),
                    value,
                    rests: rests.clone(),
                };
                out.push(ProposerOutput::Keepers(AcceptorRequest::Accept(
                    self.ballot,
                    value,
                    rests,
                )));
            }
            AcceptorReply::Accepted(ballot) if ballot == self.ballot => {
                let Step::Accepting {
                    accepted, value, ..
                } = &mut self.step
                else {
                    return;
                };
                accepted.insert(keeper);
                if accepted.len() < most {
                    return;
                }
                let value = *value;
                match &self.wants {
                    Some(wants) if *wants == value => self.ends(ProposalOutcome::InForce, out),
                    // Whatever was there is in force now; ours may follow on it, or never.
                    Some(wants) if wants.follows(Some(&value)) => self.prepare(now, out),
                    Some(wants) => {
                        // Ours may have been accepted unheard, and others may have followed on it.
                        let end = match value.version.checked_sub(wants.version) {
                            _ if !self.sent => ProposalOutcome::Lost(value),
                            Some(0) => ProposalOutcome::Lost(value),
                            Some(1) if value.parent == wants.digest => ProposalOutcome::InForce,
                            Some(1) => ProposalOutcome::Lost(value),
                            _ => ProposalOutcome::Open,
                        };
                        self.ends(end, out);
                    }
                    None => self.ends(ProposalOutcome::InForce, out),
                }
            }
            // Asked again in time.
            AcceptorReply::Busy(left) => self.next = self.next.min(now + left),
            AcceptorReply::Preempted(_)
            | AcceptorReply::Promised(..)
            | AcceptorReply::Accepted(_)
            | AcceptorReply::Lease(_) => {}
        }
    }

    pub fn tick(&mut self, now: u64, out: &mut Vec<ProposerOutput>) {
        match &self.step {
            Step::Done => return,
            Step::Checking { yes, of } => {
                let missing: Vec<u64> = of.difference(yes).copied().collect();
                if self.wants.is_none() || missing.is_empty() {
                    return self.prepare(now, out);
                }
                if now >= self.checks_till {
                    let late = |m: u64| {
                        (
                            m,
                            "it did not say in time whether it can take it".to_string(),
                        )
                    };
                    return self.ends(
                        ProposalOutcome::Refused(missing.into_iter().map(late).collect()),
                        out,
                    );
                }
                if now >= self.next {
                    self.next = now + self.again_us;
                    out.extend(self.wants.map(ProposerOutput::Check));
                }
                return;
            }
            Step::Preparing { .. } | Step::Accepting { .. } => {}
        }
        if now >= self.till {
            // Nobody was asked to accept it: then it is nowhere, and never will be.
            let end = match self.sent {
                true => ProposalOutcome::Open,
                false => ProposalOutcome::Refused(vec![(
                    0,
                    "no majority of the keepers was heard".into(),
                )]),
            };
            return self.ends(end, out);
        }
        if now >= self.next {
            // What it asked or what was answered may have been lost.
            let again = match &self.step {
                Step::Preparing { .. } if !self.outrun => AcceptorRequest::Prepare(self.ballot),
                Step::Accepting { value, rests, .. } if !self.outrun => {
                    AcceptorRequest::Accept(self.ballot, *value, rests.clone())
                }
                _ => return self.prepare(now, out),
            };
            self.next = now + self.again_us;
            out.push(ProposerOutput::Keepers(again));
        }
    }
}
