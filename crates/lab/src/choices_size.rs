//! `choices-size`: server choices of hundreds of gateways among hundreds and thousands of servers with queues, in virtual time.
//! Measures how evenly servers are used, the requests lost to a failing server, the coverage after a third of the gateways crashes,
//! and the effect of a rollout.

use crate::figures::Figures;
use frosthatch_load_balancing::fairness::{jain_index, min_to_mean_ratio};
use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, Event, Gateway, Health, HealthReports, ListKind,
    Request, RequestId, ServerEntry, ServerId, Settings, Timer,
};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Instant;

const US_PER_MS: u64 = 1_000;
const US_PER_S: u64 = 1_000_000;
/// Mean work of a request.
const WORK_US: f64 = 20_000.0;
const CORES: usize = 2;
/// Share of all servers' cores that the load occupies.
const LOAD: f64 = 0.5;
/// Upper bound of the load in requests per second; without it a run with thousands of servers takes hours.
const MAX_REQUESTS_PER_S: f64 = 5_000.0;
/// Delay of a health report.
const REPORT_DELAY_US: u64 = 300 * US_PER_MS;
/// Time until the other gateways detect a crash.
const CRASH_DETECTION_US: u64 = 1_700 * US_PER_MS;
/// Interval of health reports.
const REPORT_INTERVAL_US: u64 = 200 * US_PER_MS;

/// A scheduled event.
enum SimEvent {
    /// A gateway receives a request.
    RequestArrival(usize),
    /// An attempt ends.
    AttemptEnd {
        by: usize,
        id: RequestId,
        attempt: u32,
        server: usize,
        status: CompletionStatus,
        took: u64,
    },
    /// A timer of a gateway fires.
    TimerFired(usize, Timer),
    /// All gateways send health reports.
    SendReports,
    /// A gateway receives a health report of another.
    ReportReceived(usize, u32, HealthReports),
}

/// A server: when each of its cores becomes free, whether it fails all requests, and the requests received.
struct Server {
    cores: [u64; CORES],
    fails: bool,
    requests: usize,
}

/// Simulated installation: gateways, servers and the event queue.
struct World {
    now: u64,
    rng: Pcg64Mcg,
    gateways: Vec<Option<Gateway>>,
    servers: Vec<Server>,
    server_indices: BTreeMap<ServerId, usize>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    pending: BTreeMap<u64, SimEvent>,
    next: u64,
    ids: u64,
    /// Number of attempts so far of each request that is not served yet.
    attempts_by_request: BTreeMap<RequestId, u32>,
    per_s: f64,
    shares_health: bool,
    sent: usize,
    served: usize,
    /// Pairs of gateway and server with at least one attempt.
    used_pairs: BTreeSet<(usize, usize)>,
    /// Number of attempts.
    attempts: usize,
    took: Vec<u64>,
}

fn name(n: usize) -> ServerId {
    ServerId(format!("10.{}.{}.{}:80", n / 62_500, n / 250 % 250, n % 250).into())
}

fn entry(n: usize, started_us: u64) -> ServerEntry {
    let zone = ["a", "b", "c"][n % 3];
    ServerEntry {
        cell: n as u64 / 4,
        started_us,
        ..ServerEntry::ready(&name(n).0, zone)
    }
}

