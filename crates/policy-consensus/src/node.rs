//! One member's part in all of it: a tenant always, a keeper if it is named as one, a proposer when it is asked to be. Letters, ticks and
//! what became of writes in; letters, states for the disk and lines for the log out. No sockets, no disk, no clock, no chance but a
//! seed.

use crate::acceptor::{Acceptor, AcceptorReply, AcceptorRequest, AcceptorState, LeaseGrant};
use crate::document::Document;
use crate::document_store::DocumentStore;
use crate::lease_holder::LeaseHolder;
use crate::message::Message;
use crate::proposer::{ProposalOutcome, Proposer, ProposerOutput as Step};
use crate::record::AcceptorRecord;
use crate::{majority, Ballot, LeaseConfig, Policy, PolicyId};
use frosthatch_config_reader::joined;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Questions for leases whose answers are still awaited.
const MOST_ASKED: usize = 16;
/// Proposals that are remembered, and those that may run at once.
const MOST_PROPOSALS: usize = 32;
const MOST_RUNNING: usize = 4;
/// Parts of a document are asked for again after this.
const WANT_US: u64 = 30_000;
/// A document that nobody sends is given up.
const WANT_MOST_US: u64 = 30_000_000;
const MOST_WANTED: usize = 8;
/// A write that failed is tried again after this.
const STORE_US: u64 = 1_000_000;
/// Keepers that hold different policies for so long are brought together by one of them, each after a wait of its own beside it.
const APART_US: u64 = 500_000;
/// Under this number a keeper that joins asks; proposals have odd ones.
const JOIN: u64 = 2;
/// Policies that were held here and are remembered.
const MOST_HELD: usize = 64;

/// What a gateway does that has no lease, as no majority of the keepers was heard for longer than one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseLossPolicy {
    Refuse,
    /// If it knows of a policy that may have taken the place of its own it serves under the smaller of both, else it refuses.
    Stricter,
    /// It serves on for so long.
    Serve {
        grace_us: u64,
    },
}

#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub me: String,
    pub keepers: Vec<String>,
    pub times: LeaseConfig,
    /// How long a proposal may take, and after what time a step without a majority is tried again.
    pub patience_us: u64,
    pub again_us: u64,
    pub on_lost: LeaseLossPolicy,
    pub seed: u64,
}

#[derive(Debug, PartialEq)]
pub enum NodeOutput {
    Send {
        to: String,
        bytes: Vec<u8>,
    },
    /// To be put on disk; [`Node::stored`] is to be called then.
    Store(AcceptorRecord),
    Log(String),
}

/// Whether requests may be let in now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// Under this policy; under the smaller of it and another where both may be in force.
    Under(PolicyId, Option<PolicyId>),
    /// From that time on, by the leases that are there.
    Pending(u64),
    Lost,
}

/// Whether this member can serve under a document.
pub type PolicyValidator = Box<dyn Fn(&Document) -> Result<(), String>>;

struct Own {
    /// Among the keepers.
    place: u64,
    keeper: Acceptor,
    /// The state of its folder that is on disk.
    state: u64,
    /// What is being written, and who hears what once it is.
    writing: Option<(AcceptorRecord, Option<(String, Message)>)>,
    /// It takes the place of one that is gone.
    joining: Option<Joining>,
    /// A write failed: it is tried again from then on; while it is, never.
    again_at: Option<u64>,
    /// It keeps no more, and why.
    silent: Option<String>,
}

impl Own {
    /// It answers as a keeper.
    fn keeps(&self) -> bool {
        self.silent.is_none() && self.joining.is_none()
    }
}

/// What a keeper that joins has heard of the others under its ballot.
struct Joining {
    ballot: Ballot,
    promises: BTreeMap<u64, Option<(Ballot, Policy)>>,
    due: u64,
}

struct Proposal {
    proposer: Proposer,
    /// None: it only finishes what was begun.
    policy: Option<Policy>,
    members: Vec<String>,
    began: u64,
    ended: u64,
    /// What was logged of it last.
    step: &'static str,
}

