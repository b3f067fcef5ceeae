//! Several real processes that agree on their policy, and faults between them.
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

/// Longer than anything here takes on two busy cores.
const LONG: Duration = Duration::from_secs(40);

struct Fleet {
    testbed: Testbed,
    fixture: PolicyFixture,
    key: PathBuf,
    _agent: Discovery,
    _server: Server,
    _runtime: Runtime,
}

/// The version that the latest record in an acceptor's folder has accepted.
fn accepted_on_disk(folder: &Path) -> Option<u64> {
    let names = std::fs::read_dir(folder).ok()?.flatten();
    let records = names
        .filter_map(|entry| Some((parse_file_name(entry.file_name().to_str()?)?, entry.path())));
    let (_, latest) = records.max()?;
    let record = AcceptorRecord::read(&std::fs::read(latest).ok()?).ok()?;
    Some(record.durable.accepted?.1.version)
}

impl Fleet {
    /// The first three keep. `more`: of their tables.
    fn new(name: &str, processes: usize, more: &str) -> Fleet {
        Fleet::each(name, processes, |_| more.to_string())
    }

    /// The same, with more for each of its own.
    fn each(name: &str, processes: usize, more: impl Fn(usize) -> String) -> Fleet {
        let runtime = Runtime::new().expect("the Tokio runtime starts");
        let server = Server::new(|_| ok("done"));
        let agent = Discovery::new(&endpoint_entry("s0", server.address, 1, "Ready"));
        let relay = Relay::new(runtime.handle(), processes, 5);
        let key = write_config_file(&format!("1 {}\n", "k".repeat(40)));
        let fixture = PolicyFixture::new(name, 3, 500);
        let process = |n: usize| {
            let discovery = agent.address;
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
            _agent: agent,
            _server: server,
            _runtime: runtime,
        };
        fleet.testbed.start_all();
        fleet.testbed.wait_until_all_found();
        fleet.all_hold(0);
        fleet
    }

    /// A process gets another table, and starts anew with it.
    fn restart(&mut self, who: usize, more: &str) {
        self.testbed.apply(&TimelineAction::Kill { who: vec![who] });
        let file = fleet_file(
            &self.testbed.relay,
            who,
            &self.key,
            &self.fixture.policy_table(who, more),
        );
        self.testbed.processes[who].replace_operator_file(&file);
        self.testbed.start(who);
    }

