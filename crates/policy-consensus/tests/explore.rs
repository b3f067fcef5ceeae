//! Every interleaving to a depth, beside the drawn schedules: two proposers, three keepers, two gateways; what is sent comes in any
//! order, late or never; keepers stop and start from disk; time passes. The machines are those that run. A gateway that is stopped is one
//! that hears nothing for a while: what it holds is looked at in every state.
#![expect(clippy::semicolon_if_nothing_returned)]

use frosthatch_policy_consensus::acceptor::{
    Acceptor, AcceptorIncarnation, AcceptorReply, AcceptorRequest, AcceptorState, LeaseGrant,
};
use frosthatch_policy_consensus::lease_holder::LeaseHolder;
use frosthatch_policy_consensus::proposer::{
    ProposalOutcome, Proposer, ProposerConfig, ProposerOutput,
};
use frosthatch_policy_consensus::{LeaseConfig, Policy, PolicyId};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// A step of time; a lease is two of them.
const TICK: u64 = 1_000;
const TIMES: LeaseConfig = LeaseConfig {
    lease_us: 2 * TICK,
    drift: 0,
};
const KEEPERS: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Letter {
    ToKeeper(usize, usize, AcceptorRequest),
    ToProposer(usize, usize, AcceptorReply),
    Leased(usize, usize, u64, LeaseGrant),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    keepers: Vec<Option<Acceptor>>,
    disks: Vec<AcceptorState>,
    tenants: Vec<LeaseHolder>,
    proposers: Vec<Proposer>,
    letters: BTreeSet<Letter>,
    /// Who asked whom for a lease since the last step of time: once is enough.
    leased: BTreeSet<(usize, usize)>,
    kills: u8,
    high: u64,
    held: BTreeSet<PolicyId>,
    in_force: BTreeMap<u64, PolicyId>,
    nowhere: BTreeSet<PolicyId>,
    broken: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Deliver(Letter),
    AskLease(usize, usize),
    Kill(usize),
    Start(usize),
    Tick,
}

struct World {
    proposers: usize,
    gateways: usize,
    kills: u8,
    ticks: u64,
}

fn policy(draw: u8) -> Policy {
    Policy {
        version: 1,
        digest: [draw; 32],
        parent: [0; 32],
    }
}

impl State {
    fn break_unless(&mut self, holds: bool, what: &'static str) {
        if !holds {
            self.broken.get_or_insert(what);
        }
    }

    fn outs(&mut self, p: usize, out: Vec<ProposerOutput>) {
        for o in out {
            match o {
                ProposerOutput::CheckMembers(_) => {}
                ProposerOutput::SendToAcceptors(ask) => {
                    self.letters
                        .extend((0..KEEPERS).map(|k| Letter::ToKeeper(p, k, ask.clone())));
                }
                ProposerOutput::Finished(end) => {
                    let Some(id) = self.proposers[p].proposed_policy().map(Policy::id) else {
                        continue;
                    };
                    match end {
                        ProposalOutcome::InForce => {
                            let other = self.in_force.insert(id.version, id);
                            self.break_unless(
                                other.is_none_or(|o| o == id),
                                "I5: two of one version in force",
                            );
                            let nowhere = self.nowhere.contains(&id);
                            self.break_unless(
                                !nowhere,
                                "I3: one that was told to be nowhere is in force",
                            );
                        }
                        ProposalOutcome::Refused(_) | ProposalOutcome::Lost(_) => {
                            let there =
                                self.held.contains(&id) || self.in_force.values().any(|i| *i == id);
                            self.break_unless(
                                !there,
                                "I3, I4: one that holds was told to be nowhere",
                            );
                            self.nowhere.insert(id);
                        }
                        ProposalOutcome::Open => {}
                    }
                }
            }
        }
    }

    fn lease(&mut self, t: usize, k: usize) -> Option<Letter> {
        match self.keepers[k]
            .as_mut()?
            .handle(self.now, AcceptorRequest::Lease)
            .0
        {
            AcceptorReply::Lease(grant) => Some(Letter::Leased(t, k, self.now, grant)),
            _ => None,
        }
    }

