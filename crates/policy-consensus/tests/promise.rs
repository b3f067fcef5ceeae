//! The promise, under drawn schedules: three keepers, three gateways, proposers; messages late, lost, twice and out of order; keepers
//! that stop and start from disk, gateways that are stopped or start anew, clocks that drift apart by 1%. What is checked after each
//! step is what `docs/policy-changes.md` promises, by its numbers.
#![expect(clippy::too_many_lines)]

mod common;
use common::{Clock, SeededRandom};
use frosthatch_policy_consensus::acceptor::{
    Acceptor, AcceptorReply, AcceptorRequest, AcceptorState, LeaseGrant,
};
use frosthatch_policy_consensus::lease_holder::LeaseHolder;
use frosthatch_policy_consensus::proposer::{
    ProposalOutcome, Proposer, ProposerConfig, ProposerOutput,
};
use frosthatch_policy_consensus::{LeaseConfig, Policy, PolicyId};
use std::collections::{BTreeMap, BTreeSet};

const TIMES: LeaseConfig = LeaseConfig {
    lease_us: 1_000_000,
    drift: 10,
};
const KEEPERS: usize = 3;
const TENANTS: usize = 3;
const STEP: u64 = 20_000;

enum Letter {
    ToKeeper {
        proposer: usize,
        keeper: usize,
        ask: AcceptorRequest,
    },
    ToProposer {
        proposer: usize,
        keeper: usize,
        answer: AcceptorReply,
    },
    AskLease {
        tenant: usize,
        life: u64,
        keeper: usize,
        asked: u64,
    },
    Leased {
        tenant: usize,
        life: u64,
        keeper: usize,
        asked: u64,
        grant: LeaseGrant,
    },
}

struct World {
    now: u64,
    draw: SeededRandom,
    keepers: Vec<Option<Acceptor>>,
    disks: Vec<AcceptorState>,
    tenants: Vec<LeaseHolder>,
    lives: Vec<u64>,
    stopped: Vec<bool>,
    asked: Vec<u64>,
    proposers: Vec<Proposer>,
    letters: Vec<(u64, Letter)>,
    clocks: Vec<Clock>,
    /// What was told as in force, by version; and what will never be.
    in_force: BTreeMap<u64, Policy>,
    never: BTreeSet<PolicyId>,
    /// The highest version under which a request was let in, by anybody.
    high: u64,
    held: BTreeSet<PolicyId>,
    /// Steps in which a gateway that runs held none, while at least two keepers ran.
    without: usize,
    trouble: bool,
}

impl World {
    fn new(seed: u64, trouble: bool) -> World {
        let mut w = World {
            now: 1_000_000,
            draw: SeededRandom::new(seed),
            keepers: Vec::new(),
            disks: vec![AcceptorState::default(); KEEPERS],
            tenants: (0..TENANTS)
                .map(|_| LeaseHolder::new(TIMES, KEEPERS))
                .collect(),
            lives: vec![0; TENANTS],
            stopped: vec![false; TENANTS],
            asked: vec![0; TENANTS],
            proposers: Vec::new(),
            letters: Vec::new(),
            clocks: Vec::new(),
            in_force: BTreeMap::new(),
            never: BTreeSet::new(),
            high: 0,
            held: BTreeSet::new(),
            without: 0,
            trouble,
        };
        for _ in 0..KEEPERS + TENANTS {
            let clock = w.draw.clock();
            w.clocks.push(clock);
        }
        for k in 0..KEEPERS {
            let keeper = Acceptor::new(
                TIMES,
                k as u64,
                AcceptorState::default(),
                w.clocks[k].at(w.now),
            );
            w.keepers.push(Some(keeper));
        }
        w
    }

    /// Mostly soon, now and then very late, lost, or twice.
    fn post(&mut self, make: impl Fn() -> Letter) {
        let draws = [self.draw.below(100), self.draw.below(100)];
        let copies = match draws[0] {
            0..10 if self.trouble => 0,
            10..15 if self.trouble => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = if self.trouble && draws[1] < 5 {
                self.draw.below(3_000_000)
            } else {
                self.draw.below(30_000)
            };
            let at = self.now + late;
            self.letters.push((at, make()));
        }
    }

    fn propose(&mut self, policy: Option<Policy>) -> usize {
        let id = self.proposers.len();
        let config = ProposerConfig {
            id: id as u64 + 1,
            acceptors: KEEPERS,
            timeout_us: 4_000_000,
            retry_interval_us: 150_000,
        };
        let proposer = Proposer::new(self.now, config, 0, policy, BTreeSet::new());
        self.proposers.push(proposer);
        id
    }

