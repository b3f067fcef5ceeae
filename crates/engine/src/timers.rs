//! The queue of pending timers, ordered by due time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::time::Instant;

/// The purpose of a timer. Timers that are due at the same moment fire in the order of the variants.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKey {
    /// The periodic timer of traffic control.
    Interval,
    /// A timer of traffic control for the request with this id.
    Request(u64),
    /// A timer of traffic control for the customer with this tag.
    Customer(u32),
    /// The latest moment for the final response to the request with this id.
    AnswerDeadline(u64),
}

/// A queue of timers. Timers cannot be cancelled: the handler of a timer checks whether it still applies.
#[derive(Default)]
pub struct Timers(BinaryHeap<Reverse<(Instant, TimerKey)>>);

impl Timers {
    /// Adds a timer; returns whether the timer is due before all others.
    pub fn set(&mut self, due_at: Instant, key: TimerKey) -> bool {
        let is_first = self.next_due_at().is_none_or(|next| due_at < next);
        self.0.push(Reverse((due_at, key)));
        is_first
    }

    /// Returns when the next timer is due; `None` if no timer is set.
    pub fn next_due_at(&self) -> Option<Instant> {
        self.0.peek().map(|Reverse((due_at, _))| *due_at)
    }

    /// Removes and returns the next timer if it is due by `now`.
    pub fn pop_due(&mut self, now: Instant) -> Option<TimerKey> {
        if self.next_due_at()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, key))| key)
    }
}
