//! Several real processes, and faults between them: the testbed's short form. Who is in the fleet, and what clients see of it.

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

/// Longer than anything here takes on two busy cores.
const LONG: Duration = Duration::from_secs(40);

struct Fleet {
    testbed: Testbed,
    key: PathBuf,
    _agent: Discovery,
    _server: Server,
    _runtime: Runtime,
}

impl Fleet {
    /// So many processes of a site of `of`; `more` adds to the table of each.
    fn new(processes: usize, of: usize, more: impl Fn(usize) -> String) -> Fleet {
        let runtime = Runtime::new().expect("the Tokio runtime starts");
        let server = Server::new(|_| ok("done"));
        let agent = Discovery::new(&endpoint_entry("s0", server.address, 1, "Ready"));
        let relay = Relay::new(runtime.handle(), processes, 5);
        let key = write_config_file(&format!("1 {}\n", "k".repeat(40)));
        let process = |n: usize| {
            let discovery = agent.address;
            // A twin has the number of whom it stands for.
            let me = n % of;
            let node = Node {
                gateways: of,
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
            _agent: agent,
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

    fn seen(&self, by: usize) -> FleetView {
        self.testbed.processes[by]
            .console()
            .and_then(FleetView::fetch)
            .expect("the process's console answers")
    }

    fn until(&self, what: &str, holds: impl Fn(&Fleet) -> bool) {
        let since = Instant::now();
        while !holds(self) {
            let now: Vec<_> = self.testbed.fleet_views();
            assert!(since.elapsed() < LONG, "{what}: {now:#?}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// All that run hold this of it.
    fn hold(&self, of: usize, state: &str) -> bool {
        let name = format!("n{of}");
        let by = |n: &usize| self.testbed.processes[*n].is_running() && *n != of;
        let held = (0..self.testbed.processes.len())
            .filter(by)
            .map(|n| self.seen(n));
        held.into_iter()
            .all(|v| v.states.get(&name).map_or("unknown", String::as_str) == state)
    }

    fn agree(&self, ready: usize) -> bool {
        self.testbed.views_agree(ready)
    }

    fn served(&self, by: usize) -> bool {
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
fn members_die_return_and_leave_and_all_see_the_same() {
    let mut fleet = Fleet::all(4);
    assert!(fleet.agree(4));
    fleet.testbed.apply(&TimelineAction::Kill { who: vec![3] });
    fleet.until("all hold it dead", |f| f.hold(3, "dead") && f.agree(3));
    fleet.testbed.start(3);
    fleet.until("it is back", |f| f.hold(3, "ready") && f.agree(4));
    fleet.testbed.apply(&TimelineAction::Leave { who: vec![3] });
    fleet.until("it has left", |f| f.hold(3, "left") && f.agree(3));
    assert!((0..3).all(|n| fleet.served(n)));
    // Nobody but the one that was killed was ever held dead.
    let dead = fleet.testbed.history.log_lines(": dead");
    assert!(
        dead.iter().all(|(_, _, l)| l.contains("member n3")) && dead.len() == 3,
        "{dead:?}"
    );

    // The command line shows the same.
    let console = fleet.testbed.processes[0]
        .console()
        .expect("the process has a console address")
        .to_string();
    let ask = |words: &[&str]| {
        let out = Command::new(frosthatch_test_doubles::gateway_binary())
            .arg("fleet")
            .args(words)
            .args(["--console", &console])
            .output();
        let out = out.expect("the gateway binary runs");
        (
            out.status.success(),
            String::from_utf8_lossy(&out.stdout).to_string(),
        )
    };
    let (well, table) = ask(&["members"]);
    let row = |name: &str| {
        table
            .lines()
            .find(|l| l.starts_with(name))
            .unwrap_or("")
            .to_string()
    };
    assert!(
        well && row("n0").contains("this one") && row("n3").contains("left"),
        "{table}"
    );
    assert!(
        row("NAME").contains("STATE") && row("n1").contains("hall-a"),
        "{table}"
    );
    let json: serde_json::Value =
        serde_json::from_str(&ask(&["view", "--json"]).1).expect("the output is JSON");
    assert_eq!(json["ready"], 3);
    assert!(ask(&["leave"]).0);
    fleet.until("it has left", |f| f.seen(1).states["n0"] == "left");
    assert!(fleet.served(0), "it serves on");
}

#[test]
fn a_cut_fleet_comes_together_again_and_who_slept_accuses_nobody() {
    let mut fleet = Fleet::all(4);
    fleet.testbed.apply(&TimelineAction::Split {
        groups: vec![vec![0, 1], vec![2, 3]],
    });
    fleet.until("each half sees itself", |f| {
        f.testbed
            .fleet_views()
            .iter()
            .flatten()
            .all(|v| v.ready == 2)
    });
    fleet.testbed.apply(&TimelineAction::Heal);
    fleet.until("they are one again", |f| f.agree(4));
    let before = fleet.testbed.history.log_lines(": dead").len();
    fleet.testbed.apply(&TimelineAction::Stop { who: vec![1] });
    fleet.until("the others hold it dead", |f| {
        [0, 2, 3].iter().all(|n| f.seen(*n).states["n1"] == "dead")
    });
    fleet
        .testbed
        .apply(&TimelineAction::Continue { who: vec![1] });
    fleet.until("it has refuted", |f| f.agree(4));
    let dead = fleet.testbed.history.log_lines(": dead").split_off(before);
    assert!(
        dead.iter()
            .all(|(_, by, l)| *by != 1 && l.contains("member n1")),
        "{dead:?}"
    );
    // One direction of one link is nobody's death.
    let before = fleet.testbed.history.log_lines(": dead").len();
    fleet.testbed.apply(&TimelineAction::Cut {
        from: vec![0],
        to: vec![2],
    });
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(fleet.testbed.history.log_lines(": dead").len(), before);
    assert!(fleet.agree(4));
}

#[test]
fn of_two_processes_under_one_name_the_older_one_goes_silent_and_serves_on() {
    // The fourth place is another process of n1.
    let mut fleet = Fleet::new(4, 3, |n| {
        if n == 3 {
            "name = \"n1\"".into()
        } else {
            String::new()
        }
    });
    (0..3).for_each(|n| fleet.testbed.start(n));
    fleet.testbed.wait_until_all_found();
    // Past the time in which a process takes its name for its own.
    std::thread::sleep(Duration::from_millis(3_500));
    fleet.testbed.start(3);
    fleet.until("the older one knows", |f| f.seen(1).replaced);
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
    assert!(!fleet.seen(3).replaced && fleet.served(1) && fleet.served(3));
    fleet.until("the others see the later one", |f| {
        [0, 2, 3].iter().all(|n| f.seen(*n).ready == 3)
    });
}

#[test]
fn a_key_is_replaced_by_signals_while_links_are_cut_and_forged_datagrams_do_nothing() {
    let mut fleet = Fleet::all(3);
    let (old, new) = (
        format!("1 {}", "k".repeat(40)),
        format!("2 {}", "n".repeat(40)),
    );
    fleet.testbed.relay.record_datagrams(2_000);
    let step = |fleet: &mut Fleet, text: String| {
        std::fs::write(&fleet.key, text).expect("the key file can be written");
        (0..3).for_each(|n| fleet.testbed.send_sighup(n));
        std::thread::sleep(Duration::from_millis(400));
    };
    step(&mut fleet, format!("{old}\n{new}\n"));
    fleet.testbed.apply(&TimelineAction::Split {
        groups: vec![vec![0], vec![1, 2]],
    });
    step(&mut fleet, format!("{new}\n{old}\n"));
    fleet.testbed.apply(&TimelineAction::Heal);
    step(&mut fleet, format!("{new}\n"));
    fleet.until("they hear each other by the new key", |f| f.agree(3));
    let lines = fleet.testbed.history.log_lines("member ").len();
    // What was said under the old key, garbage, and too long ones.
    assert!(fleet.testbed.relay.replay() > 30);
    for n in 0..3_000usize {
        fleet
            .testbed
            .relay
            .forge(n % 3, (n + 1) % 3, &vec![n as u8; 1 + n % 2_000]);
    }
    std::thread::sleep(Duration::from_millis(1_500));
    assert!(fleet.agree(3));
    assert_eq!(
        fleet.testbed.history.log_lines("member ").len(),
        lines,
        "nobody was taken for anything else"
    );
    assert!((0..3).all(|n| fleet.served(n)));
}

/// Loss and jitter on all links; then it grows from two to five and shrinks again, while clients ask: none is without its answer.
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
    let mut asked = 0;
    let mut ask_all = |fleet: &Fleet| {
        for n in (0..5).filter(|n| fleet.testbed.processes[*n].is_running()) {
            assert!(fleet.served(n), "{n}");
            asked += 1;
        }
    };
    for n in 2..5 {
        fleet.testbed.start(n);
        (0..5).for_each(|_| ask_all(&fleet));
    }
    fleet.until("five", |f| f.agree(5));
    for n in 2..5 {
        fleet.testbed.apply(&TimelineAction::Leave { who: vec![n] });
        (0..5).for_each(|_| ask_all(&fleet));
    }
    fleet.until("two", |f| f.agree(2) && (2..5).all(|n| f.hold(n, "left")));
    assert!(asked >= 50);
    let dead = fleet.testbed.history.log_lines(": dead");
    assert!(dead.is_empty(), "{dead:?}");
}

#[test]
fn a_fleet_table_with_a_mistake_is_told_by_its_place() {
    let agent = Discovery::new("");
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
    for (text, says) in cases {
        let file = write_config_file(&text);
        let config = write_config_file(&frosthatch_test_doubles::config_text(
            agent.address,
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
        assert!(out.contains(says), "{says:?} in {out:?}");
    }
}
