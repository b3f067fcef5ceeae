//! Takes requests from front ends and ensures that each receives exactly one final response.

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

/// The part at the end of the client's wait that is withheld from traffic control. It covers the transmission of the
/// response to the client and a timer that fires late.
const DECISION_MARGIN: Duration = Duration::from_millis(12);
/// The minimum time between the final response and the moment when the client stops waiting.
const RESPONSE_MARGIN: Duration = Duration::from_millis(6);

/// Returns the time until which traffic control may act for a client that waits until `client_deadline`.
pub(super) fn decision_deadline(client_deadline: Instant) -> Instant {
    client_deadline
        .checked_sub(DECISION_MARGIN)
        .unwrap_or(client_deadline)
}

impl Engine {
    /// Accepts a request. Its final response is sent to the returned receiver before the client leaves.
    ///
    /// # Errors
    /// Returns [`DuplicateRequest`] if the engine holds a request with the same id, or one was abandoned lately.
    pub fn submit(
        self: &Rc<Self>,
        incoming: IncomingRequest,
    ) -> Result<oneshot::Receiver<Response>, DuplicateRequest> {
        let (sender, receiver) = oneshot::channel();
        let IncomingRequest {
            mut request,
            client_deadline: client_timeout_at,
            payload,
        } = incoming;
        let client_deadline = self
            .answer_all_by
            .get()
            .map_or(client_timeout_at, |deadline| {
                client_timeout_at.min(deadline)
            });
        let answer_deadline = client_deadline
            .checked_sub(RESPONSE_MARGIN)
            .unwrap_or(client_deadline);
        {
            let mut state = self.state.borrow_mut();
            let is_abandoned = state.abandoned_requests.contains(request.id);
            if is_abandoned || state.requests.contains(request.id) {
                return Err(DuplicateRequest);
            }
            let can_cancel_attempts = payload.can_cancel_attempts();
            let pending = PendingRequest {
                class_index: self.counters.class_index(&request.class),
                response_sender: Some(sender),
                client: ClientPresence::default(),
                answer_deadline,
                client_deadline,
                payload: Some(payload),
                can_cancel_attempts,
                attempts: Vec::new(),
                last_attempt_timed_out: false,
                had_silent_response: false,
            };
            state.requests.insert(request.id, pending);
            let key = TimerKey::AnswerDeadline(request.id.0);
            self.set_timer(&mut state, answer_deadline, key);
        }
        let remaining =
            decision_deadline(client_deadline).saturating_duration_since(Instant::now());
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

    /// Records that the client of request `id` has gone, and has the request's running attempts cancelled.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        if self.abandon(id) {
            debug!(target: EVENT_TARGET, request = id.0, "request.client_gone");
            self.feed(Event::ClientGone(id));
            self.remove_if_finished(id);
        }
    }

    /// Closes a request whose client has gone, and keeps its id if it has had an attempt. Returns whether it was open.
    fn abandon(&self, id: RequestId) -> bool {
        let mut state = self.state.borrow_mut();
        let Some(request) = state.requests.get_mut(id) else {
            return false;
        };
        let was_open = request.close().is_some();
        if was_open && !request.attempts.is_empty() {
            state.abandoned_requests.insert(id);
        }
        was_open
    }

    /// Records that no client waits for request `id` any more, although a server may have it and it cannot be cancelled. An
    /// attempt at a server goes on; none begins until [`Engine::resume`].
    pub fn suspend(self: &Rc<Self>, id: RequestId) {
        if let Some(request) = self.state.borrow_mut().requests.get_mut(id) {
            request.client.record_gone();
        }
        debug!(target: EVENT_TARGET, request = id.0, "request.suspended");
        self.feed(Event::Suspended(id));
    }

    /// Records that a client waits for request `id`, which may have been suspended.
    pub fn resume(self: &Rc<Self>, id: RequestId) {
        let open_request_is_suspended = match self.state.borrow_mut().requests.get_mut(id) {
            Some(request) if request.is_open() => request.client.record_back(),
            _ => false,
        };
        if open_request_is_suspended {
            debug!(target: EVENT_TARGET, request = id.0, "request.resumed");
            self.feed(Event::Resumed(id));
        }
    }

    /// Returns the number of accepted requests that have no final response yet.
    pub fn open_requests(&self) -> usize {
        self.state.borrow().requests.open_ids().count()
    }

    /// Prepares for the end of the process: every request that is held now or submitted later is answered by
    /// `deadline`.
    pub fn answer_all_by(&self, deadline: Instant) {
        self.answer_all_by.set(Some(deadline));
        let mut state = self.state.borrow_mut();
        for id in state.requests.limit_answer_deadlines(deadline) {
            self.set_timer(&mut state, deadline, TimerKey::AnswerDeadline(id.0));
        }
    }

    /// Counts each request that is still unanswered at the end of the process as a violation of [`Rule::Answered`].
    pub fn record_unanswered_requests(&self) {
        for id in self.state.borrow().requests.open_ids() {
            self.violations.record(Rule::Answered, Some(id));
        }
    }

    /// Sends the final response to request `id`, if none was sent. `make_response` is called with `true` if the attempt
    /// that ended last timed out.
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

    /// Fails a request that has no response at its answer deadline, so that the client receives one before it leaves.
    pub(super) fn enforce_answer_deadline(self: &Rc<Self>, id: RequestId) {
        let was_unanswered = match self.state.borrow_mut().requests.get_mut(id) {
            Some(request) if request.answer_deadline <= Instant::now() => {
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

    /// Removes a request that is answered or abandoned, once none of its attempts is running.
    pub(super) fn remove_if_finished(&self, id: RequestId) {
        self.state.borrow_mut().requests.remove_if_finished(id);
    }
}
