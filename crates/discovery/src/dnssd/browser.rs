//! What is asked of the resolvers and when, what an answer changes, and what of it is believed. No I/O and no clock: the
//! driver hands in what came and the time, and carries out what comes back.
//!
//! One resolver leads and is asked; the next in the operator's order leads once it has failed twice. The service is asked
//! in rounds, one PTR query for each of its names and one for the zone's serial. What additional records leave open is
//! asked one by one. The last list holds for as long as nothing better is known (RFC 8767).

use super::meaning::{address, first_choice, Location, Text};
use super::push::{Heard, Session};
use super::wire::{self, Change, Code, Data, Kind, Name, Record, Reply, Unread};
use super::{DnsSdConfig, MOST_OUT};
use frosthatch_engine::{Endpoint, EndpointState};
use frosthatch_traffic_control::ListKind;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Rounds that fail one after another before the next resolver leads.
const FAILS: u32 = 2;
/// CNAMEs that are followed for one question at most.
const MOST_HOPS: u8 = 8;
/// What one instance lacks is awaited so long before the first list is told, or the instance without its TXT.
const COMPLETE_US: u64 = 1_000_000;
/// Push that has not told a change this long after a round has found it is not believed.
const UNTOLD_US: u64 = 1_000_000;
/// A serial that is not told is asked for so seldom.
const SERIAL_US: u64 = 30_000_000;
/// Details that push tells are asked for so seldom: while a session lives they are as told (RFC 8765 section 6.3).
const COVERED_US: u64 = 300_000_000;
/// Log lines at once, and one more after each such time.
const LINES: u64 = 8;
const LINE_US: u64 = 2_000_000;

pub enum Input<'a> {
    /// Came on the socket of this query.
    Datagram {
        query: u64,
        from: SocketAddr,
        bytes: &'a [u8],
    },
    /// The one message that came on the connection of this query.
    Stream {
        query: u64,
        bytes: &'a [u8],
    },
    /// The query's socket or connection failed.
    Broken {
        query: u64,
    },
    PushOpened,
    PushMessage(&'a [u8]),
    PushClosed,
}

#[derive(Debug)]
pub enum Output {
    /// Send this from a socket of its own, from a port drawn by chance.
    Ask {
        query: u64,
        to: SocketAddr,
        tcp: bool,
        bytes: Vec<u8>,
    },
    /// Nothing more is expected for the query.
    Forget {
        query: u64,
    },
    Tell {
        kind: ListKind,
        members: Vec<Endpoint>,
    },
    /// Open a session to this push server, in place of any other.
    Connect(SocketAddr),
    Write(Vec<u8>),
    HangUp,
    Log(String),
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Purpose {
    Browse,
    Serial,
    Detail,
}

struct Query {
    id: u16,
    name: Name,
    kind: Kind,
    to: SocketAddr,
    tcp: bool,
    by: u64,
    purpose: Purpose,
    hops: u8,
    /// Whom the answer is for, where CNAMEs have led elsewhere.
    owner: Name,
}

struct Round {
    asked_at: u64,
    /// Queries that are out.
    left: u32,
    failed: bool,
    authoritative: bool,
    names: BTreeSet<Name>,
    extra: Vec<Record>,
    ttl: u32,
    serial: Option<u32>,
}

/// Something that was heard, when, and when it was last asked for.
struct Part<T> {
    value: Option<T>,
    at: u64,
}

impl<T> Default for Part<T> {
    fn default() -> Self {
        Part { value: None, at: 0 }
    }
}

#[derive(Default)]
struct Instance {
    first_seen: u64,
    /// It stood in the first list.
    initial: bool,
    location: Part<Location>,
    text: Part<Text>,
    /// Its TXT record makes no sense, as has been told.
    complained: bool,
    /// Its record has gone; what it has out may finish till then.
    leaving: Option<u64>,
    /// When push last told that it is there or not.
    pushed_at: u64,
}

#[derive(Default)]
struct Host {
    v4: Vec<IpAddr>,
    v6: Vec<IpAddr>,
    at: u64,
    users: BTreeSet<Name>,
}

pub struct Browser {
    plan: DnsSdConfig,
    zone: Name,
    rng: Pcg64Mcg,
    /// What was known before the records were read, by server.
    known: BTreeMap<String, Endpoint>,
    queries: BTreeMap<u64, Query>,
    next_query: u64,
    leader: usize,
    fails: u32,
    round: Option<Round>,
    poll_at: u64,
    /// The zone's serial is not asked for before that: where it is not told, seldom.
    serial_at: u64,
    serial: Option<u32>,
    serial_back: Option<u64>,
    instances: BTreeMap<Name, Instance>,
    hosts: BTreeMap<Name, Host>,
    details: VecDeque<(Name, Kind)>,
    queued: BTreeSet<(Name, Kind)>,
    tokens: (f64, u64),
    /// When the first list was heard; whether it has been told.
    first_at: Option<u64>,
    listed: bool,
    /// Since when the service has been empty at the start.
    empty_since: Option<u64>,
    told: BTreeMap<Name, Endpoint>,
    dirty: BTreeSet<Name>,
    /// Not yet known well enough to be told.
    open: BTreeSet<Name>,
    /// When an instance is told without what it still lacks.
    late: BTreeSet<(u64, Name)>,
    /// How many instances are ready by priority, and of them with a weight; and as what each is counted.
    tiers: BTreeMap<u16, usize>,
    weights: usize,
    counted: BTreeMap<Name, (u16, bool)>,
    /// As the last telling went by.
    tier: Option<u16>,
    weighted: bool,
    leaving: BTreeSet<(u64, Name)>,
    missing: BTreeMap<Name, u64>,
    loss_since: Option<u64>,
    /// The last list came from elsewhere: what is missing now may not have gone.
    doubt: bool,
    push: Option<Session>,
    push_server: usize,
    connecting: bool,
    in_force_since: u64,
    untold: BTreeMap<Name, u64>,
    dropped: u64,
    once: BTreeSet<&'static str>,
    lines: (u64, u64),
    /// Lines for the log that have not been told.
    notes: Vec<String>,
}

impl Browser {
    /// `known` are the servers from before; `seed` is the only source of chance.
    pub fn new(plan: DnsSdConfig, known: Vec<Endpoint>, seed: u64, now: u64) -> Self {
        let push = plan
            .push
            .as_ref()
            .map(|p| Session::new(&plan.services, p.keepalive));
        // What stands behind the two labels of the service: `_topup._tcp.`
        let domain = wire::split(&plan.base).and_then(|(_, rest)| wire::split(rest));
        Browser {
            zone: domain.map_or_else(|| "".into(), |(_, domain)| domain.into()),
            rng: Pcg64Mcg::seed_from_u64(seed),
            known: known.into_iter().map(|m| (m.uid.clone(), m)).collect(),
            queries: BTreeMap::new(),
            next_query: 0,
            leader: 0,
            fails: 0,
            round: None,
            poll_at: now,
            serial_at: now,
            serial: None,
            serial_back: None,
            instances: BTreeMap::new(),
            hosts: BTreeMap::new(),
            details: VecDeque::new(),
            queued: BTreeSet::new(),
            tokens: (1.0, now),
            first_at: None,
            listed: false,
            empty_since: None,
            told: BTreeMap::new(),
            dirty: BTreeSet::new(),
            open: BTreeSet::new(),
            late: BTreeSet::new(),
            tiers: BTreeMap::new(),
            weights: 0,
            counted: BTreeMap::new(),
            tier: None,
            weighted: false,
            leaving: BTreeSet::new(),
            missing: BTreeMap::new(),
            loss_since: None,
            doubt: false,
            push,
            push_server: 0,
            connecting: false,
            in_force_since: 0,
            untold: BTreeMap::new(),
            dropped: 0,
            once: BTreeSet::new(),
            lines: (LINES, now),
            notes: Vec::new(),
            plan,
        }
    }

