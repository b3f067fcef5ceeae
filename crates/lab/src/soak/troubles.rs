//! Fault injection of the soak: several concurrent faults of different kinds, chosen by a seed.

use super::agent::{self, Discovery};
use super::chance::Chance;
use super::gateways::Gateway;
use super::proxy::PathState;
use super::record::History;
use super::servers::{self, DedupStores, Server};
use frosthatch_test_doubles::Fault;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::runtime::Handle;

/// Maximum number of concurrent faults; each check draws a bound between 1 and this number.
const MAX_CONCURRENT_FAULTS: usize = 4;
/// Number of server cells, each with a deduplication store of its own.
const CELLS: u64 = 3;
/// Number of servers below which none is removed.
const MIN_SERVERS: usize = 4;
const HOUR_MS: i64 = 3_600_000;

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A server hangs, fails, rejects, resets, closes or slows down.
    ServerMode,
    /// The path to a server is held, trickles or cuts connections.
    ServerPath,
    /// A server drains and is replaced by a cold one.
    ServerDrain,
    /// A server crashes and a cold one takes its place.
    ServerCrash,
    /// Three servers are replaced in turn.
    ServerRollout,
    /// Endpoint list agents of some or all gateways misbehave.
    DiscoveryMode,
    /// A gateway is terminated in order and restarted.
    GatewayTerminate,
    /// A gateway is killed and restarted.
    GatewayKill,
    /// A gateway is paused (SIGSTOP) for short periods.
    GatewayPause,
    /// A gateway reloads its configuration.
    GatewayReload,
    /// The wall clock of a gateway steps.
    WallClockStep,
    /// System calls of a gateway fail.
    SystemCallFault,
    /// Writes of a gateway stall.
    WriteStall,
}

/// All kinds of faults.
pub const ALL_FAULT_KINDS: [FaultKind; 13] = [
    FaultKind::ServerMode,
    FaultKind::ServerPath,
    FaultKind::ServerDrain,
    FaultKind::ServerCrash,
    FaultKind::ServerRollout,
    FaultKind::DiscoveryMode,
    FaultKind::GatewayTerminate,
    FaultKind::GatewayKill,
    FaultKind::GatewayPause,
    FaultKind::GatewayReload,
    FaultKind::WallClockStep,
    FaultKind::SystemCallFault,
    FaultKind::WriteStall,
];

/// The installation into which faults are injected.
pub struct World {
    pub handle: Handle,
    pub gateways: Arc<Vec<Gateway>>,
    pub servers: Mutex<Vec<Server>>,
    pub discovery: Discovery,
    pub dedup_stores: DedupStores,
    pub history: Arc<History>,
    /// Whether a fault is in progress at each gateway.
    faulted: Mutex<Vec<bool>>,
    next_server: Mutex<u64>,
    /// The injected faults with their times, as text.
    pub log: Mutex<Vec<String>>,
    since: Instant,
}

impl World {
    pub fn new(
        handle: Handle,
        gateways: Arc<Vec<Gateway>>,
        discovery: Discovery,
        history: Arc<History>,
    ) -> World {
        let faulted = Mutex::new(vec![false; gateways.len()]);
        World {
            handle,
            gateways,
            servers: Mutex::default(),
            discovery,
            dedup_stores: DedupStores::default(),
            history,
            faulted,
            next_server: Mutex::default(),
            log: Mutex::default(),
            since: Instant::now(),
        }
    }

    fn log_event(&self, what: String) {
        self.log
            .lock()
            .expect("lock is not poisoned")
            .push(format!("{:6.2} {what}", self.since.elapsed().as_secs_f64()));
    }

    /// Adds a server to the installation and the list; a `fresh` one is cold.
    pub fn add_server(&self, fresh: bool) {
        let number = {
            let mut next = self.next_server.lock().expect("lock is not poisoned");
            *next += 1;
            *next
        };
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let boot_ms = if fresh { now.as_millis() as u64 } else { 0 };
        let (uid, cell) = (format!("s-{number}"), number % CELLS);
        let server = Server::start(
            &self.handle,
            uid.clone(),
            cell,
            fresh,
            &self.dedup_stores,
            &self.history,
        );
        self.discovery.add(&uid, server.address, cell, boot_ms);
        self.servers
            .lock()
            .expect("lock is not poisoned")
            .push(server);
    }

