//! `members`: sixteen gateways under load while they join, leave, die, are stopped, cut off and replaced, by five seeds: how soon all
//! know, who is accused wrongly, what it costs on the network, and whether clients see any of it.

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

const ALL: usize = 16;
/// The place of a second process under another's name.
const TWIN: usize = ALL;
const SEEDS: u64 = 5;

/// What one seed showed.
#[derive(Default)]
struct Row {
    joins: Vec<f64>,
    leaves: Vec<f64>,
    deaths: Vec<f64>,
    /// Living ones held dead while 5 and while 30 in 100 datagrams are lost, and by one that was stopped.
    accused: [usize; 3],
    /// From a heal to equal views: parts, stopped ones, a third killed and started, all.
    agreed: Vec<f64>,
    bytes_s: f64,
    messages_s: f64,
    cpu: f64,
    asked: usize,
    unanswered: usize,
    served: usize,
    twin_told: f64,
    /// Top-ups that ran at two servers; when the last request came to a server that drains, in seconds after its news; most work to
    /// a cold one beside what it could do; units above a ceiling.
    twice: usize,
    after_drain: f64,
    cold: f64,
    over_ceiling: f64,
}

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    let lasts = Duration::from_secs(seconds.unwrap_or(10));
    let rows: Vec<Row> = (1..=SEEDS).map(|seed| one(seed, lasts)).collect();
    let all = |f: fn(&Row) -> &Vec<f64>| {
        let mut all: Vec<f64> = rows.iter().flat_map(|r| f(r).iter().copied()).collect();
        all.sort_by(f64::total_cmp);
        (
            all.get(all.len() / 2).copied().unwrap_or(f64::NAN),
            all.last().copied().unwrap_or(f64::NAN),
        )
    };
    let sum = |f: fn(&Row) -> usize| rows.iter().map(f).sum::<usize>() as f64;
    let most = |f: fn(&Row) -> f64| rows.iter().map(f).fold(0.0, f64::max);
    for (name, (p50, worst), limit) in [
        ("join", all(|r| &r.joins), 2.0),
        ("leave", all(|r| &r.leaves), 2.0),
        ("death", all(|r| &r.deaths), 8.0),
        ("views_equal_after_heal", all(|r| &r.agreed), 3.0),
    ] {
        figures.record(&format!("{name}_p50"), p50, "s");
        figures.at_most(&format!("{name}_worst"), worst, "s", limit);
    }
    figures.at_most(
        "accused_at_5_percent",
        sum(|r| r.accused[0]),
        "members",
        0.0,
    );
    figures.at_most(
        "accused_at_30_percent",
        sum(|r| r.accused[1]),
        "members",
        3.0 * SEEDS as f64,
    );
    figures.at_most(
        "accused_by_a_stopped_one",
        sum(|r| r.accused[2]),
        "members",
        0.0,
    );
    figures.at_most("twin_told", most(|r| r.twin_told), "s", 4.5);
    figures.record("bytes_each", most(|r| r.bytes_s), "B/s");
    figures.at_most("messages_each", most(|r| r.messages_s), "1/s", 440.0);
    figures.record("cpu_each", most(|r| r.cpu), "of-a-core");
    figures.record("requests", sum(|r| r.asked), "requests");
    figures.at_most("unanswered", sum(|r| r.unanswered), "requests", 0.0);
    figures.at_most("top_ups_at_two_servers", sum(|r| r.twice), "requests", 0.0);
    figures.at_most(
        "last_to_a_draining_server",
        most(|r| r.after_drain),
        "s",
        0.5,
    );
    figures.at_most("work_to_a_cold_server", most(|r| r.cold), "of-can", 4.0);
    figures.at_most("over_ceiling", most(|r| r.over_ceiling), "units", 0.0);
    figures.at_least(
        "served",
        sum(|r| r.served) / sum(|r| r.asked),
        "of-asked",
        0.99,
    );
}