    /// Takes what came, if anything, and does what is due.
    pub fn handle(&mut self, now: u64, input: Option<Input>, out: &mut Vec<Output>) {
        match input {
            None => {}
            Some(Input::Datagram { query, from, bytes }) => {
                self.datagram(now, query, from, bytes, out)
            }
            Some(Input::Stream { query, bytes }) => self.stream(now, query, bytes, out),
            Some(Input::Broken { query }) => self.failed(now, query, out),
            Some(Input::PushOpened) => {
                self.push_do(now, out, |push, heard| push.opened(now, heard))
            }
            Some(Input::PushMessage(bytes)) => {
                self.push_do(now, out, |push, heard| push.message(now, bytes, heard));
            }
            Some(Input::PushClosed) => self.push_closed(now, out),
        }
        self.due(now, out);
        self.tell(now, out);
        for line in std::mem::take(&mut self.notes) {
            self.log(now, line, out);
        }
    }

    /// When it wants to be called at the latest.
    pub fn next(&self, now: u64) -> u64 {
        let queries = self.queries.values().map(|q| q.by);
        let poll = self.round.is_none().then_some(self.poll_at);
        let detail = (!self.details.is_empty() && self.queries.len() < MOST_OUT).then(|| {
            let wait_s = (1.0 - self.tokens.0).max(0.0) / f64::from(self.plan.queries_per_s);
            self.tokens.1 + (wait_s * 1e6).ceil() as u64
        });
        let leaving = self.leaving.first().map(|(at, _)| *at);
        let first = self
            .first_at
            .filter(|_| !self.listed)
            .map(|at| at + COMPLETE_US);
        let untold = self.untold.values().min().map(|at| at + UNTOLD_US);
        let push = self.push.as_ref().and_then(|p| match self.connecting {
            true => p.next(),
            false => Some(p.not_before),
        });
        let late = self.late.first().map(|(at, _)| *at);
        let all = queries
            .chain(poll)
            .chain(detail)
            .chain(leaving)
            .chain(first)
            .chain(late)
            .chain(untold);
        all.chain(push)
            .min()
            .unwrap_or(now + 1_000_000)
            .min(now + 1_000_000)
    }

    // ---- Asking ------------------------------------------------------------------------------------

