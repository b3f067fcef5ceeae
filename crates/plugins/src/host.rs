//! Runs plug-ins. Each has a dedicated thread, on which its module is compiled and called. The serving thread only
//! sends records to these threads and waits for verdicts with a timeout.

mod config;
mod evaluation;
mod plugin;
mod plugin_set;
mod worker;

pub use config::{PluginConfig, INIT_FUEL_IN_CALLS};
pub use plugin_set::{LoadedPlugins, Plugins};
pub use worker::now_ms;
