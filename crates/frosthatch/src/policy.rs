//! The policy that all gateways agree on: joins the agreement to members, to the decisions, to its folder and to operators. No rules
//! here but what a document has to name at this gateway.

use crate::audit::{Audit, Change};
use crate::operator::Agreed;
use frosthatch_cluster_membership::driver::{MembershipHandle, MessageHandler};
use frosthatch_engine::{Engine, PolicyLease};
use frosthatch_log::log_line;
use frosthatch_plugins::host as plugins;
use frosthatch_policy_consensus::document::{hex, sha256, Document};
use frosthatch_policy_consensus::message::Message;
use frosthatch_policy_consensus::node::{self, ConsensusNode, NodeOutput, ServingState};
use frosthatch_policy_consensus::proposer::ProposalOutcome;
use frosthatch_policy_consensus::record::AcceptorRecord;
use frosthatch_policy_consensus::state_directory::StateDirectory;
use frosthatch_policy_consensus::{LeaseConfig, PolicyId};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};

use frosthatch_traffic_control::{
    Ceiling, Event, Micros, Plan, PolicyTerms, RequestClass, RequestId, Settings,
};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::time::{interval, MissedTickBehavior};

/// How often is looked what is due.
const TICK: Duration = Duration::from_millis(10);
/// A step without a majority is tried again after this.
const AGAIN_US: u64 = 150_000;
/// A folder that another process uses is tried again this often.
const FOLDER_TICKS: u32 = 100;
/// Under this name the others are told which version is held here.
const FACT: &str = "policy";

/// Digests of the plug-ins' files, by name; what cannot be read has none.
pub fn digests(plans: &[plugins::PluginConfig]) -> BTreeMap<String, String> {
    let of = |plan: &plugins::PluginConfig| {
        let bytes = std::fs::read(&plan.file).ok()?;
        Some((plan.name.clone(), hex(&sha256(bytes))))
    };
    plans.iter().filter_map(of).collect()
}

/// What a document sets here.
///
/// # Errors
/// All for which this gateway cannot serve under it.
pub fn terms(
    set: &Settings,
    running: &BTreeMap<String, String>,
    d: &Document,
) -> Result<PolicyTerms, String> {
    let mut bad = Vec::new();
    let known = |n: &String| set.plans.iter().any(|p| p.name == *n);
    bad.extend(
        d.plans
            .keys()
            .filter(|n| !known(n))
            .map(|n| format!("there is no plan {n:?} here")),
    );
    let known = |n: &String| set.classes.iter().any(|c| c.name == *n);
    bad.extend(
        d.classes
            .keys()
            .filter(|n| !known(n))
            .map(|n| format!("there is no class {n:?} here")),
    );
    let mut plans = Vec::new();
    for p in &set.plans {
        let Some(of) = d.plans.get(&p.name) else {
            bad.push(format!("plan {:?} is not in it", p.name));
            continue;
        };
        if (p.rate > 0.0) != (of.rate > 0.0) {
            bad.push(format!(
                "plan {:?} would have a quota of another kind: on its rate, or on open attempts",
                p.name
            ));
        }
        if set.counter && p.max_open != of.max_open {
            let why =
                "the counter holds places by the cap, so it cannot change while there is a counter";
            bad.push(format!("plan {:?}: {why}", p.name));
        }
        let ceiling = of
            .ceiling_rate
            .zip(of.ceiling_depth)
            .map(|(rate, depth)| Ceiling { rate, depth });
        let (rate, burst, max_open) = (of.rate, of.burst, of.max_open);
        plans.push(Plan {
            rate,
            burst,
            max_open,
            ceiling,
            ..p.clone()
        });
    }
    let mut classes = Vec::new();
    for c in &set.classes {
        let Some(of) = d.classes.get(&c.name) else {
            bad.push(format!("class {:?} is not in it", c.name));
            continue;
        };
        let aim_us = of.aim_ms * 1_000;
        if aim_us > c.deadline_us {
            bad.push(format!(
                "class {:?}: its aim is after its deadline, {} ms",
                c.name,
                c.deadline_us / 1_000
            ));
        }
        classes.push(RequestClass {
            latency_objective_us: aim_us,
            priority_weight: of.worth,
            late_weight: of.late_worth,
            ..c.clone()
        });
    }
    for (name, of) in &d.plugins {
        match running.get(name) {
            None => bad.push(format!("there is no plug-in {name:?} here")),
            Some(is) if *is != of.sha256 => {
                bad.push(format!("plug-in {name:?} is another here: {is}"))
            }
            Some(_) => {}
        }
    }
    let (share, most) = (d.retries.share, d.retries.most);
    let retries = frosthatch_traffic_control::RetryBudget {
        ratio: share.unwrap_or(set.retries.ratio),
        max_saved: most.unwrap_or(set.retries.max_saved),
    };
    let terms = PolicyTerms {
        plans,
        classes,
        retries,
    };
    if bad.is_empty() {
        let whole = Settings {
            plans: terms.plans.clone(),
            classes: terms.classes.clone(),
            ..set.clone()
        };
        bad = whole.mistakes();
    }
    bad.is_empty().then_some(terms).ok_or(bad.join("; "))
}