    fn due(&mut self, now: u64, out: &mut Vec<Output>) {
        let over: Vec<u64> = self
            .queries
            .iter()
            .filter(|(_, q)| q.by <= now)
            .map(|(n, _)| *n)
            .collect();
        over.into_iter()
            .for_each(|query| self.failed(now, query, out));
        if self.push.is_some() {
            self.push_due(now, out);
        }
        if self.round.is_none() && self.poll_at <= now {
            self.ask_round(now, out);
        }
        while let Some((at, name)) = self.leaving.first().cloned().filter(|(at, _)| *at <= now) {
            self.leaving.remove(&(at, name.clone()));
            self.forget(&name, out);
        }
        while let Some((at, name)) = self.late.first().cloned().filter(|(at, _)| *at <= now) {
            self.late.remove(&(at, name.clone()));
            self.dirty.insert(name);
        }
        self.ask_details(now, out);
    }

    fn ask(&mut self, now: u64, mut q: Query, out: &mut Vec<Output>) {
        q.id = self.rng.next_u32() as u16;
        q.by = now + self.plan.timeout.as_micros() as u64;
        let Some(bytes) = wire::query(q.id, &q.name, q.kind) else {
            return;
        };
        self.next_query += 1;
        out.push(Output::Ask {
            query: self.next_query,
            to: q.to,
            tcp: q.tcp,
            bytes,
        });
        self.queries.insert(self.next_query, q);
    }

    fn query(&self, name: &Name, kind: Kind, purpose: Purpose) -> Query {
        let (to, owner) = (
            self.plan.resolvers[self.leader % self.plan.resolvers.len()],
            name.clone(),
        );
        Query {
            id: 0,
            name: name.clone(),
            kind,
            to,
            tcp: false,
            by: 0,
            purpose,
            hops: 0,
            owner,
        }
    }

    fn ask_round(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.plan.resolvers.is_empty() {
            self.poll_at = u64::MAX;
            return;
        }
        let services = self.plan.services.clone();
        let serial = self.serial_at <= now;
        self.round = Some(Round {
            asked_at: now,
            left: services.len() as u32 + u32::from(serial),
            failed: false,
            authoritative: true,
            names: BTreeSet::new(),
            extra: Vec::new(),
            ttl: u32::MAX,
            serial: None,
        });
        for name in services {
            self.ask(now, self.query(&name, Kind::Ptr, Purpose::Browse), out);
        }
        if serial {
            self.ask(
                now,
                self.query(&self.zone.clone(), Kind::Soa, Purpose::Serial),
                out,
            );
        }
    }

    /// Asks for what is open, as many at once and as many a second as may be.
    fn ask_details(&mut self, now: u64, out: &mut Vec<Output>) {
        let rate = f64::from(self.plan.queries_per_s);
        let (tokens, at) = self.tokens;
        let saved = tokens + rate * now.saturating_sub(at) as f64 / 1e6;
        self.tokens = (saved.min(rate / 10.0).max(1.0f64.min(saved)), now);
        while self.tokens.0 >= 1.0 && self.queries.len() < MOST_OUT {
            let Some((name, kind)) = self.details.pop_front() else {
                return;
            };
            self.queued.remove(&(name.clone(), kind));
            self.tokens.0 -= 1.0;
            self.ask(now, self.query(&name, kind, Purpose::Detail), out);
        }
    }

    fn queue(&mut self, name: &Name, kind: Kind, first: bool) {
        if self.queued.insert((name.clone(), kind)) {
            match first {
                true => self.details.push_front((name.clone(), kind)),
                false => self.details.push_back((name.clone(), kind)),
            }
        }
    }

    /// Queues what is not known of an instance, or has grown old.
    fn want(&mut self, now: u64, name: &Name) {
        let covered = |n: &Name| self.push.as_ref().is_some_and(|p| p.covers(n));
        let poll_us = self.plan.poll_most.as_micros() as u64;
        let old = |at: u64, n: &Name| now >= at + if covered(n) { COVERED_US } else { poll_us };
        let Some(i) = self.instances.get(name).filter(|i| i.leaving.is_none()) else {
            return;
        };
        let mut wanted = Vec::new();
        for (kind, known, at) in [
            (Kind::Txt, i.text.value.is_some(), i.text.at),
            (Kind::Srv, i.location.value.is_some(), i.location.at),
        ] {
            if at == 0 || old(at, name) {
                wanted.push((name.clone(), kind, !known));
            }
        }
        if let Some(target) = i
            .location
            .value
            .as_ref()
            .map(|l| l.target.clone())
            .filter(|t| !t.is_empty())
        {
            let host = self.hosts.get(&target);
            if host.is_none_or(|h| h.at == 0 || old(h.at, &target)) {
                wanted.push((
                    target,
                    Kind::A,
                    host.is_none_or(|h| h.v4.is_empty() && h.v6.is_empty()),
                ));
            }
        }
        for (name, kind, first) in wanted {
            // Asked is as good as heard for when to ask again: what gives no answer is not asked all the time.
            match kind {
                Kind::Txt => drop(self.instances.get_mut(&name).map(|i| i.text.at = now)),
                Kind::Srv => drop(self.instances.get_mut(&name).map(|i| i.location.at = now)),
                _ => self.hosts.entry(name.clone()).or_default().at = now,
            }
            self.queue(&name, kind, first);
        }
    }

    // ---- Answers -----------------------------------------------------------------------------------

