//! `frosthatch policy`: shows, checks and changes the policy that gateways agree on. Errors are messages for the
//! user.

use super::admin_client::{to_json, AdminClient};
use super::table::print_table;
use crate::operator_config::OperatorConfig;
use crate::platform_config::PlatformConfig;
use crate::policy::{plugin_digests, policy_terms, ProposalReport};
use frosthatch_config_reader::join_errors;
use frosthatch_policy_consensus::document::{self, Document};
use frosthatch_policy_consensus::state_directory::StateDirectory;
use std::path::Path;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Interval at which `policy propose` reads the proposal's status.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Prints the document that is in force (`policy show`).
///
/// # Errors
/// Returns a message for the user if the call to the admin API fails.
pub fn show(client: AdminClient) -> Result<(), String> {
    let text = client.call("GET", "/policy/document")?;
    print!("{text}");
    Ok(())
}

/// Prints the policy status of a gateway (`policy status`).
///
/// # Errors
/// Returns a message for the user if the call to the admin API fails.
pub fn status(client: AdminClient, as_json: bool) -> Result<(), String> {
    let (policy, json) = client.policy_status()?;
    if as_json {
        println!("{json}");
        return Ok(());
    }
    println!(
        "version {}, {}, leased for {} ms more",
        policy.version, policy.state, policy.lease_ms
    );
    println!("digest {}", policy.digest);
    println!("keepers {}", policy.acceptors.join(", "));
    if let Some(state) = &policy.acceptor_state {
        println!("this one keeps: {state}");
    }
    let mut rows = vec![["MEMBER", "VERSION"].map(String::from)];
    rows.extend(policy.members.iter().map(|member| {
        let version = member.version.map(|version| version.to_string());
        [
            member.name.clone(),
            version.unwrap_or_else(|| "-".to_string()),
        ]
    }));
    print_table(&rows);
    for proposal in &policy.proposals {
        println!(
            "proposal {} of version {}: {}, {} ms",
            proposal.number, proposal.version, proposal.state, proposal.took_ms
        );
        for reason in &proposal.reasons {
            println!("  {}", reason_text(reason));
        }
    }
    Ok(())
}

/// Formats a reason as `MEMBER: REASON`, or as `REASON` if it does not come from a single member.
fn reason_text((member, reason): &(String, String)) -> String {
    if member.is_empty() {
        reason.clone()
    } else {
        format!("{member}: {reason}")
    }
}

/// Prints the policies that a gateway has served under (`policy history`).
///
/// # Errors
/// Returns a message for the user if the call to the admin API fails.
pub fn history(client: AdminClient, as_json: bool) -> Result<(), String> {
    let (policy, _) = client.policy_status()?;
    if as_json {
        println!("{}", to_json(&policy.history)?);
        return Ok(());
    }
    let mut rows = vec![["VERSION", "SINCE", "DIGEST"].map(String::from)];
    rows.extend(policy.history.iter().map(|held| {
        [
            held.version.to_string(),
            format!("{:.1} s ago", held.since_ms as f64 / 1e3),
            held.digest.clone(),
        ]
    }));
    print_table(&rows);
    Ok(())
}

/// Aborts the proposal `number` (`policy abort`).
///
/// # Errors
/// Returns a message for the user if the call fails or the proposal can no longer be aborted.
pub fn abort(client: AdminClient, number: u64) -> Result<(), String> {
    let answer = client.call("POST", &format!("/policy/abort?number={number}"))?;
    print!("{answer}");
    Ok(())
}

/// Checks a policy document, and whether this gateway can serve under it if `NODE_CONFIG` is set (`policy check`).
///
/// # Errors
/// Returns every mistake, as a message for the user.
pub fn check(file: &Path, operator_file: Option<&Path>) -> Result<(), String> {
    let text = read_text(file)?;
    let document = Document::read(&file.display().to_string(), &text);
    let document = document.map_err(|errors| join_errors(&errors))?;
    if std::env::var_os("NODE_CONFIG").is_some() {
        let platform = PlatformConfig::from_env().map_err(|errors| join_errors(&errors))?;
        let operator =
            OperatorConfig::read(operator_file).map_err(|errors| join_errors(&errors))?;
        let digests = plugin_digests(&operator.plugins);
        policy_terms(&platform.settings, &digests, &document)?;
    }
    let digest = document.policy(&text).digest;
    println!("in order; digest {}", document::hex(&digest));
    Ok(())
}

