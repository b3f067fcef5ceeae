//! `membership-size`: CPU cost of one endpoint change and of one request at a gateway with 10 to 5,000 servers, by endpoint list
//! and by DNS-SD.

use crate::figures::Figures;
use crate::load::{Load, Outcome};
use crate::servers::Server;
use crate::site::{self, cpu, memory_mb, pause, Node, OperatorFile};
use frosthatch_test_doubles::{endpoint_entry, Discovery, Resolver, Zone};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

const SERVICE: &str = "_topup._tcp.example.org";
const SIZES: [usize; 4] = [10, 100, 1_000, 5_000];
/// Maximum number of instances in one DNS answer; a service with more is browsed by subtypes.
const INSTANCES_PER_SUBTYPE: usize = 1_500;
/// Number of changes; the kernel reports CPU time in steps of 10 ms, so that few changes could not be measured.
const CHANGES: u32 = 400;
const CHANGE_INTERVAL: Duration = Duration::from_millis(15);
const REQUESTS_PER_S: f64 = 200.0;
/// Maximum CPU ratio of a request with the most servers to one with the fewest; more connections are new with many servers.
const MAX_REQUEST_CPU_RATIO: f64 = 3.0;
/// Maximum CPU time of one change.
const MAX_CHANGE_CPU_MS: f64 = 10.0;

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    let length = Duration::from_secs(seconds.unwrap_or(10));
    for by_list in [true, false] {
        let costs: Vec<f64> = SIZES
            .iter()
            .map(|&size| run_case(by_list, size, length, figures))
            .collect();
        let growth = costs[SIZES.len() - 1] / costs[0];
        figures.at_most(
            &format!("{}_growth_of_a_request", source_name(by_list)),
            growth,
            "times",
            MAX_REQUEST_CPU_RATIO,
        );
    }
}

fn source_name(by_list: bool) -> &'static str {
    if by_list {
        "list"
    } else {
        "dns_sd"
    }
}

/// Returns the address of a server; each has its own IP address.
fn server_address(n: usize) -> SocketAddr {
    ([127, 2, (n / 250) as u8, (n % 250) as u8 + 1], 0).into()
}

/// Source from which the gateway learns its servers.
enum Source {
    List(Discovery),
    DnsSd(Resolver),
}

fn subtype(n: usize) -> String {
    format!("_p{}._sub.{SERVICE}", n / INSTANCES_PER_SUBTYPE)
}

/// Measures one size; returns the CPU time of one request in microseconds.
fn run_case(by_list: bool, size: usize, length: Duration, figures: &mut Figures) -> f64 {
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let servers: Vec<Server> = (0..size)
        .map(|n| Server::start_at(runtime.handle(), server_address(n), false))
        .collect();
    let unused_address: SocketAddr = "127.0.0.1:9".parse().expect("the literal address is valid");
    let (source, operator, discovery) = if by_list {
        let list: Vec<String> = servers
            .iter()
            .enumerate()
            .map(|(n, s)| endpoint_entry(&format!("s{n}"), s.address, 1, "Ready"))
            .collect();
        let agent = Discovery::new(&list.join(","));
        let address = agent.address;
        (Source::List(agent), None, address)
    } else {
        let mut zone = Zone::new("example.org");
        for (n, s) in servers.iter().enumerate() {
            zone.add_instance(
                SERVICE,
                &format!("s{n}"),
                s.address,
                &["zone=hall-a", "cell=1"],
            );
            zone.add(
                &subtype(n),
                frosthatch_test_doubles::Rr::Ptr(format!("s{n}.{SERVICE}")),
            );
        }
        zone.take_changes();
        let resolver = Resolver::new(zone);
        let services: Vec<String> = (0..=(size - 1) / INSTANCES_PER_SUBTYPE)
            .map(|n| format!("\"{}\"", subtype(n * INSTANCES_PER_SUBTYPE)))
            .collect();
        let text = format!(
            "[membership]\nsource = \"dns-sd\"\n[dns-sd]\nservices = [{}]\nresolvers = [\"{}\"]\n\
             queries_per_s = 5000\n[dns-sd.push]\nservers = [\"{}\"]\n",
            services.join(", "),
            resolver.address,
            resolver.push
        );
        (
            Source::DnsSd(resolver),
            Some(OperatorFile::new(&text)),
            unused_address,
        )
    };
    let node = Node {
        gateways: 1,
        me: 0,
        discovery,
        counter: None,
        sockets: 4_096,
        memory_mb: 192,
    };
    let gateway = node.start(operator.as_ref().map(OperatorFile::path));
    // Waits until initial discovery and its queries have finished.
    pause(Duration::from_secs(if by_list {
        1
    } else {
        5 + size as u64 / 250
    }));
    let name = |what: &str| format!("{}_{size}_{what}", source_name(by_list));
    let idle = idle_cpu(&gateway, length);
    figures.record(&name("cpu_idle"), idle * 1e3, "ms/s");
    figures.record(&name("memory"), memory_mb(gateway.pid()), "MB");

    let (before, since) = (cpu(gateway.pid()), Instant::now());
    for n in 0..CHANGES as usize {
        let (n, drains) = (n / 2 % size, n % 2 == 0);
        match &source {
            Source::List(agent) => {
                let state = if drains { "Terminating" } else { "Ready" };
                agent.publish(
                    false,
                    &endpoint_entry(&format!("s{n}"), servers[n].address, 1, state),
                );
            }
            Source::DnsSd(resolver) => drop(resolver.change_zone(|zone| {
                let full = format!("s{n}.{SERVICE}");
                let state = if drains {
                    "state=draining"
                } else {
                    "state=ready"
                };
                zone.remove(&full, |rr| {
                    matches!(rr, frosthatch_test_doubles::Rr::Txt(_))
                });
                let text = ["zone=hall-a", "cell=1", state].map(String::from).to_vec();
                zone.add(&full, frosthatch_test_doubles::Rr::Txt(text));
            })),
        }
        pause(CHANGE_INTERVAL);
    }
    let spent = (cpu(gateway.pid()) - before).as_secs_f64() - idle * since.elapsed().as_secs_f64();
    let change_ms = (spent / f64::from(CHANGES)).max(0.0) * 1e3;
    figures.at_most(&name("cpu_a_change"), change_ms, "ms", MAX_CHANGE_CPU_MS);

    let before = cpu(gateway.pid());
    let (load, task) = Load::start(
        runtime.handle(),
        vec![gateway.address],
        REQUESTS_PER_S,
        length,
    );
    site::until("the load task finishes", || task.is_finished());
    let spent = (cpu(gateway.pid()) - before).as_secs_f64() - idle * length.as_secs_f64();
    let samples = load.samples.lock().expect("lock is not poisoned");
    let served = samples
        .iter()
        .filter(|s| s.outcome == Outcome::Served)
        .count();
    figures.at_least(
        &name("served"),
        served as f64 / samples.len() as f64,
        "share",
        0.99,
    );
    let cost = spent / samples.len() as f64 * 1e6;
    figures.record(&name("cpu_a_request"), cost, "us");
    cost
}

/// Returns the CPU seconds per second that an idle gateway uses.
fn idle_cpu(gateway: &frosthatch_test_doubles::Gateway, length: Duration) -> f64 {
    let before = cpu(gateway.pid());
    pause(length);
    (cpu(gateway.pid()) - before).as_secs_f64() / length.as_secs_f64()
}
