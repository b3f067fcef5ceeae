//! The metrics in statsd's text form: `NAME:VALUE|c` for counters, `NAME:VALUE|g` for gauges.

#[cfg(test)]
mod tests;

use std::fmt::Write;

/// Counters of one request class.
#[derive(Debug, Default)]
pub struct ClassMetrics {
    /// The class's name.
    pub name: String,
    /// Requests served.
    pub success: u64,
    /// Requests rejected.
    pub busy: u64,
    /// Requests failed.
    pub failure: u64,
    /// Attempts sent to servers.
    pub backend_calls: u64,
}

/// All metrics at one moment.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Counters by request class.
    pub classes: Vec<ClassMetrics>,
    /// Requests in flight.
    pub inflight: usize,
    /// Servers in the endpoint list.
    pub hosts_listed: usize,
    /// Listed servers that get no requests, or hardly any.
    pub hosts_down: usize,
    /// Configurations applied.
    pub reconfig_ok: u64,
    /// Configurations rejected.
    pub reconfig_failed: u64,
    /// Violations found, by the rule's name.
    pub violations: Vec<(&'static str, u64)>,
}

/// The kind of a metric, as statsd marks it.
#[derive(Clone, Copy)]
enum Kind {
    Counter,
    Gauge,
}

impl Metrics {
    /// A line for each metric.
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
                write_line(&mut text, &name, value, Kind::Counter);
            }
        }
        write_line(&mut text, "reconfig_ok", self.reconfig_ok, Kind::Counter);
        write_line(
            &mut text,
            "reconfig_failed",
            self.reconfig_failed,
            Kind::Counter,
        );
        for (rule, count) in &self.violations {
            let name = format!("rule_violations.{rule}");
            write_line(&mut text, &name, *count, Kind::Counter);
        }
        write_line(&mut text, "inflight", self.inflight as u64, Kind::Gauge);
        write_line(
            &mut text,
            "hosts_listed",
            self.hosts_listed as u64,
            Kind::Gauge,
        );
        write_line(&mut text, "hosts_down", self.hosts_down as u64, Kind::Gauge);
        text
    }
}

fn write_line(text: &mut String, name: &str, value: u64, kind: Kind) {
    let mark = match kind {
        Kind::Counter => 'c',
        Kind::Gauge => 'g',
    };
    let _ = writeln!(text, "svc.{name}:{value}|{mark}");
}
