//! Handles SIGHUP: reads both configuration files again and applies both or neither.

use super::{discovery_source, RunningGateway};
use crate::operator_config::{read_fleet_keys, OperatorConfig};
use crate::platform_config::PlatformConfig;
use frosthatch_config_reader::join_errors;
use frosthatch_log::log_line;
use frosthatch_plugins::host::LoadedPlugins;
use std::path::Path;

impl RunningGateway {
    /// Reads and applies both files; logs any mistakes and then keeps the configuration in use. Nothing is applied before
    /// the last wait, so that a reload that is dropped changes nothing.
    pub(super) async fn reload(&mut self, operator_file: Option<&Path>) {
        let platform = PlatformConfig::from_env();
        let operator = OperatorConfig::read(operator_file);
        match (platform, operator) {
            (Ok(platform), Ok(operator)) => self.apply(&platform, &operator).await,
            (platform, operator) => {
                self.reloads.record(false);
                let mut errors = platform.err().unwrap_or_default();
                errors.extend(operator.err().unwrap_or_default());
                log_line!("{}; the configuration in use is kept", join_errors(&errors));
            }
        }
    }

    /// Applies valid files, except for tables whose changes require a restart.
    async fn apply(&mut self, platform: &PlatformConfig, operator: &OperatorConfig) {
        let loaded_plugins = match &self.plugins {
            Some(plugins) => Some(plugins.load(operator.plugins.clone()).await),
            None => None,
        };
        if operator.fleet != self.fleet_config {
            log_line!("fleet: a changed [fleet] or [peers] table requires a restart; the table in use is kept");
        }
        if operator.policy != self.policy_config {
            log_line!(
                "policy: a changed [policy] table requires a restart; the table in use is kept"
            );
        }
        self.reload_fleet_keys();
        let result = match (&mut self.diameter, &operator.diameter) {
            (Some(service), Some(config)) => service.reload(config).await,
            (None, None) => Ok(()),
            _ => Err("diameter: adding or removing the [diameter] table requires a restart".into()),
        };
        self.reloads.record(result.is_ok());
        if let Err(reason) = result {
            log_line!("{reason}; the configuration in use is kept");
            return;
        }
        self.replace_plugins(loaded_plugins, operator);
        self.discovery_source
            .send_replace(discovery_source(platform, operator));
        self.counter_address.send_replace(platform.counter);
    }

    /// Reads the key file again: keys may be rotated while the table is unchanged.
    fn reload_fleet_keys(&self) {
        let (Some(member), Some(fleet)) = (&self.member, &self.fleet_config) else {
            return;
        };
        match read_fleet_keys(&fleet.key_file) {
            Ok(keys) => member.set_keys(keys),
            Err(reason) => log_line!("fleet: {reason}; the keys in use are kept"),
        }
    }

    fn replace_plugins(&self, loaded: Option<LoadedPlugins>, operator: &OperatorConfig) {
        if let (Some(plugins), Some(loaded)) = (&self.plugins, loaded) {
            for error in plugins.replace(loaded) {
                log_line!("{error}");
            }
        } else if !operator.plugins.is_empty() {
            log_line!("plugins: adding the first plug-in requires a restart");
        }
        if let Some(policy) = &self.policy {
            policy.reload_plugins(&operator.plugins);
        }
    }
}
