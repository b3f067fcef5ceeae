//! `policy`: nine gateways under load whose policy changes repeatedly while processes and links fail; checks under which policy
//! version each gateway admitted requests, and when. `power-loss`: all processes are killed repeatedly during their writes.

use crate::figures::Figures;
use crate::fleet_site::{RequestCounts, Site, CUSTOMER_ABOVE_CEILING, SERVERS};
use crate::site::{cpu, pause};
use crate::testbed::policy_fixture::{
    self, digest, document_with_ceiling, AdmittedRequest, PolicyFixture,
};
use crate::testbed::{Faults, TimelineAction};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::runtime::Runtime;

const MEMBERS: usize = 9;
/// Number of keepers, which are the first members.
const KEEPERS: usize = 3;
const SEEDS: u64 = 5;
const CHANGES: usize = 40;
const LEASE_MS: u64 = 500;
/// Bound on waiting for the outcome of a change, and for equal policies after the last heal.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time for which a gateway may admit requests under an old version after another one has used a newer version.
const MAX_OLD_VERSION_US: u64 = 250_000;

/// Fault during one change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ChangeFault {
    /// No fault.
    Nothing,
    /// A keeper is down throughout the change.
    KeeperDown,
    /// The proposer is killed up to 250 ms after the proposal.
    ProposerKilled,
    /// All keepers are killed up to 250 ms after the proposal, and restarted 1 s later.
    KeepersKilled,
    /// All members are killed up to 250 ms after the proposal.
    AllKilled,
    /// A member that is no keeper is paused, and resumes after the change.
    MemberPaused,
    /// A member that is no keeper is partitioned from the others.
    MemberPartitioned,
    /// A link of the proposer fails in one direction.
    OneWayLinkFailure,
    /// Links lose 30 % of the datagrams and have 200 ms of jitter.
    DatagramLoss,
    /// Two members propose changes concurrently.
    ConcurrentChanges,
    /// A member in each of two partitions proposes a change.
    PartitionedChanges,
}

const ALL_FAULTS: [ChangeFault; 11] = [
    ChangeFault::Nothing,
    ChangeFault::KeeperDown,
    ChangeFault::ProposerKilled,
    ChangeFault::KeepersKilled,
    ChangeFault::AllKilled,
    ChangeFault::MemberPaused,
    ChangeFault::MemberPartitioned,
    ChangeFault::OneWayLinkFailure,
    ChangeFault::DatagramLoss,
    ChangeFault::ConcurrentChanges,
    ChangeFault::PartitionedChanges,
];

