//! Fixture for processes that agree on a policy document: their state directories and configuration, their
//! consoles' `/policy` endpoint, and the audit of which request was admitted under which version.

use super::processes::{call_console, Process};
use frosthatch_policy_consensus::document::{hex, sha256};
use frosthatch_policy_consensus::state_directory::StateDirectory;
use serde_json::Value;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An admitted request, as recorded in the audit file of its gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmittedRequest {
    /// Time of admission in microseconds of the clock that all processes of a machine share.
    pub at_us: u64,
    /// Index of the process that admitted the request.
    pub process: usize,
    pub version: u64,
    pub digest: String,
}

/// State directories and audit files of a set of processes, removed on drop.
pub struct PolicyFixture {
    directory: PathBuf,
    /// Number of acceptors; they are the first processes.
    pub acceptors: usize,
    pub lease_ms: u64,
}

impl PolicyFixture {
    /// Creates and initializes a state directory for each of the first `acceptors` processes.
    ///
    /// # Panics
    /// If a directory or its initial state cannot be created.
    pub fn new(name: &str, acceptors: usize, lease_ms: u64) -> PolicyFixture {
        let directory =
            std::env::temp_dir().join(format!("frosthatch-agreed-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&directory);
        let fixture = PolicyFixture {
            directory,
            acceptors,
            lease_ms,
        };
        for n in 0..acceptors {
            fs::create_dir_all(fixture.state_directory(n))
                .expect("the temporary directory is writable");
            StateDirectory::open(&fixture.state_directory(n))
                .and_then(|directory| directory.init(&format!("n{n}"), false))
                .expect("a new state directory can be initialized");
        }
        fixture
    }

    /// Returns the state directory of a process.
    pub fn state_directory(&self, process: usize) -> PathBuf {
        self.directory.join(format!("n{process}"))
    }

    fn audit_file(&self, process: usize) -> PathBuf {
        self.directory.join(format!("audit-{process}"))
    }

    /// Returns the `[policy]` table of a process's configuration file, ending in `extra_lines`.
    pub fn policy_table(&self, process: usize, extra_lines: &str) -> String {
        let names: Vec<String> = (0..self.acceptors).map(|n| format!("\"n{n}\"")).collect();
        let directory = if process < self.acceptors {
            format!("folder = {:?}\n", self.state_directory(process))
        } else {
            String::new()
        };
        let (names, lease, audit) = (names.join(", "), self.lease_ms, self.audit_file(process));
        format!("\n[policy]\nkeepers = [{names}]\n{directory}lease_ms = {lease}\naudit = {audit:?}\n{extra_lines}")
    }

    /// Returns the requests admitted so far by the first `processes` processes, by time of admission.
    pub fn admitted_requests(&self, processes: usize) -> Vec<AdmittedRequest> {
        let mut all = Vec::new();
        for process in 0..processes {
            let text = fs::read_to_string(self.audit_file(process)).unwrap_or_default();
            for line in text.lines() {
                let mut words = line.split(' ');
                let mut next = || words.next().unwrap_or("");
                let (Ok(at_us), Ok(version)) = (next().parse(), next().parse()) else {
                    continue;
                };
                all.push(AdmittedRequest {
                    at_us,
                    process,
                    version,
                    digest: next().into(),
                });
            }
        }
        all.sort_by_key(|request| request.at_us);
        all
    }
}

impl Drop for PolicyFixture {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Returns the longest time, in microseconds, for which requests were still admitted under an older version after
/// the first admission under the highest version so far, and the number of versions that became the highest, the
/// first one included.
pub fn stale_version_window(all: &[AdmittedRequest]) -> (u64, usize) {
    let (mut longest_us, mut highest, mut highest_since_us, mut changes) = (0, 0, 0, 0);
    for request in all {
        if request.version > highest {
            (highest, highest_since_us) = (request.version, request.at_us);
            changes += 1;
        } else if request.version < highest {
            longest_us = longest_us.max(request.at_us - highest_since_us);
        }
    }
    (longest_us, changes)
}

/// Counts admissions under a document that differs from the first document seen with the same version.
pub fn count_conflicting_documents(all: &[AdmittedRequest]) -> usize {
    let mut seen: std::collections::BTreeMap<u64, &str> = std::collections::BTreeMap::new();
    all.iter()
        .filter(|request| *seen.entry(request.version).or_insert(&request.digest) != request.digest)
        .count()
}

/// Returns a policy document with the lab's plans and classes, in which the plan `mellem`, which is large enough
/// for all clients, has a rate of `rate` units/s, and the plan `ekstra-stor` a ceiling of 20 units/s.
pub fn document(version: u64, parent: &str, rate: f64) -> String {
    document_with_ceiling(version, parent, rate, 20.0)
}

/// Like [`document`], with this ceiling for the plan `ekstra-stor` and twice the ceiling as its depth.
pub fn document_with_ceiling(version: u64, parent: &str, rate: f64, ceiling: f64) -> String {
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

/// Returns the SHA-256 digest of a document in hexadecimal, which is the value of `parent` in the next version.
pub fn digest(document: &str) -> String {
    hex(&sha256(document))
}

/// Returns the body of the console's `GET /policy`, or `None` if the call fails.
pub fn policy_status(console: SocketAddr) -> Option<Value> {
    match call_console(console, "GET", "/policy", "")? {
        (200, body) => serde_json::from_str(&body).ok(),
        _ => None,
    }
}

/// Returns the version that is in force at a process, if one is.
pub fn version_in_force(process: &Process) -> Option<u64> {
    let status = policy_status(process.console()?)?;
    (status["state"] == "in force")
        .then(|| status["version"].as_u64())
        .flatten()
}

/// Proposes a document at a process: returns the number of the proposal, or the body of the refusal.
/// `None` if the console does not answer or its answer holds no proposal number.
pub fn propose(console: SocketAddr, document: &str) -> Option<Result<u64, String>> {
    match call_console(console, "POST", "/policy", document)? {
        (202, body) => Some(Ok(
            serde_json::from_str::<Value>(&body).ok()?["number"].as_u64()?
        )),
        (_, reason) => Some(Err(reason)),
    }
}

/// Returns the state of a proposal and its `why` field as JSON text, or `None` if the console does not answer or
/// does not know the proposal.
pub fn proposal_outcome(console: SocketAddr, number: u64) -> Option<(String, String)> {
    let status = policy_status(console)?;
    let all = status["proposals"].as_array()?;
    let proposal = all.iter().find(|p| p["number"].as_u64() == Some(number))?;
    Some((
        proposal["state"].as_str()?.into(),
        proposal["why"].to_string(),
    ))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(at_us: u64, process: usize, version: u64) -> AdmittedRequest {
        AdmittedRequest {
            at_us,
            process,
            version,
            digest: format!("d{version}"),
        }
    }

    #[test]
    fn admissions_under_an_old_version_are_found_and_timed() {
        assert_eq!(
            stale_version_window(&[request(1, 0, 1), request(5, 1, 2), request(6, 0, 2)]),
            (0, 2)
        );
        assert_eq!(
            stale_version_window(&[
                request(1, 0, 1),
                request(5, 1, 2),
                request(8, 0, 1),
                request(9, 0, 2),
                request(20, 0, 1)
            ]),
            (15, 2)
        );
        assert_eq!(
            count_conflicting_documents(&[request(1, 0, 1), request(2, 1, 1)]),
            0
        );
        let other = AdmittedRequest {
            digest: "other".into(),
            ..request(3, 1, 1)
        };
        assert_eq!(count_conflicting_documents(&[request(1, 0, 1), other]), 1);
    }
}