struct Wanted {
    from: Vec<String>,
    since: u64,
    due: u64,
}

/// A proposal, as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct ProposalStatus {
    pub number: u64,
    pub policy: Policy,
    pub took_us: u64,
    /// None: it is under way.
    pub end: Option<ProposalOutcome>,
    pub why: Vec<(String, String)>,
}

pub struct ConsensusNode {
    plan: NodeConfig,
    judge: PolicyValidator,
    rng: Pcg64Mcg,
    tenant: LeaseHolder,
    own: Option<Own>,
    texts: DocumentStore,
    judged: BTreeMap<[u8; 32], Result<(), String>>,
    asked: VecDeque<(u64, u64)>,
    ask_due: u64,
    /// Life and latest state that each keeper told of, by its place; and the life that it has by anybody's word.
    seen: BTreeMap<u64, (u64, u64)>,
    lives: BTreeMap<u64, u64>,
    proposals: BTreeMap<u64, Proposal>,
    wants: BTreeMap<[u8; 32], Wanted>,
    /// Asked by whom under what number, and not answered yet as the document is on its way.
    checks: BTreeMap<(String, u64), Policy>,
    inbox: VecDeque<Message>,
    apart_since: Option<u64>,
    standing: ServingState,
    stands_till: u64,
    /// The last that was held, and until when a lease on it stood.
    last: Option<(PolicyId, u64)>,
    held: VecDeque<(PolicyId, u64)>,
}

impl ConsensusNode {
    /// `own`: what it keeps, if it is a keeper, or why it cannot.
    pub fn new(
        now: u64,
        plan: NodeConfig,
        own: Option<Result<AcceptorRecord, String>>,
        judge: PolicyValidator,
    ) -> ConsensusNode {
        let mut node = ConsensusNode {
            rng: Pcg64Mcg::seed_from_u64(plan.seed),
            tenant: LeaseHolder::new(plan.times, plan.keepers.len()),
            own: None,
            texts: DocumentStore::default(),
            judge,
            judged: BTreeMap::new(),
            asked: VecDeque::new(),
            ask_due: 0,
            seen: BTreeMap::new(),
            lives: BTreeMap::new(),
            proposals: BTreeMap::new(),
            wants: BTreeMap::new(),
            checks: BTreeMap::new(),
            inbox: VecDeque::new(),
            apart_since: None,
            standing: ServingState::Lost,
            stands_till: 0,
            last: None,
            held: VecDeque::new(),
            plan,
        };
        own.into_iter()
            .for_each(|read| node.load_acceptor(now, read));
        node
    }

    /// As a keeper: starts with what its folder holds, or keeps nothing.
    pub fn load_acceptor(&mut self, now: u64, read: Result<AcceptorRecord, String>) {
        let (durable, state, silent) = match read {
            Ok(record) => {
                self.texts.put(&record.text);
                (record.durable, record.state, None)
            }
            Err(why) => (AcceptorState::default(), 0, Some(why)),
        };
        let place = self
            .plan
            .keepers
            .iter()
            .position(|k| *k == self.plan.me)
            .unwrap_or(usize::MAX) as u64;
        let joining = durable.joining.then(|| {
            let ballot = Ballot {
                number: 1,
                proposer: self.rng.next_u64(),
            };
            Joining {
                ballot,
                promises: BTreeMap::new(),
                due: now,
            }
        });
        let keeper = Acceptor::new(self.plan.times, place, durable, now);
        self.own = Some(Own {
            place,
            keeper,
            state,
            writing: None,
            joining,
            again_at: None,
            silent,
        });
    }

    /// Under what requests may be let in at this time.
    pub fn serving_state(&mut self, now: u64) -> ServingState {
        if now >= self.stands_till {
            (self.standing, self.stands_till) = self.look(now);
        }
        self.standing
    }

    /// What is known changed: it is looked at anew.
    fn unsettle(&mut self) {
        self.stands_till = 0;
    }

