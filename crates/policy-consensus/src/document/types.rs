//! The types of a policy document. Their names and doc comments are published in the JSON schema for operators.

use schemars::JsonSchema;
use serde::Serialize;
use std::collections::BTreeMap;

/// The policy under which all gateways serve requests. It has to list every plan and every class of the platform.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Document {
    /// The version of the policy: one above the version of the previous policy; the first version is 1.
    pub version: u64,
    /// SHA-256 of the previous document, in hexadecimal; omitted in version 1.
    #[schemars(default)]
    pub parent: String,
    /// Quotas, by plan name.
    pub plans: BTreeMap<String, Plan>,
    /// Worth and latency objective of requests, by class name.
    pub classes: BTreeMap<String, Class>,
    /// The gateways' retry budget.
    #[schemars(default)]
    pub retries: Retries,
    /// Plug-ins that every gateway has to run, by plug-in name.
    #[schemars(default)]
    pub plugins: BTreeMap<String, Plugin>,
}

/// The quota of each customer of a plan, shared by all gateways.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Plan {
    /// Quota in units per second; 0 for no limit.
    pub rate: f64,
    /// Maximum number of unused units that may be saved up.
    #[schemars(default)]
    pub burst: f64,
    /// Maximum number of attempts in flight at the same time; 0 for no limit.
    #[schemars(default)]
    pub max_open: u32,
    /// Ceiling in units per second, which is never exceeded. It requires `ceiling_depth`; without both there is no
    /// ceiling.
    pub ceiling_rate: Option<f64>,
    /// Maximum number of unused units that may be saved up under the ceiling.
    pub ceiling_depth: Option<f64>,
}

/// The worth of the response to a request, and its latency objective.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Class {
    /// Latency objective in milliseconds. A response within it earns the full worth.
    pub aim_ms: u64,
    /// Worth of one request, before it is multiplied by the plan's price and the request's units.
    pub worth: f64,
    /// Share of the worth, from 0 to 1, that a response after the latency objective and before the deadline earns.
    pub late_worth: f64,
}

/// The retry budget. A value that is omitted stays as configured at each gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Retries {
    /// Number of retries that each first attempt adds to the budget, from 0 to 1.
    pub share: Option<f64>,
    /// Maximum number of unused retries in the budget.
    pub most: Option<f64>,
}

/// A plug-in that every gateway has to run.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Plugin {
    /// SHA-256 of the plug-in's file, in hexadecimal.
    pub sha256: String,
}
