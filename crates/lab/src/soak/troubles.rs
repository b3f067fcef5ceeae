//! Troubles of a soak, drawn by a seed: several at a time, of different kinds.

use super::agent::{self, Discovery};
use super::chance::Chance;
use super::gateways::Gateway;
use super::proxy::Way;
use super::record::History;
use super::servers::{self, Memory, Server};
use frosthatch_test_doubles::Fault;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::runtime::Handle;

/// Troubles that are under way at once, as drawn anew for each.
const AT_ONCE: usize = 4;
/// Cells of servers, each with a memory of its own.
const CELLS: u64 = 3;
/// With fewer servers none is taken away.
const LEAST_SERVERS: usize = 4;
const HOUR_MS: i64 = 3_600_000;

/// One kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    ServerMood,
    ServerPath,
    ServerDrains,
    ServerRestarts,
    ServersReplaced,
    DiscoveryMood,
    GatewayEnds,
    GatewayDies,
    GatewayPauses,
    GatewayReloads,
    WallClockSteps,
    SystemCalls,
    HeldUp,
}

pub const KINDS: [Kind; 13] = [
    Kind::ServerMood,
    Kind::ServerPath,
    Kind::ServerDrains,
    Kind::ServerRestarts,
    Kind::ServersReplaced,
    Kind::DiscoveryMood,
    Kind::GatewayEnds,
    Kind::GatewayDies,
    Kind::GatewayPauses,
    Kind::GatewayReloads,
    Kind::WallClockSteps,
    Kind::SystemCalls,
    Kind::HeldUp,
];

/// What troubles happen to.
pub struct World {
    pub on: Handle,
    pub gateways: Arc<Vec<Gateway>>,
    pub servers: Mutex<Vec<Server>>,
    pub discovery: Discovery,
    pub memory: Memory,
    pub history: Arc<History>,
    /// What is busy with a trouble: gateways by number.
    busy: Mutex<Vec<bool>>,
    next_server: Mutex<u64>,
    /// What happened, for a reader.
    pub log: Mutex<Vec<String>>,
    since: Instant,
}

impl World {
    pub fn new(
        on: Handle,
        gateways: Arc<Vec<Gateway>>,
        discovery: Discovery,
        history: Arc<History>,
    ) -> World {
        let busy = Mutex::new(vec![false; gateways.len()]);
        World {
            on,
            gateways,
            servers: Mutex::default(),
            discovery,
            memory: Memory::default(),
            history,
            busy,
            next_server: Mutex::default(),
            log: Mutex::default(),
            since: Instant::now(),
        }
    }

    fn note(&self, what: String) {
        self.log
            .lock()
            .expect("a log")
            .push(format!("{:6.2} {what}", self.since.elapsed().as_secs_f64()));
    }

    /// Another server; `fresh`: it starts now, and is cold.
    pub fn add_server(&self, fresh: bool) {
        let number = {
            let mut next = self.next_server.lock().expect("a number");
            *next += 1;
            *next
        };
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let boot_ms = if fresh { now.as_millis() as u64 } else { 0 };
        let (uid, cell) = (format!("s-{number}"), number % CELLS);
        let server = Server::start(
            &self.on,
            uid.clone(),
            cell,
            fresh,
            &self.memory,
            &self.history,
        );
        self.discovery.add(&uid, server.address, cell, boot_ms);
        self.servers.lock().expect("servers").push(server);
    }

    /// Takes one out of the servers, if enough stay.
    fn take_server(&self, chance: &mut Chance) -> Option<Server> {
        let mut servers = self.servers.lock().expect("servers");
        if servers.len() < LEAST_SERVERS {
            return None;
        }
        let nth = chance.below(servers.len());
        Some(servers.swap_remove(nth))
    }

    /// Takes a server off, which drains and then goes.
    fn drain_one(&self, chance: &mut Chance, drains_for: Duration) {
        let Some(server) = self.take_server(chance) else {
            return;
        };
        self.note(format!("{} drains for {drains_for:?}", server.uid));
        self.discovery.drain(&server.uid);
        thread::sleep(drains_for);
        self.discovery.remove(&server.uid);
        // It answers a while longer.
        thread::sleep(Duration::from_millis(700));
    }

    fn claim_gateway(&self, chance: &mut Chance) -> Option<usize> {
        let mut busy = self.busy.lock().expect("gateways");
        let free: Vec<usize> = (0..busy.len()).filter(|n| !busy[*n]).collect();
        // Most stay up.
        if free.len() * 2 <= busy.len() {
            return None;
        }
        let nth = *chance.pick(&free);
        busy[nth] = true;
        Some(nth)
    }

    fn release_gateway(&self, nth: usize) {
        self.busy.lock().expect("gateways")[nth] = false;
    }

    /// Troubles for so long, several at a time.
    pub fn run(self: &Arc<Self>, chance: &mut Chance, kinds: &[Kind], length: Duration) {
        let (start, mut under_way) = (Instant::now(), Vec::<thread::JoinHandle<()>>::new());
        while start.elapsed() < length {
            under_way.retain(|t| !t.is_finished());
            if under_way.len() < 1 + chance.below(AT_ONCE) {
                let (world, kind, own) = (self.clone(), *chance.pick(kinds), chance.fork());
                under_way.push(thread::spawn(move || world.trouble(kind, own)));
            }
            thread::sleep(chance.millis(20, 300));
        }
        for trouble in under_way {
            let _ = trouble.join();
        }
    }

