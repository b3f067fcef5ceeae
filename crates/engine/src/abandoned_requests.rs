//! The ids of requests whose clients left while a server may have had them.
//!
//! The id is new with every request, also with a client's retry, so an id that comes again is the same request. A server
//! may still run it after its attempt was cancelled.

use frosthatch_traffic_control::RequestId;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an id is kept: longer than a client waits for an answer, and a server works on a request.
const RETENTION: Duration = Duration::from_secs(5);
/// Upper bound of the ids, some 300 KB; beyond it the oldest is dropped.
const MAX_IDS: usize = 8_192;

/// The ids of requests that were abandoned lately.
#[derive(Default)]
pub struct AbandonedRequests {
    ids: HashSet<RequestId>,
    /// The ids with the time when each is dropped, oldest first.
    expiries: VecDeque<(Instant, RequestId)>,
}

impl AbandonedRequests {
    /// Adds the id of a request that is abandoned now.
    pub fn insert(&mut self, id: RequestId) {
        self.drop_expired();
        if self.expiries.len() >= MAX_IDS {
            self.drop_oldest();
        }
        if self.ids.insert(id) {
            self.expiries.push_back((Instant::now() + RETENTION, id));
        }
    }

    /// Returns whether a request with this id was abandoned lately.
    pub fn contains(&mut self, id: RequestId) -> bool {
        self.drop_expired();
        self.ids.contains(&id)
    }

    fn drop_expired(&mut self) {
        let now = Instant::now();
        while self.expiries.front().is_some_and(|(at, _)| *at <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, id)) = self.expiries.pop_front() {
            self.ids.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