impl World {
    fn new(gateways: usize, servers: usize, shares_health: bool, seed: u64) -> World {
        let gateway = |me: usize| {
            let mut set = Settings {
                gateways: gateways as u32,
                gateway_index: me as u32,
                ..Settings::example()
            };
            (set.plans[0].rate, set.plans[0].burst) = (1e6, 1e6);
            Gateway::new(set, seed ^ me as u64).expect("the example settings are valid")
        };
        let all_per_s = (LOAD * (CORES * servers) as f64 / (WORK_US / 1e6)).min(MAX_REQUESTS_PER_S);
        let per_s = all_per_s / gateways as f64;
        let mut w = World {
            now: 1_000 * US_PER_S,
            rng: Pcg64Mcg::seed_from_u64(seed),
            gateways: (0..gateways).map(|n| Some(gateway(n))).collect(),
            servers: (0..servers)
                .map(|_| Server {
                    cores: [0; CORES],
                    fails: false,
                    requests: 0,
                })
                .collect(),
            server_indices: (0..servers).map(|n| (name(n), n)).collect(),
            queue: BinaryHeap::new(),
            pending: BTreeMap::new(),
            next: 0,
            ids: 0,
            attempts_by_request: BTreeMap::new(),
            per_s,
            shares_health,
            sent: 0,
            served: 0,
            used_pairs: BTreeSet::new(),
            attempts: 0,
            took: Vec::new(),
        };
        let entries: Vec<ServerEntry> = (0..servers).map(|n| entry(n, 0)).collect();
        for by in 0..gateways {
            w.handle_event(
                by,
                Event::Servers {
                    kind: ListKind::Complete,
                    entries: entries.clone(),
                },
            );
            let first = w.next_arrival_us();
            w.schedule(first, SimEvent::RequestArrival(by));
        }
        w.schedule(REPORT_INTERVAL_US, SimEvent::SendReports);
        w
    }

    fn uniform(&mut self) -> f64 {
        (f64::from(self.rng.next_u32()) + 1.0) / (f64::from(u32::MAX) + 1.0)
    }

    fn next_arrival_us(&mut self) -> u64 {
        (-self.uniform().ln() / self.per_s * 1e6) as u64
    }

    fn schedule(&mut self, after: u64, sim_event: SimEvent) {
        self.next += 1;
        self.queue.push(Reverse((self.now + after, self.next)));
        self.pending.insert(self.next, sim_event);
    }

