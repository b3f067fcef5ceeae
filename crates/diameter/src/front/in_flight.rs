//! Requests that have been submitted and are not answered yet.

use crate::credit::RequestKey;
use frosthatch_traffic_control::RequestId;
use std::collections::HashMap;

/// One of them.
#[derive(Clone)]
pub(super) struct InFlightRequest {
    pub(super) key: RequestKey,
    /// It is of the class that is idempotent by its key only.
    pub(super) is_charge: bool,
    /// Approximate memory of its AVPs.
    pub(super) bytes: usize,
}

/// All of them, with the sum of their memory.
#[derive(Default)]
pub(super) struct InFlightRequests {
    requests: HashMap<RequestId, InFlightRequest>,
    bytes: usize,
}

impl InFlightRequests {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn insert(&mut self, id: RequestId, request: InFlightRequest) {
        self.bytes += request.bytes;
        self.requests.insert(id, request);
    }

    pub(super) fn remove(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.bytes -= request.bytes;
        }
    }

    /// A copy, for changes while going through them.
    pub(super) fn snapshot(&self) -> Vec<(RequestId, InFlightRequest)> {
        self.requests
            .iter()
            .map(|(id, request)| (*id, request.clone()))
            .collect()
    }
}
