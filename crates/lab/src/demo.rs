//! `demo`: an endpoint list agent, a shared counter, ten servers and two gateways under load; one server crashes and a cold one
//! joins.

use crate::figures::Figures;
use crate::load::{percentile, Load, Outcome, Sample};
use crate::servers::Server;
use crate::site::{self, pause, Node};
use frosthatch_test_doubles::{endpoint_entry, endpoint_entry_with_boot, Discovery, SharedCounter};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::runtime::Runtime;

/// Load on both gateways together.
const REQUESTS_PER_S: f64 = 600.0;
const DURATION_S: u64 = 15;
const CRASH_AT_S: u64 = 5;
const JOIN_AT_S: u64 = 8;

pub fn run(figures: &mut Figures) {
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let handle = runtime.handle();
    let mut servers: Vec<Server> = (0..10).map(|_| Server::start(handle, false)).collect();
    let list: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(n, s)| endpoint_entry(&format!("s{n}"), s.address, 1, "Ready"))
        .collect();
    let agent = Discovery::new(&list.join(","));
    let counter = SharedCounter::new(1);
    let counter = Some(counter.sides[0]);
    let node = |me| Node {
        gateways: 2,
        me,
        discovery: agent.address,
        counter,
        sockets: 1_024,
        memory_mb: 64,
    };
    let gateways: Vec<_> = (0..2).map(|me| node(me).start(None)).collect();
    figures
        .remark("10 servers, 2 gateways, 1 endpoint list agent, 1 shared counter; 600 requests/s for 15 s\n");
    figures.remark("  s   sent  in time  refused  failed  p50 ms  p99 ms");
    let (load, task) = Load::start(
        handle,
        gateways.iter().map(|g| g.address).collect(),
        REQUESTS_PER_S,
        Duration::from_secs(DURATION_S),
    );
    for second in 0..DURATION_S {
        pause(Duration::from_secs(1));
        let now = Duration::from_secs(second);
        let samples = load.samples.lock().expect("lock is not poisoned").clone();
        let current = samples
            .iter()
            .filter(|s| s.due >= now && s.due < now + Duration::from_secs(1));
        let mut remark = "";
        if second == CRASH_AT_S {
            servers[3].kill();
            remark = "   <- server s3 crashes; the endpoint list drops it 1 s later";
        } else if second == CRASH_AT_S + 1 {
            agent.publish_and_wait(false, &endpoint_entry("s3", servers[3].address, 1, "Gone"));
        } else if second == JOIN_AT_S {
            let server = Server::start(handle, true);
            let ms = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default()
                .as_millis();
            agent.publish_and_wait(
                false,
                &endpoint_entry_with_boot("new", server.address, 1, "Ready", ms),
            );
            servers.push(server);
            remark = "   <- a cold server joins";
        }
        figures.remark(&format!(
            "{second:3}{}{remark}",
            format_row(current.copied())
        ));
    }
    site::until("the load task finishes", || task.is_finished());
    let samples = load.samples.lock().expect("lock is not poisoned").clone();
    figures.remark(&format!("all{}\n", format_row(samples.iter().copied())));
    let unanswered = samples
        .iter()
        .filter(|s| matches!(s.outcome, Outcome::Unanswered | Outcome::Invalid))
        .count();
    figures.at_most(
        "without_one_final_answer",
        unanswered as f64,
        "requests",
        0.0,
    );
    figures.record(
        "served_by_the_new_server",
        servers.last().map_or(0, Server::request_count) as f64,
        "requests",
    );
}

/// Formats the counts and latencies of one table row.
fn format_row(samples: impl Iterator<Item = Sample>) -> String {
    let samples: Vec<Sample> = samples.collect();
    let count = |got: Outcome| samples.iter().filter(|s| s.outcome == got).count();
    let in_time = samples
        .iter()
        .filter(|s| s.outcome == Outcome::Served && s.latency <= s.latency_target)
        .count();
    let mut times: Vec<Duration> = samples
        .iter()
        .filter(|s| s.outcome == Outcome::Served)
        .map(|s| s.latency)
        .collect();
    let (p50, p99) = (percentile(&mut times, 0.5), percentile(&mut times, 0.99));
    let (refused, failed) = (
        count(Outcome::Refused),
        count(Outcome::Failed) + count(Outcome::Unanswered),
    );
    format!(
        "{:7}{in_time:9}{refused:9}{failed:8}{p50:8.1}{p99:8.1}",
        samples.len()
    )
}
