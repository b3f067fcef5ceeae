//! Randomized soak: real gateways between misbehaving servers, endpoint list agents and clients, several concurrent faults, and an
//! oracle that checks the protocol's rules on all observations.
//!
//! A seed fixes the random choices, but not the interleaving of real processes: a seed that violated a rule has to be rerun
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
use record::{History, TransmissionEnd};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Builder;
use troubles::World;
pub use troubles::{FaultKind, ALL_FAULT_KINDS};

/// Maximum number of violations of each rule that are printed in full.
const MAX_PRINTED_VIOLATIONS: usize = 3;
/// Maximum number of gateway log lines printed for one request.
const MAX_LOG_LINES: usize = 30;

/// Parameters of one soak.
#[derive(Clone, Debug)]
pub struct SoakParameters {
    pub seed: u64,
    pub gateways: usize,
    pub servers: usize,
    /// Requests per second to all gateways together.
    pub per_s: f64,
    /// Duration of fault injection.
    pub length: Duration,
    /// Kinds of faults to choose from.
    pub kinds: Vec<FaultKind>,
}

impl SoakParameters {
    /// Returns the default parameters for a seed.
    pub fn new(seed: u64) -> SoakParameters {
        let length = Duration::from_secs(20);
        SoakParameters {
            seed,
            gateways: 12,
            servers: 9,
            per_s: 240.0,
            length,
            kinds: ALL_FAULT_KINDS.to_vec(),
        }
    }
}

/// Runs one soak; each violated rule becomes a figure that violates its limit of 0.
pub fn run(parameters: &SoakParameters, figures: &mut Figures) {
    let runtime = Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("the Tokio runtime can be built");
    let history = Arc::new(History::default());
    let mut chance = Chance::new(parameters.seed);
    let agents: Vec<Arc<Agent>> = (0..parameters.gateways)
        .map(|n| Agent::start(runtime.handle(), n, &history))
        .collect();
    let cancel = !parameters.seed.is_multiple_of(3);
    let gateway = |agent: (usize, &Arc<Agent>)| {
        Gateway::new(
            agent.0,
            parameters.gateways,
            cancel,
            agent.1.addresses,
            &history,
        )
    };
    let gateways: Arc<Vec<Gateway>> = Arc::new(agents.iter().enumerate().map(gateway).collect());
    let world = World::new(
        runtime.handle().clone(),
        gateways.clone(),
        Discovery::new(agents),
        history.clone(),
    );
    let world = Arc::new(world);
    (0..parameters.servers).for_each(|_| world.add_server(false));
    std::thread::scope(|scope| {
        gateways
            .iter()
            .for_each(|gateway| drop(scope.spawn(|| gateway.start())));
    });
    let clients = Arc::new(Clients::new(gateways.clone(), history.clone()));
    // Clients run 2 s longer than fault injection.
    let length = parameters.length + Duration::from_secs(2);
    let clients_task = runtime.spawn(clients.run(chance.fork(), parameters.per_s, length));
    world.run(&mut chance, &parameters.kinds, parameters.length);
    let _ = runtime.block_on(clients_task);
    gateways.iter().for_each(Gateway::check_running);
    report(parameters, &world, figures);
    runtime.shutdown_background();
}

/// Prints the violations and records the figures of a soak.
fn report(parameters: &SoakParameters, world: &World, figures: &mut Figures) {
    let observations = world.history.observations();
    let violations = oracle::violations(&observations);
    let mut violations_by_rule: BTreeMap<&str, usize> = BTreeMap::new();
    violations
        .iter()
        .for_each(|v| *violations_by_rule.entry(v.rule).or_default() += 1);
    if !violations.is_empty() {
        world
            .log
            .lock()
            .expect("lock is not poisoned")
            .iter()
            .for_each(|line| figures.remark(line));
    }
    let mut printed: BTreeMap<&str, usize> = BTreeMap::new();
    for violation in &violations {
        let printed_of_rule = printed.entry(violation.rule).or_default();
        *printed_of_rule += 1;
        if *printed_of_rule > MAX_PRINTED_VIOLATIONS {
            continue;
        }
        figures.remark(&format!("BROKEN {}: {}", violation.rule, violation.what));
        if let Some((gateway, id)) = violation.request {
            figures.remark(&format!("  request {id:016x} at gateway {gateway}"));
            let request = observations.requests.iter().find(|r| r.id == id);
            figures.remark(&format!("  {request:?}"));
            let log = world.gateways[gateway].log_of(id);
            log.iter()
                .take(MAX_LOG_LINES)
                .for_each(|line| figures.remark(&format!("  {line}")));
        }
    }
    let last = |r: &record::Request| r.transmissions.last().map(|s| s.end);
    let served = |r: &&record::Request| {
        matches!(last(r), Some(TransmissionEnd::Answered { status: 200, .. }))
    };
    let client_left =
        |r: &&record::Request| matches!(last(r), Some(TransmissionEnd::ClientLeft { .. }));
    let (all, served) = (
        observations.requests.len(),
        observations.requests.iter().filter(served).count(),
    );
    let client_stayed = all - observations.requests.iter().filter(client_left).count();
    figures.record(
        &format!("seed {}: requests", parameters.seed),
        all as f64,
        "",
    );
    figures.record(
        &format!("seed {}: attempts", parameters.seed),
        observations.attempts.len() as f64,
        "",
    );
    figures.record(
        &format!("seed {}: served", parameters.seed),
        served as f64 / client_stayed.max(1) as f64,
        "of those that stayed",
    );
    for (rule, count) in violations_by_rule {
        figures.at_most(
            &format!("seed {}: broken: {rule}", parameters.seed),
            count as f64,
            "",
            0.0,
        );
    }
}
