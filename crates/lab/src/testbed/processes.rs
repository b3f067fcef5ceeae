//! Starts, suspends, kills and restarts the processes of the testbed, one action at a time or on the schedule of a
//! [`Timeline`]. A restarted process keeps its name.

use super::history::History;
use super::relay::Relay;
use super::timeline::{Timeline, TimelineAction};
use crate::site::{pause, until, Node, OperatorFile};
use frosthatch_test_doubles::{Client, Gateway};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A member's name and configuration, and the process that runs under that name, if one does.
pub struct Process {
    node: Node,
    operator: Option<OperatorFile>,
    running: Option<Gateway>,
    /// The process is suspended by SIGSTOP.
    suspended: bool,
    logged_addresses: Arc<Mutex<LoggedAddresses>>,
}

/// Addresses that a process has logged since its last start: that of its console.
#[derive(Default)]
struct LoggedAddresses {
    console: Option<SocketAddr>,
}

/// A process's view of the fleet, from its console's `GET /fleet`.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetView {
    pub digest: String,
    /// Number of ready members.
    pub ready: usize,
    /// Another process has taken over the name of this one.
    pub replaced: bool,
    /// States of the members by name.
    pub states: BTreeMap<String, String>,
}

impl FleetView {
    /// Fetches the view from a console; `None` if the call fails or the answer is incomplete.
    pub fn fetch(console: SocketAddr) -> Option<FleetView> {
        let json: Value =
            serde_json::from_str(&call_console(console, "GET", "/fleet", "")?.1).ok()?;
        let members = json["members"].as_array()?.iter();
        let state = |m: &Value| {
            Some((
                m["name"].as_str()?.to_string(),
                m["state"].as_str()?.to_string(),
            ))
        };
        Some(FleetView {
            digest: json["view"]["digest"].as_str()?.into(),
            ready: json["view"]["ready"].as_u64()? as usize,
            replaced: json["replaced"].as_bool()?,
            states: members.filter_map(state).collect(),
        })
    }
}

/// Time allowed for a call to a console.
const CONSOLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns status and body of a console's answer, or `None` if the call fails or times out.
pub fn call_console(
    console: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String)> {
    let response = frosthatch_admin::call(console, CONSOLE_TIMEOUT, method, path, body).ok()?;
    Some((response.status, response.body))
}

/// Returns the text of an operator file with a `[fleet]` table: the process advertises its relay address, and the
/// relay addresses of the first 3 processes are the seeds. The text ends in `extra_lines`.
pub fn fleet_file(relay: &Relay, process: usize, key_file: &Path, extra_lines: &str) -> String {
    let seeds: Vec<String> = relay
        .addresses
        .iter()
        .take(3)
        .map(|a| format!("\"{a}\""))
        .collect();
    format!(
        "[fleet]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{}\"\nseeds = [{}]\nkey_file = \"{}\"\n{extra_lines}\n",
        relay.addresses[process],
        seeds.join(", "),
        key_file.display()
    )
}

/// Processes, the relay between them, and the history of both.
pub struct Testbed {
    pub processes: Vec<Process>,
    pub relay: Relay,
    pub history: History,
    timeline_start: Instant,
}

impl Process {
    /// Creates a process that is not running. `operator` is the text of its operator file.
    pub fn new(node: Node, operator: Option<String>) -> Process {
        let operator = operator.map(|text| OperatorFile::new(&text));
        Process {
            node,
            operator,
            running: None,
            suspended: false,
            logged_addresses: Arc::default(),
        }
    }

    /// Replaces the operator file, which the process reads at its next start.
    pub fn replace_operator_file(&mut self, operator: &str) {
        self.operator = Some(OperatorFile::new(operator));
    }

    /// Returns whether the process has exited by itself.
    pub fn has_exited(&mut self) -> bool {
        self.running.as_mut().is_some_and(|g| !g.is_running())
    }

    /// Returns whether the process was started and the testbed has since neither killed, shut down nor suspended
    /// it; also true if it has exited by itself.
    pub fn is_running(&self) -> bool {
        self.running.is_some() && !self.suspended
    }

    /// Returns the address for clients if the process was started and neither killed nor shut down.
    pub fn address(&self) -> Option<SocketAddr> {
        self.running.as_ref().map(|g| g.address)
    }

    /// Connects a client to the process.
    ///
    /// # Panics
    /// If the process was not started, or was killed or shut down.
    pub fn client(&self) -> Client {
        self.running
            .as_ref()
            .expect("the caller has started the process")
            .client()
    }

    /// Returns the process id if the process was started and neither killed nor shut down.
    pub fn pid(&self) -> Option<u32> {
        self.running.as_ref().map(Gateway::pid)
    }

    /// Returns the address of the console, once the process has logged it.
    pub fn console(&self) -> Option<SocketAddr> {
        self.logged_addresses
            .lock()
            .expect("no thread panics while it holds the addresses")
            .console
    }
}

impl Testbed {
    /// Creates a testbed whose processes are not started yet.
    pub fn new(processes: Vec<Process>, relay: Relay) -> Testbed {
        Testbed {
            processes,
            relay,
            history: History::default(),
            timeline_start: Instant::now(),
        }
    }

    /// Sets the start of the timeline, from which [`Step::at_ms`](super::timeline::Step) counts, to now.
    pub fn begin_timeline(&mut self) {
        self.timeline_start = Instant::now();
    }

