//! Pending timers, in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::time::Instant;

/// What a timer is for. Timers of one moment fire in the order of the variants.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKey {
    /// The periodic work of the decisions.
    Interval,
    /// A timer of the decisions for a request, by the request's id.
    Request(u64),
    /// A timer of the decisions for a customer, by the customer's tag.
    Customer(u32),
    /// The latest moment for a request's final response, by the request's id.
    AnswerDeadline(u64),
}

/// A queue of timers. Timers are not cancelled: whoever handles one checks whether it still matters.
#[derive(Default)]
pub struct Timers(BinaryHeap<Reverse<(Instant, TimerKey)>>);

impl Timers {
    /// Adds a timer; returns whether it is due before all others.
    pub fn set(&mut self, due_at: Instant, key: TimerKey) -> bool {
        let is_first = self.next_due_at().is_none_or(|next| due_at < next);
        self.0.push(Reverse((due_at, key)));
        is_first
    }

    /// When the next timer is due.
    pub fn next_due_at(&self) -> Option<Instant> {
        self.0.peek().map(|Reverse((due_at, _))| *due_at)
    }

    /// Removes the next timer if it is due by `now`.
    pub fn pop_due(&mut self, now: Instant) -> Option<TimerKey> {
        if self.next_due_at()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, key))| key)
    }
}
