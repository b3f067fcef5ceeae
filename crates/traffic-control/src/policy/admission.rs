//! Decides whether a request is admitted: by its customer's quota first, then by the admission fraction of its
//! cell.

use super::limits::REPLY_MARGIN_US;
use super::quota_charges::excess_is_profitable;
use crate::customer::{CustomerPlacement, QuotaDecision};
use crate::gateway::Gateway;
use crate::gossip;
use crate::interface::{
    Action, LeaseState, Micros, Request, RequestClass, RequestId, UnservedReason,
};
use crate::pending_request::PendingRequest;
use crate::quota::Quota;
use crate::random::random_unit;

/// Retry-after while no policy is known to be in force: nothing is admitted for about the duration of a lease.
const NO_LEASE_RETRY_AFTER_US: f64 = 1_000_000.0;
/// Percentage of a request's remaining time for which it may wait for a server. An answer after half of that time
/// costs more if nothing was sent, as the client can no longer try another gateway.
const MAX_WAIT_PERCENT: Micros = 45;

/// Whether the counter or the owner may still be queried for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueryPhase {
    /// A query is possible.
    Open,
    /// The query has ended, by a reply or by a timeout.
    Over,
}

/// Properties of a request that its admission depends on.
#[derive(Clone, Copy)]
struct AdmissionInputs {
    class: usize,
    plan: usize,
    customer: u32,
    quota_units: f64,
    /// Admission fraction of the request's cell.
    fraction: f64,
    low_priority: bool,
}

/// Assessment of a request by its customer's quota.
struct QuotaAssessment {
    decision: QuotaDecision,
    /// Whether the quota probably covers the request; decides where no query is possible any more.
    is_likely_covered: bool,
    /// Whether the level is not synced and says too little to decide a request: without usage reports in a large
    /// fleet, or where an even slice of a rate quota is less than the largest request.
    is_unknown: bool,
    lacks_usage_reports: bool,
    overuse_factor: f64,
    overrun_cost: f64,
    /// Time until the bucket holds the request's units.
    wait_us: f64,
}

