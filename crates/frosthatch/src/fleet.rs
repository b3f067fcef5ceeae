//! This process as a member of the fleet: made from both files, and shown to operators.

use crate::node::Config;
use crate::operator::{self, At};
use frosthatch_cluster_membership::driver::MembershipHandle;
use frosthatch_cluster_membership::{Membership, MembershipConfig};
use frosthatch_log::log_line;
use frosthatch_sockets::bind_datagrams;
use frosthatch_traffic_control::Settings;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Entries of others' use that may be kept, whatever the operator's file says: some 200 bytes each, a sixteenth of the memory.
const ENTRIES_A_MB: usize = 320;
/// Members that may be kept, some 1 kB each.
const MEMBERS_A_MB: usize = 64;

/// Where gateways are listed by number, all of them are.
pub fn check(fleet: &operator::Fleet, settings: &Settings) -> Result<(), String> {
    let At::Numbered(gateways) = &fleet.at else {
        return Ok(());
    };
    let (named, all) = (gateways.len(), settings.gateways as usize);
    (named == all).then_some(()).ok_or(format!(
        "peers.gateways names {named}, but there are {all} gateways"
    ))
}

/// What talks to the other gateways. The decisions hear how long the word of one counts.
pub async fn member(
    fleet: &operator::Fleet,
    config: &mut Config,
) -> Result<Rc<MembershipHandle>, String> {
    check(fleet, &config.settings)?;
    let me = config.settings.me;
    let (listen, advertise, seeds, name) = match &fleet.at {
        At::Named {
            listen,
            advertise,
            seeds,
        } => (
            *listen,
            *advertise,
            seeds.clone(),
            fleet.name.clone().unwrap_or_else(|| config.name.clone()),
        ),
        At::Numbered(all) => (all[me as usize], None, all.clone(), format!("gateway-{me}")),
    };
    let socket = bind_datagrams(listen).await;
    let socket = socket.map_err(|e| format!("fleet: cannot listen on {listen}: {e}"))?;
    let bound = socket.local_addr().map_err(|e| format!("fleet: {e}"))?;
    log_line!("fleet: bound to {bound}");
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let plan = MembershipConfig {
        name,
        number: u16::try_from(me).map_err(|_| "fleet: settings.me is above 65535")?,
        gateways: u16::try_from(config.settings.gateways)
            .map_err(|_| "fleet: more than 65535 balancers")?,
        zone: fleet
            .zone
            .clone()
            .unwrap_or_else(|| config.settings.zone.clone()),
        region: fleet.region.clone(),
        program: env!("CARGO_PKG_VERSION").into(),
        advertise: advertise.unwrap_or(bound),
        seeds,
        tick_us: fleet.tick.as_micros() as u64,
        probe_us: fleet.probe.as_micros() as u64,
        bytes_per_s: fleet.bytes_per_s,
        messages_per_s: fleet.messages_per_s,
        most_entries: fleet.most_entries.min(config.memory_mb * ENTRIES_A_MB),
        most_members: fleet.most_members.min(config.memory_mb * MEMBERS_A_MB),
        forget_us: fleet.forget.as_micros() as u64,
        started_ms: started.as_millis() as u64,
        // Another life with each start, also where the platform gives the same seed again.
        seed: config.seed ^ started.as_nanos() as u64 ^ u64::from(std::process::id()) << 32,
    };
    config.settings.usage_report_ttl_us = plan.holds_us();
    if !frosthatch_cluster_membership::MemberRecord::is_plain(&plan.name)
        || !frosthatch_cluster_membership::MemberRecord::is_plain(&plan.zone)
    {
        return Err(format!(
            "fleet: name {:?} or zone {:?} holds more than a-z, A-Z, 0-9, -, . and _",
            plan.name, plan.zone
        ));
    }
    Ok(MembershipHandle::new(
        Membership::new(plan, operator::fleet_keys(&fleet.key_file)?),
        socket,
    ))
}

/// The fleet as `GET /fleet` shows it.
#[derive(Debug, Serialize, Deserialize)]
pub struct Shown {
    pub me: String,
    /// This process talks to nobody any more: a later one runs under its name.
    pub replaced: bool,
    pub view: ShownView,
    pub choices: ShownChoices,
    pub members: Vec<ShownMember>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct ShownView {
    pub digest: String,
    pub stable_ms: u64,
    pub ready: usize,
}

/// What comes of what members tell each other of servers.
#[derive(Debug, Serialize, Deserialize)]
pub struct ShownChoices {
    /// Gateways among which servers are dealt out.
    pub gateways: usize,
    /// Ready servers that this one uses, and those that all leave alone.
    pub servers_used: usize,
    pub servers_out: usize,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct ShownMember {
    pub name: String,
    pub number: u16,
    pub zone: String,
    pub region: String,
    pub state: String,
    pub incarnation: u64,
    pub address: String,
    pub program: String,
    /// None: never.
    pub heard_ms: Option<u64>,
}

pub fn shown(fleet: &Membership, choices: ShownChoices, now: u64) -> Shown {
    let view = fleet.view();
    let member = |m: frosthatch_cluster_membership::fleet::MemberStatus| ShownMember {
        state: m.record.state().into(),
        address: m.record.address.to_string(),
        name: m.record.name,
        number: m.record.number,
        zone: m.record.zone,
        region: m.record.region,
        incarnation: m.record.incarnation,
        program: m.record.program,
        heard_ms: m.heard_us.map(|us| us / 1_000),
    };
    Shown {
        me: fleet.me().name.clone(),
        replaced: fleet.superseded,
        view: ShownView {
            digest: format!("{:016x}", view.digest),
            stable_ms: now.saturating_sub(view.since) / 1_000,
            ready: view.ready,
        },
        choices,
        members: fleet.members().map(member).collect(),
    }
}
