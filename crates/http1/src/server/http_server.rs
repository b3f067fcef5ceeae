//! State shared by the connections of all clients.

use super::idle_connection::WaitingConnection;
use crate::backend::Upstream;
use frosthatch_engine::{Engine, RequestPlugins};
use frosthatch_traffic_control::Settings;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Divisor of the maximum number of connections: the quotient is the number reserved for connections without a request
/// in flight. If the connections with a request in flight exceed the unreserved number, new requests are rejected at
/// once: if all connections were taken, requests on connections not yet accepted would wait unread past their
/// deadlines.
const RESERVED_DIVISOR: usize = 8;

/// HTTP/1.1 server of the gateway, shared by the connections of all clients.
pub struct HttpServer {
    pub(super) engine: Rc<Engine>,
    pub(super) upstream: Rc<Upstream>,
    pub(super) settings: Settings,
    /// Operator's plugins, if there are any.
    pub(super) plugins: Option<Rc<dyn RequestPlugins>>,
    /// Time from which on incomplete requests are rejected; set when the process begins to shut down.
    pub(super) shutdown_request_deadline: Cell<Option<Instant>>,
    /// Whether requests are answered by the engine; otherwise they are rejected at once.
    pub(super) takes_requests: Cell<bool>,
    /// Time at which the gateway began to drain; `None` if it is not draining.
    pub(super) draining_since: Cell<Option<Instant>>,
    /// Connections whose next request has not been completely received, by connection number.
    pub(super) waiting_connections: RefCell<HashMap<u64, WaitingConnection>>,
    pub(super) open_connections: Cell<usize>,
    /// Number of open connections that only wait for their clients to read the last response.
    pub(super) lingering_connections: Cell<usize>,
    pub(super) max_connections: Cell<usize>,
    /// Whether this process accepts connections; false while another process accepts on the same listener.
    pub(super) is_accepting: Cell<bool>,
    /// Notified when `is_accepting` is set.
    pub(super) accepting_changed: Notify,
}

impl HttpServer {
    /// Creates a server that keeps up to `max_connections` connections open once [`HttpServer::accept`] runs.
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
            shutdown_request_deadline: Cell::new(None),
            takes_requests: Cell::new(true),
            draining_since: Cell::new(None),
            waiting_connections: RefCell::default(),
            open_connections: Cell::new(0),
            lingering_connections: Cell::new(0),
            max_connections: Cell::new(max_connections),
            is_accepting: Cell::new(true),
            accepting_changed: Notify::new(),
        })
    }

    /// Returns whether new clients may connect: the engine is ready, and the server accepts connections and is neither
    /// draining nor shutting down.
    pub fn is_ready(&self) -> bool {
        self.engine.is_ready() && self.is_accepting() && !self.closes_after_response()
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Changes the maximum number of open connections. Open connections stay open.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Returns whether this process accepts connections, and not another process on the same listener.
    pub fn is_accepting(&self) -> bool {
        self.is_accepting.get()
    }

    /// Starts or stops accepting connections.
    pub fn set_accepting(&self, is_accepting: bool) {
        self.is_accepting.set(is_accepting);
        self.accepting_changed.notify_one();
    }

    /// Returns whether connections with a request in flight take more than the unreserved share of all connections.
    pub(super) fn is_over_capacity(&self) -> bool {
        let max_connections = self.max_connections.get();
        let waiting_connections = self.waiting_connections.borrow().len();
        let busy_connections =
            self.open_connections() - self.lingering_connections.get() - waiting_connections;
        busy_connections > max_connections - max_connections / RESERVED_DIVISOR
    }

    /// Returns whether each response closes its connection, as the gateway is shutting down or draining.
    pub(super) fn closes_after_response(&self) -> bool {
        self.shutdown_request_deadline.get().is_some() || self.is_draining()
    }

    /// Returns whether the gateway is draining at the operator's command.
    pub fn is_draining(&self) -> bool {
        self.draining_since.get().is_some()
    }
}
