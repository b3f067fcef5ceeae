//! What the connections of all clients share.

use super::idle_connection::IdleConnection;
use crate::backend::Upstream;
use frosthatch_engine::{Engine, RequestPlugins};
use frosthatch_traffic_control::Settings;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// One in so many of all connections is kept free of requests in flight; beyond that new requests are rejected at once.
/// Guards against requests that wait unread past their deadline because all connections are taken.
const RESERVED_FRACTION: usize = 8;

/// The server side of the gateway, shared by all connections of clients.
pub struct HttpServer {
    pub(super) engine: Rc<Engine>,
    pub(super) upstream: Rc<Upstream>,
    pub(super) settings: Settings,
    /// The operator's plugins, if there are any.
    pub(super) plugins: Option<Rc<dyn RequestPlugins>>,
    /// Set while the process shuts down: requests that are not complete by then are rejected.
    pub(super) shutdown_requests_until: Cell<Option<Instant>>,
    /// Since when the gateway is draining, if it is.
    pub(super) draining_since: Cell<Option<Instant>>,
    /// By connection number.
    pub(super) idle: RefCell<HashMap<u64, IdleConnection>>,
    pub(super) open_connections: Cell<usize>,
    /// Those of the open connections that only wait for their clients to read the last response.
    pub(super) lingering_connections: Cell<usize>,
    pub(super) max_connections: Cell<usize>,
    /// Unset while another process accepts at the same listener.
    pub(super) is_accepting: Cell<bool>,
    pub(super) accepting_changed: Notify,
}

impl HttpServer {
    /// A server that accepts up to `max_connections` connections once [`HttpServer::accept`] runs.
    pub fn new(
        engine: Rc<Engine>,
        upstream: Rc<Upstream>,
        settings: Settings,
        plugins: Option<Rc<dyn RequestPlugins>>,
        max_connections: usize,
    ) -> Rc<Self> {
        Rc::new(HttpServer {
            engine,
            upstream,
            settings,
            plugins,
            shutdown_requests_until: Cell::new(None),
            draining_since: Cell::new(None),
            idle: RefCell::default(),
            open_connections: Cell::new(0),
            lingering_connections: Cell::new(0),
            max_connections: Cell::new(max_connections),
            is_accepting: Cell::new(true),
            accepting_changed: Notify::new(),
        })
    }

    /// Whether new clients may come.
    pub fn is_ready(&self) -> bool {
        self.engine.is_ready() && self.is_accepting() && !self.closes_after_response()
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Changes the most connections that are open at a time; those that are open stay.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Whether connections are accepted here, not by another process at the same listener.
    pub fn is_accepting(&self) -> bool {
        self.is_accepting.get()
    }

    /// Starts or stops accepting connections.
    pub fn set_accepting(&self, is_accepting: bool) {
        self.is_accepting.set(is_accepting);
        self.accepting_changed.notify_one();
    }

    /// Whether requests in flight take all connections but the reserved ones.
    pub(super) fn is_over_capacity(&self) -> bool {
        let max_connections = self.max_connections.get();
        let idle_connections = self.idle.borrow().len();
        let busy_connections =
            self.open_connections() - self.lingering_connections.get() - idle_connections;
        busy_connections > max_connections - max_connections / RESERVED_FRACTION
    }

    /// Whether each response closes its connection: the process shuts down or is draining.
    pub(super) fn closes_after_response(&self) -> bool {
        self.shutdown_requests_until.get().is_some() || self.is_draining()
    }

    /// Whether the gateway is draining by the operator's order.
    pub fn is_draining(&self) -> bool {
        self.draining_since.get().is_some()
    }
}
