//! Whether a request is admitted: its customer's quota first, then the admission fraction of its cell.

use super::limits::REPLY_MARGIN_US;
use super::quota_charges::excess_pays;
use crate::customer::{CustomerPlacement, QuotaDecision};
use crate::gateway::Gateway;
use crate::gossip;
use crate::interface::{
    Action, LeaseState, Micros, Request, RequestClass, RequestId, UnservedReason,
};
use crate::pending_request::PendingRequest;
use crate::quota::Quota;
use crate::random::random_unit;

/// Where no policy is known to hold, nothing passes for about a lease.
const NO_LEASE_RETRY_AFTER_US: f64 = 1_000_000.0;
/// Share of a request's time for which it may wait for a server. An answer after half of its time costs more where
/// nothing was sent, as its client cannot try elsewhere any more.
const MAX_WAIT_PERCENT: Micros = 45;

/// Whether the counter or the owner may still be queried for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueryPhase {
    /// It may.
    Open,
    /// The query is over, by its reply or by silence.
    Over,
}

/// What the decision on a request goes by.
#[derive(Clone, Copy)]
struct Candidate {
    class: usize,
    plan: usize,
    customer: u32,
    quota_units: f64,
    /// Admission fraction of its cell.
    fraction: f64,
    low_priority: bool,
}

/// What the quota says of a candidate.
struct QuotaAssessment {
    decision: QuotaDecision,
    /// Whether the quota probably covers the request, where nobody is left to query.
    is_likely_covered: bool,
    /// Whether nothing is known that could cover a single request.
    is_unknown: bool,
    is_sparse: bool,
    overuse_factor: f64,
    overrun_cost: f64,
    /// Until the bucket holds the request.
    wait_us: f64,
}

impl Gateway {
    /// Takes a new request in and decides on it.
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
            return self.reject_unseen(request.id, UnservedReason::UnknownClass, actions);
        };
        let id = request.id;
        let placement = self.customer_placement(&request, plan);
        let pending = self.pending_request(request, class, plan, placement.tag);
        self.cells[pending.cell].arrivals += 1.0;
        self.server_latency.classes[class].record_request(pending.units);
        let now = self.now;
        let Some(customer) = self.customer_state(&placement) else {
            return self.reject_unseen(id, UnservedReason::TooManyCustomers, actions);
        };
        customer.record_demand(now, pending.units);
        self.requests.insert(id, pending);
        self.decide(id, QueryPhase::Open, actions);
    }

    fn reject_unseen(&self, id: RequestId, reason: UnservedReason, actions: &mut Vec<Action>) {
        actions.push(Action::Reject {
            request: id,
            retry_after_us: self.settings.max_retry_after_us,
            reason,
        });
    }

    /// Which gateways the customer uses, and which of them adds up its use.
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

    fn pending_request(
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

    /// Decides whether the request is sent, waits for a reply of the counter, or is rejected.
    pub(super) fn decide(&mut self, id: RequestId, phase: QueryPhase, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.is_closed) else {
            return;
        };
        let candidate = Candidate {
            class: request.class,
            plan: request.cell % self.settings.plans.len(),
            customer: request.customer,
            quota_units: request.quota_units,
            fraction: self.cells[request.cell].fraction,
            low_priority: request.low_priority,
        };
        if self.lease_state == LeaseState::Missing {
            let reason = UnservedReason::NoLease;
            return self.finish(id, NO_LEASE_RETRY_AFTER_US, reason, actions);
        }
        let Some(quota) = self.assess_quota(&candidate, phase) else {
            return self.finish(id, 0.0, UnservedReason::TooManyCustomers, actions);
        };
        if quota.decision != QuotaDecision::Reject && phase == QueryPhase::Open {
            if self.sheds(&candidate) {
                let retry_after_us = self.latency_bound_us(candidate.class);
                return self.finish(id, retry_after_us, UnservedReason::Pressure, actions);
            }
            if quota.decision == QuotaDecision::Undecided && self.query_quota(id, actions) {
                return;
            }
        }
        if self.admits(&candidate, &quota) {
            return self.dispatch(id, actions);
        }
        // What could not be reported yet may be why the quota looks used up.
        self.report_usage(candidate.customer, actions);
        self.finish(id, quota.wait_us, UnservedReason::Quota, actions);
    }

    /// The decision where nobody is queried any more. A random number is drawn for each request of an unknown quota.
    fn admits(&mut self, candidate: &Candidate, quota: &QuotaAssessment) -> bool {
        let is_guessed = quota.is_unknown
            && self.admits_blindly(
                candidate.plan,
                quota.is_sparse,
                quota.overrun_cost,
                quota.overuse_factor,
            );
        match quota.decision {
            QuotaDecision::Admit => true,
            QuotaDecision::Reject => false,
            QuotaDecision::Undecided => quota.is_likely_covered || is_guessed,
        }
    }

    /// What the customer's quota says; `None` where the customer is not tracked any more.
    fn assess_quota(
        &mut self,
        candidate: &Candidate,
        phase: QueryPhase,
    ) -> Option<QuotaAssessment> {
        let now = self.now;
        let quota = self.quotas[candidate.plan];
        let units = candidate.quota_units;
        let attempt_s = self.server_latency.attempt_s;
        let servers_are_at_ease = self.servers_are_at_ease(candidate);
        let plan = &self.settings.plans[candidate.plan];
        let customer = self.customers.get_mut(&candidate.customer)?;
        self.peer_reports
            .update_customer(now, &self.settings, &quota, customer);
        customer.refill(&quota, now);
        let is_sparse = customer.is_sparse(&quota);
        let estimate = customer.estimate(&quota, plan.overrun_cost, now, attempt_s);
        let is_unknown = !estimate.is_synced
            && (is_sparse || !quota.limits_concurrency && customer.is_undersized(&quota));
        // After a query without a reply a slice under one request says nothing, but the results of other queries do.
        let was_queried_in_vain = is_unknown && is_sparse && !customer.is_synced_now(now);
        // One of many gateways cannot see whether servers are at ease.
        let passes_excess = !is_sparse && servers_are_at_ease && excess_pays(plan);
        let decision = if passes_excess {
            QuotaDecision::Admit
        } else if phase == QueryPhase::Over && !was_queried_in_vain {
            estimate.decide_by_likelihood(units)
        } else {
            estimate.decide(units)
        };
        Some(QuotaAssessment {
            decision,
            is_likely_covered: estimate.likely_units >= units,
            is_unknown,
            is_sparse,
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

    /// Whether nothing is shed and no class takes much longer than at idle servers.
    fn servers_are_at_ease(&self, candidate: &Candidate) -> bool {
        candidate.fraction >= 1.0
            && self
                .server_latency
                .classes
                .iter()
                .all(|class| class.mean_us <= 2.0 * class.lowest_us)
    }

    /// Whether the request is shed as servers are over capacity.
    fn sheds(&mut self, candidate: &Candidate) -> bool {
        let fraction = if candidate.low_priority {
            candidate.fraction * candidate.fraction
        } else {
            candidate.fraction
        };
        let is_admitted = fraction >= 1.0 || random_unit(&mut self.rng) < fraction;
        !is_admitted || self.is_over_capacity(candidate.class, candidate.plan)
    }
}

/// How long an answer is of use: where a late one has no value the latency objective ends it.
fn useful_time_us(class: &RequestClass) -> Micros {
    if class.late_weight > 0.0 {
        Micros::MAX
    } else {
        class.latency_objective_us
    }
}

/// How long the bucket takes to hold `units`.
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