    fn handle_event(&mut self, by: usize, event: Event) {
        let mut out = Vec::new();
        let Some(gateway) = &mut self.gateways[by] else {
            return;
        };
        gateway.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send {
                    request, server, ..
                } => self.send(by, request, &server),
                Action::SetTimer { after_us, timer } => {
                    self.schedule(after_us, SimEvent::TimerFired(by, timer))
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, by: usize, id: RequestId, server: &ServerId) {
        let server_index = self.server_indices[server];
        self.attempts += 1;
        self.used_pairs.insert((by, server_index));
        let work = (0.5 + self.uniform()) * WORK_US;
        let s = &mut self.servers[server_index];
        s.requests += 1;
        let (took, status) = match s.fails {
            true => (US_PER_MS, CompletionStatus::ServerError),
            false => {
                let core = s.cores.iter_mut().min().expect("a server has cores");
                *core = self.now.max(*core) + work as u64;
                (*core - self.now + US_PER_MS, CompletionStatus::Served)
            }
        };
        let next = self.attempts_by_request.entry(id).or_default();
        let attempt = *next;
        *next += 1;
        self.schedule(
            took,
            SimEvent::AttemptEnd {
                by,
                id,
                attempt,
                server: server_index,
                status,
                took,
            },
        );
    }

    fn step(&mut self) {
        let Some(Reverse((at, number))) = self.queue.pop() else {
            return;
        };
        self.now = at;
        let Some(sim_event) = self.pending.remove(&number) else {
            return;
        };
        match sim_event {
            SimEvent::RequestArrival(by) => {
                if self.gateways[by].is_none() {
                    return;
                }
                self.ids += 1;
                self.sent += 1;
                let request = Request::new(self.ids, "c", "basic", "read", 4 * US_PER_S);
                self.handle_event(by, Event::Request(request));
                let next = self.next_arrival_us();
                self.schedule(next, SimEvent::RequestArrival(by));
            }
            SimEvent::AttemptEnd {
                by,
                id,
                attempt,
                server,
                status,
                took,
            } => {
                let mut o = AttemptOutcome::new(id, attempt, name(server), status, took);
                o.closed = status == CompletionStatus::Served;
                self.served += usize::from(o.closed);
                if o.closed {
                    self.took.push(took);
                    self.attempts_by_request.remove(&id);
                }
                self.handle_event(by, Event::Outcome(o));
            }
            SimEvent::TimerFired(by, timer) => self.handle_event(by, Event::Timer(timer)),
            SimEvent::SendReports => {
                for by in 0..self.gateways.len() {
                    let Some(gateway) = self.gateways[by].as_ref().filter(|_| self.shares_health)
                    else {
                        continue;
                    };
                    let health_reports = gateway.health_reports();
                    if health_reports.reports.is_empty() {
                        continue;
                    }
                    for to in (0..self.gateways.len()).filter(|to| *to != by) {
                        self.schedule(
                            REPORT_DELAY_US,
                            SimEvent::ReportReceived(to, by as u32, health_reports.clone()),
                        );
                    }
                }
                self.schedule(REPORT_INTERVAL_US, SimEvent::SendReports);
            }
            SimEvent::ReportReceived(to, from, health_reports) => self.handle_event(
                to,
                Event::HealthReports {
                    from,
                    reports: health_reports,
                },
            ),
        }
    }

    fn run(&mut self, duration_us: u64) {
        let until = self.now + duration_us;
        while self
            .queue
            .peek()
            .is_some_and(|Reverse((at, _))| *at <= until)
        {
            self.step();
        }
        self.now = until;
    }

    /// Runs for `duration_us` and returns the requests that each server in the range received.
    fn requests_during(&mut self, duration_us: u64, of: std::ops::Range<usize>) -> Vec<f64> {
        self.servers.iter_mut().for_each(|s| s.requests = 0);
        self.run(duration_us);
        self.servers[of].iter().map(|s| s.requests as f64).collect()
    }
}

/// Returns the ratio of the maximum to the mean.
fn max_to_mean_ratio(requests: &[f64]) -> f64 {
    let mean = requests.iter().sum::<f64>() / requests.len() as f64;
    requests.iter().copied().fold(0.0, f64::max) / mean
}

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    let phase_us = seconds.unwrap_or(10) * US_PER_S;
    for (gateways, servers) in [(300, 200), (64, 5_000)] {
        for (mode, shares_health) in [("told", true), ("alone", false)] {
            run_case(
                gateways,
                servers,
                shares_health,
                phase_us,
                &format!("{gateways}_by_{servers}_{mode}"),
                figures,
            );
        }
    }
}

