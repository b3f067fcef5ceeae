//! The endpoints that are listed, the marks of operators on them, and the takeover by another source. No I/O.

use frosthatch_engine::{Endpoint, EndpointState};
use frosthatch_traffic_control::ListKind;
use std::collections::{HashMap, HashSet};

/// How long an endpoint drains that a new source does not list, in microseconds: longer than any request takes.
const TAKEOVER_DRAIN_US: u64 = 10_000_000;
/// Limit on the marks; those on endpoints that are no longer listed are dropped first.
const MAX_MARKS: usize = 4_096;

/// What an operator has done to an endpoint by hand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OperatorMark {
    /// When it was taken out, as Unix time in milliseconds.
    pub out_ms: u64,
    /// When it was put back; `None`: it is out.
    pub back_ms: Option<u64>,
}

impl OperatorMark {
    fn is_out(&self) -> bool {
        self.back_ms.is_none()
    }
}

/// An endpoint that the present source does not list, after a takeover.
struct DrainingEndpoint {
    uid: String,
    remove_at_us: u64,
}

/// The endpoints as the source lists them, with the marks that change how the engine gets them.
#[derive(Default)]
pub struct EndpointTable {
    listed: HashMap<String, Endpoint>,
    marks: HashMap<String, OperatorMark>,
    /// Whether the next complete list is the first of another source.
    is_taking_over: bool,
    draining: Vec<DrainingEndpoint>,
}

impl EndpointTable {
    /// The next complete list comes from another source: endpoints that it lacks drain instead of being removed.
    pub fn begin_takeover(&mut self) {
        self.is_taking_over = !self.listed.is_empty();
    }