/// Results of one seed.
#[derive(Default)]
struct Row {
    /// Number of proposals by reported outcome; empty for none.
    outcomes: BTreeMap<String, usize>,
    /// Seconds per successful change without a fault.
    healthy_s: Vec<f64>,
    /// Seconds per successful change while a keeper is down.
    keeper_down_s: Vec<f64>,
    /// Requests refused during successful changes without a fault.
    healthy_refused: usize,
    /// Requests refused during successful changes while a keeper is down.
    keeper_down_refused: usize,
    /// Admitted requests.
    admitted: usize,
    /// Longest time in microseconds for which an old version was used after a newer one.
    max_old_version_us: u64,
    /// Versions under which requests were admitted.
    versions_used: usize,
    /// Requests admitted under two documents of one version.
    conflicting_documents: usize,
    /// Changes reported as in force whose version was lost or had another document.
    reported_in_force_lost: usize,
    /// Changes reported as refused or lost under which requests were admitted.
    reported_failed_used: usize,
    /// Number of times that not all members held one policy within the time limit.
    disagreements: usize,
    /// Units above a ceiling.
    over_ceiling: f64,
    /// Top-ups that ran at two servers.
    repeated_top_ups: usize,
    request_counts: RequestCounts,
    changes_by_fault: BTreeMap<ChangeFault, usize>,
}

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    // A change takes about two seconds.
    let changes = seconds.map_or(CHANGES, |s| (s as usize / 2).max(11));
    let rows: Vec<Row> = (1..=SEEDS)
        .map(|seed| run_seed(seed, changes, figures))
        .collect();
    let sum = |f: fn(&Row) -> usize| rows.iter().map(f).sum::<usize>() as f64;
    let outcome_count = |name: &str| {
        rows.iter()
            .map(|r| r.outcomes.get(name).copied().unwrap_or(0))
            .sum::<usize>() as f64
    };
    for (name, outcome) in [
        ("in_force", "in force"),
        ("refused", "refused"),
        ("lost", "lost"),
        ("undecided", "not known"),
        ("unheard", ""),
    ] {
        figures.record(&format!("told_{name}"), outcome_count(outcome), "changes");
    }
    for fault in ALL_FAULTS {
        let n: usize = rows
            .iter()
            .filter_map(|r| r.changes_by_fault.get(&fault))
            .sum();
        figures.remark(&format!("{fault:?}: {n} changes"));
    }
    let times = |f: fn(&Row) -> &Vec<f64>| {
        let mut all: Vec<f64> = rows.iter().flat_map(|r| f(r).iter().copied()).collect();
        all.sort_by(f64::total_cmp);
        (
            all.get(all.len() / 2).copied().unwrap_or(f64::NAN),
            all.last().copied().unwrap_or(f64::NAN),
        )
    };
    for (name, (p50, worst)) in [
        ("in_health", times(|r| &r.healthy_s)),
        ("with_a_keeper_down", times(|r| &r.keeper_down_s)),
    ] {
        figures.record(&format!("change_{name}_p50"), p50, "s");
        figures.at_most(&format!("change_{name}_worst"), worst, "s", 4.0);
    }
    figures.record("let_in", sum(|r| r.admitted), "requests");
    figures.at_least(
        "versions_seen",
        sum(|r| r.versions_used),
        "versions",
        0.5 * (changes * rows.len()) as f64,
    );
    let worst = rows.iter().map(|r| r.max_old_version_us).max().unwrap_or(0);
    figures.at_most(
        "window",
        worst as f64 / 1e3,
        "ms",
        MAX_OLD_VERSION_US as f64 / 1e3,
    );
    figures.at_most(
        "two_documents_of_one_version",
        sum(|r| r.conflicting_documents),
        "requests",
        0.0,
    );
    figures.at_most(
        "told_in_force_and_lost",
        sum(|r| r.reported_in_force_lost),
        "changes",
        0.0,
    );
    figures.at_most(
        "told_nowhere_and_held",
        sum(|r| r.reported_failed_used),
        "changes",
        0.0,
    );
    figures.at_most(
        "not_one_policy_in_time",
        sum(|r| r.disagreements),
        "times",
        0.0,
    );
    figures.at_most(
        "refused_in_health",
        sum(|r| r.healthy_refused),
        "requests",
        0.0,
    );
    figures.at_most(
        "refused_with_a_minority_down",
        sum(|r| r.keeper_down_refused),
        "requests",
        0.0,
    );
    figures.record("requests", sum(|r| r.request_counts.sent), "requests");
    figures.record("refused", sum(|r| r.request_counts.refused), "requests");
    figures.at_most(
        "unanswered",
        sum(|r| r.request_counts.unanswered),
        "requests",
        0.0,
    );
    figures.at_most(
        "top_ups_at_two_servers",
        sum(|r| r.repeated_top_ups),
        "requests",
        0.0,
    );
    figures.record(
        "cpu_a_request_without_leases",
        cpu_per_request_us(false),
        "us",
    );
    figures.record("cpu_a_request_with_leases", cpu_per_request_us(true), "us");
    let max_over_ceiling = rows.iter().map(|r| r.over_ceiling).fold(0.0, f64::max);
    figures.at_most("over_ceiling", max_over_ceiling, "units", 0.0);
}

/// A fleet with its policy fixture, and the outcomes that were reported to proposers.
struct World {
    site: Site,
    fixture: PolicyFixture,
    rng: Pcg64Mcg,
    /// Digests of the documents reported as in force, by version.
    in_force: BTreeMap<u64, String>,
    /// Digests of the documents reported as refused or lost.
    failed: BTreeSet<String>,
    /// Ceilings by the first 12 characters of the document's digest.
    ceilings: BTreeMap<String, f64>,
    /// Number of proposals by the outcome reported to the proposer; empty for none.
    outcomes: BTreeMap<String, usize>,
}

