//! Combines the health reports of all gateways on servers. An unhealthy server is ejected by all gateways soon after a
//! few of them have observed failures there, and no single gateway can eject a server for the others.
//!
//! | rule | reason |
//! | --- | --- |
//! | the reports last received from a gateway replace its previous ones; the order among gateways and repetition have no effect | reports are disseminated by gossip |
//! | a report expires [`REPORT_TTL_US`] after its observation, or when the server restarts | it is too old, or about another process |
//! | the reports of a gateway are ignored while it reports as unhealthy more than half of the servers that it uses | its own network is at fault |
//! | a server is ejected once [`required_votes`] gateways report it as unhealthy, and more gateways than report it as healthy | one faulty gateway cannot eject a server |
//! | while a server is ejected, the latest report on it decides | the holder of the lease to probe the server reports for all gateways |
//! | a server is readmitted as soon as the latest report is not an unhealthy one, or there is no report | reports expire |
//!
//! Times are in microseconds on the clock of the gateway that receives the reports.

use std::collections::{BTreeMap, BTreeSet};

/// The time from the observation until a report expires, in microseconds. It is longer than two epochs of the lease to
/// probe a server (4 s each), so that a server that stays unhealthy need not be detected again.
pub const REPORT_TTL_US: u64 = 10_000_000;
/// The recent failure ratio above which a gateway reports a server as unhealthy; one failure among the last five
/// attempts exceeds it. A gateway rarely observes more failures, as it uses other servers after the first one.
pub const UNHEALTHY_FAILURE_RATIO: f64 = 0.15;
/// The recent failure ratio below which a gateway reports as healthy a server that other gateways report as unhealthy.
pub const HEALTHY_FAILURE_RATIO: f64 = 0.1;
/// The maximum number of current reports of one gateway; further ones are ignored.
pub const MAX_REPORTS: usize = 24;
/// Ejecting a server requires one unhealthy report per this many gateways that use the server.
const USERS_PER_VOTE: usize = 4;
/// The minimum number of reports that the ejection of a server requires.
const MIN_VOTES: usize = 2;

/// One gateway's report on one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthReport {
    /// The ratio of failed attempts among the gateway's recent attempts on the server, from 0 to 1.
    pub failure_ratio: f64,
    /// When the failure ratio was observed.
    pub observed_at_us: u64,
}

impl HealthReport {
    fn is_unhealthy(&self) -> bool {
        self.failure_ratio > UNHEALTHY_FAILURE_RATIO
    }

    fn is_healthy(&self) -> bool {
        self.failure_ratio < HEALTHY_FAILURE_RATIO
    }

    fn has_expired(&self, now_us: u64) -> bool {
        self.observed_at_us + REPORT_TTL_US <= now_us
    }
}

/// Returns how many gateways have to report a server as unhealthy before it is ejected, if `users` gateways use it.
pub fn required_votes(users: usize) -> usize {
    users.div_ceil(USERS_PER_VOTE).max(MIN_VOTES)
}

/// The current reports of one gateway.
#[derive(Default)]
struct GatewayReports {
    by_server: BTreeMap<u64, HealthReport>,
    /// The number of servers that the gateway uses.
    servers_used: usize,
}

impl GatewayReports {
    /// Returns whether the gateway reports so many servers as unhealthy that its own network must be at fault.
    fn is_gateway_at_fault(&self, now_us: u64) -> bool {
        let unhealthy = self
            .by_server
            .values()
            .filter(|report| !report.has_expired(now_us) && report.is_unhealthy())
            .count();
        2 * unhealthy > self.servers_used.max(2)
    }
}

/// The latest report on a server. Of reports with the same observation time, an unhealthy one counts as the latest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LatestReport {
    observed_at_us: u64,
    is_unhealthy: bool,
}

/// The number of unhealthy and of healthy reports on one server, and the latest report.
#[derive(Default)]
struct Votes {
    unhealthy: usize,
    healthy: usize,
    latest: Option<LatestReport>,
}

/// The reports of all gateways, and the servers that are ejected because of them.
#[derive(Default)]
pub struct OutlierSignals {
    by_gateway: BTreeMap<u64, GatewayReports>,
    ejected: BTreeSet<u64>,
    /// The observation time of the report that readmitted each server; reports observed at or before it no longer
    /// count.
    readmitted_at_us: BTreeMap<u64, u64>,
}

