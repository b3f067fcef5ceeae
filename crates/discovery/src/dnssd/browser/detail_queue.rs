//! Queue of the single records that still have to be queried, with a token bucket that bounds the rate.

use crate::dnssd::wire::{Name, RecordType};
use std::collections::{BTreeSet, VecDeque};

/// One record set to query.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Detail {
    pub(super) name: Name,
    pub(super) record_type: RecordType,
}

/// Which end of the queue a detail joins.
#[derive(Clone, Copy)]
pub(super) enum QueuePosition {
    /// Before all others: nothing is known of it yet.
    Front,
    /// After all others: a refresh of something known.
    Back,
}

pub(super) struct DetailQueue {
    queue: VecDeque<Detail>,
    /// The members of `queue`.
    queued: BTreeSet<Detail>,
    /// Queries that may be sent now.
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

    /// Adds a detail unless it is queued already.
    pub(super) fn push(&mut self, detail: Detail, position: QueuePosition) {
        if self.queued.insert(detail.clone()) {
            match position {
                QueuePosition::Front => self.queue.push_front(detail),
                QueuePosition::Back => self.queue.push_back(detail),
            }
        }
    }

    /// Adds the tokens earned since the last call.
    pub(super) fn refill(&mut self, now_us: u64, rate_per_s: f64) {
        let elapsed_us = now_us.saturating_sub(self.refilled_at_us);
        let saved = self.tokens + rate_per_s * elapsed_us as f64 / 1e6;
        // A tenth of a second's worth at most, but never so little that a whole token cannot be saved.
        self.tokens = saved.min(rate_per_s / 10.0).max(1.0f64.min(saved));
        self.refilled_at_us = now_us;
    }

    /// The next detail, if there is one and a token for it.
    pub(super) fn pop(&mut self) -> Option<Detail> {
        if self.tokens < 1.0 {
            return None;
        }
        let detail = self.queue.pop_front()?;
        self.queued.remove(&detail);
        self.tokens -= 1.0;
        Some(detail)
    }

    /// When the next detail may be taken; `None` while the queue is empty.
    pub(super) fn next_pop_at_us(&self, rate_per_s: f64) -> Option<u64> {
        if self.queue.is_empty() {
            return None;
        }
        let wait_s = (1.0 - self.tokens).max(0.0) / rate_per_s;
        Some(self.refilled_at_us + (wait_s * 1e6).ceil() as u64)
    }
}