/// This gateway's part in the agreement.
pub struct PolicyService {
    node: RefCell<ConsensusNode>,
    member: Rc<MembershipHandle>,
    engine: Rc<Engine>,
    settings: Settings,
    plan: node::NodeConfig,
    running: Rc<RefCell<BTreeMap<String, String>>>,
    /// When it started, and by how many thousandths its clock is made fast from then on.
    began: u64,
    skew: i64,
    /// For tests: where it dies, once it has got by there so often.
    dies: RefCell<Option<(String, u64)>>,
    /// What the decisions were told, and under what they serve.
    given: Cell<Option<ServingState>>,
    under: Cell<(PolicyId, Option<PolicyId>)>,
    looked_at: Cell<u64>,
    folder: RefCell<Option<StateDirectory>>,
    to_disk: std::sync::mpsc::Sender<(StateDirectory, AcceptorRecord)>,
    audit: RefCell<Option<Audit>>,
}

impl PolicyService {
    /// # Errors
    /// What is missing for it.
    pub fn start(
        agreed: &Agreed,
        member: Rc<MembershipHandle>,
        engine: Rc<Engine>,
        settings: Settings,
        seed: u64,
        plugins: &[plugins::PluginConfig],
    ) -> Result<Rc<PolicyService>, String> {
        let me = member.with(|f| f.me().name.clone());
        let keeper = agreed.keepers.contains(&me);
        if keeper && agreed.folder.is_none() {
            return Err(format!(
                "policy: {me} is a keeper and has no folder; name one"
            ));
        }
        let running = Rc::new(RefCell::new(digests(plugins)));
        let plan = node::NodeConfig {
            me,
            keepers: agreed.keepers.clone(),
            times: LeaseConfig {
                lease_us: agreed.lease.as_micros() as u64,
                drift: agreed.drift,
            },
            patience_us: agreed.patience.as_micros() as u64,
            again_us: AGAIN_US,
            on_lost: agreed.on_lost,
            // Another one with each start: what is told to an earlier process is not taken for an answer to this one.
            seed: seed ^ engine.now() ^ u64::from(std::process::id()) << 40,
        };
        let judge = {
            let (running, settings) = (running.clone(), settings.clone());
            Box::new(move |d: &Document| terms(&settings, &running.borrow(), d).map(drop))
        };
        let audit = match &agreed.audit {
            None => None,
            Some(path) => {
                Some(Audit::open(path).map_err(|e| format!("policy: {}: {e}", path.display()))?)
            }
        };
        let (to_disk, records) = std::sync::mpsc::channel::<(StateDirectory, AcceptorRecord)>();
        let (done, written) = unbounded_channel();
        let node = ConsensusNode::new(engine.now(), plan.clone(), None, judge);
        let desk = Rc::new(PolicyService {
            node: RefCell::new(node),
            member: member.clone(),
            engine: engine.clone(),
            settings,
            plan,
            running,
            began: engine.now(),
            skew: agreed.skew,
            dies: RefCell::new(agreed.dies.clone()),
            given: Cell::default(),
            under: Cell::default(),
            looked_at: Cell::new(0),
            folder: RefCell::default(),
            to_disk,
            audit: RefCell::new(audit),
        });
        let folder = agreed.folder.clone().filter(|_| keeper);
        if let Some(path) = &folder {
            desk.keep(path);
            // Writes have a thread of their own, so that a slow disk holds no request up.
            std::thread::spawn(move || {
                for (folder, record) in records {
                    if done.send(folder.write(&record)).is_err() {
                        return;
                    }
                }
            });
        }
        member.set_reader(desk.clone());
        engine.set_policy_lease(desk.clone());
        engine.refresh_policy_lease();
        tokio::task::spawn_local(desk.clone().run(written, folder));
        Ok(desk)
    }

