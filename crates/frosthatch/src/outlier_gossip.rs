//! Passes the cluster view and health reports on servers between the membership and the engine. The only rule
//! decided here is when a view is stable enough to be used.

#[cfg(test)]
mod tests;

use frosthatch_cluster_membership::driver::MembershipHandle;
use frosthatch_cluster_membership::Membership;
use frosthatch_engine::Engine;
use frosthatch_traffic_control::HealthReports;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{interval, MissedTickBehavior};

/// Interval at which views and reports are compared and passed on.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which the view must be unchanged before a member that joined is counted; a member that is gone is left
/// out at once.
const MIN_STABLE_VIEW_US: u64 = 300_000;
/// Name of the gauge with the number of servers that a member uses.
const SERVERS_USED_GAUGE: &str = "uses";
/// Prefix of the names of gauges with one server's error rate; the server's key follows in 16 hexadecimal digits.
const SERVER_GAUGE_PREFIX: &str = "s:";
/// Error rates are rounded to multiples of this, so that random variation is not sent as a change.
const ERROR_RATE_STEP: f64 = 0.1;
/// Interval after which an unchanged gauge is sent again.
const REFRESH_INTERVAL_US: u64 = 1_000_000;

/// The value of a gauge and the time of its measurement.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Measurement {
    value: f64,
    at_us: u64,
}

impl Measurement {
    /// Returns whether `newer` can be skipped: it has the value of `self`, the measurement last sent, and is less
    /// than [`REFRESH_INTERVAL_US`] newer.
    fn makes_redundant(&self, newer: &Measurement) -> bool {
        self.value == newer.value && newer.at_us < self.at_us + REFRESH_INTERVAL_US
    }
}

/// Measurements by gauge name.
type GaugeValues = BTreeMap<String, Measurement>;

/// Changes to the gauges that this member sends.
#[derive(Debug, PartialEq)]
struct GaugeChanges {
    cleared: Vec<String>,
    set: GaugeValues,
}

/// The state last passed on: views and reports to the engine, gauges to the members.
#[derive(Default)]
struct GossipState {
    /// Numbers of the gateways among which the engine divides servers into subsets.
    gateways: Vec<u32>,
    /// Digest of the view that `gateways` was taken from.
    view_digest: Option<u64>,
    /// Version of each member's gauges when they were last read, by member name.
    read_versions: BTreeMap<String, u64>,
    /// The gauges that this member sends, as last set.
    sent: GaugeValues,
}

/// Returns the gateway numbers of the ready members, in ascending order.
fn ready_gateways(cluster: &Membership) -> Vec<u32> {
    let ready = cluster.ready_members();
    let names: Vec<&str> = ready.into_iter().map(|(.., name)| name).collect();
    let mut numbers: Vec<u32> = cluster
        .members()
        .filter(|member| names.contains(&member.record.name.as_str()))
        .map(|member| u32::from(member.record.number))
        .collect();
    numbers.sort_unstable();
    numbers
}

/// Returns the health reports that a member's gauges carry. Each gauge is given as name, value and measurement time
/// (µs).
fn reports_from_gauges(gauges: impl Iterator<Item = (String, f64, u64)>) -> HealthReports {
    let mut reports = HealthReports::default();
    for (name, value, at_us) in gauges {
        if name == SERVERS_USED_GAUGE {
            reports.used_servers = value as usize;
            continue;
        }
        let digits = name.strip_prefix(SERVER_GAUGE_PREFIX);
        if let Some(Ok(key)) = digits.map(|digits| u64::from_str_radix(digits, 16)) {
            reports.reports.push((key, value, at_us));
        }
    }
    reports
}

