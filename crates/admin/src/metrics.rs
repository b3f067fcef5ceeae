//! The metrics of the gateway in the statsd text format: `NAME:VALUE|c` for counters, `NAME:VALUE|g` for gauges.

#[cfg(test)]
mod tests;

use std::fmt::Write;

/// Counters of one request class.
#[derive(Debug, Default)]
pub struct ClassMetrics {
    /// The name of the class.
    pub name: String,
    /// Number of requests served.
    pub success: u64,
    /// Number of requests rejected.
    pub busy: u64,
    /// Number of requests failed.
    pub failure: u64,
    /// Number of attempts sent to servers.
    pub backend_calls: u64,
}

/// A snapshot of all metrics.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Counters of each request class.
    pub classes: Vec<ClassMetrics>,
    /// Number of requests in flight.
    pub inflight: usize,
    /// Number of servers in the endpoint list.
    pub hosts_listed: usize,
    /// Number of listed servers that are not ready or are avoided as outliers; they receive no or almost no requests.
    pub hosts_down: usize,
    /// Number of configurations applied.
    pub reconfig_ok: u64,
    /// Number of configurations rejected.
    pub reconfig_failed: u64,
    /// Number of violations of each rule on attempts and responses that is checked at run time, by the rule's name.
    pub violations: Vec<(&'static str, u64)>,
}

/// The statsd type of a metric.
#[derive(Clone, Copy)]
enum MetricKind {
    Counter,
    Gauge,
}

impl Metrics {
    /// Formats the metrics, one line each.
    pub fn to_statsd(&self) -> String {
        let mut text = String::new();
        for class in &self.classes {
            let outcomes = [
                ("success", class.success),
                ("busy", class.busy),
                ("failure", class.failure),
                ("backend_calls", class.backend_calls),
            ];
            for (outcome, value) in outcomes {
                let name = format!("{outcome}.{}", class.name);
                write_line(&mut text, &name, value, MetricKind::Counter);
            }
        }
        write_line(
            &mut text,
            "reconfig_ok",
            self.reconfig_ok,
            MetricKind::Counter,
        );
        write_line(
            &mut text,
            "reconfig_failed",
            self.reconfig_failed,
            MetricKind::Counter,
        );
        for (rule, count) in &self.violations {
            let name = format!("rule_violations.{rule}");
            write_line(&mut text, &name, *count, MetricKind::Counter);
        }
        write_line(
            &mut text,
            "inflight",
            self.inflight as u64,
            MetricKind::Gauge,
        );
        write_line(
            &mut text,
            "hosts_listed",
            self.hosts_listed as u64,
            MetricKind::Gauge,
        );
        write_line(
            &mut text,
            "hosts_down",
            self.hosts_down as u64,
            MetricKind::Gauge,
        );
        text
    }
}

fn write_line(text: &mut String, name: &str, value: u64, kind: MetricKind) {
    let type_code = match kind {
        MetricKind::Counter => 'c',
        MetricKind::Gauge => 'g',
    };
    let _ = writeln!(text, "svc.{name}:{value}|{type_code}");
}
