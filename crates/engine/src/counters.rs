//! Counters of responses and attempts by request class, since process start.

use crate::ports::Response;
use std::cell::Cell;

/// The counters of one request class.
#[derive(Default)]
pub struct ClassCounters {
    /// The name of the class in the configuration.
    pub name: String,
    /// Requests answered with the response of a server.
    pub served: Cell<u64>,
    /// Requests rejected by the gateway.
    pub rejected: Cell<u64>,
    /// Requests that failed at a server, on the way to it, or by a timeout.
    pub failed: Cell<u64>,
    /// Attempts written completely to servers.
    pub attempts: Cell<u64>,
}

/// The counters of all request classes.
#[derive(Default)]
pub struct RequestCounters {
    /// The counters of each class, in the order of the configuration.
    pub classes: Vec<ClassCounters>,
}

impl RequestCounters {
    /// Creates counters at zero for the named classes.
    pub fn new(classes: impl IntoIterator<Item = String>) -> Self {
        let class = |name| ClassCounters {
            name,
            ..ClassCounters::default()
        };
        RequestCounters {
            classes: classes.into_iter().map(class).collect(),
        }
    }

    /// Returns the index of the class `name`; 0 for an unknown name. Searches linearly, as there are few classes.
    pub fn class_index(&self, name: &str) -> usize {
        self.classes
            .iter()
            .position(|class| class.name == name)
            .unwrap_or(0)
    }

    /// Counts the final response to a request of the class `class_index`.
    pub fn record_response(&self, class_index: usize, response: &Response) {
        let Some(class) = self.classes.get(class_index) else {
            return;
        };
        let count = match response {
            Response::Served(_) | Response::Streaming(..) => &class.served,
            Response::Rejected { .. } => &class.rejected,
            Response::Failed { .. } => &class.failed,
        };
        count.set(count.get() + 1);
    }

    /// Counts an attempt that was written completely for a request of the class `class_index`.
    pub fn record_attempt(&self, class_index: usize) {
        if let Some(class) = self.classes.get(class_index) {
            class.attempts.set(class.attempts.get() + 1);
        }
    }
}
