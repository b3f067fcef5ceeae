//! Chronological record of what the processes log and of the actions applied to them, written as one JSON line per
//! event.

use serde_json::{json, Value};
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A log line of a process, or an action of the testbed.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Time since the history was created.
    pub elapsed: Duration,
    /// Index of the process, or `None` for an event of the testbed itself.
    pub process: Option<usize>,
    pub payload: Value,
}

/// A list of events; its clones append to the same list.
#[derive(Clone)]
pub struct History {
    start: Instant,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Default for History {
    fn default() -> Self {
        History {
            start: Instant::now(),
            events: Arc::default(),
        }
    }
}

impl History {
    /// Returns the time since the history was created.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Records an event of a process, or of the testbed if `process` is `None`.
    pub fn record(&self, process: Option<usize>, payload: Value) {
        let event = Event {
            elapsed: self.elapsed(),
            process,
            payload,
        };
        self.events
            .lock()
            .expect("no thread panics while it holds the history")
            .push(event);
    }

    /// Records a line that a process logged.
    pub fn record_log_line(&self, process: usize, line: &str) {
        self.record(Some(process), json!({ "log": line }));
    }

    /// Returns all events so far.
    pub fn events(&self) -> Vec<Event> {
        self.events
            .lock()
            .expect("no thread panics while it holds the history")
            .clone()
    }

    /// Returns time, process and text of each logged line that contains `substring`.
    pub fn log_lines(&self, substring: &str) -> Vec<(Duration, usize, String)> {
        let all = self.events();
        let log_line = |e: &Event| {
            Some((
                e.elapsed,
                e.process?,
                e.payload.get("log")?.as_str()?.to_string(),
            ))
        };
        all.iter()
            .filter_map(log_line)
            .filter(|(_, _, l)| l.contains(substring))
            .collect()
    }

    /// Writes all events to a file, one JSON object per line.
    pub fn write(&self, file: &Path) -> std::io::Result<()> {
        let mut out = std::io::BufWriter::new(std::fs::File::create(file)?);
        for e in self.events() {
            let line = json!({ "at_ms": e.elapsed.as_millis() as u64, "process": e.process, "what": e.payload });
            writeln!(out, "{line}")?;
        }
        out.flush()
    }
}
