//! The figures, in the form of statsd lines: `NAME:VALUE|c` for what only grows, `|g` for what stands now.

use std::fmt::Write;

#[derive(Debug, Default)]
pub struct ClassMetrics {
    pub name: String,
    pub success: u64,
    pub busy: u64,
    pub failure: u64,
    pub backend_calls: u64,
}

#[derive(Debug, Default)]
pub struct Metrics {
    pub classes: Vec<ClassMetrics>,
    pub inflight: usize,
    pub hosts_listed: usize,
    pub hosts_down: usize,
    pub reconfig_ok: u64,
    pub reconfig_failed: u64,
    /// Rules that were found broken, by name.
    pub violations: Vec<(&'static str, u64)>,
}

impl Metrics {
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64, kind: char| {
            let _ = writeln!(text, "svc.{name}:{value}|{kind}");
        };
        for c in &self.classes {
            for (figure, value) in [
                ("success", c.success),
                ("busy", c.busy),
                ("failure", c.failure),
            ] {
                line(&format!("{figure}.{}", c.name), value, 'c');
            }
            line(&format!("backend_calls.{}", c.name), c.backend_calls, 'c');
        }
        line("reconfig_ok", self.reconfig_ok, 'c');
        line("reconfig_failed", self.reconfig_failed, 'c');
        for (rule, count) in &self.violations {
            line(&format!("rule_violations.{rule}"), *count, 'c');
        }
        line("inflight", self.inflight as u64, 'g');
        line("hosts_listed", self.hosts_listed as u64, 'g');
        line("hosts_down", self.hosts_down as u64, 'g');
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_figure_has_a_line() {
        let class = ClassMetrics {
            name: "top-up".into(),
            success: 812,
            busy: 3,
            failure: 1,
            backend_calls: 820,
        };
        let figures = Metrics {
            classes: vec![class],
            inflight: 14,
            hosts_listed: 10,
            ..Metrics::default()
        };
        let text = figures.text();
        let lines: Vec<&str> = text.lines().collect();
        for line in [
            "svc.success.top-up:812|c",
            "svc.backend_calls.top-up:820|c",
            "svc.inflight:14|g",
        ] {
            assert!(lines.contains(&line), "{line} in {text}");
        }
        assert_eq!(lines.len(), 9);
    }
}
