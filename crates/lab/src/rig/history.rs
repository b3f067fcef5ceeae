//! What each process did and was told, and what was done to it, in the order of time; a JSON line an event.

use serde_json::{json, Value};
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Since the history began.
    pub at: Duration,
    /// None: the rig itself.
    pub process: Option<usize>,
    pub what: Value,
}

/// Shared by whoever has something to tell.
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
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, process: Option<usize>, what: Value) {
        let event = Event {
            at: self.now(),
            process,
            what,
        };
        self.events.lock().expect("the history").push(event);
    }

    /// A line that a process logged.
    pub fn logged(&self, process: usize, line: &str) {
        self.note(Some(process), json!({ "log": line }));
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().expect("the history").clone()
    }

    /// Lines that processes logged with such a text in them: when, by whom, and the line.
    pub fn lines(&self, with: &str) -> Vec<(Duration, usize, String)> {
        let all = self.events();
        let line = |e: &Event| Some((e.at, e.process?, e.what.get("log")?.as_str()?.to_string()));
        all.iter()
            .filter_map(line)
            .filter(|(_, _, l)| l.contains(with))
            .collect()
    }

    pub fn write(&self, file: &Path) -> std::io::Result<()> {
        let mut out = std::io::BufWriter::new(std::fs::File::create(file)?);
        for e in self.events() {
            let line =
                json!({ "at_ms": e.at.as_millis() as u64, "process": e.process, "what": e.what });
            writeln!(out, "{line}")?;
        }
        out.flush()
    }
}
