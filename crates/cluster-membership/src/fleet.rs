//! The state machine: datagrams and ticks in, datagrams and news out. No sockets, no clock, no chance but a seed.

use crate::allowance::Allowance;
use crate::detect::{Detect, Step, ACCUSERS};
use crate::gauges::Gauges;
use crate::record::{hash, LifecyclePhase, Liveness, MemberRecord};
use crate::seal::{Keys, AROUND, MOST_BYTES};
use crate::session::{Counts, Session};
use crate::table::{Change, Table, View};
use crate::usage_gossip::{self, UsageGossip};
use crate::wire::{self, DatagramBody, DatagramHeader, DatagramWriter, MOST_PROBES, MOST_WANTED};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Datagrams with a wrong seal that are looked at in a second from one address, and from all that are not told apart.
const WRONG_A_S: f64 = 50.0;
const ADDRESSES: usize = 256;
/// Answers a second to those who have not proven who they are.
const HELLOS_A_S: f64 = 100.0;
/// What one member may send, beside what it should: repeats and noise cost no more than this.
const MOST_TIMES: f64 = 4.0;
/// How often a seed is called while nobody is known, and else.
const SEED_US: u64 = 250_000;
const SEED_LATER_US: u64 = 1_000_000;
/// Tables are compared with one other member this often, and what differs is told in so many datagrams at most.
const SYNC_US: u64 = 500_000;
const SYNC_DATAGRAMS: usize = 8;
/// Within this of its start a process takes its name over from an earlier one; after that a later one takes it over from it.
const CLAIM_US: u64 = 3_000_000;
/// Probes made for others are remembered so long, so many at most.
const RELAY_US: u64 = 5_000_000;
const RELAYS: usize = 1_024;
/// A tick later than so many of its times says that this process did not run.
const SLEPT_TICKS: u64 = 6;
/// Of the budget of messages so much, in percent, is for telling use; the rest for probes, answers and tables.
const FOR_TELLING: u64 = 85;
/// So many may be told in one tick in any case.
const LEAST_A_TICK: u64 = 8;
/// Room that news of members leave to use in a datagram.
const FOR_USE: usize = 400;
/// Whoever was not heard for so long is asked after at the others.
const UNHEARD_US: u64 = 1_000_000;
/// Log lines a second.
const LINES_A_S: f64 = 200.0;
/// Who says that it leaves tells at most so many at once.
const FAREWELLS: usize = 64;
/// Longest letter.
pub const MOST_POST: usize = 880;

#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    pub name: String,
    /// This gateway's number, and how many numbers there are.
    pub number: u16,
    pub gateways: u16,
    pub zone: String,
    pub region: String,
    pub program: String,
    /// Where the others reach it.
    pub advertise: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// How often each other member is told, in microseconds; less often where the budgets do not bear it.
    pub tick_us: u64,
    pub probe_us: u64,
    /// Of all datagrams that go out.
    pub bytes_per_s: u64,
    pub messages_per_s: u64,
    /// Entries of use that are kept, and members.
    pub most_entries: usize,
    pub most_members: usize,
    /// How long one that is dead or has left is remembered.
    pub forget_us: u64,
    /// Milliseconds since 1970 at the start: a later process under the same name has more.
    pub started_ms: u64,
    pub seed: u64,
}

impl MembershipConfig {
    /// How often each of so many others is told, as the budget of messages allows.
    fn interval_us(&self, others: usize) -> u64 {
        let for_use = (self.messages_per_s * FOR_TELLING / 100).max(1);
        self.tick_us.max(others as u64 * 1_000_000 / for_use)
    }

    /// How long the word of a gateway counts: some of its datagrams may be lost.
    pub fn holds_us(&self) -> u64 {
        (self.interval_us(usize::from(self.gateways.saturating_sub(1))) * 6).max(300_000)
    }
}

#[derive(Debug, PartialEq)]
pub enum Output {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Use of others that was not known, by gateway and customer; what is of before they were heard, by customer; and who has told
    /// all of its own.
    UsageReported {
        heard: Vec<u32>,
        uses: Vec<(u32, u32, f64)>,
        past: Vec<(u32, f64)>,
    },
    /// All numbers under which nobody can let anything through.
    GatewaysAbsent(Vec<u32>),
    /// A letter came from a member, as it was given to [`Fleet::post`] there.
    MessageReceived {
        from: String,
        bytes: Vec<u8>,
    },
    Log(String),
}

/// What is known of another beside its record.
struct Peer {
    session: Session,
    /// When it was last heard of, proven or not.
    seen_at: u64,
    told: usage_gossip::Told,
    facts: Gauges,
    /// Version of our figures that it has.
    facts_acked: u64,
    due: u64,
    comes: Allowance,
    acks: Vec<u32>,
    /// Our record goes along until it must have come.
    greetings: u8,
}

