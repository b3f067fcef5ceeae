//! Reads the `[fleet]` table and its older form, `[peers]`.

use frosthatch_cluster_membership::seal::Keys;
use frosthatch_cluster_membership::MemberRecord;
use frosthatch_config_reader::{ConfigReader, TableReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::de::DeValue;

/// Maximum number of gateways in `[peers]`.
const MAX_GATEWAYS: usize = 1_000;
/// Maximum length of the key file.
const MAX_KEY_FILE_BYTES: u64 = 4_096;
const ADDRESS_HINT: &str = "write an address and a port, as \"127.0.0.1:7400\"";
const NAME_HINT: &str = "write 1 to 64 of a-z, A-Z, 0-9, -, . and _";
const KEY_HINT: &str = "name a file with 32 bytes or more, the same for all gateways";

/// Configuration of this gateway's membership in the cluster of gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The member's name; `None` for the gateway's name on the platform.
    pub name: Option<String>,
    /// The member's zone; `None` for the zone in the platform's settings.
    pub zone: Option<String>,
    /// The member's region; may be empty.
    pub region: String,
    /// The member's own address and those of other members.
    pub addresses: FleetAddresses,
    /// File with the shared keys that authenticate datagrams.
    pub key_file: PathBuf,
    /// Interval at which gossip is sent.
    pub gossip_interval: Duration,
    /// Interval at which another member is probed.
    pub probe_interval: Duration,
    /// Time after which a member that is dead or has left is forgotten.
    pub forget_after: Duration,
    /// Maximum rate of outgoing bytes.
    pub bytes_per_s: u64,
    /// Maximum rate of outgoing datagrams.
    pub messages_per_s: u64,
    /// Maximum number of usage counters.
    pub max_usage_entries: usize,
    /// Maximum number of members.
    pub max_members: usize,
    /// Whether members divide the servers into subsets and share outlier signals.
    pub shares_server_choices: bool,
}

/// The addresses of this gateway and of other members.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAddresses {
    /// From `[fleet]`: the member's own address and seeds through which it joins.
    WithSeeds {
        /// Address that the member binds.
        listen: SocketAddr,
        /// Address that is advertised to other members; `None` for the bound address.
        advertise: Option<SocketAddr>,
        /// Addresses of members that are contacted first.
        seeds: Vec<SocketAddr>,
    },
    /// From `[peers]`: the addresses of all gateways, in the order of their numbers.
    AllGateways(Vec<SocketAddr>),
}

/// The configured name, zone and region of a member.
#[derive(Default)]
struct MemberIdentity {
    name: Option<String>,
    zone: Option<String>,
    region: String,
}

/// Reads the `[fleet]` table; returns `None` if a key without a default is missing or invalid.
pub(super) fn read(
    reader: &mut ConfigReader,
    mut table: TableReader,
    folder: &Path,
) -> Option<FleetConfig> {
    let address = |value: &DeValue| value.as_str()?.parse::<SocketAddr>().ok();
    let listen = table.read_required(reader, "listen", ADDRESS_HINT, address);
    let advertise = table.read_optional(reader, "advertise", ADDRESS_HINT, address);
    if advertise.is_none() && listen.is_some_and(|listen| listen.ip().is_unspecified()) {
        reader.report(
            table.span_of("listen"),
            "fleet.listen is an unspecified address, which other members cannot reach",
            "set advertise to an address that they can reach",
        );
    }
    let seeds_hint = "write addresses of some members, as \"127.0.0.1:7400\"";
    let seeds = table.read_parsed_strings::<SocketAddr>(reader, "seeds", 0..=64, seeds_hint);
    let identity = MemberIdentity {
        name: table.read_optional(reader, "name", NAME_HINT, plain_name),
        zone: table.read_optional(reader, "zone", NAME_HINT, plain_name),
        region: table
            .read_optional(reader, "region", NAME_HINT, plain_name)
            .unwrap_or_default(),
    };
    let addresses = listen.map(|listen| FleetAddresses::WithSeeds {
        listen,
        advertise,
        seeds,
    });
    read_common(reader, table, folder, addresses, identity)
}

/// Reads the `[peers]` table; returns `None` if a key without a default is missing or invalid.
pub(super) fn read_peers(
    reader: &mut ConfigReader,
    mut table: TableReader,
    folder: &Path,
) -> Option<FleetConfig> {
    let hint =
        "write the address of each gateway, in the order of their numbers, as \"127.0.0.1:7400\"";
    let gateways =
        table.read_parsed_strings::<SocketAddr>(reader, "gateways", 2..=MAX_GATEWAYS, hint);
    let addresses = Some(FleetAddresses::AllGateways(gateways));
    read_common(reader, table, folder, addresses, MemberIdentity::default())
}

/// Reads the keys that both tables have.
fn read_common(
    reader: &mut ConfigReader,
    mut table: TableReader,
    folder: &Path,
    addresses: Option<FleetAddresses>,
    identity: MemberIdentity,
) -> Option<FleetConfig> {
    let key_file = table.read_required(reader, "key_file", KEY_HINT, |value| {
        Some(folder.join(value.as_str()?))
    });
    if let Some(Err(error)) = key_file.as_deref().map(read_fleet_keys) {
        reader.report(table.span_of("key_file"), error, KEY_HINT);
    }
    let gossip_interval =
        table.read_milliseconds(reader, "tick_ms", 10..=1_000, Duration::from_millis(50));
    let probe_interval =
        table.read_milliseconds(reader, "probe_ms", 50..=10_000, Duration::from_millis(200));
    let forget_after = table.read_milliseconds(
        reader,
        "forget_ms",
        1_000..=86_400_000,
        Duration::from_secs(600),
    );
    let bytes_per_s = table.read_integer(reader, "bytes_per_s", 1_200..=100_000_000, 250_000);
    let messages_per_s = table.read_integer(reader, "messages_per_s", 1..=100_000, 400);
    let max_usage_entries = table.read_integer(reader, "most_entries", 100..=1_000_000, 50_000);
    let max_members = table.read_integer(reader, "most_members", 2..=5_000, 2_000);
    let shares_server_choices = table.read_boolean(reader, "choices", true);
    table.finish(reader);
    Some(FleetConfig {
        name: identity.name,
        zone: identity.zone,
        region: identity.region,
        addresses: addresses?,
        key_file: key_file?,
        gossip_interval,
        probe_interval,
        forget_after,
        bytes_per_s: bytes_per_s.unsigned_abs(),
        messages_per_s: messages_per_s.unsigned_abs(),
        max_usage_entries: max_usage_entries as usize,
        max_members: max_members as usize,
        shares_server_choices,
    })
}

/// Parses the name of a member, zone or region.
fn plain_name(value: &DeValue) -> Option<String> {
    let text = value.as_str()?;
    (!text.is_empty() && MemberRecord::is_plain(text)).then(|| text.to_string())
}

/// Reads the keys that all members share.
///
/// # Errors
/// Returns a message that names the file and why it cannot be used.
pub fn read_fleet_keys(file: &Path) -> Result<Keys, String> {
    let error = |problem: &str| format!("{}: {problem}", file.display());
    let metadata = std::fs::metadata(file).map_err(|e| error(&e.to_string()))?;
    if metadata.len() > MAX_KEY_FILE_BYTES {
        return Err(error("the key file is longer than 4096 bytes"));
    }
    let bytes = std::fs::read(file).map_err(|e| error(&e.to_string()))?;
    Keys::parse(&bytes).map_err(|e| error(&e.to_string()))
}
