//! Handles the end of an attempt: records what it shows of the server and the customer, and answers the request or
//! sends another attempt.

use super::quota_charges::excess_is_profitable;
use crate::counter::CounterEvidence;
use crate::customer::AttemptChange;
use crate::gateway::Gateway;
use crate::interface::{Action, AttemptOutcome, CompletionStatus, ServerId};
use crate::pending_request::AttemptState;

/// An attempt that has ended, with the properties of its request.
struct EndedAttempt {
    class: usize,
    customer: u32,
    units: f64,
    server: ServerId,
}

impl Gateway {
    /// Handles the outcome of an attempt.
    pub(super) fn on_outcome(&mut self, outcome: &AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(ended) = self.end_attempt(outcome) else {
            return;
        };
        self.record_attempt_end(outcome, ended.class, ended.units, &ended.server);
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
        self.retry_tokens = (self.retry_tokens + refund).min(self.settings.retries.max_saved);
        Some(EndedAttempt {
            class: request.class,
            customer: request.customer,
            units: request.units,
            server,
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
