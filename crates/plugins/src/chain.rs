//! Selects the plug-ins for a request and merges their verdicts in order, without I/O or a clock.

use crate::abi::{Changes, Verdict, VisibleRequest};
use std::ops::RangeInclusive;

/// The criteria of the requests that a plug-in is called for; an empty list matches all requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestSelector {
    /// Names of plans.
    pub plans: Vec<String>,
    /// Names of request classes.
    pub classes: Vec<String>,
    /// Ranges of customer numbers.
    pub customers: Vec<RangeInclusive<u64>>,
}

impl RequestSelector {
    /// Returns whether the plug-in is called for a request of this customer, plan and class.
    pub fn matches(&self, customer: u64, plan: &str, class: &str) -> bool {
        let contains = |list: &[String], name: &str| {
            list.is_empty() || list.iter().any(|listed| listed == name)
        };
        let ranges = &self.customers;
        contains(&self.plans, plan)
            && contains(&self.classes, class)
            && (ranges.is_empty() || ranges.iter().any(|range| range.contains(&customer)))
    }
}

/// The handling of a request when a plug-in returns no valid verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailurePolicy {
    /// The plug-in is skipped.
    Open,
    /// The request is rejected before it is sent to a server.
    Refuse,
    /// The request fails.
    Fail,
}

/// Retry-After of a request that is rejected because a plug-in returned no valid verdict.
const NO_VERDICT_RETRY_AFTER_MS: u32 = 1_000;

impl FailurePolicy {
    /// Returns the verdict that applies when a plug-in returned no valid one.
    pub fn verdict(self) -> Verdict {
        match self {
            FailurePolicy::Open => Verdict::GoOn(Changes::default()),
            FailurePolicy::Refuse => Verdict::Refuse {
                wait_ms: NO_VERDICT_RETRY_AFTER_MS,
            },
            FailurePolicy::Fail => Verdict::Fail,
        }
    }
}

/// Merges a verdict into the `merged` changes of the previous plug-ins, and updates the request that the next plug-in
/// sees. Returns the verdict if it ends the chain.
pub fn merge_verdict(
    merged: &mut Changes,
    request: &mut VisibleRequest,
    verdict: Verdict,
) -> Option<Verdict> {
    let Verdict::GoOn(changes) = verdict else {
        return Some(verdict);
    };
    if let Some(units) = changes.units {
        request.units = request.units.max(units);
        merged.units = Some(request.units);
    }
    if let Some(deadline_ms) = changes.deadline_ms {
        request.left_ms = request.left_ms.min(deadline_ms);
        merged.deadline_ms = Some(request.left_ms);
    }
    merged.lower |= changes.lower;
    merge_headers(merged, changes.headers);
    None
}

/// Adds headers to the `merged` changes. Of headers with the same name the first is kept: earlier plug-ins in the
/// operator's order take precedence.
pub fn merge_headers(merged: &mut Changes, headers: Vec<(String, String)>) {
    for (name, value) in headers {
        let is_present = merged.headers.iter().any(|(present, _)| *present == name);
        if !is_present {
            merged.headers.push((name, value));
        }
    }
}
