//! The demo: a list agent, a counter, ten servers and two gateways under load; one server dies, a cold one comes.

use crate::figures::Figures;
use crate::load::{percentile, Got, Load, Shot};
use crate::servers::Server;
use crate::site::{self, pause, Node};
use frosthatch_test_doubles::{endpoint_entry, endpoint_entry_with_boot, Discovery, SharedCounter};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::runtime::Runtime;

const PER_S: f64 = 600.0;
const SECONDS: u64 = 15;
const DIES_AT: u64 = 5;
const COMES_AT: u64 = 8;

pub fn play(figures: &mut Figures) {
    let runtime = Runtime::new().expect("a runtime");
    let on = runtime.handle();
    let mut servers: Vec<Server> = (0..10).map(|_| Server::start(on, false)).collect();
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
        .say("10 servers, 2 gateways, 1 list agent, 1 counter; 600 requests a second for 15 s\n");
    figures.say("  s  asked  in time  refused  failed  p50 ms  p99 ms");
    let (load, task) = Load::start(
        on,
        gateways.iter().map(|g| g.address).collect(),
        PER_S,
        Duration::from_secs(SECONDS),
    );
    for second in 0..SECONDS {
        pause(Duration::from_secs(1));
        let now = Duration::from_secs(second);
        let shots = load.shots.lock().expect("shots").clone();
        let of_now = shots
            .iter()
            .filter(|s| s.due >= now && s.due < now + Duration::from_secs(1));
        let mut note = "";
        if second == DIES_AT {
            servers[3].kill();
            note = "   <- server s3 dies; the list says so 1 s later";
        } else if second == DIES_AT + 1 {
            agent.publish_and_wait(false, &endpoint_entry("s3", servers[3].address, 1, "Gone"));
        } else if second == COMES_AT {
            let server = Server::start(on, true);
            let ms = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default()
                .as_millis();
            agent.publish_and_wait(
                false,
                &endpoint_entry_with_boot("new", server.address, 1, "Ready", ms),
            );
            servers.push(server);
            note = "   <- a cold server comes";
        }
        figures.say(&format!("{second:3}{}{note}", row(of_now.copied())));
    }
    site::until("the load ends", || task.is_finished());
    let shots = load.shots.lock().expect("shots").clone();
    figures.say(&format!("all{}\n", row(shots.iter().copied())));
    let without = shots
        .iter()
        .filter(|s| matches!(s.got, Got::Nothing | Got::Wrong))
        .count();
    figures.at_most("without_one_final_answer", without as f64, "requests", 0.0);
    figures.show(
        "served_by_the_new_server",
        servers.last().map_or(0, Server::served) as f64,
        "requests",
    );
}

fn row(shots: impl Iterator<Item = Shot>) -> String {
    let shots: Vec<Shot> = shots.collect();
    let count = |got: Got| shots.iter().filter(|s| s.got == got).count();
    let in_time = shots
        .iter()
        .filter(|s| s.got == Got::Served && s.took <= s.wanted)
        .count();
    let mut times: Vec<Duration> = shots
        .iter()
        .filter(|s| s.got == Got::Served)
        .map(|s| s.took)
        .collect();
    let (p50, p99) = (percentile(&mut times, 0.5), percentile(&mut times, 0.99));
    let (refused, failed) = (
        count(Got::Refused),
        count(Got::Failed) + count(Got::Nothing),
    );
    format!(
        "{:7}{in_time:9}{refused:9}{failed:8}{p50:8.1}{p99:8.1}",
        shots.len()
    )
}
