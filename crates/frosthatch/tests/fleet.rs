//! Several gateway processes with faults between them: membership of the fleet, and what clients see. A short
//! form of the testbed's runs.

use frosthatch_lab::site::Node;
use frosthatch_lab::testbed::{
    fleet_file, Faults, FleetView, Process, Relay, Testbed, TimelineAction,
};
use frosthatch_test_doubles::{
    endpoint_entry, ok, write_config_file, ClientRequest, Discovery, Server,
};
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// Longer than any wait of these tests takes on two busy cores.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

struct Fleet {
    testbed: Testbed,
    key: PathBuf,
    _discovery: Discovery,
    _server: Server,
    _runtime: Runtime,
}

impl Fleet {
    /// Prepares `processes` processes of a site of `site_size` gateways; `more` returns additional lines of a
    /// process's `[fleet]` table.
    fn new(processes: usize, site_size: usize, more: impl Fn(usize) -> String) -> Fleet {
        let runtime = Runtime::new().expect("the Tokio runtime starts");
        let server = Server::new(|_| ok("done"));
        let discovery_double = Discovery::new(&endpoint_entry("s0", server.address, 1, "Ready"));
        let relay = Relay::new(runtime.handle(), processes, 5);
        let key = write_config_file(&format!("1 {}\n", "k".repeat(40)));
        let process = |n: usize| {
            let discovery = discovery_double.address;
            // A second process under the same name has the index of the process it duplicates.
            let me = n % site_size;
            let node = Node {
                gateways: site_size,
                me,
                discovery,
                counter: None,
                sockets: 256,
                memory_mb: 32,
            };
            Process::new(node, Some(fleet_file(&relay, n, &key, &more(n))))
        };
        let processes = (0..processes).map(process).collect();
        Fleet {
            testbed: Testbed::new(processes, relay),
            key,
            _discovery: discovery_double,
            _server: server,
            _runtime: runtime,
        }
    }

    fn all(processes: usize) -> Fleet {
        let mut fleet = Fleet::new(processes, processes, |_| String::new());
        fleet.testbed.start_all();
        fleet.testbed.wait_until_all_found();
        fleet
    }

    fn fleet_view(&self, by: usize) -> FleetView {
        self.testbed.processes[by]
            .console()
            .and_then(FleetView::fetch)
            .expect("the process's console answers")
    }

    fn until(&self, what: &str, holds: impl Fn(&Fleet) -> bool) {
        let since = Instant::now();
        while !holds(self) {
            let now: Vec<_> = self.testbed.fleet_views();
            assert!(since.elapsed() < WAIT_TIMEOUT, "{what}: {now:#?}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns whether all other running processes hold the member in this state.
    fn all_others_hold(&self, member: usize, state: &str) -> bool {
        let name = format!("n{member}");
        let by = |n: &usize| self.testbed.processes[*n].is_running() && *n != member;
        let held = (0..self.testbed.processes.len())
            .filter(by)
            .map(|n| self.fleet_view(n));
        held.into_iter()
            .all(|v| v.states.get(&name).map_or("unknown", String::as_str) == state)
    }

    fn views_agree_on(&self, ready: usize) -> bool {
        self.testbed.views_agree(ready)
    }

    fn serves_request(&self, by: usize) -> bool {
        self.testbed.processes[by]
            .client()
            .exchange(
                &ClientRequest::check()
                    .with_header("X-Tier", "mellem")
                    .to_text(),
            )
            .is_some_and(|m| m.status() == 200)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.key);
    }
}

#[test]
fn members_die_return_and_leave_and_all_views_agree() {
    let mut fleet = Fleet::all(4);
    assert!(fleet.views_agree_on(4));
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![3] });
    fleet.until("all others hold n3 dead", |f| {
        f.all_others_hold(3, "dead") && f.views_agree_on(3)
    });
    fleet.testbed.start(3);
    fleet.until("n3 is ready again", |f| {
        f.all_others_hold(3, "ready") && f.views_agree_on(4)
    });
    fleet.testbed.apply(&TimelineAction::Leave { who: vec![3] });
    fleet.until("n3 has left", |f| {
        f.all_others_hold(3, "left") && f.views_agree_on(3)
    });
    assert!((0..3).all(|n| fleet.serves_request(n)));
    // No member other than the killed one was ever held dead.
    let dead = fleet.testbed.history.log_lines(": dead");
    assert!(
        dead.iter().all(|(_, _, l)| l.contains("member n3")) && dead.len() == 3,
        "{dead:?}"
    );

