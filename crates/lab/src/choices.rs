//! `choices`: twelve gateways that choose among sixty servers, each by itself, by each other's word and not: what bad servers cost, what is
//! covered when gateways are gone, what one whose own network is bad can do, and how evenly servers are used.

use crate::figures::Figures;
use crate::fleet_site::{endpoint_list, Site};
use crate::servers::{Mode, Server};
use crate::site::pause;
use crate::testbed::processes::call_console;
use crate::testbed::TimelineAction;
use frosthatch_load_balancing::fairness::{jain_index, min_to_mean_ratio};
use frosthatch_test_doubles::{endpoint_entry, endpoint_entry_with_boot, Discovery};
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::runtime::Runtime;

const ALL: usize = 12;
const SERVERS: usize = 60;
/// It finds every server dead.
const ACCUSER: usize = 11;
const WITHIN: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Row {
    /// Requests that a server got that failed at once, in its first 3 s and after, of all gateways; and one that was slow.
    found_out: usize,
    kept_out: usize,
    slow: usize,
    /// From when it is well again until it gets requests from as many as before.
    back: f64,
    /// From a third's death until all that are left deal servers out among themselves, and servers that got nothing in 3 s then.
    covered: f64,
    uncovered: usize,
    /// Servers left alone by the others while one accuses all.
    taken_out: usize,
    /// How evenly servers are used in health, in two halves that do not hear each other, and by four.
    even: [(f64, f64); 3],
    cold: f64,
    asked: usize,
    served: usize,
    unanswered: usize,
    twice: usize,
}

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    let lasts = Duration::from_secs(seconds.unwrap_or(10));
    for (name, with) in [("with", true), ("without", false)] {
        let r = one(with, lasts);
        let name = |what: &str| format!("{name}_{what}");
        let bound = |limit: f64| if with { limit } else { f64::INFINITY };
        figures.record(
            &name("to_a_failing_server_in_3_s"),
            r.found_out as f64,
            "requests",
        );
        let turns = (lasts.as_secs_f64() / 4.0 + 2.0).ceil();
        figures.at_most(
            &name("to_it_after"),
            r.kept_out as f64,
            "requests",
            bound(turns),
        );
        figures.record(&name("to_a_slow_server"), r.slow as f64, "requests");
        figures.at_most(&name("back_after"), r.back, "s", bound(10.0));
        figures.at_most(&name("third_gone_dealt_anew"), r.covered, "s", bound(2.5));
        figures.at_most(
            &name("servers_without_requests_then"),
            r.uncovered as f64,
            "servers",
            bound(0.0),
        );
        figures.at_most(
            &name("taken_out_by_one_that_accuses_all"),
            r.taken_out as f64,
            "servers",
            0.0,
        );
        for (k, part) in ["in_health", "in_two_halves", "by_four"].iter().enumerate() {
            figures.at_least(
                &name(&format!("jain_{part}")),
                r.even[k].0,
                "of-1",
                if with { 0.8 } else { 0.0 },
            );
            figures.record(&name(&format!("least_used_{part}")), r.even[k].1, "of-mean");
        }
        figures.at_most(&name("work_to_a_cold_server"), r.cold, "of-can", 4.0);
        figures.record(&name("requests"), r.asked as f64, "requests");
        figures.at_least(
            &name("served"),
            r.served as f64 / r.asked as f64,
            "of-asked",
            0.98,
        );
        figures.at_most(&name("unanswered"), r.unanswered as f64, "requests", 0.0);
        figures.at_most(
            &name("top_ups_at_two_servers"),
            r.twice as f64,
            "requests",
            0.0,
        );
    }
}

/// What each running gateway says it goes by: gateways, servers used, servers left alone.
fn says(site: &Site) -> Vec<Option<[u64; 3]>> {
    let of = |console: SocketAddr| {
        let json: Value =
            serde_json::from_str(&call_console(console, "GET", "/fleet", "")?.1).ok()?;
        let figure = |name: &str| json["choices"][name].as_u64();
        Some([
            figure("gateways")?,
            figure("servers_used")?,
            figure("servers_out")?,
        ])
    };
    let running = site.testbed.processes.iter().filter(|p| p.is_running());
    running.map(|p| p.console().and_then(of)).collect()
}

fn until(holds: impl Fn() -> bool) -> f64 {
    let since = Instant::now();
    while !holds() {
        if since.elapsed() > WITHIN {
            return f64::INFINITY;
        }
        pause(Duration::from_millis(20));
    }
    since.elapsed().as_secs_f64()
}

/// How evenly all servers are used for so long.
fn evenness(site: &Site, lasts: Duration) -> (f64, f64) {
    let since = Instant::now();
    pause(lasts);
    let got: Vec<f64> = site
        .servers
        .iter()
        .map(|s| s.requests_since(since) as f64)
        .collect();
    (jain_index(&got), min_to_mean_ratio(&got))
}

