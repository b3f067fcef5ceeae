//! The servers as this gateway knows them: what the list says of each, its recent outcomes, and sums over all. State only;
//! which server a request goes to is decided in `policy`.

use crate::decaying_sum::{DecayingSum, DEMAND_TAU_US};
use crate::interface::{
    CompletionStatus, Health, HealthReports, ListKind, Micros, ServerEntry, ServerId, SlowStart,
};
use crate::server::{Server, SlowStartCredit, WeightedOutcome};
use crate::subset::Subset;
use crate::zones::ZoneFailures;
use frosthatch_load_balancing::outlier_signals::{
    HealthReport, OutlierSignals, HEALTHY_FAILURE_RATIO, MAX_REPORTS, REPORT_TTL_US,
    UNHEALTHY_FAILURE_RATIO,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Weight of one reply in a server's averages: about the last five.
const REPLY_WEIGHT: f64 = 0.2;
/// Weight of a failed connection: nobody is there.
const NO_CONNECTION_WEIGHT: f64 = 0.8;
/// What is thought of a server without attempts halves in this at the earliest...
const MIN_ASSESSMENT_HALF_LIFE_US: f64 = 4_000_000.0;
/// ...and after as long as this many sends to each server take from here.
const ASSESSMENT_HALF_LIFE_SENDS: f64 = 2.0;
/// That a server is healthy is reported for so long after it was seen.
const HEALTHY_REPORT_US: Micros = 2_000_000;
/// Sums over many servers are cached this long: short beside a control interval.
const TOTALS_REFRESH_INTERVAL_US: Micros = 50_000;
/// A server of which a larger share of attempts failed mostly fails.
const MOSTLY_FAILS_ERROR_RATE: f64 = 0.5;
/// The least rate of sends that estimates go by.
const MIN_SENDS_PER_S: f64 = 0.1;

/// Sums over the servers, as of a time.
#[derive(Clone, Copy, Default)]
pub(crate) struct Totals {
    as_of: Micros,
    pub in_flight: f64,
    pub ready_servers: f64,
    /// Size of the ready servers, as far as they are warm.
    pub ready_size: f64,
}

/// A server as one of its attempts ended.
pub(crate) struct ServerAtEnd {
    pub warmth: f64,
    pub is_ready: bool,
}

/// All servers.
pub(crate) struct ServerFleet {
    pub servers: BTreeMap<ServerId, Server>,
    /// The ready servers, where they are too many to compare all; or those of them that this gateway uses. Else empty.
    pub candidates: Arc<[ServerId]>,
    /// This gateway's share of the ready servers; 1: it uses all.
    pub subset_share: f64,
    pub subset: Subset,
    /// What all gateways report of servers.
    pub outlier_signals: OutlierSignals,
    pub zones: ZoneFailures,
    totals: Totals,
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

    /// Sums over the servers; where these are many, the ones of the last refresh.
    pub fn totals(&self, slow_start: &SlowStart, now: Micros) -> Totals {
        if self.candidates.is_empty() {
            self.compute_totals(slow_start, now)
        } else {
            self.totals
        }
    }

    pub fn compute_totals(&self, slow_start: &SlowStart, now: Micros) -> Totals {
        Totals {
            as_of: now,
            in_flight: self.servers.values().map(|s| f64::from(s.in_flight)).sum(),
            ready_servers: self.ready_servers().count() as f64,
            ready_size: self
                .ready_servers()
                .map(|s| s.share * s.warmth(slow_start, now))
                .sum(),
        }
    }

    /// Computes the sums over many servers again where they have become old.
    pub fn refresh_totals(&mut self, slow_start: &SlowStart, now: Micros) {
        let is_stale = now >= self.totals.as_of + TOTALS_REFRESH_INTERVAL_US;
        if is_stale && !self.candidates.is_empty() {
            self.totals = self.compute_totals(slow_start, now);
        }
    }

    /// Takes in the server list. `random_credit`: the part of a send that a new server is taken to have saved up.
    pub fn apply_list(
        &mut self,
        kind: ListKind,
        entries: Vec<ServerEntry>,
        now: Micros,
        mut random_credit: impl FnMut() -> f64,
    ) {
        if matches!(kind, ListKind::Complete | ListKind::Persisted) {
            for server in self.servers.values_mut() {
                server.health = Health::Removed;
            }
        }
        for entry in entries {
            self.apply_entry(entry, now, &mut random_credit);
        }
        self.servers
            .retain(|_, s| s.health != Health::Removed || s.in_flight > 0);
        self.zones
            .retain_listed(|zone| self.servers.values().any(|s| s.group.0 == zone));
    }

    fn apply_entry(
        &mut self,
        entry: ServerEntry,
        now: Micros,
        random_credit: &mut impl FnMut() -> f64,
    ) {
        let hash_key = frosthatch_load_balancing::key(&entry.server.0);
        let server = self.servers.entry(entry.server).or_default();
        let is_new = server.slowness_ratio == 0.0;
        let is_restarted = server.started_us != entry.started_us;
        if is_new || is_restarted {
            // What was known of the previous process does not hold any more.
            *server = Server {
                slowness_ratio: 1.0,
                assessed_at: now,
                slow_start_credit: SlowStartCredit {
                    sends: random_credit(),
                    as_of: now,
                },
                in_flight: server.in_flight,
                ..Server::default()
            };
        }
        server.hash_key = hash_key;
        server.group = (entry.zone, entry.cell);
        server.started_us = entry.started_us;
        server.health = entry.health;
        server.pool = entry.pool;
        server.share = if entry.weight.is_finite() && entry.weight > 0.0 {
            entry.weight
        } else {
            1.0
        };
    }

    /// Assigns the servers that this gateway uses, as servers or gateways have changed. `subset_size`: how many each of
    /// so many gateways uses of so many servers, if not all. At most `max_compared` servers are compared for a request.
    pub fn assign_subset(
        &mut self,
        slow_start: &SlowStart,
        now: Micros,
        subset_size: impl Fn(usize, usize) -> Option<usize>,
        max_compared: usize,
    ) {
        let ready: Vec<(&ServerId, &Server)> = self
            .servers
            .iter()
            .filter(|(_, s)| s.health == Health::Ready)
            .collect();
        let size = subset_size(self.subset.gateway_count(), ready.len());
        let subset = self.subset.select(&ready, size);
        self.subset_share = subset
            .as_ref()
            .map_or(1.0, |s| s.len() as f64 / ready.len() as f64);
        self.candidates = match subset {
            Some(subset) => subset.into(),
            None if ready.len() <= max_compared => Arc::default(),
            None => ready.into_iter().map(|(name, _)| name.clone()).collect(),
        };
        self.totals = self.compute_totals(slow_start, now);
    }

    /// Records an attempt that goes out, by one of the sends that were saved up. Returns the server's zone and cell.
    pub fn record_send(
        &mut self,
        server: &ServerId,
        available_sends: f64,
        now: Micros,
    ) -> Option<(String, u64)> {
        self.recent_sends.add(now, DEMAND_TAU_US, 1.0);
        let server = self.servers.get_mut(server)?;
        server.in_flight += 1;
        server.slow_start_credit = SlowStartCredit {
            sends: available_sends - 1.0,
            as_of: now,
        };
        Some(server.group.clone())
    }

    /// Records that an attempt ended; `None` where its server is gone.
    pub fn record_end(
        &mut self,
        server: &ServerId,
        slow_start: &SlowStart,
        now: Micros,
    ) -> Option<ServerAtEnd> {
        let server = self.servers.get_mut(server)?;
        server.in_flight = server.in_flight.saturating_sub(1);
        Some(ServerAtEnd {
            warmth: server.warmth(slow_start, now),
            is_ready: server.health == Health::Ready,
        })
    }

    pub fn sends_per_s(&self, now: Micros) -> f64 {
        self.recent_sends
            .per_s(now, DEMAND_TAU_US)
            .max(MIN_SENDS_PER_S)
    }

    /// One of many gateways meets a server rarely: what it learned must last until it meets the server again.
    pub fn assessment_half_life_us(&self, now: Micros) -> f64 {
        let used = self.servers.len() as f64 * self.subset_share;
        MIN_ASSESSMENT_HALF_LIFE_US
            .max(ASSESSMENT_HALF_LIFE_SENDS * used / self.sends_per_s(now) * 1e6)
    }

    /// Records the outcome of an attempt that took `latency_ratio` times the usual time, as a warm server counts it.
    /// `counts_for_zone`: it counts for the server's zone as well.
    pub fn record_outcome(
        &mut self,
        server: &ServerId,
        status: CompletionStatus,
        latency_ratio: f64,
        now: Micros,
        counts_for_zone: bool,
    ) {
        let half_life_us = self.assessment_half_life_us(now);
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        let outcome = weigh_outcome(server, status, latency_ratio);
        let counts = outcome.weight > 0.0;
        // An ejected server that was tried in its turn and served has recovered.
        if counts && outcome.failed == 0.0 && self.outlier_signals.is_ejected(server.hash_key) {
            server.error_rate = 0.0;
        }
        let zone_error_rate = self.zones.at(now).error_rate(&server.group.0);
        server.record_outcome(now, half_life_us, outcome, zone_error_rate);
        if counts && counts_for_zone {
            self.zones
                .record_outcome(&server.group.0, now, outcome.failed);
        }
    }

    /// What this gateway reports of servers: those that fail, and healthy ones that another gateway reports as failing.
    pub fn health_reports(&self, now: Micros) -> HealthReports {
        let is_fresh =
            |s: &&Server| s.assessed_at > s.started_us && s.assessed_at + REPORT_TTL_US > now;
        let report = |s: &Server| (s.hash_key, s.reported_error_rate(), s.assessed_at);
        let is_reported = |&(hash_key, error_rate, assessed_at): &(u64, f64, Micros)| {
            let refutes = error_rate < HEALTHY_FAILURE_RATIO
                && assessed_at + HEALTHY_REPORT_US > now
                && self.outlier_signals.is_reported_unhealthy(hash_key, now);
            error_rate > UNHEALTHY_FAILURE_RATIO || refutes
        };
        let used = self.ready_servers().count() as f64 * self.subset_share;
        let mut reports: Vec<(u64, f64, Micros)> = self
            .ready_servers()
            .filter(is_fresh)
            .map(report)
            .filter(is_reported)
            .collect();
        // Of too many the latest.
        reports.sort_by_key(|(_, _, assessed_at)| std::cmp::Reverse(*assessed_at));
        reports.truncate(MAX_REPORTS);
        HealthReports {
            uses: used.round() as usize,
            of: reports,
        }
    }

    /// Takes in which gateways there are.
    pub fn set_gateways(&mut self, gateways: &[u32]) {
        self.subset.set_gateways(gateways);
        self.outlier_signals
            .retain_gateways(|from| gateways.iter().any(|g| u64::from(*g) == from));
    }

    /// Takes in all that another gateway reports of servers.
    pub fn record_health_reports(&mut self, from: u32, reports: HealthReports, now: Micros) {
        self.signal_health(u64::from(from), reports);
        self.update_outliers(now);
    }

    fn signal_health(&mut self, from: u64, reports: HealthReports) {
        let report = |(server, errors, at)| {
            (
                server,
                HealthReport {
                    failure_ratio: errors,
                    observed_at_us: at,
                },
            )
        };
        self.outlier_signals.replace_reports(
            from,
            reports.uses,
            reports.of.into_iter().map(report),
        );
    }

    /// Updates which servers are ejected, as reports have come or time has passed.
    pub fn update_outliers(&mut self, now: Micros) {
        let own_reports = self.health_reports(now);
        let nothing_to_signal = own_reports.of.is_empty() && self.outlier_signals.is_empty();
        if !nothing_to_signal {
            self.signal_health(self.subset.own_key(), own_reports);
        }
        let subset = &self.subset;
        let servers = &self.servers;
        let start_and_users = |hash_key: u64| {
            let server = servers.values().find(|s| s.hash_key == hash_key)?;
            Some((server.started_us, subset.gateways_using(hash_key).len()))
        };
        self.outlier_signals.update_ejections(now, start_and_users);
    }

    /// Whether more attempts failed there than not, by this gateway or by all.
    pub fn mostly_fails(&self, server: &Server, now: Micros) -> bool {
        if self.outlier_signals.is_ejected(server.hash_key) {
            return true;
        }
        let zone_error_rate = self.zones.at(now).error_rate(&server.group.0);
        let half_life_us = self.assessment_half_life_us(now);
        let assessment = server.decayed_assessment(now, half_life_us, zone_error_rate);
        assessment.error_rate > MOSTLY_FAILS_ERROR_RATE
    }

    /// Ready servers that mostly fail.
    pub fn avoided_servers(&self, now: Micros) -> usize {
        self.ready_servers()
            .filter(|s| self.mostly_fails(s, now))
            .count()
    }
}

/// What an outcome says of its server. An attempt without an answer counts as slow and failed in one, so that servers that
/// have gone silent, or a class on them, are noticed.
fn weigh_outcome(server: &Server, status: CompletionStatus, latency_ratio: f64) -> WeightedOutcome {
    let failed = WeightedOutcome {
        weight: REPLY_WEIGHT,
        slowness_ratio: server.slowness_ratio,
        failed: 1.0,
    };
    match status {
        CompletionStatus::Served => WeightedOutcome {
            weight: REPLY_WEIGHT,
            slowness_ratio: latency_ratio,
            failed: 0.0,
        },
        CompletionStatus::NoAnswer | CompletionStatus::Cancelled if latency_ratio > 1.0 => {
            WeightedOutcome {
                slowness_ratio: latency_ratio,
                ..failed
            }
        }
        CompletionStatus::NoConnection => WeightedOutcome {
            weight: NO_CONNECTION_WEIGHT,
            ..failed
        },
        CompletionStatus::NoAnswer | CompletionStatus::Cancelled | CompletionStatus::NotSent => {
            WeightedOutcome {
                weight: 0.0,
                slowness_ratio: server.slowness_ratio,
                failed: server.error_rate,
            }
        }
        CompletionStatus::ServerError
        | CompletionStatus::Rejected
        | CompletionStatus::ConnectionLost => failed,
    }
}
