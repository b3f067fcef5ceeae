//! This gateway's part in the agreement on a policy: drives the consensus node by messages, time and disk, and tells the
//! decisions under which policy requests may be admitted.

mod lease;

use super::audit::{Audit, AuditTransition};
use super::crash_point::CrashPoints;
use super::document_terms::{plugin_digests, policy_terms};
use super::status::{policy_status, PolicyStatus};
use crate::operator_config::PolicyConfig;
use frosthatch_cluster_membership::driver::{MembershipHandle, MessageHandler};
use frosthatch_engine::Engine;
use frosthatch_log::log_line;
use frosthatch_plugins::host::PluginConfig;
use frosthatch_policy_consensus::document::Document;
use frosthatch_policy_consensus::message::Message;
use frosthatch_policy_consensus::node::{ConsensusNode, NodeConfig, NodeOutput, ServingState};
use frosthatch_policy_consensus::record::AcceptorRecord;
use frosthatch_policy_consensus::state_directory::StateDirectory;
use frosthatch_policy_consensus::LeaseConfig;
use frosthatch_traffic_control::Settings;
use lease::ServedPolicies;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::time::{interval, MissedTickBehavior};

const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// A step of a proposal that got no majority is retried after this.
const RETRY_AFTER_US: u64 = 150_000;
/// A state directory that another process uses is tried again after so many ticks.
const DIRECTORY_RETRY_TICKS: u32 = 100;
/// Name of the gauge that tells the other members under which version this one serves.
pub(super) const POLICY_VERSION_GAUGE: &str = "policy";

/// A record to be written, and where.
type DiskWrite = (StateDirectory, AcceptorRecord);

/// Runs the consensus node of this member.
pub struct PolicyService {
    node: RefCell<ConsensusNode>,
    member: Rc<MembershipHandle>,
    engine: Rc<Engine>,
    settings: Settings,
    node_config: NodeConfig,
    plugin_digests: Rc<RefCell<BTreeMap<String, String>>>,
    started_at_us: u64,
    clock_skew_permille: i64,
    crash_points: CrashPoints,
    /// What the decisions were notified of last.
    notified_state: Cell<Option<ServingState>>,
    served: Cell<ServedPolicies>,
    /// When the lease was looked at last.
    checked_at_us: Cell<u64>,
    state_directory: RefCell<Option<StateDirectory>>,
    disk_writes: mpsc::Sender<DiskWrite>,
    audit: RefCell<Option<Audit>>,
}

impl PolicyService {
    /// Starts the node and hands itself to the member and the engine.
    ///
    /// # Errors
    /// What is missing for it, for people.
    pub fn start(
        config: &PolicyConfig,
        member: Rc<MembershipHandle>,
        engine: Rc<Engine>,
        settings: Settings,
        seed: u64,
        plugins: &[PluginConfig],
    ) -> Result<Rc<PolicyService>, String> {
        let me = member.read(|cluster| cluster.own_record().name.clone());
        let is_acceptor = config.acceptors.contains(&me);
        if is_acceptor && config.state_directory.is_none() {
            return Err(format!(
                "policy: {me} is a keeper and has no folder; name one"
            ));
        }
        let audit = open_audit(config.audit.as_deref())?;
        // A new seed with each start: an answer to an earlier process is not taken for one to this process.
        let seed = seed ^ engine.now_us() ^ u64::from(std::process::id()) << 40;
        let node_config = node_config(config, me, seed);
        let plugin_digests = Rc::new(RefCell::new(plugin_digests(plugins)));
        let validator = {
            let (digests, settings) = (plugin_digests.clone(), settings.clone());
            Box::new(move |document: &Document| {
                policy_terms(&settings, &digests.borrow(), document).map(drop)
            })
        };
        let (disk_writes, to_write) = mpsc::channel();
        let node = ConsensusNode::new(engine.now_us(), node_config.clone(), None, validator);
        let service = Rc::new(PolicyService {
            node: RefCell::new(node),
            member: member.clone(),
            engine: engine.clone(),
            settings,
            node_config,
            plugin_digests,
            started_at_us: engine.now_us(),
            clock_skew_permille: config.clock_skew_permille,
            crash_points: CrashPoints::new(config.crash_point.clone()),
            notified_state: Cell::default(),
            served: Cell::default(),
            checked_at_us: Cell::new(0),
            state_directory: RefCell::default(),
            disk_writes,
            audit: RefCell::new(audit),
        });
        let directory = config.state_directory.clone().filter(|_| is_acceptor);
        let written = service.start_writer(directory.as_deref(), to_write);
        member.set_message_handler(service.clone());
        engine.set_policy_lease(service.clone());
        engine.refresh_policy_lease();
        tokio::task::spawn_local(service.clone().run(written, directory));
        Ok(service)
    }

