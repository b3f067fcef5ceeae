//! The servers as this gateway knows them: what the list told of each, what its answers were like, sums over all. Knowledge
//! only; which server a request goes to is decided elsewhere.

use crate::customer::DEMAND_TAU_US;
use crate::decaying_sum::DecayingSum;
use crate::interface::HealthReports;
use crate::interface::{
    CompletionStatus, Health, ListKind, Micros, ServerEntry, ServerId, SlowStart,
};
use crate::server::{Server, ZoneFailures};
use crate::subset::Subset;
use frosthatch_load_balancing::outlier_signals::{
    HealthReport, OutlierSignals, BAD, ENDS_US, MOST_WORDS, WELL,
};
use std::collections::BTreeMap;
use std::sync::Arc;

const REPLY_WEIGHT: f64 = 0.2; // weight of one answer in a server's averages: about the last five
const NO_CONNECTION_WEIGHT: f64 = 0.8; // weight of a failed connection: nobody is there
const MIN_ASSESSMENT_HALF_LIFE_US: f64 = 4_000_000.0; // µs; what is thought of a silent server halves in this, or later:
const ASSESSMENT_HALF_LIFE_SENDS: f64 = 2.0; // ...only after as long as this many sends to each server take from here
const HEALTHY_REPORT_US: Micros = 2_000_000; // µs; that a server is well is told for so long after it was seen
const TOTALS_REFRESH_INTERVAL_US: Micros = 50_000; // µs; sums over so many servers are kept this long: short beside an interval

/// Sums over the servers, as of a time.
#[derive(Clone, Copy, Default)]
pub(crate) struct Totals {
    as_of: Micros,
    pub in_flight: f64,
    pub ready_servers: f64,
    pub ready_size: f64, // of the ready ones, as far as they are warm
}

pub(crate) struct ServerFleet {
    pub servers: BTreeMap<ServerId, Server>,
    /// The ready ones, where there are too many to look at all; or those of them that this gateway uses.
    pub candidates: Arc<[ServerId]>,
    /// This gateway's part of the ready servers; 1: it uses all.
    pub subset_share: f64,
    pub subset: Subset,
    /// What gateways say of servers in trouble.
    pub outlier_signals: OutlierSignals,
    totals: Totals,
    pub zones: ZoneFailures,
    recent_sends: DecayingSum,
}

impl ServerFleet {
    pub fn new(subset: Subset) -> Self {
        ServerFleet {
            subset,
            outlier_signals: OutlierSignals::default(),
            servers: BTreeMap::new(),
            candidates: Arc::default(),
            subset_share: 1.0,
            totals: Totals::default(),
            zones: ZoneFailures::default(),
            recent_sends: DecayingSum::default(),
        }
    }

