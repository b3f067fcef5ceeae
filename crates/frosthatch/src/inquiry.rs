//! `frosthatch fleet` and `frosthatch policy`: what a running gateway's console says, as a table or as JSON.

use crate::{fleet, node, operator, policy};
use frosthatch_config_reader::joined;
use frosthatch_policy_consensus::document::{self, Document};
use frosthatch_policy_consensus::state_directory::StateDirectory;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A console answers within this, or it is not well.
const PATIENCE: Duration = Duration::from_secs(5);
/// The body of a console's answer, if all is well.
fn call(console: SocketAddr, method: &str, path: &str) -> Result<String, String> {
    match send(console, method, path, "")? {
        (200, body) => Ok(body),
        (_, body) => Err(format!("console {console}: {}", body.trim())),
    }
}

/// Status and body of a console's answer.
fn send(
    console: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<(u16, String), String> {
    frosthatch_admin::ask(console, PATIENCE, method, path, body)
}

/// What a console shows, and the same as it came.
fn shown<T: DeserializeOwned>(console: SocketAddr, path: &str) -> Result<(T, String), String> {
    let json = call(console, "GET", path)?;
    let shown = serde_json::from_str(&json).map_err(|e| format!("console {console}: {e}"))?;
    Ok((shown, json))
}

fn fleet(console: SocketAddr) -> Result<(fleet::Shown, String), String> {
    shown(console, "/fleet")
}

fn agreed(console: SocketAddr) -> Result<(policy::Shown, String), String> {
    shown(console, "/policy")
}

/// Rows as columns.
fn table<const N: usize>(rows: &[[String; N]]) {
    let width = |k: usize| rows.iter().map(|r| r[k].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..N).map(width).collect();
    for r in rows {
        let cells: Vec<String> = r
            .iter()
            .zip(&widths)
            .map(|(c, w)| format!("{c:w$}"))
            .collect();
        println!("{}", cells.join("  ").trim_end());
    }
}

pub fn members(console: SocketAddr, as_json: bool) -> Result<(), String> {
    let (fleet, json) = self::fleet(console)?;
    if as_json {
        println!("{json}");
        return Ok(());
    }
    let ago =
        |ms: Option<u64>| ms.map_or("-".to_string(), |ms| format!("{:.1} s", ms as f64 / 1e3));
    let title = [
        "NAME", "NUMBER", "STATE", "REGION", "ZONE", "HEARD", "ADDRESS", "PROGRAM",
    ]
    .map(String::from);
    let row = |m: &fleet::ShownMember| {
        let heard = if m.name == fleet.me {
            "this one".into()
        } else {
            ago(m.heard_ms)
        };
        let (number, state) = (m.number.to_string(), m.state.clone());
        [
            m.name.clone(),
            number,
            state,
            m.region.clone(),
            m.zone.clone(),
            heard,
            m.address.clone(),
            m.program.clone(),
        ]
    };
    let rows: Vec<[String; 8]> = std::iter::once(title)
        .chain(fleet.members.iter().map(row))
        .collect();
    table(&rows);
    if fleet.replaced {
        println!(
            "this process talks to nobody any more: a later one runs as {}",
            fleet.me
        );
    }
    Ok(())
}

pub fn view(console: SocketAddr, as_json: bool) -> Result<(), String> {
    let (fleet, _) = self::fleet(console)?;
    if as_json {
        println!(
            "{}",
            serde_json::to_string(&fleet.view).map_err(|e| e.to_string())?
        );
        return Ok(());
    }
    let v = &fleet.view;
    println!(
        "{}  {} ready, unchanged for {:.1} s",
        v.digest,
        v.ready,
        v.stable_ms as f64 / 1e3
    );
    Ok(())
}

pub fn leave(console: SocketAddr) -> Result<(), String> {
    call(console, "POST", "/fleet/leave").map(|said| print!("{said}"))
}

pub fn document(console: SocketAddr) -> Result<(), String> {
    call(console, "GET", "/policy/document").map(|text| print!("{text}"))
}

pub fn status(console: SocketAddr, as_json: bool) -> Result<(), String> {
    let (p, json) = agreed(console)?;
    if as_json {
        println!("{json}");
        return Ok(());
    }
    println!(
        "version {}, {}, leased for {} ms more",
        p.version, p.state, p.lease_ms
    );
    println!("digest {}", p.digest);
    println!("keepers {}", p.keepers.join(", "));
    p.keeps
        .iter()
        .for_each(|keeps| println!("this one keeps: {keeps}"));
    let version = |v: Option<u64>| v.map_or("-".to_string(), |v| v.to_string());
    let title = ["MEMBER", "VERSION"].map(String::from);
    let rows = p
        .members
        .iter()
        .map(|m| [m.name.clone(), version(m.version)]);
    table(&std::iter::once(title).chain(rows).collect::<Vec<_>>());
    for one in &p.proposals {
        println!(
            "proposal {} of version {}: {}, {} ms",
            one.number, one.version, one.state, one.took_ms
        );
        one.why.iter().for_each(|why| println!("  {}", reason(why)));
    }
    Ok(())
}

fn reason((who, why): &(String, String)) -> String {
    if who.is_empty() {
        why.clone()
    } else {
        format!("{who}: {why}")
    }
}

pub fn history(console: SocketAddr, as_json: bool) -> Result<(), String> {
    let (p, _) = agreed(console)?;
    if as_json {
        println!(
            "{}",
            serde_json::to_string(&p.history).map_err(|e| e.to_string())?
        );
        return Ok(());
    }
    let title = ["VERSION", "SINCE", "DIGEST"].map(String::from);
    let rows = p.history.iter().map(|h| {
        [
            h.version.to_string(),
            format!("{:.1} s ago", h.since_ms as f64 / 1e3),
            h.digest.clone(),
        ]
    });
    table(&std::iter::once(title).chain(rows).collect::<Vec<_>>());
    Ok(())
}

pub fn abort(console: SocketAddr, number: u64) -> Result<(), String> {
    call(console, "POST", &format!("/policy/abort?number={number}")).map(|said| print!("{said}"))
}

fn text_of(file: &Path) -> Result<String, String> {
    std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))
}

