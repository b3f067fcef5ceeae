//! `members`: sixteen gateways under load that join, leave, crash, are paused, partitioned and replaced, with five seeds. Measures
//! detection times, false positives of failure detection, network traffic, and the effect on clients.

use crate::figures::Figures;
use crate::fleet_site::{endpoint_list, Site, DETECTION_TIMEOUT, SERVERS};
use crate::servers::Server;
use crate::site::{cpu, pause};
use crate::testbed::{Faults, TimelineAction};
use frosthatch_test_doubles::endpoint_entry_with_boot;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

const MEMBERS: usize = 16;
/// Index of the process that runs under the name of another one.
const DUPLICATE: usize = MEMBERS;
const SEEDS: u64 = 5;

/// Results of one seed. All times are in seconds.
#[derive(Default)]
struct Row {
    /// Times until all other members have logged a join.
    joins: Vec<f64>,
    /// Times until all other members have logged an orderly leave.
    leaves: Vec<f64>,
    /// Times until all running members have logged a crash.
    deaths: Vec<f64>,
    /// Running members declared dead: at 5 % datagram loss, at 30 %, and by a member that was paused.
    false_positives: [usize; 3],
    /// Times from a heal or restart to equal views.
    convergence: Vec<f64>,
    bytes_s: f64,
    messages_s: f64,
    /// CPU time of the busiest member, in seconds per second.
    cpu: f64,
    sent: usize,
    unanswered: usize,
    served: usize,
    /// Time until a process logs that another one runs under its name.
    duplicate_name_detection: f64,
    /// Top-ups that ran at two servers.
    repeated_top_ups: usize,
    /// Time from the drain notice to the last request at the draining server.
    after_drain: f64,
    /// Maximum work of a cold server relative to its capacity.
    cold_server: f64,
    /// Units above a ceiling.
    over_ceiling: f64,
}

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    let phase = Duration::from_secs(seconds.unwrap_or(10));
    let rows: Vec<Row> = (1..=SEEDS).map(|seed| run_seed(seed, phase)).collect();
    let all = |f: fn(&Row) -> &Vec<f64>| {
        let mut all: Vec<f64> = rows.iter().flat_map(|r| f(r).iter().copied()).collect();
        all.sort_by(f64::total_cmp);
        (
            all.get(all.len() / 2).copied().unwrap_or(f64::NAN),
            all.last().copied().unwrap_or(f64::NAN),
        )
    };
    let sum = |f: fn(&Row) -> usize| rows.iter().map(f).sum::<usize>() as f64;
    let largest = |f: fn(&Row) -> f64| rows.iter().map(f).fold(0.0, f64::max);
    for (name, (p50, worst), limit) in [
        ("join", all(|r| &r.joins), 2.0),
        ("leave", all(|r| &r.leaves), 2.0),
        ("death", all(|r| &r.deaths), 8.0),
        ("views_equal_after_heal", all(|r| &r.convergence), 3.0),
    ] {
        figures.record(&format!("{name}_p50"), p50, "s");
        figures.at_most(&format!("{name}_worst"), worst, "s", limit);
    }
    figures.at_most(
        "accused_at_5_percent",
        sum(|r| r.false_positives[0]),
        "members",
        0.0,
    );
    figures.at_most(
        "accused_at_30_percent",
        sum(|r| r.false_positives[1]),
        "members",
        3.0 * SEEDS as f64,
    );
    figures.at_most(
        "accused_by_a_stopped_one",
        sum(|r| r.false_positives[2]),
        "members",
        0.0,
    );
    figures.at_most(
        "twin_told",
        largest(|r| r.duplicate_name_detection),
        "s",
        4.5,
    );
    figures.record("bytes_each", largest(|r| r.bytes_s), "B/s");
    figures.at_most("messages_each", largest(|r| r.messages_s), "1/s", 440.0);
    figures.record("cpu_each", largest(|r| r.cpu), "of-a-core");
    figures.record("requests", sum(|r| r.sent), "requests");
    figures.at_most("unanswered", sum(|r| r.unanswered), "requests", 0.0);
    figures.at_most(
        "top_ups_at_two_servers",
        sum(|r| r.repeated_top_ups),
        "requests",
        0.0,
    );
    figures.at_most(
        "last_to_a_draining_server",
        largest(|r| r.after_drain),
        "s",
        0.5,
    );
    figures.at_most(
        "work_to_a_cold_server",
        largest(|r| r.cold_server),
        "of-can",
        4.0,
    );
    figures.at_most("over_ceiling", largest(|r| r.over_ceiling), "units", 0.0);
    figures.at_least(
        "served",
        sum(|r| r.served) / sum(|r| r.sent),
        "of-asked",
        0.99,
    );
}

