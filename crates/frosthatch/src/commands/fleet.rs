//! `frosthatch fleet`: shows the cluster as a running gateway sees it, or makes the gateway leave it.

use super::admin_client::{to_json, AdminClient};
use super::table::print_table;
use crate::membership::{FleetStatus, MemberReport};

/// Prints the members of the cluster (`fleet members`).
///
/// # Errors
/// Returns a message for the user if the call to the admin API fails.
pub fn members(client: AdminClient, as_json: bool) -> Result<(), String> {
    let (fleet, json) = client.fleet_status()?;
    if as_json {
        println!("{json}");
        return Ok(());
    }
    let headings = [
        "NAME", "NUMBER", "STATE", "REGION", "ZONE", "HEARD", "ADDRESS", "PROGRAM",
    ];
    let mut rows = vec![headings.map(String::from)];
    rows.extend(fleet.members.iter().map(|member| table_row(&fleet, member)));
    print_table(&rows);
    if fleet.replaced {
        println!(
            "this process no longer takes part in the fleet: a later process runs as {}",
            fleet.me
        );
    }
    Ok(())
}

/// Returns the table row of one member.
fn table_row(fleet: &FleetStatus, member: &MemberReport) -> [String; 8] {
    let last_heard = match member.heard_ms {
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
        last_heard,
        member.address.clone(),
        member.program.clone(),
    ]
}

/// Prints the view of the ready members (`fleet view`).
///
/// # Errors
/// Returns a message for the user if the call to the admin API fails.
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

/// Makes the gateway leave the cluster (`fleet leave`).
///
/// # Errors
/// Returns a message for the user if the call to the admin API fails.
pub fn leave(client: AdminClient) -> Result<(), String> {
    let answer = client.call("POST", "/fleet/leave")?;
    print!("{answer}");
    Ok(())
}