    fn look(&mut self) {
        let (now, tenants) = (self.now, &mut self.tenants);
        let all: Vec<PolicyId> = tenants
            .iter_mut()
            .filter_map(|t| t.advance_to_held_policy(now))
            .collect();
        let high = all
            .iter()
            .map(|id| id.version)
            .max()
            .unwrap_or(0)
            .max(self.high);
        self.high = high;
        for id in all {
            let nowhere = self.nowhere.contains(&id);
            self.break_unless(
                id.version >= high,
                "I1, I2: let in under an earlier version",
            );
            self.break_unless(!nowhere, "I3: one that was told to be nowhere holds");
            let fork = self
                .held
                .iter()
                .any(|h| h.version == id.version && *h != id);
            self.break_unless(!fork, "I5: two of one version hold");
            let lost = self.in_force.get(&id.version).is_some_and(|i| *i != id);
            self.break_unless(!lost, "I4: another holds than was told as in force");
            self.held.insert(id);
        }
    }
}

impl World {
    /// All gateways hold version 0 by leases of all keepers, and all proposers have begun.
    fn begins(&self) -> State {
        let now = 10 * TICK;
        let first = AcceptorState::initial();
        let keeper = |k: usize| Some(Acceptor::new(TIMES, k as u64, first.clone(), 0));
        let proposer = |p: u64| {
            let wants = Some(policy(p as u8 + 1));
            let config = ProposerConfig {
                id: p + 1,
                acceptors: KEEPERS,
                timeout_us: 20 * TICK,
                retry_interval_us: TICK,
            };
            Proposer::new(now, config, 0, wants, BTreeSet::new())
        };
        let mut state = State {
            now,
            keepers: (0..KEEPERS).map(keeper).collect(),
            disks: vec![first.clone(); KEEPERS],
            tenants: vec![LeaseHolder::new(TIMES, KEEPERS); self.gateways],
            proposers: (0..self.proposers as u64).map(proposer).collect(),
            letters: BTreeSet::new(),
            leased: BTreeSet::new(),
            kills: 0,
            high: 0,
            held: BTreeSet::new(),
            in_force: BTreeMap::new(),
            nowhere: BTreeSet::new(),
            broken: None,
        };
        for (t, k) in (0..self.gateways).flat_map(|t| (0..KEEPERS).map(move |k| (t, k))) {
            if let Some(Letter::Leased(_, _, asked, grant)) = state.lease(t, k) {
                state.tenants[t].record_grant(asked, now, k as u64, grant);
            }
        }
        for p in 0..self.proposers {
            let mut out = Vec::new();
            state.proposers[p].tick(now, &mut out);
            state.outs(p, out);
        }
        state.look();
        state
    }

    /// So many steps of what a change takes while nothing goes wrong.
    fn goes_well(&self, s: &mut State, upto: usize) {
        let mut step = |action: Action| *s = self.next_state(s, action).expect("it goes on");
        let ballot = frosthatch_policy_consensus::Ballot {
            number: 1,
            proposer: 1,
        };
        let was = AcceptorState::initial().accepted;
        let promised_by = [(0, 0), (1, 0)].map(|(acceptor, incarnation)| AcceptorIncarnation {
            acceptor,
            incarnation,
        });
        let accept = AcceptorRequest::Accept(ballot, policy(1), promised_by.to_vec());
        let way = [
            Letter::ToKeeper(0, 0, AcceptorRequest::Prepare(ballot)),
            Letter::ToKeeper(0, 1, AcceptorRequest::Prepare(ballot)),
            Letter::ToProposer(0, 0, AcceptorReply::Promised(ballot, was)),
            Letter::ToProposer(0, 1, AcceptorReply::Promised(ballot, was)),
            Letter::ToKeeper(0, 0, accept.clone()),
            Letter::ToKeeper(0, 1, accept),
        ];
        for letter in way.into_iter().take(upto) {
            step(Action::Deliver(letter));
        }
        for _ in 6..upto {
            step(Action::Tick);
        }
    }
}

impl Model for World {
    type State = State;
    type Action = Action;