    pub fn ready_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|s| s.health == Health::Ready)
    }

    /// Sums over the servers; over many of them they are not taken anew for each request.
    pub fn totals(&self, cold: &SlowStart, now: Micros) -> Totals {
        if self.candidates.is_empty() {
            self.compute_totals(cold, now)
        } else {
            self.totals
        }
    }

    pub fn compute_totals(&self, cold: &SlowStart, now: Micros) -> Totals {
        Totals {
            as_of: now,
            in_flight: self.servers.values().map(|s| f64::from(s.in_flight)).sum(),
            ready_servers: self.ready_servers().count() as f64,
            ready_size: self
                .ready_servers()
                .map(|s| s.share * s.warmth(cold, now))
                .sum(),
        }
    }

    /// A request comes: sums over many that have become old are taken anew.
    pub fn refresh_totals(&mut self, cold: &SlowStart, now: Micros) {
        if !self.candidates.is_empty() && now >= self.totals.as_of + TOTALS_REFRESH_INTERVAL_US {
            self.totals = self.compute_totals(cold, now);
        }
    }

    /// News of the list. `chance`: part of a send that a new one is taken to have saved up.
    pub fn apply_list(
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
            if s.slowness_ratio == 0.0 || s.started_us != e.started_us {
                // New, or a restarted process: what was known of the old one is void.
                let credit = (chance(), now);
                *s = Server {
                    slowness_ratio: 1.0,
                    assessed_at: now,
                    slow_start_credit: credit,
                    in_flight: s.in_flight,
                    ..Server::default()
                };
            }
            s.hash_key = key;
            (s.group, s.started_us, s.health, s.pool) =
                ((e.zone, e.cell), e.started_us, e.health, e.pool);
            s.share = if e.weight.is_finite() && e.weight > 0.0 {
                e.weight
            } else {
                1.0
            };
        }
        self.servers
            .retain(|_, s| s.health != Health::Removed || s.in_flight > 0);
        self.zones
            .retain_listed(|zone| self.servers.values().any(|s| s.group.0 == zone));
    }

    /// Servers or gateways are others than before: which servers are used from here. `size`: how many each of so many gateways uses of
    /// so many servers, if not all; of `most` at most all are looked at, again and again.
    pub fn assign_subset(
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
        let size = size(self.subset.gateway_count(), ready.len());
        let subset = self.subset.select(&ready, size);
        self.subset_share = subset
            .as_ref()
            .map_or(1.0, |s| s.len() as f64 / ready.len() as f64);
        self.candidates = match subset {
            Some(subset) => subset.into(),
            None if ready.len() <= most => Arc::default(),
            None => ready.into_iter().map(|(name, _)| name.clone()).collect(),
        };
        self.totals = self.compute_totals(cold, now);
    }

    /// An attempt goes out, by one of the sends that were saved up: to which group of servers.
    pub fn record_send(
        &mut self,
        server: &ServerId,
        saved: f64,
        now: Micros,
    ) -> Option<(String, u64)> {
        self.recent_sends.add(now, DEMAND_TAU_US, 1.0);
        let s = self.servers.get_mut(server)?;
        s.in_flight += 1;
        s.slow_start_credit = (saved - 1.0, now);
        Some(s.group.clone())
    }

    /// An attempt there ended. How warm the server is, and whether it is ready; none: it is gone.
    pub fn record_end(
        &mut self,
        server: &ServerId,
        cold: &SlowStart,
        now: Micros,
    ) -> Option<(f64, bool)> {
        let s = self.servers.get_mut(server)?;
        s.in_flight = s.in_flight.saturating_sub(1);
        Some((s.warmth(cold, now), s.health == Health::Ready))
    }

    pub fn sends_per_s(&self, now: Micros) -> f64 {
        self.recent_sends.per_s(now, DEMAND_TAU_US).max(0.1)
    }

    /// One of many gateways meets a server rarely: what it learned must last until it meets it again.
    pub fn assessment_half_life_us(&self, now: Micros) -> f64 {
        let used = self.servers.len() as f64 * self.subset_share;
        MIN_ASSESSMENT_HALF_LIFE_US
            .max(ASSESSMENT_HALF_LIFE_SENDS * used / self.sends_per_s(now) * 1e6)
    }

    /// An attempt ended after `ratio` times the usual time, as a warm server counts it. `zones`: what is thought of one goes
    /// for its zone, too.
    pub fn record_outcome(
        &mut self,
        server: &ServerId,
        status: CompletionStatus,
        ratio: f64,
        now: Micros,
        zones: bool,
    ) {
        let forget_us = self.assessment_half_life_us(now);
        let Some(s) = self.servers.get_mut(server) else {
            return;
        };
        // Unanswered is slow and failed in one: guards against servers, or a class on them, gone silent.
        let (slow, failed, weight) = match status {
            CompletionStatus::Served => (ratio, 0.0, REPLY_WEIGHT),
            CompletionStatus::NoAnswer | CompletionStatus::Cancelled if ratio > 1.0 => {
                (ratio, 1.0, REPLY_WEIGHT)
            }
            CompletionStatus::NoConnection => (s.slowness_ratio, 1.0, NO_CONNECTION_WEIGHT),
            CompletionStatus::NoAnswer
            | CompletionStatus::Cancelled
            | CompletionStatus::NotSent => (s.slowness_ratio, s.error_rate, 0.0),
            _ => (s.slowness_ratio, 1.0, REPLY_WEIGHT),
        };
        // Tried in its turn and well: what was thought of it is past.
        if failed == 0.0 && weight > 0.0 && self.outlier_signals.out(s.hash_key) {
            s.error_rate = 0.0;
        }
        let zone = self.zones.at(now).error_rate(&s.group.0);
        s.record_outcome(now, forget_us, weight, slow, failed, zone);
        if weight > 0.0 && zones {
            self.zones.judge(&s.group.0, now, failed);
        }
    }

    /// What this gateway says of servers: those in trouble, and those that somebody says are and that are well as seen from here. How many
    /// it uses; key, part that failed, and when that was found out.
    pub fn health_reports(&self, now: Micros) -> HealthReports {
        let fresh = |s: &&Server| s.assessed_at > s.started_us && s.assessed_at + ENDS_US > now;
        let word = |s: &Server| (s.hash_key, s.reported_error_rate(), s.assessed_at);
        let tells = |w: &(u64, f64, Micros)| {
            w.1 > BAD
                || w.1 < WELL
                    && w.2 + HEALTHY_REPORT_US > now
                    && self.outlier_signals.accused(w.0, now)
        };
        let used = self.ready_servers().count() as f64 * self.subset_share;
        let mut of: Vec<_> = self
            .ready_servers()
            .filter(fresh)
            .map(word)
            .filter(tells)
            .collect();
        // Of more the latest.
        of.sort_by_key(|w| std::cmp::Reverse(w.2));
        of.truncate(MOST_WORDS);
        HealthReports {
            uses: used.round() as usize,
            of,
        }
    }

    /// Other gateways are there.
    pub fn set_gateways(&mut self, gateways: &[u32]) {
        self.subset.set_gateways(gateways);
        self.outlier_signals
            .keep(|from| gateways.iter().any(|g| u64::from(*g) == from));
    }

    /// All that another gateway says.
    pub fn record_health_reports(&mut self, from: u32, words: HealthReports, now: Micros) {
        let word = |(server, errors, at)| (server, HealthReport { errors, at });
        self.outlier_signals
            .hear(u64::from(from), words.uses, words.of.into_iter().map(word));
        self.update_outliers(now);
    }

    /// Words have come, or time has gone by.
    pub fn update_outliers(&mut self, now: Micros) {
        let (me, mine) = (self.subset.own_key(), self.health_reports(now));
        if !(mine.of.is_empty() && self.outlier_signals.quiet()) {
            let word = |(server, errors, at)| (server, HealthReport { errors, at });
            self.outlier_signals
                .hear(me, mine.uses, mine.of.into_iter().map(word));
        }
        let (subset, servers) = (&self.subset, &self.servers);
        let of = |key: u64| {
            let s = servers.values().find(|s| s.hash_key == key)?;
            Some((s.started_us, subset.gateways_using(key).len()))
        };
        self.outlier_signals.settle(now, of);
    }

    /// More failed there than not.
    pub fn mostly_fails(&self, s: &Server, now: Micros) -> bool {
        self.outlier_signals.out(s.hash_key)
            || s.decayed_assessment(
                now,
                self.assessment_half_life_us(now),
                self.zones.at(now).error_rate(&s.group.0),
            )
            .1 > 0.5
    }

    /// Ready servers of which more failed than not.
    pub fn avoided_servers(&self, now: Micros) -> usize {
        self.ready_servers()
            .filter(|s| self.mostly_fails(s, now))
            .count()
    }
}
