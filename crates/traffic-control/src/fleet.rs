//! The servers known to this gateway: their entries in the server list, the recent outcomes of their attempts, and sums
//! over all servers. Keeps state only; `policy` decides which server a request goes to.

use crate::decaying_sum::{DecayingSum, DEMAND_TIME_CONSTANT_US};
use crate::interface::{
    CompletionStatus, Health, HealthReports, ListKind, Micros, ServerEntry, ServerId, SlowStart,
};
use crate::server::{Server, SlowStartCredit, WeightedOutcome};
use crate::subset::Subset;
use crate::zones::ZoneErrorTracker;
use frosthatch_load_balancing::outlier_signals::{
    HealthReport, OutlierSignals, HEALTHY_FAILURE_RATIO, MAX_REPORTS, REPORT_TTL_US,
    UNHEALTHY_FAILURE_RATIO,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Weight of one reply in a server's averages, which cover about its last five replies.
const REPLY_WEIGHT: f64 = 0.2;
/// Weight of a failed connection in a server's averages. It exceeds [`REPLY_WEIGHT`] because a failed connection
/// usually means that no process listens at the address.
const NO_CONNECTION_WEIGHT: f64 = 0.8;
/// Shortest half-life of a server's assessment while it gets no attempts.
const MIN_ASSESSMENT_HALF_LIFE_US: f64 = 4_000_000.0;
/// Number of sends to each server after which an assessment has decayed by half: the half-life is the time that they
/// take on average, but at least [`MIN_ASSESSMENT_HALF_LIFE_US`].
const ASSESSMENT_HALF_LIFE_SENDS: f64 = 2.0;
/// Maximum age of a healthy assessment with which this gateway contradicts another gateway's unhealthy report.
const MAX_HEALTHY_REPORT_AGE_US: Micros = 2_000_000;
/// How long sums over many servers are cached: a small part of a control interval.
const TOTALS_REFRESH_INTERVAL_US: Micros = 50_000;
/// Error rate above which a server counts as mostly failing.
const MOSTLY_FAILING_ERROR_RATE: f64 = 0.5;
/// Lower bound on the rate of sends in estimates.
const MIN_SENDS_PER_S: f64 = 0.1;

/// Sums over all servers at one time.
#[derive(Clone, Copy, Default)]
pub(crate) struct FleetTotals {
    computed_at: Micros,
    /// Attempts of this gateway in flight.
    pub in_flight: f64,
    /// Number of ready servers.
    pub ready_servers: f64,
    /// Sum of the relative capacities of the ready servers, each times its [`Server::warm_capacity_share`].
    pub ready_size: f64,
}

/// State of a server at the end of one of its attempts.
pub(crate) struct ServerAtAttemptEnd {
    /// Minimum share of its full capacity that the server has; see [`Server::warm_capacity_share`].
    pub warm_capacity_share: f64,
    pub is_ready: bool,
}

/// The servers of the server list, and removed ones with attempts in flight.
pub(crate) struct ServerFleet {
    pub servers: BTreeMap<ServerId, Server>,
    /// The servers to choose from for a request: this gateway's subset, or all ready servers if these are too many to
    /// compare. Empty if all servers are compared.
    pub candidates: Arc<[ServerId]>,
    /// Share of the ready servers that this gateway uses; 1 without a subset.
    pub subset_share: f64,
    pub subset: Subset,
    /// The health reports of all gateways, and the servers that are ejected by them.
    pub outlier_signals: OutlierSignals,
    pub zones: ZoneErrorTracker,
    totals: FleetTotals,
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
            totals: FleetTotals::default(),
            zones: ZoneErrorTracker::default(),
            recent_sends: DecayingSum::default(),
        }
    }

    pub fn ready_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|s| s.health == Health::Ready)
    }

    /// Returns the sums over all servers. With candidates set, these are the cached sums of the last refresh.
    pub fn totals(&self, slow_start: &SlowStart, now: Micros) -> FleetTotals {
        if self.candidates.is_empty() {
            self.compute_totals(slow_start, now)
        } else {
            self.totals
        }
    }

    pub fn compute_totals(&self, slow_start: &SlowStart, now: Micros) -> FleetTotals {
        FleetTotals {
            computed_at: now,
            in_flight: self.servers.values().map(|s| f64::from(s.in_flight)).sum(),
            ready_servers: self.ready_servers().count() as f64,
            ready_size: self
                .ready_servers()
                .map(|s| s.weight * s.warm_capacity_share(slow_start, now))
                .sum(),
        }
    }

    /// Recomputes the cached sums if they are stale.
    pub fn refresh_totals(&mut self, slow_start: &SlowStart, now: Micros) {
        let is_stale = now >= self.totals.computed_at + TOTALS_REFRESH_INTERVAL_US;
        if is_stale && !self.candidates.is_empty() {
            self.totals = self.compute_totals(slow_start, now);
        }
    }

    /// Applies an update of the server list. `random_credit` yields the slow-start credit, in sends, with which a new
    /// or restarted server starts.
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
            .retain_listed(|zone| self.servers.values().any(|s| s.zone_and_cell.0 == zone));
    }

    fn apply_entry(
        &mut self,
        entry: ServerEntry,
        now: Micros,
        random_credit: &mut impl FnMut() -> f64,
    ) {
        let hash_key = frosthatch_load_balancing::stable_hash(&entry.server.0);
        let server = self.servers.entry(entry.server).or_default();
        let is_new = server.slowness_ratio == 0.0;
        let is_restarted = server.started_us != entry.started_us;
        if is_new || is_restarted {
            // The assessment of the previous process does not apply to the new one.
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
        server.zone_and_cell = (entry.zone, entry.cell);
        server.started_us = entry.started_us;
        server.health = entry.health;
        server.pool = entry.pool;
        server.weight = if entry.weight.is_finite() && entry.weight > 0.0 {
            entry.weight
        } else {
            1.0
        };
    }

    /// Selects the servers that this gateway uses after a change of servers or gateways. `subset_size` returns how many
    /// servers each gateway uses, given the numbers of gateways and of ready servers; `None` means all. For one request
    /// the caller compares at most `max_compared` servers.
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

    /// Records the start of an attempt, which takes one of the `available_sends` of the server's slow-start credit.
    /// Returns the server's zone and cell.
    pub fn record_send(
        &mut self,
        server: &ServerId,
        available_sends: f64,
        now: Micros,
    ) -> Option<(String, u64)> {
        self.recent_sends.add(now, DEMAND_TIME_CONSTANT_US, 1.0);
        let server = self.servers.get_mut(server)?;
        server.in_flight += 1;
        server.slow_start_credit = SlowStartCredit {
            sends: available_sends - 1.0,
            as_of: now,
        };
        Some(server.zone_and_cell.clone())
    }

    /// Records the end of an attempt. Returns the state of its server, or `None` if the server is no longer known.
    pub fn record_attempt_end(
        &mut self,
        server: &ServerId,
        slow_start: &SlowStart,
        now: Micros,
    ) -> Option<ServerAtAttemptEnd> {
        let server = self.servers.get_mut(server)?;
        server.in_flight = server.in_flight.saturating_sub(1);
        Some(ServerAtAttemptEnd {
            warm_capacity_share: server.warm_capacity_share(slow_start, now),
            is_ready: server.health == Health::Ready,
        })
    }

    /// Returns the recent rate of sends to all servers, at least [`MIN_SENDS_PER_S`].
    pub fn sends_per_s(&self, now: Micros) -> f64 {
        self.recent_sends
            .per_s(now, DEMAND_TIME_CONSTANT_US)
            .max(MIN_SENDS_PER_S)
    }

    /// Returns the half-life of a server's assessment. One of many gateways sends to each server rarely, so an
    /// assessment has to last until the next send.
    pub fn assessment_half_life_us(&self, now: Micros) -> f64 {
        let used = self.servers.len() as f64 * self.subset_share;
        MIN_ASSESSMENT_HALF_LIFE_US
            .max(ASSESSMENT_HALF_LIFE_SENDS * used / self.sends_per_s(now) * 1e6)
    }

    /// Records the outcome of an attempt in the assessment of its server and, if `counts_for_zone`, in the error rate
    /// of its zone. `latency_ratio` is the latency as a multiple of the usual latency, scaled to a warm server.
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
        // An ejected server that has served a trial request has recovered.
        if counts && outcome.failed == 0.0 && self.outlier_signals.is_ejected(server.hash_key) {
            server.error_rate = 0.0;
        }
        let zone_error_rate = self.zones.rates_at(now).error_rate(&server.zone_and_cell.0);
        server.record_outcome(now, half_life_us, outcome, zone_error_rate);
        if counts && counts_for_zone {
            self.zones
                .record_outcome(&server.zone_and_cell.0, now, outcome.failed);
        }
    }

    /// Returns this gateway's health reports: on servers whose error rate or slowness exceeds the limit, and on healthy
    /// ones that another gateway reports as unhealthy.
    pub fn health_reports(&self, now: Micros) -> HealthReports {
        let is_fresh =
            |s: &&Server| s.assessed_at > s.started_us && s.assessed_at + REPORT_TTL_US > now;
        let report = |s: &Server| (s.hash_key, s.reported_error_rate(), s.assessed_at);
        let is_reported = |&(hash_key, error_rate, assessed_at): &(u64, f64, Micros)| {
            let refutes = error_rate < HEALTHY_FAILURE_RATIO
                && assessed_at + MAX_HEALTHY_REPORT_AGE_US > now
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
        // At most `MAX_REPORTS` are reported: those with the latest assessments.
        reports.sort_by_key(|(_, _, assessed_at)| std::cmp::Reverse(*assessed_at));
        reports.truncate(MAX_REPORTS);
        HealthReports {
            used_servers: used.round() as usize,
            reports,
        }
    }

    /// Sets the gateways that servers are assigned to, and drops the health reports of all others.
    pub fn set_gateways(&mut self, gateways: &[u32]) {
        self.subset.set_gateways(gateways);
        self.outlier_signals
            .retain_gateways(|from| gateways.iter().any(|g| u64::from(*g) == from));
    }

    /// Replaces the health reports of another gateway, and updates which servers are ejected.
    pub fn record_health_reports(&mut self, from: u32, reports: HealthReports, now: Micros) {
        self.replace_health_reports(u64::from(from), reports);
        self.update_outliers(now);
    }

    fn replace_health_reports(&mut self, from: u64, reports: HealthReports) {
        let report = |(server, error_rate, assessed_at)| {
            (
                server,
                HealthReport {
                    failure_ratio: error_rate,
                    observed_at_us: assessed_at,
                },
            )
        };
        self.outlier_signals.replace_reports(
            from,
            reports.used_servers,
            reports.reports.into_iter().map(report),
        );
    }

    /// Updates which servers are ejected, after new reports or with the passage of time.
    pub fn update_outliers(&mut self, now: Micros) {
        let own_reports = self.health_reports(now);
        let has_no_reports = own_reports.reports.is_empty() && self.outlier_signals.is_empty();
        if !has_no_reports {
            self.replace_health_reports(self.subset.own_key(), own_reports);
        }
        let subset = &self.subset;
        let servers = &self.servers;
        let start_and_user_count = |hash_key: u64| {
            let server = servers.values().find(|s| s.hash_key == hash_key)?;
            Some((server.started_us, subset.gateways_using(hash_key).len()))
        };
        self.outlier_signals
            .update_ejections(now, start_and_user_count);
    }

    /// Returns whether a server is ejected by the reports of all gateways, or failed most of this gateway's recent
    /// attempts.
    pub fn mostly_fails(&self, server: &Server, now: Micros) -> bool {
        if self.outlier_signals.is_ejected(server.hash_key) {
            return true;
        }
        let zone_error_rate = self.zones.rates_at(now).error_rate(&server.zone_and_cell.0);
        let half_life_us = self.assessment_half_life_us(now);
        let assessment = server.decayed_assessment(now, half_life_us, zone_error_rate);
        assessment.error_rate > MOSTLY_FAILING_ERROR_RATE
    }

    /// Returns the number of ready servers that mostly fail.
    pub fn avoided_server_count(&self, now: Micros) -> usize {
        self.ready_servers()
            .filter(|s| self.mostly_fails(s, now))
            .count()
    }
}

/// Returns the weight, slowness and failure of an outcome in its server's assessment. An attempt that got no answer for
/// longer than usual counts both as slow and as failed, so that a server that hangs, or hangs for one class only, is
/// detected.
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
