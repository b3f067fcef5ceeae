//! The parts of a policy document. Their names and doc comments are published in the JSON schema that operators see.

use schemars::JsonSchema;
use serde::Serialize;
use std::collections::BTreeMap;

/// The policy that all gateways serve under. It has to name every plan and every class of the platform.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Document {
    /// One above the version of the previous policy; the first is 1.
    pub version: u64,
    /// SHA-256 of the previous document, in hexadecimal; left out of the first.
    #[schemars(default)]
    pub parent: String,
    /// The quotas of plans, by the plan's name.
    pub plans: BTreeMap<String, Plan>,
    /// What requests are worth, by the class's name.
    pub classes: BTreeMap<String, Class>,
    /// The retry budget.
    #[schemars(default)]
    pub retries: Retries,
    /// The plug-ins that have to run, by name.
    #[schemars(default)]
    pub plugins: BTreeMap<String, Plugin>,
}

/// The quota of each customer of a plan, over all gateways.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Plan {
    /// Units per second; 0: the rate is not limited.
    pub rate: f64,
    /// Units that may be saved up.
    #[schemars(default)]
    pub burst: f64,
    /// Attempts that may be in flight at once; 0: no limit.
    #[schemars(default)]
    pub max_open: u32,
    /// Units per second that are never exceeded, with `ceiling_depth`; without both there is no ceiling.
    pub ceiling_rate: Option<f64>,
    /// Units that may be saved up under the ceiling.
    pub ceiling_depth: Option<f64>,
}

/// What the response to a request is worth, and by when.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Class {
    /// Latency objective in milliseconds; a response within it earns the full worth.
    pub aim_ms: u64,
    /// Worth of one request, before the plan's price and the units.
    pub worth: f64,
    /// Share of the worth that a response between the latency objective and the deadline earns.
    pub late_worth: f64,
}

/// The retry budget; what is left out stays as the gateways are configured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Retries {
    /// Retries that one first attempt earns.
    pub share: Option<f64>,
    /// Retries that may be saved up.
    pub most: Option<f64>,
}

/// A plug-in that has to run.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Plugin {
    /// SHA-256 of its file, in hexadecimal.
    pub sha256: String,
}
