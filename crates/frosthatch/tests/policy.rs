//! Several gateway processes that agree on their policy, with faults between them.
#![expect(clippy::too_many_lines)]

use frosthatch_lab::site::Node;
use frosthatch_lab::testbed::policy_fixture::{self, document, PolicyFixture};
use frosthatch_lab::testbed::{fleet_file, Process, Relay, Testbed, TimelineAction};
use frosthatch_policy_consensus::record::{parse_file_name, AcceptorRecord};
use frosthatch_policy_consensus::state_directory::StateDirectory;
use frosthatch_test_doubles::{
    endpoint_entry, ok, write_config_file, Client, ClientRequest, Discovery, Server,
};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// Longer than any wait of these tests takes on two busy cores.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

struct Fleet {
    testbed: Testbed,
    fixture: PolicyFixture,
    key: PathBuf,
    _discovery: Discovery,
    _server: Server,
    _runtime: Runtime,
}

/// Returns the version that the latest record in an acceptor's state directory has accepted.
fn accepted_on_disk(directory: &Path) -> Option<u64> {
    let names = std::fs::read_dir(directory).ok()?.flatten();
    let records = names
        .filter_map(|entry| Some((parse_file_name(entry.file_name().to_str()?)?, entry.path())));
    let (_, latest) = records.max()?;
    let record = AcceptorRecord::read(&std::fs::read(latest).ok()?).ok()?;
    Some(record.durable.accepted?.1.version)
}

impl Fleet {
    /// Starts the processes, the first three of which are acceptors; `more` is added to the `[policy]` table of
    /// each.
    fn new(name: &str, processes: usize, more: &str) -> Fleet {
        Fleet::with_tables(name, processes, |_| more.to_string())
    }

    /// Like `new`, but `more` returns the additional lines for the process with the given index.
    fn with_tables(name: &str, processes: usize, more: impl Fn(usize) -> String) -> Fleet {
        let runtime = Runtime::new().expect("the Tokio runtime starts");
        let server = Server::new(|_| ok("done"));
        let discovery_double = Discovery::new(&endpoint_entry("s0", server.address, 1, "Ready"));
        let relay = Relay::new(runtime.handle(), processes, 5);
        let key = write_config_file(&format!("1 {}\n", "k".repeat(40)));
        let fixture = PolicyFixture::new(name, 3, 500);
        let process = |n: usize| {
            let discovery = discovery_double.address;
            let node = Node {
                gateways: processes,
                me: n,
                discovery,
                counter: None,
                sockets: 256,
                memory_mb: 32,
            };
            Process::new(
                node,
                Some(fleet_file(
                    &relay,
                    n,
                    &key,
                    &fixture.policy_table(n, &more(n)),
                )),
            )
        };
        let testbed = Testbed::new((0..processes).map(process).collect(), relay);
        let mut fleet = Fleet {
            testbed,
            fixture,
            key,
            _discovery: discovery_double,
            _server: server,
            _runtime: runtime,
        };
        fleet.testbed.start_all();
        fleet.testbed.wait_until_all_found();
        fleet.wait_until_all_hold(0);
        fleet
    }

    /// Kills a process and starts it with other additional lines in its table.
    fn restart(&mut self, target: usize, more: &str) {
        self.testbed
            .apply(&TimelineAction::Kill { who: vec![target] });
        let file = fleet_file(
            &self.testbed.relay,
            target,
            &self.key,
            &self.fixture.policy_table(target, more),
        );
        self.testbed.processes[target].replace_operator_file(&file);
        self.testbed.start(target);
    }

