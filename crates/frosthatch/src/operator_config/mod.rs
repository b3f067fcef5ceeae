//! The operator's own file: everything that the platform does not configure. TOML, a module for each table; every key is
//! checked, and an unknown one is an error. Without the file nothing of it is on.

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

/// What is on beside what the platform configures; the default is nothing.
#[derive(Clone, Default, Debug)]
pub struct OperatorConfig {
    /// Servers are discovered by DNS-SD records in place of the list agent.
    pub dns_sd: Option<Arc<DnsSdConfig>>,
    /// Diameter credit control is served beside HTTP.
    pub diameter: Option<DiameterConfig>,
    /// Gateways form a cluster and gossip.
    pub fleet: Option<FleetConfig>,
    /// WebAssembly plug-ins, in the order in which they are asked.
    pub plugins: Vec<PluginConfig>,
    /// The Unix socket over which a new process takes over from this one.
    pub upgrade: Option<PathBuf>,
    /// Gateways agree on one policy.
    pub policy: Option<PolicyConfig>,
}

impl OperatorConfig {
    /// Reads the file, if one is named.
    ///
    /// # Errors
    /// Every mistake in the file.
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
                hint: "name a file that can be read".into(),
            }]
        })?;
        OperatorConfig::parse(&file, &text, path.parent().unwrap_or(Path::new(".")))
    }

    /// Paths in the file are relative to `folder`.
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

/// Where servers are discovered.
#[derive(Clone, Copy, PartialEq)]
enum DiscoverySource {
    ListAgent,
    DnsSd,
}

/// What can be read of all tables; the mistakes are with `reader`.
fn read_tables(reader: &mut ConfigReader, mut root: TableReader, folder: &Path) -> OperatorConfig {
    let source = discovery_source(reader, &mut root);
    let dns_sd = root
        .table(reader, "dns-sd")
        .map(|table| dns_sd::read(reader, table, folder));
    let diameter = root
        .table(reader, "diameter")
        .map(|table| diameter::read(reader, table, folder));
    let peers = root
        .table(reader, "peers")
        .and_then(|table| fleet::read_peers(reader, table, folder));
    let fleet = root
        .table(reader, "fleet")
        .and_then(|table| fleet::read(reader, table, folder));
    if peers.is_some() && fleet.is_some() {
        reader.report(
            root.span_of("peers"),
            "there is [fleet] as well",
            "keep [fleet] alone: its seeds are what [peers] listed",
        );
    }
    let plugins = plugins::read(reader, &mut root, folder);
    let upgrade = root
        .table(reader, "upgrade")
        .and_then(|table| upgrade::read(reader, table, folder));
    let policy = root
        .table(reader, "policy")
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
            "membership.source is \"dns-sd\", but there is no such table",
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

fn discovery_source(reader: &mut ConfigReader, root: &mut TableReader) -> DiscoverySource {
    let Some(mut table) = root.table(reader, "membership") else {
        return DiscoverySource::ListAgent;
    };
    let source = table.choice(reader, "source", &["list", "dns-sd"], "list");
    table.finish(reader);
    if source == "dns-sd" {
        DiscoverySource::DnsSd
    } else {
        DiscoverySource::ListAgent
    }
}