    fn outs(&mut self, proposer: usize, out: Vec<ProposerOutput>) {
        for o in out {
            match o {
                ProposerOutput::CheckMembers(_) => {}
                ProposerOutput::SendToAcceptors(ask) => (0..KEEPERS).for_each(|keeper| {
                    self.post(|| Letter::ToKeeper {
                        proposer,
                        keeper,
                        ask: ask.clone(),
                    });
                }),
                ProposerOutput::Finished(end) => self.ended(proposer, end),
            }
        }
    }

    /// I3, I4, I5: what one proposer was told.
    fn ended(&mut self, proposer: usize, end: ProposalOutcome) {
        let Some(wanted) = self.proposers[proposer].proposed_policy().cloned() else {
            return;
        };
        match end {
            ProposalOutcome::InForce => {
                let other = self.in_force.insert(wanted.version, wanted);
                assert!(
                    other.is_none_or(|o| o == wanted),
                    "I5: two policies of one version in force"
                );
                assert!(
                    !self.never.contains(&wanted.id()),
                    "I3: one that was refused is in force"
                );
            }
            ProposalOutcome::Refused(_) | ProposalOutcome::Lost(_) => {
                assert!(
                    !self.held.contains(&wanted.id()),
                    "I3: one that holds was told to be nowhere"
                );
                assert!(
                    !self.in_force.values().any(|p| *p == wanted),
                    "I4: one in force was told to be nowhere"
                );
                self.never.insert(wanted.id());
            }
            ProposalOutcome::Open => {}
        }
    }

    fn deliver(&mut self, letter: Letter) {
        match letter {
            Letter::ToKeeper {
                proposer,
                keeper,
                ask,
            } => {
                let at = self.clocks[keeper].at(self.now);
                let Some(k) = &mut self.keepers[keeper] else {
                    return;
                };
                let (answer, durable) = k.handle(at, ask);
                if durable {
                    self.disks[keeper] = k.state().clone();
                    // It may die before the answer goes out.
                    if self.trouble && self.draw.below(60) == 0 {
                        self.keepers[keeper] = None;
                        return;
                    }
                }
                self.post(|| Letter::ToProposer {
                    proposer,
                    keeper,
                    answer: answer.clone(),
                });
            }
            Letter::ToProposer {
                proposer,
                keeper,
                answer,
            } => {
                let mut out = Vec::new();
                let now = self.now;
                self.proposers[proposer].handle_reply(now, keeper as u64, 0, answer, &mut out);
                self.outs(proposer, out);
            }
            Letter::AskLease {
                tenant,
                life,
                keeper,
                asked,
            } => {
                let at = self.clocks[keeper].at(self.now);
                let Some(k) = &mut self.keepers[keeper] else {
                    return;
                };
                if let (AcceptorReply::Lease(grant), _) = k.handle(at, AcceptorRequest::Lease) {
                    self.post(|| Letter::Leased {
                        tenant,
                        life,
                        keeper,
                        asked,
                        grant: grant.clone(),
                    });
                }
            }
            Letter::Leased {
                tenant,
                life,
                keeper,
                asked,
                grant,
            } => {
                if self.lives[tenant] == life && !self.stopped[tenant] {
                    let at = self.clocks[KEEPERS + tenant].at(self.now);
                    self.tenants[tenant].record_grant(asked, at, keeper as u64, grant);
                }
            }
        }
    }

