//! Runs plug-ins: each has a thread of its own, on which its module is compiled and called. The serving thread only sends
//! records and waits for verdicts, up to a timeout.

mod config;
mod evaluation;
mod plugin;
mod plugin_set;
mod worker;

pub use config::{PluginConfig, INIT_FUEL_IN_CALLS};
pub use plugin_set::Plugins;
pub use worker::now_ms;
