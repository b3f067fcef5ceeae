//! `membership-size`: what one change, and one request, cost a gateway at 10 to 5,000 servers, by list and by DNS-SD.

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
/// One answer holds so many instances at most; a service with more is browsed by subtypes.
const A_SUBTYPE: usize = 1_500;
/// Many, since the kernel tells CPU in steps of 10 ms.
const CHANGES: u32 = 400;
const APART: Duration = Duration::from_millis(15);
const PER_S: f64 = 200.0;
/// A request at the largest fleet beside one at the smallest; more connections are new there, and no more than that.
const MOST_GROWTH: f64 = 3.0;
const MOST_A_CHANGE_MS: f64 = 10.0;

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    let length = Duration::from_secs(seconds.unwrap_or(10));
    for by_list in [true, false] {
        let costs: Vec<f64> = SIZES
            .iter()
            .map(|&size| part(by_list, size, length, figures))
            .collect();
        let growth = costs[SIZES.len() - 1] / costs[0];
        figures.at_most(
            &format!("{}_growth_of_a_request", source_name(by_list)),
            growth,
            "times",
            MOST_GROWTH,
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

/// Where the servers stand: each at an address of its own.
fn at(n: usize) -> SocketAddr {
    ([127, 2, (n / 250) as u8, (n % 250) as u8 + 1], 0).into()
}

/// Tells the gateway of the servers, and of changes.
enum Source {
    List(Discovery),
    DnsSd(Resolver),
}

fn subtype(n: usize) -> String {
    format!("_p{}._sub.{SERVICE}", n / A_SUBTYPE)
}

/// CPU that one request costs, in microseconds.
fn part(by_list: bool, size: usize, length: Duration, figures: &mut Figures) -> f64 {
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let servers: Vec<Server> = (0..size)
        .map(|n| Server::start_at(runtime.handle(), at(n), false))
        .collect();
    let nobody: SocketAddr = "127.0.0.1:9".parse().expect("the literal address is valid");
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
        let services: Vec<String> = (0..=(size - 1) / A_SUBTYPE)
            .map(|n| format!("\"{}\"", subtype(n * A_SUBTYPE)))
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
            nobody,
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
    // All that is learned at the start, and what is asked for beside it, is over.
    pause(Duration::from_secs(if by_list {
        1
    } else {
        5 + size as u64 / 250
    }));
    let name = |what: &str| format!("{}_{size}_{what}", source_name(by_list));
    let idle = used(&gateway, length);
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
        pause(APART);
    }
    let spent = (cpu(gateway.pid()) - before).as_secs_f64() - idle * since.elapsed().as_secs_f64();
    let change_ms = (spent / f64::from(CHANGES)).max(0.0) * 1e3;
    figures.at_most(&name("cpu_a_change"), change_ms, "ms", MOST_A_CHANGE_MS);

    let before = cpu(gateway.pid());
    let (load, task) = Load::start(runtime.handle(), vec![gateway.address], PER_S, length);
    site::until("the load ends", || task.is_finished());
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

/// CPU a second that a gateway uses when nothing happens.
fn used(gateway: &frosthatch_test_doubles::Gateway, length: Duration) -> f64 {
    let before = cpu(gateway.pid());
    pause(length);
    (cpu(gateway.pid()) - before).as_secs_f64() / length.as_secs_f64()
}