    /// Restarts a process so that it exits at a step, once all serve under `version`. Acceptors that are
    /// catching up may make the process reach the step before a change is proposed: it is then restarted without
    /// the exit, and the attempt is repeated.
    fn restart_to_exit_at(&mut self, target: usize, step: &str, after: u64, version: u64) {
        let since = Instant::now();
        loop {
            self.wait_until_acceptors_stored(version);
            self.restart(
                target,
                &format!("dies_at = {step:?}\ndies_after = {after}\n"),
            );
            while !self.testbed.processes[target].has_exited() && !self.all_running_hold(version) {
                assert!(
                    since.elapsed() < WAIT_TIMEOUT,
                    "all processes hold version {version} before step {step} {after}"
                );
                std::thread::sleep(Duration::from_millis(20));
            }
            if !self.testbed.processes[target].has_exited() {
                assert!(
                    (0..4).all(|n| self.request_status(n) == 200),
                    "all gateways serve before step {step} {after}"
                );
                return;
            }
            assert!(
                since.elapsed() < WAIT_TIMEOUT,
                "process {target} reaches step {step} {after} only after a proposal"
            );
            self.restart(target, "");
            self.wait_until_all_hold(version);
        }
    }

    fn console(&self, by: usize) -> SocketAddr {
        self.testbed.processes[by]
            .console()
            .expect("the process has a console address")
    }

