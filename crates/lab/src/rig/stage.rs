//! The processes on the rig: started, stopped, killed and started again under the same name, as a timeline says.

use super::history::History;
use super::relay::Relay;
use super::timeline::{Act, Timeline};
use crate::site::{pause, until, Node, OperatorFile};
use frosthatch_test_doubles::{Client, Gateway};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One name, and the process that runs under it.
pub struct Process {
    node: Node,
    operator: Option<OperatorFile>,
    running: Option<Gateway>,
    stopped: bool,
    said: Arc<Mutex<Said>>,
}

/// What a process has told of itself.
#[derive(Default)]
struct Said {
    console: Option<SocketAddr>,
}

/// What a process says of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub digest: String,
    pub ready: usize,
    pub replaced: bool,
    /// By name.
    pub states: BTreeMap<String, String>,
}

impl Seen {
    pub fn ask(console: SocketAddr) -> Option<Seen> {
        let json: Value = serde_json::from_str(&call(console, "GET", "/fleet", "")?.1).ok()?;
        let members = json["members"].as_array()?.iter();
        let state = |m: &Value| {
            Some((
                m["name"].as_str()?.to_string(),
                m["state"].as_str()?.to_string(),
            ))
        };
        Some(Seen {
            digest: json["view"]["digest"].as_str()?.into(),
            ready: json["view"]["ready"].as_u64()? as usize,
            replaced: json["replaced"].as_bool()?,
            states: members.filter_map(state).collect(),
        })
    }
}

const PATIENCE: Duration = Duration::from_secs(2);

/// Status and body of a console's answer; none: it says nothing.
pub fn call(console: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let response = frosthatch_admin::call(console, PATIENCE, method, path, body).ok()?;
    Some((response.status, response.body))
}

/// The operator's file of one process: the others reach it through the relay. `more`: lines of the table.
pub fn fleet_file(relay: &Relay, me: usize, key: &Path, more: &str) -> String {
    let seeds: Vec<String> = relay
        .addresses
        .iter()
        .take(3)
        .map(|a| format!("\"{a}\""))
        .collect();
    format!(
        "[fleet]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{}\"\nseeds = [{}]\nkey_file = \"{}\"\n{more}\n",
        relay.addresses[me],
        seeds.join(", "),
        key.display()
    )
}

pub struct Stage {
    pub processes: Vec<Process>,
    pub relay: Relay,
    pub history: History,
    began: Instant,
}

impl Process {
    /// `operator`: the text of its own file.
    pub fn new(node: Node, operator: Option<String>) -> Process {
        let operator = operator.map(|text| OperatorFile::new(&text));
        Process {
            node,
            operator,
            running: None,
            stopped: false,
            said: Arc::default(),
        }
    }

    /// Another file of its operator, from its next start on.
    pub fn rewrite(&mut self, operator: &str) {
        self.operator = Some(OperatorFile::new(operator));
    }

    /// Whether it has ended by itself.
    pub fn ended(&mut self) -> bool {
        self.running.as_mut().is_some_and(|g| !g.runs())
    }

    pub fn runs(&self) -> bool {
        self.running.is_some() && !self.stopped
    }

    /// Where its clients come.
    pub fn address(&self) -> Option<SocketAddr> {
        self.running.as_ref().map(|g| g.address)
    }

    /// A client of it.
    ///
    /// # Panics
    /// If it does not run.
    pub fn client(&self) -> Client {
        self.running.as_ref().expect("it runs").client()
    }

    pub fn id(&self) -> Option<u32> {
        self.running.as_ref().map(Gateway::id)
    }

    /// Where its operators' calls go, once it has said so.
    pub fn console(&self) -> Option<SocketAddr> {
        self.said.lock().expect("what it said").console
    }
}

impl Stage {
    pub fn new(processes: Vec<Process>, relay: Relay) -> Stage {
        Stage {
            processes,
            relay,
            history: History::default(),
            began: Instant::now(),
        }
    }

    /// The timeline's times count from now.
    pub fn begin(&mut self) {
        self.began = Instant::now();
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.processes.iter().filter_map(Process::address).collect()
    }

    pub fn start(&mut self, who: usize) {
        self.launch(who);
        self.wait_ready(who);
    }

