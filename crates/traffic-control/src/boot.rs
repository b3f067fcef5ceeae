//! The settings document that operators write for a process that hosts a gateway, and its conversion to [`Settings`].
//! In the document, `balancers` are gateways, `services` are request classes and `tariffs` are plans; the serde names
//! of the fields below give the other names that differ.

use crate::interface::{
    Ceiling, Effect, Plan, RequestClass, RetryBudget, Scope, Settings, SlowStart,
};
use serde::Deserialize;

/// The settings document. A field that is left out is zero or empty; an unknown field is ignored.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct BootInfo {
    #[serde(rename = "balancers")]
    gateways: u32,
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
    #[serde(rename = "mailPerS")]
    peer_messages_per_s: f64,
    shared_counter: bool,
    #[serde(rename = "unitsTop")]
    max_units: f64,
    #[serde(rename = "usePeriodUs")]
    meter_period_us: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
// The Boolean settings are fields of the settings document, so an enum would not fit.
#[expect(clippy::struct_excessive_bools)]
struct Limits {
    cancel: bool,
    max_attempts: u32,
    max_retry_after_us: u64,
    #[serde(rename = "parallelTries")]
    parallel_attempts: bool,
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
    #[serde(rename = "coldFrom")]
    slow_start_initial_share: f64,
    #[serde(rename = "coldUs")]
    slow_start_duration_us: u64,
    #[serde(rename = "tipAfterUs")]
    overload_after_us: u64,
    #[serde(rename = "tipMultiple")]
    overload_multiple: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Service {
    #[serde(rename = "aimUs")]
    latency_objective_us: u64,
    deadline_us: u64,
    dedup_scope: String,
    effect: String,
    #[serde(rename = "lateWorth")]
    late_weight: f64,
    name: String,
    window_us: u64,
    #[serde(rename = "worth")]
    priority_weight: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Tariff {
    burst: f64,
    #[serde(rename = "capDepth")]
    ceiling_depth: f64,
    ceiling_rate: f64,
    #[serde(rename = "excessWorth")]
    excess_weight: f64,
    #[serde(rename = "maxOut")]
    max_open: u32,
    name: String,
    overrun_cost: f64,
    #[serde(rename = "pays")]
    price: f64,
    units_per_s: f64,
}

impl BootInfo {
    /// Converts the document to the settings of a [`Gateway`](crate::Gateway).
    pub fn settings(self) -> Settings {
        let limits = self.limits;
        let family = self.family_info;
        Settings {
            gateways: self.gateways,
            gateway_index: self.me,
            zone: self.zone,
            classes: self.services.into_iter().map(Service::class).collect(),
            plans: self.tariffs.into_iter().map(Tariff::plan).collect(),
            slow_start: self.rules.slow_start(),
            max_attempts: limits.max_attempts,
            parallel_attempts: limits.parallel_attempts,
            cancel: limits.cancel,
            max_retry_after_us: if limits.retry_after {
                limits.max_retry_after_us
            } else {
                0
            },
            peer_messages: limits.peer_messages,
            peer_messages_per_s: family.peer_messages_per_s,
            has_counter: family.shared_counter,
            usage_report_ttl_us: 0,
            meter_period_us: family.meter_period_us,
            list_on_request: self.discovery == "on_request",
            cross_zone_cost: self.penalties.cross_zone,
            max_units: family.max_units,
            retries: RetryBudget::default(),
        }
    }
}

impl Rules {
    fn slow_start(&self) -> SlowStart {
        SlowStart {
            initial_share: self.slow_start_initial_share,
            duration_us: self.slow_start_duration_us,
            overload_multiple: self.overload_multiple,
            overload_after_us: self.overload_after_us,
        }
    }
}

impl Service {
    fn class(self) -> RequestClass {
        RequestClass {
            effect: self.effect(),
            name: self.name,
            latency_objective_us: self.latency_objective_us,
            deadline_us: self.deadline_us,
            priority_weight: self.priority_weight,
            late_weight: self.late_weight,
        }
    }

    fn effect(&self) -> Effect {
        match self.effect.as_str() {
            "repeatable" => Effect::Repeatable,
            "by_key" => Effect::Keyed {
                scope: self.scope(),
                window_us: self.window_us,
            },
            _ => Effect::Once,
        }
    }

    fn scope(&self) -> Scope {
        match self.dedup_scope.as_str() {
            "all" => Scope::All,
            "zone" => Scope::Zone,
            _ => Scope::Cell,
        }
    }
}

impl Tariff {
    fn plan(self) -> Plan {
        let ceiling = Ceiling {
            rate: self.ceiling_rate,
            depth: self.ceiling_depth,
        };
        Plan {
            name: self.name,
            rate: self.units_per_s,
            burst: self.burst,
            max_open: self.max_open,
            price: self.price,
            excess_weight: self.excess_weight,
            overrun_cost: self.overrun_cost,
            ceiling: (ceiling.rate > 0.0).then_some(ceiling),
        }
    }
}