impl World {
    fn new(handle: &tokio::runtime::Handle, seed: u64, name: &str) -> World {
        let fixture = PolicyFixture::new(&format!("{name}-{seed}"), KEEPERS, LEASE_MS);
        let mut site = Site::new(handle, seed, (MEMBERS, MEMBERS), SERVERS, |n, _| {
            (n, fixture.policy_table(n, ""))
        });
        site.testbed.start_all();
        let world = World {
            site,
            fixture,
            rng: Pcg64Mcg::seed_from_u64(seed),
            in_force: BTreeMap::new(),
            failed: BTreeSet::new(),
            ceilings: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        };
        world.site.seconds_until_views_agree(MEMBERS);
        world
    }

    fn below(&mut self, n: usize) -> usize {
        self.rng.next_u32() as usize % n
    }

    fn console(&self, by: usize) -> Option<SocketAddr> {
        self.site.testbed.processes[by]
            .console()
            .filter(|_| self.site.testbed.processes[by].is_running())
    }

    /// Waits until all running members hold the same policy, at least as new as the latest one reported as in force. Returns its
    /// version and digest, or `None` after [`CHANGE_TIMEOUT`].
    fn wait_for_one_policy(&self) -> Option<(u64, String)> {
        let min_version = self.in_force.last_key_value().map_or(0, |(v, _)| *v);
        let since = Instant::now();
        while since.elapsed() < CHANGE_TIMEOUT {
            let running: Vec<usize> = (0..MEMBERS)
                .filter(|n| self.site.testbed.processes[*n].is_running())
                .collect();
            let held: Vec<Option<(u64, String)>> = running
                .iter()
                .map(|n| {
                    let status = policy_fixture::policy_status(self.console(*n)?)?;
                    let held = (
                        status["version"].as_u64()?,
                        status["digest"].as_str()?.to_string(),
                    );
                    (status["state"] == "in force").then_some(held)
                })
                .collect();
            if let Some(Some(first)) = held.first() {
                if first.0 >= min_version && held.iter().all(|h| h.as_ref() == Some(first)) {
                    return Some(first.clone());
                }
            }
            pause(Duration::from_millis(20));
        }
        None
    }

    /// Waits for the outcome of a proposal; returns it with its duration in seconds, or `None` if the proposer is gone or after
    /// [`CHANGE_TIMEOUT`].
    fn wait_for_outcome(&self, by: usize, number: u64) -> Option<(String, f64)> {
        let since = Instant::now();
        while since.elapsed() < CHANGE_TIMEOUT {
            match policy_fixture::proposal_outcome(self.console(by)?, number) {
                Some((state, _)) if state != "open" => {
                    return Some((state, since.elapsed().as_secs_f64()))
                }
                _ => pause(Duration::from_millis(5)),
            }
        }
        None
    }

    /// Returns the units by which the customer above its ceiling exceeded the ceilings that were in force.
    fn over_ceiling(&self, all: &[AdmittedRequest]) -> f64 {
        let (now, unix) = (
            Instant::now(),
            SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
        );
        let unix_now_s = unix.as_secs_f64();
        let uses = self.site.meter.uses();
        let mut uses: Vec<f64> = uses
            .iter()
            .filter(|u| u.customer == CUSTOMER_ABOVE_CEILING.0)
            .map(|u| unix_now_s - (now - u.at).as_secs_f64())
            .collect();
        uses.sort_by(f64::total_cmp);
        let mut changes = vec![(0.0, 20.0)];
        let mut high = 0;
        for l in all.iter().filter(|l| l.version > 0) {
            if l.version > high {
                high = l.version;
                let before = changes.last().map_or(20.0, |(_, c)| *c);
                changes.push((
                    l.at_us as f64 / 1e6,
                    self.ceilings.get(&l.digest).copied().unwrap_or(before),
                ));
            }
        }
        units_over_changing_ceiling(&uses, &changes)
    }

    /// Records the outcome of a document that its proposer received; `None` if it received none.
    fn record_outcome(&mut self, document: &str, version: u64, outcome: Option<&str>) {
        *self
            .outcomes
            .entry(outcome.unwrap_or_default().into())
            .or_default() += 1;
        let ceiling = document
            .split("ceiling_rate = ")
            .nth(1)
            .and_then(|rest| rest.lines().next()?.parse().ok());
        self.ceilings
            .extend(ceiling.map(|c| (digest(document)[..12].to_string(), c)));
        match outcome {
            Some("in force") => drop(self.in_force.insert(version, digest(document))),
            Some("refused" | "lost") => drop(self.failed.insert(digest(document))),
            _ => {}
        }
    }
}

