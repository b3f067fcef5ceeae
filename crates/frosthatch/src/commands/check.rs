//! `frosthatch check`: checks the platform's and the operator's file without starting a gateway.

use crate::operator_config::OperatorConfig;
use crate::platform_config::PlatformConfig;
use crate::{diameter, membership};
use frosthatch_config_reader::ConfigError;
use std::path::Path;
use std::process::ExitCode;

/// Prints every mistake in both files with its location and a correction; fails if there is any.
pub fn check(operator_file: Option<&Path>) -> ExitCode {
    let platform = PlatformConfig::from_env();
    let operator = OperatorConfig::read(operator_file);
    let mut errors = Vec::new();
    if let (Ok(platform), Ok(operator), Some(path)) = (&platform, &operator, operator_file) {
        errors = cross_check(platform, operator, path);
    }
    errors.extend(match platform {
        Ok(platform) => platform.warnings,
        Err(platform_errors) => platform_errors,
    });
    errors.extend(operator.err().unwrap_or_default());
    for error in &errors {
        println!("{error}");
    }
    match errors.len() {
        0 => println!("no mistakes"),
        1 => println!("1 mistake"),
        n => println!("{n} mistakes"),
    }
    if errors.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Returns the errors where the operator's file does not match the platform's settings.
fn cross_check(
    platform: &PlatformConfig,
    operator: &OperatorConfig,
    operator_file: &Path,
) -> Vec<ConfigError> {
    let error = |place: &str, message: String, hint: &str| ConfigError {
        file: operator_file.display().to_string(),
        location: place.into(),
        problem: message,
        hint: hint.into(),
    };
    let diameter = operator.diameter.as_ref();
    let diameter = diameter.and_then(|config| diameter::check(config, &platform.settings).err());
    let fleet = operator.fleet.as_ref();
    let fleet = fleet.and_then(|config| membership::check(config, &platform.settings).err());
    let diameter_hint =
        "name plans of the settings, and classes of the settings with the required effect";
    let fleet_hint =
        "list one address for each gateway of the settings, in the order of their numbers";
    diameter
        .map(|problem| error("diameter", problem, diameter_hint))
        .into_iter()
        .chain(fleet.map(|problem| error("peers", problem, fleet_hint)))
        .collect()
}
