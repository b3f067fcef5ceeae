//! `dns-sd`: two gateways find their servers through DNS-SD records that change 30 times under load, first asked for,
//! then pushed.

use crate::figures::Figures;
use crate::load::{percentile, Load, Outcome};
use crate::servers::Server;
use crate::site::{self, pause, Node, OperatorFile};
use frosthatch_test_doubles::{Resolver, SharedCounter, Zone};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

const SERVICE: &str = "_topup._tcp.example.org";
const PER_S: f64 = 500.0;
const SERVERS: usize = 10;
const CHANGES: u32 = 30;
/// The rules that must hold.
const GRACE: Duration = Duration::from_millis(500);
const TIPS_AT: f64 = 4.0;
const TIPS_AFTER: Duration = Duration::from_secs(3);

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    let length = Duration::from_secs(seconds.unwrap_or(60));
    for push in [false, true] {
        part(push, length, figures);
    }
}

fn part(push: bool, length: Duration, figures: &mut Figures) {
    let how = if push { "push" } else { "poll" };
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let handle = runtime.handle();
    let mut zone = Zone::new("example.org");
    // Those that serve, oldest first, and those whose records have gone, with the time.
    let mut fleet: Vec<(String, Server)> = Vec::new();
    let mut gone: Vec<(String, Server, Instant)> = Vec::new();
    for n in 0..SERVERS {
        let (name, server) = (format!("s{n}"), Server::start(handle, false));
        zone.add_instance(SERVICE, &name, server.address, &["zone=hall-a", "cell=1"]);
        fleet.push((name, server));
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
    let nobody = "127.0.0.1:9".parse().expect("the literal address is valid");
    let node = |me| Node {
        gateways: 2,
        me,
        discovery: nobody,
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
    let (load, task) = Load::start(handle, addresses, PER_S, length);
    let apart = length / (CHANGES + 2);
    for n in 0..CHANGES {
        pause(apart);
        if n % 2 == 0 {
            let (name, server) = (format!("new{n}"), Server::start(handle, true));
            resolver.change_zone(|z| {
                z.add_instance(SERVICE, &name, server.address, &["zone=hall-a", "cell=1"])
            });
            fleet.push((name, server));
        } else {
            let (name, server) = fleet.remove(0);
            let changed = resolver.change_zone(|z| z.remove_instance(SERVICE, &name));
            gone.push((name, server, changed));
        }
    }
    site::until("the load ends", || task.is_finished());
    let queries = resolver.queries() as f64 / length.as_secs_f64() / 2.0;

    let mut late: Vec<Duration> = gone
        .iter()
        .map(|(_, s, since)| s.last_request_after(*since).unwrap_or_default())
        .collect();
    let worst = late.iter().max().copied().unwrap_or_default();
    let grace = GRACE.as_secs_f64() * 1e3;
    figures.at_most(
        &format!("{how}_latest_send_to_removed"),
        worst.as_secs_f64() * 1e3,
        "ms",
        grace,
    );
    figures.record(
        &format!("{how}_median_last_send_to_removed"),
        percentile(&mut late, 0.5),
        "ms",
    );
    let all = || {
        fleet
            .iter()
            .map(|(_, s)| s)
            .chain(gone.iter().map(|(_, s, _)| s))
    };
    let multiple = all()
        .map(|s| s.max_overload_ratio(TIPS_AFTER))
        .fold(0.0, f64::max);
    figures.at_most(
        &format!("{how}_most_work_to_cold"),
        multiple,
        "times",
        TIPS_AT,
    );
    // A new server that gets nothing would keep that rule, too.
    let least = fleet
        .iter()
        .filter(|(n, _)| n.starts_with("new"))
        .map(|(_, s)| s.request_count())
        .max();
    figures.at_least(
        &format!("{how}_most_served_by_a_new_one"),
        least.unwrap_or(0) as f64,
        "requests",
        20.0,
    );
    let samples = load.samples.lock().expect("lock is not poisoned");
    let count =
        |got: &dyn Fn(Outcome) -> bool| samples.iter().filter(|s| got(s.outcome)).count() as f64;
    figures.record(&format!("{how}_requests"), samples.len() as f64, "requests");
    let without = count(&|g| matches!(g, Outcome::Unanswered | Outcome::Invalid));
    figures.at_most(
        &format!("{how}_without_one_final_answer"),
        without,
        "requests",
        0.0,
    );
    let in_time = samples
        .iter()
        .filter(|s| s.outcome == Outcome::Served && s.latency <= s.latency_target)
        .count() as f64;
    // In less time the fleet is replaced faster than servers warm, and the rest is refused.
    let share = if length >= Duration::from_secs(60) {
        0.9
    } else {
        0.0
    };
    figures.at_least(
        &format!("{how}_served_in_time"),
        in_time / samples.len() as f64,
        "share",
        share,
    );
    figures.record(&format!("{how}_queries_of_a_gateway"), queries, "1/s");
    let changes = f64::from(CHANGES);
    figures.at_least(
        &format!("{how}_changes"),
        changes.min(gone.len() as f64 * 2.0),
        "changes",
        changes,
    );
}
