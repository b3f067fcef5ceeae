//! SIGHUP: both files are read again and applied together, or not at all.

use super::{discovery_source, RunningGateway};
use crate::operator_config::{read_fleet_keys, OperatorConfig};
use crate::platform_config::PlatformConfig;
use frosthatch_config_reader::join_errors;
use frosthatch_log::log_line;
use std::path::Path;

impl RunningGateway {
    /// Applies what the files say now; mistakes are logged, and everything stays as it was.
    pub(super) async fn reload(&mut self, operator_file: Option<&Path>) {
        let platform = PlatformConfig::from_env();
        let operator = OperatorConfig::read(operator_file);
        match (platform, operator) {
            (Ok(platform), Ok(operator)) => self.apply(&platform, &operator).await,
            (platform, operator) => {
                self.reloads.record(false);
                let mut errors = platform.err().unwrap_or_default();
                errors.extend(operator.err().unwrap_or_default());
                log_line!("{}; the old one stays", join_errors(&errors));
            }
        }
    }

    async fn apply(&mut self, platform: &PlatformConfig, operator: &OperatorConfig) {
        if operator.fleet != self.fleet_config {
            log_line!("fleet: another table wants a restart; the old one stays");
        }
        if operator.policy != self.policy_config {
            log_line!("policy: another table wants a restart; the old one stays");
        }
        self.reload_fleet_keys();
        let result = match (&mut self.diameter, &operator.diameter) {
            (Some(service), Some(config)) => service.reload(config).await,
            (None, None) => Ok(()),
            _ => Err("diameter: turning it on or off wants a restart".into()),
        };
        self.reloads.record(result.is_ok());
        if let Err(why) = result {
            log_line!("{why}; the old one stays");
            return;
        }
        self.reload_plugins(operator).await;
        self.discovery_source
            .send_replace(discovery_source(platform, operator));
        self.counter_address.send_replace(platform.counter);
    }

    /// The keys may be rotated while the table stays as it is.
    fn reload_fleet_keys(&self) {
        let (Some(member), Some(fleet)) = (&self.member, &self.fleet_config) else {
            return;
        };
        match read_fleet_keys(&fleet.key_file) {
            Ok(keys) => member.set_keys(keys),
            Err(why) => log_line!("fleet: {why}; the old keys stay"),
        }
    }

    async fn reload_plugins(&self, operator: &OperatorConfig) {
        if let Some(plugins) = &self.plugins {
            for error in plugins.reload(operator.plugins.clone()).await {
                log_line!("{error}");
            }
        } else if !operator.plugins.is_empty() {
            log_line!("plugins: the first ones want a restart");
        }
        if let Some(policy) = &self.policy {
            policy.reload_plugins(&operator.plugins);
        }
    }
}
