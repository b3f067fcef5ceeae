//! `frosthatch fleet`: what a running gateway says of the cluster.

use super::admin_client::{to_json, AdminClient};
use super::table::print_table;
use crate::membership::{FleetStatus, MemberReport};

/// `fleet members`.
///
/// # Errors
/// For people.
pub fn members(client: AdminClient, as_json: bool) -> Result<(), String> {
    let (fleet, json) = client.fleet_status()?;
    if as_json {
        println!("{json}");
        return Ok(());
    }
    let titles = [
        "NAME", "NUMBER", "STATE", "REGION", "ZONE", "HEARD", "ADDRESS", "PROGRAM",
    ];
    let mut rows = vec![titles.map(String::from)];
    rows.extend(fleet.members.iter().map(|member| row(&fleet, member)));
    print_table(&rows);
    if fleet.replaced {
        println!(
            "this process talks to nobody any more: a later one runs as {}",
            fleet.me
        );
    }
    Ok(())
}

fn row(fleet: &FleetStatus, member: &MemberReport) -> [String; 8] {
    let heard = match member.heard_ms {
        _ if member.name == fleet.me => "this one".to_string(),
        Some(ms) => format!("{:.1} s", ms as f64 / 1e3),
        None => "-".to_string(),
    };
    [
        member.name.clone(),
        member.number.to_string(),
        member.state.clone(),
        member.region.clone(),
        member.zone.clone(),
        heard,
        member.address.clone(),
        member.program.clone(),
    ]
}

/// `fleet view`.
///
/// # Errors
/// For people.
pub fn view(client: AdminClient, as_json: bool) -> Result<(), String> {
    let (fleet, _) = client.fleet_status()?;
    let view = &fleet.view;
    if as_json {
        println!("{}", to_json(view)?);
        return Ok(());
    }
    println!(
        "{}  {} ready, unchanged for {:.1} s",
        view.digest,
        view.ready,
        view.stable_ms as f64 / 1e3
    );
    Ok(())
}

/// `fleet leave`.
///
/// # Errors
/// For people.
pub fn leave(client: AdminClient) -> Result<(), String> {
    let answer = client.call("POST", "/fleet/leave")?;
    print!("{answer}");
    Ok(())
}
