//! The path of a request from its arrival to its one final response.

use super::{Engine, State, EVENT_TARGET};
use crate::attempt_permit::ClientPresence;
use crate::ports::{DuplicateRequest, IncomingRequest, Response};
use crate::request_table::PendingRequest;
use crate::timers::TimerKey;
use crate::violations::Rule;
use frosthatch_traffic_control::{Event, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::debug;

/// The decisions may use the time until this long before the client leaves: the way to the client and a late timer are
/// deducted.
const DECISION_MARGIN: Duration = Duration::from_millis(12);
/// Whatever happens, the response is sent this long before the client leaves.
const RESPONSE_MARGIN: Duration = Duration::from_millis(6);

impl Engine {
    /// Takes a request. Its one response is sent to the returned receiver before the client leaves.
    ///
    /// # Errors
    /// A request with the same id is already held.
    pub fn submit(
        self: &Rc<Self>,
        arrival: IncomingRequest,
    ) -> Result<oneshot::Receiver<Response>, DuplicateRequest> {
        let (sender, receiver) = oneshot::channel();
        let IncomingRequest {
            mut request,
            client_leaves_at: gone_at,
            payload,
        } = arrival;
        let client_leaves_at = self
            .answer_all_by
            .get()
            .map_or(gone_at, |by| gone_at.min(by));
        let answer_by = client_leaves_at
            .checked_sub(RESPONSE_MARGIN)
            .unwrap_or(client_leaves_at);
        {
            let mut state = self.state.borrow_mut();
            if state.requests.contains(request.id) {
                return Err(DuplicateRequest);
            }
            let pending = PendingRequest {
                class: self.counters.class_index(&request.class),
                response_sender: Some(sender),
                client: ClientPresence::default(),
                answer_by,
                client_leaves_at,
                payload,
                attempts: Vec::new(),
                last_attempt_timed_out: false,
            };
            state.requests.insert(request.id, pending);
            let key = TimerKey::AnswerDeadline(request.id.0);
            self.set_timer(&mut state, answer_by, key);
        }
        let remaining =
            client_leaves_at.saturating_duration_since(Instant::now() + DECISION_MARGIN);
        request.remaining_us = remaining.as_micros() as u64;
        debug!(
            target: EVENT_TARGET,
            request = request.id.0,
            class = %request.class,
            remaining_us = request.remaining_us,
            "request.accepted"
        );
        self.feed(Event::Request(request));
        Ok(receiver)
    }

    /// Records that a request's client has gone: attempts that are running for it are cancelled.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        let was_open = match self.state.borrow_mut().requests.get_mut(id) {
            Some(request) => request.close().is_some(),
            None => false,
        };
        if was_open {
            debug!(target: EVENT_TARGET, request = id.0, "request.client_gone");
            self.feed(Event::ClientGone(id));
            self.remove_if_finished(id);
        }
    }

    /// The number of requests taken and not yet answered.
    pub fn open_requests(&self) -> usize {
        self.state.borrow().requests.open_ids().count()
    }

    /// Prepares for the end of the process: every request held now or submitted later is answered by then.
    pub fn answer_all_by(&self, by: Instant) {
        self.answer_all_by.set(Some(by));
        let mut state = self.state.borrow_mut();
        for id in state.requests.limit_answer_deadlines(by) {
            self.set_timer(&mut state, by, TimerKey::AnswerDeadline(id.0));
        }
    }

    /// Counts the requests that are still unanswered at the end of the process as violations.
    pub fn record_unanswered_requests(&self) {
        for id in self.state.borrow().requests.open_ids() {
            self.violations.record(Rule::Answered, Some(id));
        }
    }

    /// Sends the final response, if none was sent. `make_response` is passed whether the request's last attempt
    /// timed out.
    pub(super) fn respond(
        &self,
        state: &mut State,
        id: RequestId,
        make_response: impl FnOnce(bool) -> Response,
    ) {
        let Some(request) = state.requests.get_mut(id) else {
            return;
        };
        let response = make_response(request.last_attempt_timed_out);
        request.respond(&self.counters, response);
        state.requests.remove_if_finished(id);
    }

    /// Fails a request that has no response at its answer deadline, so that its client gets one before it leaves.
    pub(super) fn enforce_answer_deadline(self: &Rc<Self>, id: RequestId) {
        let was_unanswered = match self.state.borrow_mut().requests.get_mut(id) {
            Some(request) if request.answer_by <= Instant::now() => {
                request.respond(&self.counters, Response::Failed { timed_out: true })
            }
            _ => false,
        };
        if was_unanswered {
            debug!(target: EVENT_TARGET, request = id.0, reason = "no_time_left", "request.failed");
            self.feed(Event::ClientGone(id));
            self.remove_if_finished(id);
        }
    }

    pub(super) fn remove_if_finished(&self, id: RequestId) {
        self.state.borrow_mut().requests.remove_if_finished(id);
    }
}
