//! `choices`: twelve gateways and sixty servers, with and without exchanged health reports. Measures the requests lost to bad
//! servers, the servers without requests after gateways crash, the influence of a gateway whose own network is faulty, and how
//! evenly servers are used.

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

const GATEWAYS: usize = 12;
const SERVERS: usize = 60;
/// Index of the gateway that reaches no server and so reports all of them as failing.
const UNREACHING_GATEWAY: usize = 11;
/// Bound on waiting for a condition in [`until`]: recovery of a server, or reassignment of servers.
const STATE_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Default)]
/// Results of one run.
struct Row {
    /// Requests of all gateways to a server that fails at once: in its first 3 s.
    failing_first_3_s: usize,
    /// Requests to the failing server after its first 3 s.
    failing_later: usize,
    /// Requests to a slow server.
    slow_requests: usize,
    /// Seconds from the failing server's recovery until it receives at least 3 requests/s again.
    recovery_s: f64,
    /// Seconds from the crash of a third of the gateways until the others have reassigned all servers among themselves.
    reassignment_s: f64,
    /// Servers without requests in the 3 s after this reassignment.
    servers_without_requests: usize,
    /// Maximum number of servers that another gateway avoids while one reports all servers as failing.
    servers_avoided: usize,
    /// Jain index and least-to-mean ratio of the servers' use: without faults, in two partitions, and by four gateways.
    evenness: [(f64, f64); 3],
    /// Maximum work of a cold server relative to its capacity.
    cold: f64,
    sent: usize,
    served: usize,
    unanswered: usize,
    /// Top-ups that ran at two servers.
    repeated_top_ups: usize,
}

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    let phase = Duration::from_secs(seconds.unwrap_or(10));
    for (name, shares_health) in [("with", true), ("without", false)] {
        let r = run_case(shares_health, phase);
        let name = |what: &str| format!("{name}_{what}");
        let limit_if_shared = |limit: f64| if shares_health { limit } else { f64::INFINITY };
        figures.record(
            &name("to_a_failing_server_in_3_s"),
            r.failing_first_3_s as f64,
            "requests",
        );
        let max_probes = (phase.as_secs_f64() / 4.0 + 2.0).ceil();
        figures.at_most(
            &name("to_it_after"),
            r.failing_later as f64,
            "requests",
            limit_if_shared(max_probes),
        );
        figures.record(
            &name("to_a_slow_server"),
            r.slow_requests as f64,
            "requests",
        );
        figures.at_most(
            &name("back_after"),
            r.recovery_s,
            "s",
            limit_if_shared(10.0),
        );
        figures.at_most(
            &name("third_gone_dealt_anew"),
            r.reassignment_s,
            "s",
            limit_if_shared(2.5),
        );
        figures.at_most(
            &name("servers_without_requests_then"),
            r.servers_without_requests as f64,
            "servers",
            limit_if_shared(0.0),
        );
        figures.at_most(
            &name("taken_out_by_one_that_accuses_all"),
            r.servers_avoided as f64,
            "servers",
            0.0,
        );
        for (k, case) in ["in_health", "in_two_halves", "by_four"].iter().enumerate() {
            figures.at_least(
                &name(&format!("jain_{case}")),
                r.evenness[k].0,
                "of-1",
                if shares_health { 0.8 } else { 0.0 },
            );
            figures.record(
                &name(&format!("least_used_{case}")),
                r.evenness[k].1,
                "of-mean",
            );
        }
        figures.at_most(&name("work_to_a_cold_server"), r.cold, "of-can", 4.0);
        figures.record(&name("requests"), r.sent as f64, "requests");
        figures.at_least(
            &name("served"),
            r.served as f64 / r.sent as f64,
            "of-asked",
            0.98,
        );
        figures.at_most(&name("unanswered"), r.unanswered as f64, "requests", 0.0);
        figures.at_most(
            &name("top_ups_at_two_servers"),
            r.repeated_top_ups as f64,
            "requests",
            0.0,
        );
    }
}