    /// The time by which leases go.
    fn now(&self) -> u64 {
        self.clock(self.engine.now())
    }

    fn clock(&self, now: u64) -> u64 {
        let since = now.saturating_sub(self.began) as i64;
        now.saturating_add_signed(since * self.skew / 1_000)
    }

    /// Takes its folder up; what is wrong with it is told.
    fn keep(&self, path: &Path) {
        let read = StateDirectory::open(path).and_then(|folder| {
            let read = folder.read(&self.plan.me);
            self.folder.replace(Some(folder));
            read
        });
        match &read {
            Ok(record) => log_line!("policy: keeps state={}", record.state),
            Err(why) => log_line!("policy: keeper-silent why={why:?}"),
        }
        self.node.borrow_mut().load_acceptor(self.now(), read);
    }

    async fn run(
        self: Rc<Self>,
        mut written: UnboundedReceiver<Result<(), String>>,
        folder: Option<std::path::PathBuf>,
    ) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut without = 0;
        loop {
            let mut out = Vec::new();
            tokio::select! {
                Some(how) = written.recv() => {
                    self.dies_at("stored");
                    self.node.borrow_mut().record_stored(self.now(), how, &mut out);
                }
                _ = ticks.tick() => {
                    tell_audit(self.audit.borrow_mut().as_mut().and_then(Audit::write));
                    let proposes = self.node.borrow().proposes();
                    let there = if proposes { self.others() } else { Vec::new() };
                    self.node.borrow_mut().tick(self.now(), &there, &mut out);
                    if let Some(path) = folder.as_ref().filter(|_| self.folder.borrow().is_none()) {
                        without = (without + 1) % FOLDER_TICKS;
                        if without == 0 {
                            self.keep(path);
                        }
                    }
                }
            }
            self.carry_out(out);
            self.engine.refresh_policy_lease();
        }
    }

    fn others(&self) -> Vec<String> {
        self.member.with(|f| f.others().map(String::from).collect())
    }

    fn carry_out(&self, out: Vec<NodeOutput>) {
        for output in out {
            match output {
                NodeOutput::Send { to, bytes } => {
                    if self.dies.borrow().is_some() {
                        self.dies_at(Message::read(&bytes).map_or("", |l| l.name()));
                    }
                    self.member.post(&to, bytes);
                }
                NodeOutput::Store(record) => {
                    self.dies_at("store");
                    if let Some(folder) = &*self.folder.borrow() {
                        // Its thread lives as long as this.
                        let _ = self.to_disk.send((folder.attached(), record));
                    }
                }
                NodeOutput::Log(line) => {
                    if line.starts_with("policy: in-force") {
                        self.dies_at("told");
                    }
                    log_line!("{line}");
                }
            }
        }
    }

    /// For tests: the end of this process, as suddenly as a process can bring it about, just before something is done.
    fn dies_at(&self, step: &str) {
        if let Some((_, left)) = self.dies.borrow_mut().as_mut().filter(|(at, _)| at == step) {
            if *left == 0 {
                std::process::abort();
            }
            *left -= 1;
        }
    }

    /// What is set under a policy; none: its document is not known, or this gateway cannot serve under it.
    fn terms_of(&self, id: &PolicyId) -> Option<PolicyTerms> {
        if id.version == 0 {
            let (plans, classes) = (self.settings.plans.clone(), self.settings.classes.clone());
            return Some(PolicyTerms {
                plans,
                classes,
                retries: self.settings.retries,
            });
        }
        let mut node = self.node.borrow_mut();
        let document = Document::read("policy", node.text(id)?).ok()?;
        terms(&self.settings, &self.running.borrow(), &document).ok()
    }

    /// Other plug-ins run.
    pub fn reloaded(&self, plugins: &[plugins::PluginConfig]) {
        self.running.replace(digests(plugins));
        self.node.borrow_mut().revalidate();
    }

    /// # Errors
    /// What is wrong with it.
    pub fn propose(&self, text: &str) -> Result<u64, String> {
        let (there, mut out) = (self.others(), Vec::new());
        let number = self
            .node
            .borrow_mut()
            .propose(self.now(), text, &there, &mut out);
        self.carry_out(out);
        number
    }

    pub fn abort(&self, number: u64) -> bool {
        let mut out = Vec::new();
        let may = self.node.borrow_mut().abort(self.now(), number, &mut out);
        self.carry_out(out);
        may
    }

    /// The document that is held here.
    pub fn document(&self) -> Option<String> {
        let (id, _) = self.under.get();
        self.node.borrow_mut().text(&id).map(String::from)
    }

    pub fn shown(&self) -> Shown {
        let now = self.now();
        let mut node = self.node.borrow_mut();
        let standing = node.serving_state(now);
        let leased = node
            .leased_till()
            .map_or(0, |(_, till)| till.saturating_sub(now));
        let state = match standing {
            ServingState::Under(_, None) if leased > 0 => "in force",
            ServingState::Under(_, None) => "grace",
            ServingState::Under(..) => "stricter",
            ServingState::Pending(_) => "turning",
            ServingState::Lost => "refusing",
        };
        let (id, _) = self.under.get();
        let version = |name: &str| {
            self.member
                .with(|f| f.gauge(name, FACT))
                .map(|(v, _)| v as u64)
        };
        let mut names = self.others();
        names.push(self.plan.me.clone());
        names.sort();
        Shown {
            me: self.plan.me.clone(),
            version: id.version,
            digest: hex(&id.digest),
            state: state.into(),
            lease_ms: leased / 1_000,
            keepers: self.plan.keepers.clone(),
            keeps: node.keeps().map(|keeps| match keeps {
                Ok(state) => format!("state {state}"),
                Err(why) => why,
            }),
            members: names
                .into_iter()
                .map(|name| ShownMember {
                    version: version(&name),
                    name,
                })
                .collect(),
            proposals: node.proposals().map(ShownProposal::of).collect(),
            history: node
                .history()
                .map(|(id, at)| ShownHeld {
                    version: id.version,
                    digest: hex(&id.digest),
                    since_ms: now.saturating_sub(*at) / 1_000,
                })
                .collect(),
        }
    }
}

