//! Detection of duplicate requests (RFC 6733 section 3): which requests are in flight, and cached answers.

use super::mapping::Mapping;
use super::request::RequestKey;
use crate::codec::Message;
use std::collections::{BTreeMap, VecDeque};

enum Entry<C> {
    /// The clients that wait for the answer.
    InFlight(Vec<C>),
    Answered(Message),
}

struct Expiry {
    at_us: u64,
    key: RequestKey,
}

/// Requests that are in flight or were answered lately, with the clients `C` that wait for them.
pub(super) struct DuplicateTable<C> {
    entries: BTreeMap<RequestKey, Entry<C>>,
    /// Of cached answers, oldest first.
    expiries: VecDeque<Expiry>,
    cached_bytes: usize,
}

impl<C> DuplicateTable<C> {
    pub(super) fn new() -> Self {
        DuplicateTable {
            entries: BTreeMap::new(),
            expiries: VecDeque::new(),
            cached_bytes: 0,
        }
    }

    /// The clients that wait for a request in flight.
    pub(super) fn waiting_clients(&mut self, key: &RequestKey) -> Option<&mut Vec<C>> {
        match self.entries.get_mut(key) {
            Some(Entry::InFlight(clients)) => Some(clients),
            _ => None,
        }
    }

    pub(super) fn cached_answer(&self, key: &RequestKey) -> Option<&Message> {
        match self.entries.get(key) {
            Some(Entry::Answered(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Makes room for one more request, and returns whether there is any. Requests in flight are never evicted.
    pub(super) fn make_room(&mut self, max_entries: usize) -> bool {
        self.entries.len() < max_entries || self.evict_oldest_answer()
    }

    pub(super) fn insert_in_flight(&mut self, key: RequestKey, client: C) {
        self.entries.insert(key, Entry::InFlight(vec![client]));
    }

    /// Removes a request, also if it was answered. Returns the clients that wait for it, `None` if it is not in flight.
    pub(super) fn remove(&mut self, key: &RequestKey) -> Option<Vec<C>> {
        match self.entries.remove(key) {
            Some(Entry::InFlight(clients)) => Some(clients),
            _ => None,
        }
    }

    /// Caches an answer for duplicates of its request.
    pub(super) fn cache_answer(
        &mut self,
        now_us: u64,
        key: &RequestKey,
        answer: &Message,
        mapping: &Mapping,
    ) {
        self.cached_bytes += answer.memory_bytes();
        self.entries
            .insert(key.clone(), Entry::Answered(answer.clone()));
        self.expiries.push_back(Expiry {
            at_us: now_us + mapping.duplicate_window_us,
            key: key.clone(),
        });
        self.shrink_to(mapping.max_cached_answer_bytes);
    }

    /// Evicts the oldest answers until the others fit into so many bytes.
    pub(super) fn shrink_to(&mut self, max_bytes: usize) {
        while self.cached_bytes > max_bytes && self.evict_oldest_answer() {}
    }

    pub(super) fn evict_expired(&mut self, now_us: u64) {
        while self
            .expiries
            .front()
            .is_some_and(|expiry| expiry.at_us <= now_us)
        {
            self.evict_oldest_answer();
        }
    }

    /// Returns whether there was any.
    fn evict_oldest_answer(&mut self) -> bool {
        let Some(Expiry { key, .. }) = self.expiries.pop_front() else {
            return false;
        };
        if let Some(Entry::Answered(answer)) = self.entries.remove(&key) {
            self.cached_bytes = self.cached_bytes.saturating_sub(answer.memory_bytes());
        }
        true
    }
}
