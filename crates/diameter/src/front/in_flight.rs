//! Requests that have been submitted to the engine and are not answered yet.

use crate::codec::Message;
use crate::credit::RequestKey;
use crate::servers::AttemptHistory;
use frosthatch_traffic_control::RequestId;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// A request in flight.
#[derive(Clone)]
pub(super) struct InFlightRequest {
    pub(super) key: RequestKey,
    pub(super) ccr: Rc<Message>,
    /// Approximate memory use of the request's AVPs.
    pub(super) bytes: usize,
    /// What the request's attempts have come to.
    pub(super) history: Rc<AttemptHistory>,
}

/// All requests in flight, with the sum of their memory use.
#[derive(Default)]
pub(super) struct InFlightRequests {
    requests: HashMap<RequestId, InFlightRequest>,
    ids: BTreeMap<RequestKey, RequestId>,
    bytes: usize,
}

impl InFlightRequests {
    /// Returns the number of requests in flight.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the approximate memory use of all requests in flight.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn insert(&mut self, id: RequestId, request: InFlightRequest) {
        self.bytes += request.bytes;
        self.ids.insert(request.key.clone(), id);
        self.requests.insert(id, request);
    }

    pub(super) fn remove(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.bytes -= request.bytes;
            self.ids.remove(&request.key);
        }
    }

    /// Returns the id of the request with this key.
    pub(super) fn id_of(&self, key: &RequestKey) -> Option<RequestId> {
        self.ids.get(key).copied()
    }

    /// Returns a copy of all requests, so that requests can be removed while iterating over the copy.
    pub(super) fn snapshot(&self) -> Vec<(RequestId, InFlightRequest)> {
        self.requests
            .iter()
            .map(|(id, request)| (*id, request.clone()))
            .collect()
    }
}
