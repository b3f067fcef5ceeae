//! A randomized soak: real gateways between servers, list agents and clients that misbehave, several troubles at a time, and
//! an oracle that checks the protocol's rules on everything that was seen.
//!
//! A seed fixes what is drawn, not the order in which real processes do things: a seed that broke a rule is played again
//! several times.

mod agent;
mod chance;
mod clients;
mod gateways;
pub mod oracle;
mod proxy;
pub mod record;
mod servers;
mod troubles;

use crate::figures::Figures;
use agent::{Agent, Discovery};
use chance::Chance;
use clients::Clients;
use gateways::Gateway;
use record::{History, SendEnd};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Builder;
use troubles::World;
pub use troubles::{Kind, KINDS};

/// Violations of each rule that are told in full.
const TOLD: usize = 3;
/// Lines of a gateway's log that are told of one request.
const LINES: usize = 30;

/// What one soak is like.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub gateways: usize,
    pub servers: usize,
    /// Requests a second to all gateways.
    pub per_s: f64,
    pub length: Duration,
    /// Troubles that are drawn from.
    pub kinds: Vec<Kind>,
}

impl Plan {
    pub fn new(seed: u64) -> Plan {
        let length = Duration::from_secs(20);
        Plan {
            seed,
            gateways: 12,
            servers: 9,
            per_s: 240.0,
            length,
            kinds: KINDS.to_vec(),
        }
    }
}

/// Plays one soak; what was broken counts against the figures.
pub fn play(plan: &Plan, figures: &mut Figures) {
    let runtime = Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("a runtime");
    let history = Arc::new(History::default());
    let mut chance = Chance::new(plan.seed);
    let agents: Vec<Arc<Agent>> = (0..plan.gateways)
        .map(|n| Agent::start(runtime.handle(), n, &history))
        .collect();
    let cancel = !plan.seed.is_multiple_of(3);
    let gateway = |agent: (usize, &Arc<Agent>)| {
        Gateway::new(agent.0, plan.gateways, cancel, agent.1.addresses, &history)
    };
    let gateways: Arc<Vec<Gateway>> = Arc::new(agents.iter().enumerate().map(gateway).collect());
    let world = World::new(
        runtime.handle().clone(),
        gateways.clone(),
        Discovery::new(agents),
        history.clone(),
    );
    let world = Arc::new(world);
    (0..plan.servers).for_each(|_| world.add_server(false));
    std::thread::scope(|scope| {
        gateways
            .iter()
            .for_each(|gateway| drop(scope.spawn(|| gateway.start())));
    });
    let clients = Arc::new(Clients::new(gateways.clone(), history.clone()));
    // Clients ask until troubles are over, and a little longer.
    let length = plan.length + Duration::from_secs(2);
    let asking = runtime.spawn(clients.run(chance.fork(), plan.per_s, length));
    world.run(&mut chance, &plan.kinds, plan.length);
    let _ = runtime.block_on(asking);
    gateways.iter().for_each(Gateway::check_running);
    tell(plan, &world, figures);
    runtime.shutdown_background();
}

fn tell(plan: &Plan, world: &World, figures: &mut Figures) {
    let seen = world.history.seen();
    let violations = oracle::violations(&seen);
    let mut by_rule: BTreeMap<&str, usize> = BTreeMap::new();
    violations
        .iter()
        .for_each(|v| *by_rule.entry(v.rule).or_default() += 1);
    if !violations.is_empty() {
        world
            .log
            .lock()
            .expect("a log")
            .iter()
            .for_each(|line| figures.say(line));
    }
    let mut told: BTreeMap<&str, usize> = BTreeMap::new();
    for violation in &violations {
        let of_this_rule = told.entry(violation.rule).or_default();
        *of_this_rule += 1;
        if *of_this_rule > TOLD {
            continue;
        }
        figures.say(&format!("BROKEN {}: {}", violation.rule, violation.what));
        if let Some((gateway, id)) = violation.request {
            figures.say(&format!("  request {id:016x} at gateway {gateway}"));
            let request = seen.requests.iter().find(|r| r.id == id);
            figures.say(&format!("  {request:?}"));
            let log = world.gateways[gateway].log_of(id);
            log.iter()
                .take(LINES)
                .for_each(|line| figures.say(&format!("  {line}")));
        }
    }
    let last = |r: &record::Request| r.sends.last().map(|s| s.end);
    let served =
        |r: &&record::Request| matches!(last(r), Some(SendEnd::Answered { status: 200, .. }));
    let left = |r: &&record::Request| matches!(last(r), Some(SendEnd::ClientLeft { .. }));
    let (all, served) = (
        seen.requests.len(),
        seen.requests.iter().filter(served).count(),
    );
    let stayed = all - seen.requests.iter().filter(left).count();
    figures.show(&format!("seed {}: requests", plan.seed), all as f64, "");
    figures.show(
        &format!("seed {}: attempts", plan.seed),
        seen.attempts.len() as f64,
        "",
    );
    figures.show(
        &format!("seed {}: served", plan.seed),
        served as f64 / stayed.max(1) as f64,
        "of those that stayed",
    );
    for (rule, count) in by_rule {
        figures.at_most(
            &format!("seed {}: broken: {rule}", plan.seed),
            count as f64,
            "",
            0.0,
        );
    }
}