    /// Returns the client addresses of all processes that are started.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.processes.iter().filter_map(Process::address).collect()
    }

    /// Starts a process and waits until it is ready.
    pub fn start(&mut self, process: usize) {
        self.launch(process);
        self.wait_ready(process);
    }

    /// Waits until a process reports that it is ready.
    pub fn wait_ready(&self, process: usize) {
        until("a started process is ready within 60 s", || {
            self.processes[process]
                .running
                .as_ref()
                .is_some_and(Gateway::is_ready)
        });
    }

    /// Starts all processes, and then waits until all are ready.
    pub fn start_all(&mut self) {
        (0..self.processes.len()).for_each(|process| self.launch(process));
        (0..self.processes.len()).for_each(|process| self.wait_ready(process));
    }

    /// Starts a process, records its log lines, and takes its listen address (for the relay) and its console
    /// address from them.
    fn launch(&mut self, process: usize) {
        let (history, set_listen_address) = (
            self.history.clone(),
            self.relay.listen_address_setter(process),
        );
        let p = &mut self.processes[process];
        *p.logged_addresses
            .lock()
            .expect("no thread panics while it holds the addresses") = LoggedAddresses::default();
        let logged_addresses = p.logged_addresses.clone();
        let log = move |line: &str| {
            history.record_log_line(process, line);
            if let Some(address) = line
                .strip_prefix("fleet: bound to ")
                .and_then(|a| a.parse().ok())
            {
                set_listen_address(address);
            }
            if let Some(address) = line
                .strip_prefix("console on ")
                .and_then(|a| a.parse().ok())
            {
                logged_addresses
                    .lock()
                    .expect("no thread panics while it holds the addresses")
                    .console = Some(address);
            }
        };
        p.running = Some(
            p.node
                .launch(p.operator.as_ref().map(OperatorFile::path), log),
        );
        p.suspended = false;
        self.history.record(None, json!({ "started": process }));
    }

    /// Waits until each running process reports as many ready members as there are running processes.
    pub fn wait_until_all_found(&self) {
        let all = self.processes.iter().filter(|p| p.is_running()).count();
        until(
            "all running processes have found each other within 60 s",
            || {
                self.fleet_views()
                    .iter()
                    .all(|v| v.as_ref().is_some_and(|v| v.ready == all))
            },
        );
    }

    /// Returns the view of the fleet of each running process, `None` for one whose console does not answer.
    pub fn fleet_views(&self) -> Vec<Option<FleetView>> {
        let running = self.processes.iter().filter(|p| p.is_running());
        running
            .map(|p| p.console().and_then(FleetView::fetch))
            .collect()
    }

    /// Returns whether all running processes have the same view, with this number of ready members.
    pub fn views_agree(&self, ready: usize) -> bool {
        let fleet_views = self.fleet_views();
        let first = fleet_views
            .first()
            .and_then(|v| v.as_ref())
            .map(|v| &v.digest);
        fleet_views.iter().all(|v| {
            v.as_ref()
                .is_some_and(|v| v.ready == ready && Some(&v.digest) == first)
        })
    }

    /// Records an action and applies it at once.
    pub fn apply(&mut self, action: &TimelineAction) {
        self.history
            .record(None, json!({ "act": format!("{action:?}") }));
        match action {
            TimelineAction::Cut { from, to } => {
                let pairs = from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b)));
                pairs.for_each(|(a, b)| self.relay.set_cut(a, b, true));
            }
            TimelineAction::Split { groups } => self.relay.split(groups),
            TimelineAction::Links { faults } => self.relay.set_all_faults(faults),
            TimelineAction::Heal => self.relay.set_all_faults(&super::Faults::default()),
            TimelineAction::Kill { who } => who
                .iter()
                .for_each(|process| drop(self.processes[*process].running.take())),
            TimelineAction::Leave { who } => {
                for process in who {
                    if let Some(mut gateway) = self.processes[*process].running.take() {
                        gateway.terminate();
                        // A separate thread waits for the exit, so that the next action is not delayed.
                        std::thread::spawn(move || gateway.wait_for_exit());
                    }
                }
            }
            TimelineAction::Stop { who } => who
                .iter()
                .for_each(|process| self.signal(*process, "-STOP", true)),
            TimelineAction::Continue { who } => who
                .iter()
                .for_each(|process| self.signal(*process, "-CONT", false)),
            TimelineAction::Start { who } => who.iter().for_each(|process| self.launch(*process)),
        }
    }

    /// Sends SIGHUP to a process.
    pub fn send_sighup(&self, process: usize) {
        self.processes[process]
            .running
            .iter()
            .for_each(|g| g.signal("-HUP"));
    }

    /// Sends a signal to a process that was started and neither killed nor shut down, and sets `suspended`.
    fn signal(&mut self, process: usize, name: &str, suspended: bool) {
        let p = &mut self.processes[process];
        if let Some(gateway) = &p.running {
            gateway.signal(name);
            p.suspended = suspended;
        }
    }

    /// Waits until this much time has passed since [`Testbed::begin_timeline`].
    pub fn wait_until_elapsed(&self, after: Duration) {
        pause((self.timeline_start + after).saturating_duration_since(Instant::now()));
    }

    /// Applies all steps of a timeline, each at its time.
    pub fn run_timeline(&mut self, timeline: &Timeline) {
        for step in &timeline.steps {
            self.wait_until_elapsed(Duration::from_millis(step.at_ms));
            self.apply(&step.action);
        }
    }
}
