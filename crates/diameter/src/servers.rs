//! Maintains a connection to each Diameter server in the endpoint list, over which requests are sent and answered in any
//! order.

mod attempt;
mod connection;
mod server;

pub use attempt::{AttemptHistory, OutgoingRequest};

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

/// Configuration of [`Servers`].
pub struct ServersConfig {
    /// Identity that the gateway sends to servers.
    pub identity: Identity,
    /// Watchdog interval Tw in microseconds.
    pub watchdog_interval_us: u64,
    /// Timeout for establishing a TCP connection.
    pub connect_timeout: Duration,
    /// Maximum number of pending requests at one server.
    pub max_pending: usize,
    /// TLS configuration, applied from the start of a connection, and the name that servers' certificates must have; `None`
    /// for plain TCP.
    pub tls: Option<(Arc<rustls::ClientConfig>, ServerName<'static>)>,
    /// Maximum number of bytes queued for writing to all servers.
    pub max_queued_bytes: usize,
    /// Seed for random decisions and for each connection's identifiers and timers.
    pub seed: u64,
}

/// Callback for a server that has restarted and lost its sessions.
type RestartCallback = Box<dyn Fn(&ServerId)>;

/// The Diameter servers and the gateway's connections to them.
pub struct Servers {
    config: RefCell<Rc<ServersConfig>>,
    budget: Rc<WriteBudget>,
    clock: Rc<dyn Fn() -> u64>,
    servers: RefCell<HashMap<ServerId, Rc<Server>>>,
    restart_callback: RefCell<Option<RestartCallback>>,
    rng: RefCell<Pcg64Mcg>,
    /// Weak reference to this object, for the connection tasks that it spawns.
    weak_self: Weak<Servers>,
}

impl Servers {
    /// Creates a `Servers` without servers. `clock` returns microseconds since 1970.
    pub fn new(config: ServersConfig, clock: Rc<dyn Fn() -> u64>) -> Rc<Servers> {
        let rng = Pcg64Mcg::seed_from_u64(config.seed);
        Rc::new_cyclic(|weak_self| Servers {
            budget: WriteBudget::new(config.max_queued_bytes),
            config: RefCell::new(Rc::new(config)),
            clock,
            servers: RefCell::default(),
            restart_callback: RefCell::new(None),
            rng: RefCell::new(rng),
            weak_self: weak_self.clone(),
        })
    }

    /// Applies a new configuration to subsequent connections.
    pub fn reload(&self, config: ServersConfig) {
        self.budget.set_max_bytes(config.max_queued_bytes);
        *self.config.borrow_mut() = Rc::new(config);
    }

    fn config(&self) -> Rc<ServersConfig> {
        self.config.borrow().clone()
    }

    /// Sets the callback for a server that has restarted and lost its sessions.
    pub fn set_restart_callback(&self, callback: impl Fn(&ServerId) + 'static) {
        *self.restart_callback.borrow_mut() = Some(Box::new(callback));
    }

    /// Returns whether new requests may be sent to this server.
    pub fn accepts_requests(&self, server: &str) -> bool {
        self.servers
            .borrow()
            .get(&ServerId(server.into()))
            .is_some_and(|server| server.accepts_requests())
    }

    /// Disconnects all servers. To be called after all pending requests have ended.
    pub fn disconnect_all(&self) {
        for server in self.servers.borrow().values() {
            server.is_ready.set(false);
            if let Some(link) = &*server.link.borrow() {
                link.disconnect(DisconnectCause::Rebooting);
            }
        }
    }

    /// Creates the state of a server and starts the task that maintains its connection.
    fn add_server(&self, id: &ServerId, endpoint: &Endpoint) -> Rc<Server> {
        let server = Rc::new(Server::new(endpoint.address));
        if let Some(servers) = self.weak_self.upgrade() {
            let connection =
                servers.maintain_connection(id.clone(), Rc::downgrade(&server), endpoint.address);
            *server.task.borrow_mut() = Some(spawn_local(connection).abort_handle());
        }
        server
    }

    /// Adds, moves, drains or removes a server according to its entry in the endpoint list.
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
            if !server.is_ready.get() {
                server.withdraw_queued();
            }
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
