//! The machine that runs, whole: five members of whom three keep, documents in parts, checks, writes that take time and may be cut off,
//! letters late, lost, twice and out of order, parts that do not hear each other, members that stop and start, clocks that drift. By
//! drawn schedules; what is checked is what `docs/policy-changes.md` promises, by its numbers.
#![expect(clippy::too_many_lines)]

mod common;
use common::{Clock, Draw};
use frosthatch_policy_consensus::document::{hex, sha256, Document};
use frosthatch_policy_consensus::node::{
    ConsensusNode, LeaseLossPolicy, NodeConfig, NodeOutput, ServingState,
};
use frosthatch_policy_consensus::proposer::ProposalOutcome;
use frosthatch_policy_consensus::record::AcceptorRecord;
use frosthatch_policy_consensus::{LeaseConfig, PolicyId};
use std::collections::{BTreeMap, BTreeSet};

const TIMES: LeaseConfig = LeaseConfig {
    lease_us: 500_000,
    drift: 10,
};
const ALL: usize = 5;
const KEEPERS: usize = 3;
const STEP: u64 = 10_000;
const PATIENCE: u64 = 6_000_000;

/// One member: what runs, and what is on its disk.
struct Member {
    node: Option<ConsensusNode>,
    disk: Option<AcceptorRecord>,
    /// Being written: when it is done.
    writing: Option<(u64, AcceptorRecord)>,
    clock: Clock,
    stopped: bool,
    life: u64,
    /// Of before its folder was lost.
    copy: Option<AcceptorRecord>,
    /// Letters that come while it is stopped.
    waiting: Vec<(usize, Vec<u8>)>,
}

struct World {
    now: u64,
    draw: Draw,
    members: Vec<Member>,
    letters: Vec<(u64, usize, usize, Vec<u8>)>,
    parts: [usize; ALL],
    loss: u64,
    trouble: bool,
    on_lost: LeaseLossPolicy,
    proposed: BTreeMap<(usize, u64, u64), (PolicyId, String)>,
    ended: BTreeSet<(usize, u64, u64)>,
    in_force: BTreeMap<u64, PolicyId>,
    nowhere: BTreeSet<PolicyId>,
    held: BTreeSet<PolicyId>,
    high: u64,
    /// Steps in which one that runs held nothing while the keepers were well.
    without: usize,
    /// The keeper whose folder may be lost, and put back.
    frail: usize,
    /// The larger the longer its folder lasts.
    lasts: u64,
    /// It was lost so often, and a copy put back.
    lost: usize,
    back: usize,
}

/// No gateway takes a class that is worth this; one takes none that is worth that.
const NOBODY: &str = "13.0";
const NOT_THE_LAST: &str = "7.0";

fn text(version: u64, parent: [u8; 32], worth: &str, rate: u64) -> String {
    let parent = if version > 1 {
        format!("parent = \"{}\"\n", hex(&parent))
    } else {
        String::new()
    };
    // Long enough for several parts.
    let padding = "# some words\n".repeat(130);
    format!("version = {version}\n{parent}{padding}[plans.p]\nrate = {rate}\nburst = 9\n[classes.c]\naim_ms = 5\nworth = {worth}\nlate_worth = 0\n")
}

fn name(n: usize) -> String {
    format!("n{n}")
}

impl World {
    fn new(seed: u64, on_lost: LeaseLossPolicy) -> World {
        let mut w = World {
            now: 5_000_000,
            draw: Draw::new(seed),
            members: Vec::new(),
            letters: Vec::new(),
            parts: [0; ALL],
            loss: 0,
            trouble: true,
            on_lost,
            proposed: BTreeMap::new(),
            ended: BTreeSet::new(),
            in_force: BTreeMap::new(),
            nowhere: BTreeSet::new(),
            held: BTreeSet::new(),
            high: 0,
            without: 0,
            frail: seed as usize % KEEPERS,
            lasts: 3,
            lost: 0,
            back: 0,
        };
        for n in 0..ALL {
            let clock = w.draw.clock();
            let disk = (n < KEEPERS).then(|| AcceptorRecord::first(&name(n)));
            let waiting = Vec::new();
            w.members.push(Member {
                node: None,
                disk,
                writing: None,
                clock,
                stopped: false,
                life: 0,
                copy: None,
                waiting,
            });
            w.start(n);
        }
        w
    }