    /// Removes a random server, unless fewer than [`MIN_SERVERS`] are left.
    fn take_server(&self, chance: &mut Chance) -> Option<Server> {
        let mut servers = self.servers.lock().expect("lock is not poisoned");
        if servers.len() < MIN_SERVERS {
            return None;
        }
        let nth = chance.below(servers.len());
        Some(servers.swap_remove(nth))
    }

    /// Drains a random server for `drains_for`, then removes it from the list.
    fn drain_server(&self, chance: &mut Chance, drains_for: Duration) {
        let Some(server) = self.take_server(chance) else {
            return;
        };
        self.log_event(format!("{} drains for {drains_for:?}", server.uid));
        self.discovery.drain(&server.uid);
        thread::sleep(drains_for);
        self.discovery.remove(&server.uid);
        // The server answers for a while after its removal from the list.
        thread::sleep(Duration::from_millis(700));
    }

    /// Reserves a random gateway for a fault, as long as more than half of the gateways are free.
    fn claim_gateway(&self, chance: &mut Chance) -> Option<usize> {
        let mut faulted = self.faulted.lock().expect("lock is not poisoned");
        let free: Vec<usize> = (0..faulted.len()).filter(|n| !faulted[*n]).collect();
        if free.len() * 2 <= faulted.len() {
            return None;
        }
        let nth = *chance.pick(&free);
        faulted[nth] = true;
        Some(nth)
    }

    fn release_gateway(&self, nth: usize) {
        self.faulted.lock().expect("lock is not poisoned")[nth] = false;
    }

    /// Injects faults of these kinds for `length`, several at a time, and waits until all have ended.
    pub fn run(self: &Arc<Self>, chance: &mut Chance, kinds: &[FaultKind], length: Duration) {
        let (start, mut active) = (Instant::now(), Vec::<thread::JoinHandle<()>>::new());
        while start.elapsed() < length {
            active.retain(|t| !t.is_finished());
            if active.len() < 1 + chance.below(MAX_CONCURRENT_FAULTS) {
                let (world, kind, fault_chance) =
                    (self.clone(), *chance.pick(kinds), chance.fork());
                active.push(thread::spawn(move || world.inject(kind, fault_chance)));
            }
            thread::sleep(chance.millis(20, 300));
        }
        for task in active {
            let _ = task.join();
        }
    }

    fn inject(&self, kind: FaultKind, mut chance: Chance) {
        let length = chance.millis(100, 2_500);
        match kind {
            FaultKind::ServerMode => self.set_random_server_mode(&mut chance, length),
            FaultKind::ServerPath => self.set_random_path_state(&mut chance, length),
            FaultKind::ServerDrain => {
                self.add_server(true);
                self.drain_server(&mut chance, length);
            }
            FaultKind::ServerCrash => self.crash_server(&mut chance),
            FaultKind::ServerRollout => {
                for _ in 0..3 {
                    self.add_server(true);
                    self.drain_server(&mut chance, length / 4);
                }
            }
            FaultKind::DiscoveryMode => self.set_random_agent_mode(&mut chance, length),
            _ => {
                let Some(nth) = self.claim_gateway(&mut chance) else {
                    return;
                };
                self.inject_gateway_fault(kind, nth, &mut chance, length);
                self.release_gateway(nth);
            }
        }
    }

    fn set_random_server_mode(&self, chance: &mut Chance, length: Duration) {
        use servers::Mode;
        let modes = [
            Mode::Hangs,
            Mode::Fails,
            Mode::Rejects,
            Mode::Resets,
            Mode::Closes,
            Mode::NoLength,
            Mode::Slow,
        ];
        let mode = *chance.pick(&modes);
        let what = |uid: &str| format!("{uid} {mode:?} for {length:?}");
        self.with_server(
            chance,
            length,
            what,
            |server| server.set_mode(mode),
            |server| server.set_mode(Mode::Normal),
        );
    }

