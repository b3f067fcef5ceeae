//! The settings in the form in which the operators hand them out, for whatever hosts a gateway.

use crate::interface::{
    Ceiling, Effect, Plan, RequestClass, RetryBudget, Scope, Settings, SlowStart,
};
use serde::Deserialize;

/// The settings as the operators write them; what is left out is zero or empty, what is unknown is skipped.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct BootInfo {
    balancers: u32,
    discovery: String,
    family_info: FamilyInfo,
    limits: Limits,
    me: u32,
    penalties: Penalties,
    rules: Rules,
    services: Vec<Service>,
    tariffs: Vec<Tariff>,
    zone: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct FamilyInfo {
    mail_per_s: f64,
    shared_counter: bool,
    units_top: f64,
    use_period_us: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Limits {
    cancel: bool,
    max_attempts: u32,
    max_retry_after_us: u64,
    parallel_tries: bool,
    peer_messages: bool,
    retry_after: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Penalties {
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Rules {
    cold_from: f64,
    cold_us: u64,
    tip_after_us: u64,
    tip_multiple: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Service {
    aim_us: u64,
    deadline_us: u64,
    dedup_scope: String,
    effect: String,
    late_worth: f64,
    name: String,
    window_us: u64,
    worth: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Tariff {
    burst: f64,
    cap_depth: f64,
    ceiling_rate: f64,
    excess_worth: f64,
    max_out: u32,
    name: String,
    overrun_cost: f64,
    pays: f64,
    units_per_s: f64,
}

impl BootInfo {
    /// The settings in the units and terms of the decisions.
    pub fn settings(self) -> Settings {
        let scope = |s: &str| match s {
            "all" => Scope::All,
            "zone" => Scope::Zone,
            _ => Scope::Cell,
        };
        let effect = |s: &Service| match s.effect.as_str() {
            "repeatable" => Effect::Repeatable,
            "by_key" => Effect::Keyed {
                scope: scope(&s.dedup_scope),
                window_us: s.window_us,
            },
            _ => Effect::Once,
        };
        let classes = self.services.iter().map(|s| RequestClass {
            name: s.name.clone(),
            latency_objective_us: s.aim_us,
            deadline_us: s.deadline_us,
            effect: effect(s),
            priority_weight: s.worth,
            late_weight: s.late_worth,
        });
        let plans = self.tariffs.iter().map(|t| Plan {
            name: t.name.clone(),
            rate: t.units_per_s,
            burst: t.burst,
            max_open: t.max_out,
            price: t.pays,
            excess_weight: t.excess_worth,
            overrun_cost: t.overrun_cost,
            ceiling: (t.ceiling_rate > 0.0).then_some(Ceiling {
                rate: t.ceiling_rate,
                depth: t.cap_depth,
            }),
        });
        let (limits, family) = (self.limits, self.family_info);
        Settings {
            gateways: self.balancers,
            me: self.me,
            zone: self.zone,
            classes: classes.collect(),
            plans: plans.collect(),
            slow_start: SlowStart {
                initial_share: self.rules.cold_from,
                duration_us: self.rules.cold_us,
                overload_multiple: self.rules.tip_multiple,
                overload_after_us: self.rules.tip_after_us,
            },
            max_attempts: limits.max_attempts,
            parallel_attempts: limits.parallel_tries,
            cancel: limits.cancel,
            max_retry_after_us: if limits.retry_after {
                limits.max_retry_after_us
            } else {
                0
            },
            peer_messages: limits.peer_messages,
            peer_messages_per_s: family.mail_per_s,
            counter: family.shared_counter,
            usage_report_ttl_us: 0,
            meter_period_us: family.use_period_us,
            list_on_request: self.discovery == "on_request",
            cross_zone_cost: self.penalties.cross_zone,
            max_units: family.units_top,
            retries: RetryBudget::default(),
        }
    }
}