fn run_seed(seed: u64, changes: usize, figures: &Figures) -> Row {
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let handle = runtime.handle();
    let mut w = World::new(handle, seed, "policy");
    let mut row = Row::default();
    if w.wait_for_one_policy().is_none() {
        row.disagreements += 1;
    }
    w.site.route_to_running();
    w.site.start_load(handle, seed);
    for n in 0..changes {
        // Each kind of fault occurs, in an order that the seed determines.
        let fault = ALL_FAULTS[(n + w.below(3)) % ALL_FAULTS.len()];
        let Some((version, parent)) = w.wait_for_one_policy() else {
            row.disagreements += 1;
            figures.remark(&format!(
                "seed {seed}, change {n}: members hold different policies"
            ));
            continue;
        };
        let ceiling = [20.0, 12.0, 16.0][w.below(3)];
        let document = document_with_ceiling(version + 1, &parent, 100.0 + n as f64, ceiling);
        let before = w.site.request_counts().refused;
        *row.changes_by_fault.entry(fault).or_default() += 1;
        let (outcome, took) = change(&mut w, fault, version + 1, &document);
        w.record_outcome(&document, version + 1, outcome.as_deref());
        let now = w.wait_for_one_policy();
        let refused = w.site.request_counts().refused - before;
        match (fault, &outcome) {
            (ChangeFault::Nothing, Some(outcome)) if outcome == "in force" => {
                row.healthy_s.push(took);
                row.healthy_refused += refused;
            }
            (ChangeFault::KeeperDown, Some(outcome)) if outcome == "in force" => {
                row.keeper_down_s.push(took);
                row.keeper_down_refused += refused;
            }
            _ => {}
        }
        if now.is_none() {
            row.disagreements += 1;
        }
        if std::env::var_os("FROSTHATCH_HISTORY").is_some() {
            let version = version + 1;
            figures.remark(&format!(
                "seed {seed}: {version} {fault:?} {outcome:?} {took:.3} s, {refused} refused"
            ));
        }
    }
    row.request_counts = w.site.stop_load(&runtime);
    row.outcomes.clone_from(&w.outcomes);
    let all = w.fixture.admitted_requests(MEMBERS);
    row.admitted = all.len();
    (row.max_old_version_us, row.versions_used) = policy_fixture::stale_version_window(&all);
    row.conflicting_documents = policy_fixture::count_conflicting_documents(&all);
    let is = |l: &AdmittedRequest, digest: &String| digest.starts_with(&l.digest);
    row.reported_failed_used = w
        .failed
        .iter()
        .filter(|d| all.iter().any(|l| l.version > 0 && is(l, d)))
        .count();
    let differs = |(v, d): &(&u64, &String)| all.iter().any(|l| l.version == **v && !is(l, d));
    row.reported_in_force_lost = w.in_force.iter().filter(differs).count();
    let last = w.wait_for_one_policy().map_or(0, |(v, _)| v);
    for (version, digest) in w.in_force.iter().filter(differs) {
        figures.remark(&format!(
            "seed {seed}: version {version} was reported as in force with digest {}",
            &digest[..12]
        ));
    }
    if let Some(folder) = std::env::var_os("FROSTHATCH_HISTORY") {
        let file = std::path::Path::new(&folder).join(format!("policy-{seed}.jsonl"));
        w.site
            .testbed
            .history
            .write(&file)
            .expect("the history file can be written");
    }
    row.reported_in_force_lost += w.in_force.keys().filter(|v| **v > last).count();
    row.repeated_top_ups = w.site.meter.top_ups_at_two_servers();
    row.over_ceiling = w.over_ceiling(&all);
    figures.remark(&format!(
        "seed {seed}: {} versions, {:?}, {} admitted, window {:.1} ms, {:?}",
        row.versions_used,
        row.outcomes,
        row.admitted,
        row.max_old_version_us as f64 / 1e3,
        row.request_counts
    ));
    row
}

