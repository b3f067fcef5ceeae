//! The settings that a gateway starts with, and their validation.

use super::plans::{Ceiling, Effect, Plan, RequestClass, RetryBudget};
use super::time::Micros;

/// How a server's capacity grows after its start, and which load would overload it meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Minimum share of its full capacity that a server has at its start.
    pub initial_share: f64,
    /// Time after its start within which a server reaches its full capacity.
    pub duration_us: Micros,
    /// Load above this multiple of a server's current capacity overloads the server if it lasts for
    /// `overload_after_us`.
    pub overload_multiple: f64,
    /// Duration of such load after which a server is overloaded.
    pub overload_after_us: Micros,
}

/// The configuration of a gateway.
#[derive(Clone, Debug)]
// The Boolean settings are independent of each other, so an enum would not fit.
#[expect(clippy::struct_excessive_bools)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: u32,
    /// Index of this gateway, from 0.
    pub gateway_index: u32,
    /// This gateway's zone.
    pub zone: String,
    /// Request classes.
    pub classes: Vec<RequestClass>,
    /// Customer plans.
    pub plans: Vec<Plan>,
    /// How servers warm up.
    pub slow_start: SlowStart,
    /// Limit on the attempts of a request.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at once.
    pub parallel_attempts: bool,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// Longest retry-after that clients honour; 0 if none is sent.
    pub max_retry_after_us: Micros,
    /// Whether gateways may send messages to each other.
    pub peer_messages: bool,
    /// Messages per second that a gateway accepts from its peers.
    pub peer_messages_per_s: f64,
    /// Whether there is a shared counter.
    pub has_counter: bool,
    /// How long a usage report of another gateway is valid; 0 if gateways send none.
    pub usage_report_ttl_us: Micros,
    /// Period over which the usage meter measures each customer's usage at all gateways; 0 if there is no meter. Its
    /// figures come with outcomes, as [`AttemptOutcome::metered_use`](crate::AttemptOutcome::metered_use).
    pub meter_period_us: Micros,
    /// Whether the server list is only sent on request.
    pub list_on_request: bool,
    /// Cost of an attempt to a server in another zone, as a share of the request's value.
    pub cross_zone_cost: f64,
    /// Limit on the units of one request.
    pub max_units: f64,
    /// The retry budget.
    pub retries: RetryBudget,
}

impl Settings {
    /// Checks the settings.
    ///
    /// # Errors
    /// Returns the first of the [`validation_errors`](Self::validation_errors).
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        match self.validation_errors().into_iter().next() {
            Some(mistake) => Err(SettingsError(mistake)),
            None => Ok(()),
        }
    }

    /// Returns a message for each mistake in the settings, which says what is valid instead.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut mistakes = Vec::new();
        if self.classes.is_empty() || self.plans.is_empty() {
            mistakes.push("the settings must contain at least one class and one plan".to_string());
        }
        if self.gateways == 0 || self.gateway_index >= self.gateways {
            mistakes.push(
                "`balancers` (the number of gateways) must be at least 1, and `me` less than `balancers`"
                    .into(),
            );
        }
        for class in self.classes.iter().filter(|class| !is_valid_class(class)) {
            mistakes.push(format!(
                "class {:?}: aim must be greater than 0; worth and late worth must be finite and not negative",
                class.name
            ));
        }
        for plan in self.plans.iter().filter(|plan| !is_valid_plan(plan)) {
            mistakes.push(format!(
                "plan {:?}: rate, burst, price, excess worth, overrun cost and ceiling must each be finite and not negative",
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
                "`coldFrom`, `tipMultiple`, `mailPerS`, `crossZone` and `unitsTop` must each be finite and not negative"
                    .into(),
            );
        }
        mistakes
    }

    /// Returns a small valid configuration for examples and tests: one gateway, one repeatable class `read`, one plan
    /// `basic`.
    pub fn example() -> Self {
        Settings {
            gateways: 1,
            gateway_index: 0,
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
            has_counter: false,
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

/// The error for invalid settings; the text says what to correct.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid settings: {}", .0)]
pub struct SettingsError(pub String);
