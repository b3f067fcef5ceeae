//! A plan's quota as a store that every customer of the plan has.

use crate::interface::{Ceiling, Plan, Settings};

/// The store of a plan without any limit holds so much.
const UNLIMITED_CAPACITY: f64 = 1e12;

/// A store of units, or of concurrency permits that attempts take and, without a counter, give back in time.
#[derive(Clone, Copy)]
pub(crate) struct Quota {
    pub rate_per_s: f64,
    pub capacity: f64,
    pub max_request_units: f64,
    /// Whether it limits attempts in flight rather than units.
    pub limits_concurrency: bool,
    pub ceiling: Option<Ceiling>,
    /// What passing on beyond it costs, as a share of what it costs for the plan where that is most.
    pub relative_cost: f64,
    /// Whether the gateways are many and report nothing to each other: at most the counter knows the use of all.
    pub is_counter_only: bool,
    pub has_counter: bool,
}

/// What a plan's store is made of.
struct Store {
    rate_per_s: f64,
    capacity: f64,
    max_request_units: f64,
}

impl Quota {
    /// The quotas of all plans, while a mean attempt takes `attempt_s`. A fleet of more than `max_small_fleet` gateways
    /// counts as large: each of them can make few calls.
    pub fn for_plans(settings: &Settings, attempt_s: f64, max_small_fleet: u32) -> Vec<Quota> {
        let has_counter = settings.has_counter;
        let is_counter_only = (has_counter || !settings.peer_messages)
            && settings.usage_report_ttl_us == 0
            && settings.gateways > max_small_fleet;
        let max_cost = settings.plans.iter().map(overrun_price).fold(0.0, f64::max);
        let quota = |plan: &Plan| {
            let store = plan_store(plan, settings.max_units, attempt_s);
            let relative_cost = if max_cost > 0.0 {
                overrun_price(plan) / max_cost
            } else {
                1.0
            };
            Quota {
                rate_per_s: store.rate_per_s,
                capacity: store.capacity,
                max_request_units: store.max_request_units,
                limits_concurrency: plan.rate <= 0.0 && plan.max_open > 0,
                ceiling: plan.ceiling,
                relative_cost,
                is_counter_only,
                has_counter,
            }
        };
        settings.plans.iter().map(quota).collect()
    }

    /// The smaller of both stores; all else is `other`'s.
    pub fn stricter(self, other: Quota) -> Quota {
        Quota {
            rate_per_s: self.rate_per_s.min(other.rate_per_s),
            capacity: self.capacity.min(other.capacity),
            ceiling: Ceiling::stricter(self.ceiling, other.ceiling),
            ..other
        }
    }
}

fn overrun_price(plan: &Plan) -> f64 {
    plan.price * plan.overrun_cost
}

fn plan_store(plan: &Plan, max_units: f64, attempt_s: f64) -> Store {
    if plan.rate > 0.0 {
        return Store {
            rate_per_s: plan.rate,
            capacity: plan.burst,
            max_request_units: max_units,
        };
    }
    let capacity = if plan.max_open > 0 {
        f64::from(plan.max_open)
    } else {
        UNLIMITED_CAPACITY
    };
    Store {
        rate_per_s: capacity / attempt_s,
        capacity,
        max_request_units: 1.0,
    }
}
