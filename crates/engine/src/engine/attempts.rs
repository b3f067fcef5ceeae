//! Starts and cancels the attempts of requests, and feeds their outcomes to traffic control.

use super::requests::decision_deadline;
use super::{Engine, State, EVENT_TARGET};
use crate::attempt_permit::AttemptPermit;
use crate::ports::{AttemptDeadlines, AttemptResult, Response};
use crate::request_table::{PendingRequest, RunningAttempt};
use frosthatch_traffic_control::{
    AttemptOutcome, CompletionStatus, Event, Micros, RequestId, ServerId,
};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};
use tracing::debug;

/// The time limits of an attempt, in microseconds from its start.
pub(super) struct AttemptTimeLimits {
    /// The time within which the attempt has to end.
    pub timeout_us: Micros,
    /// The time within which the last byte of the attempt has to be written.
    pub begin_within_us: Micros,
    /// The time after which a response that is still arriving is passed on.
    pub pass_on_after_us: Micros,
}

impl AttemptTimeLimits {
    /// Returns the deadlines of an attempt that starts at `started_at`. The decision may have taken long, as when the process
    /// got no processor: the attempt still ends by `latest_end`, before the answer is due, so that traffic control decides
    /// on the answer.
    fn deadlines(
        &self,
        started_at: Instant,
        latest_end: Instant,
        may_pass_on: bool,
    ) -> AttemptDeadlines {
        let after = |us| (started_at + Duration::from_micros(us)).min(latest_end);
        AttemptDeadlines {
            answer_by: after(self.timeout_us),
            pass_on_at: may_pass_on.then(|| after(self.pass_on_after_us)),
        }
    }
}

impl Engine {
    /// Starts an attempt of request `id` on `server`, unless the request is closed.
    pub(super) fn start_attempt(
        self: &Rc<Self>,
        state: &mut State,
        id: RequestId,
        server: ServerId,
        limits: &AttemptTimeLimits,
    ) {
        let Some(request) = state.requests.get_mut(id) else {
            return;
        };
        let Some(payload) = &request.payload else {
            return;
        };
        let attempt = request.attempts.len();
        let started_at = Instant::now();
        if attempt == 0 {
            if let Some(lease) = &*self.policy_lease.borrow() {
                lease.record_admitted(id);
            }
        }
        debug!(
            target: EVENT_TARGET,
            request = id.0,
            attempt,
            server = %server.0,
            timeout_us = limits.timeout_us,
            begin_within_us = limits.begin_within_us,
            "attempt.sent"
        );
        let permit = AttemptPermit::new(
            id,
            started_at + Duration::from_micros(limits.begin_within_us),
            request.client_deadline,
            request.client.clone(),
            self.violations.clone(),
        );
        let latest_end = decision_deadline(request.client_deadline);
        let deadlines = limits.deadlines(started_at, latest_end, !request.had_silent_response);
        let answer_by = deadlines.answer_by;
        let mut running = payload.attempt(&server, deadlines, permit);
        let can_cancel_attempts = request.can_cancel_attempts;
        let engine = self.clone();
        let task = tokio::task::spawn_local(async move {
            if !can_cancel_attempts {
                if let Ok(result) = timeout_at(answer_by, &mut running).await {
                    return engine.finish_attempt(id, attempt, result);
                }
                engine.report_overdue(id, attempt);
            }
            let result = running.await;
            engine.finish_attempt(id, attempt, result);
        });
        request.attempts.push(Some(RunningAttempt {
            server,
            started_at,
            task: task.abort_handle(),
        }));
    }

    /// Cancels an attempt if it is still running and can be cancelled. One that cannot goes on, unless it is not written
    /// yet: then its permit denies the write, as its request is closed.
    pub(super) fn cancel_attempt(&self, state: &mut State, id: RequestId, attempt: u32) {
        let Some(running) = state
            .requests
            .get_mut(id)
            .filter(|request| request.can_cancel_attempts)
            .and_then(|request| request.take_attempt(attempt as usize))
        else {
            return;
        };
        debug!(
            target: EVENT_TARGET,
            request = id.0,
            attempt,
            server = %running.server.0,
            "attempt.cancelled"
        );
        // Aborting the task drops the attempt's connection, which closes it.
        running.task.abort();
        let elapsed_us = running.elapsed_us();
        let outcome = AttemptOutcome::new(
            id,
            attempt,
            running.server,
            CompletionStatus::Cancelled,
            elapsed_us,
        );
        state.events.push_back(Event::Outcome(outcome.closing()));
        state.requests.remove_if_finished(id);
    }

    /// Reports to traffic control that an attempt got no answer within its timeout and goes on.
    fn report_overdue(self: &Rc<Self>, id: RequestId, attempt: usize) {
        let elapsed_us = {
            let mut state = self.state.borrow_mut();
            let Some(request) = state.requests.get_mut(id) else {
                return;
            };
            let Some(Some(running)) = request.attempts.get(attempt) else {
                return;
            };
            let elapsed_us = running.elapsed_us();
            debug!(
                target: EVENT_TARGET,
                request = id.0,
                attempt,
                server = %running.server.0,
                elapsed = elapsed_us,
                "attempt.overdue"
            );
            request.last_attempt_timed_out = true;
            elapsed_us
        };
        self.feed(Event::Overdue {
            request: id,
            attempt: attempt as u32,
            elapsed_us,
        });
    }

    /// Records the result of an attempt that has ended by itself, and feeds its outcome to traffic control.
    fn finish_attempt(self: &Rc<Self>, id: RequestId, attempt: usize, result: AttemptResult) {
        let outcome = {
            let mut state = self.state.borrow_mut();
            let Some(request) = state.requests.get_mut(id) else {
                return;
            };
            let Some(running) = request.take_attempt(attempt) else {
                return;
            };
            self.apply_result(request, id, attempt, running, result)
        };
        self.feed(Event::Outcome(outcome));
        self.remove_if_finished(id);
    }

    /// Sends the response to the client if the attempt was served, and returns the outcome for traffic control.
    fn apply_result(
        &self,
        request: &mut PendingRequest,
        id: RequestId,
        attempt: usize,
        running: RunningAttempt,
        result: AttemptResult,
    ) -> AttemptOutcome {
        request.last_attempt_timed_out = result.status == CompletionStatus::NoAnswer;
        request.had_silent_response |= result.fell_silent;
        if result.status == CompletionStatus::Served {
            let response = match result.rest {
                None => Response::Served(result.body),
                Some(rest) => Response::Streaming(result.body, rest),
            };
            request.respond(&self.counters, response);
        }
        let elapsed_us = running.elapsed_us_at(result.streamed_since.unwrap_or_else(Instant::now));
        debug!(
            target: EVENT_TARGET,
            request = id.0,
            attempt,
            server = %running.server.0,
            status = ?result.status,
            elapsed = elapsed_us,
            "attempt.ended"
        );
        let mut outcome = AttemptOutcome::new(
            id,
            attempt as u32,
            running.server,
            result.status,
            elapsed_us,
        );
        outcome.closed = !request.is_open();
        outcome.metered_use = result.metered_use;
        outcome.load_report = result.load_report;
        outcome
    }
}
