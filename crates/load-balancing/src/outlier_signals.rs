//! Health reports of all gateways on servers, combined so that an unhealthy server is ejected everywhere soon after a few
//! gateways have met failures there, and so that no single gateway can eject a server for the others.
//!
//! | rule | why |
//! | --- | --- |
//! | a gateway's later reports replace its earlier ones; order and repetition do not matter | reports travel by gossip |
//! | a report expires [`ENDS_US`] after its observation, or with the server's restart | it is about another process, or too old |
//! | a gateway that reports more than half of the servers that it uses as unhealthy is ignored | its own network is at fault |
//! | a server is ejected once [`needed`] gateways report it as unhealthy, and more than report it as healthy | one faulty gateway ejects none |
//! | while it is ejected the latest report decides | the holder of the lease to probe it speaks for all |
//! | it is readmitted as soon as the latest report says healthy, or there is no report | reports expire |
//!
//! Times are in microseconds, by the clock of the gateway that receives the reports.

use std::collections::{BTreeMap, BTreeSet};

/// Microseconds after which a report expires: longer than two epochs of the lease to probe a server, so that a server that
/// stays unhealthy need not be detected anew.
pub const REPORT_TTL_US: u64 = 10_000_000;
/// The recent failure ratio above which a gateway reports a server as unhealthy: one of its last five attempts. It rarely
/// sees more than that, as it turns to other servers after the first failure.
pub const UNHEALTHY_FAILURE_RATIO: f64 = 0.15;
/// The recent failure ratio below which a gateway reports a server as healthy that others report as unhealthy.
pub const HEALTHY_FAILURE_RATIO: f64 = 0.1;
/// The reports accepted from one gateway at a time.
pub const MAX_REPORTS: usize = 24;
/// One in this many users of a server has to report it as unhealthy.
const USERS_PER_VOTE: usize = 4;
/// No server is ejected by fewer reports.
const MIN_VOTES: usize = 2;

/// One gateway's report on one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthReport {
    /// The ratio of its recent attempts there that failed, from 0 to 1.
    pub failure_ratio: f64,
    /// When this was observed.
    pub observed_at_us: u64,
}

impl HealthReport {
    fn is_unhealthy(&self) -> bool {
        self.failure_ratio > UNHEALTHY_FAILURE_RATIO
    }

    fn is_healthy(&self) -> bool {
        self.failure_ratio < HEALTHY_FAILURE_RATIO
    }

    fn has_expired(&self, now: u64) -> bool {
        self.observed_at_us + REPORT_TTL_US <= now
    }
}

/// How many gateways have to report a server with that many users as unhealthy before it is ejected.
pub fn needed(users: usize) -> usize {
    users.div_ceil(USERS_PER_VOTE).max(MIN_VOTES)
}

/// What one gateway reports.
#[derive(Default)]
struct GatewayReports {
    by_server: BTreeMap<u64, HealthReport>,
    servers_used: usize,
}

impl GatewayReports {
    /// Whether the gateway reports so many servers as unhealthy that its own network must be at fault.
    fn is_gateway_at_fault(&self, now: u64) -> bool {
        let unhealthy = self
            .by_server
            .values()
            .filter(|report| !report.has_expired(now) && report.is_unhealthy())
            .count();
        2 * unhealthy > self.servers_used.max(2)
    }
}

/// The latest report on a server; of several of one moment an unhealthy one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LatestReport {
    at: u64,
    is_unhealthy: bool,
}

/// The valid reports on one server.
#[derive(Default)]
struct Votes {
    unhealthy: usize,
    healthy: usize,
    latest: Option<LatestReport>,
}

/// The reports of all gateways, and the servers that are ejected.
#[derive(Default)]
pub struct OutlierSignals {
    by_gateway: BTreeMap<u64, GatewayReports>,
    ejected: BTreeSet<u64>,
    /// The observation that readmitted a server: earlier ones no longer count.
    readmitted_at: BTreeMap<u64, u64>,
}

impl OutlierSignals {
    /// Takes all that a gateway reports now, by server, in place of what it reported before. `uses`: the number of servers
    /// that it uses.
    pub fn replace_reports(
        &mut self,
        from: u64,
        uses: usize,
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
                servers_used: uses,
            },
        );
    }

    /// Drops the reports of gateways that are no longer present.
    pub fn retain_gateways(&mut self, is_present: impl Fn(u64) -> bool) {
        self.by_gateway.retain(|from, _| is_present(*from));
    }

    /// Whether there is no report of any gateway.
    pub fn is_empty(&self) -> bool {
        self.by_gateway.is_empty()
    }

    /// Whether some gateway reports the server as unhealthy.
    pub fn is_reported_unhealthy(&self, server: u64, now: u64) -> bool {
        self.count_votes(server, 0, now).unhealthy > 0
    }

    /// Counts the reports on a server that were observed at `since` or later.
    fn count_votes(&self, server: u64, since: u64, now: u64) -> Votes {
        let reports = self
            .by_gateway
            .values()
            .filter(|gateway| !gateway.is_gateway_at_fault(now))
            .filter_map(|gateway| gateway.by_server.get(&server))
            .filter(|report| !report.has_expired(now) && report.observed_at_us >= since);
        let mut votes = Votes::default();
        for report in reports {
            votes.unhealthy += usize::from(report.is_unhealthy());
            votes.healthy += usize::from(report.is_healthy());
            votes.latest = votes.latest.max(Some(LatestReport {
                at: report.observed_at_us,
                is_unhealthy: report.is_unhealthy(),
            }));
        }
        votes
    }

    /// Decides which servers are ejected now. `of`: when a server started and how many gateways use it; `None` for an
    /// unknown server.
    pub fn update_ejections(&mut self, now: u64, of: impl Fn(u64) -> Option<(u64, usize)>) {
        let reported: BTreeSet<u64> = self
            .by_gateway
            .values()
            .flat_map(|gateway| gateway.by_server.keys().copied())
            .collect();
        let mut ejected = BTreeSet::new();
        for server in reported {
            let Some((started_at, users)) = of(server) else {
                continue;
            };
            if self.decide(server, started_at, users, now) {
                ejected.insert(server);
            }
        }
        self.ejected = ejected;
        self.readmitted_at.retain(|_, at| *at + REPORT_TTL_US > now);
    }

    /// Whether a server is to be ejected, or to stay so.
    fn decide(&mut self, server: u64, started_at: u64, users: usize, now: u64) -> bool {
        let since = self
            .readmitted_at
            .get(&server)
            .map_or(started_at, |readmitted| started_at.max(readmitted + 1));
        let votes = self.count_votes(server, since, now);
        if !self.ejected.contains(&server) {
            return votes.unhealthy >= needed(users) && votes.unhealthy > votes.healthy;
        }
        let Some(latest) = votes.latest else {
            return false;
        };
        if !latest.is_unhealthy {
            self.readmitted_at.insert(server, latest.at);
        }
        latest.is_unhealthy
    }

    /// Whether the server is ejected.
    pub fn is_ejected(&self, server: u64) -> bool {
        self.ejected.contains(&server)
    }

    /// The number of ejected servers.
    pub fn ejected_count(&self) -> usize {
        self.ejected.len()
    }
}

#[cfg(test)]
mod tests;