    fn until(&self, what: &str, holds: impl Fn(&Fleet) -> bool) {
        let since = Instant::now();
        while !holds(self) {
            let all = &self.testbed.processes;
            let statuses = || {
                all.iter()
                    .map(|p| p.console().and_then(policy_fixture::policy_status))
                    .collect::<Vec<_>>()
            };
            assert!(since.elapsed() < WAIT_TIMEOUT, "{what}: {:#?}", statuses());
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn all_running_hold(&self, version: u64) -> bool {
        let mut running = self.testbed.processes.iter().filter(|p| p.is_running());
        running.all(|p| policy_fixture::version_in_force(p) == Some(version))
    }

    fn wait_until_all_hold(&self, version: u64) {
        self.until(&format!("all processes hold version {version}"), |f| {
            f.all_running_hold(version)
        });
    }

    /// Waits until each acceptor has accepted `version` on disk. Before that it may still be catching up, and a
    /// member that is to exit at a step may reach that step in doing so.
    fn wait_until_acceptors_stored(&self, version: u64) {
        self.until(
            &format!("all acceptors have stored version {version}"),
            |f| {
                (0..f.fixture.acceptors)
                    .all(|n| accepted_on_disk(&f.fixture.state_directory(n)) == Some(version))
            },
        );
    }

    /// Waits until all running processes see `ready` ready members, themselves included: the rest is held dead.
    fn wait_until_all_see(&self, ready: usize) {
        let seen = |f: &Fleet| {
            f.testbed
                .fleet_views()
                .iter()
                .flatten()
                .all(|v| v.ready == ready)
        };
        self.until(
            "all processes see the expected number of ready members",
            seen,
        );
    }

    /// Proposes a document through a process and returns the final state and its reason.
    fn propose(&self, by: usize, document: &str) -> (String, String) {
        let number = match policy_fixture::propose(self.console(by), document)
            .expect("the console answers")
        {
            Ok(number) => number,
            Err(why) => return ("refused".into(), why),
        };
        let since = Instant::now();
        loop {
            let (state, why) = policy_fixture::proposal_outcome(self.console(by), number)
                .expect("the proposal has a status");
            if state != "open" {
                return (state, why);
            }
            assert!(
                since.elapsed() < WAIT_TIMEOUT,
                "proposal {number} stays open"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn request_status(&self, by: usize) -> u16 {
        let http_request = ClientRequest::check()
            .with_header("X-Tier", "mellem")
            .to_text();
        self.testbed.processes[by]
            .client()
            .exchange(&http_request)
            .map_or(0, |m| m.status())
    }

    fn run_policy_command(&self, by: usize, arguments: &[&str]) -> (Option<i32>, String) {
        let mut command = std::process::Command::new(frosthatch_test_doubles::gateway_binary());
        let out = command
            .arg("policy")
            .args(arguments)
            .args(["--console", &self.console(by).to_string()])
            .output();
        let out = out.expect("the gateway binary runs");
        let output = [out.stdout, out.stderr].concat();
        (
            out.status.code(),
            String::from_utf8_lossy(&output).to_string(),
        )
    }

    /// Asserts the invariants I1, I2 and I5: no request was admitted under an old version more than 250 ms after
    /// one under a newer version, no version has two documents, and at least `changes` changes were seen.
    fn assert_admission_invariants(&self, changes: usize) {
        let all = self.fixture.admitted_requests(self.testbed.processes.len());
        let (window, seen) = policy_fixture::stale_version_window(&all);
        assert!(
            window <= 250_000,
            "requests were admitted under an old version for {window} us, at most 250,000 us are allowed"
        );
        assert_eq!(policy_fixture::count_conflicting_documents(&all), 0);
        assert!(
            seen >= changes,
            "{seen} changes seen in {} requests, expected at least {changes}",
            all.len()
        );
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.key);
    }
}

#[test]
fn a_change_is_in_force_everywhere_or_nowhere_and_the_command_line_reports_which() {
    let fleet = Fleet::new("change", 4, "");
    assert!((0..4).all(|n| fleet.request_status(n) == 200));
    let first = document(1, "", 100.0);
    let file = write_config_file(&first);
    let (code, output) = fleet.run_policy_command(
        3,
        &[
            "propose",
            file.to_str().expect("the temporary path is UTF-8"),
        ],
    );
    assert_eq!(code, Some(0), "{output}");
    fleet.wait_until_all_hold(1);
    assert!((0..4).all(|n| fleet.request_status(n) == 200));
    assert!(fleet
        .run_policy_command(1, &["show"])
        .1
        .contains("[plans.mellem]"));
    let (_, status) = fleet.run_policy_command(0, &["status"]);
    assert!(
        status.contains("version 1, in force") && status.contains("this one keeps: state"),
        "{status}"
    );
    // A second document with the same version is in force nowhere, and the caller gets an error.
    let (code, output) = fleet.run_policy_command(
        0,
        &[
            "propose",
            write_config_file(&document(1, "", 90.0))
                .to_str()
                .expect("the temporary path is UTF-8"),
        ],
    );
    assert!(
        code == Some(2) && output.contains("in its place"),
        "{code:?} {output}"
    );
    // A mistake is reported with its line and column.
    let wrong =
        document(2, &policy_fixture::digest(&first), 50.0).replace("burst = 400", "burst = -4");
    let (code, output) = fleet.run_policy_command(
        2,
        &[
            "propose",
            write_config_file(&wrong)
                .to_str()
                .expect("the temporary path is UTF-8"),
        ],
    );
    assert!(
        code == Some(2) && output.contains("line 6, column 9"),
        "{code:?} {output}"
    );
    let second = document(2, &policy_fixture::digest(&first), 50.0);
    assert_eq!(fleet.propose(0, &second).0, "in force");
    fleet.wait_until_all_hold(2);
    assert!((0..4).all(|n| fleet.request_status(n) == 200));
    fleet.assert_admission_invariants(2);
    let (_, history) = fleet.run_policy_command(2, &["history"]);
    assert!(history.lines().count() == 4, "{history}");
}

#[test]
fn a_gateway_that_was_down_stopped_or_cut_off_admits_nothing_under_the_old_version() {
    let mut fleet = Fleet::new("absent", 6, "");
    let first = document(1, "", 100.0);
    assert_eq!(fleet.propose(0, &first).0, "in force");
    fleet.wait_until_all_hold(1);
    assert!((0..6).all(|n| fleet.request_status(n) == 200));
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![3] });
    fleet.testbed.apply(&TimelineAction::Stop { who: vec![4] });
    let others = vec![0, 1, 2];
    fleet.testbed.apply(&TimelineAction::Split {
        groups: vec![others.clone(), vec![3], vec![4], vec![5]],
    });
    // The gateway that is cut off admits requests until its leases end, and then refuses at once.
    fleet.until("the gateway that is cut off refuses", |f| {
        f.request_status(5) == 429
    });
    fleet.until("three members hold the other three dead", |f| {
        f.testbed.fleet_views()[..3]
            .iter()
            .flatten()
            .all(|v| v.ready == 3)
    });
    let second = document(2, &policy_fixture::digest(&first), 50.0);
    assert_eq!(fleet.propose(1, &second).0, "in force");
    fleet.until("the three connected gateways hold version 2", |f| {
        (0..3).all(|n| policy_fixture::version_in_force(&f.testbed.processes[n]) == Some(2))
    });
    assert!((0..3).all(|n| fleet.request_status(n) == 200));
    assert_eq!(fleet.request_status(5), 429);
    // Continued, with its next request already waiting.
    fleet
        .testbed
        .apply(&TimelineAction::Continue { who: vec![4] });
    let status_after_continue = fleet.request_status(4);
    assert!(
        status_after_continue == 429,
        "status {status_after_continue}: a continued gateway has no lease"
    );
    fleet.testbed.apply(&TimelineAction::Heal);
    fleet.testbed.start(3);
    fleet.wait_until_all_hold(2);
    assert!((0..6).all(|n| fleet.request_status(n) == 200));
    fleet.assert_admission_invariants(2);
}

#[test]
fn losing_a_minority_of_acceptors_has_no_effect_and_changes_survive_a_crash_of_all() {
    let mut fleet = Fleet::new("keepers", 4, "");
    let first = document(1, "", 100.0);
    assert_eq!(fleet.propose(3, &first).0, "in force");
    fleet.wait_until_all_hold(1);
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![0] });
    let since = Instant::now();
    while since.elapsed() < Duration::from_millis(1_500) {
        assert!((1..4).all(|n| fleet.request_status(n) == 200));
        std::thread::sleep(Duration::from_millis(40));
    }
    let second = document(2, &policy_fixture::digest(&first), 50.0);
    fleet.wait_until_all_see(3);
    assert_eq!(fleet.propose(3, &second).0, "in force");
    fleet.wait_until_all_hold(2);
    // Without a majority of acceptors no request is admitted and no change is made.
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![1] });
    fleet.until("the remaining gateways refuse", |f| {
        f.request_status(2) == 429 && f.request_status(3) == 429
    });
    fleet.wait_until_all_see(2);
    let third = document(3, &policy_fixture::digest(&second), 40.0);
    let (state, why) = fleet.propose(3, &third);
    assert!(
        state == "refused" && why.contains("no majority"),
        "{state} {why}"
    );
    fleet
        .testbed
        .apply(&TimelineAction::Kill { who: vec![2, 3] });
    fleet.testbed.start_all();
    fleet.wait_until_all_hold(2);
    assert!((0..4).all(|n| fleet.request_status(n) == 200));
    fleet.assert_admission_invariants(2);
    // A damaged state is reported, and nothing is inferred from it: the others work without this acceptor.
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![0] });
    let directory = fleet.fixture.state_directory(0);
    let files = std::fs::read_dir(&directory)
        .expect("the state directory can be read")
        .flatten()
        .map(|e| e.path());
    let last = files
        .filter(|f| f.to_string_lossy().contains("keeper-"))
        .max()
        .expect("the directory holds a state file");
    let mut bytes = std::fs::read(&last).expect("the state file can be read");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    std::fs::write(&last, bytes).expect("the file can be written");
    fleet.testbed.start(0);
    fleet.wait_until_all_hold(2);
    let acceptor_status = policy_fixture::policy_status(fleet.console(0))
        .expect("the console returns the policy status")["keeps"]
        .to_string();
    assert!(acceptor_status.contains("checksum"), "{acceptor_status}");
}