    fn datagram(
        &mut self,
        now: u64,
        query: u64,
        from: SocketAddr,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) {
        let Some(q) = self.queries.get(&query).filter(|q| !q.tcp) else {
            return;
        };
        let read = match from == q.to {
            true => wire::reply(bytes, q.id, &q.name, q.kind),
            false => Err(Unread::Foreign),
        };
        match read {
            Ok(reply) => self.reply(now, query, reply, out),
            // Whoever sent it, the true answer may still come.
            Err(_) => {
                self.dropped += 1;
                if self.dropped.to_string().trim_end_matches('0') == "1" {
                    let line = format!(
                        "dns-sd: {} answers dropped that fit no question or cannot be read",
                        self.dropped
                    );
                    self.log(now, line, out);
                }
            }
        }
    }

    fn stream(&mut self, now: u64, query: u64, bytes: &[u8], out: &mut Vec<Output>) {
        let Some(q) = self.queries.get(&query).filter(|q| q.tcp) else {
            return;
        };
        match wire::reply(bytes, q.id, &q.name, q.kind) {
            Ok(reply) => self.reply(now, query, reply, out),
            Err(_) => self.failed(now, query, out),
        }
    }

    /// The query brought nothing.
    fn failed(&mut self, now: u64, query: u64, out: &mut Vec<Output>) {
        let Some(q) = self.queries.remove(&query) else {
            return;
        };
        out.push(Output::Forget { query });
        match q.purpose {
            Purpose::Detail => {}
            Purpose::Serial => self.round_has(now, out, |_| {}),
            Purpose::Browse => self.round_has(now, out, |round| round.failed = true),
        }
    }

    fn reply(&mut self, now: u64, query: u64, reply: Reply, out: &mut Vec<Output>) {
        let Some(q) = self.queries.get(&query) else {
            return;
        };
        if reply.truncated {
            if q.tcp {
                return self.failed(now, query, out);
            }
            // RFC 7766 section 5: what does not fit is asked for again over TCP.
            let Some(q) = self.queries.remove(&query) else {
                return;
            };
            out.push(Output::Forget { query });
            return self.ask(now, Query { tcp: true, ..q }, out);
        }
        if matches!(reply.code, Code::Other(_)) {
            return self.failed(now, query, out);
        }
        let Some(end) = end_of_chain(&q.name, &reply.answer) else {
            return self.failed(now, query, out);
        };
        let empty = !reply
            .answer
            .iter()
            .any(|r| r.owner == end && !matches!(r.data, Data::Cname(_)));
        let further = end != q.name && empty && reply.code == Code::NoError;
        if further && q.hops >= MOST_HOPS {
            return self.failed(now, query, out);
        }
        let Some(q) = self.queries.remove(&query) else {
            return;
        };
        out.push(Output::Forget { query });
        if further {
            return self.ask(
                now,
                Query {
                    name: end,
                    hops: q.hops + 1,
                    ..q
                },
                out,
            );
        }
        match q.purpose {
            Purpose::Serial => {
                let serial =
                    reply
                        .answer
                        .iter()
                        .chain(&reply.authority)
                        .find_map(|r| match r.data {
                            Data::Soa { serial } => Some(serial),
                            _ => None,
                        });
                self.round_has(now, out, |round| round.serial = serial);
            }
            Purpose::Browse => self.round_has(now, out, |round| {
                round.authoritative &= reply.authoritative;
                for r in reply.answer {
                    match r.data {
                        Data::Ptr(name) if r.owner == end => {
                            round.ttl = round.ttl.min(r.ttl);
                            round.names.insert(name);
                        }
                        _ => {}
                    }
                }
                round.extra.extend(reply.additional);
            }),
            Purpose::Detail => self.detail(now, &q.owner, q.kind, &end, reply),
        }
    }

    fn detail(&mut self, now: u64, owner: &Name, kind: Kind, end: &Name, reply: Reply) {
        // What is there is used under the name that was asked for; that there is nothing takes nothing away.
        let mine = reply.answer.into_iter().filter(|r| r.owner == *end);
        let mut records: Vec<Record> = mine
            .map(|r| Record {
                owner: owner.clone(),
                ..r
            })
            .collect();
        if kind == Kind::A && records.is_empty() {
            if self.hosts.get(owner).is_some_and(|h| h.v4.is_empty()) {
                self.queue(owner, Kind::Aaaa, true);
            }
        } else if kind == Kind::Txt && records.is_empty() && reply.code == Code::NoError {
            // RFC 6763 section 6.1: no TXT record is the same as an empty one.
            records.push(Record {
                owner: owner.clone(),
                ttl: 0,
                data: Data::Txt(Vec::new()),
            });
        }
        records.extend(reply.additional);
        self.learn(now, records);
    }

