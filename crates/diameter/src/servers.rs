//! The servers' side: a connection to each Diameter server, over which requests are sent and answered in any order.

mod attempt;
mod connection;
mod server;

pub use attempt::OutgoingRequest;

use crate::link::WriteBudget;
use crate::peer::{DisconnectCause, Identity};
use frosthatch_engine::{Endpoint, EndpointObserver, EndpointState, Protocol};
use frosthatch_traffic_control::ServerId;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustls::pki_types::ServerName;
use server::Server;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Configuration of the servers' side.
pub struct ServersConfig {
    /// Identity of the gateway.
    pub identity: Identity,
    /// Watchdog interval in microseconds.
    pub watchdog_interval_us: u64,
    /// For a TCP connection to be established.
    pub connect_timeout: Duration,
    /// Most pending requests at one server.
    pub max_pending: usize,
    /// TLS from the start of a connection, and the name that servers' certificates must have; without it, plain TCP.
    pub tls: Option<(Arc<rustls::ClientConfig>, ServerName<'static>)>,
    /// Most bytes that wait to be written to all servers.
    pub max_queued_bytes: usize,
    /// Seed of random draws, and of each connection's identifiers and timers.
    pub seed: u64,
}

/// Is called when a server has restarted and lost its sessions.
type RestartCallback = Box<dyn Fn(&ServerId)>;

/// The servers' side.
pub struct Servers {
    config: RefCell<Rc<ServersConfig>>,
    budget: Rc<WriteBudget>,
    clock: Rc<dyn Fn() -> u64>,
    servers: RefCell<HashMap<ServerId, Rc<Server>>>,
    on_restart: RefCell<Option<RestartCallback>>,
    rng: RefCell<Pcg64Mcg>,
    /// For the tasks that it spawns.
    weak_self: Weak<Servers>,
}

impl Servers {
    /// The servers' side without servers. `clock`: microseconds since 1970.
    pub fn new(config: ServersConfig, clock: Rc<dyn Fn() -> u64>) -> Rc<Servers> {
        let rng = Pcg64Mcg::seed_from_u64(config.seed);
        Rc::new_cyclic(|weak_self| Servers {
            budget: WriteBudget::new(config.max_queued_bytes),
            config: RefCell::new(Rc::new(config)),
            clock,
            servers: RefCell::default(),
            on_restart: RefCell::new(None),
            rng: RefCell::new(rng),
            weak_self: weak_self.clone(),
        })
    }

    /// Applies a new configuration to connections from now on.
    pub fn reload(&self, config: ServersConfig) {
        self.budget.set_max_bytes(config.max_queued_bytes);
        *self.config.borrow_mut() = Rc::new(config);
    }

    fn config(&self) -> Rc<ServersConfig> {
        self.config.borrow().clone()
    }

    /// Sets what is called when a server has restarted and lost its sessions.
    pub fn on_restart(&self, callback: impl Fn(&ServerId) + 'static) {
        *self.on_restart.borrow_mut() = Some(Box::new(callback));
    }

    /// Whether new requests may be sent to this server.
    pub fn accepts_requests(&self, server: &str) -> bool {
        self.servers
            .borrow()
            .get(&ServerId(server.into()))
            .is_some_and(|server| server.accepts_requests())
    }

    /// Disconnects all servers; no requests are pending any more.
    pub fn disconnect_all(&self) {
        for server in self.servers.borrow().values() {
            server.is_ready.set(false);
            if let Some(link) = &*server.link.borrow() {
                link.disconnect(DisconnectCause::Rebooting);
            }
        }
    }

    /// Starts to connect to a server.
    fn add_server(&self, id: &ServerId, endpoint: &Endpoint) -> Rc<Server> {
        let server = Rc::new(Server::new(endpoint.address));
        if let Some(servers) = self.weak_self.upgrade() {
            let connection =
                servers.maintain_connection(id.clone(), Rc::downgrade(&server), endpoint.address);
            *server.task.borrow_mut() = Some(spawn_local(connection).abort_handle());
        }
        server
    }

    fn apply_endpoint(&self, servers: &mut HashMap<ServerId, Rc<Server>>, endpoint: &Endpoint) {
        let id = ServerId(endpoint.uid.as_str().into());
        if endpoint.state == EndpointState::Gone {
            if let Some(server) = servers.remove(&id) {
                server.stop();
            }
            return;
        }
        let is_new_address = servers
            .get(&id)
            .is_none_or(|server| server.address != endpoint.address);
        if is_new_address {
            let server = self.add_server(&id, endpoint);
            if let Some(previous) = servers.insert(id.clone(), server) {
                previous.stop();
            }
        }
        if let Some(server) = servers.get(&id) {
            server.is_ready.set(endpoint.state == EndpointState::Ready);
            server.disconnect_if_drained();
        }
    }
}

impl EndpointObserver for Servers {
    fn update(&self, complete: bool, members: &[Endpoint]) {
        let mut servers = self.servers.borrow_mut();
        let endpoints: Vec<&Endpoint> = members
            .iter()
            .filter(|endpoint| endpoint.protocol == Protocol::Diameter)
            .collect();
        if complete {
            let listed: HashSet<&str> = endpoints
                .iter()
                .map(|endpoint| endpoint.uid.as_str())
                .collect();
            servers.retain(|id, server| {
                let is_listed = listed.contains(&*id.0);
                if !is_listed {
                    server.stop();
                }
                is_listed
            });
        }
        for endpoint in endpoints {
            self.apply_endpoint(&mut servers, endpoint);
        }
    }
}
