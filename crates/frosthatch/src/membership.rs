//! Creates this process's membership in the cluster of gateways from both configuration files, and builds the fleet
//! status for the admin API.

use crate::operator_config::{read_fleet_keys, FleetAddresses, FleetConfig};
use crate::platform_config::PlatformConfig;
use frosthatch_cluster_membership::driver::MembershipHandle;
use frosthatch_cluster_membership::membership::MemberStatus;
use frosthatch_cluster_membership::{MemberRecord, Membership, MembershipConfig};
use frosthatch_log::log_line;
use frosthatch_sockets::bind_datagrams;
use frosthatch_traffic_control::Settings;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Maximum number of usage counters per MB of memory, whatever the operator's file allows: at some 200 bytes each
/// they take a sixteenth of the memory.
const MAX_USAGE_ENTRIES_PER_MB: usize = 320;
/// Maximum number of members per MB of memory, at some 1 kB each.
const MAX_MEMBERS_PER_MB: usize = 64;

/// Checks that `[peers]`, if the operator's file has it, lists as many gateways as the settings.
///
/// # Errors
/// Returns a message with both numbers.
pub fn check(fleet: &FleetConfig, settings: &Settings) -> Result<(), String> {
    let FleetAddresses::AllGateways(gateways) = &fleet.addresses else {
        return Ok(());
    };
    let listed = gateways.len();
    let expected = settings.gateways as usize;
    if listed == expected {
        Ok(())
    } else {
        Err(format!(
            "peers.gateways lists {listed} addresses, but the settings have {expected} gateways"
        ))
    }
}

/// The addresses that a member binds, advertises and joins through, and its name.
struct MemberAddresses {
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    name: String,
}

impl MemberAddresses {
    fn new(fleet: &FleetConfig, platform: &PlatformConfig) -> MemberAddresses {
        match &fleet.addresses {
            FleetAddresses::WithSeeds {
                listen,
                advertise,
                seeds,
            } => MemberAddresses {
                listen: *listen,
                advertise: *advertise,
                seeds: seeds.clone(),
                name: fleet.name.clone().unwrap_or_else(|| platform.name.clone()),
            },
            FleetAddresses::AllGateways(all) => {
                let me = platform.settings.gateway_index;
                MemberAddresses {
                    listen: all[me as usize],
                    advertise: None,
                    seeds: all.clone(),
                    name: format!("gateway-{me}"),
                }
            }
        }
    }
}

/// Binds the member's socket and creates the member. Stores in `platform.settings` how long a peer's usage report
/// is valid.
///
/// # Errors
/// Returns a message on what is wrong with the configuration or the socket.
pub async fn create_member(
    fleet: &FleetConfig,
    platform: &mut PlatformConfig,
) -> Result<Rc<MembershipHandle>, String> {
    check(fleet, &platform.settings)?;
    let addresses = MemberAddresses::new(fleet, platform);
    let listen = addresses.listen;
    let socket = bind_datagrams(listen).await;
    let socket = socket.map_err(|e| format!("fleet: cannot listen on {listen}: {e}"))?;
    let bound = socket.local_addr().map_err(|e| format!("fleet: {e}"))?;
    log_line!("fleet: bound to {bound}");
    let config = membership_config(fleet, platform, addresses, bound)?;
    platform.settings.usage_report_ttl_us = config.usage_report_ttl_us();
    if !MemberRecord::is_plain(&config.name) || !MemberRecord::is_plain(&config.zone) {
        return Err(format!(
            "fleet: name {:?} or zone {:?} contains characters other than a-z, A-Z, 0-9, -, . and _",
            config.name, config.zone
        ));
    }
    let membership = Membership::new(config, read_fleet_keys(&fleet.key_file)?);
    Ok(MembershipHandle::new(membership, socket))
}

