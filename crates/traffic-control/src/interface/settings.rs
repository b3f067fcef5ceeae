//! The settings that a gateway starts with, and their validation.

use super::plans::{Effect, Plan, RequestClass, RetryBudget};
use super::time::Micros;
use std::fmt;

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
    /// Settings that make no sense are told with what to correct.
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        self.mistakes()
            .into_iter()
            .next()
            .map_or(Ok(()), |m| Err(SettingsError(m)))
    }

    /// All that makes no sense, each with what would be right.
    pub fn mistakes(&self) -> Vec<String> {
        let mut bad = Vec::new();
        let fine = |v: f64| v.is_finite() && v >= 0.0;
        if self.classes.is_empty() || self.plans.is_empty() {
            bad.push("give at least one class and one plan".to_string());
        }
        if self.gateways == 0 || self.me >= self.gateways {
            bad.push("`gateways` must be at least 1 and `me` below it".into());
        }
        for c in self.classes.iter().filter(|c| {
            !(fine(c.priority_weight) && fine(c.late_weight) && c.latency_objective_us > 0)
        }) {
            bad.push(format!(
                "class {:?} needs a positive aim and finite, non-negative worths",
                c.name
            ));
        }
        let plan_fine = |p: &&Plan| {
            let ceiling = p.ceiling.is_none_or(|c| fine(c.rate) && fine(c.depth));
            ceiling
                && [p.rate, p.burst, p.price, p.excess_weight, p.overrun_cost]
                    .into_iter()
                    .all(fine)
        };
        for p in self.plans.iter().filter(|p| !plan_fine(p)) {
            bad.push(format!(
                "plan {:?}: rate, burst, price, worth, cost and ceiling must be finite and not negative",
                p.name
            ));
        }
        let cold = [
            self.slow_start.initial_share,
            self.slow_start.overload_multiple,
        ];
        if !cold
            .into_iter()
            .chain([
                self.peer_messages_per_s,
                self.cross_zone_cost,
                self.max_units,
            ])
            .all(fine)
        {
            bad.push(
                "cold start, mail, zone cost and units must be finite and not negative".into(),
            );
        }
        bad
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

/// Why settings were not accepted; the text says what to correct.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings not usable: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
