//! Reads the operator's configuration file (TOML): every feature that the platform does not configure. Each table
//! has its own module. Every key is checked, and an unknown one is an error. Without the file these features are
//! off.

mod diameter;
mod dns_sd;
mod fleet;
mod plugins;
mod policy;
#[cfg(test)]
mod tests;
mod tls;
mod upgrade;

pub use diameter::DiameterConfig;
pub use fleet::{read_fleet_keys, FleetAddresses, FleetConfig};
pub use policy::{CrashPoint, PolicyConfig};
pub use upgrade::MAX_SOCKET_PATH_BYTES;

use frosthatch_config_reader::{ConfigError, ConfigReader, TableReader};
use frosthatch_discovery::dnssd::DnsSdConfig;
use frosthatch_plugins::host::PluginConfig;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use toml::de::DeTable;

/// The features that the operator's file enables; by default none.
#[derive(Clone, Default, Debug)]
pub struct OperatorConfig {
    /// Discovery of servers by DNS-SD records instead of the list agent.
    pub dns_sd: Option<Arc<DnsSdConfig>>,
    /// Diameter credit control, in addition to HTTP.
    pub diameter: Option<DiameterConfig>,
    /// Membership in the cluster of gateways.
    pub fleet: Option<FleetConfig>,
    /// WebAssembly plug-ins, in the order in which they are called.
    pub plugins: Vec<PluginConfig>,
    /// Path of the Unix socket over which a new process takes over from this one.
    pub upgrade: Option<PathBuf>,
    /// Agreement of all gateways on one policy.
    pub policy: Option<PolicyConfig>,
}

impl OperatorConfig {
    /// Reads the file at `path`; without a path, returns the default.
    ///
    /// # Errors
    /// Returns every mistake in the file.
    pub fn read(path: Option<&Path>) -> Result<OperatorConfig, Vec<ConfigError>> {
        let Some(path) = path else {
            return Ok(OperatorConfig::default());
        };
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            vec![ConfigError {
                file: file.clone(),
                location: "the file".into(),
                problem: format!("cannot be read: {error}"),
                hint: "name a readable file".into(),
            }]
        })?;
        OperatorConfig::parse(&file, &text, path.parent().unwrap_or(Path::new(".")))
    }

    /// Parses the text of a file; relative paths in it are resolved against `folder`.
    fn parse(file: &str, text: &str, folder: &Path) -> Result<OperatorConfig, Vec<ConfigError>> {
        let (document, syntax_errors) = DeTable::parse_recoverable(text);
        let mut reader = ConfigReader::new(file, text);
        for error in syntax_errors {
            reader.report(
                error.span().unwrap_or(0..0),
                error.message(),
                "correct the TOML",
            );
        }
        let root = TableReader::new("", document.get_ref(), document.span());
        let config = read_tables(&mut reader, root, folder);
        if reader.errors.is_empty() {
            Ok(config)
        } else {
            Err(reader.errors)
        }
    }
}

/// The source from which servers are discovered.
#[derive(Clone, Copy, PartialEq)]
enum DiscoverySource {
    ListAgent,
    DnsSd,
}

/// Reads all tables and reports every mistake to `reader`; what cannot be read is left out.
fn read_tables(reader: &mut ConfigReader, mut root: TableReader, folder: &Path) -> OperatorConfig {
    let source = discovery_source(reader, &mut root);
    let dns_sd = root
        .read_table(reader, "dns-sd")
        .map(|table| dns_sd::read(reader, table, folder));
    let diameter = root
        .read_table(reader, "diameter")
        .map(|table| diameter::read(reader, table, folder));
    let peers = root
        .read_table(reader, "peers")
        .and_then(|table| fleet::read_peers(reader, table, folder));
    let fleet = root
        .read_table(reader, "fleet")
        .and_then(|table| fleet::read(reader, table, folder));
    if peers.is_some() && fleet.is_some() {
        reader.report(
            root.span_of("peers"),
            "[fleet] is present as well",
            "keep [fleet] alone: its seeds replace the list of [peers]",
        );
    }
    let plugins = plugins::read(reader, &mut root, folder);
    let upgrade = root
        .read_table(reader, "upgrade")
        .and_then(|table| upgrade::read(reader, table, folder));
    let policy = root
        .read_table(reader, "policy")
        .map(|table| policy::read(reader, table, folder));
    let fleet = fleet.or(peers);
    if policy.is_some() && fleet.is_none() {
        reader.report(
            root.span_of("policy"),
            "there is no [fleet]",
            "gateways agree only where they talk: add it",
        );
    }
    if source == DiscoverySource::DnsSd && dns_sd.is_none() {
        reader.report(
            0..0,
            "membership.source is \"dns-sd\", but the file has no [dns-sd] table",
            "add [dns-sd]",
        );
    }
    root.finish(reader);
    OperatorConfig {
        dns_sd: dns_sd
            .filter(|_| source == DiscoverySource::DnsSd)
            .map(Arc::new),
        diameter,
        fleet,
        plugins,
        upgrade,
        policy,
    }
}

/// Reads the `[membership]` table.
fn discovery_source(reader: &mut ConfigReader, root: &mut TableReader) -> DiscoverySource {
    let Some(mut table) = root.read_table(reader, "membership") else {
        return DiscoverySource::ListAgent;
    };
    let source = table.read_choice(reader, "source", &["list", "dns-sd"], "list");
    table.finish(reader);
    if source == "dns-sd" {
        DiscoverySource::DnsSd
    } else {
        DiscoverySource::ListAgent
    }
}
