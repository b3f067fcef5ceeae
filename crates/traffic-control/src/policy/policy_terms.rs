//! Under which terms a gateway admits requests, where all of them agree on a policy. While terms change, no gateway passes
//! on more than the smaller of both allows, and none admits a request while it is not known which terms hold.

use crate::counter::MAX_SMALL_FLEET_GATEWAYS;
use crate::gateway::Gateway;
use crate::interface::{Action, LeaseState, Micros, PolicyTerms};
use crate::quota::Quota;

/// For so long other gateways may still, or already, serve under the other terms.
const TRANSITION_US: Micros = 250_000;

impl Gateway {
    /// Puts other terms in force. Stores stay as they are, less what no longer fits.
    pub(super) fn on_policy_changed(&mut self, terms: PolicyTerms) {
        self.settings.plans = terms.plans;
        self.settings.classes = terms.classes;
        self.settings.retries = terms.retries;
        let new_quotas = self.quotas_of_plans();
        for (quota, new_quota) in self.quotas.iter_mut().zip(new_quotas) {
            *quota = quota.stricter(new_quota);
        }
        // What fills until now fills by the smaller of both.
        self.refill_customers();
        self.transition_until = Some(self.now + TRANSITION_US);
    }

    /// Ends a change of terms once the previous ones hold nowhere any more.
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

    /// The quotas of the plans as attempts take now.
    pub(super) fn quotas_of_plans(&self) -> Vec<Quota> {
        Quota::for_plans(
            &self.settings,
            self.server_latency.attempt_s,
            MAX_SMALL_FLEET_GATEWAYS,
        )
    }

    /// Records whether requests may be admitted. Those that wait are decided again, under what holds now.
    pub(super) fn on_lease_state(&mut self, state: LeaseState, actions: &mut Vec<Action>) {
        self.lease_state = state;
        if state != LeaseState::Pending {
            self.decide_again(actions);
        }
    }
}