    /// Loads the acceptor's state, if this member is one, and starts the thread that writes it, so that a slow disk delays no
    /// request. Returns how each write ended.
    fn start_writer(
        &self,
        directory: Option<&Path>,
        to_write: mpsc::Receiver<DiskWrite>,
    ) -> UnboundedReceiver<Result<(), String>> {
        let (report, written) = unbounded_channel();
        if let Some(path) = directory {
            self.load_acceptor(path);
            std::thread::spawn(move || {
                for (directory, record) in to_write {
                    if report.send(directory.write(&record)).is_err() {
                        return;
                    }
                }
            });
        }
        written
    }

    /// The time by which leases are counted.
    fn now(&self) -> u64 {
        self.skewed(self.engine.now_us())
    }

    fn skewed(&self, now_us: u64) -> u64 {
        let since_start = now_us.saturating_sub(self.started_at_us) as i64;
        now_us.saturating_add_signed(since_start * self.clock_skew_permille / 1_000)
    }

    /// Loads the acceptor's state from its directory; what is wrong with it is logged and kept by the node.
    fn load_acceptor(&self, path: &Path) {
        let loaded = StateDirectory::open(path).and_then(|directory| {
            let loaded = directory.read(&self.node_config.name);
            self.state_directory.replace(Some(directory));
            loaded
        });
        match &loaded {
            Ok(record) => log_line!("policy: keeps state={}", record.state),
            Err(why) => log_line!("policy: keeper-silent why={why:?}"),
        }
        self.node.borrow_mut().load_acceptor(self.now(), loaded);
    }

