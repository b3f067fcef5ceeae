//! `dns-sd`: two gateways discover their servers by DNS-SD records that change 30 times under load, first with polling, then with
//! push notifications.

use crate::figures::Figures;
use crate::load::{percentile, Load, Outcome};
use crate::servers::Server;
use crate::site::{self, pause, Node, OperatorFile};
use frosthatch_test_doubles::{Resolver, SharedCounter, Zone};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

const SERVICE: &str = "_topup._tcp.example.org";
const REQUESTS_PER_S: f64 = 500.0;
const SERVERS: usize = 10;
const CHANGES: u32 = 30;
/// Time after the removal of a server's records within which it may still receive requests.
const REMOVAL_GRACE: Duration = Duration::from_millis(500);
/// Maximum work that a cold server may receive within [`COLD_OVERLOAD_WINDOW`], as a multiple of its capacity.
const MAX_COLD_OVERLOAD: f64 = 4.0;
const COLD_OVERLOAD_WINDOW: Duration = Duration::from_secs(3);

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    let length = Duration::from_secs(seconds.unwrap_or(60));
    for push in [false, true] {
        run_case(push, length, figures);
    }
}

fn run_case(push: bool, length: Duration, figures: &mut Figures) {
    let mode = if push { "push" } else { "poll" };
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let handle = runtime.handle();
    let mut zone = Zone::new("example.org");
    // `listed` holds the listed servers, oldest first; `removed` those whose records were removed, and when.
    let mut listed: Vec<(String, Server)> = Vec::new();
    let mut removed: Vec<(String, Server, Instant)> = Vec::new();
    for n in 0..SERVERS {
        let (name, server) = (format!("s{n}"), Server::start(handle, false));
        zone.add_instance(SERVICE, &name, server.address, &["zone=hall-a", "cell=1"]);
        listed.push((name, server));
    }
    zone.take_changes();
    let resolver = Resolver::new(zone);
    let mut text = format!(
        "[membership]\nsource = \"dns-sd\"\n[dns-sd]\nservices = [\"{SERVICE}\"]\nresolvers = [\"{}\"]\n",
        resolver.address
    );
    if push {
        text += &format!("[dns-sd.push]\nservers = [\"{}\"]\n", resolver.push);
    }
    let operator = OperatorFile::new(&text);
    let counter = SharedCounter::new(1).sides[0];
    let unused_address = "127.0.0.1:9".parse().expect("the literal address is valid");
    let node = |me| Node {
        gateways: 2,
        me,
        discovery: unused_address,
        counter: Some(counter),
        sockets: 1_024,
        memory_mb: 64,
    };
    let gateways: Vec<_> = (0..2)
        .map(|me| node(me).start(Some(operator.path())))
        .collect();
    if push {
        site::until("both gateways subscribe", || resolver.push_sessions() >= 2);
        pause(Duration::from_secs(1));
    }
    let addresses = gateways.iter().map(|g| g.address).collect();
    let (load, task) = Load::start(handle, addresses, REQUESTS_PER_S, length);
    let change_interval = length / (CHANGES + 2);
    for n in 0..CHANGES {
        pause(change_interval);
        if n % 2 == 0 {
            let (name, server) = (format!("new{n}"), Server::start(handle, true));
            resolver.change_zone(|z| {
                z.add_instance(SERVICE, &name, server.address, &["zone=hall-a", "cell=1"])
            });
            listed.push((name, server));
        } else {
            let (name, server) = listed.remove(0);
            let changed = resolver.change_zone(|z| z.remove_instance(SERVICE, &name));
            removed.push((name, server, changed));
        }
    }
    site::until("the load task finishes", || task.is_finished());
    let queries = resolver.queries() as f64 / length.as_secs_f64() / 2.0;

    let mut last_requests_after_removal: Vec<Duration> = removed
        .iter()
        .map(|(_, s, since)| s.last_request_after(*since).unwrap_or_default())
        .collect();
    let worst = last_requests_after_removal
        .iter()
        .max()
        .copied()
        .unwrap_or_default();
    let grace = REMOVAL_GRACE.as_secs_f64() * 1e3;
    figures.at_most(
        &format!("{mode}_latest_send_to_removed"),
        worst.as_secs_f64() * 1e3,
        "ms",
        grace,
    );
    figures.record(
        &format!("{mode}_median_last_send_to_removed"),
        percentile(&mut last_requests_after_removal, 0.5),
        "ms",
    );
    let all = || {
        listed
            .iter()
            .map(|(_, s)| s)
            .chain(removed.iter().map(|(_, s, _)| s))
    };
    let multiple = all()
        .map(|s| s.max_overload_ratio(COLD_OVERLOAD_WINDOW))
        .fold(0.0, f64::max);
    figures.at_most(
        &format!("{mode}_most_work_to_cold"),
        multiple,
        "times",
        MAX_COLD_OVERLOAD,
    );
    // A new server without requests would satisfy `MAX_COLD_OVERLOAD`, too.
    let max_requests_of_new = listed
        .iter()
        .filter(|(n, _)| n.starts_with("new"))
        .map(|(_, s)| s.request_count())
        .max();
    figures.at_least(
        &format!("{mode}_most_served_by_a_new_one"),
        max_requests_of_new.unwrap_or(0) as f64,
        "requests",
        20.0,
    );
    let samples = load.samples.lock().expect("lock is not poisoned");
    let count = |is_counted: &dyn Fn(Outcome) -> bool| {
        samples.iter().filter(|s| is_counted(s.outcome)).count() as f64
    };
    figures.record(
        &format!("{mode}_requests"),
        samples.len() as f64,
        "requests",
    );
    let unanswered = count(&|g| matches!(g, Outcome::Unanswered | Outcome::Invalid));
    figures.at_most(
        &format!("{mode}_without_one_final_answer"),
        unanswered,
        "requests",
        0.0,
    );
    let in_time = samples
        .iter()
        .filter(|s| s.outcome == Outcome::Served && s.latency <= s.latency_target)
        .count() as f64;
    // In a shorter run the servers are replaced faster than they warm up, and part of the load is refused.
    let min_share = if length >= Duration::from_secs(60) {
        0.9
    } else {
        0.0
    };
    figures.at_least(
        &format!("{mode}_served_in_time"),
        in_time / samples.len() as f64,
        "share",
        min_share,
    );
    figures.record(&format!("{mode}_queries_of_a_gateway"), queries, "1/s");
    let changes = f64::from(CHANGES);
    figures.at_least(
        &format!("{mode}_changes"),
        changes.min(removed.len() as f64 * 2.0),
        "changes",
        changes,
    );
}
