//! `policy`: nine gateways under load while their policy is changed again and again, and processes and links fail meanwhile: what each
//! let in under what, and when. `power-loss`: all are killed within their writes, again and again.

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

const ALL: usize = 9;
/// The first so many keep.
const KEEPERS: usize = 3;
const SEEDS: u64 = 5;
const CHANGES: usize = 40;
const LEASE_MS: u64 = 500;
/// A change has an end within this, and all hold one policy within this of the last heal.
const PATIENCE: Duration = Duration::from_secs(20);
/// As long as this no two gateways may let requests in under different versions.
const WINDOW_US: u64 = 250_000;

/// What goes wrong while one change is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wrong {
    Nothing,
    /// A keeper is down throughout.
    Keeper,
    /// Whoever proposes is killed soon after.
    Proposer,
    /// All keepers, soon after.
    Keepers,
    /// Everybody.
    Everybody,
    /// One that keeps nothing is stopped, and goes on afterwards.
    Stopped,
    /// One that keeps nothing is cut off.
    CutOff,
    OneWay,
    Loss,
    /// Two changes at once, at two gateways.
    Two,
    /// The same, in two parts that do not hear each other.
    TwoParts,
}

const KINDS: [Wrong; 11] = [
    Wrong::Nothing,
    Wrong::Keeper,
    Wrong::Proposer,
    Wrong::Keepers,
    Wrong::Everybody,
    Wrong::Stopped,
    Wrong::CutOff,
    Wrong::OneWay,
    Wrong::Loss,
    Wrong::Two,
    Wrong::TwoParts,
];

/// Times of changes while nothing goes wrong, and while a keeper is down; what was refused meanwhile.
#[derive(Default)]
struct Row {
    ends: BTreeMap<String, usize>,
    health: Vec<f64>,
    minority: Vec<f64>,
    refused_in_health: usize,
    refused_with_a_minority_down: usize,
    /// Requests let in, the longest time under an old version, changes of version seen, two documents of one version.
    let_in: usize,
    window: u64,
    seen: usize,
    forks: usize,
    /// Told as in force and another is, told as nowhere and held.
    told_in_force_lost: usize,
    told_nowhere_held: usize,
    /// Not all held one policy in time.
    apart: usize,
    over_ceiling: f64,
    twice: usize,
    request_counts: RequestCounts,
    by_wrong: BTreeMap<Wrong, usize>,
}

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    // As many changes as fit, some two seconds each.
    let changes = seconds.map_or(CHANGES, |s| (s as usize / 2).max(11));
    let rows: Vec<Row> = (1..=SEEDS)
        .map(|seed| one(seed, changes, figures))
        .collect();
    let sum = |f: fn(&Row) -> usize| rows.iter().map(f).sum::<usize>() as f64;
    let ended = |name: &str| {
        rows.iter()
            .map(|r| r.ends.get(name).copied().unwrap_or(0))
            .sum::<usize>() as f64
    };
    for (name, end) in [
        ("in_force", "in force"),
        ("refused", "refused"),
        ("lost", "lost"),
        ("undecided", "not known"),
        ("unheard", ""),
    ] {
        figures.record(&format!("told_{name}"), ended(end), "changes");
    }
    for wrong in KINDS {
        let n: usize = rows.iter().filter_map(|r| r.by_wrong.get(&wrong)).sum();
        figures.remark(&format!("{wrong:?}: {n} changes"));
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
        ("in_health", times(|r| &r.health)),
        ("with_a_keeper_down", times(|r| &r.minority)),
    ] {
        figures.record(&format!("change_{name}_p50"), p50, "s");
        figures.at_most(&format!("change_{name}_worst"), worst, "s", 4.0);
    }
    figures.record("let_in", sum(|r| r.let_in), "requests");
    figures.at_least(
        "versions_seen",
        sum(|r| r.seen),
        "versions",
        0.5 * (changes * rows.len()) as f64,
    );
    let worst = rows.iter().map(|r| r.window).max().unwrap_or(0);
    figures.at_most("window", worst as f64 / 1e3, "ms", WINDOW_US as f64 / 1e3);
    figures.at_most(
        "two_documents_of_one_version",
        sum(|r| r.forks),
        "requests",
        0.0,
    );
    figures.at_most(
        "told_in_force_and_lost",
        sum(|r| r.told_in_force_lost),
        "changes",
        0.0,
    );
    figures.at_most(
        "told_nowhere_and_held",
        sum(|r| r.told_nowhere_held),
        "changes",
        0.0,
    );
    figures.at_most("not_one_policy_in_time", sum(|r| r.apart), "times", 0.0);
    figures.at_most(
        "refused_in_health",
        sum(|r| r.refused_in_health),
        "requests",
        0.0,
    );
    figures.at_most(
        "refused_with_a_minority_down",
        sum(|r| r.refused_with_a_minority_down),
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
    figures.at_most("top_ups_at_two_servers", sum(|r| r.twice), "requests", 0.0);
    figures.record("cpu_a_request_without_leases", cost(false), "us");
    figures.record("cpu_a_request_with_leases", cost(true), "us");
    let over = rows.iter().map(|r| r.over_ceiling).fold(0.0, f64::max);
    figures.at_most("over_ceiling", over, "units", 0.0);
}

