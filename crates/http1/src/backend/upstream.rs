//! The pool of connections to servers: keeps idle connections, limits the number of open ones, and closes stale ones.

use super::pooled_connection::{ConnectionSlot, IdleConnection, PooledConnection};
use super::response_stream::ResponseStream;
use super::reuse_delay::ReuseDelay;
use super::server_table::{Server, ServerTable};
use crate::body_memory::BodyReservation;
use crate::conn::IdleState;
use crate::staleness::StalenessEstimator;
use frosthatch_engine::{Endpoint, EndpointObserver, RequestCounters};
use frosthatch_traffic_control::ServerId;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicUsize;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

/// Interval at which idle connections are checked.
const STALE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Limits on the connections to servers.
pub struct UpstreamLimits {
    /// Time after which a server that has not accepted a connection counts as unreachable.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed; it is well below the servers' own idle timeout.
    pub idle_timeout: Duration,
    /// Maximum number of open connections to all servers together.
    pub max_connections: usize,
    /// Maximum number of bytes that the bodies of all long requests take together.
    pub max_long_request_bytes: usize,
}

/// Destination of new requests for a server.
pub(super) struct Route {
    pub(super) address: SocketAddr,
    /// Notified when the server is removed.
    pub(super) removed: Rc<Notify>,
}

/// Servers, and the pool of connections to them.
pub struct Upstream {
    pub(super) limits: UpstreamLimits,
    max_connections: Cell<usize>,
    table: RefCell<ServerTable>,
    open_connections: Rc<Cell<usize>>,
    pub(super) counters: Rc<RequestCounters>,
    pub(super) staleness: RefCell<StalenessEstimator>,
    pub(super) reuse_delay: ReuseDelay,
    /// Earliest time of the next retry to connect after a local shortage (see [`super::connect`]).
    pub(super) next_reconnect_at: Cell<Instant>,
    long_request_bytes_available: Arc<AtomicUsize>,
}

impl Upstream {
    /// Creates a pool without servers; they are added by updates of the endpoint list.
    pub fn new(limits: UpstreamLimits, counters: Rc<RequestCounters>) -> Self {
        Upstream {
            max_connections: Cell::new(limits.max_connections),
            table: RefCell::default(),
            open_connections: Rc::default(),
            counters,
            staleness: RefCell::default(),
            reuse_delay: ReuseDelay::default(),
            next_reconnect_at: Cell::new(Instant::now()),
            long_request_bytes_available: Arc::new(AtomicUsize::new(limits.max_long_request_bytes)),
            limits,
        }
    }

    /// Changes the maximum number of connections to all servers together. Open connections stay open.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Returns an empty reservation for the body of a long request.
    pub(crate) fn new_body_reservation(&self) -> BodyReservation {
        BodyReservation::new(self.long_request_bytes_available.clone())
    }

    /// Returns the connection of a completely read response to the pool, if it is reusable.
    pub(crate) fn finish_stream(&self, stream: ResponseStream) {
        if stream.is_reusable && stream.rest.has_no_excess_bytes() {
            self.put_back(&stream.server, stream.address, stream.connection);
        }
    }

    /// Returns the destination of new requests for a server; `None` if the server is draining or gone.
    pub(super) fn route(&self, server: &ServerId) -> Option<Route> {
        let table = self.table.borrow();
        let server = table.servers.get(server).filter(|s| s.is_ready)?;
        Some(Route {
            address: server.address,
            removed: server.removed.clone(),
        })
    }

    /// Takes the usable connection that has been idle for the shortest time, so that those not needed reach their idle
    /// timeout.
    pub(super) fn take_idle(&self, server: &ServerId) -> Option<IdleConnection> {
        let mut table = self.table.borrow_mut();
        let idle = &mut table.servers.get_mut(server)?.idle;
        let max_idle_time = self.max_idle_time();
        let is_rested =
            |i: &IdleConnection| i.idle_since.elapsed() >= self.reuse_delay.min_idle_time();
        while let Some(index) = idle.iter().rposition(is_rested) {
            let candidate = idle.remove(index);
            if candidate.is_younger_than(Instant::now(), max_idle_time)
                && self.is_reusable(&candidate.connection)
            {
                return Some(candidate);
            }
        }
        None
    }

    /// Returns whether a connection without a request in flight may carry another one. Records unsolicited bytes.
    fn is_reusable(&self, connection: &PooledConnection) -> bool {
        let state = connection.conn.idle_state();
        if state == IdleState::HasUnsolicitedBytes {
            self.reuse_delay.record_unsolicited();
        }
        state == IdleState::Reusable
    }

    /// Returns a connection to the pool, or closes it if it is not reusable or the server no longer takes requests at
    /// `address`.
    pub(super) fn put_back(
        &self,
        server: &ServerId,
        address: SocketAddr,
        connection: PooledConnection,
    ) {
        let mut table = self.table.borrow_mut();
        let same_server = table
            .servers
            .get_mut(server)
            .filter(|s| s.is_ready && s.address == address);
        let Some(same_server) = same_server else {
            return;
        };
        if self.is_reusable(&connection) {
            same_server.idle.push(IdleConnection {
                connection,
                idle_since: Instant::now(),
            });
        }
    }

    /// Reserves a slot for a new connection. At the limit, closes the connection that has been idle longest; returns
    /// `None` if no connection is idle.
    pub(super) fn reserve_slot(&self) -> Option<ConnectionSlot> {
        if self.open_connections.get() >= self.max_connections.get() {
            let is_closed = self.close_longest_idle();
            if !is_closed {
                return None;
            }
        }
        Some(ConnectionSlot::new(self.open_connections.clone()))
    }

    /// Closes the connection that has been idle longest. Returns false if no connection is idle.
    fn close_longest_idle(&self) -> bool {
        let mut table = self.table.borrow_mut();
        let idle_since = |server: &&mut Server| server.idle.first().map(|i| i.idle_since);
        let server = table
            .servers
            .values_mut()
            .filter(|server| !server.idle.is_empty())
            .min_by_key(idle_since);
        let Some(server) = server else {
            return false;
        };
        server.idle.remove(0);
        true
    }

    /// Returns the idle time from which on a connection is not reused.
    fn max_idle_time(&self) -> Duration {
        let learned_limit = self.staleness.borrow().max_idle_time();
        self.limits.idle_timeout.min(learned_limit)
    }

    /// Decays the counts of lost requests, and closes the idle connections that have been idle for too long or are not
    /// reusable. Must be called once per [`STALE_CHECK_INTERVAL`].
    fn close_stale_connections(&self) {
        self.staleness.borrow_mut().decay();
        let now = Instant::now();
        let max_idle_time = self.max_idle_time();
        for server in self.table.borrow_mut().servers.values_mut() {
            server.idle.retain(|idle| {
                idle.is_younger_than(now, max_idle_time) && self.is_reusable(&idle.connection)
            });
        }
    }
}

impl EndpointObserver for Upstream {
    fn update(&self, is_complete_list: bool, endpoints: &[Endpoint]) {
        self.table.borrow_mut().apply(is_complete_list, endpoints);
    }
}

/// Closes, once a second, the connections that have been idle for too long or were closed by their server. Never
/// returns.
pub async fn close_stale_connections(upstream: Rc<Upstream>) {
    loop {
        sleep(STALE_CHECK_INTERVAL).await;
        upstream.close_stale_connections();
    }
}
