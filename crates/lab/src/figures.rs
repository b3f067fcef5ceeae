//! What a scenario shows: one figure a line, each with its limit, if it has one.

use serde_json::{json, Map, Value};
use std::process::ExitCode;

pub struct Figures {
    json: bool,
    all: Map<String, Value>,
    broken: usize,
}

impl Figures {
    pub fn new(json: bool) -> Self {
        Figures {
            json,
            all: Map::new(),
            broken: 0,
        }
    }

    /// A remark for a reader; not part of the figures.
    pub fn say(&self, text: &str) {
        if !self.json {
            println!("{text}");
        }
    }

    pub fn show(&mut self, name: &str, value: f64, unit: &str) {
        self.line(name, value, unit, None);
    }

    /// A figure that must not be above its limit.
    pub fn at_most(&mut self, name: &str, value: f64, unit: &str, limit: f64) {
        // Not a number is no good either.
        self.line(name, value, unit, Some(("at_most", limit, value <= limit)));
    }

    /// A figure that must not be below its limit.
    pub fn at_least(&mut self, name: &str, value: f64, unit: &str, limit: f64) {
        self.line(name, value, unit, Some(("at_least", limit, value >= limit)));
    }

    fn line(&mut self, name: &str, value: f64, unit: &str, limit: Option<(&str, f64, bool)>) {
        let holds = limit.is_none_or(|(_, _, holds)| holds);
        self.broken += usize::from(!holds);
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

    pub fn finish(self) -> ExitCode {
        if self.json {
            println!("{}", Value::Object(self.all));
        }
        match self.broken {
            0 => ExitCode::SUCCESS,
            n => {
                eprintln!("{n} of the limits do not hold");
                ExitCode::FAILURE
            }
        }
    }
}