struct World {
    site: Site,
    fixture: PolicyFixture,
    rng: Pcg64Mcg,
    /// By version: digest of what was told as in force; and digests of what was told to be nowhere.
    in_force: BTreeMap<u64, String>,
    nowhere: BTreeSet<String>,
    /// By the beginning of a document's digest.
    ceilings: BTreeMap<String, f64>,
    /// How proposals ended, as far as whoever made them was told.
    ends: BTreeMap<String, usize>,
}

impl World {
    fn new(handle: &tokio::runtime::Handle, seed: u64, name: &str) -> World {
        let fixture = PolicyFixture::new(&format!("{name}-{seed}"), KEEPERS, LEASE_MS);
        let mut site = Site::new(handle, seed, (ALL, ALL), SERVERS, |n, _| {
            (n, fixture.policy_table(n, ""))
        });
        site.testbed.start_all();
        let world = World {
            site,
            fixture,
            rng: Pcg64Mcg::seed_from_u64(seed),
            in_force: BTreeMap::new(),
            nowhere: BTreeSet::new(),
            ceilings: BTreeMap::new(),
            ends: BTreeMap::new(),
        };
        world.site.seconds_until_views_agree(ALL);
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

    /// The version and digest that all that run hold, and none below what was told as in force; none: not within the time.
    fn one_policy(&self) -> Option<(u64, String)> {
        let least = self.in_force.last_key_value().map_or(0, |(v, _)| *v);
        let since = Instant::now();
        while since.elapsed() < PATIENCE {
            let running: Vec<usize> = (0..ALL)
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
                if first.0 >= least && held.iter().all(|h| h.as_ref() == Some(first)) {
                    return Some(first.clone());
                }
            }
            pause(Duration::from_millis(20));
        }
        None
    }

    /// The end of a proposal, and how long it took; none: whoever made it is gone.
    fn end(&self, by: usize, number: u64) -> Option<(String, f64)> {
        let since = Instant::now();
        while since.elapsed() < PATIENCE {
            match policy_fixture::proposal_outcome(self.console(by)?, number) {
                Some((state, _)) if state != "open" => {
                    return Some((state, since.elapsed().as_secs_f64()))
                }
                _ => pause(Duration::from_millis(5)),
            }
        }
        None
    }

    /// Units of the greedy customer that came to servers and do not fit the ceiling that was in force.
    fn over_ceiling(&self, all: &[AdmittedRequest]) -> f64 {
        let (now, unix) = (
            Instant::now(),
            SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
        );
        let end = unix.as_secs_f64();
        let uses = self.site.meter.uses();
        let mut uses: Vec<f64> = uses
            .iter()
            .filter(|u| u.customer == CUSTOMER_ABOVE_CEILING.0)
            .map(|u| end - (now - u.at).as_secs_f64())
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
        over(&uses, &changes)
    }

    /// What whoever proposed a document was told of it; none: nothing.
    fn told(&mut self, document: &str, version: u64, end: Option<&str>) {
        *self.ends.entry(end.unwrap_or_default().into()).or_default() += 1;
        let ceiling = document
            .split("ceiling_rate = ")
            .nth(1)
            .and_then(|rest| rest.lines().next()?.parse().ok());
        self.ceilings
            .extend(ceiling.map(|c| (digest(document)[..12].to_string(), c)));
        match end {
            Some("in force") => drop(self.in_force.insert(version, digest(document))),
            Some("refused" | "lost") => drop(self.nowhere.insert(digest(document))),
            _ => {}
        }
    }
}

