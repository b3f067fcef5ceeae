//! A fleet of gateways on the testbed under load, shared by the scenarios `members`, `choices`, `policy` and `power-loss`.

use crate::load::{self, Load, Outcome, RequestSpec, CHECK, TOP_UP};
use crate::servers::{Meter, Server};
use crate::site::{pause, Node};
use crate::testbed::{fleet_file, Process, Relay, Testbed, TimelineAction};
use frosthatch_test_doubles::{endpoint_entry, write_config_file, Discovery};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::runtime::{Handle, Runtime};

/// Default number of servers.
pub const SERVERS: usize = 8;
/// Load on the fleet.
const REQUESTS_PER_S: f64 = 300.0;
/// Bound on waiting for a log line from all members, and for equal views after a heal.
pub const DETECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// A customer that sends three times its ceiling: key, requests per second, ceiling in units per second, ceiling depth in units.
pub const CUSTOMER_ABOVE_CEILING: (u32, f64, f64, f64) = (9_001, 60.0, 20.0, 40.0);

/// Formats the endpoint list. Each server is a cell of its own, so it deduplicates by itself; `first` is the state of the first
/// server, and `more` is appended to the list.
pub fn endpoint_list(servers: &[Server], first: &str, more: &str) -> String {
    let state = |n| if n == 0 { first } else { "Ready" };
    let format_entry =
        |(n, s): (usize, &Server)| endpoint_entry(&format!("s{n}"), s.address, n as u64, state(n));
    let list: Vec<String> = servers.iter().enumerate().map(format_entry).collect();
    list.join(",") + more
}

/// The address to which clients send requests for one process, if any, and how often that address changed.
#[derive(Clone, Copy)]
struct ClientTarget {
    at: Option<SocketAddr>,
    changes: u64,
}

/// Results of the requests whose gateway stayed available throughout. Requests of the customer above its ceiling count only
/// as unanswered ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestCounts {
    pub sent: usize,
    pub served: usize,
    pub refused: usize,
    pub unanswered: usize,
}

/// A fleet of gateways on the testbed, their servers and their load.
pub struct Site {
    pub testbed: Testbed,
    gateways: usize,
    targets: Arc<Mutex<Vec<ClientTarget>>>,
    pub servers: Vec<Server>,
    pub meter: Arc<Meter>,
    pub agent: Discovery,
    key: std::path::PathBuf,
    stopping: Arc<Mutex<bool>>,
    request_counts: Arc<Mutex<RequestCounts>>,
    clients: Option<tokio::task::JoinHandle<()>>,
}

impl Site {
    /// Creates `processes` processes of a fleet of `gateways` in front of `servers` servers. `config_of` returns the gateway index of each
    /// process and the text appended to its fleet file.
    pub fn new(
        handle: &Handle,
        seed: u64,
        (gateways, processes): (usize, usize),
        servers: usize,
        config_of: impl Fn(usize, &Relay) -> (usize, String),
    ) -> Site {
        Site::with_agents(
            handle,
            seed,
            (gateways, processes),
            servers,
            config_of,
            |_| None,
        )
    }

    /// Creates a fleet like [`Site::new`]; `agents` returns the endpoint list agent of a process that has one of its own.
    pub fn with_agents(
        handle: &Handle,
        seed: u64,
        (gateways, processes): (usize, usize),
        servers: usize,
        config_of: impl Fn(usize, &Relay) -> (usize, String),
        agents: impl Fn(usize) -> Option<SocketAddr>,
    ) -> Site {
        let meter = Meter::new([(CUSTOMER_ABOVE_CEILING.0, 10.0)].into_iter());
        let anywhere: SocketAddr = ([127, 0, 0, 1], 0).into();
        let server = |_| Server::with_meter(handle, anywhere, false, Some(meter.clone()));
        let servers: Vec<Server> = (0..servers).map(server).collect();
        let agent = Discovery::new(&endpoint_list(&servers, "Ready", ""));
        let relay = Relay::new(handle, processes, seed);
        let key = write_config_file("a key of the lab's own, long enough for all");
        let all = (0..processes).map(|n| {
            let (me, more) = config_of(n, &relay);
            let discovery = agents(n).unwrap_or(agent.address);
            let node = Node {
                gateways,
                me,
                discovery,
                counter: None,
                sockets: 512,
                memory_mb: 64,
            };
            Process::new(node, Some(fleet_file(&relay, n, &key, &more)))
        });
        let testbed = Testbed::new(all.collect(), relay);
        let targets = Arc::new(Mutex::new(vec![
            ClientTarget {
                at: None,
                changes: 0
            };
            processes
        ]));
        let (stopping, request_counts) = (Arc::default(), Arc::default());
        Site {
            testbed,
            gateways,
            targets,
            servers,
            meter,
            agent,
            key,
            stopping,
            request_counts,
            clients: None,
        }
    }

