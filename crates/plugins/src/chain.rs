//! Selects the plug-ins for a request and merges their verdicts in order. No I/O and no clock.

use crate::abi::{Changes, Shown, Verdict};
use std::ops::RangeInclusive;

/// The requests that a plug-in is called for; an empty list matches all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestSelector {
    /// Names of plans.
    pub plans: Vec<String>,
    /// Names of request classes.
    pub classes: Vec<String>,
    /// Ranges of customers' numbers.
    pub customers: Vec<RangeInclusive<u64>>,
}

impl RequestSelector {
    /// Whether the plug-in is called for a request of this customer, plan and class.
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

/// What happens to a request when a plug-in returns no verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailurePolicy {
    /// The plug-in is skipped.
    Open,
    /// The request is rejected before anything ran.
    Refuse,
    /// The request fails.
    Fail,
}

/// Retry-After of a rejection for lack of a verdict.
const NO_VERDICT_RETRY_AFTER_MS: u32 = 1_000;

impl FailurePolicy {
    /// The verdict in place of the missing one.
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

/// Merges a verdict into the `merged` changes of the plug-ins before it, and updates the request that the next plug-in sees.
/// Returns the verdict if it ends the chain.
pub fn merge_verdict(merged: &mut Changes, shown: &mut Shown, verdict: Verdict) -> Option<Verdict> {
    let Verdict::GoOn(changes) = verdict else {
        return Some(verdict);
    };
    if let Some(units) = changes.units {
        shown.units = shown.units.max(units);
        merged.units = Some(shown.units);
    }
    if let Some(ms) = changes.deadline_ms {
        shown.left_ms = shown.left_ms.min(ms);
        merged.deadline_ms = Some(shown.left_ms);
    }
    merged.lower |= changes.lower;
    merge_headers(merged, changes.headers);
    None
}

/// Adds headers to the `merged` changes. The first header of a name wins, because the operator orders the plug-ins.
pub fn merge_headers(merged: &mut Changes, headers: Vec<(String, String)>) {
    for (name, value) in headers {
        let is_present = merged.headers.iter().any(|(present, _)| *present == name);
        if !is_present {
            merged.headers.push((name, value));
        }
    }
}
