//! Figures that a scenario reports, printed one per line or as one JSON object, each with an optional limit.

use serde_json::{json, Map, Value};
use std::process::ExitCode;

/// Collects the figures of a run and counts those that violate their limit.
pub struct Figures {
    json: bool,
    all: Map<String, Value>,
    violation_count: usize,
}

impl Figures {
    pub fn new(json: bool) -> Self {
        Figures {
            json,
            all: Map::new(),
            violation_count: 0,
        }
    }

    /// Prints a remark that is not part of the figures; JSON output omits it.
    pub fn remark(&self, text: &str) {
        if !self.json {
            println!("{text}");
        }
    }

    /// Records a figure without a limit.
    pub fn record(&mut self, name: &str, value: f64, unit: &str) {
        self.line(name, value, unit, None);
    }

    /// Records a figure that must not exceed `limit`.
    pub fn at_most(&mut self, name: &str, value: f64, unit: &str, limit: f64) {
        // NaN violates the limit, too.
        self.line(name, value, unit, Some(("at_most", limit, value <= limit)));
    }

    /// Records a figure that must not be below `limit`.
    pub fn at_least(&mut self, name: &str, value: f64, unit: &str, limit: f64) {
        self.line(name, value, unit, Some(("at_least", limit, value >= limit)));
    }

    fn line(&mut self, name: &str, value: f64, unit: &str, limit: Option<(&str, f64, bool)>) {
        let holds = limit.is_none_or(|(_, _, holds)| holds);
        self.violation_count += usize::from(!holds);
        if self.json {
            let mut figure = json!({"value": value, "unit": unit, "holds": holds});
            if let Some((kind, limit, _)) = limit {
                figure[kind] = json!(limit);
            }
            self.all.insert(name.into(), figure);
            return;
        }
        let value = format!("{value:.3}");
        let limit = match limit {
            None => "-".into(),
            Some(("at_most", limit, _)) => format!("<={limit}"),
            Some((_, limit, _)) => format!(">={limit}"),
        };
        println!(
            "{name} {value} {unit} {limit}{}",
            if holds { "" } else { " BROKEN" }
        );
    }

    /// Prints the JSON output, if selected, and returns the exit code: failure if a limit was violated.
    pub fn finish(self) -> ExitCode {
        if self.json {
            println!("{}", Value::Object(self.all));
        }
        match self.violation_count {
            0 => ExitCode::SUCCESS,
            n => {
                eprintln!("{n} figures violate their limit");
                ExitCode::FAILURE
            }
        }
    }
}
