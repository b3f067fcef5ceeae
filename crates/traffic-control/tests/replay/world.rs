//! Random scenarios for the simulation.

use frosthatch_traffic_control::{
    Ceiling, Effect, Plan, RequestClass, RetryBudget, Scope, ServerEntry, Settings,
};
use proptest::prelude::{any, prop_oneof, Just, Strategy};

/// Maximum number of gateways of a fleet that are simulated; the others appear only in the counts of the counter.
pub const SIMULATED_GATEWAYS: u32 = 4;

/// The channels by which gateways learn of each other's use.
#[derive(Clone, Debug)]
pub struct Channels {
    pub counter: bool,
    pub peer_messages: bool,
    pub usage_reports: bool,
}

/// A fleet with its servers, customers and faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub gateways: u32,
    pub channels: Channels,
    /// Effect of class `write`: 0: repeatable, 1: keyed, other: once.
    pub effect: u8,
    pub servers: usize,
    pub customers: u32,
    /// Mean number of requests that each gateway gets a second.
    pub requests_per_s: f64,
    /// Quota of plan `large` in units a second.
    pub quota: f64,
    /// Limit on attempts in flight of plan `places`.
    pub max_open: u32,
    /// Ceiling of plan `large` as a multiple of its quota; 0: none.
    pub ceiling: f64,
    /// Share of attempts, counter calls and peer messages that fail.
    pub fault_rate: f64,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    pub seed: u64,
}

/// Returns a strategy for scenarios with this number of gateways.
pub fn scenarios(gateways: u32) -> impl Strategy<Value = Scenario> {
    let channel_flags = (any::<bool>(), any::<bool>(), any::<bool>());
    let fleet = (0u8..3, 1usize..90, 1u32..16, 5.0..80.0f64);
    let quotas = (1.0..60.0f64, 1u32..9, prop_oneof![Just(0.0), 1.2..3.0f64]);
    let remaining_values = (
        prop_oneof![Just(0.0), 0.01..0.4f64],
        any::<bool>(),
        any::<u64>(),
    );
    (channel_flags, fleet, quotas, remaining_values).prop_map(
        move |(channel_flags, fleet, quotas, remaining_values)| Scenario {
            gateways,
            channels: Channels {
                counter: channel_flags.0,
                peer_messages: channel_flags.1,
                usage_reports: channel_flags.2 && !channel_flags.0,
            },
            effect: fleet.0,
            servers: fleet.1,
            customers: fleet.2,
            requests_per_s: fleet.3,
            quota: quotas.0,
            max_open: quotas.1,
            ceiling: quotas.2,
            fault_rate: remaining_values.0,
            cancel: remaining_values.1,
            seed: remaining_values.2,
        },
    )
}

impl Scenario {
    /// Returns the settings of a gateway.
    pub fn settings(&self, gateway_index: u32) -> Settings {
        let class = |name: &str, latency_objective_us, priority_weight, effect| RequestClass {
            name: name.into(),
            latency_objective_us,
            deadline_us: 3 * latency_objective_us,
            effect,
            priority_weight,
            late_weight: 0.0,
        };
        let effect = match self.effect {
            0 => Effect::Repeatable,
            1 => Effect::Keyed {
                scope: Scope::Cell,
                window_us: 750_000,
            },
            _ => Effect::Once,
        };
        let plan = |name: &str, rate: f64, max_open, price, excess_weight, ceiling: f64| Plan {
            name: name.into(),
            rate,
            burst: rate * 2.0,
            max_open,
            price,
            excess_weight,
            overrun_cost: 1.0 - excess_weight,
            ceiling: (ceiling > 0.0).then_some(Ceiling {
                rate: rate * ceiling,
                depth: rate * ceiling * 2.0,
            }),
        };
        Settings {
            gateways: self.gateways,
            gateway_index,
            classes: vec![
                class("read", 600_000, 2.0, Effect::Repeatable),
                class("write", 300_000, 5.0, effect),
            ],
            plans: vec![
                plan("small", self.quota / 8.0, 0, 0.5, 0.9, 0.0),
                plan("places", 0.0, self.max_open, 1.3, 0.0, 0.0),
                plan("large", self.quota, 0, 1.8, 0.0, self.ceiling),
            ],
            max_attempts: 4,
            parallel_attempts: false,
            cancel: self.cancel,
            peer_messages: self.channels.peer_messages,
            peer_messages_per_s: 100.0,
            has_counter: self.channels.counter,
            usage_report_ttl_us: if self.channels.usage_reports {
                400_000
            } else {
                0
            },
            meter_period_us: 1_000_000,
            cross_zone_cost: 0.02,
            max_units: 6.0,
            retries: RetryBudget::default(),
            ..Settings::example()
        }
    }

    /// Returns the list entry of server `n`.
    pub fn entry(&self, n: usize) -> ServerEntry {
        ServerEntry {
            cell: (n % 5) as u64,
            weight: 1.0 + (n % 3) as f64 / 2.0,
            ..ServerEntry::ready(
                &format!("s{n}"),
                if n.is_multiple_of(2) { "a" } else { "b" },
            )
        }
    }

    /// Returns the complete server list.
    pub fn list(&self) -> Vec<ServerEntry> {
        (0..self.servers).map(|n| self.entry(n)).collect()
    }
}