    /// Starts the clients.
    pub fn start_load(&mut self, handle: &Handle, seed: u64) {
        let (targets, stopping, request_counts) = (
            self.targets.clone(),
            self.stopping.clone(),
            self.request_counts.clone(),
        );
        self.clients = Some(handle.spawn(clients(
            targets,
            self.gateways,
            stopping,
            request_counts,
            seed,
        )));
    }

    /// Returns the results so far.
    pub fn request_counts(&self) -> RequestCounts {
        *self.request_counts.lock().expect("lock is not poisoned")
    }

    /// Stops the clients, waits for their last requests, and returns the results.
    pub fn stop_load(&mut self, runtime: &Runtime) -> RequestCounts {
        *self.stopping.lock().expect("lock is not poisoned") = true;
        self.clients
            .take()
            .into_iter()
            .for_each(|c| drop(runtime.block_on(c)));
        self.request_counts()
    }

    /// Makes clients use all running processes.
    pub fn route_to_running(&self) {
        for (target, p) in self
            .targets
            .lock()
            .expect("lock is not poisoned")
            .iter_mut()
            .zip(&self.testbed.processes)
        {
            let at = p.address().filter(|_| p.is_running());
            if at != target.at {
                *target = ClientTarget {
                    at,
                    changes: target.changes + 1,
                };
            }
        }
    }

    /// Makes clients stop using these processes.
    pub fn stop_routing_to(&self, who: &[usize]) {
        let mut targets = self.targets.lock().expect("lock is not poisoned");
        who.iter().for_each(|w| {
            targets[*w] = ClientTarget {
                at: None,
                changes: targets[*w].changes + 1,
            }
        });
    }

    /// Applies an action to the testbed. Clients stop using processes before these are killed, stopped or leave, and use them
    /// again once they are ready.
    pub fn apply(&mut self, action: TimelineAction) {
        if let TimelineAction::Kill { who }
        | TimelineAction::Stop { who }
        | TimelineAction::Leave { who } = &action
        {
            self.stop_routing_to(who);
            // Lets requests in flight be answered.
            if matches!(action, TimelineAction::Leave { .. }) {
                pause(Duration::from_millis(20));
            }
        }
        self.testbed.apply(&action);
        if let TimelineAction::Start { who } = &action {
            who.iter().for_each(|w| self.testbed.wait_ready(*w));
            self.route_to_running();
        }
        if let TimelineAction::Continue { .. } = &action {
            self.route_to_running();
        }
    }

    /// Returns the seconds from `since` until `process_count` processes have logged a line with `what` about each of `members`,
    /// or `None` after [`DETECTION_TIMEOUT`].
    pub fn seconds_until_logged(
        &self,
        since: Duration,
        members: &[usize],
        what: &str,
        process_count: usize,
    ) -> Option<f64> {
        let started_at = Instant::now();
        loop {
            let lines = self.testbed.history.log_lines(what);
            let logged_at = |n: &usize| {
                let name = format!("member n{n}: ");
                let mut seen: Vec<(Duration, usize)> = Vec::new();
                for (at, who, _) in lines
                    .iter()
                    .filter(|(at, _, l)| *at >= since && l.starts_with(&name))
                {
                    if seen.iter().all(|(_, w)| w != who) {
                        seen.push((*at, *who));
                    }
                }
                (seen.len() >= process_count).then(|| seen[process_count - 1].0)
            };
            let all: Option<Vec<Duration>> = members.iter().map(logged_at).collect();
            if let Some(all) = all {
                let last = all.into_iter().max().unwrap_or_default();
                return Some((last.saturating_sub(since)).as_secs_f64());
            }
            if started_at.elapsed() > DETECTION_TIMEOUT {
                return None;
            }
            pause(Duration::from_millis(20));
        }
    }

