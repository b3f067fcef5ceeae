//! Checks before each event under which policies requests are admitted, reports changes to the engine, and writes
//! admitted requests to the audit log.

use super::{log_audit_transition, PolicyService, POLICY_VERSION_GAUGE};
use crate::policy::document_terms::policy_terms;
use frosthatch_engine::PolicyLease;
use frosthatch_log::log_line;
use frosthatch_policy_consensus::document::{hex, Document};
use frosthatch_policy_consensus::node::ServingState;
use frosthatch_policy_consensus::PolicyId;
use frosthatch_traffic_control::{Event, LeaseState, Micros, PolicyTerms, RequestId};
use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of digits of the document's digest in an audit line.
const AUDIT_DIGEST_DIGITS: usize = 12;

/// The policies under which requests are admitted.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) struct ServedPolicies {
    /// The policy in force, or the last one that was.
    pub(super) current: PolicyId,
    /// The policy that may be replacing `current`; `Some` only without a lease. The stricter limits of the two
    /// policies apply.
    combined_with: Option<PolicyId>,
}

impl PolicyService {
    /// Returns the terms of a policy; `None` if its document is unknown here or this gateway cannot serve under it.
    fn terms_of(&self, id: &PolicyId) -> Option<PolicyTerms> {
        if id.version == 0 {
            return Some(PolicyTerms {
                plans: self.settings.plans.clone(),
                classes: self.settings.classes.clone(),
                retries: self.settings.retries,
            });
        }
        let mut node = self.node.borrow_mut();
        let document = Document::read("policy", node.document(id)?).ok()?;
        policy_terms(&self.settings, &self.plugin_digests.borrow(), &document).ok()
    }

    /// Returns the terms that apply under `policies`; `None` if the terms of one of them are unavailable.
    fn effective_terms(&self, policies: ServedPolicies) -> Option<PolicyTerms> {
        let terms = self.terms_of(&policies.current);
        let other_terms = policies
            .combined_with
            .map(|combined_with| self.terms_of(&combined_with));
        match other_terms {
            None => terms,
            Some(other_terms) => Some(terms?.with_stricter_limits(&other_terms?)),
        }
    }

    /// Switches to `policies` and reports them to the engine; returns false if this gateway cannot serve under them.
    fn switch_to(&self, policies: ServedPolicies, events: &mut VecDeque<Event>) -> bool {
        let Some(terms) = self.effective_terms(policies) else {
            return false;
        };
        log_line!("policy: holds version={}", policies.current.short());
        self.served.set(policies);
        self.member
            .set_gauge(POLICY_VERSION_GAUGE, policies.current.version as f64);
        events.push_back(Event::PolicyChanged(terms));
        true
    }
}

impl PolicyLease for PolicyService {
    fn collect_events(&self, now_us: Micros, events: &mut VecDeque<Event>) {
        self.checked_at_us.set(now_us);
        let state = self.node.borrow_mut().serving_state(self.skewed(now_us));
        if Some(state) == self.reported_state.get() {
            return;
        }
        let is_admitting = if let ServingState::Serving(current, combined_with) = state {
            let policies = ServedPolicies {
                current,
                combined_with,
            };
            self.served.get() == policies || self.switch_to(policies, events)
        } else {
            false
        };
        if state == ServingState::NotServing && self.reported_state.get().is_some() {
            log_line!("policy: lost version={}", self.served.get().current.short());
        }
        self.reported_state.set(Some(state));
        events.push_back(Event::LeaseStateChanged(match state {
            ServingState::Pending(_) => LeaseState::Pending,
            _ if is_admitting => LeaseState::Held,
            _ => LeaseState::Missing,
        }));
    }

    fn record_admitted(&self, request: RequestId) {
        let mut audit = self.audit.borrow_mut();
        let Some(audit) = audit.as_mut() else {
            return;
        };
        // The line carries the time of the lease check under which the request was admitted, by the wall clock,
        // which makes the lines of all processes of a machine comparable.
        let since_check_us = self
            .engine
            .now_us()
            .saturating_sub(self.checked_at_us.get());
        let wall_clock = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_clock_us = wall_clock.unwrap_or_default().as_micros() as u64;
        let ServedPolicies {
            current,
            combined_with,
        } = self.served.get();
        let combined_with = combined_with.map_or(String::new(), |combined_with| {
            format!(" with={}", combined_with.version)
        });
        let line = format!(
            "{} {} {} {}{combined_with}",
            wall_clock_us - since_check_us,
            current.version,
            &hex(&current.digest)[..AUDIT_DIGEST_DIGITS],
            request.0
        );
        log_audit_transition(audit.append(&line));
    }
}