pub fn check_policy(file: &Path, own: Option<&Path>) -> Result<(), String> {
    let text = text_of(file)?;
    let document = Document::read(&file.display().to_string(), &text).map_err(|e| joined(&e))?;
    if std::env::var_os("NODE_CONFIG").is_some() {
        let config = node::Config::from_env().map_err(|e| joined(&e))?;
        let own = operator::read(own).map_err(|e| joined(&e))?;
        policy::terms(&config.settings, &policy::digests(&own.plugins), &document)?;
    }
    println!(
        "in order; digest {}",
        document::hex(&document.policy(&text).digest)
    );
    Ok(())
}

pub fn init_keeper(name: &str, replaces: bool, own: Option<&Path>) -> Result<(), String> {
    let own = operator::read(own).map_err(|e| joined(&e))?;
    let agreed = own.policy.ok_or("the operator's file has no [policy]")?;
    if !agreed.keepers.iter().any(|k| k == name) {
        return Err(format!(
            "{name} is none of the keepers {}",
            agreed.keepers.join(", ")
        ));
    }
    let folder = agreed.folder.ok_or("policy.folder is not named")?;
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    StateDirectory::open(&folder)?.init(name, replaces)?;
    println!("{name} keeps in {}", folder.display());
    Ok(())
}

/// In force.
const IN_FORCE: u8 = 0;
/// Nothing was proposed.
const NOT_SENT: u8 = 1;
/// It is nowhere, and never will be.
const NOWHERE: u8 = 2;
/// Nobody can say yet.
const OPEN: u8 = 3;

pub fn propose(console: SocketAddr, file: &Path, wait_s: u64, as_json: bool) -> ExitCode {
    let (code, said) = proposed(console, file, wait_s, as_json);
    if as_json || code == IN_FORCE {
        println!("{said}");
    } else {
        eprintln!("frosthatch: {said}");
    }
    ExitCode::from(code)
}

fn proposed(console: SocketAddr, file: &Path, wait_s: u64, as_json: bool) -> (u8, String) {
    let text = match text_of(file) {
        Ok(text) => text,
        Err(why) => return (NOT_SENT, why),
    };
    if let Err(why) = agreed(console) {
        return (NOT_SENT, why);
    }
    let number = match send(console, "POST", "/policy", &text) {
        Ok((202, json)) => {
            let read: Option<serde_json::Value> = serde_json::from_str(&json).ok();
            read.and_then(|v| v["number"].as_u64())
        }
        Ok((422, why)) => return (NOWHERE, why.trim().to_string()),
        Ok((_, why)) => return (NOT_SENT, format!("console {console}: {}", why.trim())),
        // If it was read, it may be on its way.
        Err(why) => return (OPEN, format!("{why}; ask `policy status`")),
    };
    let Some(number) = number else {
        return (
            OPEN,
            format!("console {console}: no number; ask `policy status`"),
        );
    };
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(wait_s) {
        let shown = agreed(console)
            .ok()
            .and_then(|(p, _)| p.proposals.into_iter().find(|p| p.number == number));
        if let Some(p) = shown.filter(|p| p.state != "open") {
            let code = match p.state.as_str() {
                "in force" => IN_FORCE,
                "refused" | "lost" => NOWHERE,
                _ => OPEN,
            };
            if as_json {
                return (code, serde_json::to_string(&p).unwrap_or_default());
            }
            let why: Vec<String> = p.why.iter().map(reason).collect();
            let why = if why.is_empty() {
                String::new()
            } else {
                format!(": {}", why.join("; "))
            };
            let ask = if code == OPEN {
                "; ask `policy status`"
            } else {
                ""
            };
            return (code, format!("version {} {}{why}{ask}", p.version, p.state));
        }
        sleep(Duration::from_millis(50));
    }
    (
        OPEN,
        format!("proposal {number} has no end after {wait_s} s; ask `policy status`"),
    )
}