    /// Takes in what records say of instances and hosts that are known; the others are not of interest.
    fn learn(&mut self, now: u64, records: Vec<Record>) {
        let mut locations: BTreeMap<Name, Vec<Location>> = BTreeMap::new();
        let mut addresses: BTreeMap<Name, (Vec<IpAddr>, Vec<IpAddr>)> = BTreeMap::new();
        for Record { owner, data, .. } in records {
            match data {
                Data::Srv {
                    priority,
                    weight,
                    port,
                    target,
                } => {
                    locations.entry(owner).or_default().push(Location {
                        priority,
                        weight,
                        port,
                        target,
                    });
                }
                Data::Txt(strings) => self.learn_text(now, &owner, &strings),
                Data::A(a) => addresses.entry(owner).or_default().0.push(a.into()),
                Data::Aaaa(a) => addresses.entry(owner).or_default().1.push(a.into()),
                _ => {}
            }
        }
        let mut moved = Vec::new();
        for (name, locations) in locations {
            let Some(i) = self.instances.get_mut(&name) else {
                continue;
            };
            i.location.at = now;
            let location = first_choice(locations);
            if i.location.value != location {
                let target = location.as_ref().map(|l| l.target.clone());
                let before = std::mem::replace(&mut i.location.value, location).map(|l| l.target);
                if before != target {
                    self.unuse(before, &name);
                    if let Some(target) = target.filter(|t| !t.is_empty()) {
                        self.hosts
                            .entry(target)
                            .or_default()
                            .users
                            .insert(name.clone());
                    }
                }
                self.dirty.insert(name.clone());
                moved.push(name);
            }
        }
        for (name, (v4, v6)) in addresses {
            let Some(h) = self.hosts.get_mut(&name) else {
                continue;
            };
            h.at = now;
            let before = address(&h.v4).or(address(&h.v6));
            if !v4.is_empty() {
                h.v4 = v4;
            }
            if !v6.is_empty() {
                h.v6 = v6;
            }
            if before != address(&h.v4).or(address(&h.v6)) {
                self.dirty.extend(h.users.iter().cloned());
            }
        }
        moved.iter().for_each(|name| self.want(now, name));
    }

    fn learn_text(&mut self, now: u64, name: &Name, strings: &[Vec<u8>]) {
        let Some(i) = self.instances.get_mut(name) else {
            return;
        };
        i.text.at = now;
        match Text::read(strings) {
            Ok(text) => {
                i.complained = false;
                if i.text.value.as_ref() != Some(&text) {
                    i.text.value = Some(text);
                    self.dirty.insert(name.clone());
                }
            }
            // The last that made sense holds; without one the instance is left out.
            Err(e) => {
                if !std::mem::replace(&mut i.complained, true) {
                    self.dirty.insert(name.clone());
                    self.notes
                        .push(format!("dns-sd: {name}: {e}; the entry is left as it was"));
                }
            }
        }
    }

    fn unuse(&mut self, target: Option<Name>, user: &Name) {
        let Some(target) = target else { return };
        if let Some(h) = self.hosts.get_mut(&target) {
            h.users.remove(user);
            if h.users.is_empty() {
                self.hosts.remove(&target);
            }
        }
    }

    // ---- Rounds, and what is believed of them ---------------------------------------------------------

    /// One of the round's answers is there.
    fn round_has(&mut self, now: u64, out: &mut Vec<Output>, add: impl FnOnce(&mut Round)) {
        let Some(round) = &mut self.round else { return };
        add(round);
        round.left = round.left.saturating_sub(1);
        if round.left > 0 {
            return;
        }
        let Some(round) = self.round.take() else {
            return;
        };
        let in_force = self.push.as_ref().is_some_and(Session::in_force);
        let check = self
            .plan
            .push
            .as_ref()
            .filter(|_| in_force)
            .map(|p| p.check);
        // The TTL may be anything (0, 2^31): the bounds hold in any case.
        let ttl = Duration::from_secs(u64::from(round.ttl));
        let interval = check.unwrap_or(ttl.clamp(self.plan.poll_least, self.plan.poll_most));
        self.poll_at = now.max(round.asked_at + interval.as_micros() as u64);
        if round.failed {
            return self.round_failed(now, out);
        }
        if round.serial.is_none() {
            self.serial_at = now + SERIAL_US;
        }
        if std::mem::take(&mut self.fails) >= FAILS {
            self.log(now, "dns-sd: resolvers answer again".into(), out);
        }
        self.believe(now, round, out);
    }

    fn round_failed(&mut self, now: u64, out: &mut Vec<Output>) {
        self.fails += 1;
        self.poll_at = self
            .poll_at
            .min(now + self.plan.poll_most.as_micros() as u64);
        if self.fails.is_multiple_of(FAILS) {
            let to = self.plan.resolvers[self.leader % self.plan.resolvers.len()];
            if self.fails == FAILS {
                self.log(
                    now,
                    format!("dns-sd: {to} gives no whole answer; keeping the last list"),
                    out,
                );
            }
            if self.plan.resolvers.len() > 1 {
                self.leader = (self.leader + 1) % self.plan.resolvers.len();
                (self.doubt, self.serial_at) = (self.listed, now);
            }
        }
    }