    /// Returns the seconds until all running processes have the same view with `ready` ready members, or infinity after
    /// [`DETECTION_TIMEOUT`].
    pub fn seconds_until_views_agree(&self, ready: usize) -> f64 {
        let since = Instant::now();
        while since.elapsed() < DETECTION_TIMEOUT {
            if self.testbed.views_agree(ready) {
                return since.elapsed().as_secs_f64();
            }
            pause(Duration::from_millis(30));
        }
        f64::INFINITY
    }

    /// Returns the time since the start of the history.
    pub fn now(&self) -> Duration {
        self.testbed.history.elapsed()
    }

    /// Returns the units by which the customer above its ceiling exceeded the ceiling.
    pub fn units_over_ceiling(&self) -> f64 {
        let (_, _, rate, depth) = CUSTOMER_ABOVE_CEILING;
        let uses: Vec<Instant> = self
            .meter
            .uses()
            .iter()
            .filter(|u| u.customer == CUSTOMER_ABOVE_CEILING.0)
            .map(|u| u.at)
            .collect();
        let first = uses.first().copied();
        let since =
            |at: &Instant| first.map_or(0.0, |f| at.saturating_duration_since(f).as_secs_f64());
        let uses: Vec<(f64, f64)> = uses.iter().map(|at| (since(at), 1.0)).collect();
        // Requests are in flight for up to 150 ms and may arrive in any order: the depth grows by what the ceiling grants then.
        load::units_over_bucket(&uses, rate, depth + rate * 0.15, 0.0, f64::INFINITY)
    }

    /// Returns the log lines that declare a member dead.
    pub fn dead_log_lines(&self) -> Vec<(Duration, usize, String)> {
        self.testbed.history.log_lines(": dead")
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.key);
    }
}

/// Sends requests until `stopping` is set; counts the results of those whose gateway stayed available throughout.
async fn clients(
    targets: Arc<Mutex<Vec<ClientTarget>>>,
    gateways: usize,
    stopping: Arc<Mutex<bool>>,
    request_counts: Arc<Mutex<RequestCounts>>,
    seed: u64,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut tasks = tokio::task::JoinSet::new();
    let mut due = tokio::time::Instant::now();
    while !*stopping.lock().expect("lock is not poisoned") {
        due += Duration::from_secs_f64(1.0 / REQUESTS_PER_S);
        tokio::time::sleep_until(due).await;
        while tasks.try_join_next().is_some() {}
        let available: Vec<(usize, ClientTarget)> = {
            let targets = targets.lock().expect("lock is not poisoned");
            targets
                .iter()
                .copied()
                .enumerate()
                .filter(|(_, p)| p.at.is_some())
                .collect()
        };
        if available.is_empty() {
            continue;
        }
        let (n, target) = available[rng.next_u32() as usize % available.len()];
        let exceeds_ceiling = f64::from(rng.next_u32())
            < CUSTOMER_ABOVE_CEILING.1 / REQUESTS_PER_S * f64::from(u32::MAX);
        let (customer, plan) = match exceeds_ceiling {
            true => (CUSTOMER_ABOVE_CEILING.0, "ekstra-stor"),
            false => (rng.next_u32() % 400, "mellem"),
        };
        let class = if rng.next_u32() % 100 < 71 {
            CHECK
        } else {
            TOP_UP
        };
        let id = u64::from(rng.next_u32()) << 32 | u64::from(customer);
        let (targets, request_counts) = (targets.clone(), request_counts.clone());
        tasks.spawn(async move {
            // `Load` announces its number of addresses as the request's `spread`: it has to be the size of the fleet.
            let Some(at) = target.at else { return };
            let load = Load::new(vec![at; gateways]);
            let spec = RequestSpec {
                class,
                plan,
                customer,
                units: 1,
                id,
            };
            let outcome = load.send_request(0, spec, due).await;
            // A gateway that was killed or stopped meanwhile cannot answer.
            if targets.lock().expect("lock is not poisoned")[n].changes != target.changes {
                return;
            }
            let mut request_counts = request_counts.lock().expect("lock is not poisoned");
            // Requests above the ceiling are refused as intended.
            request_counts.sent += usize::from(!exceeds_ceiling);
            request_counts.served += usize::from(outcome == Outcome::Served && !exceeds_ceiling);
            request_counts.refused += usize::from(outcome == Outcome::Refused && !exceeds_ceiling);
            request_counts.unanswered +=
                usize::from(matches!(outcome, Outcome::Unanswered | Outcome::Invalid));
        });
    }
    while tasks.join_next().await.is_some() {}
}