/// Returns the gauges that carry `reports`.
fn gauges_from_reports(reports: &HealthReports) -> GaugeValues {
    let rounded = |error_rate: f64| (error_rate / ERROR_RATE_STEP).round() * ERROR_RATE_STEP;
    let servers = reports.reports.iter().map(|(key, error_rate, at_us)| {
        let value = rounded(*error_rate);
        let at_us = *at_us;
        let name = format!("{SERVER_GAUGE_PREFIX}{key:016x}");
        (name, Measurement { value, at_us })
    });
    // Without a report on any server, the number of used servers is not needed.
    let servers_used = (!reports.reports.is_empty()).then(|| {
        let value = reports.used_servers as f64;
        let name = SERVERS_USED_GAUGE.to_string();
        (name, Measurement { value, at_us: 0 })
    });
    servers.chain(servers_used).collect()
}

impl GossipState {
    /// Returns the gateways that the engine has to use from now on, if they have changed.
    fn changed_gateways(&mut self, now_us: u64, cluster: &Membership) -> Option<Vec<u32>> {
        let view = cluster.view();
        // The list is built only if the view has changed, as there may be hundreds of members.
        if self.view_digest == Some(view.digest) {
            return None;
        }
        let ready = ready_gateways(cluster);
        let has_joined = ready.iter().any(|number| !self.gateways.contains(number));
        let is_stable = now_us.saturating_sub(view.changed_at_us) >= MIN_STABLE_VIEW_US;
        if has_joined && !is_stable {
            return None;
        }
        self.view_digest = Some(view.digest);
        if ready == self.gateways {
            return None;
        }
        self.gateways = ready;
        Some(self.gateways.clone())
    }

    /// Returns the reports of the members whose gauges have changed, with their gateway numbers.
    fn new_reports(&mut self, cluster: &Membership) -> Vec<(u32, HealthReports)> {
        let mut new_reports = Vec::new();
        let me = &cluster.own_record().name;
        for member in cluster.members().filter(|m| m.record.name != *me) {
            let Some(gauges) = cluster.gauges(&member.record.name) else {
                continue;
            };
            let read = self
                .read_versions
                .entry(member.record.name.clone())
                .or_default();
            if *read != gauges.version {
                *read = gauges.version;
                let owned = gauges
                    .all()
                    .map(|(name, value, at_us)| (name.to_string(), value, at_us));
                let number = u32::from(member.record.number);
                new_reports.push((number, reports_from_gauges(owned)));
            }
        }
        self.read_versions
            .retain(|name, _| cluster.gauges(name).is_some());
        new_reports
    }

    /// Returns the changes after which the gauges carry these reports. An unchanged gauge is set again after
    /// [`REFRESH_INTERVAL_US`].
    fn gauge_changes(&mut self, reports: &HealthReports) -> GaugeChanges {
        let mut set = gauges_from_reports(reports);
        let (still_sent, cleared): (GaugeValues, GaugeValues) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|(name, _)| set.contains_key(name));
        self.sent = still_sent;
        set.retain(|name, newer| {
            let sent = self.sent.get(name);
            !sent.is_some_and(|sent| sent.makes_redundant(newer))
        });
        self.sent
            .extend(set.iter().map(|(name, value)| (name.clone(), *value)));
        GaugeChanges {
            cleared: cleared.into_keys().collect(),
            set,
        }
    }
}

/// Passes views and reports on in both directions until the process ends.
pub async fn run(member: Rc<MembershipHandle>, engine: Rc<Engine>) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut state = GossipState::default();
    loop {
        ticks.tick().await;
        let gateways = member.read(|cluster| state.changed_gateways(engine.now_us(), cluster));
        if let Some(gateways) = gateways {
            engine.set_gateways(gateways);
        }
        for (from, reports) in member.read(|cluster| state.new_reports(cluster)) {
            engine.record_health_reports(from, reports);
        }
        let changes = state.gauge_changes(&engine.health_reports());
        for name in &changes.cleared {
            member.clear_gauge(name);
        }
        for (name, measurement) in changes.set {
            member.set_gauge_measured_at(measurement.at_us, &name, measurement.value);
        }
    }
}