/// One member, as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    pub record: MemberRecord,
    pub heard_us: Option<u64>,
}

pub struct Membership {
    plan: MembershipConfig,
    keys: Keys,
    life: u64,
    rng: Pcg64Mcg,
    table: Table,
    detect: Detect,
    telling: UsageGossip,
    facts: Gauges,
    peers: BTreeMap<String, Peer>,
    /// Probes that were made for others: ours, by whom, theirs, and until when.
    relays: BTreeMap<u32, (String, u32, u64)>,
    heard: BTreeSet<u32>,
    /// Datagrams that came with a wrong seal, by source.
    wrong: BTreeMap<SocketAddr, Allowance>,
    wrong_rest: Allowance,
    flood: (bool, bool),
    bytes: Allowance,
    messages: Allowance,
    hellos: Allowance,
    lines: Allowance,
    hushed: u64,
    started: Option<u64>,
    ticked_at: u64,
    /// Time in which this process ran.
    awake: u64,
    drowsy_till: u64,
    seed_due: u64,
    sync_due: u64,
    unheard: Vec<u16>,
    /// Somebody was met: whoever is not known then is not there.
    met: bool,
    absent: Vec<u32>,
    /// Another process runs under this name: this one talks no more.
    pub superseded: bool,
    gone: bool,
}

impl Membership {
    pub fn new(plan: MembershipConfig, keys: Keys) -> Membership {
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let life = rng.next_u64() | 1;
        let own = MemberRecord {
            name: plan.name.clone(),
            number: plan.number,
            zone: plan.zone.clone(),
            region: plan.region.clone(),
            address: plan.advertise,
            instance_id: life,
            incarnation: plan.started_ms.max(1),
            phase: LifecyclePhase::Joining,
            verdict: Liveness::Alive,
            program: plan.program.clone(),
        };
        Membership {
            keys,
            life,
            table: Table::new(own, plan.most_members.max(2), plan.forget_us),
            detect: Detect::new(plan.probe_us, rng.next_u64()),
            telling: UsageGossip::new(plan.number, plan.gateways, life, plan.most_entries),
            facts: Gauges::default(),
            rng,
            peers: BTreeMap::new(),
            relays: BTreeMap::new(),
            heard: BTreeSet::new(),
            wrong: BTreeMap::new(),
            wrong_rest: Allowance::new(WRONG_A_S),
            flood: (false, false),
            bytes: Allowance::new(plan.bytes_per_s as f64),
            messages: Allowance::new(plan.messages_per_s as f64),
            hellos: Allowance::new(HELLOS_A_S),
            lines: Allowance::new(LINES_A_S),
            hushed: 0,
            started: None,
            ticked_at: 0,
            awake: 0,
            drowsy_till: 0,
            seed_due: 0,
            sync_due: 0,
            // Without seeds it is the first.
            met: plan.seeds.iter().all(|s| *s == plan.advertise),
            absent: Vec::new(),
            unheard: Vec::new(),
            superseded: false,
            gone: false,
            plan,
        }
    }

    pub fn me(&self) -> &MemberRecord {
        self.table.me()
    }

    pub fn view(&self) -> &View {
        self.table.view()
    }

    /// The ready members: region, zone and name, in this order.
    pub fn ready(&self) -> Vec<(&str, &str, &str)> {
        self.table.ready()
    }

    pub fn telling(&self) -> &UsageGossip {
        &self.telling
    }

