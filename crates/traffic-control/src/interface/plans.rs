//! Request classes, customer plans, and the policy terms that set both.

use super::time::Micros;

/// The servers that share the idempotency keys they have seen, so that each drops a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The request may run any number of times.
    Repeatable,
    /// Servers within `scope` drop repeats for `window_us` from the first send that may have run.
    Keyed {
        /// The servers that share the keys they have seen.
        scope: Scope,
        /// How long servers remember a key after the first send that may have run.
        window_us: Micros,
    },
    /// The request must not run twice: a further attempt requires proof that no earlier one ran.
    Once,
}

/// A class of request.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Name of the class in requests.
    pub name: String,
    /// Latency within which an answer earns the full value of the request.
    pub latency_objective_us: Micros,
    /// Time after which the client gives up.
    pub deadline_us: Micros,
    /// Whether a request of the class may run more than once.
    pub effect: Effect,
    /// Value of one unit of a request, before the factor [`Plan::price`].
    pub priority_weight: f64,
    /// Share of the value that an answer between the objective and the deadline earns.
    pub late_weight: f64,
}

/// A hard ceiling: a second token bucket for each customer of a plan, which all gateways together must not overdraw.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ceiling {
    /// Refill rate of the bucket, in units per second.
    pub rate: f64,
    /// Capacity of the bucket, in units.
    pub depth: f64,
}

impl Ceiling {
    /// Returns the ceiling with the lower rate and the lower depth of both; if only one is given, that one.
    pub(crate) fn stricter(a: Option<Ceiling>, b: Option<Ceiling>) -> Option<Ceiling> {
        let (Some(first), Some(second)) = (a, b) else {
            return a.or(b);
        };
        Some(Ceiling {
            rate: first.rate.min(second.rate),
            depth: first.depth.min(second.depth),
        })
    }
}

/// A customer plan. Its quota applies to each customer of the plan, across all gateways.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the plan in requests.
    pub name: String,
    /// Refill rate of the quota's token bucket, in units per second; 0 if the plan does not limit the rate.
    pub rate: f64,
    /// Capacity of the quota's token bucket, in units.
    pub burst: f64,
    /// Limit on the attempts in flight of each customer, used only if `rate` is 0; 0 for no limit.
    pub max_open: u32,
    /// Factor on the value of the plan's requests.
    pub price: f64,
    /// Share of its value that a request beyond the quota earns.
    pub excess_weight: f64,
    /// Cost of sending a request beyond the quota, as a share of the request's value.
    pub overrun_cost: f64,
    /// Hard ceiling on the units of each customer, if any.
    pub ceiling: Option<Ceiling>,
}

/// The budget that limits retries to a small share of the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that each first attempt adds to the budget.
    pub ratio: f64,
    /// Limit on the retries in the budget.
    pub max_saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            ratio: 0.15,
            max_saved: 10.0,
        }
    }
}

/// The terms that an agreed policy sets. They hold the plans and classes of the settings in the same order, with other
/// values.
#[derive(Clone, Debug)]
pub struct PolicyTerms {
    /// All plans.
    pub plans: Vec<Plan>,
    /// All classes.
    pub classes: Vec<RequestClass>,
    /// The retry budget.
    pub retries: RetryBudget,
}

impl PolicyTerms {
    /// Returns terms with the stricter limits of `self` and `other` for each plan; all else is that of `self`.
    pub fn with_stricter_limits(self, other: &PolicyTerms) -> PolicyTerms {
        let plans = self
            .plans
            .into_iter()
            .zip(&other.plans)
            .map(|(plan, other)| stricter_plan(plan, other))
            .collect();
        PolicyTerms { plans, ..self }
    }
}

fn stricter_plan(plan: Plan, other: &Plan) -> Plan {
    Plan {
        rate: plan.rate.min(other.rate),
        burst: plan.burst.min(other.burst),
        max_open: stricter_max_open(plan.max_open, other.max_open),
        ceiling: Ceiling::stricter(plan.ceiling, other.ceiling),
        ..plan
    }
}

/// Returns the lower of two limits on attempts in flight, where 0 means no limit.
fn stricter_max_open(a: u32, b: u32) -> u32 {
    if a == 0 || b == 0 {
        a.max(b)
    } else {
        a.min(b)
    }
}

/// State of this gateway's lease on the agreed policy. Requests may be admitted only while the lease is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// The lease is held: requests may be admitted.
    Held,
    /// The lease is being acquired: requests wait for it, as long as their clients' deadlines allow.
    Pending,
    /// No lease is held or being acquired, so no policy is known to be in force: requests are rejected immediately.
    Missing,
}