    pub fn wait_ready(&self, who: usize) {
        until("a gateway gets ready", || {
            self.processes[who]
                .running
                .as_ref()
                .is_some_and(Gateway::ready)
        });
    }

    /// Starts all of them, and then waits until all are ready.
    pub fn start_all(&mut self) {
        (0..self.processes.len()).for_each(|who| self.launch(who));
        (0..self.processes.len()).for_each(|who| self.wait_ready(who));
    }

    fn launch(&mut self, who: usize) {
        let (history, real) = (self.history.clone(), self.relay.listening(who));
        let p = &mut self.processes[who];
        *p.said.lock().expect("what it said") = Said::default();
        let said = p.said.clone();
        let log = move |line: &str| {
            history.logged(who, line);
            if let Some(at) = line
                .strip_prefix("fleet: bound to ")
                .and_then(|a| a.parse().ok())
            {
                real(at);
            }
            if let Some(at) = line
                .strip_prefix("console on ")
                .and_then(|a| a.parse().ok())
            {
                said.lock().expect("what it said").console = Some(at);
            }
        };
        p.running = Some(
            p.node
                .launch(p.operator.as_ref().map(OperatorFile::path), log),
        );
        p.stopped = false;
        self.history.note(None, json!({ "started": who }));
    }

    /// Waits until all that run know of all that run, by what their consoles say.
    pub fn wait_found(&self) {
        let all = self.processes.iter().filter(|p| p.runs()).count();
        until("all find each other", || {
            self.views()
                .iter()
                .all(|v| v.as_ref().is_some_and(|v| v.ready == all))
        });
    }

    /// What each running process says of the fleet; none: it says nothing.
    pub fn views(&self) -> Vec<Option<Seen>> {
        let running = self.processes.iter().filter(|p| p.runs());
        running.map(|p| p.console().and_then(Seen::ask)).collect()
    }

    /// Whether all that run have one view of so many ready ones.
    pub fn agrees(&self, ready: usize) -> bool {
        let views = self.views();
        let first = views.first().and_then(|v| v.as_ref()).map(|v| &v.digest);
        views.iter().all(|v| {
            v.as_ref()
                .is_some_and(|v| v.ready == ready && Some(&v.digest) == first)
        })
    }

    /// One act, now.
    pub fn act(&mut self, act: &Act) {
        self.history
            .note(None, json!({ "act": format!("{act:?}") }));
        match act {
            Act::Cut { from, to } => {
                let both = from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b)));
                both.for_each(|(a, b)| self.relay.cut(a, b, true));
            }
            Act::Split { groups } => self.relay.split(groups),
            Act::Links { faults } => self.relay.set_all(faults),
            Act::Heal => self.relay.set_all(&super::Faults::default()),
            Act::Kill { who } => who
                .iter()
                .for_each(|w| drop(self.processes[*w].running.take())),
            Act::Leave { who } => {
                for w in who {
                    if let Some(mut gateway) = self.processes[*w].running.take() {
                        gateway.terminate();
                        // It ends in its own time, beside what comes next.
                        std::thread::spawn(move || gateway.wait());
                    }
                }
            }
            Act::Stop { who } => who.iter().for_each(|w| self.signal(*w, "-STOP", true)),
            Act::Continue { who } => who.iter().for_each(|w| self.signal(*w, "-CONT", false)),
            Act::Start { who } => who.iter().for_each(|w| self.launch(*w)),
        }
    }

    /// SIGHUP.
    pub fn hang_up(&self, who: usize) {
        self.processes[who]
            .running
            .iter()
            .for_each(|g| g.signal("-HUP"));
    }

    fn signal(&mut self, who: usize, name: &str, stopped: bool) {
        let p = &mut self.processes[who];
        if let Some(gateway) = &p.running {
            gateway.signal(name);
            p.stopped = stopped;
        }
    }

    /// Waits until so long after the beginning.
    pub fn wait_till(&self, after: Duration) {
        pause((self.began + after).saturating_duration_since(Instant::now()));
    }

    /// Plays all of a timeline.
    pub fn play(&mut self, timeline: &Timeline) {
        for step in &timeline.steps {
            self.wait_till(Duration::from_millis(step.at_ms));
            self.act(&step.act);
        }
    }
}