    fn believe(&mut self, now: u64, round: Round, out: &mut Vec<Output>) {
        if !self.serial_holds(now, round.serial, out) {
            return;
        }
        let first = self.first_at.is_none();
        if first && round.names.is_empty() {
            // A start on nothing, like any empty answer: heard twice, and held where servers are known from before.
            let known = if self.known.is_empty() {
                Duration::ZERO
            } else {
                self.plan.loss_hold
            };
            let wait_us = self.plan.confirm.max(known).as_micros() as u64;
            if now - *self.empty_since.get_or_insert(now) < wait_us {
                return;
            }
        }
        self.empty_since = None;
        self.first_at = self.first_at.or(Some(now));
        for name in &round.names {
            let told_since = |i: &Instance| i.pushed_at >= round.asked_at;
            match self.instances.get(name) {
                Some(i) if i.leaving.is_none() || told_since(i) => {}
                _ => {
                    self.add(now, name, first, out);
                    self.found(now, name);
                }
            }
        }
        self.learn(now, round.extra);
        let names: Vec<Name> = self.instances.keys().cloned().collect();
        let present = |i: &Instance| i.leaving.is_none();
        let missing: Vec<Name> = self
            .instances
            .iter()
            .filter(|(n, i)| {
                present(i) && i.pushed_at < round.asked_at && !round.names.contains(*n)
            })
            .map(|(n, _)| n.clone())
            .collect();
        names.iter().for_each(|n| self.want(now, n));
        self.missing.retain(|n, _| !round.names.contains(n));
        if missing.is_empty() {
            (self.loss_since, self.doubt) = (None, false);
            return;
        }
        if !round.authoritative && !self.plan.cached_answers {
            return self.log_once(
                now,
                "dns-sd: answers are not authoritative; nothing is removed by them",
                out,
            );
        }
        let all = self.instances.values().filter(|i| present(i)).count();
        let big = missing.len() as f64 > self.plan.loss_share * all as f64;
        let since = self.loss_since.filter(|_| big).unwrap_or(now);
        if big && self.loss_since.is_none() {
            let held = self.plan.loss_hold.as_secs_f64();
            let line = format!(
                "dns-sd: {} of {all} instances are missing at once; held for {held} s",
                missing.len()
            );
            self.log(now, line, out);
        }
        self.loss_since = big.then_some(since);
        let held = big && now - since < self.plan.loss_hold.as_micros() as u64;
        let confirm = self.doubt || round.names.is_empty();
        for name in missing {
            let since = *self.missing.entry(name.clone()).or_insert(now);
            let heard = !confirm || now - since >= self.plan.confirm.as_micros() as u64;
            if heard && !held {
                self.remove(now, &name);
                self.found(now, &name);
            }
        }
    }

    /// A zone that is older than what has been read of it is a resolver's that has fallen behind (RFC 1982).
    fn serial_holds(&mut self, now: u64, serial: Option<u32>, out: &mut Vec<Output>) -> bool {
        let (Some(new), Some(old)) = (serial, self.serial) else {
            self.serial = self.serial.or(serial);
            return true;
        };
        if new.wrapping_sub(old) as i32 >= 0 {
            (self.serial, self.serial_back) = (serial, None);
            return true;
        }
        if self.serial_back.is_none() {
            self.log(
                now,
                format!("dns-sd: the zone's serial went back from {old} to {new}; not believed"),
                out,
            );
        }
        let since = *self.serial_back.get_or_insert(now);
        let lasts = now - since >= self.plan.loss_hold.as_micros() as u64;
        if lasts {
            (self.serial, self.serial_back, self.doubt) = (serial, None, true);
        }
        lasts
    }

    fn add(&mut self, now: u64, name: &Name, initial: bool, out: &mut Vec<Output>) {
        if wire::split(name).is_none_or(|(_, base)| base != &*self.plan.base) {
            return self.log_once(
                now,
                "dns-sd: an instance of another service or domain is passed over",
                out,
            );
        }
        let before = self.instances.get(name).and_then(|i| i.leaving);
        if let Some(at) = before {
            self.leaving.remove(&(at, name.clone()));
        } else if self.instances.len() >= self.plan.most_instances as usize {
            return self.log_once(
                now,
                "dns-sd: more instances than most_instances; the rest is passed over",
                out,
            );
        }
        let old = self.instances.remove(name).and_then(|i| i.location.value);
        self.unuse(old.map(|l| l.target), name);
        self.instances.insert(
            name.clone(),
            Instance {
                first_seen: now,
                initial,
                ..Instance::default()
            },
        );
        self.missing.remove(name);
        self.open.insert(name.clone());
        self.late.insert((now + COMPLETE_US, name.clone()));
        self.push_do(now, out, |push, heard| push.watch(now, name, heard));
    }

    /// Nothing new goes there from now on; what it has may finish.
    fn remove(&mut self, now: u64, name: &Name) {
        let gone_at = now + self.plan.linger.as_micros() as u64;
        let Some(i) = self.instances.get_mut(name).filter(|i| i.leaving.is_none()) else {
            return;
        };
        i.leaving = Some(gone_at);
        self.leaving.insert((gone_at, name.clone()));
        self.missing.remove(name);
        self.dirty.insert(name.clone());
    }

    fn forget(&mut self, name: &Name, out: &mut Vec<Output>) {
        if let Some(i) = self.instances.remove(name) {
            self.unuse(i.location.value.map(|l| l.target), name);
        }
        self.recount(0, name);
        self.dirty.remove(name);
        self.open.remove(name);
        if let Some(m) = self.told.remove(name) {
            let members = vec![Endpoint {
                state: EndpointState::Gone,
                ..m
            }];
            out.push(Output::Tell {
                kind: ListKind::Partial,
                members,
            });
        }
    }

    // ---- Push ------------------------------------------------------------------------------------------