    fn set_random_path_state(&self, chance: &mut Chance, length: Duration) {
        let states = [
            PathState::Held,
            PathState::Trickles,
            PathState::CutsRequests,
            PathState::CutsAnswers,
        ];
        let state = *chance.pick(&states);
        let what = |uid: &str| format!("path to {uid} {state:?} for {length:?}");
        self.with_server(
            chance,
            length,
            what,
            |server| server.path().set_state(state),
            |server| server.path().set_state(PathState::Open),
        );
    }

    /// Applies `begin` to a random server and `end` after `length`.
    fn with_server(
        &self,
        chance: &mut Chance,
        length: Duration,
        what: impl Fn(&str) -> String,
        begin: impl Fn(&Server),
        end: impl Fn(&Server),
    ) {
        let uid = {
            let servers = self.servers.lock().expect("lock is not poisoned");
            if servers.is_empty() {
                return;
            }
            let server = chance.pick(&servers);
            begin(server);
            server.uid.clone()
        };
        self.log_event(what(&uid));
        thread::sleep(length);
        self.servers
            .lock()
            .expect("lock is not poisoned")
            .iter()
            .filter(|s| s.uid == uid)
            .for_each(end);
    }

    /// Simulates a crash of a random server; a new server with another name replaces it.
    fn crash_server(&self, chance: &mut Chance) {
        self.add_server(true);
        let Some(server) = self.take_server(chance) else {
            return;
        };
        self.log_event(format!("{} crashes", server.uid));
        server.kill();
        thread::sleep(chance.millis(0, 1_000));
        self.discovery.remove(&server.uid);
    }

    fn set_random_agent_mode(&self, chance: &mut Chance, length: Duration) {
        use agent::Mode;
        let mode = *chance.pick(&[
            Mode::IgnoresLongPolls,
            Mode::Down,
            Mode::Slow,
            Mode::ClosesLongPolls,
        ]);
        let all = chance.happens(50);
        let affected: Vec<usize> = (0..self.gateways.len())
            .filter(|_| all || chance.happens(30))
            .collect();
        self.log_event(format!(
            "discovery {mode:?} for {affected:?} for {length:?}"
        ));
        affected
            .iter()
            .for_each(|g| self.discovery.set_mode(*g, mode));
        thread::sleep(length);
        affected
            .iter()
            .for_each(|g| self.discovery.set_mode(*g, Mode::Normal));
    }

    fn inject_gateway_fault(
        &self,
        kind: FaultKind,
        nth: usize,
        chance: &mut Chance,
        length: Duration,
    ) {
        let gateway = &self.gateways[nth];
        match kind {
            FaultKind::GatewayTerminate => {
                self.log_event(format!("gateway {nth} is terminated"));
                gateway.terminate();
                gateway.start();
            }
            FaultKind::GatewayKill => {
                self.log_event(format!("gateway {nth} is killed"));
                gateway.kill();
                thread::sleep(chance.millis(0, 800));
                gateway.start();
            }
            FaultKind::GatewayPause => {
                self.log_event(format!("gateway {nth} is paused repeatedly"));
                for _ in 0..5 {
                    gateway.pause(chance.millis(20, 150));
                    thread::sleep(chance.millis(20, 300));
                }
            }
            FaultKind::GatewayReload => {
                self.log_event(format!("gateway {nth} reloads its configuration"));
                for _ in 0..1 + chance.below(4) {
                    gateway.reload();
                    thread::sleep(chance.millis(0, 400));
                }
            }
            FaultKind::WallClockStep => {
                let steps = [-HOUR_MS, HOUR_MS, -3_000, 3_000, 0];
                let step = *chance.pick(&steps);
                self.log_event(format!("gateway {nth}: the wall clock is off by {step} ms"));
                gateway.set_fault(Fault::WallClockOffsetMs, step);
            }
            FaultKind::WriteStall => {
                self.log_event(format!("writes of gateway {nth} stall for {length:?}"));
                gateway.set_fault(Fault::StallMs, 140);
                gateway.set_fault(Fault::Stall, 30);
                thread::sleep(length);
                gateway.set_fault(Fault::Stall, 0);
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
                self.log_event(format!(
                    "gateway {nth}: system-call fault {fault:?} in {rate} of 1,000 calls for {length:?}"
                ));
                gateway.set_fault(fault, rate);
                thread::sleep(length);
                gateway.set_fault(fault, 0);
            }
        }
    }
}
