//! Handles the end of an attempt: records what it shows of the server and the customer, and answers the request or
//! sends another attempt. An attempt that cannot be cancelled may first become overdue.

use super::quota_charges::excess_is_profitable;
use crate::counter::CounterEvidence;
use crate::customer::AttemptChange;
use crate::gateway::Gateway;
use crate::interface::{
    Action, AttemptOutcome, CompletionStatus, Effect, Micros, RequestId, ServerId, Timer,
    UnservedReason,
};
use crate::pending_request::{AttemptState, PendingRequest};

/// An attempt that has ended, with the properties of its request.
struct EndedAttempt {
    class: usize,
    customer: u32,
    units: f64,
    server: ServerId,
    /// Whether the attempt was overdue, so that its server has its outcome already.
    was_overdue: bool,
}

impl Gateway {
    /// Handles the outcome of an attempt.
    pub(super) fn on_outcome(&mut self, outcome: &AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(ended) = self.end_attempt(outcome) else {
            return;
        };
        if !ended.was_overdue {
            self.record_attempt_end(
                &ended.server,
                ended.class,
                ended.units,
                outcome.status,
                outcome.elapsed_us,
            );
        }
        self.record_attempt(ended.customer, AttemptChange::Ends, actions);
        self.record_reported_usage(outcome, &ended, actions);
        match self.requests.get(&outcome.request) {
            Some(request) if outcome.closed || request.is_closed => {
                self.close_request(outcome.request, actions);
            }
            Some(request) if !request.has_attempt_in_flight() => {
                self.dispatch(outcome.request, actions);
            }
            _ => {}
        }
        self.report_usage(ended.customer, actions);
    }

    /// Handles an attempt that is overdue and cannot be cancelled. For the choice of servers and for admission it has ended
    /// without an answer, so that a silent server does not look like load. But it stays in flight: its request may have
    /// no other attempt, and its customer does not get back a concurrency permit, until it ends.
    pub(super) fn on_overdue(
        &mut self,
        id: RequestId,
        attempt: u32,
        elapsed_us: Micros,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let (class, units) = (request.class, request.units);
        let remaining_us = request.deadline.saturating_sub(now);
        let Some(attempt) = request
            .attempts
            .get_mut(attempt as usize)
            .filter(|a| a.state == AttemptState::InFlight && !a.is_overdue)
        else {
            return;
        };
        attempt.is_overdue = true;
        let server = attempt.server.clone();
        let status = CompletionStatus::NoAnswer;
        self.record_attempt_end(&server, class, units, status, elapsed_us);
        if remaining_us > 0 {
            actions.push(Action::SetTimer {
                after_us: remaining_us,
                timer: Timer::Request(id),
            });
        } else {
            self.fail_if_useless(id, actions);
        }
    }

    pub(super) fn has_overdue_attempt(&self, id: RequestId) -> bool {
        let request = self.requests.get(&id);
        request.is_some_and(PendingRequest::has_overdue_attempt)
    }

    /// Fails a repeatable request whose answer would be of no use any more, so that its client can try again. Any other
    /// request is held for as long as its client waits: only the answer tells whether it was executed.
    pub(super) fn fail_if_useless(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_repeatable = self.settings.classes[request.class].effect == Effect::Repeatable;
        if is_repeatable && self.now >= request.deadline {
            self.reject_or_fail(id, 0.0, UnservedReason::AttemptsFailed, actions);
        }
    }

    /// Marks an attempt as ended, and refunds its cost to the retry budget if nothing of it was sent. `None` where
    /// no such attempt is in flight.
    fn end_attempt(&mut self, outcome: &AttemptOutcome) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&outcome.request)?;
        let attempt = request
            .attempts
            .get_mut(outcome.attempt as usize)
            .filter(|a| a.state == AttemptState::InFlight)?;
        attempt.state = if outcome.status.never_ran() {
            AttemptState::NeverRan
        } else {
            AttemptState::MayHaveRun
        };
        attempt.is_unsent = outcome.status == CompletionStatus::NotSent;
        let refund = if attempt.is_unsent {
            attempt.retry_cost
        } else {
            0.0
        };
        let server = attempt.server.clone();
        let was_overdue = attempt.is_overdue;
        self.retry_tokens = (self.retry_tokens + refund).min(self.settings.retries.max_saved);
        Some(EndedAttempt {
            class: request.class,
            customer: request.customer,
            units: request.units,
            server,
            was_overdue,
        })
    }

    /// Records what the server reported of the customer's usage: the settled units and the meter reading.
    fn record_reported_usage(
        &mut self,
        outcome: &AttemptOutcome,
        ended: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(customer) = self.customers.get_mut(&ended.customer) else {
            return;
        };
        let excess_units = outcome
            .settled_units
            .filter(|settled| settled.is_finite())
            .map_or(0.0, |settled| settled - ended.units);
        customer.settle_units(excess_units);
        let Some(quota_share) = outcome.metered_use.filter(|share| share.is_finite()) else {
            return;
        };
        customer.ledger.record_metered_quota_share(now, quota_share);
        let quota = self.quotas[customer.plan];
        if quota.limits_concurrency || customer.lacks_usage_reports(&quota) {
            return;
        }
        let used_per_s = quota_share * quota.rate_per_s;
        let is_underreported = customer.ledger.record_meter_reading(now, used_per_s);
        // Where a plan admits requests beyond its quota, their units are not added to the counter, so a higher
        // meter reading is no evidence against it.
        let is_counted =
            self.settings.has_counter && !excess_is_profitable(&self.settings.plans[customer.plan]);
        if is_underreported && is_counted {
            let evidence = CounterEvidence::Underreported;
            let log = self
                .counter_monitor
                .record_evidence(now, evidence, &outcome.server.0);
            actions.extend(log.map(Action::Log));
        }
    }
}