    /// A round found a change; push, if it works, should have told it, or is about to.
    fn found(&mut self, now: u64, name: &Name) {
        let in_force = self.push.as_ref().is_some_and(Session::in_force);
        if in_force && now >= self.in_force_since + UNTOLD_US {
            self.untold.entry(name.clone()).or_insert(now);
        }
    }

    fn push_due(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.untold.values().any(|&at| at + UNTOLD_US <= now) {
            self.push_do(now, out, |push, heard| {
                push.over(now, "it did not tell a change", heard)
            });
        }
        self.push_do(now, out, |push, heard| push.tick(now, heard));
        let ready = self.push.as_ref().is_some_and(|p| p.not_before <= now);
        if let (false, true, Some(plan)) = (self.connecting, ready, &self.plan.push) {
            self.connecting = true;
            out.push(Output::Connect(
                plan.servers[self.push_server % plan.servers.len()],
            ));
        }
    }

    /// The connection never came up, or has ended.
    fn push_closed(&mut self, now: u64, out: &mut Vec<Output>) {
        self.push_do(now, out, |push, heard| {
            push.over(now, "the connection ended", heard)
        });
        if std::mem::take(&mut self.connecting) {
            self.push_server += 1;
            if let Some(push) = &mut self.push {
                push.closed(now);
            }
        }
    }

    fn push_do(
        &mut self,
        now: u64,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Session, &mut Vec<Heard>),
    ) {
        let Some(push) = &mut self.push else { return };
        let mut heard = Vec::new();
        act(push, &mut heard);
        let mut heard = VecDeque::from(heard);
        while let Some(one) = heard.pop_front() {
            match one {
                Heard::Write(bytes) => out.push(Output::Write(bytes)),
                Heard::Change(change) => self.pushed(now, change, out),
                Heard::InForce => {
                    self.in_force_since = now;
                    self.log(now, "dns-sd: push in force".into(), out);
                    let names: Vec<Name> = self
                        .instances
                        .keys()
                        .chain(self.hosts.keys())
                        .cloned()
                        .collect();
                    let mut more = Vec::new();
                    if let Some(push) = &mut self.push {
                        names.iter().for_each(|n| push.watch(now, n, &mut more));
                    }
                    heard.extend(more);
                }
                Heard::Over(why) => {
                    self.log(
                        now,
                        format!("dns-sd: push is over: {why}; asking as before"),
                        out,
                    );
                    out.push(Output::HangUp);
                    self.connecting = false;
                    self.push_server += 1;
                    self.untold.clear();
                    self.poll_at = now;
                }
            }
        }
    }

    fn pushed(&mut self, now: u64, change: Change, out: &mut Vec<Output>) {
        match change {
            Change::Added(Record {
                owner,
                data: Data::Ptr(name),
                ..
            }) if self.is_service(&owner) => {
                self.untold.remove(&name);
                if self
                    .instances
                    .get(&name)
                    .is_none_or(|i| i.leaving.is_some())
                {
                    let initial = !self.listed;
                    self.add(now, &name, initial, out);
                    self.want(now, &name);
                }
                if let Some(i) = self.instances.get_mut(&name) {
                    i.pushed_at = now;
                }
            }
            // One by one: it is meant, however many there are.
            Change::Removed(Record {
                owner,
                data: Data::Ptr(name),
                ..
            }) if self.is_service(&owner) => {
                self.untold.remove(&name);
                self.remove(now, &name);
                if let Some(i) = self.instances.get_mut(&name) {
                    i.pushed_at = now;
                }
            }
            // All at once is no better than an empty answer: what the service says is asked for.
            Change::AllRemoved(name, None | Some(Kind::Ptr)) if self.is_service(&name) => {
                self.poll_at = now
            }
            Change::Added(record) => self.learn(now, vec![record]),
            // What has no successor yet holds.
            Change::Removed(_) | Change::AllRemoved(..) => {}
        }
    }

    fn is_service(&self, name: &Name) -> bool {
        self.plan.services.contains(name)
    }

    // ---- Telling -----------------------------------------------------------------------------------------

    fn tell(&mut self, now: u64, out: &mut Vec<Output>) {
        let Some(first_at) = self.first_at else {
            return;
        };
        let mut dirty = std::mem::take(&mut self.dirty);
        for name in &dirty {
            self.recount(now, name);
            let settled = self.instances.get(name).is_none_or(|i| i.complained)
                || self.view(now, name).is_some();
            if settled {
                self.open.remove(name);
            }
        }
        if !self.listed && !self.open.is_empty() && now < first_at + COMPLETE_US {
            return;
        }
        let tier = self.tiers.first_key_value().map(|(priority, _)| *priority);
        let weighted = self.weights > 0;
        if !self.listed || (tier, weighted) != (self.tier, self.weighted) {
            (self.tier, self.weighted) = (tier, weighted);
            dirty = self.instances.keys().cloned().collect();
        }
        let mut members = Vec::new();
        for name in dirty {
            // One that is not whole yet comes again with what it lacks, or without, when that is late.
            let Some(m) = self.view(now, &name) else {
                continue;
            };
            if self.told.get(&name) != Some(&m) {
                members.push(m.clone());
                self.told.insert(name, m);
            }
        }
        let kind = if std::mem::replace(&mut self.listed, true) {
            ListKind::Partial
        } else {
            ListKind::Complete
        };
        if kind == ListKind::Complete || !members.is_empty() {
            out.push(Output::Tell { kind, members });
        }
    }

