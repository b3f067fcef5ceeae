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
        /// The servers that share what they have seen.
        scope: Scope,
        /// How long they remember, from the send.
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
    /// An answer within this earns full worth.
    pub latency_objective_us: Micros,
    /// The client's whole patience.
    pub deadline_us: Micros,
    /// May it run again.
    pub effect: Effect,
    /// Worth of one request before the plan's price and the units.
    pub priority_weight: f64,
    /// Share of the worth that an answer between aim and deadline earns.
    pub late_weight: f64,
}

/// A hard ceiling: a second store of units that no customer of the plan may overdraw, all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ceiling {
    /// Units a second at which it fills.
    pub rate: f64,
    /// Units that it holds at most.
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
    /// Units that the store holds.
    pub burst: f64,
    /// Attempts out at once; 0: no such quota.
    pub max_open: u32,
    /// Multiplier on worth.
    pub price: f64,
    /// Share of its worth that a request passed on beyond the quota earns.
    pub excess_weight: f64,
    /// Share of its worth that passing on beyond the quota costs.
    pub overrun_cost: f64,
    /// Hard ceiling, if any.
    pub ceiling: Option<Ceiling>,
}

/// The budget of further attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Further attempts that one first attempt earns.
    pub ratio: f64,
    /// Those that are saved up at most: they stay a small share of load.
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

/// What an agreed policy sets: plans and classes are those of the settings, in their order, with other figures.
#[derive(Clone, Debug)]
pub struct PolicyTerms {
    /// All plans.
    pub plans: Vec<Plan>,
    /// All classes.
    pub classes: Vec<RequestClass>,
    /// Further attempts.
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

/// Whether requests may be let in, where gateways agree on their policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// They may.
    Held,
    /// Soon: they are held meanwhile, as long as their clients' time allows.
    Pending,
    /// Nobody knows under what, or until when: they are refused at once.
    Missing,
}
