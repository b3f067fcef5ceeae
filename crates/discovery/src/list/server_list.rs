//! JSON format of an endpoint list. The names of its fields and states are defined by the list agent's interface.

use frosthatch_engine::{Endpoint, EndpointState, Protocol};
use frosthatch_log::log_line;
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::net::SocketAddr;

/// A complete endpoint list, or a change to one.
#[derive(Debug, Deserialize, Default)]
pub struct ServerList {
    /// Version of the endpoint list once this list or change is applied.
    pub rev: u64,
    /// Whether the list is complete; otherwise it holds only the endpoints that have changed.
    pub all: bool,
    /// The listed or changed endpoints. Invalid entries are logged and left out; the other entries are used.
    #[serde(deserialize_with = "deserialize_valid_targets")]
    pub targets: Vec<Endpoint>,
}

/// An entry of the list.
#[derive(Deserialize)]
struct Target {
    uid: String,
    #[serde(rename = "endpoint")]
    address: SocketAddr,
    #[serde(default, rename = "az")]
    zone: String,
    #[serde(default, rename = "pod_group")]
    cell: u64,
    state: TargetState,
    #[serde(default = "default_weight", rename = "capacity_hint")]
    weight: f64,
    #[serde(default, rename = "boot_ms")]
    started_ms: u64,
    #[serde(default, rename = "proto", deserialize_with = "deserialize_protocol")]
    protocol: Protocol,
}

#[derive(Deserialize)]
enum TargetState {
    Ready,
    #[serde(rename = "Terminating")]
    Draining,
    Gone,
}

impl From<Target> for Endpoint {
    fn from(target: Target) -> Endpoint {
        Endpoint {
            uid: target.uid,
            address: target.address,
            zone: target.zone,
            cell: target.cell,
            state: match target.state {
                TargetState::Ready => EndpointState::Ready,
                TargetState::Draining => EndpointState::Draining,
                TargetState::Gone => EndpointState::Gone,
            },
            weight: target.weight,
            started_ms: target.started_ms,
            protocol: target.protocol,
        }
    }
}

/// Returns the index of each invalid entry of a list, with a description of the error.
pub fn invalid_entries(list: &Value) -> Vec<(usize, String)> {
    let Some(entries) = list.get("targets").and_then(Value::as_array) else {
        return Vec::new();
    };
    let mut invalid = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        if let Err(error) = Target::deserialize(entry) {
            invalid.push((index, error.to_string()));
        }
    }
    invalid
}

fn deserialize_valid_targets<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Endpoint>, D::Error> {
    let entries = Vec::<Value>::deserialize(deserializer)?;
    let mut endpoints = Vec::with_capacity(entries.len());
    for entry in entries {
        match Target::deserialize(&entry) {
            Ok(target) => endpoints.push(Endpoint::from(target)),
            Err(e) => log_line!("discovery: ignoring an invalid entry of the endpoint list: {e}"),
        }
    }
    Ok(endpoints)
}

fn deserialize_protocol<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Protocol, D::Error> {
    let name = String::deserialize(deserializer)?;
    Protocol::from_name(&name)
        .ok_or_else(|| D::Error::custom(format!("proto {name:?} is not supported")))
}

fn default_weight() -> f64 {
    1.0
}
