//! Gateways that talk to each other, on the testbed and under load: what the scenarios `members` and `policy` share.

use crate::load::{self, Got, Load, Shape, CHECK, TOP_UP};
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

/// Servers, where a scenario does not want others.
pub const SERVERS: usize = 8;
/// Requests a second.
const PER_S: f64 = 300.0;
/// How long all may take to know something, and to agree after the last heal.
pub const KNOWN_WITHIN: Duration = Duration::from_secs(20);

/// A customer with a ceiling who asks for three times that: key, requests a second, ceiling, its depth.
pub const GREEDY: (u32, f64, f64, f64) = (9_001, 60.0, 20.0, 40.0);

/// The list: each server remembers repeats for itself; the first one's state, and what else there is.
pub fn listed(servers: &[Server], first: &str, more: &str) -> String {
    let state = |n| if n == 0 { first } else { "Ready" };
    let one =
        |(n, s): (usize, &Server)| endpoint_entry(&format!("s{n}"), s.address, n as u64, state(n));
    let list: Vec<String> = servers.iter().enumerate().map(one).collect();
    list.join(",") + more
}

/// Where clients may go now, and how often that changed for each.
#[derive(Clone, Copy)]
struct Place {
    at: Option<SocketAddr>,
    moves: u64,
}

/// What became of requests to gateways that were there throughout; the greedy customer's count only where none was answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shots {
    pub asked: usize,
    pub served: usize,
    pub refused: usize,
    pub unanswered: usize,
}

/// Gateways on the testbed under load.
pub struct Site {
    pub testbed: Testbed,
    gateways: usize,
    places: Arc<Mutex<Vec<Place>>>,
    pub servers: Vec<Server>,
    pub meter: Arc<Meter>,
    pub agent: Discovery,
    key: std::path::PathBuf,
    ending: Arc<Mutex<bool>>,
    shots: Arc<Mutex<Shots>>,
    clients: Option<tokio::task::JoinHandle<()>>,
}

impl Site {
    /// So many processes of a fleet of `gateways`, before so many servers; `of` tells the number of each and what is added to its file.
    pub fn new(
        on: &Handle,
        seed: u64,
        (gateways, processes): (usize, usize),
        servers: usize,
        of: impl Fn(usize, &Relay) -> (usize, String),
    ) -> Site {
        Site::listing(on, seed, (gateways, processes), servers, of, |_| None)
    }

