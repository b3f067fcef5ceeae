//! Ends a request for its client, with exactly one final answer.

use crate::gateway::Gateway;
use crate::interface::{Action, Micros, RequestId, UnservedReason};
use crate::pending_request::{AttemptState, ClientState};

/// Minimum retry-after: a shorter one does not relieve the servers.
const MIN_RETRY_AFTER_US: f64 = 100_000.0;

impl Gateway {
    /// Gives the final answer: rejects the request with a retry-after where the effect rule allows that, else fails
    /// it.
    pub(super) fn reject_or_fail(
        &mut self,
        id: RequestId,
        retry_after_us: f64,
        reason: UnservedReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.is_closed) else {
            return;
        };
        let retry_after_us = (retry_after_us.max(MIN_RETRY_AFTER_US) as Micros)
            .min(self.settings.max_retry_after_us);
        if request.may_reject(&self.settings) {
            actions.push(Action::Reject {
                request: id,
                retry_after_us,
                reason,
            });
        } else {
            actions.push(Action::Fail {
                request: id,
                reason,
            });
        }
        self.close_request(id, actions);
    }

    /// Marks a request as answered. Nothing more is sent for it, and attempts in flight are cancelled, if the
    /// settings allow that and no answer is being streamed.
    pub(super) fn close_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.waiting_requests.remove(&id);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !request.is_closed && self.settings.cancel && request.client != ClientState::Receiving {
            let in_flight = request
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, a)| a.state == AttemptState::InFlight);
            actions.extend(in_flight.map(|(number, _)| Action::Cancel {
                request: id,
                attempt: number as u32,
            }));
        }
        request.is_closed = true;
        if !request.has_attempt_in_flight() {
            self.requests.remove(&id);
        }
    }
}