fn one(seed: u64, changes: usize, figures: &Figures) -> Row {
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let handle = runtime.handle();
    let mut w = World::new(handle, seed, "policy");
    let mut row = Row::default();
    if w.one_policy().is_none() {
        row.apart += 1;
    }
    w.site.route_to_running();
    w.site.start_load(handle, seed);
    for n in 0..changes {
        // Each kind comes, in an order of the seed's.
        let wrong = KINDS[(n + w.below(3)) % KINDS.len()];
        let Some((version, parent)) = w.one_policy() else {
            row.apart += 1;
            figures.remark(&format!("seed {seed}, change {n}: no one policy"));
            continue;
        };
        let ceiling = [20.0, 12.0, 16.0][w.below(3)];
        let document = document_with_ceiling(version + 1, &parent, 100.0 + n as f64, ceiling);
        let before = w.site.request_counts().refused;
        *row.by_wrong.entry(wrong).or_default() += 1;
        let (end, took) = change(&mut w, wrong, version + 1, &document);
        w.told(&document, version + 1, end.as_deref());
        let now = w.one_policy();
        let refused = w.site.request_counts().refused - before;
        match (wrong, &end) {
            (Wrong::Nothing, Some(end)) if end == "in force" => {
                row.health.push(took);
                row.refused_in_health += refused;
            }
            (Wrong::Keeper, Some(end)) if end == "in force" => {
                row.minority.push(took);
                row.refused_with_a_minority_down += refused;
            }
            _ => {}
        }
        if now.is_none() {
            row.apart += 1;
        }
        if std::env::var_os("FROSTHATCH_HISTORY").is_some() {
            let version = version + 1;
            figures.remark(&format!(
                "seed {seed}: {version} {wrong:?} {end:?} {took:.3} s, {refused} refused"
            ));
        }
    }
    row.request_counts = w.site.stop_load(&runtime);
    row.ends.clone_from(&w.ends);
    let all = w.fixture.admitted_requests(ALL);
    row.let_in = all.len();
    (row.window, row.seen) = policy_fixture::stale_version_window(&all);
    row.forks = policy_fixture::count_conflicting_documents(&all);
    let is = |l: &AdmittedRequest, digest: &String| digest.starts_with(&l.digest);
    row.told_nowhere_held = w
        .nowhere
        .iter()
        .filter(|d| all.iter().any(|l| l.version > 0 && is(l, d)))
        .count();
    let differs = |(v, d): &(&u64, &String)| all.iter().any(|l| l.version == **v && !is(l, d));
    row.told_in_force_lost = w.in_force.iter().filter(differs).count();
    let last = w.one_policy().map_or(0, |(v, _)| v);
    for (version, digest) in w.in_force.iter().filter(differs) {
        figures.remark(&format!(
            "seed {seed}: version {version} was told as in force with {}",
            &digest[..12]
        ));
    }
    if let Some(folder) = std::env::var_os("FROSTHATCH_HISTORY") {
        let file = std::path::Path::new(&folder).join(format!("policy-{seed}.jsonl"));
        w.site
            .testbed
            .history
            .write(&file)
            .expect("the history is written");
    }
    row.told_in_force_lost += w.in_force.keys().filter(|v| **v > last).count();
    row.twice = w.site.meter.top_ups_at_two_servers();
    row.over_ceiling = w.over_ceiling(&all);
    figures.remark(&format!(
        "seed {seed}: {} versions, {:?}, {} let in, window {:.1} ms, {:?}",
        row.seen,
        row.ends,
        row.let_in,
        row.window as f64 / 1e3,
        row.request_counts
    ));
    row
}