    /// All listed endpoints as the source gave them.
    pub fn source_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.listed.values()
    }

    /// All listed endpoints with the marks applied, as the engine gets them.
    pub fn effective_endpoints(&self) -> impl Iterator<Item = Endpoint> + '_ {
        self.listed
            .values()
            .map(|endpoint| self.with_mark(endpoint.clone()))
    }

    /// Takes an endpoint out until it is put back, whatever the source lists. Returns the update for the engine, or `None`
    /// if no such endpoint is known.
    pub fn take_out(&mut self, now_us: u64, uid: &str) -> Option<Vec<Endpoint>> {
        let is_out = self.marks.get(uid).is_some_and(OperatorMark::is_out);
        if is_out {
            return Some(self.effective_endpoint(uid));
        }
        if !self.listed.contains_key(uid) {
            return None;
        }
        let mark = OperatorMark {
            out_ms: now_us / 1_000,
            back_ms: None,
        };
        Some(self.set_mark(uid, mark))
    }

    /// Puts an endpoint back, however often it was taken out. Returns the update for the engine, or `None` if no such
    /// endpoint is known.
    pub fn put_back(&mut self, now_us: u64, uid: &str) -> Option<Vec<Endpoint>> {
        match self.marks.get_mut(uid).filter(|mark| mark.is_out()) {
            Some(mark) => mark.back_ms = Some(now_us / 1_000),
            None if !self.listed.contains_key(uid) => return None,
            None => {}
        }
        Some(self.effective_endpoint(uid))
    }

    /// The mark on an endpoint.
    pub fn mark(&self, uid: &str) -> Option<OperatorMark> {
        self.marks.get(uid).copied()
    }

    /// All marks, by uid.
    pub fn marks(&self) -> impl Iterator<Item = (&String, &OperatorMark)> {
        self.marks.iter()
    }

    /// Sets a mark and returns the update for the engine.
    pub fn set_mark(&mut self, uid: &str, mark: OperatorMark) -> Vec<Endpoint> {
        if !self.marks.contains_key(uid) {
            self.make_room_for_mark();
        }
        self.marks.insert(uid.into(), mark);
        self.effective_endpoint(uid)
    }

    /// One endpoint with its mark applied; empty if it is not listed.
    fn effective_endpoint(&self, uid: &str) -> Vec<Endpoint> {
        self.listed
            .get(uid)
            .map(|endpoint| self.with_mark(endpoint.clone()))
            .into_iter()
            .collect()
    }

    /// Drops marks that have no effect any more, and then the oldest, those on endpoints that are not listed first.
    fn make_room_for_mark(&mut self) {
        if self.marks.len() < MAX_MARKS {
            return;
        }
        let listed = &self.listed;
        self.marks
            .retain(|uid, mark| mark.is_out() || listed.contains_key(uid));
        while self.marks.len() >= MAX_MARKS {
            let oldest = self
                .marks
                .iter()
                .min_by_key(|(uid, mark)| (listed.contains_key(*uid), mark.out_ms));
            let Some(uid) = oldest.map(|(uid, _)| uid.clone()) else {
                return;
            };
            self.marks.remove(&uid);
        }
    }

    /// An endpoint with the effect of its mark.
    fn with_mark(&self, mut endpoint: Endpoint) -> Endpoint {
        let Some(mark) = self.marks.get(&endpoint.uid) else {
            return endpoint;
        };
        match mark.back_ms {
            None => {
                if endpoint.state == EndpointState::Ready {
                    endpoint.state = EndpointState::Draining;
                }
            }
            // The endpoint may have been restarted while it was out, which the list may show only later. Until then it
            // counts as started when it was put back, so that it warms up.
            Some(back_ms) => {
                if endpoint.started_ms < mark.out_ms {
                    endpoint.started_ms = back_ms;
                }
            }
        }
        endpoint
    }

    /// Applies a list, or a change of the list, from the present source. Returns the update for the engine.
    pub fn apply_update(
        &mut self,
        now_us: u64,
        kind: ListKind,
        mut endpoints: Vec<Endpoint>,
    ) -> Vec<Endpoint> {
        if kind != ListKind::Partial {
            if std::mem::take(&mut self.is_taking_over) {
                let unlisted = self.drain_unlisted(now_us, &endpoints);
                endpoints.extend(unlisted);
            }
            self.listed.clear();
        }
        for endpoint in &endpoints {
            if endpoint.state == EndpointState::Gone {
                self.listed.remove(&endpoint.uid);
            } else {
                self.listed.insert(endpoint.uid.clone(), endpoint.clone());
            }
        }
        // One that the new source lists as ready stays.
        let listed = &self.listed;
        self.draining.retain(|draining| {
            listed
                .get(&draining.uid)
                .is_some_and(|endpoint| endpoint.state == EndpointState::Draining)
        });
        endpoints
            .into_iter()
            .map(|endpoint| self.with_mark(endpoint))
            .collect()
    }

    /// Lets the endpoints drain that a new source's first list lacks: the sources may use different uids for the same
    /// endpoint, and removal would cut off its requests in flight.
    fn drain_unlisted(&mut self, now_us: u64, new_list: &[Endpoint]) -> Vec<Endpoint> {
        let named: HashSet<&str> = new_list.iter().map(|e| e.uid.as_str()).collect();
        let unlisted: Vec<Endpoint> = self
            .listed
            .values()
            .filter(|endpoint| !named.contains(endpoint.uid.as_str()))
            .map(|endpoint| Endpoint {
                state: EndpointState::Draining,
                ..endpoint.clone()
            })
            .collect();
        let remove_at_us = now_us + TAKEOVER_DRAIN_US;
        let draining = unlisted.iter().map(|endpoint| DrainingEndpoint {
            uid: endpoint.uid.clone(),
            remove_at_us,
        });
        self.draining.extend(draining);
        unlisted
    }

    /// Removes the endpoints whose time to drain is over, and returns them as gone.
    pub fn remove_drained(&mut self, now_us: u64) -> Vec<Endpoint> {
        let is_due = |draining: &mut DrainingEndpoint| draining.remove_at_us <= now_us;
        let due: Vec<DrainingEndpoint> = self.draining.extract_if(.., is_due).collect();
        due.into_iter()
            .filter_map(|draining| self.listed.remove(&draining.uid))
            .map(|endpoint| Endpoint {
                state: EndpointState::Gone,
                ..endpoint
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
