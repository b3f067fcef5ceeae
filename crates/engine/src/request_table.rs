//! The table of requests that have no final response yet or whose attempts are still running.

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
    /// The server that the attempt is made on.
    pub server: ServerId,
    /// When the attempt was started.
    pub started_at: Instant,
    /// The handle of the attempt's task; aborting the task cancels the attempt.
    pub task: AbortHandle,
}

impl RunningAttempt {
    /// Returns the time since the attempt started, in microseconds.
    pub fn elapsed_us(&self) -> Micros {
        self.elapsed_us_at(Instant::now())
    }

    /// Returns the time from the start of the attempt to `end`, in microseconds.
    pub fn elapsed_us_at(&self, end: Instant) -> Micros {
        end.duration_since(self.started_at).as_micros() as Micros
    }
}

/// A request in the table.
pub struct PendingRequest {
    /// The index of the request's class in the counters.
    pub class_index: usize,
    /// The sender of the final response; `None` once the response is sent or the client has gone.
    pub response_sender: Option<oneshot::Sender<Response>>,
    /// Whether the client still waits; shared with the permits of the attempts, which deny writes once the client has
    /// stopped waiting.
    pub client: ClientPresence,
    /// The latest moment for the final response.
    pub answer_deadline: Instant,
    /// When the client stops waiting for the response, or the last answer deadline of the process if that is earlier.
    pub client_deadline: Instant,
    /// The part of the request that each attempt sends to a server; `None` once the request is closed, as attempts may
    /// last much longer.
    pub payload: Option<Box<dyn Payload>>,
    /// Whether attempts can be cancelled; see [`Payload::can_cancel_attempts`].
    pub can_cancel_attempts: bool,
    /// The attempts, indexed by attempt number; `None` for an attempt that has ended.
    pub attempts: Vec<Option<RunningAttempt>>,
    /// Whether the attempt that ended last received no response in time.
    pub last_attempt_timed_out: bool,
    /// Whether an attempt's response began and fell silent. A response that is passed on could not be replaced if it did so
    /// as well, so those of further attempts have to be complete.
    pub had_silent_response: bool,
}

impl PendingRequest {
    /// Returns whether the final response is still to be sent.
    pub fn is_open(&self) -> bool {
        self.response_sender.is_some()
    }

    /// Closes the request, so that no response is sent any more; returns the sender if the request was open.
    pub fn close(&mut self) -> Option<oneshot::Sender<Response>> {
        self.client.record_gone();
        self.payload = None;
        self.response_sender.take()
    }

    /// Sends and counts the final response; returns `false` if the request was already closed.
    pub fn respond(&mut self, counters: &RequestCounters, response: Response) -> bool {
        let Some(sender) = self.close() else {
            return false;
        };
        counters.record_response(self.class_index, &response);
        // Sending fails if the client has gone in the meantime.
        let _ = sender.send(response);
        true
    }

    /// Removes and returns the attempt with this number; `None` if it is not running.
    pub fn take_attempt(&mut self, attempt: usize) -> Option<RunningAttempt> {
        self.attempts.get_mut(attempt).and_then(Option::take)
    }

    fn is_finished(&self) -> bool {
        !self.is_open() && self.attempts.iter().all(Option::is_none)
    }
}

/// The requests that the engine holds, by id. The front ends bound the open requests, over HTTP by the number of client
/// connections and over Diameter in bytes. The back ends bound the attempts that outlast their requests.
#[derive(Default)]
pub struct RequestTable(HashMap<RequestId, PendingRequest>);

impl RequestTable {
    /// Returns whether a request with this id is in the table.
    pub fn contains(&self, id: RequestId) -> bool {
        self.0.contains_key(&id)
    }

    /// Adds a request, replacing one with the same id.
    pub fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.0.insert(id, request);
    }

    /// Returns the request with this id.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.0.get_mut(&id)
    }

    /// Returns the ids of the requests whose final response is still to be sent.
    pub fn open_ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.0
            .iter()
            .filter(|(_, request)| request.is_open())
            .map(|(id, _)| *id)
    }

    /// Sets the answer deadline of each open request to `latest` if it is later; returns the ids of the changed
    /// requests.
    pub fn limit_answer_deadlines(&mut self, latest: Instant) -> Vec<RequestId> {
        let mut changed = Vec::new();
        for (id, request) in &mut self.0 {
            if request.is_open() && request.answer_deadline > latest {
                request.answer_deadline = latest;
                changed.push(*id);
            }
        }
        changed
    }

    /// Removes a request if it is closed and none of its attempts is running.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        if self.0.get(&id).is_some_and(PendingRequest::is_finished) {
            self.0.remove(&id);
        }
    }
}