#[test]
fn a_change_that_one_member_cannot_take_is_in_force_nowhere() {
    let mut fleet = Fleet::new("cannot", 3, "patience_ms = 3000\n");
    // A member that is cut off doesn't answer and is not yet held dead: the change waits for it and is refused
    // at its timeout.
    fleet.testbed.apply(&TimelineAction::Cut {
        from: vec![2],
        to: vec![0],
    });
    let first = document(1, "", 100.0);
    let (state, why) = fleet.propose(0, &first);
    assert!(
        state == "refused" && why.contains("n2") && why.contains("in time"),
        "{state} {why}"
    );
    fleet.testbed.apply(&TimelineAction::Heal);
    assert!(
        (0..3).all(|n| policy_fixture::version_in_force(&fleet.testbed.processes[n]) == Some(0))
    );
    // A policy that no gateway can serve under is refused before any member is asked to check it.
    let unknown = first.replace("plans.counted]", "plans.other]");
    let (state, why) = fleet.propose(0, &unknown);
    assert!(
        state == "refused" && why.contains("no plan \"other\""),
        "{state} {why}"
    );
    assert_eq!(fleet.propose(0, &first).0, "in force");
    fleet.wait_until_all_hold(1);
}

/// An acceptor loses its state directory and is replaced by a new acceptor; with the new acceptor the fleet
/// tolerates the loss of another one, a third; the old directory is refused.
#[test]
fn an_acceptor_is_replaced_and_its_old_directory_is_refused() {
    let mut fleet = Fleet::new("replaced", 4, "");
    let first = document(1, "", 100.0);
    assert_eq!(fleet.propose(3, &first).0, "in force");
    fleet.wait_until_all_hold(1);
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![0] });
    let directory = fleet.fixture.state_directory(0);
    let old = directory.with_extension("old");
    std::fs::rename(&directory, &old).expect("the directory can be moved");
    std::fs::create_dir(&directory).expect("the directory can be created");
    let acceptor_status = |f: &Fleet| {
        policy_fixture::policy_status(f.console(0))
            .map_or(String::new(), |s| s["keeps"].to_string())
    };
    // An empty directory is not taken for a new acceptor's state.
    fleet.testbed.start(0);
    fleet.until("the empty directory is reported", |f| {
        acceptor_status(f).contains("policy init")
    });
    fleet.wait_until_all_hold(1);
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![0] });
    let initialized = StateDirectory::open(&directory).and_then(|f| f.init("n0", true));
    assert_eq!(initialized, Ok(()));
    fleet.testbed.start(0);
    fleet.until("the new acceptor has joined", |f| {
        acceptor_status(f).contains("state 2")
    });
    fleet.wait_until_all_hold(1);
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![1] });
    fleet.wait_until_all_see(3);
    let second = document(2, &policy_fixture::digest(&first), 50.0);
    assert_eq!(fleet.propose(3, &second).0, "in force");
    fleet.wait_until_all_hold(2);
    fleet.testbed.start(1);
    fleet.wait_until_all_hold(2);
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![0] });
    std::fs::remove_dir_all(&directory).expect("the directory can be removed");
    std::fs::rename(&old, &directory).expect("the directory can be moved back");
    fleet.testbed.start(0);
    fleet.until("the old directory is reported", |f| {
        acceptor_status(f).contains("put back from a copy")
    });
    fleet.wait_until_all_hold(2);
    assert!((0..4).all(|n| fleet.request_status(n) == 200));
    fleet.assert_admission_invariants(1);
}

