//! Counts of responses and attempts by class of request, since the process started.

use crate::ports::Response;
use std::cell::Cell;

/// The counts of one class.
#[derive(Default)]
pub struct ClassCounters {
    /// The class as the configuration names it.
    pub name: String,
    /// Requests that a server has answered.
    pub served: Cell<u64>,
    /// Requests rejected by the gateway.
    pub rejected: Cell<u64>,
    /// Requests that failed.
    pub failed: Cell<u64>,
    /// Attempts written completely to servers.
    pub attempts: Cell<u64>,
}

/// The counts of all classes.
#[derive(Default)]
pub struct RequestCounters {
    /// The classes, in the order of the configuration.
    pub classes: Vec<ClassCounters>,
}

impl RequestCounters {
    /// Counters at zero for the named classes.
    pub fn new(classes: impl IntoIterator<Item = String>) -> Self {
        let class = |name| ClassCounters {
            name,
            ..ClassCounters::default()
        };
        RequestCounters {
            classes: classes.into_iter().map(class).collect(),
        }
    }

    /// The index of a class; 0 for an unknown name. A linear search, as classes are few.
    pub fn class_index(&self, name: &str) -> usize {
        self.classes
            .iter()
            .position(|class| class.name == name)
            .unwrap_or(0)
    }

    /// Counts the final response of a request of the class with this index.
    pub fn record_response(&self, class: usize, answer: &Response) {
        let Some(class) = self.classes.get(class) else {
            return;
        };
        let count = match answer {
            Response::Served(_) | Response::Streaming(..) => &class.served,
            Response::Rejected { .. } => &class.rejected,
            Response::Failed { .. } => &class.failed,
        };
        count.set(count.get() + 1);
    }

    /// Counts an attempt written completely for a request of the class with this index.
    pub fn record_attempt(&self, class: usize) {
        if let Some(class) = self.classes.get(class) {
            class.attempts.set(class.attempts.get() + 1);
        }
    }
}