    /// Starts it anew so that it dies at a step, once all serve under this version. Acceptors that are still brought together
    /// may take it to that step before anything is proposed: then they are left to finish, and it starts again.
    fn restart_to_die(&mut self, who: usize, step: &str, after: u64, version: u64) {
        let since = Instant::now();
        loop {
            self.all_keepers_store(version);
            self.restart(who, &format!("dies_at = {step:?}\ndies_after = {after}\n"));
            while !self.testbed.processes[who].has_exited() && !self.hold(version) {
                assert!(
                    since.elapsed() < LONG,
                    "not all hold {version} before {step} {after}"
                );
                std::thread::sleep(Duration::from_millis(20));
            }
            if !self.testbed.processes[who].has_exited() {
                assert!((0..4).all(|n| self.asks(n) == 200), "before {step} {after}");
                return;
            }
            assert!(
                since.elapsed() < LONG,
                "it dies at {step} {after} again and again"
            );
            self.restart(who, "");
            self.all_hold(version);
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
            let says = || {
                all.iter()
                    .map(|p| p.console().and_then(policy_fixture::policy_status))
                    .collect::<Vec<_>>()
            };
            assert!(since.elapsed() < LONG, "{what}: {:#?}", says());
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn hold(&self, version: u64) -> bool {
        let mut running = self.testbed.processes.iter().filter(|p| p.is_running());
        running.all(|p| policy_fixture::version_in_force(p) == Some(version))
    }

    fn all_hold(&self, version: u64) {
        self.until(&format!("all hold {version}"), |f| f.hold(version));
    }

    /// Until each acceptor has accepted this version on its disk. Before that it may still be brought up to date, and a member
    /// that is to die at a step may reach that step in doing so.
    fn all_keepers_store(&self, version: u64) {
        self.until(&format!("all keepers have accepted {version}"), |f| {
            (0..f.fixture.acceptors)
                .all(|n| accepted_on_disk(&f.fixture.state_directory(n)) == Some(version))
        });
    }

    /// All that run see so many that are ready, themselves included: the rest is held dead.
    fn all_see(&self, ready: usize) {
        let seen = |f: &Fleet| {
            f.testbed
                .fleet_views()
                .iter()
                .flatten()
                .all(|v| v.ready == ready)
        };
        self.until("the others hold the rest dead", seen);
    }

    /// Proposes by a process, and waits for the end.
    fn propose(&self, by: usize, document: &str) -> (String, String) {
        let number = match policy_fixture::propose(self.console(by), document)
            .expect("the gateway answers the request")
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
            assert!(since.elapsed() < LONG, "proposal {number} has no end");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn asks(&self, by: usize) -> u16 {
        let ask = ClientRequest::check()
            .with_header("X-Tier", "mellem")
            .to_text();
        self.testbed.processes[by]
            .client()
            .exchange(&ask)
            .map_or(0, |m| m.status())
    }

    fn policy(&self, by: usize, words: &[&str]) -> (Option<i32>, String) {
        let mut command = std::process::Command::new(frosthatch_test_doubles::gateway_binary());
        let out = command
            .arg("policy")
            .args(words)
            .args(["--console", &self.console(by).to_string()])
            .output();
        let out = out.expect("the gateway binary runs");
        let said = [out.stdout, out.stderr].concat();
        (
            out.status.code(),
            String::from_utf8_lossy(&said).to_string(),
        )
    }

    /// I1, I2 and I5, by what each let in when.
    fn kept(&self, changes: usize) {
        let all = self.fixture.admitted_requests(self.testbed.processes.len());
        let (window, seen) = policy_fixture::stale_version_window(&all);
        assert!(
            window <= 250_000,
            "let in under an old version for {window} us"
        );
        assert_eq!(policy_fixture::count_conflicting_documents(&all), 0);
        assert!(
            seen >= changes,
            "{seen} changes seen in {} requests",
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
fn a_change_is_in_force_everywhere_or_nowhere_and_the_command_line_says_which() {
    let fleet = Fleet::new("change", 4, "");
    assert!((0..4).all(|n| fleet.asks(n) == 200));
    let first = document(1, "", 100.0);
    let file = write_config_file(&first);
    let (code, said) = fleet.policy(
        3,
        &[
            "propose",
            file.to_str().expect("the temporary path is UTF-8"),
        ],
    );
    assert_eq!(code, Some(0), "{said}");
    fleet.all_hold(1);
    assert!((0..4).all(|n| fleet.asks(n) == 200));
    assert!(fleet.policy(1, &["show"]).1.contains("[plans.mellem]"));
    let (_, status) = fleet.policy(0, &["status"]);
    assert!(
        status.contains("version 1, in force") && status.contains("this one keeps: state"),
        "{status}"
    );
    // Twice the same version: it is nowhere, and the caller is told.
    let (code, said) = fleet.policy(
        0,
        &[
            "propose",
            write_config_file(&document(1, "", 90.0))
                .to_str()
                .expect("the temporary path is UTF-8"),
        ],
    );
    assert!(
        code == Some(2) && said.contains("in its place"),
        "{code:?} {said}"
    );
    // A mistake, with its place.
    let wrong =
        document(2, &policy_fixture::digest(&first), 50.0).replace("burst = 400", "burst = -4");
    let (code, said) = fleet.policy(
        2,
        &[
            "propose",
            write_config_file(&wrong)
                .to_str()
                .expect("the temporary path is UTF-8"),
        ],
    );
    assert!(
        code == Some(2) && said.contains("line 6, column 9"),
        "{code:?} {said}"
    );
    let second = document(2, &policy_fixture::digest(&first), 50.0);
    assert_eq!(fleet.propose(0, &second).0, "in force");
    fleet.all_hold(2);
    assert!((0..4).all(|n| fleet.asks(n) == 200));
    fleet.kept(2);
    let (_, history) = fleet.policy(2, &["history"]);
    assert!(history.lines().count() == 4, "{history}");
}

#[test]
fn who_was_down_or_stopped_or_cut_off_never_lets_in_under_the_old_one_again() {
    let mut fleet = Fleet::new("absent", 6, "");
    let first = document(1, "", 100.0);
    assert_eq!(fleet.propose(0, &first).0, "in force");
    fleet.all_hold(1);
    assert!((0..6).all(|n| fleet.asks(n) == 200));
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![3] });
    fleet.testbed.apply(&TimelineAction::Stop { who: vec![4] });
    let others = vec![0, 1, 2];
    fleet.testbed.apply(&TimelineAction::Split {
        groups: vec![others.clone(), vec![3], vec![4], vec![5]],
    });
    // It goes on by its leases for as long as they last, and then refuses at once.
    fleet.until("who is cut off refuses", |f| f.asks(5) == 429);
    fleet.until("the others hold the rest dead", |f| {
        f.testbed.fleet_views()[..3]
            .iter()
            .flatten()
            .all(|v| v.ready == 3)
    });
    let second = document(2, &policy_fixture::digest(&first), 50.0);
    assert_eq!(fleet.propose(1, &second).0, "in force");
    fleet.until("those that are there hold it", |f| {
        (0..3).all(|n| policy_fixture::version_in_force(&f.testbed.processes[n]) == Some(2))
    });
    assert!((0..3).all(|n| fleet.asks(n) == 200));
    assert_eq!(fleet.asks(5), 429);
    // Back, with its very next request already there.
    fleet
        .testbed
        .apply(&TimelineAction::Continue { who: vec![4] });
    let woken = fleet.asks(4);
    assert!(woken == 429, "{woken}: it has no lease any more");
    fleet.testbed.apply(&TimelineAction::Heal);
    fleet.testbed.start(3);
    fleet.all_hold(2);
    assert!((0..6).all(|n| fleet.asks(n) == 200));
    fleet.kept(2);
}

#[test]
fn a_minority_of_keepers_costs_nothing_and_all_that_was_told_outlives_a_crash_of_all() {
    let mut fleet = Fleet::new("keepers", 4, "");
    let first = document(1, "", 100.0);
    assert_eq!(fleet.propose(3, &first).0, "in force");
    fleet.all_hold(1);
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![0] });
    let since = Instant::now();
    while since.elapsed() < Duration::from_millis(1_500) {
        assert!((1..4).all(|n| fleet.asks(n) == 200));
        std::thread::sleep(Duration::from_millis(40));
    }
    let second = document(2, &policy_fixture::digest(&first), 50.0);
    fleet.all_see(3);
    assert_eq!(fleet.propose(3, &second).0, "in force");
    fleet.all_hold(2);
    // Without a majority nothing is let in, nor changed.
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![1] });
    fleet.until("refused at once", |f| f.asks(2) == 429 && f.asks(3) == 429);
    fleet.all_see(2);
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
    fleet.all_hold(2);
    assert!((0..4).all(|n| fleet.asks(n) == 200));
    fleet.kept(2);
    // A state that was damaged is told, and nothing is guessed from it: the others do without this keeper.
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![0] });
    let folder = fleet.fixture.state_directory(0);
    let files = std::fs::read_dir(&folder)
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
    fleet.all_hold(2);
    let keeps = policy_fixture::policy_status(fleet.console(0))
        .expect("the console returns the policy status")["keeps"]
        .to_string();
    assert!(keeps.contains("checksum"), "{keeps}");
}