    /// Counts an instance where it belongs: the lowest priority of which any is ready serves, the others wait (RFC 2782).
    /// Kept up one by one: with thousands of instances a look at all for each answer would stop everything else.
    fn recount(&mut self, now: u64, name: &Name) {
        let ready = |i: &&Instance| {
            i.leaving.is_none() && !i.text.value.as_ref().is_some_and(|t| t.draining)
        };
        let i = self
            .instances
            .get(name)
            .filter(ready)
            .filter(|_| self.endpoint(now, name).is_some());
        let new = i
            .and_then(|i| i.location.value.as_ref())
            .map(|l| (l.priority, l.weight > 0));
        let old = match new {
            Some(new) => self.counted.insert(name.clone(), new),
            None => self.counted.remove(name),
        };
        if let Some((priority, weighted)) = old {
            self.weights -= usize::from(weighted);
            if let Some(count) = self.tiers.get_mut(&priority) {
                *count -= 1;
                if *count == 0 {
                    self.tiers.remove(&priority);
                }
            }
        }
        if let Some((priority, weighted)) = new {
            self.weights += usize::from(weighted);
            *self.tiers.entry(priority).or_default() += 1;
        }
    }

    /// Where the instance is, if all that takes is known.
    fn endpoint(&self, now: u64, name: &Name) -> Option<SocketAddr> {
        let i = self.instances.get(name)?;
        let l = i.location.value.as_ref()?;
        let late = now >= i.first_seen + COMPLETE_US;
        let described = i.text.value.is_some() || late && !i.complained;
        let h = self
            .hosts
            .get(&l.target)
            .filter(|_| described && l.port > 0)?;
        Some(SocketAddr::new(address(&h.v4).or(address(&h.v6))?, l.port))
    }

    /// The instance as the decisions should see it; none while too little of it is known.
    fn view(&self, now: u64, name: &Name) -> Option<Endpoint> {
        let i = self.instances.get(name)?;
        let uid = wire::split(name)?.0;
        let told = self.told.get(name);
        if i.leaving.is_some() {
            return told.map(|m| Endpoint {
                state: EndpointState::Draining,
                ..m.clone()
            });
        }
        let known = self.known.get(uid).filter(|_| i.initial);
        let Some(endpoint) = self.endpoint(now, name) else {
            let unavailable = i
                .location
                .value
                .as_ref()
                .is_some_and(|l| l.target.is_empty());
            return match (told, unavailable) {
                (Some(m), true) => Some(Endpoint {
                    state: EndpointState::Draining,
                    ..m.clone()
                }),
                // Moved to where nobody knows yet, or not described yet: as it was, for a while also from before.
                (Some(m), false) => Some(m.clone()),
                (None, _) => known
                    .filter(|_| self.first_at.is_some_and(|at| now >= at + COMPLETE_US))
                    .cloned(),
            };
        };
        let l = i.location.value.as_ref()?;
        let text = i.text.value.clone().unwrap_or_default();
        let waits = text.draining || self.tier.is_some_and(|t| l.priority > t);
        let boot_ms = match (text.boot_ms, i.initial) {
            (Some(ms), _) => ms.min(now / 1_000),
            // A fleet that was there when this gateway started is not cold.
            (None, true) => known.map_or(0, |m| m.started_ms),
            (None, false) => i.first_seen / 1_000,
        };
        Some(Endpoint {
            uid: uid.into(),
            address: endpoint,
            zone: text.zone,
            cell: text.cell,
            state: if waits {
                EndpointState::Draining
            } else {
                EndpointState::Ready
            },
            weight: match l.weight {
                0 if !self.weighted => 1.0,
                // RFC 2782: beside others a weight of 0 has a very small chance.
                0 => 0.01,
                weight => f64::from(weight) / 100.0,
            },
            started_ms: boot_ms,
            protocol: text.protocol,
        })
    }

    // ---- The log -----------------------------------------------------------------------------------------

    /// Sparse whatever happens: a few lines at once, then one now and then.
    fn log(&mut self, now: u64, line: String, out: &mut Vec<Output>) {
        let (lines, at) = self.lines;
        let earned = now.saturating_sub(at) / LINE_US;
        self.lines = ((lines + earned).min(LINES), at + earned * LINE_US);
        if self.lines.0 > 0 {
            self.lines.0 -= 1;
            out.push(Output::Log(line));
        }
    }

    fn log_once(&mut self, now: u64, line: &'static str, out: &mut Vec<Output>) {
        if self.once.insert(line) {
            self.log(now, line.into(), out);
        }
    }
}

/// Where the CNAMEs of an answer lead from a name; none if they go round.
fn end_of_chain(from: &Name, answer: &[Record]) -> Option<Name> {
    let mut at = from.clone();
    for _ in 0..=MOST_HOPS {
        let next = answer.iter().find_map(|r| match &r.data {
            Data::Cname(to) if r.owner == at => Some(to.clone()),
            _ => None,
        });
        match next {
            Some(next) => at = next,
            None => return Some(at),
        }
    }
    None
}