    /// I1 and I2: whatever a gateway holds, nobody has held a later one before, whoever slept, and no two hold two at once.
    fn look(&mut self) {
        let two = self.keepers.iter().flatten().count() * 2 > KEEPERS;
        for t in 0..TENANTS {
            if self.stopped[t] {
                continue;
            }
            let at = self.clocks[KEEPERS + t].at(self.now);
            let Some(id) = self.tenants[t].advance_to_held_policy(at) else {
                self.without += usize::from(two);
                continue;
            };
            assert!(
                id.version >= self.high,
                "I1, I2: {} let in under {} after {}",
                t,
                id.version,
                self.high
            );
            assert!(
                !self.never.contains(&id),
                "I3: one that was told to be nowhere holds"
            );
            let other = self
                .held
                .iter()
                .find(|h| h.version == id.version && **h != id);
            assert!(other.is_none(), "I5: two of one version hold");
            self.high = id.version;
            self.held.insert(id);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(n) = self.letters.iter().position(|(at, _)| *at <= self.now) {
            let (_, letter) = self.letters.swap_remove(n);
            self.deliver(letter);
        }
        for t in 0..TENANTS {
            let at = self.clocks[KEEPERS + t].at(self.now);
            if !self.stopped[t] && at >= self.asked[t] + self.tenants[t].renewal_interval_us() {
                self.asked[t] = at;
                let life = self.lives[t];
                (0..KEEPERS).for_each(|keeper| {
                    self.post(|| Letter::AskLease {
                        tenant: t,
                        life,
                        keeper,
                        asked: at,
                    });
                });
            }
        }
        for p in 0..self.proposers.len() {
            let mut out = Vec::new();
            let now = self.now;
            self.proposers[p].tick(now, &mut out);
            self.outs(p, out);
        }
        self.look();
    }

    fn run(&mut self, us: u64) {
        (0..us / STEP).for_each(|_| self.step());
    }

    fn troubles(&mut self) {
        match self.draw.below(60) {
            0 => {
                let k = self.draw.below(KEEPERS as u64) as usize;
                self.keepers[k] = None;
            }
            1 => (0..KEEPERS).for_each(|k| self.keepers[k] = None),
            2..10 => {
                let k = self.draw.below(KEEPERS as u64) as usize;
                if self.keepers[k].is_none() {
                    self.start(k);
                }
            }
            10 => {
                let t = self.draw.below(TENANTS as u64) as usize;
                self.stopped[t] = true;
            }
            11..16 => {
                let t = self.draw.below(TENANTS as u64) as usize;
                self.stopped[t] = false;
            }
            16 => {
                let t = self.draw.below(TENANTS as u64) as usize;
                (self.tenants[t], self.lives[t]) =
                    (LeaseHolder::new(TIMES, KEEPERS), self.lives[t] + 1);
            }
            17..20 => {
                let (version, digest) = self.known();
                // No two propose the same.
                let draw = self.proposers.len() as u8;
                self.propose(Some(policy(version + 1, draw, digest)));
            }
            _ => {}
        }
    }

    /// What a proposer would take for the last policy: now and then not the last.
    fn known(&mut self) -> (u64, [u8; 32]) {
        let all: Vec<Policy> = self
            .disks
            .iter()
            .filter_map(|d| d.accepted)
            .map(|(_, p)| p)
            .collect();
        let one = self.draw.below(all.len() as u64) as usize;
        all.get(one).map_or((0, [0; 32]), |p| (p.version, p.digest))
    }

    fn start(&mut self, k: usize) {
        let at = self.clocks[k].at(self.now);
        self.keepers[k] = Some(Acceptor::new(TIMES, k as u64, self.disks[k].clone(), at));
    }
}

fn policy(version: u64, draw: u8, parent: [u8; 32]) -> Policy {
    let mut digest = [version as u8; 32];
    digest[0] = draw;
    Policy {
        version,
        digest,
        parent,
    }
}

#[test]
fn no_schedule_breaks_the_promise() {
    let (mut changes, mut refused) = (0, 0);
    for seed in 0..1_500 {
        let mut w = World::new(seed, true);
        w.propose(Some(policy(1, 0, [0; 32])));
        for _ in 0..700 {
            w.troubles();
            w.step();
        }
        // All well again: what is in force stays, and the register can be changed.
        w.trouble = false;
        (0..KEEPERS)
            .filter(|k| w.keepers[*k].is_none())
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|k| w.start(k));
        w.stopped.fill(false);
        w.run(6_000_000);
        w.propose(None);
        w.run(6_000_000);
        let held: Vec<_> = (0..TENANTS)
            .map(|t| w.tenants[t].advance_to_held_policy(w.clocks[KEEPERS + t].at(w.now)))
            .collect();
        let last = w.in_force.last_key_value().map_or(0, |(v, _)| *v);
        let one = held[0];
        assert!(held.iter().all(|h| *h == one), "seed {seed}: {held:?}");
        assert!(
            one.map_or(0, |id| id.version) >= last,
            "seed {seed}: I4: {last} was in force, {one:?} is held"
        );
        if let (Some(id), Some(p)) = (one, w.in_force.get(&one.map_or(0, |id| id.version))) {
            assert_eq!(id, p.id(), "seed {seed}: I4");
        }
        (changes, refused) = (changes + w.in_force.len(), refused + w.never.len());
    }
    println!("{changes} changes in force, {refused} nowhere");
    assert!(
        changes > 3_000 && refused > 300,
        "{changes} {refused}: the schedules show both"
    );
}

/// A keeper that is gone costs no request, nor does a change: a gateway without a lease waits some milliseconds in its turn.
#[test]
fn a_minority_that_is_lost_costs_nothing() {
    let mut w = World::new(7, false);
    w.propose(Some(policy(1, 0, [0; 32])));
    w.run(3_000_000);
    w.without = 0;
    w.keepers[1] = None;
    w.run(10_000_000);
    assert_eq!(
        w.without, 0,
        "steps of 20 ms in which a gateway had no lease"
    );
    for version in 2..12 {
        let digest = policy(version - 1, 0, [0; 32]).digest;
        w.propose(Some(policy(version, 0, digest)));
        w.run(3_000_000);
        assert_eq!(w.high, version);
    }
    // At each of ten turns each of three gateways may miss a few steps: 2% of a lease for drift, twice, and a way there.
    println!("{} steps in ten turns", w.without);
    assert!(w.without <= 10 * TENANTS * 5, "{}", w.without);
    w.start(1);
    w.run(3_000_000);
    assert_eq!(w.in_force.len(), 11);
}
