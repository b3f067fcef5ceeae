//! Which plug-ins are asked for a request, in which order, and what their answers come to. No I/O and no clock.

use crate::abi::{Changes, Shown, Verdict};
use std::ops::RangeInclusive;

/// Which requests a plug-in is asked about; an empty list is all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestSelector {
    pub plans: Vec<String>,
    pub classes: Vec<String>,
    pub customers: Vec<RangeInclusive<u64>>,
}

impl RequestSelector {
    pub fn takes(&self, customer: u64, plan: &str, class: &str) -> bool {
        let named = |list: &[String], name: &str| list.is_empty() || list.iter().any(|n| n == name);
        let ranges = &self.customers;
        named(&self.plans, plan)
            && named(&self.classes, class)
            && (ranges.is_empty() || ranges.iter().any(|r| r.contains(&customer)))
    }
}

/// What a plug-in that gave no verdict leaves of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailurePolicy {
    /// It is left out.
    Open,
    /// They are refused: nothing ran.
    Refuse,
    /// They fail.
    Fail,
}

/// A wait after a refusal for want of a verdict.
const COME_BACK_MS: u32 = 1_000;

impl FailurePolicy {
    pub fn verdict(self) -> Verdict {
        match self {
            FailurePolicy::Open => Verdict::GoOn(Changes::default()),
            FailurePolicy::Refuse => Verdict::Refuse {
                wait_ms: COME_BACK_MS,
            },
            FailurePolicy::Fail => Verdict::Fail,
        }
    }
}

/// Adds a verdict to what came before it; the first that does not go on ends it. Each next plug-in is shown the request as it
/// is by then.
pub fn add(sum: &mut Changes, shown: &mut Shown, verdict: Verdict) -> Option<Verdict> {
    let Verdict::GoOn(changes) = verdict else {
        return Some(verdict);
    };
    if let Some(units) = changes.units {
        shown.units = shown.units.max(units);
        sum.units = Some(shown.units);
    }
    if let Some(ms) = changes.deadline_ms {
        shown.left_ms = shown.left_ms.min(ms);
        sum.deadline_ms = Some(shown.left_ms);
    }
    sum.lower |= changes.lower;
    add_headers(sum, changes.headers);
    None
}

/// Of one name the first stays: the order is the operator's.
pub fn add_headers(sum: &mut Changes, headers: Vec<(String, String)>) {
    for (name, value) in headers {
        if !sum.headers.iter().any(|(n, _)| *n == name) {
            sum.headers.push((name, value));
        }
    }
}