fn run_case(
    gateways: usize,
    servers: usize,
    shares_health: bool,
    phase_us: u64,
    prefix: &str,
    figures: &mut Figures,
) {
    let seed = 7;
    figures.remark(&format!("{prefix}: seed {seed}"));
    let began = Instant::now();
    let mut w = World::new(gateways, servers, shares_health, seed);
    w.run(3 * US_PER_S);
    let name = |figure: &str| format!("{prefix}_{figure}");
    (w.used_pairs, w.attempts, w.took) = (BTreeSet::new(), 0, Vec::new());
    let requests = w.requests_during(phase_us, 0..servers);
    // With few requests per server, randomness alone makes the use uneven.
    let min_jain = if requests.iter().sum::<f64>() > 30.0 * servers as f64 {
        0.9
    } else {
        0.0
    };
    figures.at_least(&name("jain"), jain_index(&requests), "of-1", min_jain);
    figures.record(&name("least_used"), min_to_mean_ratio(&requests), "of-mean");
    figures.record(&name("most_used"), max_to_mean_ratio(&requests), "of-mean");
    figures.record(
        &name("met_an_attempt"),
        w.used_pairs.len() as f64 / w.attempts as f64,
        "pairs",
    );
    w.took.sort_unstable();
    figures.record(
        &name("p99"),
        w.took[w.took.len() * 99 / 100] as f64 / 1e3,
        "ms",
    );

    // One server fails all requests at once, then recovers.
    w.servers[8].fails = true;
    let first_3_s = w.requests_during(3 * US_PER_S, 0..servers)[8];
    let after = w.requests_during(phase_us, 0..servers)[8];
    let expected = (w.per_s * gateways as f64 / servers as f64) * phase_us as f64 / 1e6;
    figures.record(&name("to_a_failing_one_in_3_s"), first_3_s, "requests");
    let limit = if shares_health {
        phase_us as f64 / 4e6 + 3.0
    } else {
        f64::INFINITY
    };
    figures.at_most(&name("to_it_after"), after, "requests", limit);
    w.servers[8].fails = false;
    w.run(5 * US_PER_S);
    let back = w.requests_during(phase_us, 0..servers)[8] / expected;
    figures.at_least(
        &name("back"),
        back,
        "of-due",
        if shares_health && min_jain > 0.0 {
            0.5
        } else {
            0.0
        },
    );

    // A third of the gateways crashes. Only if gateways communicate, the others learn of it, after `CRASH_DETECTION_US`.
    let remaining: Vec<u32> = (0..gateways as u32).filter(|n| n % 3 > 0).collect();
    (0..gateways).step_by(3).for_each(|n| w.gateways[n] = None);
    w.run(CRASH_DETECTION_US);
    for n in remaining.iter().filter(|_| shares_health) {
        w.handle_event(*n as usize, Event::Gateways(remaining.clone()));
    }
    let requests = w.requests_during(phase_us, 0..servers);
    figures.at_least(
        &name("jain_two_thirds"),
        jain_index(&requests),
        "of-1",
        if shares_health { min_jain } else { 0.0 },
    );
    figures.record(
        &name("most_used_by_two_thirds"),
        max_to_mean_ratio(&requests),
        "of-mean",
    );
    let unused = requests.iter().filter(|g| **g == 0.0).count();
    figures.at_most(
        &name("unused_by_two_thirds"),
        unused as f64,
        "servers",
        if shares_health && min_jain > 0.0 {
            0.0
        } else {
            f64::INFINITY
        },
    );

    // A rollout replaces 60 % of the servers by cold ones within 7 s, in ten steps.
    (w.used_pairs, w.attempts) = (BTreeSet::new(), 0);
    let replaced = servers * 6 / 10;
    for step in 0..10 {
        let batch = replaced * step / 10..replaced * (step + 1) / 10;
        let now = w.now;
        let gone = batch.clone().map(|n| ServerEntry {
            health: Health::Draining,
            ..entry(n, 0)
        });
        let added = batch.clone().map(|n| entry(servers + n, now));
        let entries: Vec<ServerEntry> = gone.chain(added).collect();
        for n in batch {
            w.server_indices
                .insert(self::name(servers + n), w.servers.len());
            w.servers.push(Server {
                cores: [0; CORES],
                fails: false,
                requests: 0,
            });
        }
        for by in remaining.iter() {
            w.handle_event(
                *by as usize,
                Event::Servers {
                    kind: ListKind::Partial,
                    entries: entries.clone(),
                },
            );
        }
        w.run(700 * US_PER_MS);
    }
    figures.record(
        &name("met_an_attempt_in_a_release"),
        w.used_pairs.len() as f64 / w.attempts as f64,
        "pairs",
    );
    w.run(20 * US_PER_S);
    let requests = w.requests_during(phase_us, replaced..servers + replaced);
    figures.at_least(
        &name("jain_after_a_release"),
        jain_index(&requests),
        "of-1",
        if shares_health { min_jain } else { 0.0 },
    );
    figures.record(&name("served"), w.served as f64 / w.sent as f64, "of-asked");
    figures.record(&name("play_took"), began.elapsed().as_secs_f64(), "s");
}
