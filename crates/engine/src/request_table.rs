//! The requests that the engine holds: those without a final response, and those with attempts still running.

use crate::attempt_permit::ClientPresence;
use crate::counters::RequestCounters;
use crate::ports::{Payload, Response};
use frosthatch_traffic_control::{Micros, RequestId, ServerId};
use std::collections::HashMap;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// An attempt that has not ended.
pub struct RunningAttempt {
    /// The server that it was sent to.
    pub server: ServerId,
    /// When it was started.
    pub started_at: Instant,
    /// Aborting the task cancels the attempt.
    pub task: AbortHandle,
}

impl RunningAttempt {
    /// Microseconds since the attempt started.
    pub fn elapsed_us(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }
}

/// A request in the table.
pub struct PendingRequest {
    /// Index of the request's class in the counters.
    pub class: usize,
    /// Present until the final response is sent or the client has gone.
    pub response_sender: Option<oneshot::Sender<Response>>,
    /// Shared with the permits of the attempts: none of them starts once the client no longer waits.
    pub client: ClientPresence,
    /// The latest moment for the final response.
    pub answer_by: Instant,
    /// When the client leaves.
    pub client_leaves_at: Instant,
    /// What goes to a server with each attempt.
    pub payload: Box<dyn Payload>,
    /// By attempt number; `None` where the attempt has ended.
    pub attempts: Vec<Option<RunningAttempt>>,
    /// Whether the attempt that ended last got no response in time.
    pub last_attempt_timed_out: bool,
}

impl PendingRequest {
    /// Whether the final response is still owed.
    pub fn is_open(&self) -> bool {
        self.response_sender.is_some()
    }

    /// Records that no response is owed any more; returns the sender if one was owed.
    pub fn close(&mut self) -> Option<oneshot::Sender<Response>> {
        self.client.record_gone();
        self.response_sender.take()
    }

    /// Sends and counts the final response; returns `false` if the request was closed before.
    pub fn respond(&mut self, counters: &RequestCounters, response: Response) -> bool {
        let Some(sender) = self.close() else {
            return false;
        };
        counters.record_response(self.class, &response);
        // The client may have gone meanwhile.
        let _ = sender.send(response);
        true
    }

    /// Takes an attempt out of the running ones, if it is one of them.
    pub fn take_attempt(&mut self, attempt: usize) -> Option<RunningAttempt> {
        self.attempts.get_mut(attempt).and_then(Option::take)
    }

    fn is_finished(&self) -> bool {
        !self.is_open() && self.attempts.iter().all(Option::is_none)
    }
}

/// All requests held, by id. The table is bounded by the number of client connections: each has at most one request, which
/// is closed when its client goes.
#[derive(Default)]
pub struct RequestTable(HashMap<RequestId, PendingRequest>);

impl RequestTable {
    /// Whether a request with this id is in the table.
    pub fn contains(&self, id: RequestId) -> bool {
        self.0.contains_key(&id)
    }

    /// Adds a request, in place of one with the same id.
    pub fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.0.insert(id, request);
    }

    /// The request with this id.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.0.get_mut(&id)
    }

    /// The requests whose final response is still owed.
    pub fn open_ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.0
            .iter()
            .filter(|(_, request)| request.is_open())
            .map(|(id, _)| *id)
    }

    /// Brings forward the answer deadline of the open requests that have a later one; returns those.
    pub fn limit_answer_deadlines(&mut self, by: Instant) -> Vec<RequestId> {
        let mut changed = Vec::new();
        for (id, request) in &mut self.0 {
            if request.is_open() && request.answer_by > by {
                request.answer_by = by;
                changed.push(*id);
            }
        }
        changed
    }

    /// Removes a request that is closed once none of its attempts is running.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        if self.0.get(&id).is_some_and(PendingRequest::is_finished) {
            self.0.remove(&id);
        }
    }
}
