//! Under what a gateway lets requests in, where all of them agree on it: the terms that hold now, and whether any do.
//! Guards: over a change of terms nobody passes more than the smaller of both allows, and none is let in while it is not
//! known which hold.

use crate::counter_rate_limit::MAX_SMALL_FLEET_GATEWAYS;
use crate::customer::Quota;
use crate::gateway::Gateway;
use crate::interface::{Action, Ceiling, LeaseState, Micros, Plan, PolicyTerms};

const TRANSITION_US: Micros = 250_000; // µs; others may still, or already, serve under the other terms

/// The ceiling that keeps to both; where one has none, the other's.
fn stricter_ceiling(a: Option<Ceiling>, b: Option<Ceiling>) -> Option<Ceiling> {
    match (a, b) {
        (Some(a), Some(b)) => Some(Ceiling {
            rate: a.rate.min(b.rate),
            depth: a.depth.min(b.depth),
        }),
        (a, b) => a.or(b),
    }
}

impl Quota {
    fn smaller(self, other: Quota) -> Quota {
        let (rate, most) = (
            self.rate_per_s.min(other.rate_per_s),
            self.capacity.min(other.capacity),
        );
        Quota {
            rate_per_s: rate,
            capacity: most,
            ceiling: stricter_ceiling(self.ceiling, other.ceiling),
            ..other
        }
    }
}

impl PolicyTerms {
    /// The smaller of both, plan by plan; worth, aims and retries are these.
    pub fn smaller(self, other: &PolicyTerms) -> PolicyTerms {
        // No cap is the largest.
        let cap = |a: u32, b: u32| if a == 0 || b == 0 { a.max(b) } else { a.min(b) };
        let plan = |(a, b): (Plan, &Plan)| Plan {
            rate: a.rate.min(b.rate),
            burst: a.burst.min(b.burst),
            max_open: cap(a.max_open, b.max_open),
            ceiling: stricter_ceiling(a.ceiling, b.ceiling),
            ..a
        };
        let plans = self.plans.into_iter().zip(&other.plans).map(plan).collect();
        PolicyTerms { plans, ..self }
    }
}

impl Gateway {
    /// Stores stay as they are, less what no longer fits.
    pub(super) fn on_policy_changed(&mut self, terms: PolicyTerms) {
        (self.settings.plans, self.settings.classes) = (terms.plans, terms.classes);
        self.settings.retries = terms.retries;
        let new = Quota::for_plans(
            &self.settings,
            self.server_latency.attempt_s,
            MAX_SMALL_FLEET_GATEWAYS,
        );
        self.quotas
            .iter_mut()
            .zip(new)
            .for_each(|(q, new)| *q = q.smaller(new));
        // What fills until now fills by the smaller of both.
        let now = self.now;
        self.customers
            .values_mut()
            .for_each(|c| c.refill(&self.quotas[c.plan], now));
        self.transition_until = Some(now + TRANSITION_US);
    }

    /// The other terms hold nowhere any more.
    pub(super) fn end_transition_if_due(&mut self) {
        if self.transition_until.is_some_and(|at| self.now >= at) {
            self.transition_until = None;
            let now = self.now;
            self.customers
                .values_mut()
                .for_each(|c| c.refill(&self.quotas[c.plan], now));
            self.quotas = Quota::for_plans(
                &self.settings,
                self.server_latency.attempt_s,
                MAX_SMALL_FLEET_GATEWAYS,
            );
        }
    }

    /// Those that wait are decided on anew, under what holds now.
    pub(super) fn on_lease_state(&mut self, standing: LeaseState, out: &mut Vec<Action>) {
        self.lease_state = standing;
        if standing != LeaseState::Pending {
            self.waiting_requests
                .clone()
                .into_iter()
                .for_each(|id| self.decide(id, false, out));
        }
    }
}
