//! The servers as this gateway knows them: what the list told of each, what its answers were like, sums over all. Knowledge
//! only; which server a request goes to is decided elsewhere.

use crate::customer::RATE_TAU_US;
use crate::decayed::Decayed;
use crate::interface::HealthReports;
use crate::interface::{
    CompletionStatus, Health, ListKind, Micros, ServerEntry, ServerId, SlowStart,
};
use crate::server::{Server, Zones};
use crate::subset::Subset;
use frosthatch_load_balancing::outlier_signals::{
    HealthReport, OutlierSignals, BAD, ENDS_US, MOST_WORDS, WELL,
};
use std::collections::BTreeMap;
use std::sync::Arc;

const ANSWER_WEIGHT: f64 = 0.2; // weight of one answer in a server's averages: about the last five
const UNREACHABLE_WEIGHT: f64 = 0.8; // weight of a failed connection: nobody is there
const FORGET_US: f64 = 4_000_000.0; // µs; what is thought of a silent server halves in this, or later:
const FORGET_VISITS: f64 = 2.0; // ...only after as long as this many sends to each server take from here
const WELL_US: Micros = 2_000_000; // µs; that a server is well is told for so long after it was seen
const TOTALS_US: Micros = 50_000; // µs; sums over so many servers are kept this long: short beside an interval

/// Sums over the servers, as of a time.
#[derive(Clone, Copy, Default)]
pub(crate) struct Totals {
    at: Micros,
    pub out: f64,
    pub ready: f64,
    pub size: f64, // of the ready ones, as far as they are warm
}

pub(crate) struct Fleet {
    pub servers: BTreeMap<ServerId, Server>,
    /// The ready ones, where there are too many to look at all; or those of them that this gateway uses.
    pub names: Arc<[ServerId]>,
    /// This gateway's part of the ready servers; 1: it uses all.
    pub part: f64,
    pub subset: Subset,
    /// What gateways say of servers in trouble.
    pub common: OutlierSignals,
    totals: Totals,
    pub zones: Zones,
    sends: Decayed,
}

impl Fleet {
    pub fn new(subset: Subset) -> Self {
        Fleet {
            subset,
            common: OutlierSignals::default(),
            servers: BTreeMap::new(),
            names: Arc::default(),
            part: 1.0,
            totals: Totals::default(),
            zones: Zones::default(),
            sends: Decayed::default(),
        }
    }

