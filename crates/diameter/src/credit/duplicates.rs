//! Detects duplicate requests (RFC 6733 section 3) by tracking requests in flight and cached answers.

use super::mapping::CreditControlConfig;
use super::request::RequestKey;
use crate::codec::Message;
use std::collections::{BTreeMap, VecDeque};

/// The state of a tracked request.
enum Entry<C> {
    /// The request is in flight; these clients wait for its answer.
    InFlight(Vec<C>),
    /// The request was answered; duplicates get this cached answer.
    Answered(Message),
}

/// The time at which the cached answer to a request expires.
struct Expiry {
    expires_at_us: u64,
    key: RequestKey,
}

/// Requests in flight with the clients `C` that wait for them, and cached answers of completed requests.
pub(super) struct DuplicateTable<C> {
    entries: BTreeMap<RequestKey, Entry<C>>,
    /// Expiry times of cached answers, oldest first.
    expiries: VecDeque<Expiry>,
    /// Approximate memory use of all cached answers.
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

    /// Returns the clients that wait for a request in flight, or `None` if it is not in flight.
    pub(super) fn waiting_clients(&mut self, key: &RequestKey) -> Option<&mut Vec<C>> {
        match self.entries.get_mut(key) {
            Some(Entry::InFlight(clients)) => Some(clients),
            _ => None,
        }
    }

    /// Returns the cached answer to a request.
    pub(super) fn cached_answer(&self, key: &RequestKey) -> Option<&Message> {
        match self.entries.get(key) {
            Some(Entry::Answered(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Makes room for one more request, if necessary by evicting the oldest cached answer, and returns whether there is
    /// room. Requests in flight are never evicted.
    pub(super) fn make_room(&mut self, max_entries: usize) -> bool {
        self.entries.len() < max_entries || self.evict_oldest_answer()
    }

    /// Inserts a request in flight that one client waits for.
    pub(super) fn insert_in_flight(&mut self, key: RequestKey, client: C) {
        self.entries.insert(key, Entry::InFlight(vec![client]));
    }

    /// Removes a request in flight or its cached answer. Returns the clients that wait for the request, or `None` if it is
    /// not in flight.
    pub(super) fn remove(&mut self, key: &RequestKey) -> Option<Vec<C>> {
        match self.entries.remove(key) {
            Some(Entry::InFlight(clients)) => Some(clients),
            _ => None,
        }
    }

    /// Caches the answer to a request for duplicates of that request.
    pub(super) fn cache_answer(
        &mut self,
        now_us: u64,
        key: &RequestKey,
        answer: &Message,
        mapping: &CreditControlConfig,
    ) {
        self.cached_bytes += answer.memory_bytes();
        self.entries
            .insert(key.clone(), Entry::Answered(answer.clone()));
        self.expiries.push_back(Expiry {
            expires_at_us: now_us + mapping.duplicate_window_us,
            key: key.clone(),
        });
        self.shrink_to(mapping.max_cached_answer_bytes);
    }

    /// Evicts the oldest cached answers until the remaining ones take at most `max_bytes`.
    pub(super) fn shrink_to(&mut self, max_bytes: usize) {
        while self.cached_bytes > max_bytes && self.evict_oldest_answer() {}
    }

    /// Evicts the cached answers that have expired.
    pub(super) fn evict_expired(&mut self, now_us: u64) {
        while self
            .expiries
            .front()
            .is_some_and(|expiry| expiry.expires_at_us <= now_us)
        {
            self.evict_oldest_answer();
        }
    }

    /// Evicts the oldest cached answer. Returns `false` if there is none.
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
