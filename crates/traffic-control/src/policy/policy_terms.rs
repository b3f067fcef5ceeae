//! Applies the policy terms under which a gateway admits requests, where all gateways agree on a policy. While
//! terms change, no gateway passes on more than the stricter of the previous and the new quotas allows, and none
//! admits a request while it is not known which terms are in force.

use crate::counter::MAX_SMALL_FLEET_GATEWAYS;
use crate::gateway::Gateway;
use crate::interface::{Action, LeaseState, Micros, PolicyTerms};
use crate::quota::Quota;

/// Time for which other gateways may still serve under the previous terms, or already under the new ones.
const TRANSITION_US: Micros = 250_000;

impl Gateway {
    /// Begins the transition to new terms, during which the stricter of the previous and the new quotas apply.
    /// Levels of stores stay, up to the stricter capacities.
    pub(super) fn on_policy_changed(&mut self, terms: PolicyTerms) {
        self.settings.plans = terms.plans;
        self.settings.classes = terms.classes;
        self.settings.retries = terms.retries;
        let new_quotas = self.quotas_of_plans();
        for (quota, new_quota) in self.quotas.iter_mut().zip(new_quotas) {
            *quota = quota.stricter(new_quota);
        }
        // The time since the last refill also counts by the stricter quotas.
        self.refill_customers();
        self.transition_until = Some(self.now + TRANSITION_US);
    }

    /// Ends the transition to new terms once the previous ones are in force at no gateway any more.
    pub(super) fn end_transition_if_due(&mut self) {
        let is_due = self.transition_until.is_some_and(|until| self.now >= until);
        if !is_due {
            return;
        }
        self.transition_until = None;
        self.refill_customers();
        self.quotas = self.quotas_of_plans();
    }

    fn refill_customers(&mut self) {
        for customer in self.customers.values_mut() {
            customer.refill(&self.quotas[customer.plan], self.now);
        }
    }

    /// Returns the quotas of all plans at the present mean attempt time.
    pub(super) fn quotas_of_plans(&self) -> Vec<Quota> {
        Quota::for_plans(
            &self.settings,
            self.server_latency.attempt_s,
            MAX_SMALL_FLEET_GATEWAYS,
        )
    }

    /// Records whether requests may be admitted, and decides the waiting ones again once that is known.
    pub(super) fn on_lease_state(&mut self, state: LeaseState, actions: &mut Vec<Action>) {
        self.lease_state = state;
        if state != LeaseState::Pending {
            self.decide_requests_waiting_for_server(actions);
        }
    }
}