/// Makes one change while something goes wrong; how it ended, as far as whoever proposed it knows, and how long it took. All that were
/// killed or stopped are back.
fn change(w: &mut World, wrong: Wrong, version: u64, document: &str) -> (Option<String>, f64) {
    let mut by = w.below(ALL);
    let plain = KEEPERS + w.below(ALL - KEEPERS);
    let keeper = w.below(KEEPERS);
    let others = |of: usize| (0..ALL).filter(|n| *n != of).collect::<Vec<_>>();
    match wrong {
        Wrong::Keeper => {
            // Those that were cut off just now are keepers that are lost, too, until they have caught up.
            pause(Duration::from_millis(2 * LEASE_MS));
            w.site.apply(TimelineAction::Kill { who: vec![keeper] });
        }
        Wrong::Stopped => w.site.apply(TimelineAction::Stop { who: vec![plain] }),
        Wrong::CutOff => {
            w.site.stop_routing_to(&[plain]);
            w.site.testbed.apply(&TimelineAction::Split {
                groups: vec![others(plain), vec![plain]],
            });
        }
        Wrong::OneWay => {
            let to = (by + 1 + w.below(ALL - 1)) % ALL;
            w.site.apply(TimelineAction::Cut {
                from: vec![by],
                to: vec![to],
            });
        }
        Wrong::Loss => {
            w.site.apply(TimelineAction::Links {
                faults: Faults {
                    loss: 0.3,
                    jitter_ms: 200,
                    ..Faults::default()
                },
            });
        }
        // Two keepers on one side.
        Wrong::TwoParts => {
            let in_a = |n: &usize| *n != keeper && (*n < KEEPERS || n.is_multiple_of(2));
            let (a, b): (Vec<usize>, Vec<usize>) = (0..ALL).partition(in_a);
            w.site.stop_routing_to(&b);
            by = a[0];
            w.site.testbed.apply(&TimelineAction::Split {
                groups: vec![a, b.clone()],
            });
            // The other part changes it, too.
            let other = document.replace("rate = 6\n", "rate = 5\n");
            let at = w.console(b[0]);
            if let Some(Ok(number)) = at.and_then(|at| policy_fixture::propose(at, &other)) {
                let end = w.end(b[0], number);
                w.told(&other, version, end.as_ref().map(|(end, _)| end.as_str()));
            }
        }
        _ => {}
    }
    // Who is gone is known to be before it is proposed: else it is waited for, and the change is nowhere.
    let gone = match wrong {
        Wrong::Keeper => Some(keeper),
        Wrong::Stopped | Wrong::CutOff => Some(plain),
        _ => None,
    };
    if let Some(gone) = gone {
        while by == gone {
            by = w.below(ALL);
        }
        let name = format!("n{gone}");
        let dead = |n: &usize| {
            let seen = w.console(*n).and_then(crate::testbed::FleetView::fetch);
            seen.is_some_and(|s| s.states.get(&name).is_some_and(|s| s == "dead"))
        };
        let since = Instant::now();
        while !dead(&by) && since.elapsed() < PATIENCE {
            pause(Duration::from_millis(20));
        }
    }
    let ended = propose(w, wrong, by, version, document);
    if wrong == Wrong::Stopped {
        w.site
            .testbed
            .apply(&TimelineAction::Continue { who: vec![plain] });
    }
    back(w);
    ended
}

/// Proposes by one, and does what goes wrong from then on.
fn propose(
    w: &mut World,
    wrong: Wrong,
    by: usize,
    version: u64,
    document: &str,
) -> (Option<String>, f64) {
    let (other, soon) = (
        (by + 1 + w.below(ALL - 1)) % ALL,
        Duration::from_millis(w.below(250) as u64),
    );
    let number = match w
        .console(by)
        .and_then(|at| policy_fixture::propose(at, document))
    {
        Some(Ok(number)) => number,
        // It has no lease, or too many are under way.
        Some(Err(_)) => return (Some("refused".into()), 0.0),
        None => return (None, 0.0),
    };
    let mut second = None;
    match wrong {
        Wrong::Proposer => {
            pause(soon);
            w.site.apply(TimelineAction::Kill { who: vec![by] });
        }
        Wrong::Keepers => {
            pause(soon);
            w.site.apply(TimelineAction::Kill {
                who: (0..KEEPERS).collect(),
            });
            pause(Duration::from_secs(1));
            w.site.testbed.apply(&TimelineAction::Start {
                who: (0..KEEPERS).collect(),
            });
        }
        Wrong::Everybody => {
            pause(soon);
            w.site.apply(TimelineAction::Kill {
                who: (0..ALL).collect(),
            });
        }
        Wrong::Two => {
            let two = document.replace("rate = 6\n", "rate = 5\n");
            second = w
                .console(other)
                .and_then(|at| policy_fixture::propose(at, &two))
                .and_then(Result::ok)
                .map(|n| (n, two));
        }
        _ => {}
    }
    let ended = w.end(by, number);
    if let Some((number, two)) = second {
        let end = w.end(other, number).map(|(end, _)| end);
        w.told(&two, version, end.as_deref());
    }
    ended.map_or((None, 0.0), |(end, took)| (Some(end), took))
}

/// All are there again, and clients go to them once they serve.
fn back(w: &mut World) {
    w.site.testbed.apply(&TimelineAction::Heal);
    let who: Vec<usize> = (0..ALL)
        .filter(|n| !w.site.testbed.processes[*n].is_running())
        .collect();
    w.site
        .testbed
        .apply(&TimelineAction::Start { who: who.clone() });
    who.iter().for_each(|n| w.site.testbed.wait_ready(*n));
    w.one_policy();
    w.site.seconds_until_views_agree(ALL);
    w.site.route_to_running();
}

