//! Request classes, customer plans and the policy that sets both.

use super::time::Micros;

/// Which servers drop a repeat of a keyed request.
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
    /// Any number of times.
    Repeatable,
    /// Repeats are dropped within `scope` for `window_us` from the first send that may have run.
    Keyed {
        /// The servers that share which keys they have seen.
        scope: Scope,
        /// How long they remember a key, from the send.
        window_us: Micros,
    },
    /// Never: a further attempt needs proof that no earlier one ran.
    Once,
}

/// A class of request.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Name that requests carry.
    pub name: String,
    /// Latency objective: an answer within it earns the full value.
    pub latency_objective_us: Micros,
    /// Time after which the client gives up.
    pub deadline_us: Micros,
    /// Whether it may run again.
    pub effect: Effect,
    /// Value of one request before the plan's price and the units.
    pub priority_weight: f64,
    /// Share of the value that an answer between objective and deadline earns.
    pub late_weight: f64,
}

/// A hard ceiling: a second store of units that no customer of the plan may overdraw at all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ceiling {
    /// Units a second by which it fills.
    pub rate: f64,
    /// Its capacity in units.
    pub depth: f64,
}

impl Ceiling {
    /// The ceiling that keeps to both; where one has none, the other's.
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

/// A plan and its quota for each customer over all gateways.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name that requests carry.
    pub name: String,
    /// Units a second; 0: no quota on the rate.
    pub rate: f64,
    /// Capacity of the store in units.
    pub burst: f64,
    /// Limit on attempts in flight; 0: none.
    pub max_open: u32,
    /// Factor on the value of its requests.
    pub price: f64,
    /// Share of its value that a request beyond the quota earns.
    pub excess_weight: f64,
    /// Share of its value that passing on a request beyond the quota costs.
    pub overrun_cost: f64,
    /// Hard ceiling, if any.
    pub ceiling: Option<Ceiling>,
}

/// The retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that one first attempt earns.
    pub ratio: f64,
    /// Retries that may be saved up: they stay a small share of the load.
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

/// What an agreed policy sets. Plans and classes are those of the settings in the same order, with other figures.
#[derive(Clone, Debug)]
pub struct PolicyTerms {
    /// All plans.
    pub plans: Vec<Plan>,
    /// All classes.
    pub classes: Vec<RequestClass>,
    /// Retry budget.
    pub retries: RetryBudget,
}

impl PolicyTerms {
    /// The smaller of both, plan by plan; classes and retries are those of `self`.
    pub fn smaller(self, other: &PolicyTerms) -> PolicyTerms {
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

/// The smaller limit on open attempts, where 0 is none.
fn stricter_max_open(a: u32, b: u32) -> u32 {
    if a == 0 || b == 0 {
        a.max(b)
    } else {
        a.min(b)
    }
}

/// Whether requests may be admitted, where gateways agree on their policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// They may be admitted.
    Held,
    /// They wait for the lease, as long as their clients' time allows.
    Pending,
    /// No policy is known to hold: they are rejected at once.
    Missing,
}