    fn trouble(&self, kind: Kind, mut chance: Chance) {
        let length = chance.millis(100, 2_500);
        match kind {
            Kind::ServerMood => self.server_mood(&mut chance, length),
            Kind::ServerPath => self.server_path(&mut chance, length),
            Kind::ServerDrains => {
                self.add_server(true);
                self.drain_one(&mut chance, length);
            }
            Kind::ServerRestarts => self.server_restarts(&mut chance),
            Kind::ServersReplaced => {
                for _ in 0..3 {
                    self.add_server(true);
                    self.drain_one(&mut chance, length / 4);
                }
            }
            Kind::DiscoveryMood => self.discovery_mood(&mut chance, length),
            _ => {
                let Some(nth) = self.claim_gateway(&mut chance) else {
                    return;
                };
                self.gateway_trouble(kind, nth, &mut chance, length);
                self.release_gateway(nth);
            }
        }
    }

    fn server_mood(&self, chance: &mut Chance, length: Duration) {
        use servers::Mood;
        let moods = [
            Mood::Hangs,
            Mood::Fails,
            Mood::TurnsAway,
            Mood::Resets,
            Mood::Closes,
            Mood::NoLength,
            Mood::Slow,
        ];
        let mood = *chance.pick(&moods);
        let what = |uid: &str| format!("{uid} {mood:?} for {length:?}");
        self.server_for(
            chance,
            length,
            what,
            |server| server.set_mood(mood),
            |server| server.set_mood(Mood::Well),
        );
    }

    fn server_path(&self, chance: &mut Chance, length: Duration) {
        let ways = [
            Way::Held,
            Way::Trickles,
            Way::CutsRequests,
            Way::CutsAnswers,
        ];
        let way = *chance.pick(&ways);
        let what = |uid: &str| format!("the way to {uid} {way:?} for {length:?}");
        self.server_for(
            chance,
            length,
            what,
            |server| server.path().set(way),
            |server| server.path().set(Way::Open),
        );
    }

    /// Something is wrong with one server for so long.
    fn server_for(
        &self,
        chance: &mut Chance,
        length: Duration,
        what: impl Fn(&str) -> String,
        begin: impl Fn(&Server),
        end: impl Fn(&Server),
    ) {
        let uid = {
            let servers = self.servers.lock().expect("servers");
            if servers.is_empty() {
                return;
            }
            let server = chance.pick(&servers);
            begin(server);
            server.uid.clone()
        };
        self.note(what(&uid));
        thread::sleep(length);
        self.servers
            .lock()
            .expect("servers")
            .iter()
            .filter(|s| s.uid == uid)
            .for_each(end);
    }

    /// A process dies; another takes its place, under a name of its own.
    fn server_restarts(&self, chance: &mut Chance) {
        self.add_server(true);
        let Some(server) = self.take_server(chance) else {
            return;
        };
        self.note(format!("{} dies", server.uid));
        server.kill();
        thread::sleep(chance.millis(0, 1_000));
        self.discovery.remove(&server.uid);
    }

    fn discovery_mood(&self, chance: &mut Chance, length: Duration) {
        use agent::Mood;
        let mood = *chance.pick(&[
            Mood::DeafToWatches,
            Mood::Down,
            Mood::Slow,
            Mood::EndsWatches,
        ]);
        let all = chance.percent(50);
        let of: Vec<usize> = (0..self.gateways.len())
            .filter(|_| all || chance.percent(30))
            .collect();
        self.note(format!("discovery {mood:?} for {of:?} for {length:?}"));
        of.iter().for_each(|g| self.discovery.set_mood(*g, mood));
        thread::sleep(length);
        of.iter()
            .for_each(|g| self.discovery.set_mood(*g, Mood::Telling));
    }

    fn gateway_trouble(&self, kind: Kind, nth: usize, chance: &mut Chance, length: Duration) {
        let gateway = &self.gateways[nth];
        match kind {
            Kind::GatewayEnds => {
                self.note(format!("gateway {nth} is told to end"));
                gateway.terminate();
                gateway.start();
            }
            Kind::GatewayDies => {
                self.note(format!("gateway {nth} is killed"));
                gateway.kill();
                thread::sleep(chance.millis(0, 800));
                gateway.start();
            }
            Kind::GatewayPauses => {
                self.note(format!("gateway {nth} is held up again and again"));
                for _ in 0..5 {
                    gateway.pause(chance.millis(20, 150));
                    thread::sleep(chance.millis(20, 300));
                }
            }
            Kind::GatewayReloads => {
                self.note(format!("gateway {nth} gets new configurations"));
                for _ in 0..1 + chance.below(4) {
                    gateway.reload();
                    thread::sleep(chance.millis(0, 400));
                }
            }
            Kind::WallClockSteps => {
                let steps = [-HOUR_MS, HOUR_MS, -3_000, 3_000, 0];
                let step = *chance.pick(&steps);
                self.note(format!("gateway {nth}: the wall clock is off by {step} ms"));
                gateway.set(Fault::WallClockOffsetMs, step);
            }
            Kind::HeldUp => {
                self.note(format!(
                    "gateway {nth} is held up before writes for {length:?}"
                ));
                gateway.set(Fault::StallMs, 140);
                gateway.set(Fault::Stall, 30);
                thread::sleep(length);
                gateway.set(Fault::Stall, 0);
            }
            _ => {
                let faults = [
                    Fault::Socket,
                    Fault::Connect,
                    Fault::Accept,
                    Fault::Interrupted,
                    Fault::Short,
                    Fault::Broken,
                ];
                let (fault, rate) = (*chance.pick(&faults), 50 + chance.below(400) as i64);
                self.note(format!("gateway {nth}: {fault:?} {rate} for {length:?}"));
                gateway.set(fault, rate);
                thread::sleep(length);
                gateway.set(fault, 0);
            }
        }
    }
}