    /// From the beginning, and from some way along: when promises are given, when the first keepers have accepted, and just before the
    /// turn.
    fn init_states(&self) -> Vec<State> {
        let mut all = vec![self.begins()];
        for upto in [4, 5, 6, 7, 8] {
            let mut s = all[0].clone();
            self.goes_well(&mut s, upto);
            // And with all having asked for their leases.
            let mut asked = s.clone();
            for (t, k) in (0..self.gateways).flat_map(|t| (0..KEEPERS).map(move |k| (t, k))) {
                asked = self
                    .next_state(&asked, Action::AskLease(t, k))
                    .expect("it is asked");
            }
            all.extend([s, asked]);
        }
        all
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        if s.broken.is_some() {
            return;
        }
        actions.extend(s.letters.iter().cloned().map(Action::Deliver));
        for k in 0..KEEPERS {
            match s.keepers[k] {
                Some(_) => {
                    let asks = (0..self.gateways).filter(|t| !s.leased.contains(&(*t, k)));
                    actions.extend(asks.map(|t| Action::AskLease(t, k)));
                    actions.extend((s.kills < self.kills).then_some(Action::Kill(k)));
                }
                None => actions.push(Action::Start(k)),
            }
        }
        actions.extend((s.now < (10 + self.ticks) * TICK).then_some(Action::Tick));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut s = last.clone();
        match action {
            Action::Deliver(letter) => {
                s.letters.remove(&letter);
                match letter {
                    Letter::ToKeeper(p, k, ask) => {
                        let (answer, durable) = s.keepers[k].as_mut()?.handle(s.now, ask);
                        if durable {
                            s.disks[k] = s.keepers[k].as_ref()?.state().clone();
                        }
                        s.letters.insert(Letter::ToProposer(p, k, answer));
                    }
                    Letter::ToProposer(p, k, answer) => {
                        let mut out = Vec::new();
                        s.proposers[p].handle_reply(s.now, k as u64, 0, answer, &mut out);
                        s.outs(p, out);
                    }
                    Letter::Leased(t, k, asked, grant) => {
                        s.tenants[t].record_grant(asked, s.now, k as u64, grant)
                    }
                }
            }
            // That it is asked later than this only makes the lease shorter.
            Action::AskLease(t, k) => {
                s.leased.insert((t, k));
                let letter = s.lease(t, k)?;
                s.letters.insert(letter);
            }
            Action::Kill(k) => {
                s.keepers[k] = None;
                s.kills += 1;
            }
            Action::Start(k) => {
                s.keepers[k] = Some(Acceptor::new(TIMES, k as u64, s.disks[k].clone(), s.now))
            }
            Action::Tick => {
                s.now += TICK;
                s.leased.clear();
                for p in 0..self.proposers {
                    let mut out = Vec::new();
                    s.proposers[p].tick(s.now, &mut out);
                    s.outs(p, out);
                }
            }
        }
        s.look();
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<World>> {
        vec![
            Property::always("the promise", |_, s: &State| s.broken.is_none()),
            // Never so: else the search would end with the first that is found.
            Property::sometimes("version 9 is held", |_, s: &State| s.high == 9),
        ]
    }
}

fn explore(world: World, states: usize) {
    let what = format!(
        "{} proposers, {} gateways, {} kills, {} ticks",
        world.proposers, world.gateways, world.kills, world.ticks
    );
    let again = World { ..world };
    let wide = world
        .checker()
        .threads(2)
        .target_state_count(states)
        .spawn_bfs()
        .join();
    wide.assert_no_discovery("the promise");
    println!(
        "{what}: all of {} states to depth {}",
        wide.unique_state_count(),
        wide.max_depth()
    );
    let deep = again
        .checker()
        .threads(2)
        .target_state_count(states)
        .target_max_depth(70)
        .spawn_dfs()
        .join();
    deep.assert_no_discovery("the promise");
    println!(
        "{what}: {} states down to depth {}",
        deep.unique_state_count(),
        deep.max_depth()
    );
}

/// `EXPLORE_STATES`: how many states at most, where it should not be over in seconds.
#[test]
fn no_interleaving_breaks_the_promise() {
    let states = std::env::var("EXPLORE_STATES")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(100_000);
    explore(
        World {
            proposers: 1,
            gateways: 2,
            kills: 1,
            ticks: 4,
        },
        states,
    );
    explore(
        World {
            proposers: 2,
            gateways: 1,
            kills: 1,
            ticks: 4,
        },
        states,
    );
    explore(
        World {
            proposers: 1,
            gateways: 1,
            kills: 2,
            ticks: 6,
        },
        states,
    );
}

/// What is explored leads where it should: a change is in force, and a gateway goes over.
#[test]
fn a_change_goes_through() {
    let w = World {
        proposers: 1,
        gateways: 1,
        kills: 0,
        ticks: 3,
    };
    let mut s = w.begins();
    for _ in 0..3 {
        for _ in 0..6 {
            let Some(l) = s.letters.iter().next().cloned() else {
                break;
            };
            s = w.next_state(&s, Action::Deliver(l)).expect("it goes on");
        }
        s = w.next_state(&s, Action::Tick).expect("time passes");
        for k in 0..KEEPERS {
            s = w
                .next_state(&s, Action::AskLease(0, k))
                .expect("it is asked");
        }
    }
    assert!(
        s.broken.is_none() && s.high == 1 && s.in_force.len() == 1,
        "{s:?}"
    );
}