impl MessageHandler for PolicyService {
    fn letter(&self, from: &str, bytes: &[u8]) {
        let mut out = Vec::new();
        self.node
            .borrow_mut()
            .handle_message(self.now(), from, bytes, &mut out);
        self.carry_out(out);
    }
}

impl PolicyLease for PolicyService {
    fn collect_events(&self, now: Micros, events: &mut VecDeque<Event>) {
        self.looked_at.set(now);
        let standing = self.node.borrow_mut().serving_state(self.clock(now));
        if Some(standing) == self.given.get() {
            return;
        }
        let open = match standing {
            ServingState::Under(id, with) if self.under.get() == (id, with) => true,
            ServingState::Under(id, with) => {
                match (self.terms_of(&id), with.map(|with| self.terms_of(&with))) {
                    (Some(terms), None) => self.goes_over(id, None, terms, events),
                    (Some(terms), Some(Some(other))) => {
                        self.goes_over(id, with, terms.smaller(&other), events)
                    }
                    _ => false,
                }
            }
            _ => false,
        };
        if standing == ServingState::Lost && self.given.get().is_some() {
            log_line!("policy: lost version={}", self.under.get().0.short());
        }
        self.given.set(Some(standing));
        events.push_back(Event::LeaseStateChanged(match standing {
            ServingState::Pending(_) => frosthatch_traffic_control::LeaseState::Pending,
            _ if open => frosthatch_traffic_control::LeaseState::Held,
            _ => frosthatch_traffic_control::LeaseState::Missing,
        }));
    }

    fn record_admitted(&self, request: RequestId) {
        let mut audit = self.audit.borrow_mut();
        let Some(audit) = &mut *audit else { return };
        // The clock that all processes of a machine share, of when it was looked under what.
        let since = self.engine.now().saturating_sub(self.looked_at.get());
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros() as u64;
        let (id, with) = self.under.get();
        let with = with.map_or(String::new(), |with| format!(" with={}", with.version));
        let line = format!(
            "{} {} {} {}{with}",
            now - since,
            id.version,
            &hex(&id.digest)[..12],
            request.0
        );
        tell_audit(audit.note(&line));
    }
}

fn tell_audit(change: Option<Change>) {
    match change {
        Some(Change::Fails) => log_line!("policy: the audit cannot be written; it is tried again"),
        Some(Change::WritesAgain { left_out }) => {
            log_line!("policy: the audit is written again; lines left out: {left_out}");
        }
        None => {}
    }
}

