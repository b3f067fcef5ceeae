//! The settings that a gateway starts with, and their validation.

use super::plans::{Ceiling, Effect, Plan, RequestClass, RetryBudget};
use super::time::Micros;

/// How a server that has just started warms, and what pushes it over.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Share of its capacity at the start, at least.
    pub initial_share: f64,
    /// Warm after this, at the latest.
    pub duration_us: Micros,
    /// It falls when sent more than this multiple of what it can do...
    pub overload_multiple: f64,
    /// ...for this long.
    pub overload_after_us: Micros,
}

/// Everything a gateway knows at its start.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent switches of the configuration"
)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: u32,
    /// This gateway's index.
    pub me: u32,
    /// This gateway's zone.
    pub zone: String,
    /// Request classes.
    pub classes: Vec<RequestClass>,
    /// Customer plans.
    pub plans: Vec<Plan>,
    /// Cold servers.
    pub slow_start: SlowStart,
    /// Attempts allowed for a request.
    pub max_attempts: u32,
    /// May two attempts of one request be out at once.
    pub parallel_attempts: bool,
    /// May an attempt be withdrawn.
    pub cancel: bool,
    /// Longest retry-after that a client keeps to; 0: none is passed on.
    pub max_retry_after_us: Micros,
    /// May gateways message each other.
    pub peer_messages: bool,
    /// Messages a second that a gateway takes in.
    pub peer_messages_per_s: f64,
    /// Is there a shared counter.
    pub counter: bool,
    /// Gateways tell each other what customers use, and their word counts for so long; 0: they do not.
    pub usage_report_ttl_us: Micros,
    /// Period of the usage meter; 0: none.
    pub meter_period_us: Micros,
    /// Is the server list only told on request.
    pub list_on_request: bool,
    /// Points lost for an attempt into another zone, as a share of a request's worth.
    pub cross_zone_cost: f64,
    /// Most units of one request.
    pub max_units: f64,
    /// Further attempts.
    pub retries: RetryBudget,
}

impl Settings {
    /// # Errors
    /// The first mistake; the text says what to correct.
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        match self.mistakes().into_iter().next() {
            Some(mistake) => Err(SettingsError(mistake)),
            None => Ok(()),
        }
    }

    /// All mistakes, each with what would be right.
    pub fn mistakes(&self) -> Vec<String> {
        let mut mistakes = Vec::new();
        if self.classes.is_empty() || self.plans.is_empty() {
            mistakes.push("give at least one class and one plan".to_string());
        }
        if self.gateways == 0 || self.me >= self.gateways {
            mistakes.push("`gateways` must be at least 1 and `me` below it".into());
        }
        for class in self.classes.iter().filter(|class| !is_valid_class(class)) {
            mistakes.push(format!(
                "class {:?} needs a positive aim and finite, non-negative worths",
                class.name
            ));
        }
        for plan in self.plans.iter().filter(|plan| !is_valid_plan(plan)) {
            mistakes.push(format!(
                "plan {:?}: rate, burst, price, worth, cost and ceiling must be finite and not negative",
                plan.name
            ));
        }
        let quantities = [
            self.slow_start.initial_share,
            self.slow_start.overload_multiple,
            self.peer_messages_per_s,
            self.cross_zone_cost,
            self.max_units,
        ];
        if !quantities.into_iter().all(is_valid_quantity) {
            mistakes.push(
                "cold start, mail, zone cost and units must be finite and not negative".into(),
            );
        }
        mistakes
    }

    /// A small valid configuration, for trials: one gateway, one repeatable class `read`, one plan `basic`.
    pub fn example() -> Self {
        Settings {
            gateways: 1,
            me: 0,
            zone: "a".into(),
            classes: vec![RequestClass {
                name: "read".into(),
                latency_objective_us: 1_000_000,
                deadline_us: 4_000_000,
                effect: Effect::Repeatable,
                priority_weight: 1.0,
                late_weight: 0.0,
            }],
            plans: vec![Plan {
                name: "basic".into(),
                rate: 10.0,
                burst: 20.0,
                max_open: 0,
                price: 1.0,
                excess_weight: 0.0,
                overrun_cost: 1.0,
                ceiling: None,
            }],
            slow_start: SlowStart {
                initial_share: 0.2,
                duration_us: 20_000_000,
                overload_multiple: 3.0,
                overload_after_us: 2_000_000,
            },
            max_attempts: 3,
            parallel_attempts: true,
            cancel: true,
            max_retry_after_us: 2_000_000,
            peer_messages: false,
            peer_messages_per_s: 0.0,
            counter: false,
            usage_report_ttl_us: 0,
            meter_period_us: 0,
            list_on_request: false,
            cross_zone_cost: 0.0,
            max_units: 1.0,
            retries: RetryBudget::default(),
        }
    }
}

fn is_valid_quantity(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

fn is_valid_class(class: &RequestClass) -> bool {
    class.latency_objective_us > 0
        && is_valid_quantity(class.priority_weight)
        && is_valid_quantity(class.late_weight)
}

fn is_valid_plan(plan: &Plan) -> bool {
    let quantities = [
        plan.rate,
        plan.burst,
        plan.price,
        plan.excess_weight,
        plan.overrun_cost,
    ];
    let is_valid_ceiling =
        |ceiling: Ceiling| is_valid_quantity(ceiling.rate) && is_valid_quantity(ceiling.depth);
    quantities.into_iter().all(is_valid_quantity) && plan.ceiling.is_none_or(is_valid_ceiling)
}

/// Why settings were not accepted; the text says what to correct.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("settings not usable: {0}")]
pub struct SettingsError(pub String);