    fn look(&mut self, now: u64) -> (ServingState, u64) {
        let next = self.tenant.next_change(now).unwrap_or(u64::MAX);
        if let Some(id) = self.tenant.holds(now) {
            let can = self.can(&id);
            if can {
                self.last = Some((id, next));
            }
            if self.held.back().is_none_or(|(last, _)| *last != id) {
                self.held.push_back((id, now));
                self.held.drain(..self.held.len().saturating_sub(MOST_HELD));
            }
            return match can {
                true => (ServingState::Under(id, None), next),
                false => (ServingState::Lost, next),
            };
        }
        if let Some(at) = self.tenant.pending_until(now) {
            return (ServingState::Pending(at), next);
        }
        // One that it could not serve under may have been in force since.
        let last = self
            .last
            .filter(|(last, _)| last.version >= self.tenant.high());
        let Some((last, till)) = last else {
            return (ServingState::Lost, next);
        };
        let newer = self
            .tenant
            .known()
            .map(Policy::id)
            .filter(|id| id.version > last.version)
            .max();
        let newer = newer.filter(|id| self.can(id));
        match (self.plan.on_lost, newer) {
            (LeaseLossPolicy::Stricter, Some(_)) => (ServingState::Under(last, newer), next),
            (LeaseLossPolicy::Serve { grace_us }, _) if now < till + grace_us => {
                (ServingState::Under(last, newer), next.min(till + grace_us))
            }
            _ => (ServingState::Lost, next),
        }
    }

    /// Whether this member can serve under it.
    fn can(&mut self, id: &PolicyId) -> bool {
        id.version == 0 || self.judged(id).is_some_and(|judged| judged.is_ok())
    }

    /// None: its document has not come.
    fn judged(&mut self, id: &PolicyId) -> Option<Result<(), String>> {
        if let Some(judged) = self.judged.get(&id.digest) {
            return Some(judged.clone());
        }
        let text = self.texts.get(&id.digest)?;
        let judged = match Document::read("policy", text) {
            Ok(document) if document.version == id.version => (self.judge)(&document),
            Ok(document) => Err(format!(
                "its document says that it is version {}",
                document.version
            )),
            Err(mistakes) => Err(joined(&mistakes)),
        };
        while self.judged.len() >= MOST_HELD {
            self.judged.pop_first();
        }
        self.judged.insert(id.digest, judged.clone());
        Some(judged)
    }

    /// What this member can serve under may have changed.
    pub fn revalidate(&mut self) {
        self.judged.clear();
        self.unsettle();
    }

    pub fn text(&mut self, id: &PolicyId) -> Option<&str> {
        self.texts.get(&id.digest)
    }

    /// Until when there is a lease on what is held.
    pub fn leased_till(&self) -> Option<(PolicyId, u64)> {
        self.last
    }

    /// What was held here, and since when, the last at the end.
    pub fn history(&self) -> impl Iterator<Item = &(PolicyId, u64)> {
        self.held.iter()
    }

    /// As a keeper: the state that is on disk, or why it keeps nothing. None: it is none.
    pub fn keeps(&self) -> Option<Result<u64, String>> {
        self.own.as_ref().map(|own| match (&own.silent, own.again_at) {
            (Some(why), _) => Err(why.clone()),
            (None, Some(_)) => Err("what it promised cannot be put on disk; it is tried again".into()),
            (None, None) if own.joining.is_some() => {
                Err("it joins in the place of an earlier one, and waits for a majority of the others".into())
            }
            (None, None) => Ok(own.state),
        })
    }