    /// The same, some of them with a list agent of their own.
    pub fn listing(
        on: &Handle,
        seed: u64,
        (gateways, processes): (usize, usize),
        servers: usize,
        of: impl Fn(usize, &Relay) -> (usize, String),
        agents: impl Fn(usize) -> Option<SocketAddr>,
    ) -> Site {
        let meter = Meter::new([(GREEDY.0, 10.0)].into_iter());
        let anywhere: SocketAddr = ([127, 0, 0, 1], 0).into();
        let server = |_| Server::with_meter(on, anywhere, false, Some(meter.clone()));
        let servers: Vec<Server> = (0..servers).map(server).collect();
        let agent = Discovery::new(&listed(&servers, "Ready", ""));
        let relay = Relay::new(on, processes, seed);
        let key = write_config_file("a key of the lab's own, long enough for all");
        let all = (0..processes).map(|n| {
            let (me, more) = of(n, &relay);
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
        let places = Arc::new(Mutex::new(vec![Place { at: None, moves: 0 }; processes]));
        let (ending, shots) = (Arc::default(), Arc::default());
        Site {
            testbed,
            gateways,
            places,
            servers,
            meter,
            agent,
            key,
            ending,
            shots,
            clients: None,
        }
    }

    /// Clients ask from now on.
    pub fn load(&mut self, on: &Handle, seed: u64) {
        let (places, ending, shots) =
            (self.places.clone(), self.ending.clone(), self.shots.clone());
        self.clients = Some(on.spawn(clients(places, self.gateways, ending, shots, seed)));
    }

    pub fn shots(&self) -> Shots {
        *self.shots.lock().expect("shots")
    }

    /// Clients ask no more; what became of all that they asked.
    pub fn end(&mut self, runtime: &Runtime) -> Shots {
        *self.ending.lock().expect("the end") = true;
        self.clients
            .take()
            .into_iter()
            .for_each(|c| drop(runtime.block_on(c)));
        self.shots()
    }

    /// Clients go to those that run, from now on.
    pub fn open(&self) {
        for (place, p) in self
            .places
            .lock()
            .expect("places")
            .iter_mut()
            .zip(&self.testbed.processes)
        {
            let at = p.address().filter(|_| p.is_running());
            if at != place.at {
                *place = Place {
                    at,
                    moves: place.moves + 1,
                };
            }
        }
    }

    /// Clients go there no more.
    pub fn shut(&self, who: &[usize]) {
        let mut places = self.places.lock().expect("places");
        who.iter().for_each(|w| {
            places[*w] = Place {
                at: None,
                moves: places[*w].moves + 1,
            }
        });
    }

    pub fn act(&mut self, act: TimelineAction) {
        if let TimelineAction::Kill { who }
        | TimelineAction::Stop { who }
        | TimelineAction::Leave { who } = &act
        {
            self.shut(who);
            // What was on its way has its answer.
            if matches!(act, TimelineAction::Leave { .. }) {
                pause(Duration::from_millis(20));
            }
        }
        self.testbed.apply(&act);
        if let TimelineAction::Start { who } = &act {
            who.iter().for_each(|w| self.testbed.wait_ready(*w));
            self.open();
        }
        if let TimelineAction::Continue { .. } = &act {
            self.open();
        }
    }

    /// Seconds from `since` until so many processes have logged such a line about each of these; none: not within the time.
    pub fn known(&self, since: Duration, whom: &[usize], what: &str, by: usize) -> Option<f64> {
        let begun = Instant::now();
        loop {
            let lines = self.testbed.history.log_lines(what);
            let of = |n: &usize| {
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
                (seen.len() >= by).then(|| seen[by - 1].0)
            };
            let all: Option<Vec<Duration>> = whom.iter().map(of).collect();
            if let Some(all) = all {
                let last = all.into_iter().max().unwrap_or_default();
                return Some((last.saturating_sub(since)).as_secs_f64());
            }
            if begun.elapsed() > KNOWN_WITHIN {
                return None;
            }
            pause(Duration::from_millis(20));
        }
    }

    /// Seconds until all that run have one view of so many.
    pub fn agrees(&self, ready: usize) -> f64 {
        let since = Instant::now();
        while since.elapsed() < KNOWN_WITHIN {
            if self.testbed.views_agree(ready) {
                return since.elapsed().as_secs_f64();
            }
            pause(Duration::from_millis(30));
        }
        f64::INFINITY
    }

    pub fn now(&self) -> Duration {
        self.testbed.history.elapsed()
    }

    /// Units of the greedy customer that do not fit its ceiling.
    pub fn beyond(&self) -> f64 {
        let (_, _, rate, depth) = GREEDY;
        let uses: Vec<Instant> = self
            .meter
            .uses()
            .iter()
            .filter(|u| u.customer == GREEDY.0)
            .map(|u| u.at)
            .collect();
        let first = uses.first().copied();
        let since =
            |at: &Instant| first.map_or(0.0, |f| at.saturating_duration_since(f).as_secs_f64());
        let uses: Vec<(f64, f64)> = uses.iter().map(|at| (since(at), 1.0)).collect();
        // A request is on its way for a moment: what came within it may have been sent in any order.
        load::beyond(&uses, rate, depth + rate * 0.15, 0.0, f64::INFINITY)
    }

    pub fn dead_lines(&self) -> Vec<(Duration, usize, String)> {
        self.testbed.history.log_lines(": dead")
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.key);
    }
}

/// Asks until told to end; counts what was asked of a gateway that was there throughout, served and without an answer.
async fn clients(
    places: Arc<Mutex<Vec<Place>>>,
    gateways: usize,
    ending: Arc<Mutex<bool>>,
    shots: Arc<Mutex<Shots>>,
    seed: u64,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut out = tokio::task::JoinSet::new();
    let mut due = tokio::time::Instant::now();
    while !*ending.lock().expect("the end") {
        due += Duration::from_secs_f64(1.0 / PER_S);
        tokio::time::sleep_until(due).await;
        while out.try_join_next().is_some() {}
        let there: Vec<(usize, Place)> = {
            let places = places.lock().expect("places");
            places
                .iter()
                .copied()
                .enumerate()
                .filter(|(_, p)| p.at.is_some())
                .collect()
        };
        if there.is_empty() {
            continue;
        }
        let (n, place) = there[rng.next_u32() as usize % there.len()];
        let greedy = f64::from(rng.next_u32()) < GREEDY.1 / PER_S * f64::from(u32::MAX);
        let (customer, plan) = match greedy {
            true => (GREEDY.0, "ekstra-stor"),
            false => (rng.next_u32() % 400, "mellem"),
        };
        let class = if rng.next_u32() % 100 < 71 {
            CHECK
        } else {
            TOP_UP
        };
        let id = u64::from(rng.next_u32()) << 32 | u64::from(customer);
        let (places, shots) = (places.clone(), shots.clone());
        out.spawn(async move {
            // The load's word for the width of a set: all of them.
            let Some(at) = place.at else { return };
            let load = Load::to(vec![at; gateways]);
            let shape = Shape {
                class,
                plan,
                customer,
                units: 1,
                id,
            };
            let got = load.ask(0, shape, due).await;
            // One that was killed or stopped in between cannot answer.
            if places.lock().expect("places")[n].moves != place.moves {
                return;
            }
            let mut shots = shots.lock().expect("shots");
            // Whoever asks for too much is refused.
            shots.asked += usize::from(!greedy);
            shots.served += usize::from(got == Got::Served && !greedy);
            shots.refused += usize::from(got == Got::Refused && !greedy);
            shots.unanswered += usize::from(matches!(got, Got::Nothing | Got::Wrong));
        });
    }
    while out.join_next().await.is_some() {}
}
