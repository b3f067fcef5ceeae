//! Table of the listed endpoints: applies list updates and operator marks, and handles the takeover by another source.
//! It performs no I/O.

use frosthatch_engine::{Endpoint, EndpointState};
use frosthatch_traffic_control::ListKind;
use std::collections::{HashMap, HashSet};

/// Drain time of endpoints that a new source does not list, in microseconds; longer than any request takes.
const TAKEOVER_DRAIN_US: u64 = 10_000_000;
/// Maximum number of marks. Marks on endpoints that are no longer listed are dropped first.
const MAX_MARKS: usize = 4_096;

/// Record that an operator took an endpoint out of service by hand, and whether it was put back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OperatorMark {
    /// When the endpoint was taken out, as Unix time in milliseconds.
    pub out_ms: u64,
    /// When the endpoint was put back, as Unix time in milliseconds; `None`: it is still out.
    pub back_ms: Option<u64>,
}

impl OperatorMark {
    fn is_out(&self) -> bool {
        self.back_ms.is_none()
    }
}

/// An endpoint that drains after a takeover because the current source does not list it.
struct DrainingEndpoint {
    uid: String,
    remove_at_us: u64,
}

/// The endpoints that the source lists, and the operator marks that modify the endpoints passed to the engine.
#[derive(Default)]
pub struct EndpointTable {
    listed: HashMap<String, Endpoint>,
    marks: HashMap<String, OperatorMark>,
    /// Whether the next complete list is the first list from another source.
    is_taking_over: bool,
    draining: Vec<DrainingEndpoint>,
}

impl EndpointTable {
    /// Prepares for another source: endpoints that its first complete list lacks drain instead of being removed at
    /// once.
    pub fn begin_takeover(&mut self) {
        self.is_taking_over = !self.listed.is_empty();
    }

    /// Returns all listed endpoints as received from the source.
    pub fn source_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.listed.values()
    }

    /// Returns all listed endpoints with the marks applied, as passed to the engine.
    pub fn effective_endpoints(&self) -> impl Iterator<Item = Endpoint> + '_ {
        self.listed
            .values()
            .map(|endpoint| self.with_mark(endpoint.clone()))
    }

    /// Takes an endpoint out of service until it is put back, whatever state the source lists. Returns the update for
    /// the engine, or `None` if the endpoint is neither listed nor out.
    pub fn take_out(&mut self, wall_clock_us: u64, uid: &str) -> Option<Vec<Endpoint>> {
        let is_out = self.marks.get(uid).is_some_and(OperatorMark::is_out);
        if is_out {
            return Some(self.effective_endpoint(uid));
        }
        if !self.listed.contains_key(uid) {
            return None;
        }
        let mark = OperatorMark {
            out_ms: wall_clock_us / 1_000,
            back_ms: None,
        };
        Some(self.set_mark(uid, mark))
    }

    /// Puts an endpoint back into service, however often it was taken out. Returns the update for the engine, or
    /// `None` if the endpoint is neither listed nor out.
    pub fn put_back(&mut self, wall_clock_us: u64, uid: &str) -> Option<Vec<Endpoint>> {
        match self.marks.get_mut(uid).filter(|mark| mark.is_out()) {
            Some(mark) => mark.back_ms = Some(wall_clock_us / 1_000),
            None if !self.listed.contains_key(uid) => return None,
            None => {}
        }
        Some(self.effective_endpoint(uid))
    }

    /// Returns the mark on an endpoint.
    pub fn mark(&self, uid: &str) -> Option<OperatorMark> {
        self.marks.get(uid).copied()
    }

    /// Returns all marks, by the uid of the endpoint.
    pub fn marks(&self) -> impl Iterator<Item = (&String, &OperatorMark)> {
        self.marks.iter()
    }

    /// Sets the mark on an endpoint and returns the update for the engine.
    pub fn set_mark(&mut self, uid: &str, mark: OperatorMark) -> Vec<Endpoint> {
        if !self.marks.contains_key(uid) {
            self.make_room_for_mark();
        }
        self.marks.insert(uid.into(), mark);
        self.effective_endpoint(uid)
    }

    /// Returns an endpoint with its mark applied; empty if the endpoint is not listed.
    fn effective_endpoint(&self, uid: &str) -> Vec<Endpoint> {
        self.listed
            .get(uid)
            .map(|endpoint| self.with_mark(endpoint.clone()))
            .into_iter()
            .collect()
    }

    /// Makes room for a mark if the table is full: drops marks without effect, then the oldest, those on unlisted
    /// endpoints first.
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

    /// Applies the mark on an endpoint, if there is one.
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
            // The endpoint may have restarted while it was out, which the list may show only later. Until then the
            // time at which it was put back serves as its start time, so that it warms up.
            Some(back_ms) => {
                if endpoint.started_ms < mark.out_ms {
                    endpoint.started_ms = back_ms;
                }
            }
        }
        endpoint
    }

    /// Applies a list, or a change to the list, from the current source. Returns the update for the engine.
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
        // An endpoint that the new source lists as ready is not removed.
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

    /// Starts to drain the endpoints that a new source's first list lacks, and returns them. The sources may use
    /// different uids for the same endpoint, and immediate removal would cut off its requests in flight.
    fn drain_unlisted(&mut self, now_us: u64, new_list: &[Endpoint]) -> Vec<Endpoint> {
        let new_uids: HashSet<&str> = new_list.iter().map(|e| e.uid.as_str()).collect();
        let unlisted: Vec<Endpoint> = self
            .listed
            .values()
            .filter(|endpoint| !new_uids.contains(endpoint.uid.as_str()))
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

    /// Removes the endpoints whose drain time is over, and returns them as gone.
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