#[test]
fn a_member_that_cannot_take_it_keeps_it_from_all() {
    let mut fleet = Fleet::new("cannot", 3, "patience_ms = 3000\n");
    // Stopped, it says nothing, and it is not held dead yet: the change waits for it, and is nowhere in time.
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
    // What no gateway can serve under is told before anybody is asked.
    let unknown = first.replace("plans.counted]", "plans.other]");
    let (state, why) = fleet.propose(0, &unknown);
    assert!(
        state == "refused" && why.contains("no plan \"other\""),
        "{state} {why}"
    );
    assert_eq!(fleet.propose(0, &first).0, "in force");
    fleet.all_hold(1);
}

/// A keeper's folder is lost; another is set up in its place, and bears the loss of a third one; the old folder is of no use any more.
#[test]
fn a_keeper_is_replaced_and_its_old_folder_is_told_apart() {
    let mut fleet = Fleet::new("replaced", 4, "");
    let first = document(1, "", 100.0);
    assert_eq!(fleet.propose(3, &first).0, "in force");
    fleet.all_hold(1);
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![0] });
    let folder = fleet.fixture.state_directory(0);
    let old = folder.with_extension("old");
    std::fs::rename(&folder, &old).expect("the directory can be moved");
    std::fs::create_dir(&folder).expect("the directory can be created");
    let keeps = |f: &Fleet| {
        policy_fixture::policy_status(f.console(0))
            .map_or(String::new(), |s| s["keeps"].to_string())
    };
    // An empty folder is not taken for a new keeper's.
    fleet.testbed.start(0);
    fleet.until("it is told", |f| keeps(f).contains("policy init"));
    fleet.all_hold(1);
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![0] });
    let made = StateDirectory::open(&folder).and_then(|f| f.init("n0", true));
    assert_eq!(made, Ok(()));
    fleet.testbed.start(0);
    fleet.until("it has joined", |f| keeps(f).contains("state 2"));
    fleet.all_hold(1);
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![1] });
    fleet.all_see(3);
    let second = document(2, &policy_fixture::digest(&first), 50.0);
    assert_eq!(fleet.propose(3, &second).0, "in force");
    fleet.all_hold(2);
    fleet.testbed.start(1);
    fleet.all_hold(2);
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![0] });
    std::fs::remove_dir_all(&folder).expect("the file can be removed");
    std::fs::rename(&old, &folder).expect("the directory can be moved back");
    fleet.testbed.start(0);
    fleet.until("it is told", |f| keeps(f).contains("put back from a copy"));
    fleet.all_hold(2);
    assert!((0..4).all(|n| fleet.asks(n) == 200));
    fleet.kept(1);
}

