//! `frosthatch policy`: shows, checks and changes the policy that gateways agree on. Errors are texts for people.

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

const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// `policy show`.
///
/// # Errors
/// For people.
pub fn show(client: AdminClient) -> Result<(), String> {
    let text = client.call("GET", "/policy/document")?;
    print!("{text}");
    Ok(())
}

/// `policy status`.
///
/// # Errors
/// For people.
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

fn reason_text((member, why): &(String, String)) -> String {
    if member.is_empty() {
        why.clone()
    } else {
        format!("{member}: {why}")
    }
}

/// `policy history`.
///
/// # Errors
/// For people.
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

/// `policy abort`.
///
/// # Errors
/// For people.
pub fn abort(client: AdminClient, number: u64) -> Result<(), String> {
    let answer = client.call("POST", &format!("/policy/abort?number={number}"))?;
    print!("{answer}");
    Ok(())
}

/// `policy check`: by itself, and against this gateway where `NODE_CONFIG` is set.
///
/// # Errors
/// For people.
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

/// `policy init`: makes an acceptor's first state.
///
/// # Errors
/// For people.
pub fn init(name: &str, replaces: bool, operator_file: Option<&Path>) -> Result<(), String> {
    let operator = OperatorConfig::read(operator_file).map_err(|errors| join_errors(&errors))?;
    let policy = operator
        .policy
        .ok_or("the operator's file has no [policy]")?;
    if !policy.acceptors.iter().any(|acceptor| acceptor == name) {
        return Err(format!(
            "{name} is none of the keepers {}",
            policy.acceptors.join(", ")
        ));
    }
    let directory = policy.state_directory.ok_or("policy.folder is not named")?;
    std::fs::create_dir_all(&directory).map_err(|e| format!("{}: {e}", directory.display()))?;
    StateDirectory::open(&directory)?.init(name, replaces)?;
    println!("{name} keeps in {}", directory.display());
    Ok(())
}

/// `policy schema`.
pub fn schema() {
    println!("{}", Document::schema());
}

fn read_text(file: &Path) -> Result<String, String> {
    std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))
}

/// How `policy propose` ended; its exit status.
#[derive(Clone, Copy, PartialEq)]
enum ProposeExit {
    InForce = 0,
    NotSent = 1,
    /// It is in force nowhere and never will be.
    Rejected = 2,
    /// Nobody can say yet.
    Unknown = 3,
}

/// The end of `policy propose`, and what is printed.
struct ProposeResult {
    exit: ProposeExit,
    text: String,
}

impl ProposeResult {
    fn new(exit: ProposeExit, text: String) -> ProposeResult {
        ProposeResult { exit, text }
    }
}

/// `policy propose`: waits up to `wait_s` seconds for the proposal's end.
pub fn propose(client: AdminClient, file: &Path, wait_s: u64, as_json: bool) -> ExitCode {
    let result = match send_proposal(&client, file) {
        Ok(number) => wait_for_end(&client, number, wait_s, as_json),
        Err(result) => result,
    };
    if as_json || result.exit == ProposeExit::InForce {
        println!("{}", result.text);
    } else {
        eprintln!("frosthatch: {}", result.text);
    }
    ExitCode::from(result.exit as u8)
}

/// The proposal's number.
fn send_proposal(client: &AdminClient, file: &Path) -> Result<u64, ProposeResult> {
    let not_sent = |why: String| ProposeResult::new(ProposeExit::NotSent, why);
    let unknown = |why: String| {
        let text = format!("{why}; ask `policy status`");
        ProposeResult::new(ProposeExit::Unknown, text)
    };
    let text = read_text(file).map_err(not_sent)?;
    client.policy_status().map_err(not_sent)?;
    // Without an answer the document may have been read.
    let response = client.send("POST", "/policy", &text).map_err(unknown)?;
    let body = response.body;
    match response.status {
        202 => {
            let answer: Option<serde_json::Value> = serde_json::from_str(&body).ok();
            let number = answer.and_then(|answer| answer["number"].as_u64());
            number.ok_or_else(|| unknown(client.error("no number")))
        }
        422 => {
            let why = body.trim().to_string();
            Err(ProposeResult::new(ProposeExit::Rejected, why))
        }
        _ => Err(not_sent(client.error(body.trim()))),
    }
}

fn wait_for_end(client: &AdminClient, number: u64, wait_s: u64, as_json: bool) -> ProposeResult {
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(wait_s) {
        let policy = client.policy_status().ok();
        let proposal = policy.and_then(|(policy, _)| {
            let mut proposals = policy.proposals.into_iter();
            proposals.find(|proposal| proposal.number == number)
        });
        if let Some(proposal) = proposal.filter(|proposal| proposal.state != "open") {
            return ended_proposal(&proposal, as_json);
        }
        sleep(STATUS_POLL_INTERVAL);
    }
    let text = format!("proposal {number} has no end after {wait_s} s; ask `policy status`");
    ProposeResult::new(ProposeExit::Unknown, text)
}

fn ended_proposal(proposal: &ProposalReport, as_json: bool) -> ProposeResult {
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
        text.push_str("; ask `policy status`");
    }
    ProposeResult::new(exit, text)
}
