//! Processes that agree on their policy: their folders and files, what their consoles say, and what each let in under what.

use super::stage::{call, Process};
use frosthatch_policy_consensus::document::{hex, sha256};
use frosthatch_policy_consensus::state_directory::StateDirectory;
use serde_json::Value;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A request that was let in, as its gateway wrote it down.
#[derive(Clone, Debug, PartialEq)]
pub struct LetIn {
    /// Microseconds, by the clock that all processes of a machine share.
    pub at: u64,
    pub by: usize,
    pub version: u64,
    pub digest: String,
}

/// Where the files of such an installation are; they go with it.
pub struct Agreed {
    folder: PathBuf,
    pub keepers: usize,
    pub lease_ms: u64,
}

impl Agreed {
    /// The first so many members keep; their first states are made.
    ///
    /// # Panics
    /// If they cannot be made.
    pub fn new(name: &str, keepers: usize, lease_ms: u64) -> Agreed {
        let folder =
            std::env::temp_dir().join(format!("frosthatch-agreed-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        let agreed = Agreed {
            folder,
            keepers,
            lease_ms,
        };
        for n in 0..keepers {
            fs::create_dir_all(agreed.folder_of(n)).expect("a folder");
            StateDirectory::open(&agreed.folder_of(n))
                .and_then(|f| f.init(&format!("n{n}"), false))
                .expect("a first state");
        }
        agreed
    }

    pub fn folder_of(&self, who: usize) -> PathBuf {
        self.folder.join(format!("n{who}"))
    }

    fn audit_of(&self, who: usize) -> PathBuf {
        self.folder.join(format!("audit-{who}"))
    }

    /// The table for one process's file; `more`: lines of it.
    pub fn table(&self, who: usize, more: &str) -> String {
        let names: Vec<String> = (0..self.keepers).map(|n| format!("\"n{n}\"")).collect();
        let folder = if who < self.keepers {
            format!("folder = {:?}\n", self.folder_of(who))
        } else {
            String::new()
        };
        let (names, lease, audit) = (names.join(", "), self.lease_ms, self.audit_of(who));
        format!("\n[policy]\nkeepers = [{names}]\n{folder}lease_ms = {lease}\naudit = {audit:?}\n{more}")
    }

    /// What so many processes let in until now, in the order of time.
    pub fn let_in(&self, processes: usize) -> Vec<LetIn> {
        let mut all = Vec::new();
        for by in 0..processes {
            let text = fs::read_to_string(self.audit_of(by)).unwrap_or_default();
            for line in text.lines() {
                let mut words = line.split(' ');
                let mut next = || words.next().unwrap_or("");
                let (Ok(at), Ok(version)) = (next().parse(), next().parse()) else {
                    continue;
                };
                all.push(LetIn {
                    at,
                    by,
                    version,
                    digest: next().into(),
                });
            }
        }
        all.sort_by_key(|l| l.at);
        all
    }
}

impl Drop for Agreed {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// For how long, at most, requests were let in under a version after one had been under a later one: microseconds. Each change of
/// version that was seen counts beside it.
pub fn window(all: &[LetIn]) -> (u64, usize) {
    let (mut worst, mut high, mut since, mut changes) = (0, 0, 0, 0);
    for l in all {
        if l.version > high {
            (high, since) = (l.version, l.at);
            changes += 1;
        } else if l.version < high {
            worst = worst.max(l.at - since);
        }
    }
    (worst, changes)
}

/// Two documents of one version were in force.
pub fn forks(all: &[LetIn]) -> usize {
    let mut seen: std::collections::BTreeMap<u64, &str> = std::collections::BTreeMap::new();
    all.iter()
        .filter(|l| *seen.entry(l.version).or_insert(&l.digest) != l.digest)
        .count()
}

/// A document for the lab's own day, in which the plan with room for everybody has this rate.
pub fn document(version: u64, parent: &str, rate: f64) -> String {
    document_with(version, parent, rate, 20.0)
}

/// The same with another ceiling for the plan that has one, and twice that as its depth.
pub fn document_with(version: u64, parent: &str, rate: f64, ceiling: f64) -> String {
    let parent = if version > 1 {
        format!("parent = \"{parent}\"\n")
    } else {
        String::new()
    };
    format!(
        "version = {version}\n{parent}
[plans.mellem]\nrate = {rate}\nburst = 400\n
[plans.ekstra-stor]\nrate = 10\nburst = 20\nceiling_rate = {ceiling}\nceiling_depth = {}\n
[plans.counted]\nrate = 6\nburst = 24\n
[plans.counted-large]\nrate = 40\nburst = 80\nceiling_rate = 85\nceiling_depth = 170\n
[classes.balance-check]\naim_ms = 600\nworth = 2\nlate_worth = 0\n
[classes.top-up]\naim_ms = 300\nworth = 5\nlate_worth = 0\n",
        2.0 * ceiling
    )
}

/// The digest by which the next one names it as its parent.
pub fn digest(document: &str) -> String {
    hex(&sha256(document))
}

/// What a process says of its policy.
pub fn status(console: SocketAddr) -> Option<Value> {
    match call(console, "GET", "/policy", "")? {
        (200, body) => serde_json::from_str(&body).ok(),
        _ => None,
    }
}

/// The version that a process serves under now, if it does.
pub fn holds(process: &Process) -> Option<u64> {
    let status = status(process.console()?)?;
    (status["state"] == "in force")
        .then(|| status["version"].as_u64())
        .flatten()
}

/// Proposes at a process: the number of the proposal, or what is wrong.
pub fn propose(console: SocketAddr, document: &str) -> Option<Result<u64, String>> {
    match call(console, "POST", "/policy", document)? {
        (202, body) => Some(Ok(
            serde_json::from_str::<Value>(&body).ok()?["number"].as_u64()?
        )),
        (_, why) => Some(Err(why)),
    }
}

/// What became of a proposal, and why; none: the process says nothing, or knows nothing of it.
pub fn end(console: SocketAddr, number: u64) -> Option<(String, String)> {
    let status = status(console)?;
    let all = status["proposals"].as_array()?;
    let one = all.iter().find(|p| p["number"].as_u64() == Some(number))?;
    Some((one["state"].as_str()?.into(), one["why"].to_string()))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(at: u64, by: usize, version: u64) -> LetIn {
        LetIn {
            at,
            by,
            version,
            digest: format!("d{version}"),
        }
    }

    #[test]
    fn what_was_let_in_under_an_old_version_is_found_and_timed() {
        assert_eq!(window(&[at(1, 0, 1), at(5, 1, 2), at(6, 0, 2)]), (0, 2));
        assert_eq!(
            window(&[
                at(1, 0, 1),
                at(5, 1, 2),
                at(8, 0, 1),
                at(9, 0, 2),
                at(20, 0, 1)
            ]),
            (15, 2)
        );
        assert_eq!(forks(&[at(1, 0, 1), at(2, 1, 1)]), 0);
        let other = LetIn {
            digest: "other".into(),
            ..at(3, 1, 1)
        };
        assert_eq!(forks(&[at(1, 0, 1), other]), 1);
    }
}