/// Returns what each running gateway reports of its choices: gateways, servers used, servers avoided.
fn reported_choices(site: &Site) -> Vec<Option<[u64; 3]>> {
    let choices_of = |console: SocketAddr| {
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
    running.map(|p| p.console().and_then(choices_of)).collect()
}

/// Returns the seconds until `holds` returns true, or infinity after [`STATE_TIMEOUT`].
fn until(holds: impl Fn() -> bool) -> f64 {
    let since = Instant::now();
    while !holds() {
        if since.elapsed() > STATE_TIMEOUT {
            return f64::INFINITY;
        }
        pause(Duration::from_millis(20));
    }
    since.elapsed().as_secs_f64()
}

/// Returns the Jain index and the least-to-mean ratio of the servers' requests during `phase`.
fn evenness(site: &Site, phase: Duration) -> (f64, f64) {
    let since = Instant::now();
    pause(phase);
    let requests: Vec<f64> = site
        .servers
        .iter()
        .map(|s| s.requests_since(since) as f64)
        .collect();
    (jain_index(&requests), min_to_mean_ratio(&requests))
}

fn run_case(shares_health: bool, phase: Duration) -> Row {
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let handle = runtime.handle();
    // The list of the gateway that reaches no server has the names of all servers with an address on which nothing listens.
    let closed_address = TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a loopback port can be bound");
    let wrong_entries: Vec<String> = (0..SERVERS)
        .map(|n| endpoint_entry(&format!("s{n}"), closed_address, n as u64, "Ready"))
        .collect();
    let wrong_agent = Discovery::new(&wrong_entries.join(","));
    let config_of = |n: usize| (n, format!("name = \"n{n}\"\nchoices = {shares_health}\n"));
    let at = |n| (n == UNREACHING_GATEWAY).then_some(wrong_agent.address);
    let mut site = Site::with_agents(
        handle,
        1,
        (GATEWAYS, GATEWAYS),
        SERVERS,
        |n, _| config_of(n),
        at,
    );
    let mut row = Row::default();
    let seconds_until_reassigned = |site: &Site, gateways: u64| {
        until(|| {
            !shares_health
                || reported_choices(site)
                    .iter()
                    .all(|s| s.is_some_and(|s| s[0] == gateways))
        })
    };

    // Measures evenness with four gateways, then with all but the one that reaches no server.
    site.apply(TimelineAction::Start {
        who: (0..4).collect(),
    });
    site.seconds_until_views_agree(4);
    seconds_until_reassigned(&site, 4);
    site.start_load(handle, 1);
    pause(Duration::from_secs(1));
    row.evenness[2] = evenness(&site, phase);
    site.apply(TimelineAction::Start {
        who: (4..UNREACHING_GATEWAY).collect(),
    });
    site.seconds_until_views_agree(UNREACHING_GATEWAY);
    seconds_until_reassigned(&site, UNREACHING_GATEWAY as u64);
    pause(Duration::from_secs(1));
    row.evenness[0] = evenness(&site, phase);

    // One server fails all requests at once, then recovers.
    let since = Instant::now();
    site.servers[7].set_mode(Mode::Failing);
    pause(Duration::from_secs(3));
    row.failing_first_3_s = site.servers[7].requests_since(since);
    let since = Instant::now();
    pause(phase);
    row.failing_later = site.servers[7].requests_since(since);
    site.servers[7].set_mode(Mode::Normal);
    row.recovery_s =
        until(|| site.servers[7].requests_since(Instant::now() - Duration::from_secs(1)) >= 3);
    // One server is slow.
    let since = Instant::now();
    site.servers[9].set_mode(Mode::Slow);
    pause(phase);
    row.slow_requests = site.servers[9].requests_since(since);
    site.servers[9].set_mode(Mode::Normal);

    // Two partitions of the gateways continue to serve.
    let halves = vec![(0..6).collect(), (6..GATEWAYS).collect()];
    site.apply(TimelineAction::Split { groups: halves });
    pause(Duration::from_secs(4));
    row.evenness[1] = evenness(&site, phase);
    site.apply(TimelineAction::Heal);
    site.seconds_until_views_agree(UNREACHING_GATEWAY);
    seconds_until_reassigned(&site, UNREACHING_GATEWAY as u64);

    // A third of the gateways is killed at once.
    site.apply(TimelineAction::Kill { who: vec![0, 4, 8] });
    row.reassignment_s = seconds_until_reassigned(&site, UNREACHING_GATEWAY as u64 - 3);
    row.servers_without_requests = {
        let since = Instant::now();
        pause(Duration::from_secs(3));
        site.servers
            .iter()
            .filter(|s| s.requests_since(since) == 0)
            .count()
    };
    site.apply(TimelineAction::Start { who: vec![0, 4, 8] });
    site.seconds_until_views_agree(UNREACHING_GATEWAY);

    // The gateway that reaches no server runs and reports its failures; the load goes to the other gateways.
    site.testbed.apply(&TimelineAction::Start {
        who: vec![UNREACHING_GATEWAY],
    });
    site.seconds_until_views_agree(GATEWAYS);
    let at = site.testbed.processes[UNREACHING_GATEWAY]
        .address()
        .expect("a ready process has an address");
    let end = Instant::now() + phase;
    while Instant::now() < end {
        for n in 0..40_u64 {
            let request = frosthatch_test_doubles::ClientRequest::check()
                .with_header("X-Tier", "mellem")
                .with_header("X-Trace-Id", &format!("{n:016x}"));
            let _ = frosthatch_test_doubles::Client::at(at).exchange(&request.to_text());
        }
        let others = reported_choices(&site)
            .into_iter()
            .enumerate()
            .filter(|(n, _)| *n != UNREACHING_GATEWAY);
        let max_avoided = others.filter_map(|(_, s)| s.map(|s| s[2] as usize)).max();
        row.servers_avoided = row.servers_avoided.max(max_avoided.unwrap_or(0));
        pause(Duration::from_millis(100));
    }
    site.testbed.apply(&TimelineAction::Kill {
        who: vec![UNREACHING_GATEWAY],
    });

    // A cold server joins.
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
    pause(phase);
    row.cold = cold.max_overload_ratio(Duration::from_secs(3));

    let request_counts = site.stop_load(&runtime);
    (row.sent, row.served, row.unanswered) = (
        request_counts.sent,
        request_counts.served,
        request_counts.unanswered,
    );
    row.repeated_top_ups = site.meter.top_ups_at_two_servers();
    row
}