impl Gateway {
    /// Records a new request and decides on it.
    pub(super) fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        if self.requests.contains_key(&request.id) {
            return;
        }
        let settings = &self.settings;
        self.fleet.refresh_totals(&settings.slow_start, self.now);
        let class = settings
            .classes
            .iter()
            .position(|c| c.name == request.class);
        let plan = settings.plans.iter().position(|p| p.name == request.plan);
        let (Some(class), Some(plan)) = (class, plan) else {
            return self.reject_untracked(request.id, UnservedReason::UnknownClass, actions);
        };
        let id = request.id;
        let placement = self.customer_placement(&request, plan);
        let pending = self.new_pending_request(request, class, plan, placement.tag);
        self.cells[pending.cell].arrivals += 1.0;
        self.server_latency.classes[class].record_request(pending.units);
        let now = self.now;
        let Some(customer) = self.get_or_create_customer(&placement) else {
            return self.reject_untracked(id, UnservedReason::TooManyCustomers, actions);
        };
        customer.record_demand(now, pending.units);
        self.requests.insert(id, pending);
        self.decide_request(id, QueryPhase::Open, actions);
    }

    /// Rejects a request that is not tracked.
    fn reject_untracked(&self, id: RequestId, reason: UnservedReason, actions: &mut Vec<Action>) {
        actions.push(Action::Reject {
            request: id,
            retry_after_us: self.settings.max_retry_after_us,
            reason,
        });
    }

    /// Returns which gateways the customer uses, and which of them adds up its usage.
    fn customer_placement(&self, request: &Request, plan: usize) -> CustomerPlacement {
        let settings = &self.settings;
        let tag = gossip::customer_tag(&request.customer.0);
        let gateway_count = request.gateway_count.clamp(1, settings.gateways);
        let first = request.first_gateway % settings.gateways;
        CustomerPlacement {
            tag,
            plan,
            gateway_count,
            owner: (first + tag % gateway_count) % settings.gateways,
            position: (settings.gateway_index + settings.gateways - first) % settings.gateways,
        }
    }

    /// Creates the state of a new request, with its deadlines.
    fn new_pending_request(
        &self,
        request: Request,
        class: usize,
        plan: usize,
        customer: u32,
    ) -> PendingRequest {
        let settings = &self.settings;
        let units = if request.units.is_finite() {
            request.units.max(0.0)
        } else {
            settings.max_units
        };
        let quota_units = if settings.plans[plan].rate > 0.0 {
            units
        } else {
            1.0
        };
        let remaining_us = request.remaining_us;
        let useful_us = useful_time_us(&settings.classes[class]);
        let deadline = self.now.saturating_add(remaining_us.min(useful_us));
        let send_deadline = self
            .now
            .saturating_add(remaining_us / 100 * MAX_WAIT_PERCENT)
            .min(deadline - REPLY_MARGIN_US.min(deadline));
        PendingRequest {
            class,
            cell: class * settings.plans.len() + plan,
            customer,
            units,
            quota_units,
            deadline,
            send_deadline,
            pool: request.pool,
            sticky_server: request.sticky_server,
            low_priority: request.low_priority,
            ..PendingRequest::default()
        }
    }

    /// Decides whether a request is sent, waits for a reply of the counter or the owner, or is rejected.
    pub(super) fn decide_request(
        &mut self,
        id: RequestId,
        phase: QueryPhase,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.is_closed) else {
            return;
        };
        let inputs = AdmissionInputs {
            class: request.class,
            plan: request.cell % self.settings.plans.len(),
            customer: request.customer,
            quota_units: request.quota_units,
            fraction: self.cells[request.cell].fraction,
            low_priority: request.low_priority,
        };
        if self.lease_state == LeaseState::Missing {
            let reason = UnservedReason::NoLease;
            return self.reject_or_fail(id, NO_LEASE_RETRY_AFTER_US, reason, actions);
        }
        let Some(quota) = self.assess_quota(&inputs, phase) else {
            return self.reject_or_fail(id, 0.0, UnservedReason::TooManyCustomers, actions);
        };
        if quota.decision != QuotaDecision::Reject && phase == QueryPhase::Open {
            if self.should_shed(&inputs) {
                let retry_after_us = self.latency_bound_us(inputs.class);
                return self.reject_or_fail(id, retry_after_us, UnservedReason::Pressure, actions);
            }
            if quota.decision == QuotaDecision::Undecided && self.query_quota(id, actions) {
                return;
            }
        }
        if self.should_admit(&inputs, &quota) {
            return self.dispatch(id, actions);
        }
        // The quota may look used up because of usage that could not be reported yet.
        self.report_usage(inputs.customer, actions);
        self.reject_or_fail(id, quota.wait_us, UnservedReason::Quota, actions);
    }

    /// Whether a request is admitted where no query is possible any more. Draws a random number only where recent
    /// queries make a guess profitable.
    fn should_admit(&mut self, inputs: &AdmissionInputs, quota: &QuotaAssessment) -> bool {
        let is_guessed = quota.is_unknown
            && self.should_admit_without_query(
                inputs.plan,
                quota.lacks_usage_reports,
                quota.overrun_cost,
                quota.overuse_factor,
            );
        match quota.decision {
            QuotaDecision::Admit => true,
            QuotaDecision::Reject => false,
            QuotaDecision::Undecided => quota.is_likely_covered || is_guessed,
        }
    }

    /// Assesses a request by its customer's quota; `None` where the customer is not tracked any more.
    fn assess_quota(
        &mut self,
        inputs: &AdmissionInputs,
        phase: QueryPhase,
    ) -> Option<QuotaAssessment> {
        let now = self.now;
        let quota = self.quotas[inputs.plan];
        let units = inputs.quota_units;
        let attempt_s = self.server_latency.attempt_s;
        let servers_are_unloaded = self.servers_are_unloaded(inputs);
        let plan = &self.settings.plans[inputs.plan];
        let customer = self.customers.get_mut(&inputs.customer)?;
        self.peer_reports
            .update_customer(now, &self.settings, &quota, customer);
        customer.refill(&quota, now);
        let lacks_usage_reports = customer.lacks_usage_reports(&quota);
        let estimate = customer.estimate(&quota, plan.overrun_cost, now, attempt_s);
        let is_unknown = !estimate.is_synced
            && (lacks_usage_reports
                || !quota.limits_concurrency && customer.has_undersized_slice(&quota));
        // After an unanswered query, the level of a slice smaller than one request decides nothing, but the results
        // of recent queries do.
        let query_was_unanswered =
            is_unknown && lacks_usage_reports && !customer.is_synced_now(now);
        // A gateway without usage reports in a large fleet cannot see whether the servers are unloaded.
        let admits_excess =
            !lacks_usage_reports && servers_are_unloaded && excess_is_profitable(plan);
        let decision = if admits_excess {
            QuotaDecision::Admit
        } else if phase == QueryPhase::Over && !query_was_unanswered {
            estimate.decide_by_likelihood(units)
        } else {
            estimate.decide(units)
        };
        Some(QuotaAssessment {
            decision,
            is_likely_covered: estimate.likely_units >= units,
            is_unknown,
            lacks_usage_reports,
            overuse_factor: customer.overuse_factor(&quota, now),
            overrun_cost: plan.overrun_cost,
            wait_us: refill_wait_us(
                &quota,
                customer.rate_share(&quota, now),
                customer.level,
                units,
            ),
        })
    }

    /// Whether the admission fraction of the request's cell is 1 and the mean latency of every class is at most
    /// twice its lowest latency.
    fn servers_are_unloaded(&self, inputs: &AdmissionInputs) -> bool {
        inputs.fraction >= 1.0
            && self
                .server_latency
                .classes
                .iter()
                .all(|class| class.mean_us <= 2.0 * class.lowest_us)
    }

    /// Whether the request is shed because servers are over capacity.
    fn should_shed(&mut self, inputs: &AdmissionInputs) -> bool {
        let fraction = if inputs.low_priority {
            inputs.fraction * inputs.fraction
        } else {
            inputs.fraction
        };
        let is_admitted = fraction >= 1.0 || random_unit(&mut self.rng) < fraction;
        !is_admitted || self.is_over_capacity(inputs.class, inputs.plan)
    }
}

/// Returns how long an answer has a value: up to the latency objective where a late answer has none.
fn useful_time_us(class: &RequestClass) -> Micros {
    if class.late_weight > 0.0 {
        Micros::MAX
    } else {
        class.latency_objective_us
    }
}

/// Returns the time until the bucket holds `units`; 0 if it does not fill with time.
fn refill_wait_us(quota: &Quota, rate_share: f64, level: f64, units: f64) -> f64 {
    let fill_per_s = if quota.limits_concurrency {
        0.0
    } else {
        quota.rate_per_s * rate_share
    };
    if fill_per_s > 0.0 {
        (units - level).max(0.0) / fill_per_s * 1e6
    } else {
        0.0
    }
}