impl PolicyService {
    fn goes_over(
        &self,
        id: PolicyId,
        with: Option<PolicyId>,
        terms: PolicyTerms,
        events: &mut VecDeque<Event>,
    ) -> bool {
        log_line!("policy: holds version={}", id.short());
        self.under.set((id, with));
        self.member.set_fact(FACT, id.version as f64);
        events.push_back(Event::PolicyChanged(terms));
        true
    }
}

/// The policy as `GET /policy` shows it.
#[derive(Debug, Serialize, Deserialize)]
pub struct Shown {
    pub me: String,
    /// Of what is, or was last, held here; 0: each gateway's own files.
    pub version: u64,
    pub digest: String,
    pub state: String,
    pub lease_ms: u64,
    pub keepers: Vec<String>,
    /// As a keeper: the state on its disk, or why it keeps nothing.
    pub keeps: Option<String>,
    pub members: Vec<ShownMember>,
    pub proposals: Vec<ShownProposal>,
    pub history: Vec<ShownHeld>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct ShownMember {
    pub name: String,
    /// None: it has not said.
    pub version: Option<u64>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct ShownProposal {
    pub number: u64,
    pub version: u64,
    pub digest: String,
    /// `open`, `in force`, `refused`, `lost` or `not known`.
    pub state: String,
    pub took_ms: u64,
    /// Who refused it, and why.
    pub why: Vec<(String, String)>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct ShownHeld {
    pub version: u64,
    pub digest: String,
    pub since_ms: u64,
}

impl ShownProposal {
    fn of(p: node::ProposalStatus) -> ShownProposal {
        let mut why = p.why;
        let state = match &p.end {
            None => "open",
            Some(ProposalOutcome::InForce) => "in force",
            Some(ProposalOutcome::Refused(_)) => "refused",
            Some(ProposalOutcome::Lost(other)) => {
                why.push((
                    String::new(),
                    format!("version {} is in force in its place", other.id().short()),
                ));
                "lost"
            }
            Some(ProposalOutcome::Open) => "not known",
        };
        ShownProposal {
            number: p.number,
            version: p.policy.version,
            digest: hex(&p.policy.digest),
            state: state.into(),
            took_ms: p.took_us / 1_000,
            why,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str = "version = 1\n[plans.basic]\nrate = 5\nburst = 8\n[classes.read]\naim_ms = 900\nworth = 2\nlate_worth = 0.5\n";

    fn read(text: &str) -> Document {
        Document::read("p.toml", text).expect("in order")
    }

    fn said(text: &str, set: &Settings) -> String {
        terms(set, &BTreeMap::new(), &read(text))
            .err()
            .unwrap_or_default()
    }

    #[test]
    fn a_document_sets_what_it_says_and_the_rest_stays() {
        let set = Settings::example();
        let terms = terms(&set, &BTreeMap::new(), &read(TEXT)).expect("it can be taken");
        assert_eq!(
            (
                terms.plans[0].rate,
                terms.plans[0].burst,
                terms.plans[0].price
            ),
            (5.0, 8.0, 1.0)
        );
        assert_eq!(
            (
                terms.classes[0].latency_objective_us,
                terms.classes[0].deadline_us
            ),
            (900_000, 4_000_000)
        );
    }

    #[test]
    fn all_for_which_it_cannot_be_taken_is_told() {
        let set = Settings {
            counter: true,
            ..Settings::example()
        };
        let bad = TEXT
            .replace("plans.basic", "plans.other")
            .replace("classes.read", "classes.write");
        for what in [
            "no plan \"other\"",
            "plan \"basic\" is not in it",
            "no class \"write\"",
            "class \"read\" is not",
        ] {
            assert!(
                said(&bad, &set).contains(what),
                "{what}: {}",
                said(&bad, &set)
            );
        }
        assert!(
            said(&TEXT.replace("rate = 5", "rate = 0\nmax_open = 3"), &set)
                .contains("another kind")
        );
        assert!(
            said(&TEXT.replace("rate = 5", "rate = 5\nmax_open = 3"), &set)
                .contains("the counter holds places")
        );
        assert!(said(&TEXT.replace("900", "5000"), &set).contains("after its deadline"));
        let plugin = format!("{TEXT}[plugins.night]\nsha256 = \"{}\"\n", "ab".repeat(32));
        assert!(said(&plugin, &set).contains("no plug-in \"night\""));
        let running = BTreeMap::from([("night".to_string(), "cd".repeat(32))]);
        assert!(terms(&set, &running, &read(&plugin)).is_err_and(|e| e.contains("is another here")));
    }
}
