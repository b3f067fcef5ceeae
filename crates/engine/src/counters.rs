//! What has been done so far, by class: counted where it happens, read by whoever shows it.

use crate::ports::Response;
use std::cell::Cell;

#[derive(Default)]
pub struct ClassCounters {
    pub name: String,
    pub served: Cell<u64>,
    pub refused: Cell<u64>,
    pub failed: Cell<u64>,
    /// Attempts written whole to servers.
    pub attempts: Cell<u64>,
}

#[derive(Default)]
pub struct RequestCounters {
    pub classes: Vec<ClassCounters>,
}

impl RequestCounters {
    pub fn new(classes: impl IntoIterator<Item = String>) -> Self {
        let class = |name| ClassCounters {
            name,
            ..ClassCounters::default()
        };
        RequestCounters {
            classes: classes.into_iter().map(class).collect(),
        }
    }

    /// Classes are few, and fixed by the settings.
    pub fn class(&self, name: &str) -> usize {
        self.classes
            .iter()
            .position(|c| c.name == name)
            .unwrap_or(0)
    }

    pub fn answered(&self, class: usize, answer: &Response) {
        let Some(c) = self.classes.get(class) else {
            return;
        };
        let count = match answer {
            Response::Served(_) | Response::Streaming(..) => &c.served,
            Response::Rejected { .. } => &c.refused,
            Response::Failed { .. } => &c.failed,
        };
        count.set(count.get() + 1);
    }

    pub fn attempted(&self, class: usize) {
        if let Some(c) = self.classes.get(class) {
            c.attempts.set(c.attempts.get() + 1);
        }
    }
}