    pub fn proposals(&self) -> impl Iterator<Item = ProposalStatus> + '_ {
        self.proposals.iter().filter_map(|(number, p)| {
            let end = p.proposer.end().cloned();
            let name = |n: &u64| match n.checked_sub(1).and_then(|n| p.members.get(n as usize)) {
                Some(name) => name.clone(),
                None => self.plan.me.clone(),
            };
            let why = match &end {
                Some(ProposalOutcome::Refused(why)) => {
                    why.iter().map(|(n, why)| (name(n), why.clone())).collect()
                }
                _ => Vec::new(),
            };
            let till = if end.is_some() { p.ended } else { u64::MAX };
            let took_us = till.saturating_sub(p.began);
            Some(ProposalStatus {
                number: *number,
                policy: p.policy?,
                took_us,
                end,
                why,
            })
        })
    }

    /// Proposes a document. `there`: all other members that are there, who have to be able to take it. Its number, by which it is found
    /// among [`Node::proposals`].
    ///
    /// # Errors
    /// What is wrong with it, at once.
    pub fn propose(
        &mut self,
        now: u64,
        text: &str,
        there: &[String],
        out: &mut Vec<NodeOutput>,
    ) -> Result<u64, String> {
        let document = Document::read("policy", text).map_err(|all| {
            all.iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("\n")
        })?;
        let policy = document.policy(text);
        (self.judge)(&document)?;
        self.texts.put(text);
        let number = self.begin(now, Some(policy), there)?;
        out.push(NodeOutput::Log(format!(
            "policy: proposed version={} number={number}",
            policy.id().short()
        )));
        self.work(now, out);
        Ok(number)
    }

    /// Calls a proposal off. False: it is not known, over, or keepers may have it already.
    pub fn abort(&mut self, now: u64, number: u64, out: &mut Vec<NodeOutput>) -> bool {
        self.step(now, number, out, |p, steps| p.proposer.abort(steps))
    }

    fn begin(&mut self, now: u64, policy: Option<Policy>, there: &[String]) -> Result<u64, String> {
        let running = self
            .proposals
            .values()
            .filter(|p| p.proposer.end().is_none())
            .count();
        if running >= MOST_RUNNING {
            return Err(format!(
                "{running} proposals are under way here; wait for their end"
            ));
        }
        while self.proposals.len() >= MOST_PROPOSALS {
            let over = self
                .proposals
                .iter()
                .filter(|(_, p)| p.proposer.end().is_some());
            let oldest = over.min_by_key(|(_, p)| p.ended).map(|(n, _)| *n);
            oldest.map(|n| self.proposals.remove(&n));
        }
        let number = self.rng.next_u64() >> 1 | 1;
        let members = there.to_vec();
        let of: BTreeSet<u64> = (1..=members.len() as u64).collect();
        let above = self.tenant.highest_ballot();
        let (keepers, patience, again) = (
            self.plan.keepers.len(),
            self.plan.patience_us,
            self.plan.again_us,
        );
        let proposer = Proposer::new(now, number, above, policy, of, keepers, patience, again);
        self.proposals.insert(
            number,
            Proposal {
                proposer,
                policy,
                members,
                began: now,
                ended: 0,
                step: "",
            },
        );
        Ok(number)
    }

    /// Whether a proposal is under way here.
    pub fn proposes(&self) -> bool {
        self.proposals.values().any(|p| p.proposer.end().is_none())
    }

    /// Does what is due. `there`: as for [`Node::propose`]; nobody looks at it while nothing is proposed.
    pub fn tick(&mut self, now: u64, there: &[String], out: &mut Vec<NodeOutput>) {
        self.keep(now, out);
        self.join(now, out);
        if now >= self.ask_due {
            let every = self.tenant.asks_every_us();
            let holds = matches!(self.serving_state(now), ServingState::Under(..));
            self.ask_due = now + if holds { every } else { every / 2 };
            let number = self.rng.next_u64();
            self.asked.push_back((number, now));
            self.asked
                .drain(..self.asked.len().saturating_sub(MOST_ASKED));
            self.ask(number, &AcceptorRequest::Lease, out);
        }
        for number in self.proposals.keys().copied().collect::<Vec<_>>() {
            self.step(now, number, out, |p, steps| {
                for (n, _) in (1..)
                    .zip(&p.members)
                    .filter(|(_, name)| !there.contains(name))
                {
                    p.proposer.gone(n);
                }
                p.proposer.tick(now, steps);
            });
        }
        self.bring_together(now, out);
        self.fetch(now, out);
        self.work(now, out);
    }

    /// A letter came from a member.
    pub fn handle_message(
        &mut self,
        now: u64,
        from: &str,
        bytes: &[u8],
        out: &mut Vec<NodeOutput>,
    ) {
        if let Some(letter) = Message::read(bytes) {
            self.take(now, from, letter, out);
            self.work(now, out);
        }
    }

    /// What it says to itself.
    fn work(&mut self, now: u64, out: &mut Vec<NodeOutput>) {
        while let Some(letter) = self.inbox.pop_front() {
            let me = self.plan.me.clone();
            self.take(now, &me, letter, out);
        }
    }

    fn send(&mut self, to: &str, letter: Message, out: &mut Vec<NodeOutput>) {
        match to == self.plan.me {
            true => self.inbox.push_back(letter),
            false => out.push(NodeOutput::Send {
                to: to.into(),
                bytes: letter.write(),
            }),
        }
    }

    /// Asks all keepers.
    fn ask(&mut self, number: u64, ask: &AcceptorRequest, out: &mut Vec<NodeOutput>) {
        for (place, keeper) in (0..).zip(self.plan.keepers.clone()) {
            let seen = self.seen.get(&place).copied().unwrap_or_default();
            self.send(
                &keeper,
                Message::Ask {
                    number,
                    seen,
                    ask: ask.clone(),
                },
                out,
            );
        }
    }

    fn take(&mut self, now: u64, from: &str, letter: Message, out: &mut Vec<NodeOutput>) {
        match letter {
            Message::Ask { number, seen, ask } => self.asked(now, from, number, seen, ask, out),
            Message::Answer {
                number,
                state,
                lives: (life, others),
                answer,
            } => {
                let Some(keeper) = self.plan.keepers.iter().position(|k| k == from) else {
                    return;
                };
                let keeper = keeper as u64;
                others
                    .into_iter()
                    .chain([(keeper, life)])
                    .for_each(|(place, life)| self.lives(place, life));
                // Another has taken its place: its word counts no more.
                if self.lives.get(&keeper).is_some_and(|known| life < *known) {
                    return;
                }
                let seen = self.seen.entry(keeper).or_default();
                *seen = (life, state).max(*seen);
                match answer {
                    AcceptorReply::Lease(grant) => self.granted(now, from, keeper, number, grant),
                    answer if number == JOIN => self.joins(now, from, keeper, answer, out),
                    answer => self.step(now, number, out, |p, steps| {
                        p.proposer.answered(now, keeper, life, answer, steps);
                    }),
                }
            }
            Message::Check { number, policy } => match self.judged(&policy.id()) {
                Some(says) => self.send(from, Message::checked(number, says), out),
                // Once it has come it is answered.
                None => {
                    self.want(now, policy.digest, from);
                    if self.checks.len() < MOST_WANTED {
                        self.checks.insert((from.into(), number), policy);
                    }
                }
            },
            Message::Checked { number, why } => self.step(now, number, out, |p, steps| {
                let Some(n) = p.members.iter().position(|m| m == from) else {
                    return;
                };
                let says = if why.is_empty() { Ok(()) } else { Err(why) };
                p.proposer.checked(n as u64 + 1, says, steps);
            }),
            Message::Want { digest, at } => {
                for at in at.into_iter().take(8) {
                    if let Some((of, bytes)) = self.texts.part(&digest, at) {
                        self.send(
                            from,
                            Message::Part {
                                digest,
                                at,
                                of,
                                bytes,
                            },
                            out,
                        );
                    }
                }
            }
            Message::Part {
                digest,
                at,
                of,
                bytes,
            } => {
                if self.texts.came(&digest, at, of, bytes) {
                    self.wants.remove(&digest);
                    self.unsettle();
                    for ((from, number), policy) in std::mem::take(&mut self.checks) {
                        self.take(now, &from, Message::Check { number, policy }, out);
                    }
                }
            }
        }
    }

    /// A keeper's life, by somebody's word: what an earlier one in its place said is forgotten.
    fn lives(&mut self, place: u64, life: u64) {
        if place >= self.plan.keepers.len() as u64 {
            return;
        }
        let known = self.lives.entry(place).or_default();
        if life > *known {
            *known = life;
            self.tenant.outlived(place);
            self.proposals
                .values_mut()
                .for_each(|p| p.proposer.outlived(place));
            self.unsettle();
        }
    }

    /// As a keeper that joins: another promised its ballot, or it was outrun. Once more than half of all have, without itself, it knows
    /// at least what the one before it accepted, and nothing that rests on a promise of that one is accepted any more.
    fn joins(
        &mut self,
        now: u64,
        from: &str,
        keeper: u64,
        answer: AcceptorReply,
        out: &mut Vec<NodeOutput>,
    ) {
        let most = majority(self.plan.keepers.len());
        let Some(own) = self.own.as_mut().filter(|own| own.writing.is_none()) else {
            return;
        };
        let Some(joining) = &mut own.joining else {
            return;
        };
        match answer {
            AcceptorReply::Preempted(higher) if higher.number >= joining.ballot.number => {
                joining.ballot.number = higher.number + 1;
                joining.promises.clear();
            }
            AcceptorReply::Promised(ballot, was) if ballot == joining.ballot => {
                let _ = joining.promises.insert(keeper, was);
            }
            _ => {}
        }
        if joining.promises.len() < most {
            return;
        }
        let accepted = joining
            .promises
            .values()
            .flatten()
            .max_by_key(|(b, _)| *b)
            .copied();
        let digest = accepted.map(|(_, p)| p.digest).unwrap_or_default();
        if !self.texts.has(&digest) {
            return self.want(now, digest, from);
        }
        let ballot = joining.ballot;
        let lives = self
            .lives
            .iter()
            .filter(|(place, _)| **place != own.place)
            .map(|(p, l)| (*p, *l));
        let life = ballot.number;
        let durable = AcceptorState {
            promised: ballot,
            accepted,
            incarnation: life,
            incarnations: lives.collect(),
            joining: false,
        };
        let text = self.texts.get(&digest).unwrap_or_default().to_string();
        let record = AcceptorRecord {
            keeper: self.plan.me.clone(),
            state: own.state + 1,
            durable,
            text,
        };
        own.writing = Some((record.clone(), None));
        out.push(NodeOutput::Store(record));
    }

    /// As a keeper that joins: asks the others again.
    fn join(&mut self, now: u64, out: &mut Vec<NodeOutput>) {
        let highest = self.tenant.highest_ballot();
        let Some(own) = &mut self.own else { return };
        let Some(joining) = own.joining.as_mut().filter(|j| now >= j.due) else {
            return;
        };
        joining.due = now + self.plan.again_us;
        if joining.ballot.number <= highest {
            joining.ballot.number = highest + 1;
            joining.promises.clear();
        }
        let (ballot, place) = (joining.ballot, own.place);
        self.ask(JOIN, &AcceptorRequest::Join(ballot, place), out);
    }

    /// As a keeper: a question came.
    fn asked(
        &mut self,
        now: u64,
        from: &str,
        number: u64,
        seen: (u64, u64),
        ask: AcceptorRequest,
        out: &mut Vec<NodeOutput>,
    ) {
        if let AcceptorRequest::Accept(_, policy, _) = &ask {
            if !self.texts.has(&policy.digest) {
                return self.want(now, policy.digest, from);
            }
        }
        let Some(own) = self.own.as_mut().filter(|own| own.keeps()) else {
            return;
        };
        let life = own.keeper.state().incarnation;
        if seen > (life, own.state) {
            let told = seen.1;
            let why = format!(
                "its folder is at the state {}, and it told of {told}: it was put back from a copy",
                own.state
            );
            out.push(NodeOutput::Log(format!(
                "policy: keeper-silent why={why:?}"
            )));
            own.silent = Some(why);
            return;
        }
        // What is promised but not on disk yet is not spoken of; whoever asks asks again.
        if own.writing.is_some() {
            return;
        }
        let (answer, durable) = own.keeper.handle(now, ask);
        let others = own
            .keeper
            .state()
            .incarnations
            .iter()
            .map(|(place, life)| (*place, *life))
            .collect();
        let letter = |state| Message::Answer {
            number,
            state,
            lives: (life, others),
            answer,
        };
        if !durable {
            let letter = letter(own.state);
            return self.send(from, letter, out);
        }
        let durable = own.keeper.state().clone();
        let digest = durable.accepted.map(|(_, p)| p.digest).unwrap_or_default();
        let text = self.texts.get(&digest).unwrap_or_default().to_string();
        let record = AcceptorRecord {
            keeper: self.plan.me.clone(),
            state: own.state + 1,
            durable,
            text,
        };
        own.writing = Some((record.clone(), Some((from.into(), letter(record.state)))));
        out.push(NodeOutput::Store(record));
    }

    /// What became of the last [`Out::Store`].
    pub fn record_stored(&mut self, now: u64, how: Result<(), String>, out: &mut Vec<NodeOutput>) {
        let Some(own) = &mut self.own else { return };
        match how {
            Ok(()) => {
                let Some((record, answer)) = own.writing.take() else {
                    return;
                };
                own.state = record.state;
                if own.joining.take().is_some() {
                    out.push(NodeOutput::Log(format!(
                        "policy: joined state={}",
                        record.state
                    )));
                    return self.load_acceptor(now, Ok(record));
                }
                if own.again_at.take().is_some() {
                    out.push(NodeOutput::Log(format!(
                        "policy: keeper-writes state={}",
                        record.state
                    )));
                }
                if let Some((to, letter)) = answer {
                    self.send(&to, letter, out);
                }
                self.work(now, out);
            }
            // It may be on disk or not: until it is, nothing is said.
            Err(why) => {
                if own.again_at.replace(now + STORE_US).is_none() {
                    out.push(NodeOutput::Log(format!(
                        "policy: keeper-cannot-write why={why:?}"
                    )));
                }
            }
        }
    }

    fn keep(&mut self, now: u64, out: &mut Vec<NodeOutput>) {
        let Some(own) = &mut self.own else { return };
        if own.again_at.is_some_and(|at| now >= at) {
            own.again_at = Some(u64::MAX);
            out.extend(
                own.writing
                    .as_ref()
                    .map(|(record, _)| NodeOutput::Store(record.clone())),
            );
        }
    }

    /// A keeper's word on leases, by the number of the question.
    fn granted(&mut self, now: u64, from: &str, keeper: u64, number: u64, grant: LeaseGrant) {
        let Some((_, at)) = self.asked.iter().find(|(n, _)| *n == number).copied() else {
            return;
        };
        if let Some((policy, ..)) = &grant.now {
            if !self.texts.has(&policy.digest) {
                self.want(now, policy.digest, from);
            }
        }
        self.tenant.granted(at, now, keeper, grant);
        self.unsettle();
        self.catch_up();
    }

    /// As a keeper: it accepts late what it was not there to accept.
    fn catch_up(&mut self) {
        let Some(own) = self.own.as_ref().filter(|own| own.keeps()) else {
            return;
        };
        let mine = own.keeper.state().accepted.map_or(0, |(_, p)| p.version);
        if let Some((ballot, policy)) = self.tenant.chosen().filter(|(_, p)| p.version > mine) {
            let (number, seen, ask) = (
                0,
                (0, 0),
                AcceptorRequest::Accept(ballot, policy, Vec::new()),
            );
            self.inbox.push_back(Message::Ask { number, seen, ask });
        }
    }

    fn want(&mut self, now: u64, digest: [u8; 32], from: &str) {
        if self.wants.len() >= MOST_WANTED && !self.wants.contains_key(&digest) {
            return;
        }
        let of = self.wants.entry(digest).or_insert(Wanted {
            from: Vec::new(),
            since: now,
            due: now,
        });
        if !of.from.iter().any(|f| f == from) {
            of.from.push(from.into());
        }
    }

    fn fetch(&mut self, now: u64, out: &mut Vec<NodeOutput>) {
        self.wants.retain(|_, w| now < w.since + WANT_MOST_US);
        let mut asks = Vec::new();
        for (digest, w) in self.wants.iter_mut().filter(|(_, w)| now >= w.due) {
            w.due = now + WANT_US;
            // Another one each time.
            w.from.rotate_left(1);
            asks.extend(w.from.first().map(|from| (from.clone(), *digest)));
        }
        for (from, digest) in asks {
            let at = self.texts.missing(&digest);
            self.send(&from, Message::Want { digest, at }, out);
        }
    }

    /// As a keeper: what somebody left half done is finished.
    fn bring_together(&mut self, now: u64, out: &mut Vec<NodeOutput>) {
        let keeps = self.own.as_ref().is_some_and(Own::keeps);
        if !keeps || self.proposes() || !self.tenant.apart(now) {
            self.apart_since = None;
            return;
        }
        let wait = APART_US + self.rng.next_u64() % APART_US;
        let since = *self.apart_since.get_or_insert(now + wait);
        if now >= since {
            self.apart_since = None;
            if self.begin(now, None, &[]).is_ok() {
                out.push(NodeOutput::Log(
                    "policy: finishing what was left half done".into(),
                ));
            }
        }
    }

    /// Has a proposer do something, and does what follows.
    fn step<T: Default>(
        &mut self,
        now: u64,
        number: u64,
        out: &mut Vec<NodeOutput>,
        what: impl FnOnce(&mut Proposal, &mut Vec<Step>) -> T,
    ) -> T {
        let mut steps = Vec::new();
        let done = self
            .proposals
            .get_mut(&number)
            .map(|p| what(p, &mut steps))
            .unwrap_or_default();
        for step in steps {
            match step {
                Step::Check(policy) => {
                    let Some(p) = self.proposals.get(&number) else {
                        continue;
                    };
                    let yes = p.proposer.asked();
                    let open = (1..)
                        .zip(&p.members)
                        .filter(|(n, _)| yes.is_some_and(|yes| !yes.contains(n)));
                    for name in open.map(|(_, name)| name.clone()).collect::<Vec<_>>() {
                        self.send(&name, Message::Check { number, policy }, out);
                    }
                }
                Step::Keepers(ask) => {
                    let name = match &ask {
                        AcceptorRequest::Prepare(_) => "prepare",
                        _ => "accept",
                    };
                    // Repeats are no news.
                    let p = self.proposals.get_mut(&number).filter(|p| p.step != name);
                    if let Some(p) = p {
                        p.step = name;
                        out.push(NodeOutput::Log(format!("policy: {name} number={number}")));
                    }
                    self.ask(number, &ask, out);
                }
                Step::End(end) => {
                    let Some(p) = self.proposals.get_mut(&number) else {
                        continue;
                    };
                    p.ended = now;
                    let what = match (&end, &p.policy) {
                        (_, None) => "finished".to_string(),
                        (ProposalOutcome::InForce, Some(p)) => {
                            format!("in-force version={}", p.id().short())
                        }
                        (ProposalOutcome::Refused(why), Some(p)) => {
                            format!("refused version={} why={why:?}", p.id().short())
                        }
                        (ProposalOutcome::Lost(to), Some(p)) => {
                            format!("lost version={} to={}", p.id().short(), to.id().short())
                        }
                        (ProposalOutcome::Open, Some(p)) => {
                            format!("open version={}", p.id().short())
                        }
                    };
                    if p.policy.is_none() {
                        self.proposals.remove(&number);
                    }
                    out.push(NodeOutput::Log(format!("policy: {what} number={number}")));
                }
            }
        }
        done
    }
}