/// Makes one change with a fault; returns its outcome as reported to the proposer, if any, and its duration in seconds. All
/// members run again afterwards.
fn change(
    w: &mut World,
    fault: ChangeFault,
    version: u64,
    document: &str,
) -> (Option<String>, f64) {
    let mut by = w.below(MEMBERS);
    let non_keeper = KEEPERS + w.below(MEMBERS - KEEPERS);
    let keeper = w.below(KEEPERS);
    let others = |of: usize| (0..MEMBERS).filter(|n| *n != of).collect::<Vec<_>>();
    match fault {
        ChangeFault::KeeperDown => {
            // Keepers that were partitioned until now have to catch up first, or more than one keeper would be missing.
            pause(Duration::from_millis(2 * LEASE_MS));
            w.site.apply(TimelineAction::Kill { who: vec![keeper] });
        }
        ChangeFault::MemberPaused => w.site.apply(TimelineAction::Stop {
            who: vec![non_keeper],
        }),
        ChangeFault::MemberPartitioned => {
            w.site.stop_routing_to(&[non_keeper]);
            w.site.testbed.apply(&TimelineAction::Split {
                groups: vec![others(non_keeper), vec![non_keeper]],
            });
        }
        ChangeFault::OneWayLinkFailure => {
            let to = (by + 1 + w.below(MEMBERS - 1)) % MEMBERS;
            w.site.apply(TimelineAction::Cut {
                from: vec![by],
                to: vec![to],
            });
        }
        ChangeFault::DatagramLoss => {
            w.site.apply(TimelineAction::Links {
                faults: Faults {
                    loss: 0.3,
                    jitter_ms: 200,
                    ..Faults::default()
                },
            });
        }
        // Partition `a` has two of the three keepers: only its change can succeed.
        ChangeFault::PartitionedChanges => {
            let in_a = |n: &usize| *n != keeper && (*n < KEEPERS || n.is_multiple_of(2));
            let (a, b): (Vec<usize>, Vec<usize>) = (0..MEMBERS).partition(in_a);
            w.site.stop_routing_to(&b);
            by = a[0];
            w.site.testbed.apply(&TimelineAction::Split {
                groups: vec![a, b.clone()],
            });
            // The other partition proposes a change, too.
            let other = document.replace("rate = 6\n", "rate = 5\n");
            let at = w.console(b[0]);
            if let Some(Ok(number)) = at.and_then(|at| policy_fixture::propose(at, &other)) {
                let outcome = w.wait_for_outcome(b[0], number);
                w.record_outcome(
                    &other,
                    version,
                    outcome.as_ref().map(|(outcome, _)| outcome.as_str()),
                );
            }
        }
        _ => {}
    }
    // The proposer has to know that the member is gone: otherwise it waits for that member, and the change fails.
    let gone = match fault {
        ChangeFault::KeeperDown => Some(keeper),
        ChangeFault::MemberPaused | ChangeFault::MemberPartitioned => Some(non_keeper),
        _ => None,
    };
    if let Some(gone) = gone {
        while by == gone {
            by = w.below(MEMBERS);
        }
        let name = format!("n{gone}");
        let dead = |n: &usize| {
            let view = w.console(*n).and_then(crate::testbed::FleetView::fetch);
            view.is_some_and(|s| s.states.get(&name).is_some_and(|s| s == "dead"))
        };
        let since = Instant::now();
        while !dead(&by) && since.elapsed() < CHANGE_TIMEOUT {
            pause(Duration::from_millis(20));
        }
    }
    let result = propose(w, fault, by, version, document);
    if fault == ChangeFault::MemberPaused {
        w.site.testbed.apply(&TimelineAction::Continue {
            who: vec![non_keeper],
        });
    }
    restore(w);
    result
}