    fn at(&self, n: usize) -> u64 {
        self.members[n].clock.at(self.now)
    }

    fn start(&mut self, n: usize) {
        let (at, seed) = (self.at(n), self.draw.seed());
        let plan = NodeConfig {
            me: name(n),
            keepers: (0..KEEPERS).map(name).collect(),
            times: TIMES,
            patience_us: PATIENCE,
            again_us: 150_000,
            on_lost: self.on_lost,
            seed,
        };
        let judge = move |d: &Document| match d.classes["c"].worth {
            13.0 => Err("nobody takes it".to_string()),
            7.0 if n == ALL - 1 => Err("I do not take it".to_string()),
            _ => Ok(()),
        };
        let m = &mut self.members[n];
        m.life += 1;
        m.node = Some(ConsensusNode::new(
            at,
            plan,
            m.disk.clone().map(Ok),
            Box::new(judge),
        ));
    }

    /// SIGKILL: what was being written is on disk or is not.
    fn kill(&mut self, n: usize) {
        let done = self.draw.below(2) == 0;
        let m = &mut self.members[n];
        if let Some((_, record)) = m.writing.take().filter(|_| done) {
            m.disk = Some(record);
        }
        (m.node, m.stopped, m.waiting) = (None, false, Vec::new());
    }

    fn outs(&mut self, n: usize, out: Vec<NodeOutput>) {
        for o in out {
            match o {
                NodeOutput::Send { to, bytes } => {
                    let to: usize = to[1..].parse().expect("a number");
                    let draws = [self.draw.below(100), self.draw.below(100)];
                    let copies = match draws[0] {
                        d if d < self.loss => 0,
                        d if self.trouble && d > 95 => 2,
                        _ => 1,
                    };
                    for _ in 0..copies {
                        let late = if self.trouble && draws[1] < 5 {
                            self.draw.below(2_000_000)
                        } else {
                            self.draw.below(15_000)
                        };
                        self.letters.push((self.now + late, n, to, bytes.clone()));
                    }
                }
                NodeOutput::Store(record) => {
                    let takes = self.draw.below(30_000);
                    self.members[n].writing = Some((self.now + takes, record));
                }
                NodeOutput::Log(line) => {
                    if std::env::var_os("SHOW").is_some() {
                        eprintln!("{:.2} n{n} {line}", self.now as f64 / 1e6);
                    }
                }
            }
        }
        self.ends(n);
    }

    /// I3, I4, I5: what those who proposed at this member are told.
    fn ends(&mut self, n: usize) {
        let Some(node) = &self.members[n].node else {
            return;
        };
        let ended: Vec<_> = node
            .proposals()
            .filter_map(|p| Some((p.number, p.end?)))
            .collect();
        for (number, end) in ended {
            let key = (n, self.members[n].life, number);
            let Some((id, _)) = self.proposed.get(&key).cloned() else {
                continue;
            };
            if !self.ended.insert(key) {
                continue;
            }
            match end {
                ProposalOutcome::InForce => {
                    let other = self.in_force.insert(id.version, id);
                    assert!(
                        other.is_none_or(|o| o == id),
                        "I5: two of one version in force"
                    );
                    assert!(
                        !self.nowhere.contains(&id),
                        "I3: one that was told to be nowhere is in force"
                    );
                }
                ProposalOutcome::Refused(_) | ProposalOutcome::Lost(_) => {
                    assert!(
                        !self.held.contains(&id),
                        "I3: one that holds was told to be nowhere"
                    );
                    assert!(
                        !self.in_force.values().any(|i| *i == id),
                        "I4: one in force was told to be nowhere"
                    );
                    self.nowhere.insert(id);
                }
                ProposalOutcome::Open => {}
            }
        }
    }

    fn there(&self, n: usize) -> Vec<String> {
        // As members would find out: who runs and is heard.
        let heard = |m: &usize| {
            let of = &self.members[*m];
            *m != n && of.node.is_some() && !of.stopped && self.parts[*m] == self.parts[n]
        };
        (0..ALL).filter(heard).map(name).collect()
    }

