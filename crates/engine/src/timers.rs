//! What falls due, in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::time::Instant;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Interval,
    /// A request's own, by its id.
    Request(u64),
    /// A customer's, by its short name.
    Customer(u32),
    /// The last moment for a request's answer, by its id.
    Backstop(u64),
}

#[derive(Default)]
pub struct Timers(BinaryHeap<Reverse<(Instant, Due)>>);

impl Timers {
    /// Whether it falls due before all others.
    pub fn set(&mut self, at: Instant, due: Due) -> bool {
        let first = self.first().is_none_or(|first| at < first);
        self.0.push(Reverse((at, due)));
        first
    }

    pub fn first(&self) -> Option<Instant> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    pub fn pop_due(&mut self, now: Instant) -> Option<Due> {
        let due = self.first().is_some_and(|at| at <= now);
        due.then(|| self.0.pop())
            .flatten()
            .map(|Reverse((_, due))| due)
    }
}