/// Proposes a document at member `by`, and injects the faults that follow the proposal.
fn propose(
    w: &mut World,
    fault: ChangeFault,
    by: usize,
    version: u64,
    document: &str,
) -> (Option<String>, f64) {
    let (other, kill_delay) = (
        (by + 1 + w.below(MEMBERS - 1)) % MEMBERS,
        Duration::from_millis(w.below(250) as u64),
    );
    let number = match w
        .console(by)
        .and_then(|at| policy_fixture::propose(at, document))
    {
        Some(Ok(number)) => number,
        // The member has no lease, or too many proposals are open.
        Some(Err(_)) => return (Some("refused".into()), 0.0),
        None => return (None, 0.0),
    };
    let mut second = None;
    match fault {
        ChangeFault::ProposerKilled => {
            pause(kill_delay);
            w.site.apply(TimelineAction::Kill { who: vec![by] });
        }
        ChangeFault::KeepersKilled => {
            pause(kill_delay);
            w.site.apply(TimelineAction::Kill {
                who: (0..KEEPERS).collect(),
            });
            pause(Duration::from_secs(1));
            w.site.testbed.apply(&TimelineAction::Start {
                who: (0..KEEPERS).collect(),
            });
        }
        ChangeFault::AllKilled => {
            pause(kill_delay);
            w.site.apply(TimelineAction::Kill {
                who: (0..MEMBERS).collect(),
            });
        }
        ChangeFault::ConcurrentChanges => {
            let second_document = document.replace("rate = 6\n", "rate = 5\n");
            second = w
                .console(other)
                .and_then(|at| policy_fixture::propose(at, &second_document))
                .and_then(Result::ok)
                .map(|n| (n, second_document));
        }
        _ => {}
    }
    let result = w.wait_for_outcome(by, number);
    if let Some((number, second_document)) = second {
        let outcome = w
            .wait_for_outcome(other, number)
            .map(|(outcome, _)| outcome);
        w.record_outcome(&second_document, version, outcome.as_deref());
    }
    result.map_or((None, 0.0), |(outcome, took)| (Some(outcome), took))
}

/// Heals the links, restarts all members that do not run, and routes clients to them once they are ready.
fn restore(w: &mut World) {
    w.site.testbed.apply(&TimelineAction::Heal);
    let who: Vec<usize> = (0..MEMBERS)
        .filter(|n| !w.site.testbed.processes[*n].is_running())
        .collect();
    w.site
        .testbed
        .apply(&TimelineAction::Start { who: who.clone() });
    who.iter().for_each(|n| w.site.testbed.wait_ready(*n));
    w.wait_for_one_policy();
    w.site.seconds_until_views_agree(MEMBERS);
    w.site.route_to_running();
}

/// Returns the CPU time of a request in microseconds with three gateways in a fleet, with or without leases.
fn cpu_per_request_us(leases: bool) -> f64 {
    const GATEWAYS: usize = 3;
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let fixture = PolicyFixture::new(&format!("cost-{leases}"), GATEWAYS, 1_000);
    let table = |n: usize| {
        // The audit of admitted requests is a test aid and is left out of the cost.
        let all = fixture.policy_table(n, "");
        let kept: Vec<&str> = all
            .lines()
            .filter(|l| leases && !l.starts_with("audit"))
            .collect();
        kept.join("\n")
    };
    let mut site = Site::new(
        runtime.handle(),
        9,
        (GATEWAYS, GATEWAYS),
        SERVERS,
        |n, _| (n, table(n)),
    );
    site.testbed.start_all();
    site.seconds_until_views_agree(GATEWAYS);
    // Waits until all gateways have received their first lease.
    pause(Duration::from_secs(3));
    site.route_to_running();
    site.start_load(runtime.handle(), 9);
    let used = |site: &Site| {
        let all = site
            .testbed
            .processes
            .iter()
            .filter_map(|p| p.pid().map(cpu));
        (all.sum::<Duration>(), site.request_counts().served)
    };
    pause(Duration::from_secs(1));
    let before = used(&site);
    pause(Duration::from_secs(10));
    let after = used(&site);
    site.stop_load(&runtime);
    (after.0 - before.0).as_secs_f64() * 1e6 / (after.1 - before.1).max(1) as f64
}