    /// All members that are known, this one included.
    pub fn members(&self) -> impl Iterator<Item = MemberStatus> + '_ {
        let heard = |name: &str| self.peers.get(name).filter(|p| p.session.heard_at > 0);
        self.table.rows().map(move |row| MemberStatus {
            record: row.record.clone(),
            heard_us: heard(&row.record.name)
                .map(|p| self.awake.saturating_sub(p.session.heard_at)),
        })
    }

    /// This gateway let units of a customer through.
    pub fn record_usage(&mut self, tag: u32, units: f64) {
        self.telling.used(tag, units);
    }

    /// One of this member's figures for the others.
    pub fn set_gauge(&mut self, now: u64, name: &str, value: f64) -> bool {
        self.facts.set(now, name, value)
    }

    pub fn clear_gauge(&mut self, name: &str) {
        self.facts.clear(name);
    }

    /// All of another member's figures: name, value, and when each was found out, by this member's clock; its version of them.
    pub fn gauges(&self, member: &str) -> Option<&Gauges> {
        Some(&self.peers.get(member)?.facts)
    }

    /// A member's figures, and when each was found out, by this member's clock.
    pub fn gauge(&self, member: &str, name: &str) -> Option<(f64, u64)> {
        match member == self.plan.name {
            true => self.facts.get(name),
            false => self.peers.get(member)?.facts.get(name),
        }
    }

    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// What this member says of itself.
    pub fn set_phase(&mut self, now: u64, phase: LifecyclePhase) {
        if self.me().phase != phase && !self.gone {
            self.table.say(now, phase, 0);
        }
    }

    /// Tells the others that it goes. From then on it only says that, again and again as long as it is asked to tick.
    pub fn leave(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.superseded {
            return;
        }
        self.set_phase(now, LifecyclePhase::Left);
        self.gone = true;
        let names: Vec<String> = self.table.others().map(|r| r.name.clone()).collect();
        for name in names.into_iter().take(FAREWELLS) {
            self.send(
                &name,
                now,
                Extra {
                    own: true,
                    ..Extra::default()
                },
                out,
            );
        }
    }

    /// All others that are there.
    pub fn others(&self) -> impl Iterator<Item = &str> {
        self.table.others().map(|r| r.name.as_str())
    }

    /// Sends a letter, of at most [`MOST_POST`] bytes, to a member: once, and not at all to one that has not proven who it is.
    pub fn send_message(&mut self, now: u64, to: &str, bytes: Vec<u8>, out: &mut Vec<Output>) {
        if !self.superseded && !self.gone {
            self.send(
                to,
                now,
                Extra {
                    post: bytes,
                    ..Extra::default()
                },
                out,
            );
        }
    }

    fn log(&mut self, now: u64, line: String, out: &mut Vec<Output>) {
        match self.lines.take(now, 1.0) {
            true => out.push(Output::Log(line)),
            false => self.hushed += 1,
        }
    }

    /// Takes in what came by the network.
    pub fn datagram(&mut self, now: u64, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        if self.superseded {
            return;
        }
        if self.ticked_at > 0 && now.saturating_sub(self.ticked_at) > self.slept_us() {
            self.drowsy_till = self.drowsy_till.max(self.awake + self.plan.holds_us());
        }
        let Some(body) = self.open(now, from, bytes) else {
            return;
        };
        let h = &body.head;
        if h.from == self.plan.name {
            // One's own, or another's under the same name; what it says of itself is in its records.
            if h.life != self.life {
                self.claimed(now, h.incarnation, h.life, true, out);
            }
            return;
        }
        if !self.peers.contains_key(&h.from) && self.peers.len() >= self.plan.most_members * 2 {
            return;
        }
        let (awake, life) = (self.awake, self.life);
        let peer = self.peer(now, &h.from);
        peer.seen_at = awake;
        if !peer.comes.take(now, 1.0) {
            return;
        }
        match peer
            .session
            .take(life, h.to, h.life, h.incarnation, h.number)
        {
            Counts::Yes => {}
            Counts::Anew => {
                (peer.told, peer.facts_acked, peer.facts) = Default::default();
                peer.greetings = 0;
                if let Some(number) = self.number_of(&body) {
                    self.telling.meets(now, number, body.head.life);
                }
            }
            Counts::Twice => return,
            counts @ (Counts::Unproven | Counts::Replaced) => {
                if self.hellos.take(now, 1.0) {
                    // Whoever another life has replaced hears of that as the one that it is.
                    let replaced = (counts == Counts::Replaced).then_some(body.head.life);
                    let extra = Extra {
                        own: true,
                        replaced,
                        ..Extra::default()
                    };
                    self.send_to(&body.head.from, from, now, extra, out);
                }
                return;
            }
        }
        self.met = true;
        self.heard_from(now, body, out);
    }

    fn open(&mut self, now: u64, from: SocketAddr, bytes: &[u8]) -> Option<DatagramBody> {
        // Guards the processor against a flood: whoever sends it has no key, or is not well.
        let tired = match self.wrong.get_mut(&from) {
            Some(of) => !of.some(now),
            None => self.wrong.len() >= ADDRESSES && !self.wrong_rest.some(now),
        };
        if tired {
            self.flood.0 = true;
            return None;
        }
        let body = self.keys.open(bytes).and_then(DatagramBody::read);
        if body.is_none() {
            if self.wrong.len() < ADDRESSES {
                self.wrong
                    .entry(from)
                    .or_insert_with(|| Allowance::new(WRONG_A_S));
            }
            match self.wrong.get_mut(&from) {
                Some(of) => of.spend(now, 1.0),
                None => self.wrong_rest.spend(now, 1.0),
            }
        }
        body
    }

    /// The number of a datagram's sender.
    fn number_of(&self, body: &DatagramBody) -> Option<u16> {
        let own = body
            .members
            .iter()
            .find(|m| m.record.name == body.head.from);
        let known = self.table.get(&body.head.from);
        own.map(|m| m.record.number).or(known.map(|r| r.number))
    }

    /// What a member that has proven who it is says.
    fn heard_from(&mut self, now: u64, body: DatagramBody, out: &mut Vec<Output>) {
        let DatagramBody {
            head: h,
            members,
            uses,
            facts,
            post,
        } = body;
        let theirs = (!h.buckets.is_empty()).then(|| self.table.differing(&h.buckets));
        let differing: Vec<wire::MemberUpdate> = theirs
            .into_iter()
            .flatten()
            .map(|row| told(row, now))
            .collect();
        for m in members {
            self.member(now, m, out);
        }
        let number = self
            .table
            .get(&h.from)
            .filter(|r| r.instance_id == h.life)
            .map(|r| u32::from(r.number));
        let Some(peer) = self.peers.get_mut(&h.from) else {
            return;
        };
        peer.session.heard_at = self.awake.max(1);
        peer.told.wanted = h.wanted;
        peer.told.acked = peer
            .told
            .acked
            .max(h.have)
            .min(self.telling.uses().last_change());
        peer.facts_acked = peer.facts_acked.max(h.facts_have).min(self.facts.version);
        peer.facts.take(now, facts.0, facts.1);
        if h.ping != 0 && peer.acks.len() < MOST_PROBES {
            peer.acks.push(h.ping);
        }
        self.telling.take(now, uses);
        if h.base <= peer.told.have {
            peer.told.have = peer.told.have.max(h.upto);
            if h.complete && self.awake >= self.drowsy_till {
                self.heard.extend(number);
            }
        }
        for seq in h.acks {
            self.detect.answered(seq);
            // Made for another: it hears of it.
            if let Some((whom, theirs, _)) = self.relays.remove(&seq) {
                self.send(
                    &whom,
                    now,
                    Extra {
                        acks: vec![theirs],
                        ..Extra::default()
                    },
                    out,
                );
            }
        }
        for (target, seq) in h.asks {
            if self.relays.len() < RELAYS
                && self.table.get(&target).is_some_and(MemberRecord::there)
            {
                let ours = self.detect.next_seq();
                self.relays
                    .insert(ours, (h.from.clone(), seq, self.awake + RELAY_US));
                self.send(
                    &target,
                    now,
                    Extra {
                        ping: ours,
                        ..Extra::default()
                    },
                    out,
                );
            }
        }
        if h.ping != 0 {
            self.send(&h.from, now, Extra::default(), out);
        }
        if !h.buckets.is_empty() {
            self.answer_sync(&h.from, now, differing, h.back, out);
        }
        if !post.is_empty() {
            out.push(Output::MessageReceived {
                from: h.from,
                bytes: post,
            });
        }
    }

    /// Tells what differs; of a large table another part with each time.
    fn answer_sync(
        &mut self,
        to: &str,
        now: u64,
        mut all: Vec<wire::MemberUpdate>,
        back: bool,
        out: &mut Vec<Output>,
    ) {
        if all.is_empty() {
            return;
        }
        let first = self.rng.next_u32() as usize % all.len();
        all.rotate_left(first);
        let mut rest = all.into_iter().peekable();
        for n in 0..SYNC_DATAGRAMS {
            if rest.peek().is_none() {
                return;
            }
            let buckets = if back && n == 0 {
                self.table.buckets()
            } else {
                Vec::new()
            };
            let extra = Extra {
                buckets,
                members: Some(&mut rest),
                ..Extra::default()
            };
            self.send(to, now, extra, out);
        }
    }

    /// What is told of one member.
    fn member(&mut self, now: u64, m: wire::MemberUpdate, out: &mut Vec<Output>) {
        let r = &m.record;
        if r.name == self.plan.name {
            if r.instance_id == self.life {
                let (phase, incarnation) = (self.me().phase, self.me().incarnation);
                let accused = r.verdict != Liveness::Alive || r.phase == LifecyclePhase::Left;
                if r.incarnation >= incarnation && accused && !self.gone {
                    // Lifeguard: whoever has to refute is as likely the one that does badly.
                    self.detect.worse();
                    self.table.say(now, phase, r.incarnation);
                }
            } else {
                let there = r.there();
                self.claimed(now, r.incarnation, r.instance_id, there, out);
            }
            return;
        }
        let age_us = u64::from(m.age_s) * 1_000_000;
        let by = m.by;
        if let Some(change) = self.table.merge(now, r, age_us) {
            self.changed(now, &change, out);
        }
        // Others accuse it, too: the sooner is it settled.
        let Some(known) = self.table.get(&m.record.name) else {
            return;
        };
        let (name, incarnation) = (known.name.clone(), known.incarnation);
        if known.verdict == Liveness::Suspect && incarnation == m.record.incarnation {
            for by in by {
                self.table.accused(&name, by, ACCUSERS + 1);
            }
            // Silence where there should have been several words of it accuses as a probe does.
            let usual = self.plan.interval_us(self.table.len()) * 4;
            let at = heard_at(&self.peers, &name);
            if at > 0 && self.awake.saturating_sub(at) > usual.max(2 * self.plan.probe_us) {
                self.accuse(&name);
            }
            let accusers = self.table.accusers(&name).len();
            self.detect
                .suspect(self.awake, &name, incarnation, accusers);
        }
    }

    /// This member is one of those that accuse a suspect.
    fn accuse(&mut self, name: &str) {
        self.table
            .accused(name, hash(&self.plan.name) as u32, ACCUSERS + 1);
    }

    /// Another process uses, or used, this one's name.
    fn claimed(
        &mut self,
        now: u64,
        incarnation: u64,
        life: u64,
        there: bool,
        out: &mut Vec<Output>,
    ) {
        let mine = self.me();
        if (incarnation, life) < (mine.incarnation, mine.instance_id) {
            return;
        }
        let young = now.saturating_sub(self.started.unwrap_or(now)) < CLAIM_US;
        if !there || young {
            let phase = mine.phase;
            self.table.say(now, phase, incarnation);
            return;
        }
        self.superseded = true;
        let name = &self.plan.name;
        out.push(Output::Log(format!(
            "fleet: a later process runs as {name}; this one talks to nobody any more"
        )));
    }

    /// A record changed: the log, who is probed, and who is told.
    fn changed(&mut self, now: u64, change: &Change, out: &mut Vec<Output>) {
        let (name, r) = (&change.now.name, &change.now);
        if r.verdict != Liveness::Suspect {
            self.detect.settled(name);
        }
        let same = change
            .before
            .as_ref()
            .is_some_and(|b| b.instance_id == r.instance_id && b.state() == r.state());
        if !same && r.verdict != Liveness::Suspect {
            let back = change
                .before
                .as_ref()
                .is_some_and(|b| b.verdict == Liveness::Dead)
                && r.there();
            let what = if back {
                format!("{}, is back", r.state())
            } else {
                r.state().to_string()
            };
            let unheard = self
                .peers
                .get(name)
                .map(|p| self.awake.saturating_sub(p.session.heard_at));
            let unheard = unheard.filter(|_| r.verdict == Liveness::Dead);
            let unheard = unheard.map_or(String::new(), |us| {
                format!(", unheard for {:.1} s", us as f64 / 1e6)
            });
            self.log(now, format!("member {name}: {what}{unheard}"), out);
        }
        let clash = self
            .table
            .others()
            .find(|o| o.number == r.number && o.name != *name && r.there());
        let mine = r.number == self.plan.number && r.there() && r.name != self.plan.name;
        if let Some(other) = clash
            .map(|o| o.name.clone())
            .or(mine.then(|| self.plan.name.clone()))
        {
            let line = format!(
                "member {name}: has the number {} as {other} has; give each its own",
                r.number
            );
            self.log(now, line, out);
        }
    }

    /// Does what is due; to be called at every tick.
    pub fn tick(&mut self, now: u64, out: &mut Vec<Output>) {
        let started = *self.started.get_or_insert(now);
        let gap = now.saturating_sub(self.ticked_at);
        let first = self.ticked_at == 0;
        self.ticked_at = now;
        let most = self.slept_us();
        self.awake += if first { 1 } else { gap.min(most) };
        if !first && gap > most {
            // What waits for it may be as old as its sleep.
            self.drowsy_till = self.awake + self.plan.holds_us();
            self.detect.slept(self.awake);
        }
        self.table_ages(now, out);
        let news = self.telling.tick(now);
        if !(news.is_empty() && self.heard.is_empty()) {
            let heard = std::mem::take(&mut self.heard).into_iter().collect();
            out.push(Output::UsageReported {
                heard,
                uses: news.uses,
                past: news.past,
            });
        }
        if self.superseded {
            return;
        }
        if self.gone {
            return self.leave(now, out);
        }
        self.listen();
        self.find(now, started, out);
        self.probe(now, out);
        self.sync(now, out);
        self.tell_all(now, out);
        if std::mem::take(&mut self.flood.0) && !std::mem::replace(&mut self.flood.1, true) {
            let text = "fleet: a flood of datagrams with a wrong seal; more are dropped unread";
            out.push(Output::Log(text.into()));
        }
        if self.hushed > 0 && self.lines.some(now) {
            let more = std::mem::take(&mut self.hushed);
            self.log(now, format!("fleet: {more} lines more"), out);
        }
    }

    /// A tick later than this says that the process did not run.
    fn slept_us(&self) -> u64 {
        self.plan.tick_us * SLEPT_TICKS
    }

    fn table_ages(&mut self, now: u64, out: &mut Vec<Output>) {
        for r in self.table.forget(now) {
            self.log(now, format!("member {}: forgotten", r.name), out);
        }
        let awake = self.awake;
        self.relays.retain(|_, (_, _, till)| *till > awake);
        let table = &self.table;
        // Whoever is no member and says nothing any more is not remembered.
        self.peers
            .retain(|name, p| table.get(name).is_some() || awake < p.seen_at + RELAY_US);
        if !self.met {
            return;
        }
        let mut there: Vec<bool> = vec![false; usize::from(self.plan.gateways)];
        let rows = self
            .table
            .rows()
            .map(|row| &row.record)
            .filter(|r| r.phase != LifecyclePhase::Left);
        for r in rows {
            if let Some(t) = there.get_mut(usize::from(r.number)) {
                *t = true;
            }
        }
        let absent: Vec<u32> = (0..)
            .zip(&there)
            .filter(|(_, t)| !**t)
            .map(|(n, _)| n)
            .collect();
        if absent != self.absent {
            self.absent.clone_from(&absent);
            out.push(Output::GatewaysAbsent(absent));
        }
    }

    /// Calls seeds: all while nobody is there, else one that none of those who are there is at.
    fn find(&mut self, now: u64, started: u64, out: &mut Vec<Output>) {
        if now < self.seed_due {
            return;
        }
        let there: Vec<SocketAddr> = self.table.others().map(|r| r.address).collect();
        let missing = |s: &&SocketAddr| **s != self.plan.advertise && !there.contains(s);
        let mut seeds: Vec<SocketAddr> = self.plan.seeds.iter().filter(missing).copied().collect();
        let alone = there.is_empty();
        // Those that are held dead are called as well: a cut may be over.
        let dead = self
            .table
            .rows()
            .map(|r| &r.record)
            .filter(|r| !r.there() && r.phase != LifecyclePhase::Left);
        let dead: Vec<String> = dead.map(|r| r.name.clone()).collect();
        self.seed_due = now
            + if alone && now < started + 30_000_000 {
                SEED_US
            } else {
                SEED_LATER_US
            };
        if !alone && !seeds.is_empty() {
            seeds = vec![seeds[self.rng.next_u32() as usize % seeds.len()]];
        }
        for at in seeds.into_iter().take(FAREWELLS) {
            let head = self.head(0, 0);
            let mut writer = DatagramWriter::new(&head);
            self.table
                .row(&self.plan.name)
                .map(|own| writer.member(told(own, now), 0));
            self.put(now, at, writer, head, out);
        }
        if !dead.is_empty() {
            let name = &dead[self.rng.next_u32() as usize % dead.len()];
            self.send(
                name,
                now,
                Extra {
                    own: true,
                    ..Extra::default()
                },
                out,
            );
        }
    }

    fn probe(&mut self, now: u64, out: &mut Vec<Output>) {
        let mut steps = Vec::new();
        {
            let others: Vec<&str> = self.table.others().map(|r| r.name.as_str()).collect();
            let heard = |name: &str| heard_at(&self.peers, name);
            if self.awake >= self.drowsy_till {
                let usual = self.plan.interval_us(others.len());
                self.detect
                    .tick(self.awake, usual, &others, heard, &mut steps);
            }
        }
        for step in steps {
            match step {
                Step::Ping { target, seq } => {
                    self.send(
                        &target,
                        now,
                        Extra {
                            ping: seq,
                            ..Extra::default()
                        },
                        out,
                    );
                }
                Step::Ask { via, target, seq } => {
                    for name in via {
                        let asks = vec![(target.clone(), seq)];
                        self.send(
                            &name,
                            now,
                            Extra {
                                asks,
                                ..Extra::default()
                            },
                            out,
                        );
                    }
                }
                Step::Suspect(name) => {
                    let Some(r) = self.table.get(&name).filter(|r| r.there()) else {
                        continue;
                    };
                    let incarnation = r.incarnation;
                    if let Some(change) = self.table.judge(now, &name, Liveness::Suspect) {
                        self.changed(now, &change, out);
                    }
                    self.accuse(&name);
                    let accusers = self.table.accusers(&name).len();
                    self.detect
                        .suspect(self.awake, &name, incarnation, accusers);
                }
                Step::Warn(name) => self.send(
                    &name,
                    now,
                    Extra {
                        warn: true,
                        ..Extra::default()
                    },
                    out,
                ),
                Step::Dead(name) => {
                    let suspect = self
                        .table
                        .get(&name)
                        .is_some_and(|r| r.verdict == Liveness::Suspect);
                    let judged = suspect
                        .then(|| self.table.judge(now, &name, Liveness::Dead))
                        .flatten();
                    if let Some(change) = judged {
                        self.changed(now, &change, out);
                        // It hears of it, if it hears.
                        self.send(
                            &name,
                            now,
                            Extra {
                                warn: true,
                                ..Extra::default()
                            },
                            out,
                        );
                    }
                }
            }
        }
    }

    /// Compares tables with somebody.
    fn sync(&mut self, now: u64, out: &mut Vec<Output>) {
        if now < self.sync_due {
            return;
        }
        self.sync_due = now + SYNC_US;
        let others = self.table.others().count();
        if others == 0 {
            return;
        }
        let drawn = self.rng.next_u32() as usize % others;
        let Some(name) = self.table.others().nth(drawn).map(|r| r.name.clone()) else {
            return;
        };
        let extra = Extra {
            buckets: self.table.buckets(),
            back: true,
            ..Extra::default()
        };
        self.send(&name, now, extra, out);
    }

    /// Tells whoever is due what was used. Whoever has waited longest comes first, so that a budget that is too small is shared
    /// by all.
    fn tell_all(&mut self, now: u64, out: &mut Vec<Output>) {
        let due = |name: &str| self.peers.get(name).map_or(0, |p| p.due);
        let mut all: Vec<(u64, String)> = self
            .table
            .others()
            .map(|r| (due(&r.name), r.name.clone()))
            .filter(|(at, _)| *at <= now)
            .collect();
        all.sort_unstable();
        // Spread over the ticks of an interval, with some to spare: a datagram takes some 20 us, and requests wait meanwhile.
        let others = self.table.len().saturating_sub(1);
        let a_tick = others as u64 * self.plan.tick_us / self.plan.interval_us(others);
        all.truncate((a_tick + a_tick / 4).max(LEAST_A_TICK) as usize);
        for (_, name) in all {
            if !self.bytes.some(now) || !self.messages.some(now) {
                return;
            }
            self.send(&name, now, Extra::default(), out);
        }
    }

    /// Where numbers to one begin that nothing is known of: above all that were sent to it before it was forgotten, as no more
    /// than one a millisecond goes there.
    fn first_number(&self, now: u64) -> u64 {
        now.saturating_sub(self.started.unwrap_or(now)) / 1_000
    }

    /// What is known of another; nothing yet, if it is new.
    fn peer(&mut self, now: u64, name: &str) -> &mut Peer {
        let usual = 1e6 / self.plan.interval_us(self.table.len()) as f64;
        let first = self.first_number(now);
        self.peers
            .entry(name.into())
            .or_insert_with(|| Peer::new(usual, first))
    }

    fn head(&self, life: u64, number: u64) -> DatagramHeader {
        let me = self.me();
        let (from, incarnation, wanted) = (me.name.clone(), me.incarnation, self.unheard.clone());
        DatagramHeader {
            from,
            life: self.life,
            incarnation,
            to: life,
            number,
            wanted,
            ..DatagramHeader::default()
        }
    }

    /// Numbers of those that are not heard themselves: others tell of them.
    fn listen(&mut self) {
        let awake = self.awake;
        let unheard = |name: &str| {
            let at = heard_at(&self.peers, name);
            at == 0 || awake.saturating_sub(at) >= UNHEARD_US
        };
        let missing = self.table.others().filter(|r| unheard(&r.name));
        self.unheard = missing.map(|r| r.number).take(MOST_WANTED).collect();
    }

    fn send(&mut self, name: &str, now: u64, extra: Extra, out: &mut Vec<Output>) {
        let Some(address) = self.table.get(name).map(|r| r.address) else {
            return;
        };
        self.send_to(name, address, now, extra, out);
    }

    fn send_to(
        &mut self,
        name: &str,
        address: SocketAddr,
        now: u64,
        extra: Extra,
        out: &mut Vec<Output>,
    ) {
        let interval = self.plan.interval_us(self.table.len().saturating_sub(1));
        let known = self
            .table
            .get(name)
            .map(|r| (r.instance_id, r.there(), r.number));
        let peer = self.peer(now, name);
        peer.due = now + interval;
        peer.session.number += 1;
        // A life that it says to have, or that others say.
        let life = if peer.session.says != 0 {
            peer.session.says
        } else {
            known.map_or(0, |(life, ..)| life)
        };
        let life = extra.replaced.unwrap_or(life);
        let proven = peer.session.life != 0 && peer.session.life == life;
        let (number, have) = (peer.session.number, peer.told.have);
        let (facts_have, facts_acked) = (peer.facts.version, peer.facts_acked);
        let acks = [std::mem::take(&mut peer.acks), extra.acks].concat();
        // Whoever compares tables may have forgotten this one meanwhile.
        let own = extra.own || extra.back || peer.greetings < 3;
        peer.greetings = peer.greetings.saturating_add(u8::from(proven));
        let mut head = self.head(life, number);
        (head.ping, head.asks, head.buckets, head.back) =
            (extra.ping, extra.asks, extra.buckets, extra.back);
        head.acks = acks;
        head.acks.truncate(MOST_PROBES);
        (head.have, head.facts_have) = (have, facts_have);
        let mut writer = DatagramWriter::new(&head);
        let mut always = Vec::new();
        if own {
            always.push(self.plan.name.as_str());
        }
        // Whoever is suspected or replaced hears of it.
        if extra.warn || known.is_some_and(|(is, there, _)| !there || is != life) {
            always.push(name);
        }
        for row in always.into_iter().filter_map(|name| self.table.row(name)) {
            writer.member(told(row, now), 0);
        }
        // Whoever has not proven who it is hears nothing more.
        // A letter goes in any case, but where the budget is spent it goes alone.
        let alone = !extra.post.is_empty() && !self.bytes.some(now);
        if proven && !extra.post.is_empty() {
            writer.post(extra.post);
        }
        if proven && !alone {
            match extra.members {
                Some(rest) => while rest.next_if(|t| writer.member((*t).clone(), 0)).is_some() {},
                None => self
                    .table
                    .passing(|row| writer.member(told(row, now), FOR_USE)),
            }
            let number_there = known.map_or(u16::MAX, |(.., number)| number);
            if let Some(peer) = self.peers.get_mut(name) {
                head.base = peer.told.acked;
                (head.upto, head.complete) =
                    self.telling
                        .fill(&mut peer.told, (number_there, life), &mut writer);
            }
            if facts_acked < self.facts.version {
                writer.facts(self.facts.version, self.facts.told(now));
            }
        }
        self.put(now, address, writer, head, out);
    }

    fn put(
        &mut self,
        now: u64,
        to: SocketAddr,
        writer: DatagramWriter,
        head: DatagramHeader,
        out: &mut Vec<Output>,
    ) {
        let bytes = self.keys.seal(&writer.finish(head));
        debug_assert!((AROUND..=MOST_BYTES).contains(&bytes.len()));
        self.bytes.spend(now, bytes.len() as f64);
        self.messages.spend(now, 1.0);
        out.push(Output::Send { to, bytes });
    }
}