/// Creates an acceptor's initial state (`policy init`).
///
/// # Errors
/// Returns why the state cannot be created, as a message for the user.
pub fn init(name: &str, replaces: bool, operator_file: Option<&Path>) -> Result<(), String> {
    let operator = OperatorConfig::read(operator_file).map_err(|errors| join_errors(&errors))?;
    let policy = operator
        .policy
        .ok_or("no [policy] table: name an operator's file that has one with --operator")?;
    if !policy.acceptors.iter().any(|acceptor| acceptor == name) {
        return Err(format!(
            "{name} is none of the keepers {}",
            policy.acceptors.join(", ")
        ));
    }
    let directory = policy
        .state_directory
        .ok_or("policy.folder is not set in the operator's file")?;
    std::fs::create_dir_all(&directory).map_err(|e| format!("{}: {e}", directory.display()))?;
    StateDirectory::open(&directory)?.init(name, replaces)?;
    println!(
        "initial state of keeper {name} created in {}",
        directory.display()
    );
    Ok(())
}

/// Prints the JSON Schema of a policy document (`policy schema`).
pub fn schema() {
    println!("{}", Document::schema());
}

fn read_text(file: &Path) -> Result<String, String> {
    std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))
}

/// Outcome of `policy propose`; the value is the exit status.
#[derive(Clone, Copy, PartialEq)]
enum ProposeExit {
    /// The proposed policy is in force.
    InForce = 0,
    /// The document could not be read or the gateway did not accept the request.
    NotAccepted = 1,
    /// The proposed policy is not in force on any gateway and never will be.
    Rejected = 2,
    /// The outcome is not known yet.
    Unknown = 3,
}

/// The outcome of `policy propose` and the text that it prints.
struct ProposeResult {
    exit: ProposeExit,
    text: String,
}

impl ProposeResult {
    fn new(exit: ProposeExit, text: String) -> ProposeResult {
        ProposeResult { exit, text }
    }
}

/// Proposes a document and waits up to `wait_s` seconds for the outcome (`policy propose`).
pub fn propose(client: AdminClient, file: &Path, wait_s: u64, as_json: bool) -> ExitCode {
    let result = match send_proposal(&client, file) {
        Ok(number) => wait_for_outcome(&client, number, wait_s, as_json),
        Err(result) => result,
    };
    if as_json || result.exit == ProposeExit::InForce {
        println!("{}", result.text);
    } else {
        eprintln!("frosthatch: {}", result.text);
    }
    ExitCode::from(result.exit as u8)
}

/// Sends the proposal and returns its number.
fn send_proposal(client: &AdminClient, file: &Path) -> Result<u64, ProposeResult> {
    let not_accepted = |reason: String| ProposeResult::new(ProposeExit::NotAccepted, reason);
    let unknown = |reason: String| {
        let text = format!("{reason}; see `policy status`");
        ProposeResult::new(ProposeExit::Unknown, text)
    };
    let text = read_text(file).map_err(not_accepted)?;
    client.policy_status().map_err(not_accepted)?;
    // Without a response the gateway may still have received the document, so that the outcome is unknown.
    let response = client.send("POST", "/policy", &text).map_err(unknown)?;
    let body = response.body;
    match response.status {
        202 => {
            let answer: Option<serde_json::Value> = serde_json::from_str(&body).ok();
            let number = answer.and_then(|answer| answer["number"].as_u64());
            number.ok_or_else(|| unknown(client.error("the response holds no proposal number")))
        }
        422 => {
            let reason = body.trim().to_string();
            Err(ProposeResult::new(ProposeExit::Rejected, reason))
        }
        _ => Err(not_accepted(client.error(body.trim()))),
    }
}

/// Polls the proposal's status until it has an outcome or `wait_s` seconds have passed.
fn wait_for_outcome(
    client: &AdminClient,
    number: u64,
    wait_s: u64,
    as_json: bool,
) -> ProposeResult {
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(wait_s) {
        let policy = client.policy_status().ok();
        let proposal = policy.and_then(|(policy, _)| {
            let mut proposals = policy.proposals.into_iter();
            proposals.find(|proposal| proposal.number == number)
        });
        if let Some(proposal) = proposal.filter(|proposal| proposal.state != "open") {
            return proposal_result(&proposal, as_json);
        }
        sleep(STATUS_POLL_INTERVAL);
    }
    let text = format!("proposal {number} has no outcome after {wait_s} s; see `policy status`");
    ProposeResult::new(ProposeExit::Unknown, text)
}

/// Maps a proposal that has an outcome to an exit status and a text.
fn proposal_result(proposal: &ProposalReport, as_json: bool) -> ProposeResult {
    let exit = match proposal.state.as_str() {
        "in force" => ProposeExit::InForce,
        "refused" | "lost" => ProposeExit::Rejected,
        _ => ProposeExit::Unknown,
    };
    if as_json {
        let json = serde_json::to_string(proposal).unwrap_or_default();
        return ProposeResult::new(exit, json);
    }
    let mut text = format!("version {} {}", proposal.version, proposal.state);
    let reasons: Vec<String> = proposal.reasons.iter().map(reason_text).collect();
    if !reasons.is_empty() {
        text.push_str(": ");
        text.push_str(&reasons.join("; "));
    }
    if exit == ProposeExit::Unknown {
        text.push_str("; see `policy status`");
    }
    ProposeResult::new(exit, text)
}