/// Clocks that drift by as much as is allowed for, fast and slow, at keepers and at others, while requests come all the time: nobody lets
/// one in under the old version once somebody has under the new one.
#[test]
fn clocks_that_drift_apart_let_nobody_serve_too_long() {
    let fleet = Fleet::each("drift", 5, |n| {
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
            fleet.all_hold(version);
            parent = policy_fixture::digest(&document);
        }
        ending.store(true, std::sync::atomic::Ordering::Relaxed);
    });
    let (window, seen) = policy_fixture::stale_version_window(&fleet.fixture.admitted_requests(5));
    assert_eq!(
        (window, seen),
        (0, 6),
        "for so many us somebody let requests in under an old version"
    );
}

/// Whoever proposes and each keeper, killed at each step by name, alone or with everybody else: what was told holds, and of the rest all
/// hold the same; the next change is made.
#[test]
fn killed_at_each_step_by_name_a_change_is_everywhere_or_nowhere() {
    let mut fleet = Fleet::new("steps", 4, "");
    let (mut version, mut parent) = (0, String::new());
    // Who dies, just before what, having done it so often. The fourth keeps nothing; it asks three others and three keepers.
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
    let mut came = 0;
    for (turn, (who, step, after)) in steps.into_iter().enumerate() {
        fleet.restart_to_die(who, step, after, version);
        let mut next = document(version + 1, &parent, 100.0 + turn as f64);
        // It may die before it has said that it took it up.
        let propose = |f: &Fleet, next: &str| {
            policy_fixture::propose(f.console(3), next)
                .map(|n| n.expect("the change can be proposed"))
        };
        let mut number = propose(&fleet, &next);
        let since = Instant::now();
        while !fleet.testbed.processes[who].has_exited() {
            assert!(since.elapsed() < LONG, "nobody died at {step} {after}");
            // A keeper whose word came too late to be needed may not have got there: then with the next one.
            let ended = number
                .filter(|_| who != 3)
                .and_then(|n| policy_fixture::proposal_outcome(fleet.console(3), n));
            if ended.is_some_and(|(state, _)| state == "in force") {
                std::thread::sleep(Duration::from_millis(700));
                if !fleet.testbed.processes[who].has_exited() {
                    (version, parent) = (version + 1, policy_fixture::digest(&next));
                    next = document(version + 1, &parent, 100.0 + turn as f64);
                    number = propose(&fleet, &next);
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let told = number
            .filter(|_| who != 3)
            .and_then(|n| policy_fixture::proposal_outcome(fleet.console(3), n));
        let told = told.is_some_and(|(state, _)| state == "in force");
        let all: Vec<usize> = (0..4).filter(|n| turn % 2 == 1 || *n == who).collect();
        fleet
            .testbed
            .apply(&TimelineAction::Kill { who: all.clone() });
        if turn % 2 == 0 && who == 1 {
            // The others go on without it, and whoever proposed is told.
            let number = number.expect("the proposal was accepted for processing");
            fleet.until("told", |f| {
                policy_fixture::proposal_outcome(f.console(3), number)
                    .is_some_and(|(s, _)| s != "open")
            });
        }
        let file = fleet_file(
            &fleet.testbed.relay,
            who,
            &fleet.key,
            &fleet.fixture.policy_table(who, ""),
        );
        fleet.testbed.processes[who].replace_operator_file(&file);
        all.into_iter().for_each(|n| fleet.testbed.start(n));
        let high = |f: &Fleet| {
            let held: Vec<_> = f
                .testbed
                .processes
                .iter()
                .map(policy_fixture::version_in_force)
                .collect();
            held.iter()
                .all(|v| v.is_some() && *v == held[0])
                .then(|| held[0])
                .flatten()
        };
        fleet.until("all hold the same", |f| high(f).is_some());
        let mut held = high(&fleet).expect("the rest of the fleet makes the change");
        let mut again = document(version + 1, &parent, 300.0 + turn as f64);
        if held == version && fleet.propose(0, &again).0 == "in force" {
            assert!(!told, "told as in force at {step} {after}, and lost");
        } else {
            // It was there already, or half done and finished by the next one.
            fleet.until("all hold what was left", |f| high(f) == Some(version + 1));
            held = version + 1;
            (version, parent) = (held, policy_fixture::digest(&next));
            came += 1;
            again = document(version + 1, &parent, 300.0 + turn as f64);
            assert_eq!(
                fleet.propose(0, &again).0,
                "in force",
                "after {step} {after}"
            );
        }
        assert!(held <= version, "{held} after {step} {after}");
        (version, parent) = (version + 1, policy_fixture::digest(&again));
        fleet.all_hold(version);
        assert!((0..4).all(|n| fleet.asks(n) == 200));
    }
    // Both came about, or the steps were not where their names say.
    assert!(
        (3..steps.len() - 3).contains(&came),
        "{came} of {} came to be in force",
        steps.len()
    );
    fleet.kept(steps.len());
}

/// Of nine gateways one cannot read the plug-in that a policy names, and another joins while it is asked for.
#[test]
fn a_plug_in_that_one_of_nine_does_not_have_keeps_the_policy_from_all() {
    let module = r#"(module (memory (export "memory") 1)
        (func (export "frosthatch_abi") (result i32) i32.const 1)
        (func (export "alloc") (param i32) (result i32) i32.const 1024)
        (func (export "on_request") (param i32 i32) (result i64) i64.const 0))"#;
    let (file, other) = (
        write_config_file(module),
        write_config_file(&module.replace("1024", "2048")),
    );
    let table = |file: &PathBuf| format!("[plugins.till]\nfile = {file:?}\n");
    let mut fleet = Fleet::each("nine", 9, |n| table(if n == 8 { &other } else { &file }));
    let bytes = std::fs::read(&file).expect("the plug-in's file can be written");
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
    // One that joins in the middle of a change holds it, too.
    fleet.restart(8, &table(&file));
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![7] });
    fleet.all_see(8);
    let number = policy_fixture::propose(fleet.console(4), &first)
        .expect("the gateway answers the request")
        .expect("the change can be proposed");
    fleet.testbed.start(7);
    fleet.until("in force", |f| {
        policy_fixture::proposal_outcome(f.console(4), number).is_some_and(|(s, _)| s == "in force")
    });
    fleet.all_hold(1);
    assert!((0..9).all(|n| fleet.asks(n) == 200));
    fleet.kept(1);
    for file in [file, other] {
        let _ = std::fs::remove_file(file);
    }
}