impl Peer {
    /// `first`: the number below the first that is sent there.
    fn new(usual: f64, first: u64) -> Peer {
        Peer {
            session: Session::from(first),
            seen_at: 0,
            told: usage_gossip::Told::default(),
            facts: Gauges::default(),
            facts_acked: 0,
            due: 0,
            // Beside its ticks it probes and answers.
            comes: Allowance::new(usual * MOST_TIMES + 100.0),
            acks: Vec::new(),
            greetings: 0,
        }
    }
}

/// What goes along beside what always does.
#[derive(Default)]
struct Extra<'a> {
    ping: u32,
    acks: Vec<u32>,
    asks: Vec<(String, u32)>,
    buckets: Vec<u32>,
    back: bool,
    own: bool,
    warn: bool,
    /// To this earlier life of it.
    replaced: Option<u64>,
    post: Vec<u8>,
    /// In place of what is passed on.
    members: Option<&'a mut std::iter::Peekable<std::vec::IntoIter<wire::MemberUpdate>>>,
}

/// When a member was last heard itself; 0: never.
fn heard_at(peers: &BTreeMap<String, Peer>, name: &str) -> u64 {
    peers.get(name).map_or(0, |p| p.session.heard_at)
}

fn told(row: &crate::table::Row, now: u64) -> wire::MemberUpdate {
    let gone = !row.record.there();
    let age_s = if gone {
        now.saturating_sub(row.since) / 1_000_000
    } else {
        0
    };
    let age_s = u32::try_from(age_s).unwrap_or(u32::MAX);
    wire::MemberUpdate {
        record: row.record.clone(),
        age_s,
        by: row.accusers.clone(),
    }
}
