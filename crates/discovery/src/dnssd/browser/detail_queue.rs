//! Queue of detail queries: queries for single record sets of instances and hosts. A token bucket limits their rate.

use crate::dnssd::wire::{Name, RecordType};
use std::collections::{BTreeSet, VecDeque};

/// A record set to query: the records of one type under one name.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Detail {
    pub(super) name: Name,
    pub(super) record_type: RecordType,
}

/// The end of the queue at which a detail is added.
#[derive(Clone, Copy)]
pub(super) enum QueuePosition {
    /// Before all others: no value of the record set is known yet.
    Front,
    /// After all others: a refresh of a known value.
    Back,
}

/// The queued detail queries and the token bucket that limits their rate.
pub(super) struct DetailQueue {
    queue: VecDeque<Detail>,
    /// The entries of `queue` as a set, for duplicate detection.
    queued: BTreeSet<Detail>,
    /// Number of queries that may be sent now.
    tokens: f64,
    refilled_at_us: u64,
}

impl DetailQueue {
    pub(super) fn new(now_us: u64) -> Self {
        DetailQueue {
            queue: VecDeque::new(),
            queued: BTreeSet::new(),
            tokens: 1.0,
            refilled_at_us: now_us,
        }
    }

    /// Adds a detail, unless the same one is already queued.
    pub(super) fn push(&mut self, detail: Detail, position: QueuePosition) {
        if self.queued.insert(detail.clone()) {
            match position {
                QueuePosition::Front => self.queue.push_front(detail),
                QueuePosition::Back => self.queue.push_back(detail),
            }
        }
    }

    /// Adds the tokens for the time since the last call, at `rate_per_s` tokens per second.
    pub(super) fn refill(&mut self, now_us: u64, rate_per_s: f64) {
        let elapsed_us = now_us.saturating_sub(self.refilled_at_us);
        let saved = self.tokens + rate_per_s * elapsed_us as f64 / 1e6;
        // The capacity is the tokens of a tenth of a second, and at least 1, so that a whole token can accumulate at
        // rates below 10 per second.
        self.tokens = saved.min(rate_per_s / 10.0).max(1.0f64.min(saved));
        self.refilled_at_us = now_us;
    }

    /// Removes and returns the next detail; `None` while the queue is empty or no token is available.
    pub(super) fn pop(&mut self) -> Option<Detail> {
        if self.tokens < 1.0 {
            return None;
        }
        let detail = self.queue.pop_front()?;
        self.queued.remove(&detail);
        self.tokens -= 1.0;
        Some(detail)
    }

    /// Returns the time at which [`DetailQueue::pop`] next yields a detail; `None` while the queue is empty.
    pub(super) fn next_pop_at_us(&self, rate_per_s: f64) -> Option<u64> {
        if self.queue.is_empty() {
            return None;
        }
        let wait_s = (1.0 - self.tokens).max(0.0) / rate_per_s;
        Some(self.refilled_at_us + (wait_s * 1e6).ceil() as u64)
    }
}