    // The command line shows the same members.
    let console = fleet.testbed.processes[0]
        .console()
        .expect("the process has a console address")
        .to_string();
    let run_fleet_command = |arguments: &[&str]| {
        let out = Command::new(frosthatch_test_doubles::gateway_binary())
            .arg("fleet")
            .args(arguments)
            .args(["--console", &console])
            .output();
        let out = out.expect("the gateway binary runs");
        (
            out.status.success(),
            String::from_utf8_lossy(&out.stdout).to_string(),
        )
    };
    let (succeeded, table) = run_fleet_command(&["members"]);
    let row = |name: &str| {
        table
            .lines()
            .find(|l| l.starts_with(name))
            .unwrap_or("")
            .to_string()
    };
    assert!(
        succeeded && row("n0").contains("this one") && row("n3").contains("left"),
        "{table}"
    );
    assert!(
        row("NAME").contains("STATE") && row("n1").contains("hall-a"),
        "{table}"
    );
    let json: serde_json::Value = serde_json::from_str(&run_fleet_command(&["view", "--json"]).1)
        .expect("the output is JSON");
    assert_eq!(json["ready"], 3);
    assert!(run_fleet_command(&["leave"]).0);
    fleet.until("n0 has left", |f| f.fleet_view(1).states["n0"] == "left");
    assert!(fleet.serves_request(0), "n0 keeps serving after it left");
}

#[test]
fn a_split_fleet_merges_again_and_a_stopped_member_declares_nobody_dead() {
    let mut fleet = Fleet::all(4);
    fleet.testbed.apply(&TimelineAction::Split {
        groups: vec![vec![0, 1], vec![2, 3]],
    });
    fleet.until("each half sees two ready members", |f| {
        f.testbed
            .fleet_views()
            .iter()
            .flatten()
            .all(|v| v.ready == 2)
    });
    fleet.testbed.apply(&TimelineAction::Heal);
    fleet.until("all views agree on four ready members", |f| {
        f.views_agree_on(4)
    });
    let before = fleet.testbed.history.log_lines(": dead").len();
    fleet.testbed.apply(&TimelineAction::Stop { who: vec![1] });
    fleet.until("the others hold n1 dead", |f| {
        [0, 2, 3]
            .iter()
            .all(|n| f.fleet_view(*n).states["n1"] == "dead")
    });
    fleet
        .testbed
        .apply(&TimelineAction::Continue { who: vec![1] });
    fleet.until("n1 is ready again", |f| f.views_agree_on(4));
    let dead = fleet.testbed.history.log_lines(": dead").split_off(before);
    assert!(
        dead.iter()
            .all(|(_, by, l)| *by != 1 && l.contains("member n1")),
        "{dead:?}"
    );
    // If one direction of one link is cut, no member is held dead.
    let before = fleet.testbed.history.log_lines(": dead").len();
    fleet.testbed.apply(&TimelineAction::Cut {
        from: vec![0],
        to: vec![2],
    });
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(fleet.testbed.history.log_lines(": dead").len(), before);
    assert!(fleet.views_agree_on(4));
}

#[test]
fn of_two_processes_under_one_name_the_older_one_is_replaced_and_keeps_serving() {
    // The fourth process is a second one named n1.
    let mut fleet = Fleet::new(4, 3, |n| {
        if n == 3 {
            "name = \"n1\"".into()
        } else {
            String::new()
        }
    });
    (0..3).for_each(|n| fleet.testbed.start(n));
    fleet.testbed.wait_until_all_found();
    // 3.5 s: longer than the time after its start in which a process claims its name.
    std::thread::sleep(Duration::from_millis(3_500));
    fleet.testbed.start(3);
    fleet.until("the older process knows that it is replaced", |f| {
        f.fleet_view(1).replaced
    });
    assert_eq!(
        fleet
            .testbed
            .history
            .log_lines("a later process runs as n1")
            .iter()
            .map(|l| l.1)
            .collect::<Vec<_>>(),
        [1]
    );
    assert!(!fleet.fleet_view(3).replaced && fleet.serves_request(1) && fleet.serves_request(3));
    fleet.until("all others see the later process", |f| {
        [0, 2, 3].iter().all(|n| f.fleet_view(*n).ready == 3)
    });
}

