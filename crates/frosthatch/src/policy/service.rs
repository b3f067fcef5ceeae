//! Runs this gateway's consensus node: passes messages, time and results of disk writes to it, and reports to the
//! engine under which policy requests may be admitted.

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

/// Interval of the node's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval after which a step of a proposal without a majority is retried.
const PROPOSAL_RETRY_INTERVAL_US: u64 = 150_000;
/// Number of ticks between attempts to open the state directory. Opening fails while another process uses the
/// directory, for example the process that is being replaced.
const DIRECTORY_RETRY_TICKS: u32 = 100;
/// Name of the gauge with the policy version that a member serves under.
pub(super) const POLICY_VERSION_GAUGE: &str = "policy";

/// A record to write and the directory to write it to.
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
    /// The serving state that was last reported to the engine.
    reported_state: Cell<Option<ServingState>>,
    served: Cell<ServedPolicies>,
    /// Engine time of the last check of the lease.
    checked_at_us: Cell<u64>,
    state_directory: RefCell<Option<StateDirectory>>,
    disk_writes: mpsc::Sender<DiskWrite>,
    audit: RefCell<Option<Audit>>,
}

impl PolicyService {
    /// Starts the node and registers the service with the member and the engine.
    ///
    /// # Errors
    /// Returns a message if an acceptor has no state directory or the audit file cannot be opened.
    pub fn start(
        config: &PolicyConfig,
        member: Rc<MembershipHandle>,
        engine: Rc<Engine>,
        settings: Settings,
        seed: u64,
        plugins: &[PluginConfig],
    ) -> Result<Rc<PolicyService>, String> {
        let own_name = member.read(|cluster| cluster.own_record().name.clone());
        let is_acceptor = config.acceptors.contains(&own_name);
        if is_acceptor && config.state_directory.is_none() {
            return Err(format!(
                "policy: {own_name} is a keeper, but policy.folder is not set"
            ));
        }
        let audit = open_audit(config.audit.as_deref())?;
        // The seed differs with each start, so that an answer to an earlier process is not mistaken for one to this
        // process.
        let seed = seed ^ engine.now_us() ^ u64::from(std::process::id()) << 40;
        let node_config = node_config(config, own_name, seed);
        let plugin_digests = Rc::new(RefCell::new(plugin_digests(plugins)));
        let validator = {
            let (digests, settings) = (plugin_digests.clone(), settings.clone());
            Box::new(move |document: &Document| {
                policy_terms(&settings, &digests.borrow(), document).map(drop)
            })
        };
        let (disk_writes, pending_writes) = mpsc::channel();
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
            reported_state: Cell::default(),
            served: Cell::default(),
            checked_at_us: Cell::new(0),
            state_directory: RefCell::default(),
            disk_writes,
            audit: RefCell::new(audit),
        });
        let directory = config.state_directory.clone().filter(|_| is_acceptor);
        let write_results = service.start_writer(directory.as_deref(), pending_writes);
        member.set_message_handler(service.clone());
        engine.set_policy_lease(service.clone());
        engine.refresh_policy_lease();
        tokio::task::spawn_local(service.clone().run(write_results, directory));
        Ok(service)
    }

    /// Loads the acceptor's state, if this member is an acceptor, and starts the thread that writes it, so that a
    /// slow disk delays no request. Returns the receiver of the results of writes.
    fn start_writer(
        &self,
        directory: Option<&Path>,
        pending_writes: mpsc::Receiver<DiskWrite>,
    ) -> UnboundedReceiver<Result<(), String>> {
        let (result_sender, write_results) = unbounded_channel();
        if let Some(path) = directory {
            self.load_acceptor(path);
            std::thread::spawn(move || {
                for (directory, record) in pending_writes {
                    if result_sender.send(directory.write(&record)).is_err() {
                        return;
                    }
                }
            });
        }
        write_results
    }

    /// Returns the current time by this gateway's lease clock, in microseconds.
    fn now_us(&self) -> u64 {
        self.skewed(self.engine.now_us())
    }

    /// Applies the configured test skew to an engine time.
    fn skewed(&self, now_us: u64) -> u64 {
        let since_start = now_us.saturating_sub(self.started_at_us) as i64;
        now_us.saturating_add_signed(since_start * self.clock_skew_permille / 1_000)
    }

    /// Loads the acceptor's state from its directory; an error is logged and passed to the node, which reports it
    /// in the status.
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
        self.node.borrow_mut().load_acceptor(self.now_us(), loaded);
    }

    /// Passes ticks and results of disk writes to the node until the process ends.
    async fn run(
        self: Rc<Self>,
        mut write_results: UnboundedReceiver<Result<(), String>>,
        directory: Option<PathBuf>,
    ) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticks_without_directory = 0;
        loop {
            let mut outputs = Vec::new();
            tokio::select! {
                Some(result) = write_results.recv() => {
                    self.crash_points.record_pass("stored");
                    self.node.borrow_mut().record_stored(self.now_us(), result, &mut outputs);
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
            self.perform(outputs);
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
        node.tick(self.now_us(), &others, outputs);
    }

    fn other_members(&self) -> Vec<String> {
        self.member
            .read(|cluster| cluster.present_members().map(String::from).collect())
    }

    fn perform(&self, outputs: Vec<NodeOutput>) {
        for output in outputs {
            match output {
                NodeOutput::Send { to, bytes } => {
                    if self.crash_points.is_active() {
                        let name = Message::read(&bytes).map_or("", |message| message.kind_name());
                        self.crash_points.record_pass(name);
                    }
                    self.member.send_message(&to, bytes);
                }
                NodeOutput::Store(record) => {
                    self.crash_points.record_pass("store");
                    if let Some(directory) = &*self.state_directory.borrow() {
                        // The receiver exists: `state_directory` is set only for an acceptor, whose writer thread
                        // runs as long as this service.
                        let _ = self.disk_writes.send((directory.unlocked_handle(), record));
                    }
                }
                NodeOutput::Log(line) => {
                    if line.starts_with("policy: in-force") {
                        self.crash_points.record_pass("told");
                    }
                    log_line!("{line}");
                }
            }
        }
    }

    /// Replaces the plug-ins that documents are checked against.
    pub fn reload_plugins(&self, plugins: &[PluginConfig]) {
        self.plugin_digests.replace(plugin_digests(plugins));
        self.node.borrow_mut().revalidate();
    }

    /// Proposes a document; returns the proposal's number.
    ///
    /// # Errors
    /// Returns why the document cannot be proposed.
    pub fn propose(&self, text: &str) -> Result<u64, String> {
        let others = self.other_members();
        let mut outputs = Vec::new();
        let number = {
            let mut node = self.node.borrow_mut();
            node.propose(self.now_us(), text, &others, &mut outputs)
        };
        self.perform(outputs);
        number
    }

    /// Aborts a proposal; returns false if the proposal is unknown, has an outcome or may have been accepted already.
    pub fn abort(&self, number: u64) -> bool {
        let mut outputs = Vec::new();
        let is_aborted = {
            let mut node = self.node.borrow_mut();
            node.abort(self.now_us(), number, &mut outputs)
        };
        self.perform(outputs);
        is_aborted
    }

    /// Returns the document of the policy that this gateway serves under; `None` for version 0.
    pub fn document(&self) -> Option<String> {
        let current = self.served.get().current;
        self.node.borrow_mut().document(&current).map(String::from)
    }

    /// Returns the status for the admin API.
    pub fn status(&self) -> PolicyStatus {
        let now_us = self.now_us();
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
        let now_us = self.now_us();
        self.node
            .borrow_mut()
            .handle_message(now_us, from, bytes, &mut outputs);
        self.perform(outputs);
    }
}

fn node_config(config: &PolicyConfig, own_name: String, seed: u64) -> NodeConfig {
    NodeConfig {
        name: own_name,
        acceptors: config.acceptors.clone(),
        lease_config: LeaseConfig {
            lease_us: config.lease.as_micros() as u64,
            max_drift_permille: config.clock_drift_permille,
        },
        proposal_timeout_us: config.proposal_timeout.as_micros() as u64,
        retry_interval_us: PROPOSAL_RETRY_INTERVAL_US,
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
            log_line!("policy: cannot write the audit log; the write is retried");
        }
        Some(AuditTransition::Recovered { dropped_lines }) => {
            log_line!(
                "policy: writes to the audit log succeed again; dropped lines: {dropped_lines}"
            );
        }
        None => {}
    }
}