fn one(seed: u64, lasts: Duration) -> Row {
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let handle = runtime.handle();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut site = Site::new(handle, seed, (ALL, ALL + 1), SERVERS, |n, _| {
        let me = if n == TWIN { 7 } else { n };
        let more = format!(
            "name = \"n{me}\"\nregion = \"r{}\"\nzone = \"z{}\"\nforget_ms = 60000",
            me % 2,
            me % 4
        );
        (me, more)
    });
    let mut row = Row::default();
    // All but two at once.
    site.testbed.apply(&TimelineAction::Start {
        who: (0..ALL - 2).collect(),
    });
    (0..ALL - 2).for_each(|n| site.testbed.wait_ready(n));
    site.seconds_until_views_agree(ALL - 2);
    site.route_to_running();
    site.start_load(handle, seed);

    // Joins.
    for n in [ALL - 2, ALL - 1] {
        let since = site.now();
        site.apply(TimelineAction::Start { who: vec![n] });
        row.joins.push(
            site.seconds_until_logged(since, &[n], ": ready", n)
                .unwrap_or(f64::INFINITY),
        );
    }
    // In health, what it costs.
    site.seconds_until_views_agree(ALL);
    let (sent, cpus, since) = (site.testbed.relay.sent(), used(&site), Instant::now());
    pause(lasts / 2);
    let seconds = since.elapsed().as_secs_f64();
    for (a, b) in sent.iter().zip(site.testbed.relay.sent()) {
        row.messages_s = row.messages_s.max((b.0 - a.0) as f64 / seconds);
        row.bytes_s = row.bytes_s.max((b.1 - a.1) as f64 / seconds);
    }
    let more = cpus
        .iter()
        .zip(used(&site))
        .map(|(a, b)| (b.saturating_sub(*a)).as_secs_f64() / seconds);
    row.cpu = more.fold(0.0, f64::max);

    // One leaves in good order, and comes back.
    let who = 3 + rng.next_u32() as usize % (ALL - 4);
    let since = site.now();
    site.apply(TimelineAction::Leave { who: vec![who] });
    row.leaves.push(
        site.seconds_until_logged(since, &[who], ": draining", ALL - 1)
            .unwrap_or(f64::INFINITY),
    );
    if site
        .seconds_until_logged(since, &[who], ": left", ALL - 1)
        .is_none()
    {
        row.leaves.push(f64::INFINITY);
    }
    site.apply(TimelineAction::Start { who: vec![who] });
    site.seconds_until_views_agree(ALL);

    // One dies; a seed, with the first of them.
    for who in [
        rng.next_u32() as usize % 3,
        3 + rng.next_u32() as usize % (ALL - 3),
    ] {
        let since = site.now();
        site.apply(TimelineAction::Kill { who: vec![who] });
        row.deaths.push(
            site.seconds_until_logged(since, &[who], ": dead", ALL - 1)
                .unwrap_or(f64::INFINITY),
        );
        site.apply(TimelineAction::Start { who: vec![who] });
        row.agreed.push(site.seconds_until_views_agree(ALL));
    }

    // Loss.
    for (k, loss, jitter_ms) in [(0, 0.05, 20), (1, 0.3, 200)] {
        let before = site.dead_log_lines().len();
        site.apply(TimelineAction::Links {
            faults: Faults {
                loss,
                jitter_ms,
                ..Faults::default()
            },
        });
        pause(lasts);
        let mut accused: Vec<String> = site
            .dead_log_lines()
            .split_off(before)
            .into_iter()
            .map(|l| l.2)
            .collect();
        accused
            .iter_mut()
            .for_each(|l| l.truncate(l.find(':').unwrap_or(0)));
        accused.sort();
        accused.dedup();
        row.accused[k] += accused.len();
        site.apply(TimelineAction::Heal);
        row.agreed.push(site.seconds_until_views_agree(ALL));
    }

    // A server drains and a cold one comes, while parts of the fleet do not hear each other.
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let cold = Server::with_meter(
        handle,
        ([127, 0, 0, 1], 0).into(),
        true,
        Some(site.meter.clone()),
    );
    let newcomer = endpoint_entry_with_boot("s-cold", cold.address, 99, "Ready", since.as_millis());
    site.agent.publish(
        true,
        &endpoint_list(&site.servers, "Draining", &format!(",{newcomer}")),
    );
    let drained = Instant::now();

    // Three parts, healed in another order.
    let mut order: Vec<usize> = (0..ALL).collect();
    (1..ALL)
        .rev()
        .for_each(|k| order.swap(k, rng.next_u32() as usize % (k + 1)));
    let parts: Vec<Vec<usize>> = order.chunks(ALL / 3 + 1).map(<[usize]>::to_vec).collect();
    site.apply(TimelineAction::Split {
        groups: parts.clone(),
    });
    pause(lasts);
    site.apply(TimelineAction::Split {
        groups: vec![
            [parts[1].clone(), parts[2].clone()].concat(),
            parts[0].clone(),
        ],
    });
    pause(lasts / 2);
    site.apply(TimelineAction::Heal);
    row.agreed.push(site.seconds_until_views_agree(ALL));
    // One way only.
    let (a, b) = (order[0], order[1]);
    let before = site.dead_log_lines().len();
    site.apply(TimelineAction::Cut {
        from: vec![a],
        to: vec![b],
    });
    pause(lasts / 2);
    row.accused[0] += site.dead_log_lines().len() - before;
    site.apply(TimelineAction::Heal);

    // Stopped for a while: nobody is accused by it.
    let who = order[2];
    site.apply(TimelineAction::Stop { who: vec![who] });
    pause(lasts);
    let since = site.now();
    site.apply(TimelineAction::Continue { who: vec![who] });
    row.agreed.push(site.seconds_until_views_agree(ALL));
    let by_it = site
        .dead_log_lines()
        .into_iter()
        .filter(|(at, by, _)| *by == who && *at >= since);
    row.accused[2] += by_it.count();

    // A third killed at once and started at once.
    let third = order[..ALL / 3].to_vec();
    let since = site.now();
    site.apply(TimelineAction::Kill { who: third.clone() });
    row.deaths.push(
        site.seconds_until_logged(since, &third, ": dead", ALL - third.len())
            .unwrap_or(f64::INFINITY),
    );
    site.apply(TimelineAction::Start { who: third });
    row.agreed.push(site.seconds_until_views_agree(ALL));

    // Two under one name.
    let since = Instant::now();
    site.testbed
        .apply(&TimelineAction::Start { who: vec![TWIN] });
    let told = || {
        !site
            .testbed
            .history
            .log_lines("a later process runs as n7")
            .is_empty()
    };
    while !told() && since.elapsed() < DETECTION_TIMEOUT {
        pause(Duration::from_millis(20));
    }
    row.twin_told = if told() {
        since.elapsed().as_secs_f64()
    } else {
        f64::INFINITY
    };
    site.testbed.wait_ready(TWIN);

    let request_counts = site.stop_load(&runtime);
    row.twice = site.meter.top_ups_at_two_servers();
    row.after_drain = site.servers[0]
        .last_request_after(drained)
        .map_or(0.0, |d| d.as_secs_f64());
    row.cold = cold.max_overload_ratio(Duration::from_secs(3));
    row.over_ceiling = site.units_over_ceiling();
    (row.asked, row.served, row.unanswered) = (
        request_counts.sent,
        request_counts.served,
        request_counts.unanswered,
    );
    if let Some(folder) = std::env::var_os("FROSTHATCH_HISTORY") {
        let file = std::path::Path::new(&folder).join(format!("members-{seed}.jsonl"));
        site.testbed
            .history
            .write(&file)
            .expect("the history is written");
    }
    row
}

fn used(site: &Site) -> Vec<Duration> {
    site.testbed
        .processes
        .iter()
        .map(|p| p.pid().map_or(Duration::ZERO, cpu))
        .collect()
}