impl OutlierSignals {
    /// Replaces the reports of the gateway `from` with `reports`, pairs of a server's key and a report; reports whose
    /// failure ratio is not finite are ignored. `servers_used`: the number of servers that the gateway uses.
    pub fn replace_reports(
        &mut self,
        from: u64,
        servers_used: usize,
        reports: impl Iterator<Item = (u64, HealthReport)>,
    ) {
        let by_server = reports
            .filter(|(_, report)| report.failure_ratio.is_finite())
            .take(MAX_REPORTS)
            .collect();
        self.by_gateway.insert(
            from,
            GatewayReports {
                by_server,
                servers_used,
            },
        );
    }

    /// Removes the reports of gateways that are no longer present.
    pub fn retain_gateways(&mut self, is_present: impl Fn(u64) -> bool) {
        self.by_gateway.retain(|from, _| is_present(*from));
    }

    /// Returns whether no gateway has reported.
    pub fn is_empty(&self) -> bool {
        self.by_gateway.is_empty()
    }

    /// Returns whether at least one gateway currently reports the server as unhealthy.
    pub fn is_reported_unhealthy(&self, server: u64, now_us: u64) -> bool {
        self.count_votes(server, 0, now_us).unhealthy > 0
    }

    /// Counts the unexpired reports on a server that were observed at `since_us` or later, of gateways that are not at
    /// fault.
    fn count_votes(&self, server: u64, since_us: u64, now_us: u64) -> Votes {
        let reports = self
            .by_gateway
            .values()
            .filter(|gateway| !gateway.is_gateway_at_fault(now_us))
            .filter_map(|gateway| gateway.by_server.get(&server))
            .filter(|report| !report.has_expired(now_us) && report.observed_at_us >= since_us);
        let mut votes = Votes::default();
        for report in reports {
            votes.unhealthy += usize::from(report.is_unhealthy());
            votes.healthy += usize::from(report.is_healthy());
            votes.latest = votes.latest.max(Some(LatestReport {
                observed_at_us: report.observed_at_us,
                is_unhealthy: report.is_unhealthy(),
            }));
        }
        votes
    }

    /// Recomputes which servers are ejected. `start_time_and_users` returns when a server started, in microseconds, and
    /// how many gateways use it; `None` for an unknown server.
    pub fn update_ejections(
        &mut self,
        now_us: u64,
        start_time_and_users: impl Fn(u64) -> Option<(u64, usize)>,
    ) {
        let reported: BTreeSet<u64> = self
            .by_gateway
            .values()
            .flat_map(|gateway| gateway.by_server.keys().copied())
            .collect();
        let mut ejected = BTreeSet::new();
        for server in reported {
            let Some((started_at_us, users)) = start_time_and_users(server) else {
                continue;
            };
            if self.decide_ejection(server, started_at_us, users, now_us) {
                ejected.insert(server);
            }
        }
        self.ejected = ejected;
        self.readmitted_at_us
            .retain(|_, observed_at_us| *observed_at_us + REPORT_TTL_US > now_us);
    }

    /// Returns whether a server is to be ejected or to stay ejected, and records when a report readmits it.
    fn decide_ejection(
        &mut self,
        server: u64,
        started_at_us: u64,
        users: usize,
        now_us: u64,
    ) -> bool {
        let since_us = self
            .readmitted_at_us
            .get(&server)
            .map_or(started_at_us, |readmitted_at_us| {
                started_at_us.max(readmitted_at_us + 1)
            });
        let votes = self.count_votes(server, since_us, now_us);
        if !self.ejected.contains(&server) {
            return votes.unhealthy >= required_votes(users) && votes.unhealthy > votes.healthy;
        }
        let Some(latest) = votes.latest else {
            return false;
        };
        if !latest.is_unhealthy {
            self.readmitted_at_us.insert(server, latest.observed_at_us);
        }
        latest.is_unhealthy
    }

    /// Returns whether the server is ejected.
    pub fn is_ejected(&self, server: u64) -> bool {
        self.ejected.contains(&server)
    }

    /// Returns the number of ejected servers.
    pub fn ejected_count(&self) -> usize {
        self.ejected.len()
    }
}

#[cfg(test)]
mod tests;
