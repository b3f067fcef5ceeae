//! Under which policies requests are admitted: looked up before each event, reported to the decisions, and written to the audit.

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

/// Digits of the document's digest in the audit.
const AUDIT_DIGEST_DIGITS: usize = 12;

/// The policies that requests are admitted under.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) struct ServedPolicies {
    pub(super) current: PolicyId,
    /// Without a lease, while the policy is changing: the stricter of both applies.
    also: Option<PolicyId>,
}

impl PolicyService {
    /// The terms of a policy; `None` if its document is not known here or this gateway cannot serve under it.
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

    /// The terms that apply under these policies.
    fn effective_terms(&self, policies: ServedPolicies) -> Option<PolicyTerms> {
        let terms = self.terms_of(&policies.current);
        let other_terms = policies.also.map(|also| self.terms_of(&also));
        match other_terms {
            None => terms,
            Some(other_terms) => Some(terms?.smaller(&other_terms?)),
        }
    }

    /// Serves under other policies from now on, if this gateway can.
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
        if Some(state) == self.notified_state.get() {
            return;
        }
        let is_admitting = if let ServingState::Serving(current, also) = state {
            let policies = ServedPolicies { current, also };
            self.served.get() == policies || self.switch_to(policies, events)
        } else {
            false
        };
        if state == ServingState::NotServing && self.notified_state.get().is_some() {
            log_line!("policy: lost version={}", self.served.get().current.short());
        }
        self.notified_state.set(Some(state));
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
        // The time of the check, by the clock that all processes of a machine share.
        let since_check_us = self
            .engine
            .now_us()
            .saturating_sub(self.checked_at_us.get());
        let wall_clock = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_clock_us = wall_clock.unwrap_or_default().as_micros() as u64;
        let ServedPolicies { current, also } = self.served.get();
        let also = also.map_or(String::new(), |also| format!(" with={}", also.version));
        let line = format!(
            "{} {} {} {}{also}",
            wall_clock_us - since_check_us,
            current.version,
            &hex(&current.digest)[..AUDIT_DIGEST_DIGITS],
            request.0
        );
        log_audit_transition(audit.append(&line));
    }
}
