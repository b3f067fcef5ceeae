//! A plan's quota, as the parameters of the token bucket that each customer of the plan has.

use crate::interface::{Ceiling, Plan, Settings};

/// Capacity of the bucket of a plan without a limit on the rate or on attempts in flight.
const UNLIMITED_CAPACITY: f64 = 1e12;

/// Parameters of a token bucket of units, or of concurrency permits. Attempts take permits; without a counter, the
/// permits that an attempt takes are refilled over time.
#[derive(Clone, Copy)]
pub(crate) struct Quota {
    /// Refill rate, in units or permits per second.
    pub rate_per_s: f64,
    /// Capacity, in units or permits.
    pub capacity: f64,
    /// Limit on the units or permits that one request takes.
    pub max_request_units: f64,
    /// Whether the quota limits attempts in flight rather than units.
    pub limits_concurrency: bool,
    pub ceiling: Option<Ceiling>,
    /// Cost of sending requests beyond the quota, relative to the plan for which that cost is highest.
    pub relative_cost: f64,
    /// Whether the fleet is large and its gateways exchange no usage: they send no usage reports, and either there is a
    /// counter or they send no messages. The usage at all gateways is then known from the counter or not at all.
    pub is_counter_only: bool,
    pub has_counter: bool,
}

/// Rate, capacity and largest withdrawal of a plan's token bucket.
struct BucketParameters {
    rate_per_s: f64,
    capacity: f64,
    max_request_units: f64,
}

impl Quota {
    /// Returns the quotas of all plans, given the mean latency `attempt_s` of an attempt. A fleet of more than
    /// `max_small_fleet` gateways counts as large: each gateway can then make only few calls to the counter.
    pub fn for_plans(settings: &Settings, attempt_s: f64, max_small_fleet: u32) -> Vec<Quota> {
        let has_counter = settings.has_counter;
        let is_counter_only = (has_counter || !settings.peer_messages)
            && settings.usage_report_ttl_us == 0
            && settings.gateways > max_small_fleet;
        let max_overrun_price = settings.plans.iter().map(overrun_price).fold(0.0, f64::max);
        let quota = |plan: &Plan| {
            let bucket = plan_bucket(plan, settings.max_units, attempt_s);
            let relative_cost = if max_overrun_price > 0.0 {
                overrun_price(plan) / max_overrun_price
            } else {
                1.0
            };
            Quota {
                rate_per_s: bucket.rate_per_s,
                capacity: bucket.capacity,
                max_request_units: bucket.max_request_units,
                limits_concurrency: plan.rate <= 0.0 && plan.max_open > 0,
                ceiling: plan.ceiling,
                relative_cost,
                is_counter_only,
                has_counter,
            }
        };
        settings.plans.iter().map(quota).collect()
    }

    /// Returns a quota with the lower rate, capacity and ceiling of both; all else is that of `other`.
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

fn plan_bucket(plan: &Plan, max_units: f64, attempt_s: f64) -> BucketParameters {
    if plan.rate > 0.0 {
        return BucketParameters {
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
    BucketParameters {
        rate_per_s: capacity / attempt_s,
        capacity,
        max_request_units: 1.0,
    }
}