/// Kills all processes at once during the writes of a change, repeatedly.
pub fn power_loss(seconds: Option<u64>, figures: &mut Figures) {
    let times = seconds.map_or(100, |s| (s as usize / 2).max(3));
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let mut w = World::new(runtime.handle(), 3, "power");
    let (mut lost, mut disagreements, mut reported_in_force, mut unfinished_writes) = (0, 0, 0, 0);
    for n in 0..times {
        let Some((version, parent)) = w.wait_for_one_policy() else {
            disagreements += 1;
            continue;
        };
        if w.in_force
            .iter()
            .any(|(v, d)| *v > version || *v == version && *d != parent)
        {
            lost += 1;
        }
        let document = document_with_ceiling(version + 1, &parent, 100.0 + n as f64, 20.0);
        let by = w.below(MEMBERS);
        let number = w
            .console(by)
            .and_then(|at| policy_fixture::propose(at, &document))
            .and_then(Result::ok);
        // The kill falls anywhere between the first message of the proposal and the time after the last one.
        pause(Duration::from_millis(w.below(120) as u64));
        let outcome = number
            .zip(w.console(by))
            .and_then(|(n, at)| policy_fixture::proposal_outcome(at, n))
            .map(|(outcome, _)| outcome);
        w.site.testbed.apply(&TimelineAction::Kill {
            who: (0..MEMBERS).collect(),
        });
        reported_in_force += usize::from(outcome.as_deref() == Some("in force"));
        w.record_outcome(&document, version + 1, outcome.as_deref());
        unfinished_writes += (0..KEEPERS)
            .filter(|k| w.fixture.state_directory(*k).join("new").exists())
            .count();
        w.site.testbed.start_all();
        w.site.seconds_until_views_agree(MEMBERS);
    }
    let last = w.wait_for_one_policy().map_or(0, |(v, _)| v);
    lost += w.in_force.keys().filter(|v| **v > last).count();
    figures.record("crashes_of_all", times as f64, "times");
    figures.record("told_in_force_before", reported_in_force as f64, "changes");
    figures.record("writes_cut_off", unfinished_writes as f64, "writes");
    figures.record("last_version", last as f64, "versions");
    figures.at_most("told_in_force_and_lost", lost as f64, "changes", 0.0);
    figures.at_most("not_one_policy_in_time", disagreements as f64, "times", 0.0);
}

/// Maximum time in seconds between the admission of a request and its arrival at a server.
const MAX_IN_FLIGHT_S: f64 = 0.5;

/// Returns the units that exceed a changing ceiling. `uses` are arrival times in seconds; `changes` are pairs of time in seconds and
/// new ceiling in units per second. The depth is twice the ceiling. Within [`MAX_IN_FLIGHT_S`] of a change the larger ceiling counts,
/// since requests admitted before it are still in flight.
fn units_over_changing_ceiling(uses: &[f64], changes: &[(f64, f64)]) -> f64 {
    let at = |t: f64| {
        let before = changes
            .iter()
            .rev()
            .find(|(since, _)| *since <= t - MAX_IN_FLIGHT_S);
        let within = changes
            .iter()
            .filter(|(since, _)| (t - MAX_IN_FLIGHT_S..=t).contains(since));
        before
            .into_iter()
            .chain(within)
            .map(|(_, c)| *c)
            .fold(0.0, f64::max)
    };
    let (mut tokens, mut last, mut excess_units) = (f64::MAX, f64::MIN, 0.0);
    for &t in uses {
        let ceiling = at(t);
        let depth = ceiling * 2.0 + ceiling * 0.15;
        tokens = (tokens + (t - last).min(1e6) * ceiling).min(depth);
        last = t;
        match tokens >= 1.0 {
            true => tokens -= 1.0,
            false => excess_units += 1.0,
        }
    }
    excess_units
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn units_above_a_changing_ceiling_are_counted() {
        let every = |n: usize, per_s: f64, from: f64| {
            (0..n).map(|k| from + k as f64 / per_s).collect::<Vec<_>>()
        };
        assert_eq!(
            units_over_changing_ceiling(&every(200, 20.0, 1.0), &[(0.0, 20.0)]),
            0.0
        );
        assert!(units_over_changing_ceiling(&every(200, 40.0, 1.0), &[(0.0, 20.0)]) > 50.0);
        // The ceiling is halved in the middle, and the load stays at the old one.
        assert!(
            units_over_changing_ceiling(&every(200, 20.0, 1.0), &[(0.0, 20.0), (5.0, 10.0)]) > 20.0
        );
        assert_eq!(
            units_over_changing_ceiling(&every(200, 10.0, 1.0), &[(0.0, 20.0), (5.0, 10.0)]),
            0.0
        );
    }
}