/// Returns the configuration of the member that is bound to `bound`.
fn membership_config(
    fleet: &FleetConfig,
    platform: &PlatformConfig,
    addresses: MemberAddresses,
    bound: SocketAddr,
) -> Result<MembershipConfig, String> {
    let settings = &platform.settings;
    let started = SystemTime::now().duration_since(UNIX_EPOCH);
    let started = started.unwrap_or_default();
    let micros = |duration: Duration| duration.as_micros() as u64;
    let max_entries = platform.memory_mb * MAX_USAGE_ENTRIES_PER_MB;
    let max_members = platform.memory_mb * MAX_MEMBERS_PER_MB;
    Ok(MembershipConfig {
        name: addresses.name,
        number: u16::try_from(settings.gateway_index)
            .map_err(|_| "fleet: settings.me is above the maximum of 65535")?,
        gateway_count: u16::try_from(settings.gateways)
            .map_err(|_| "fleet: settings.balancers is above the maximum of 65535")?,
        zone: fleet.zone.clone().unwrap_or_else(|| settings.zone.clone()),
        region: fleet.region.clone(),
        program: env!("CARGO_PKG_VERSION").into(),
        advertise: addresses.advertise.unwrap_or(bound),
        seeds: addresses.seeds,
        update_interval_us: micros(fleet.gossip_interval),
        probe_interval_us: micros(fleet.probe_interval),
        bytes_per_s: fleet.bytes_per_s,
        messages_per_s: fleet.messages_per_s,
        max_usage_counters: fleet.max_usage_entries.min(max_entries),
        max_members: fleet.max_members.min(max_members),
        forget_us: micros(fleet.forget_after),
        started_at_unix_ms: started.as_millis() as u64,
        // The seed differs with each start, even if the platform configures the same one again.
        seed: platform.seed ^ started.as_nanos() as u64 ^ u64::from(std::process::id()) << 32,
    })
}

/// The body of `GET /fleet`.
#[derive(Debug, Serialize, Deserialize)]
pub struct FleetStatus {
    /// This member's name.
    pub me: String,
    /// Whether a later process runs under this member's name, so that this process has stopped sending.
    pub replaced: bool,
    /// The view of the ready members.
    pub view: ViewStatus,
    /// The effect of the shared outlier signals on the choice of servers.
    pub choices: ChoicesStatus,
    /// All known members, including this one.
    pub members: Vec<MemberReport>,
}

/// The view of the ready members.
#[derive(Debug, Serialize, Deserialize)]
pub struct ViewStatus {
    /// Digest of the view, 16 hexadecimal digits; equal views have equal digests.
    pub digest: String,
    /// Time since the view last changed, in milliseconds.
    pub stable_ms: u64,
    /// Number of ready members.
    pub ready: usize,
}

/// The effect of the shared outlier signals on the choice of servers.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChoicesStatus {
    /// Number of gateways among which servers are divided into subsets.
    pub gateways: usize,
    /// Number of ready servers that this gateway uses.
    pub servers_used: usize,
    /// Number of ready servers that all gateways have ejected.
    pub servers_out: usize,
}

/// The status of one member as this member knows it.
#[derive(Debug, Serialize, Deserialize)]
pub struct MemberReport {
    /// The member's name.
    pub name: String,
    /// The member's gateway number.
    pub number: u16,
    /// The member's zone.
    pub zone: String,
    /// The member's region; may be empty.
    pub region: String,
    /// The member's state: `joining`, `ready`, `draining`, `suspect`, `dead` or `left`.
    pub state: String,
    /// The member's incarnation number.
    pub incarnation: u64,
    /// The address at which the member receives datagrams.
    pub address: String,
    /// The version of the member's program.
    pub program: String,
    /// Time since the last datagram from the member, in milliseconds; `None` if there was none.
    pub heard_ms: Option<u64>,
}

impl MemberReport {
    fn new(member: MemberStatus) -> MemberReport {
        let record = member.record;
        MemberReport {
            state: record.state().into(),
            address: record.address.to_string(),
            name: record.name,
            number: record.number,
            zone: record.zone,
            region: record.region,
            incarnation: record.incarnation,
            program: record.program,
            heard_ms: member.since_received_us.map(|us| us / 1_000),
        }
    }
}

/// Returns the status of the cluster as this member sees it at `now_us`.
pub fn fleet_status(cluster: &Membership, choices: ChoicesStatus, now_us: u64) -> FleetStatus {
    let view = cluster.view();
    FleetStatus {
        me: cluster.own_record().name.clone(),
        replaced: cluster.is_superseded,
        view: ViewStatus {
            digest: format!("{:016x}", view.digest),
            stable_ms: now_us.saturating_sub(view.changed_at_us) / 1_000,
            ready: view.ready_count,
        },
        choices,
        members: cluster.members().map(MemberReport::new).collect(),
    }
}