    /// I1, I2: under what a request would be let in now.
    fn look(&mut self, n: usize) {
        let at = self.at(n);
        let Some(node) = &mut self.members[n].node else {
            return;
        };
        let ServingState::Under(id, with) = node.serving_state(at) else {
            self.without += 1;
            return;
        };
        assert!(
            id.version >= self.high || with.is_some(),
            "I1, I2: n{n} under {} after {}",
            id.version,
            self.high
        );
        assert!(
            !self.nowhere.contains(&id),
            "I3: one that was told to be nowhere holds"
        );
        let cannot = self
            .proposed
            .values()
            .any(|(i, worth)| *i == id && worth == NOT_THE_LAST);
        assert!(
            !(cannot && n == ALL - 1),
            "it serves under what it cannot take"
        );
        let fork = self
            .held
            .iter()
            .any(|h| h.version == id.version && *h != id);
        assert!(!fork, "I5: two of one version hold");
        self.high = self.high.max(id.version);
        self.held.insert(id);
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let due: Vec<_> = {
            let (due, rest) = std::mem::take(&mut self.letters)
                .into_iter()
                .partition(|(at, ..)| *at <= now);
            self.letters = rest;
            due
        };
        for (_, from, to, bytes) in due {
            if self.parts[from] == self.parts[to] {
                if self.members[to].stopped {
                    self.members[to].waiting.push((from, bytes));
                } else {
                    self.deliver(from, to, &bytes);
                }
            }
        }
        for n in 0..ALL {
            if self.members[n].node.is_none() || self.members[n].stopped {
                continue;
            }
            // What it decides on first when it goes on.
            self.look(n);
            let (at, there) = (self.at(n), self.there(n));
            let mut out = Vec::new();
            let m = &mut self.members[n];
            if m.writing.as_ref().is_some_and(|(done, _)| *done <= now) {
                m.disk = m.writing.take().map(|(_, record)| record);
                m.node
                    .iter_mut()
                    .for_each(|node| node.record_stored(at, Ok(()), &mut out));
            }
            m.node
                .iter_mut()
                .for_each(|node| node.tick(at, &there, &mut out));
            self.outs(n, out);
            self.look(n);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let (at, mut out) = (self.at(to), Vec::new());
        let Some(node) = &mut self.members[to].node else {
            return;
        };
        node.handle_message(at, &name(from), bytes, &mut out);
        self.outs(to, out);
    }

    fn propose(&mut self, n: usize) {
        let worth = ["1.0", "2.0", "3.0", NOT_THE_LAST, NOBODY][self.draw.below(5) as usize];
        let (at, there, rate) = (self.at(n), self.there(n), self.draw.below(1 << 29));
        let Some(node) = &mut self.members[n].node else {
            return;
        };
        // What it held last; now and then that is not the last.
        let on = node.history().last().map(|(id, _)| *id).unwrap_or_default();
        let text = text(on.version + 1, on.digest, worth, rate);
        let (id, mut out) = (
            PolicyId {
                version: on.version + 1,
                digest: sha256(&text),
            },
            Vec::new(),
        );
        match node.propose(at, &text, &there, &mut out) {
            Ok(number) => drop(
                self.proposed
                    .insert((n, self.members[n].life, number), (id, worth.into())),
            ),
            // At once: it never was anywhere.
            Err(why) => {
                if std::env::var_os("SHOW").is_some() {
                    eprintln!("{:.2} n{n} not begun: {why}", self.now as f64 / 1e6);
                }
                self.nowhere.insert(id);
            }
        }
        self.outs(n, out);
    }

    fn troubles(&mut self) {
        let n = self.draw.below(ALL as u64) as usize;
        match self.draw.below(130) {
            0 => self.kill(n),
            1 if self.draw.below(4) == 0 => (0..ALL).for_each(|n| self.kill(n)),
            2..8 if self.members[n].node.is_none() => self.start(n),
            8 => self.members[n].stopped = self.members[n].node.is_some(),
            9..14 => self.goes_on(n),
            14 => self.parts = std::array::from_fn(|_| self.draw.below(2) as usize),
            15 | 16 => self.parts = [0; ALL],
            17 => self.loss = [0, 10, 30][self.draw.below(3) as usize],
            21 if self.draw.below(self.lasts) == 0 => self.loses(),
            22 if self.draw.below(self.lasts) == 0 => self.puts_back(),
            23..30 if self.lasts == 1 && !self.members[n].stopped => self.propose(n),
            18..21 if !self.members[n].stopped => self.propose(n),
            _ => {}
        }
    }

    fn show(&self, what: &str) {
        if std::env::var_os("SHOW").is_some() {
            eprintln!("{:.2} n{} {what}", self.now as f64 / 1e6, self.frail);
        }
    }

    /// A keeper's folder is lost for good, and another is set up in its place.
    fn loses(&mut self) {
        self.show("its folder is lost");
        let n = self.frail;
        self.kill(n);
        let m = &mut self.members[n];
        if !m.disk.as_ref().is_some_and(|d| d.durable.joining) {
            m.copy = m.disk.take();
        }
        m.disk = Some(AcceptorRecord::joining(&name(n)));
        self.lost += 1;
        self.start(n);
    }

    /// What was taken for lost is put back: before another was set up in its place, or long after.
    fn puts_back(&mut self) {
        let n = self.frail;
        let (Some(copy), Some(disk)) = (self.members[n].copy.clone(), self.members[n].disk.clone())
        else {
            return;
        };
        // An older copy of the one that keeps is told apart only by those who remember.
        if disk.durable.joining || disk.durable.incarnation > copy.durable.incarnation {
            self.show("its folder is put back");
            self.kill(n);
            let m = &mut self.members[n];
            (m.disk, m.copy) = (Some(copy), None);
            self.back += 1;
            self.start(n);
        }
    }

    fn goes_on(&mut self, n: usize) {
        if std::mem::take(&mut self.members[n].stopped) {
            // Its very next request comes before anything that waits for it.
            self.look(n);
            for (from, bytes) in std::mem::take(&mut self.members[n].waiting) {
                self.deliver(from, n, &bytes);
            }
        }
    }

    fn all_well(&mut self) {
        (self.trouble, self.loss, self.parts) = (false, 0, [0; ALL]);
        for n in 0..ALL {
            self.goes_on(n);
            if self.members[n].node.is_none() {
                self.start(n);
            }
        }
    }

    fn run(&mut self, us: u64) {
        (0..us / STEP).for_each(|_| self.step());
    }

    fn standings(&mut self) -> Vec<ServingState> {
        let at: Vec<u64> = (0..ALL).map(|n| self.at(n)).collect();
        let nodes = self.members.iter_mut().zip(at);
        nodes
            .filter_map(|(m, at)| m.node.as_mut().map(|node| node.serving_state(at)))
            .collect()
    }
}

fn play(seeds: std::ops::Range<u64>, on_lost: LeaseLossPolicy, lasts: u64) -> (usize, usize) {
    let (mut changes, mut nowhere, mut lost, mut back) = (0, 0, 0, 0);
    for seed in seeds {
        let mut w = World::new(seed, on_lost);
        w.lasts = lasts;
        if std::env::var_os("SHOW").is_some() {
            eprintln!("seed {seed}");
        }
        w.run(1_000_000);
        for _ in 0..2_500 {
            w.troubles();
            w.step();
        }
        w.all_well();
        w.run(2_000_000);
        // Put back from a copy it is never of use again.
        let frail = w.members[w.frail]
            .node
            .as_ref()
            .and_then(ConsensusNode::keeps);
        if w.back > 0 || frail.is_some_and(|keeps| keeps.is_err()) {
            w.loses();
        }
        w.run(PATIENCE + 4_000_000);
        let keeps = w.members[w.frail]
            .node
            .as_ref()
            .and_then(ConsensusNode::keeps);
        assert!(
            keeps.as_ref().is_some_and(Result::is_ok),
            "seed {seed}: {keeps:?}"
        );
        (lost, back) = (lost + w.lost, back + w.back);
        let standings = w.standings();
        let last = w.in_force.last_key_value().map_or(0, |(v, _)| *v);
        let ServingState::Under(id, None) = standings[0] else {
            panic!("seed {seed}: {standings:?}")
        };
        // One that was not there may not be able to serve under what was decided: then it refuses.
        let cannot = w
            .proposed
            .values()
            .any(|(i, worth)| *i == id && worth == NOT_THE_LAST);
        let same = |(n, s): (usize, &ServingState)| {
            *s == standings[0] || cannot && n == ALL - 1 && *s == ServingState::Lost
        };
        assert!(
            standings.iter().enumerate().all(same),
            "seed {seed}: {standings:?}"
        );
        assert!(
            id.version >= last,
            "seed {seed}: I4: {last} was told as in force, {} is held",
            id.version
        );
        assert!(
            w.in_force.get(&id.version).is_none_or(|i| *i == id),
            "seed {seed}: I4"
        );
        // And it can be changed.
        let before = w.in_force.len();
        let mut proposed = false;
        for n in 0..ALL {
            // Until one is drawn that all take.
            for _ in 0..3 {
                if w.in_force.len() == before {
                    w.propose(n);
                    w.run(3_000_000);
                    proposed = true;
                }
            }
        }
        assert!(
            proposed && w.in_force.len() > before,
            "seed {seed}: nothing can be changed any more"
        );
        (changes, nowhere) = (changes + w.in_force.len(), nowhere + w.nowhere.len());
    }
    println!("{lost} folders lost, {back} put back");
    assert!(
        lost > changes / 50 && back > 0,
        "{lost} {back}: the schedules show both"
    );
    (changes, nowhere)
}

#[test]
fn no_schedule_breaks_the_promise() {
    let (changes, nowhere) = play(0..120, LeaseLossPolicy::Refuse, 3);
    println!("{changes} changes in force, {nowhere} nowhere");
    assert!(
        changes > 300 && nowhere > 300,
        "{changes} {nowhere}: the schedules show both"
    );
}

#[test]
fn nor_where_the_stricter_of_both_is_served_without_a_lease() {
    let (changes, _) = play(1_000..1_030, LeaseLossPolicy::Stricter, 3);
    assert!(changes > 60, "{changes}");
}

#[test]
fn nor_does_one_whose_folder_is_lost_and_put_back_again_and_again() {
    let (changes, _) = play(2_000..2_120, LeaseLossPolicy::Refuse, 1);
    assert!(changes > 200, "{changes}");
}

/// One way down of three keepers, and ten changes: nobody is without a lease but for its turns.
#[test]
fn a_keeper_that_is_gone_costs_nothing_and_one_that_comes_back_catches_up() {
    let mut w = World::new(3, LeaseLossPolicy::Refuse);
    w.trouble = false;
    w.run(2_000_000);
    w.kill(1);
    w.without = 0;
    w.run(5_000_000);
    assert_eq!(w.without, 0, "looks at which a gateway had no lease");
    for version in 1..=10 {
        while w.high < version {
            w.propose(4);
            w.run(2_500_000);
        }
    }
    println!("{} looks without a lease in ten turns", w.without);
    // Two looks a step: 2% of a lease for drift, twice, the way there and back, and a step.
    assert!(w.without <= 10 * ALL * 2 * 7, "{}", w.without);
    w.start(1);
    w.run(1_500_000);
    let record = w.members[1].disk.clone().expect("it keeps");
    assert_eq!(
        record.durable.accepted.map(|(_, p)| p.version),
        Some(w.high),
        "it has caught up by itself"
    );
}

/// A change that a member cannot take is told with that member's name, and is nowhere.
#[test]
fn who_cannot_take_it_is_named() {
    let mut w = World::new(4, LeaseLossPolicy::Refuse);
    w.trouble = false;
    w.run(2_000_000);
    let (at, there, mut out) = (w.at(1), w.there(1), Vec::new());
    let text = text(1, [0; 32], NOT_THE_LAST, 5);
    let node = w.members[1].node.as_mut().expect("it runs");
    let number = node
        .propose(at, &text, &there, &mut out)
        .expect("it is asked about");
    w.outs(1, out);
    w.run(1_000_000);
    let node = w.members[1].node.as_ref().expect("it runs");
    let shown = node
        .proposals()
        .find(|p| p.number == number)
        .expect("it is known");
    assert_eq!(
        shown.why,
        [("n4".to_string(), "I do not take it".to_string())]
    );
    assert_eq!(w.high, 0);
}