/// Clocks drift by as much as is allowed for, fast and slow, at acceptors and at others, while requests arrive
/// all the time: no gateway admits a request under the old version once another has admitted one under the new
/// version.
#[test]
fn drifting_clocks_let_no_gateway_serve_under_an_old_version() {
    let fleet = Fleet::with_tables("drift", 5, |n| {
        format!("skew = {}\n", [10, -10, 0, -10, 10][n])
    });
    let ending = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        for address in fleet.testbed.addresses() {
            let ending = &ending;
            scope.spawn(move || {
                let text = ClientRequest::check().with_header("X-Tier", "mellem");
                while !ending.load(std::sync::atomic::Ordering::Relaxed) {
                    Client::at(address).exchange(&text.to_text());
                    std::thread::sleep(Duration::from_millis(2));
                }
            });
        }
        let mut parent = String::new();
        for version in 1..=6 {
            let document = document(version, &parent, 1_000.0);
            assert_eq!(fleet.propose(version as usize % 5, &document).0, "in force");
            fleet.wait_until_all_hold(version);
            parent = policy_fixture::digest(&document);
        }
        ending.store(true, std::sync::atomic::Ordering::Relaxed);
    });
    let (window, seen) = policy_fixture::stale_version_window(&fleet.fixture.admitted_requests(5));
    assert_eq!(
        (window, seen),
        (0, 6),
        "(us in which requests were admitted under an old version, changes seen)"
    );
}

