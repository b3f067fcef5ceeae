//! The `[fleet]` table, and `[peers]`, its earlier form.

use frosthatch_cluster_membership::seal::Keys;
use frosthatch_cluster_membership::MemberRecord;
use frosthatch_config_reader::{ConfigReader, TableReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::de::DeValue;

/// Gateways that `[peers]` may list.
const MAX_GATEWAYS: usize = 1_000;
/// Longest key file that is read.
const MAX_KEY_FILE_BYTES: u64 = 4_096;
const ADDRESS_HINT: &str = "write an address and a port, as \"127.0.0.1:7400\"";
const NAME_HINT: &str = "write 1 to 64 of a-z, A-Z, 0-9, -, . and _";
const KEY_HINT: &str = "name a file with 32 bytes or more, the same for all gateways";

/// How this gateway takes part in the cluster of gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The member's name; `None`: as the platform calls this gateway.
    pub name: Option<String>,
    /// The member's zone; `None`: as the platform says.
    pub zone: Option<String>,
    /// The member's region; may be empty.
    pub region: String,
    /// Its own address and those of others.
    pub addresses: FleetAddresses,
    /// File with the keys that authenticate datagrams.
    pub key_file: PathBuf,
    /// How often gossip goes out.
    pub gossip_interval: Duration,
    /// How often some other member is probed.
    pub probe_interval: Duration,
    /// How long a dead member, or one that left, is remembered.
    pub forget_after: Duration,
    /// Budget of outgoing bytes.
    pub bytes_per_s: u64,
    /// Budget of outgoing datagrams.
    pub messages_per_s: u64,
    /// Usage counters kept at most.
    pub max_usage_entries: usize,
    /// Members kept at most.
    pub max_members: usize,
    /// Whether servers are subset among the members and outlier signals are shared.
    pub shares_server_choices: bool,
}

/// Where this gateway listens, and where others are.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAddresses {
    /// `[fleet]`: its own address, and some members by which it joins.
    WithSeeds {
        /// Where it binds.
        listen: SocketAddr,
        /// What the others are told; `None`: the bound address.
        advertise: Option<SocketAddr>,
        /// Members that are asked first.
        seeds: Vec<SocketAddr>,
    },
    /// `[peers]`: the addresses of all gateways, by their number.
    AllGateways(Vec<SocketAddr>),
}

/// Who a member is.
#[derive(Default)]
struct MemberIdentity {
    name: Option<String>,
    zone: Option<String>,
    region: String,
}

/// The `[fleet]` table; `None` where something is missing that has no default.
pub(super) fn read(
    reader: &mut ConfigReader,
    mut table: TableReader,
    folder: &Path,
) -> Option<FleetConfig> {
    let address = |value: &DeValue| value.as_str()?.parse::<SocketAddr>().ok();
    let listen = table.required(reader, "listen", ADDRESS_HINT, address);
    let advertise = table.read(reader, "advertise", ADDRESS_HINT, address);
    if advertise.is_none() && listen.is_some_and(|listen| listen.ip().is_unspecified()) {
        reader.report(
            table.span_of("listen"),
            "fleet.listen is no address that others can reach",
            "give advertise as well",
        );
    }
    let seeds_hint = "write addresses of some members, as \"127.0.0.1:7400\"";
    let seeds = table.parsed_strings::<SocketAddr>(reader, "seeds", 0..=64, seeds_hint);
    let identity = MemberIdentity {
        name: table.read(reader, "name", NAME_HINT, plain_name),
        zone: table.read(reader, "zone", NAME_HINT, plain_name),
        region: table
            .read(reader, "region", NAME_HINT, plain_name)
            .unwrap_or_default(),
    };
    let addresses = listen.map(|listen| FleetAddresses::WithSeeds {
        listen,
        advertise,
        seeds,
    });
    read_common(reader, table, folder, addresses, identity)
}

/// The `[peers]` table.
pub(super) fn read_peers(
    reader: &mut ConfigReader,
    mut table: TableReader,
    folder: &Path,
) -> Option<FleetConfig> {
    let hint =
        "write the address of each gateway, in the order of their numbers, as \"127.0.0.1:7400\"";
    let gateways = table.parsed_strings::<SocketAddr>(reader, "gateways", 2..=MAX_GATEWAYS, hint);
    let addresses = Some(FleetAddresses::AllGateways(gateways));
    read_common(reader, table, folder, addresses, MemberIdentity::default())
}

/// The keys that both tables have.
fn read_common(
    reader: &mut ConfigReader,
    mut table: TableReader,
    folder: &Path,
    addresses: Option<FleetAddresses>,
    identity: MemberIdentity,
) -> Option<FleetConfig> {
    let key_file = table.required(reader, "key_file", KEY_HINT, |value| {
        Some(folder.join(value.as_str()?))
    });
    if let Some(Err(error)) = key_file.as_deref().map(read_fleet_keys) {
        reader.report(table.span_of("key_file"), error, KEY_HINT);
    }
    let gossip_interval =
        table.milliseconds(reader, "tick_ms", 10..=1_000, Duration::from_millis(50));
    let probe_interval =
        table.milliseconds(reader, "probe_ms", 50..=10_000, Duration::from_millis(200));
    let forget_after = table.milliseconds(
        reader,
        "forget_ms",
        1_000..=86_400_000,
        Duration::from_secs(600),
    );
    let bytes_per_s = table.number(reader, "bytes_per_s", 1_200..=100_000_000, 250_000);
    let messages_per_s = table.number(reader, "messages_per_s", 1..=100_000, 400);
    let max_usage_entries = table.number(reader, "most_entries", 100..=1_000_000, 50_000);
    let max_members = table.number(reader, "most_members", 2..=5_000, 2_000);
    let shares_server_choices = table.boolean(reader, "choices", true);
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

/// The name of a member, zone or region.
fn plain_name(value: &DeValue) -> Option<String> {
    let text = value.as_str()?;
    (!text.is_empty() && MemberRecord::is_plain(text)).then(|| text.to_string())
}

/// The keys that all members share.
///
/// # Errors
/// The file, and why it cannot be used: for people.
pub fn read_fleet_keys(file: &Path) -> Result<Keys, String> {
    let error = |what: &str| format!("{}: {what}", file.display());
    let metadata = std::fs::metadata(file).map_err(|e| error(&e.to_string()))?;
    if metadata.len() > MAX_KEY_FILE_BYTES {
        return Err(error("it is longer than any key"));
    }
    let bytes = std::fs::read(file).map_err(|e| error(&e.to_string()))?;
    Keys::parse(&bytes).map_err(|e| error(&e.to_string()))
}