#[test]
fn a_key_is_replaced_by_sighup_while_links_are_cut_and_forged_datagrams_have_no_effect() {
    let mut fleet = Fleet::all(3);
    let (old, new) = (
        format!("1 {}", "k".repeat(40)),
        format!("2 {}", "n".repeat(40)),
    );
    fleet.testbed.relay.record_datagrams(2_000);
    let replace_key = |fleet: &mut Fleet, text: String| {
        std::fs::write(&fleet.key, text).expect("the key file can be written");
        (0..3).for_each(|n| fleet.testbed.send_sighup(n));
        std::thread::sleep(Duration::from_millis(400));
    };
    replace_key(&mut fleet, format!("{old}\n{new}\n"));
    fleet.testbed.apply(&TimelineAction::Split {
        groups: vec![vec![0], vec![1, 2]],
    });
    replace_key(&mut fleet, format!("{new}\n{old}\n"));
    fleet.testbed.apply(&TimelineAction::Heal);
    replace_key(&mut fleet, format!("{new}\n"));
    fleet.until("members communicate under the new key", |f| {
        f.views_agree_on(3)
    });
    let lines = fleet.testbed.history.log_lines("member ").len();
    // Replayed datagrams under the old key, then garbage, some of it too long.
    assert!(fleet.testbed.relay.replay() > 30);
    for n in 0..3_000usize {
        fleet
            .testbed
            .relay
            .forge(n % 3, (n + 1) % 3, &vec![n as u8; 1 + n % 2_000]);
    }
    std::thread::sleep(Duration::from_millis(1_500));
    assert!(fleet.views_agree_on(3));
    assert_eq!(
        fleet.testbed.history.log_lines("member ").len(),
        lines,
        "forged datagrams change no member's state"
    );
    assert!((0..3).all(|n| fleet.serves_request(n)));
}

/// With loss and jitter on all links the fleet grows from two to five and shrinks again, while clients send
/// requests: each is answered.
#[test]
fn a_fleet_grows_and_shrinks_under_load_and_no_request_is_lost() {
    let mut fleet = Fleet::new(5, 5, |_| String::new());
    (0..2).for_each(|n| fleet.testbed.start(n));
    fleet.testbed.wait_until_all_found();
    fleet.testbed.apply(&TimelineAction::Links {
        faults: Faults {
            loss: 0.05,
            jitter_ms: 20,
            ..Faults::default()
        },
    });
    let mut requests_sent = 0;
    let mut request_all = |fleet: &Fleet| {
        for n in (0..5).filter(|n| fleet.testbed.processes[*n].is_running()) {
            assert!(fleet.serves_request(n), "gateway {n} serves a request");
            requests_sent += 1;
        }
    };
    for n in 2..5 {
        fleet.testbed.start(n);
        (0..5).for_each(|_| request_all(&fleet));
    }
    fleet.until("five members are ready", |f| f.views_agree_on(5));
    for n in 2..5 {
        fleet.testbed.apply(&TimelineAction::Leave { who: vec![n] });
        (0..5).for_each(|_| request_all(&fleet));
    }
    fleet.until("two members are ready and three have left", |f| {
        f.views_agree_on(2) && (2..5).all(|n| f.all_others_hold(n, "left"))
    });
    assert!(requests_sent >= 50);
    let dead = fleet.testbed.history.log_lines(": dead");
    assert!(dead.is_empty(), "{dead:?}");
}

#[test]
fn check_reports_a_mistake_in_the_fleet_table_by_its_key() {
    let discovery_double = Discovery::new("");
    let key = write_config_file(&"k".repeat(40));
    let key_line = format!("key_file = \"{}\"", key.display());
    let cases = [
        (format!("[fleet]\n{key_line}\n"), "fleet.listen is missing"),
        (format!("[fleet]\nlisten = \"0.0.0.0:7400\"\n{key_line}\n"), "advertise"),
        (format!("[fleet]\nlisten = \"127.0.0.1:0\"\nname = \"a b\"\n{key_line}\n"), "fleet.name is \"a b\""),
        (format!("[fleet]\nlisten = \"127.0.0.1:0\"\nseeds = [\"x\"]\n{key_line}\n"), "\"x\""),
        (format!("[fleet]\nlisten = \"127.0.0.1:0\"\nforget_ms = 1\n{key_line}\n"), "from 1000 to"),
        (format!("[fleet]\nlisten = \"127.0.0.1:0\"\n{key_line}\n[peers]\ngateways = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n{key_line}\n"), "keep [fleet] alone"),
    ];
    for (text, expected) in cases {
        let file = write_config_file(&text);
        let config = write_config_file(&frosthatch_test_doubles::config_text(
            discovery_double.address,
            None,
            2,
            "",
        ));
        let out = frosthatch_test_doubles::gateway_command(&config)
            .args([
                "--operator",
                file.to_str().expect("the temporary path is UTF-8"),
                "check",
            ])
            .output();
        let out =
            String::from_utf8_lossy(&out.expect("the gateway binary runs").stdout).to_string();
        assert!(out.contains(expected), "expected {expected:?} in {out:?}");
    }
}