    /// Drives the node by time and by writes that ended, until the process ends.
    async fn run(
        self: Rc<Self>,
        mut written: UnboundedReceiver<Result<(), String>>,
        directory: Option<PathBuf>,
    ) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticks_without_directory = 0;
        loop {
            let mut outputs = Vec::new();
            tokio::select! {
                Some(result) = written.recv() => {
                    self.crash_points.reach("stored");
                    self.node.borrow_mut().record_stored(self.now(), result, &mut outputs);
                }
                _ = ticks.tick() => {
                    self.tick(&mut outputs);
                    let is_missing = self.state_directory.borrow().is_none();
                    if let Some(path) = directory.as_ref().filter(|_| is_missing) {
                        ticks_without_directory = (ticks_without_directory + 1) % DIRECTORY_RETRY_TICKS;
                        if ticks_without_directory == 0 {
                            self.load_acceptor(path);
                        }
                    }
                }
            }
            self.carry_out(outputs);
            self.engine.refresh_policy_lease();
        }
    }

    fn tick(&self, outputs: &mut Vec<NodeOutput>) {
        log_audit_transition(self.audit.borrow_mut().as_mut().and_then(Audit::flush));
        let is_proposing = self.node.borrow().has_active_proposal();
        let others = if is_proposing {
            self.other_members()
        } else {
            Vec::new()
        };
        let mut node = self.node.borrow_mut();
        node.tick(self.now(), &others, outputs);
    }

    fn other_members(&self) -> Vec<String> {
        self.member
            .read(|cluster| cluster.present_members().map(String::from).collect())
    }

    fn carry_out(&self, outputs: Vec<NodeOutput>) {
        for output in outputs {
            match output {
                NodeOutput::Send { to, bytes } => {
                    if self.crash_points.is_active() {
                        let name = Message::read(&bytes).map_or("", |message| message.kind_name());
                        self.crash_points.reach(name);
                    }
                    self.member.send_message(&to, bytes);
                }
                NodeOutput::Store(record) => {
                    self.crash_points.reach("store");
                    if let Some(directory) = &*self.state_directory.borrow() {
                        // The writing thread lives as long as this service.
                        let _ = self.disk_writes.send((directory.unlocked_handle(), record));
                    }
                }
                NodeOutput::Log(line) => {
                    if line.starts_with("policy: in-force") {
                        self.crash_points.reach("told");
                    }
                    log_line!("{line}");
                }
            }
        }
    }

    /// Other plug-ins run from now on: documents are checked against them.
    pub fn reload_plugins(&self, plugins: &[PluginConfig]) {
        self.plugin_digests.replace(plugin_digests(plugins));
        self.node.borrow_mut().revalidate();
    }

    /// Proposes a document; returns the proposal's number.
    ///
    /// # Errors
    /// Why it cannot be proposed, for people.
    pub fn propose(&self, text: &str) -> Result<u64, String> {
        let others = self.other_members();
        let mut outputs = Vec::new();
        let number = {
            let mut node = self.node.borrow_mut();
            node.propose(self.now(), text, &others, &mut outputs)
        };
        self.carry_out(outputs);
        number
    }

    /// Aborts a proposal; false if it is not known, over, or may be accepted already.
    pub fn abort(&self, number: u64) -> bool {
        let mut outputs = Vec::new();
        let is_aborted = {
            let mut node = self.node.borrow_mut();
            node.abort(self.now(), number, &mut outputs)
        };
        self.carry_out(outputs);
        is_aborted
    }

    /// The document of the policy that is served under; `None` for version 0.
    pub fn document(&self) -> Option<String> {
        let current = self.served.get().current;
        self.node.borrow_mut().document(&current).map(String::from)
    }

    /// The status for the admin API.
    pub fn status(&self) -> PolicyStatus {
        let now_us = self.now();
        policy_status(
            &mut self.node.borrow_mut(),
            now_us,
            self.served.get().current,
            &self.node_config.name,
            &self.node_config.acceptors,
            &self.member,
        )
    }
}

impl MessageHandler for PolicyService {
    fn handle_message(&self, from: &str, bytes: &[u8]) {
        let mut outputs = Vec::new();
        let now_us = self.now();
        self.node
            .borrow_mut()
            .handle_message(now_us, from, bytes, &mut outputs);
        self.carry_out(outputs);
    }
}

fn node_config(config: &PolicyConfig, me: String, seed: u64) -> NodeConfig {
    NodeConfig {
        name: me,
        acceptors: config.acceptors.clone(),
        lease_config: LeaseConfig {
            lease_us: config.lease.as_micros() as u64,
            max_drift_permille: config.clock_drift_permille,
        },
        proposal_timeout_us: config.proposal_timeout.as_micros() as u64,
        retry_interval_us: RETRY_AFTER_US,
        lease_loss_policy: config.lease_loss_policy,
        seed,
    }
}

fn open_audit(path: Option<&Path>) -> Result<Option<Audit>, String> {
    let Some(path) = path else {
        return Ok(None);
    };
    let audit = Audit::open(path).map_err(|e| format!("policy: {}: {e}", path.display()))?;
    Ok(Some(audit))
}

fn log_audit_transition(transition: Option<AuditTransition>) {
    match transition {
        Some(AuditTransition::Failing) => {
            log_line!("policy: the audit cannot be written; it is tried again");
        }
        Some(AuditTransition::Recovered { dropped_lines }) => {
            log_line!("policy: the audit is written again; lines left out: {dropped_lines}");
        }
        None => {}
    }
}