fn one(with: bool, lasts: Duration) -> Row {
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let handle = runtime.handle();
    // Nobody listens there: its list tells other addresses under the names of all.
    let nobody = TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a loopback port can be bound");
    let wrong: Vec<String> = (0..SERVERS)
        .map(|n| endpoint_entry(&format!("s{n}"), nobody, n as u64, "Ready"))
        .collect();
    let blind = Discovery::new(&wrong.join(","));
    let of = |n: usize| (n, format!("name = \"n{n}\"\nchoices = {with}\n"));
    let at = |n| (n == ACCUSER).then_some(blind.address);
    let mut site = Site::with_agents(handle, 1, (ALL, ALL), SERVERS, |n, _| of(n), at);
    let mut row = Row::default();
    let dealt = |site: &Site, gateways: u64| {
        until(|| {
            !with
                || says(site)
                    .iter()
                    .all(|s| s.is_some_and(|s| s[0] == gateways))
        })
    };

    // Four, then all but the one that finds every server dead.
    site.apply(TimelineAction::Start {
        who: (0..4).collect(),
    });
    site.seconds_until_views_agree(4);
    dealt(&site, 4);
    site.start_load(handle, 1);
    pause(Duration::from_secs(1));
    row.even[2] = evenness(&site, lasts);
    site.apply(TimelineAction::Start {
        who: (4..ACCUSER).collect(),
    });
    site.seconds_until_views_agree(ACCUSER);
    dealt(&site, ACCUSER as u64);
    pause(Duration::from_secs(1));
    row.even[0] = evenness(&site, lasts);

    // One fails everything at once, and is well again.
    let since = Instant::now();
    site.servers[7].set(Mode::Failing);
    pause(Duration::from_secs(3));
    row.found_out = site.servers[7].requests_since(since);
    let since = Instant::now();
    pause(lasts);
    row.kept_out = site.servers[7].requests_since(since);
    site.servers[7].set(Mode::Normal);
    row.back =
        until(|| site.servers[7].requests_since(Instant::now() - Duration::from_secs(1)) >= 3);
    // One is slow.
    let since = Instant::now();
    site.servers[9].set(Mode::Slow);
    pause(lasts);
    row.slow = site.servers[9].requests_since(since);
    site.servers[9].set(Mode::Normal);

    // Two halves that do not hear each other go on between them.
    let halves = vec![(0..6).collect(), (6..ALL).collect()];
    site.apply(TimelineAction::Split { groups: halves });
    pause(Duration::from_secs(4));
    row.even[1] = evenness(&site, lasts);
    site.apply(TimelineAction::Heal);
    site.seconds_until_views_agree(ACCUSER);
    dealt(&site, ACCUSER as u64);

    // A third dies at once.
    site.apply(TimelineAction::Kill { who: vec![0, 4, 8] });
    row.covered = dealt(&site, ACCUSER as u64 - 3);
    row.uncovered = {
        let since = Instant::now();
        pause(Duration::from_secs(3));
        site.servers
            .iter()
            .filter(|s| s.requests_since(since) == 0)
            .count()
    };
    site.apply(TimelineAction::Start { who: vec![0, 4, 8] });
    site.seconds_until_views_agree(ACCUSER);

    // One that reaches no server: clients go to the others, it tells what it tells.
    site.testbed
        .apply(&TimelineAction::Start { who: vec![ACCUSER] });
    site.seconds_until_views_agree(ALL);
    let at = site.testbed.processes[ACCUSER].address().expect("it runs");
    let end = Instant::now() + lasts;
    while Instant::now() < end {
        for n in 0..40_u64 {
            let ask = frosthatch_test_doubles::ClientRequest::check()
                .with_header("X-Tier", "mellem")
                .with_header("X-Trace-Id", &format!("{n:016x}"));
            let _ = frosthatch_test_doubles::Client::at(at).exchange(&ask.to_text());
        }
        let others = says(&site)
            .into_iter()
            .enumerate()
            .filter(|(n, _)| *n != ACCUSER);
        let most = others.filter_map(|(_, s)| s.map(|s| s[2] as usize)).max();
        row.taken_out = row.taken_out.max(most.unwrap_or(0));
        pause(Duration::from_millis(100));
    }
    site.testbed
        .apply(&TimelineAction::Kill { who: vec![ACCUSER] });

    // A cold one comes.
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let cold = Server::with_meter(
        handle,
        ([127, 0, 0, 1], 0).into(),
        true,
        Some(site.meter.clone()),
    );
    let newcomer =
        endpoint_entry_with_boot("s-cold", cold.address, 999, "Ready", since.as_millis());
    site.agent.publish(
        true,
        &endpoint_list(&site.servers, "Ready", &format!(",{newcomer}")),
    );
    pause(lasts);
    row.cold = cold.max_overload_ratio(Duration::from_secs(3));

    let request_counts = site.stop_load(&runtime);
    (row.asked, row.served, row.unanswered) = (
        request_counts.sent,
        request_counts.served,
        request_counts.unanswered,
    );
    row.twice = site.meter.top_ups_at_two_servers();
    row
}
