//! `membership-size`: what one change, and one request, cost a gateway at 10 to 5,000 servers, by list and by DNS-SD.

use crate::figures::Figures;
use crate::load::{Got, Load};
use crate::servers::Server;
use crate::site::{self, cpu, memory_mb, pause, Node, OperatorFile};
use frosthatch_standins::{target, Discovery, Resolver, Zone};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::runtime::Runtime;

const SERVICE: &str = "_topup._tcp.example.org";
const SIZES: [usize; 4] = [10, 100, 1_000, 5_000];
/// One answer holds so many instances at most; a service with more is browsed by subtypes.
const A_SUBTYPE: usize = 1_500;
const CHANGES: u32 = 20;
const PER_S: f64 = 200.0;

pub fn play(seconds: Option<u64>, figures: &mut Figures) {
    let length = Duration::from_secs(seconds.unwrap_or(10));
    for by_list in [true, false] {
        for size in SIZES {
            part(by_list, size, length, figures);
        }
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

fn part(by_list: bool, size: usize, length: Duration, figures: &mut Figures) {
    let runtime = Runtime::new().expect("a runtime");
    let servers: Vec<Server> = (0..size).map(|n| Server::start_at(runtime.handle(), at(n), false)).collect();
    let nobody: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let (source, operator, discovery) = if by_list {
        let list: Vec<String> = servers
            .iter()
            .enumerate()
            .map(|(n, s)| target(&format!("s{n}"), s.address, 1, "Ready"))
            .collect();
        let agent = Discovery::new(&list.join(","));
        let address = agent.address;
        (Source::List(agent), None, address)
    } else {
        let mut zone = Zone::new("example.org");
        for (n, s) in servers.iter().enumerate() {
            zone.add_instance(SERVICE, &format!("s{n}"), s.address, &["zone=hall-a", "cell=1"]);
            zone.add(&subtype(n), frosthatch_standins::Rr::Ptr(format!("s{n}.{SERVICE}")));
        }
        zone.take_changes();
        let resolver = Resolver::new(zone);
        let services: Vec<String> =
            (0..=(size - 1) / A_SUBTYPE).map(|n| format!("\"{}\"", subtype(n * A_SUBTYPE))).collect();
        let text = format!(
            "[membership]\nsource = \"dns-sd\"\n[dns-sd]\nservices = [{}]\nresolvers = [\"{}\"]\n\
             queries_per_s = 5000\n[dns-sd.push]\nservers = [\"{}\"]\n",
            services.join(", "),
            resolver.address,
            resolver.push
        );
        (Source::DnsSd(resolver), Some(OperatorFile::new(&text)), nobody)
    };
    let node = Node { gateways: 1, me: 0, discovery, counter: None, sockets: 4_096, memory_mb: 192 };
    let gateway = node.start(operator.as_ref().map(OperatorFile::path));
    // All that is learned at the start, and what is asked for beside it, is over.
    pause(Duration::from_secs(if by_list { 1 } else { 5 + size as u64 / 250 }));
    let name = |what: &str| format!("{}_{size}_{what}", if by_list { "list" } else { "dns_sd" });
    let idle = used(&gateway, length);
    figures.show(&name("cpu_idle"), idle * 1e3, "ms/s");
    figures.show(&name("memory"), memory_mb(gateway.id()), "MB");

    let before = cpu(gateway.id());
    let apart = length / CHANGES;
    for n in 0..CHANGES as usize {
        let (n, drains) = (n / 2 % size, n % 2 == 0);
        match &source {
            Source::List(agent) => {
                let state = if drains { "Terminating" } else { "Ready" };
                agent.tell(false, &target(&format!("s{n}"), servers[n].address, 1, state));
            }
            Source::DnsSd(resolver) => drop(resolver.change(|zone| {
                let full = format!("s{n}.{SERVICE}");
                let state = if drains { "state=draining" } else { "state=ready" };
                zone.remove(&full, |rr| matches!(rr, frosthatch_standins::Rr::Txt(_)));
                let text = ["zone=hall-a", "cell=1", state].map(String::from).to_vec();
                zone.add(&full, frosthatch_standins::Rr::Txt(text));
            })),
        }
        pause(apart);
    }
    let spent = (cpu(gateway.id()) - before).as_secs_f64() - idle * length.as_secs_f64();
    figures.show(&name("cpu_a_change"), (spent / f64::from(CHANGES)).max(0.0) * 1e3, "ms");

    let before = cpu(gateway.id());
    let (load, task) = Load::start(runtime.handle(), vec![gateway.address], PER_S, length);
    site::until("the load ends", || task.is_finished());
    let spent = (cpu(gateway.id()) - before).as_secs_f64() - idle * length.as_secs_f64();
    let shots = load.shots.lock().expect("shots");
    let served = shots.iter().filter(|s| s.got == Got::Served).count();
    figures.at_least(&name("served"), served as f64 / shots.len() as f64, "share", 0.99);
    figures.show(&name("cpu_a_request"), spent / shots.len() as f64 * 1e6, "us");
}

/// CPU a second that a gateway uses when nothing happens.
fn used(gateway: &frosthatch_standins::Gateway, length: Duration) -> f64 {
    let before = cpu(gateway.id());
    pause(length);
    (cpu(gateway.id()) - before).as_secs_f64() / length.as_secs_f64()
}