/// Microseconds of processor time that a request costs three gateways that talk, with leases or without.
fn cost(leases: bool) -> f64 {
    const GATEWAYS: usize = 3;
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let fixture = PolicyFixture::new(&format!("cost-{leases}"), GATEWAYS, 1_000);
    let table = |n: usize| {
        // What is let in is not written down: that is not for service.
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
    // Beyond the first lease.
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

/// All processes are killed at once, within the writes of a change, again and again.
pub fn power_loss(seconds: Option<u64>, figures: &mut Figures) {
    let times = seconds.map_or(100, |s| (s as usize / 2).max(3));
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let mut w = World::new(runtime.handle(), 3, "power");
    let (mut lost, mut apart, mut told, mut torn) = (0, 0, 0, 0);
    for n in 0..times {
        let Some((version, parent)) = w.one_policy() else {
            apart += 1;
            continue;
        };
        if w.in_force
            .iter()
            .any(|(v, d)| *v > version || *v == version && *d != parent)
        {
            lost += 1;
        }
        let document = document_with_ceiling(version + 1, &parent, 100.0 + n as f64, 20.0);
        let by = w.below(ALL);
        let number = w
            .console(by)
            .and_then(|at| policy_fixture::propose(at, &document))
            .and_then(Result::ok);
        // From before the first word to after the last.
        pause(Duration::from_millis(w.below(120) as u64));
        let end = number
            .zip(w.console(by))
            .and_then(|(n, at)| policy_fixture::proposal_outcome(at, n))
            .map(|(end, _)| end);
        w.site.testbed.apply(&TimelineAction::Kill {
            who: (0..ALL).collect(),
        });
        told += usize::from(end.as_deref() == Some("in force"));
        w.told(&document, version + 1, end.as_deref());
        torn += (0..KEEPERS)
            .filter(|k| w.fixture.state_directory(*k).join("new").exists())
            .count();
        w.site.testbed.start_all();
        w.site.seconds_until_views_agree(ALL);
    }
    let last = w.one_policy().map_or(0, |(v, _)| v);
    lost += w.in_force.keys().filter(|v| **v > last).count();
    figures.record("crashes_of_all", times as f64, "times");
    figures.record("told_in_force_before", told as f64, "changes");
    figures.record("writes_cut_off", torn as f64, "writes");
    figures.record("last_version", last as f64, "versions");
    figures.at_most("told_in_force_and_lost", lost as f64, "changes", 0.0);
    figures.at_most("not_one_policy_in_time", apart as f64, "times", 0.0);
}

/// How long a request is on its way to a server at most.
const ON_THE_WAY: f64 = 0.5;

/// Units that came to servers and do not fit a ceiling that changes: `uses` and `changes`, each with the new ceiling, in seconds;
/// the depth is twice the ceiling. Just after a change the larger counts, as what was let in before is still on its way.
fn over(uses: &[f64], changes: &[(f64, f64)]) -> f64 {
    let at = |t: f64| {
        let before = changes
            .iter()
            .rev()
            .find(|(since, _)| *since <= t - ON_THE_WAY);
        let within = changes
            .iter()
            .filter(|(since, _)| (t - ON_THE_WAY..=t).contains(since));
        before
            .into_iter()
            .chain(within)
            .map(|(_, c)| *c)
            .fold(0.0, f64::max)
    };
    let (mut level, mut last, mut over) = (f64::MAX, f64::MIN, 0.0);
    for &t in uses {
        let ceiling = at(t);
        let depth = ceiling * 2.0 + ceiling * 0.15;
        level = (level + (t - last).min(1e6) * ceiling).min(depth);
        last = t;
        match level >= 1.0 {
            true => level -= 1.0,
            false => over += 1.0,
        }
    }
    over
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_does_not_fit_a_ceiling_that_changes_is_counted() {
        let every = |n: usize, per_s: f64, from: f64| {
            (0..n).map(|k| from + k as f64 / per_s).collect::<Vec<_>>()
        };
        assert_eq!(over(&every(200, 20.0, 1.0), &[(0.0, 20.0)]), 0.0);
        assert!(over(&every(200, 40.0, 1.0), &[(0.0, 20.0)]) > 50.0);
        // Lowered to a half in the middle, and still asked for by the old one.
        assert!(over(&every(200, 20.0, 1.0), &[(0.0, 20.0), (5.0, 10.0)]) > 20.0);
        assert_eq!(
            over(&every(200, 10.0, 1.0), &[(0.0, 20.0), (5.0, 10.0)]),
            0.0
        );
    }
}