    pub fn ready(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|s| s.health == Health::Ready)
    }

    /// Sums over the servers; over many of them they are not taken anew for each request.
    pub fn totals(&self, cold: &SlowStart, now: Micros) -> Totals {
        if self.names.is_empty() {
            self.sum_up(cold, now)
        } else {
            self.totals
        }
    }

    pub fn sum_up(&self, cold: &SlowStart, now: Micros) -> Totals {
        Totals {
            at: now,
            out: self.servers.values().map(|s| f64::from(s.out)).sum(),
            ready: self.ready().count() as f64,
            size: self.ready().map(|s| s.share * s.warmth(cold, now)).sum(),
        }
    }

    /// A request comes: sums over many that have become old are taken anew.
    pub fn look(&mut self, cold: &SlowStart, now: Micros) {
        if !self.names.is_empty() && now >= self.totals.at + TOTALS_US {
            self.totals = self.sum_up(cold, now);
        }
    }

    /// News of the list. `chance`: part of a send that a new one is taken to have saved up.
    pub fn list(
        &mut self,
        kind: ListKind,
        entries: Vec<ServerEntry>,
        now: Micros,
        mut chance: impl FnMut() -> f64,
    ) {
        if matches!(kind, ListKind::Complete | ListKind::Persisted) {
            self.servers
                .values_mut()
                .for_each(|s| s.health = Health::Removed);
        }
        for e in entries {
            let key = frosthatch_load_balancing::key(&e.server.0);
            let s = self.servers.entry(e.server).or_default();
            if s.slowness == 0.0 || s.started != e.started_us {
                // New, or a restarted process: what was known of the old one is void.
                let credit = (chance(), now);
                *s = Server {
                    slowness: 1.0,
                    judged_at: now,
                    credit,
                    out: s.out,
                    ..Server::default()
                };
            }
            s.key = key;
            (s.group, s.started, s.health, s.pool) =
                ((e.zone, e.cell), e.started_us, e.health, e.pool);
            s.share = if e.weight.is_finite() && e.weight > 0.0 {
                e.weight
            } else {
                1.0
            };
        }
        self.servers
            .retain(|_, s| s.health != Health::Removed || s.out > 0);
        self.zones
            .keep(|zone| self.servers.values().any(|s| s.group.0 == zone));
    }

    /// Servers or gateways are others than before: which servers are used from here. `size`: how many each of so many gateways uses of
    /// so many servers, if not all; of `most` at most all are looked at, again and again.
    pub fn deal(
        &mut self,
        cold: &SlowStart,
        now: Micros,
        size: impl Fn(usize, usize) -> Option<usize>,
        most: usize,
    ) {
        let ready = self
            .servers
            .iter()
            .filter(|(_, s)| s.health == Health::Ready);
        let ready: Vec<(&ServerId, &Server)> = ready.collect();
        let size = size(self.subset.gateways(), ready.len());
        let subset = self.subset.of(&ready, size);
        self.part = subset
            .as_ref()
            .map_or(1.0, |s| s.len() as f64 / ready.len() as f64);
        self.names = match subset {
            Some(subset) => subset.into(),
            None if ready.len() <= most => Arc::default(),
            None => ready.into_iter().map(|(name, _)| name.clone()).collect(),
        };
        self.totals = self.sum_up(cold, now);
    }

    /// An attempt goes out, by one of the sends that were saved up: to which group of servers.
    pub fn sent(&mut self, server: &ServerId, saved: f64, now: Micros) -> Option<(String, u64)> {
        self.sends.add(now, RATE_TAU_US, 1.0);
        let s = self.servers.get_mut(server)?;
        s.out += 1;
        s.credit = (saved - 1.0, now);
        Some(s.group.clone())
    }

    /// An attempt there ended. How warm the server is, and whether it is ready; none: it is gone.
    pub fn ended(
        &mut self,
        server: &ServerId,
        cold: &SlowStart,
        now: Micros,
    ) -> Option<(f64, bool)> {
        let s = self.servers.get_mut(server)?;
        s.out = s.out.saturating_sub(1);
        Some((s.warmth(cold, now), s.health == Health::Ready))
    }

    pub fn sends_per_s(&self, now: Micros) -> f64 {
        self.sends.per_s(now, RATE_TAU_US).max(0.1)
    }

    /// One of many gateways meets a server rarely: what it learned must last until it meets it again.
    pub fn forget_us(&self, now: Micros) -> f64 {
        let used = self.servers.len() as f64 * self.part;
        FORGET_US.max(FORGET_VISITS * used / self.sends_per_s(now) * 1e6)
    }

    /// An attempt ended after `ratio` times the usual time, as a warm server counts it. `zones`: what is thought of one goes
    /// for its zone, too.
    pub fn judge(
        &mut self,
        server: &ServerId,
        status: CompletionStatus,
        ratio: f64,
        now: Micros,
        zones: bool,
    ) {
        let forget_us = self.forget_us(now);
        let Some(s) = self.servers.get_mut(server) else {
            return;
        };
        // Unanswered is slow and failed in one: guards against servers, or a class on them, gone silent.
        let (slow, failed, weight) = match status {
            CompletionStatus::Served => (ratio, 0.0, ANSWER_WEIGHT),
            CompletionStatus::NoAnswer | CompletionStatus::Cancelled if ratio > 1.0 => {
                (ratio, 1.0, ANSWER_WEIGHT)
            }
            CompletionStatus::NoConnection => (s.slowness, 1.0, UNREACHABLE_WEIGHT),
            CompletionStatus::NoAnswer
            | CompletionStatus::Cancelled
            | CompletionStatus::NotSent => (s.slowness, s.errors, 0.0),
            _ => (s.slowness, 1.0, ANSWER_WEIGHT),
        };
        // Tried in its turn and well: what was thought of it is past.
        if failed == 0.0 && weight > 0.0 && self.common.out(s.key) {
            s.errors = 0.0;
        }
        let zone = self.zones.at(now).errors(&s.group.0);
        s.judge(now, forget_us, weight, slow, failed, zone);
        if weight > 0.0 && zones {
            self.zones.judge(&s.group.0, now, failed);
        }
    }

    /// What this gateway says of servers: those in trouble, and those that somebody says are and that are well as seen from here. How many
    /// it uses; key, part that failed, and when that was found out.
    pub fn words(&self, now: Micros) -> HealthReports {
        let fresh = |s: &&Server| s.judged_at > s.started && s.judged_at + ENDS_US > now;
        let word = |s: &Server| (s.key, s.trouble(), s.judged_at);
        let tells = |w: &(u64, f64, Micros)| {
            w.1 > BAD || w.1 < WELL && w.2 + WELL_US > now && self.common.accused(w.0, now)
        };
        let used = self.ready().count() as f64 * self.part;
        let mut of: Vec<_> = self.ready().filter(fresh).map(word).filter(tells).collect();
        // Of more the latest.
        of.sort_by_key(|w| std::cmp::Reverse(w.2));
        of.truncate(MOST_WORDS);
        HealthReports {
            uses: used.round() as usize,
            of,
        }
    }

    /// Other gateways are there.
    pub fn among(&mut self, gateways: &[u32]) {
        self.subset.among(gateways);
        self.common
            .keep(|from| gateways.iter().any(|g| u64::from(*g) == from));
    }

    /// All that another gateway says.
    pub fn hear(&mut self, from: u32, words: HealthReports, now: Micros) {
        let word = |(server, errors, at)| (server, HealthReport { errors, at });
        self.common
            .hear(u64::from(from), words.uses, words.of.into_iter().map(word));
        self.settle(now);
    }

    /// Words have come, or time has gone by.
    pub fn settle(&mut self, now: Micros) {
        let (me, mine) = (self.subset.me(), self.words(now));
        if !(mine.of.is_empty() && self.common.quiet()) {
            let word = |(server, errors, at)| (server, HealthReport { errors, at });
            self.common
                .hear(me, mine.uses, mine.of.into_iter().map(word));
        }
        let (subset, servers) = (&self.subset, &self.servers);
        let of = |key: u64| {
            let s = servers.values().find(|s| s.key == key)?;
            Some((s.started, subset.users(key).len()))
        };
        self.common.settle(now, of);
    }

    /// More failed there than not.
    pub fn is_bad(&self, s: &Server, now: Micros) -> bool {
        self.common.out(s.key)
            || s.thought(
                now,
                self.forget_us(now),
                self.zones.at(now).errors(&s.group.0),
            )
            .1 > 0.5
    }

    /// Ready servers of which more failed than not.
    pub fn avoided(&self, now: Micros) -> usize {
        self.ready().filter(|s| self.is_bad(s, now)).count()
    }
}
