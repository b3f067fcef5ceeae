//! `upgrade`: 500 requests/s while gateway processes are upgraded; every second start fails, each time at the next handover step.

use crate::figures::Figures;
use crate::load::{percentile, Load, Outcome, Sample};
use crate::servers::Server;
use crate::site::{pause, Node, OperatorFile};
use frosthatch_handover::message::{Message, VERSION};
use frosthatch_test_doubles::{endpoint_entry, Discovery, Gateway, TIMEOUT};
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

const REQUESTS_PER_S: f64 = 500.0;
const UPGRADES: usize = 50;
/// Duration of the load. A successful upgrade lasts until the old process has finished its requests; a failed one is almost
/// immediate.
const DEFAULT_DURATION: Duration = Duration::from_secs(90);
/// Requests due within this time before or after a switch are attributed to it.
const SWITCH_MARGIN: Duration = Duration::from_millis(500);

/// A gateway process and its log lines.
struct Process {
    gateway: Gateway,
    lines: Receiver<String>,
}

impl Process {
    fn start(node: &Node, operator: &Path) -> Process {
        let (line_sender, lines) = channel();
        let gateway = node.start_with_log(Some(operator), move |line| {
            eprintln!("gateway: {line}");
            let _ = line_sender.send(line.to_string());
        });
        Process { gateway, lines }
    }

    /// Waits until the process logs a line that contains `what`.
    fn wait_for_log(&self, what: &str) {
        while !self
            .lines
            .recv_timeout(TIMEOUT)
            .unwrap_or_else(|_| panic!("no log line contains {what:?} within {TIMEOUT:?}"))
            .contains(what)
        {}
    }
}

/// Simulates a new process that disappears at a handover step: 0 after connecting, 1 after the hello, 2 after reporting ready.
fn simulate_failed_start(socket: &Path, step: usize, old: &Process) {
    let mut link = loop {
        let mut link = UnixStream::connect(socket)
            .expect("the running process accepts on its handover socket");
        link.set_read_timeout(Some(TIMEOUT))
            .expect("the time-out is not zero");
        if step == 0 {
            return;
        }
        link.write_all(
            &Message::Hello {
                version: VERSION,
                pid: 0,
            }
            .encode_frame(),
        )
        .expect("the running process keeps the connection open");
        let mut reply = [0; 1_024];
        let read = link.read(&mut reply).unwrap_or(0);
        // Without a welcome the running process has not yet noticed the end of the previous attempt.
        if String::from_utf8_lossy(&reply[..read]).contains("Welcome") {
            break link;
        }
        pause(Duration::from_millis(20));
    };
    if step == 2 {
        link.write_all(&Message::Ready.encode_frame())
            .expect("the running process keeps the connection open");
        old.wait_for_log("the new process accepts");
    }
    drop(link);
    old.wait_for_log("the new process has gone");
}

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    let length = seconds.map_or(DEFAULT_DURATION, Duration::from_secs);
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let servers: Vec<Server> = (0..8)
        .map(|_| Server::start(runtime.handle(), false))
        .collect();
    let list: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(n, s)| endpoint_entry(&format!("s{n}"), s.address, 1, "Ready"))
        .collect();
    let agent = Discovery::new(&list.join(","));
    let socket: PathBuf =
        std::env::temp_dir().join(format!("frosthatch-lab-{}.sock", std::process::id()));
    let operator = OperatorFile::new(&format!("[upgrade]\nsocket = \"{}\"\n", socket.display()));
    let node = Node {
        gateways: 1,
        me: 0,
        discovery: agent.address,
        counter: None,
        sockets: 1_024,
        memory_mb: 192,
    };
    let mut running = Process::start(&node, operator.path());
    let is_listening = |socket: &Path| UnixStream::connect(socket).is_ok();
    crate::site::until("the handover socket accepts connections", || {
        is_listening(&socket)
    });
    let (load, task) = Load::start(
        runtime.handle(),
        vec![running.gateway.address],
        REQUESTS_PER_S,
        length,
    );
    let begun = Instant::now();
    let (mut switches, mut failed) = (Vec::new(), 0);
    pause(Duration::from_secs(1));
    for n in 0..UPGRADES {
        // The last upgrade finishes before the load does.
        if begun.elapsed() + Duration::from_secs(4) > length {
            break;
        }
        if n % 2 == 1 {
            simulate_failed_start(&socket, failed % 3, &running);
            failed += 1;
            continue;
        }
        let new = Process::start(&node, operator.path());
        running.wait_for_log("the new process accepts");
        switches.push(begun.elapsed());
        running.gateway.terminate();
        assert!(
            running.gateway.wait_for_exit().success(),
            "the old process exits successfully"
        );
        new.wait_for_log("the old process has ended");
        crate::site::until("the new process accepts on the handover socket", || {
            is_listening(&socket)
        });
        running = new;
    }
    runtime.block_on(async { drop(task.await) });
    let samples = load.samples.lock().expect("lock is not poisoned");
    let count = |is: fn(&Sample) -> bool| samples.iter().filter(|s| is(s)).count() as f64;
    figures.record("requests", samples.len() as f64, "requests");
    figures.at_least(
        "switches",
        switches.len() as f64,
        "upgrades",
        if seconds.is_some() { 1.0 } else { 25.0 },
    );
    figures.record("failed_starts", failed as f64, "upgrades");
    figures.at_most(
        "unanswered_or_reset",
        count(|s| s.outcome == Outcome::Unanswered),
        "requests",
        0.0,
    );
    figures.at_most(
        "answered_twice_or_wrong",
        count(|s| s.outcome == Outcome::Invalid),
        "requests",
        0.0,
    );
    figures.at_most(
        "failed",
        count(|s| s.outcome == Outcome::Failed),
        "requests",
        0.0,
    );
    let in_time = count(|s| s.outcome == Outcome::Served && s.latency <= s.latency_target)
        / samples.len() as f64;
    figures.at_least("in_time", in_time, "share", 0.99);
    let is_near_switch = |s: &&Sample| {
        switches
            .iter()
            .any(|&at| s.due + SWITCH_MARGIN > at && s.due < at + SWITCH_MARGIN)
    };
    let (at, else_): (Vec<&Sample>, Vec<&Sample>) = samples.iter().partition(is_near_switch);
    let p99 =
        |of: Vec<&Sample>| percentile(&mut of.iter().map(|s| s.latency).collect::<Vec<_>>(), 0.99);
    let (at, else_) = (p99(at), p99(else_));
    figures.record("p99_round_switches", at, "ms");
    figures.record("p99_else", else_, "ms");
    figures.at_most("p99_ratio", at / else_, "x", 2.0);
    let _ = std::fs::remove_file(&socket);
}