/// The proposer or an acceptor is killed at each named step, alone or with all others: a change reported as in
/// force stays in force; any other change is in force at all processes or at none; the next change succeeds.
#[test]
fn killed_at_each_step_by_name_a_change_is_everywhere_or_nowhere() {
    let mut fleet = Fleet::new("steps", 4, "");
    let (mut version, mut parent) = (0, String::new());
    // The process that exits, the step before which it exits, and the completed occurrences of this step before
    // the exit. Process 3 is the proposer and no acceptor: it asks three other members and three acceptors.
    let steps = [
        (3, "check", 0),
        (3, "check", 1),
        (3, "prepare", 0),
        (3, "prepare", 2),
        (3, "accept", 0),
        (3, "accept", 1),
        (3, "accept", 2),
        (3, "told", 0),
        (1, "checked", 0),
        (1, "store", 0),
        (1, "stored", 0),
        (1, "promised", 0),
        (1, "store", 1),
        (1, "stored", 1),
        (1, "accepted", 0),
    ];
    let mut in_force_count = 0;
    for (turn, (target, step, after)) in steps.into_iter().enumerate() {
        fleet.restart_to_exit_at(target, step, after, version);
        let mut proposal = document(version + 1, &parent, 100.0 + turn as f64);
        // The proposer may exit before it has answered that it accepts the proposal.
        let propose = |f: &Fleet, proposal: &str| {
            policy_fixture::propose(f.console(3), proposal)
                .map(|n| n.expect("the change can be proposed"))
        };
        let mut number = propose(&fleet, &proposal);
        let since = Instant::now();
        while !fleet.testbed.processes[target].has_exited() {
            assert!(
                since.elapsed() < WAIT_TIMEOUT,
                "process {target} exits at step {step} {after}"
            );
            // An acceptor whose answer was not needed for the majority may not have reached the step; another
            // proposal makes it reach the step.
            let ended = number
                .filter(|_| target != 3)
                .and_then(|n| policy_fixture::proposal_outcome(fleet.console(3), n));
            if ended.is_some_and(|(state, _)| state == "in force") {
                std::thread::sleep(Duration::from_millis(700));
                if !fleet.testbed.processes[target].has_exited() {
                    (version, parent) = (version + 1, policy_fixture::digest(&proposal));
                    proposal = document(version + 1, &parent, 100.0 + turn as f64);
                    number = propose(&fleet, &proposal);
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let reported_in_force = number
            .filter(|_| target != 3)
            .and_then(|n| policy_fixture::proposal_outcome(fleet.console(3), n));
        let reported_in_force = reported_in_force.is_some_and(|(state, _)| state == "in force");
        let all: Vec<usize> = (0..4).filter(|n| turn % 2 == 1 || *n == target).collect();
        fleet
            .testbed
            .apply(&TimelineAction::Kill { who: all.clone() });
        if turn % 2 == 0 && target == 1 {
            // The others continue without the acceptor, and the proposer reports the outcome.
            let number = number.expect("the console has accepted the proposal");
            fleet.until("the proposal has an outcome", |f| {
                policy_fixture::proposal_outcome(f.console(3), number)
                    .is_some_and(|(s, _)| s != "open")
            });
        }
        let file = fleet_file(
            &fleet.testbed.relay,
            target,
            &fleet.key,
            &fleet.fixture.policy_table(target, ""),
        );
        fleet.testbed.processes[target].replace_operator_file(&file);
        all.into_iter().for_each(|n| fleet.testbed.start(n));
        let common_version = |f: &Fleet| {
            let version_held: Vec<_> = f
                .testbed
                .processes
                .iter()
                .map(policy_fixture::version_in_force)
                .collect();
            version_held
                .iter()
                .all(|v| v.is_some() && *v == version_held[0])
                .then(|| version_held[0])
                .flatten()
        };
        fleet.until("all processes hold the same version", |f| {
            common_version(f).is_some()
        });
        let mut version_held =
            common_version(&fleet).expect("the wait above has seen a common version");
        let mut next_document = document(version + 1, &parent, 300.0 + turn as f64);
        if version_held == version && fleet.propose(0, &next_document).0 == "in force" {
            assert!(
                !reported_in_force,
                "a change reported as in force at step {step} {after} is not lost"
            );
        } else {
            // The change was already in force, or was left half done and completed by the next proposal.
            fleet.until("all processes hold the unfinished change", |f| {
                common_version(f) == Some(version + 1)
            });
            version_held = version + 1;
            (version, parent) = (version_held, policy_fixture::digest(&proposal));
            in_force_count += 1;
            next_document = document(version + 1, &parent, 300.0 + turn as f64);
            assert_eq!(
                fleet.propose(0, &next_document).0,
                "in force",
                "a change after step {step} {after} comes into force"
            );
        }
        assert!(
            version_held <= version,
            "version {version_held} is held after step {step} {after}, {version} is the last"
        );
        (version, parent) = (version + 1, policy_fixture::digest(&next_document));
        fleet.wait_until_all_hold(version);
        assert!((0..4).all(|n| fleet.request_status(n) == 200));
    }
    // Of the interrupted changes at least 3 came into force and more than 3 did not: the process exits both
    // before and after the point at which a change becomes final.
    assert!(
        (3..steps.len() - 3).contains(&in_force_count),
        "{in_force_count} of {} changes came into force, expected at least 3 and fewer than all but 3",
        steps.len()
    );
    fleet.assert_admission_invariants(steps.len());
}

/// One of nine gateways has another file of the plug-in that a policy names, and another gateway joins while the
/// change is under way.
#[test]
fn a_policy_whose_plugin_one_of_nine_gateways_lacks_is_in_force_nowhere() {
    let module = r#"(module (memory (export "memory") 1)
        (func (export "frosthatch_abi") (result i32) i32.const 1)
        (func (export "alloc") (param i32) (result i32) i32.const 1024)
        (func (export "on_request") (param i32 i32) (result i64) i64.const 0))"#;
    let (file, other) = (
        write_config_file(module),
        write_config_file(&module.replace("1024", "2048")),
    );
    let table = |file: &PathBuf| format!("[plugins.till]\nfile = {file:?}\n");
    let mut fleet = Fleet::with_tables("nine", 9, |n| table(if n == 8 { &other } else { &file }));
    let bytes = std::fs::read(&file).expect("the plug-in's file can be read");
    let digest = frosthatch_policy_consensus::document::hex(
        &frosthatch_policy_consensus::document::sha256(&bytes),
    );
    let first = format!(
        "{}[plugins.till]\nsha256 = {digest:?}\n",
        document(1, "", 100.0)
    );
    let (state, why) = fleet.propose(4, &first);
    assert!(
        state == "refused" && why.contains("n8") && why.contains("another here"),
        "{state} {why}"
    );
    assert!(fleet
        .testbed
        .processes
        .iter()
        .all(|p| policy_fixture::version_in_force(p) == Some(0)));
    // A gateway that joins in the middle of a change gets the new version, too.
    fleet.restart(8, &table(&file));
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![7] });
    fleet.wait_until_all_see(8);
    let number = policy_fixture::propose(fleet.console(4), &first)
        .expect("the console answers")
        .expect("the change can be proposed");
    fleet.testbed.start(7);
    fleet.until("the proposal is in force", |f| {
        policy_fixture::proposal_outcome(f.console(4), number).is_some_and(|(s, _)| s == "in force")
    });
    fleet.wait_until_all_hold(1);
    assert!((0..9).all(|n| fleet.request_status(n) == 200));
    fleet.assert_admission_invariants(1);
    for file in [file, other] {
        let _ = std::fs::remove_file(file);
    }
}