fn run_seed(seed: u64, phase: Duration) -> Row {
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let handle = runtime.handle();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut site = Site::new(handle, seed, (MEMBERS, MEMBERS + 1), SERVERS, |n, _| {
        let me = if n == DUPLICATE { 7 } else { n };
        let more = format!(
            "name = \"n{me}\"\nregion = \"r{}\"\nzone = \"z{}\"\nforget_ms = 60000",
            me % 2,
            me % 4
        );
        (me, more)
    });
    let mut row = Row::default();
    // All but two members start together.
    site.testbed.apply(&TimelineAction::Start {
        who: (0..MEMBERS - 2).collect(),
    });
    (0..MEMBERS - 2).for_each(|n| site.testbed.wait_ready(n));
    site.seconds_until_views_agree(MEMBERS - 2);
    site.route_to_running();
    site.start_load(handle, seed);

    // Two members join, one after the other.
    for n in [MEMBERS - 2, MEMBERS - 1] {
        let since = site.now();
        site.apply(TimelineAction::Start { who: vec![n] });
        row.joins.push(
            site.seconds_until_logged(since, &[n], ": ready", n)
                .unwrap_or(f64::INFINITY),
        );
    }
    // Traffic and CPU time without faults.
    site.seconds_until_views_agree(MEMBERS);
    let (sent, cpus, since) = (site.testbed.relay.sent(), cpu_times(&site), Instant::now());
    pause(phase / 2);
    let seconds = since.elapsed().as_secs_f64();
    for (a, b) in sent.iter().zip(site.testbed.relay.sent()) {
        row.messages_s = row.messages_s.max((b.0 - a.0) as f64 / seconds);
        row.bytes_s = row.bytes_s.max((b.1 - a.1) as f64 / seconds);
    }
    let more = cpus
        .iter()
        .zip(cpu_times(&site))
        .map(|(a, b)| (b.saturating_sub(*a)).as_secs_f64() / seconds);
    row.cpu = more.fold(0.0, f64::max);

    // One member leaves in order, and rejoins.
    let who = 3 + rng.next_u32() as usize % (MEMBERS - 4);
    let since = site.now();
    site.apply(TimelineAction::Leave { who: vec![who] });
    row.leaves.push(
        site.seconds_until_logged(since, &[who], ": draining", MEMBERS - 1)
            .unwrap_or(f64::INFINITY),
    );
    if site
        .seconds_until_logged(since, &[who], ": left", MEMBERS - 1)
        .is_none()
    {
        row.leaves.push(f64::INFINITY);
    }
    site.apply(TimelineAction::Start { who: vec![who] });
    site.seconds_until_views_agree(MEMBERS);

    // One of the first three members is killed, then another one.
    for who in [
        rng.next_u32() as usize % 3,
        3 + rng.next_u32() as usize % (MEMBERS - 3),
    ] {
        let since = site.now();
        site.apply(TimelineAction::Kill { who: vec![who] });
        row.deaths.push(
            site.seconds_until_logged(since, &[who], ": dead", MEMBERS - 1)
                .unwrap_or(f64::INFINITY),
        );
        site.apply(TimelineAction::Start { who: vec![who] });
        row.convergence
            .push(site.seconds_until_views_agree(MEMBERS));
    }

    // Datagram loss.
    for (k, loss, jitter_ms) in [(0, 0.05, 20), (1, 0.3, 200)] {
        let before = site.dead_log_lines().len();
        site.apply(TimelineAction::Links {
            faults: Faults {
                loss,
                jitter_ms,
                ..Faults::default()
            },
        });
        pause(phase);
        let mut false_positives: Vec<String> = site
            .dead_log_lines()
            .split_off(before)
            .into_iter()
            .map(|l| l.2)
            .collect();
        false_positives
            .iter_mut()
            .for_each(|l| l.truncate(l.find(':').unwrap_or(0)));
        false_positives.sort();
        false_positives.dedup();
        row.false_positives[k] += false_positives.len();
        site.apply(TimelineAction::Heal);
        row.convergence
            .push(site.seconds_until_views_agree(MEMBERS));
    }

    // A server drains and a cold one joins while the fleet is partitioned.
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let cold_server = Server::with_meter(
        handle,
        ([127, 0, 0, 1], 0).into(),
        true,
        Some(site.meter.clone()),
    );
    let newcomer = endpoint_entry_with_boot(
        "s-cold",
        cold_server.address,
        99,
        "Ready",
        since.as_millis(),
    );
    site.agent.publish(
        true,
        &endpoint_list(&site.servers, "Draining", &format!(",{newcomer}")),
    );
    let drained = Instant::now();

    // Three partitions; two of them are merged first.
    let mut order: Vec<usize> = (0..MEMBERS).collect();
    (1..MEMBERS)
        .rev()
        .for_each(|k| order.swap(k, rng.next_u32() as usize % (k + 1)));
    let partitions: Vec<Vec<usize>> = order
        .chunks(MEMBERS / 3 + 1)
        .map(<[usize]>::to_vec)
        .collect();
    site.apply(TimelineAction::Split {
        groups: partitions.clone(),
    });
    pause(phase);
    site.apply(TimelineAction::Split {
        groups: vec![
            [partitions[1].clone(), partitions[2].clone()].concat(),
            partitions[0].clone(),
        ],
    });
    pause(phase / 2);
    site.apply(TimelineAction::Heal);
    row.convergence
        .push(site.seconds_until_views_agree(MEMBERS));
    // A link fails in one direction.
    let (a, b) = (order[0], order[1]);
    let before = site.dead_log_lines().len();
    site.apply(TimelineAction::Cut {
        from: vec![a],
        to: vec![b],
    });
    pause(phase / 2);
    row.false_positives[0] += site.dead_log_lines().len() - before;
    site.apply(TimelineAction::Heal);

    // A member is paused: it must not declare others dead when it resumes.
    let who = order[2];
    site.apply(TimelineAction::Stop { who: vec![who] });
    pause(phase);
    let since = site.now();
    site.apply(TimelineAction::Continue { who: vec![who] });
    row.convergence
        .push(site.seconds_until_views_agree(MEMBERS));
    let declared_by_paused = site
        .dead_log_lines()
        .into_iter()
        .filter(|(at, by, _)| *by == who && *at >= since);
    row.false_positives[2] += declared_by_paused.count();

    // A third of the members is killed together and restarted together.
    let third = order[..MEMBERS / 3].to_vec();
    let since = site.now();
    site.apply(TimelineAction::Kill { who: third.clone() });
    row.deaths.push(
        site.seconds_until_logged(since, &third, ": dead", MEMBERS - third.len())
            .unwrap_or(f64::INFINITY),
    );
    site.apply(TimelineAction::Start { who: third });
    row.convergence
        .push(site.seconds_until_views_agree(MEMBERS));

    // Two processes run under one name.
    let since = Instant::now();
    site.testbed.apply(&TimelineAction::Start {
        who: vec![DUPLICATE],
    });
    let is_detected = || {
        !site
            .testbed
            .history
            .log_lines("a later process runs as n7")
            .is_empty()
    };
    while !is_detected() && since.elapsed() < DETECTION_TIMEOUT {
        pause(Duration::from_millis(20));
    }
    row.duplicate_name_detection = if is_detected() {
        since.elapsed().as_secs_f64()
    } else {
        f64::INFINITY
    };
    site.testbed.wait_ready(DUPLICATE);

    let request_counts = site.stop_load(&runtime);
    row.repeated_top_ups = site.meter.top_ups_at_two_servers();
    row.after_drain = site.servers[0]
        .last_request_after(drained)
        .map_or(0.0, |d| d.as_secs_f64());
    row.cold_server = cold_server.max_overload_ratio(Duration::from_secs(3));
    row.over_ceiling = site.units_over_ceiling();
    (row.sent, row.served, row.unanswered) = (
        request_counts.sent,
        request_counts.served,
        request_counts.unanswered,
    );
    if let Some(folder) = std::env::var_os("FROSTHATCH_HISTORY") {
        let file = std::path::Path::new(&folder).join(format!("members-{seed}.jsonl"));
        site.testbed
            .history
            .write(&file)
            .expect("the history file can be written");
    }
    row
}

/// Returns the CPU time used by each process.
fn cpu_times(site: &Site) -> Vec<Duration> {
    site.testbed
        .processes
        .iter()
        .map(|p| p.pid().map_or(Duration::ZERO, cpu))
        .collect()
}
