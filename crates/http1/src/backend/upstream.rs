//! The connections to all servers: which are idle, how many there may be, and when they are closed.

use super::pooled_connection::{ConnectionSlot, IdleConnection, PooledConnection};
use super::response_stream::ResponseStream;
use super::server_table::{Server, ServerTable};
use crate::body_memory::BodyReservation;
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

/// A connection is not used again sooner than this after a response. Guards against a second response to the same
/// request, some milliseconds late, which would be taken for the next one's: meanwhile it shows as unsolicited.
const MIN_REST: Duration = Duration::from_millis(25);
/// Idle connections are checked this often.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds on the connections to servers.
pub struct UpstreamLimits {
    /// A server that takes longer to accept a connection is unreachable.
    pub connect_timeout: Duration,
    /// Idle connections are closed after this, well before a server closes them.
    pub idle_timeout: Duration,
    /// Most connections to all servers together.
    pub max_connections: usize,
    /// Bytes that the bodies of long requests may take together.
    pub max_long_request_bytes: usize,
}

/// Where new requests for a server go.
pub(super) struct Route {
    pub(super) address: SocketAddr,
    /// Notified once the server is removed.
    pub(super) removed: Rc<Notify>,
}

/// The servers, and the connections to them.
pub struct Upstream {
    pub(super) limits: UpstreamLimits,
    max_connections: Cell<usize>,
    table: RefCell<ServerTable>,
    open_connections: Rc<Cell<usize>>,
    pub(super) counters: Rc<RequestCounters>,
    pub(super) staleness: RefCell<StalenessEstimator>,
    /// When this machine may retry a connection that it could not make.
    pub(super) next_reconnect_at: Cell<Instant>,
    long_request_bytes_available: Arc<AtomicUsize>,
}

impl Upstream {
    /// No servers yet; they come from the endpoint list.
    pub fn new(limits: UpstreamLimits, counters: Rc<RequestCounters>) -> Self {
        Upstream {
            max_connections: Cell::new(limits.max_connections),
            table: RefCell::default(),
            open_connections: Rc::default(),
            counters,
            staleness: RefCell::default(),
            next_reconnect_at: Cell::new(Instant::now()),
            long_request_bytes_available: Arc::new(AtomicUsize::new(limits.max_long_request_bytes)),
            limits,
        }
    }

    /// Changes the most connections to all servers; those that are open stay.
    pub fn set_max_connections(&self, connections: usize) {
        self.max_connections.set(connections);
    }

    /// An empty reservation for the body of a long request.
    pub(crate) fn reserve_body_memory(&self) -> BodyReservation {
        BodyReservation::new(self.long_request_bytes_available.clone())
    }

    /// Takes back the connection of a response that has been read to its end.
    pub(crate) fn finish_stream(&self, stream: ResponseStream) {
        if stream.is_reusable {
            self.put_back(&stream.server, stream.address, stream.connection);
        }
    }

    /// Where new requests for a server go; none if it is draining or gone.
    pub(super) fn route(&self, server: &ServerId) -> Option<Route> {
        let table = self.table.borrow();
        let server = table.servers.get(server).filter(|s| s.is_ready)?;
        Some(Route {
            address: server.address,
            removed: server.removed.clone(),
        })
    }

    /// Takes the usable connection that has been idle for the shortest time: the others can age and be closed.
    pub(super) fn take_idle(&self, server: &ServerId) -> Option<IdleConnection> {
        let mut table = self.table.borrow_mut();
        let idle = &mut table.servers.get_mut(server)?.idle;
        let max_age = self.max_idle_age();
        while let Some(index) = idle.iter().rposition(|i| i.since.elapsed() >= MIN_REST) {
            let candidate = idle.remove(index);
            if candidate.is_usable(Instant::now(), max_age) {
                return Some(candidate);
            }
        }
        None
    }

    /// Makes a connection idle, or closes it if it cannot be used again.
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
        if connection.conn.is_reusable() {
            same_server.idle.push(IdleConnection {
                connection,
                since: Instant::now(),
            });
        }
    }

    /// Reserves a slot for a new connection. At the limit, closes the one that has been idle longest; none if there is
    /// no idle one.
    pub(super) fn reserve_slot(&self) -> Option<ConnectionSlot> {
        if self.open_connections.get() >= self.max_connections.get() {
            let is_closed = self.close_longest_idle();
            if !is_closed {
                return None;
            }
        }
        Some(ConnectionSlot::new(self.open_connections.clone()))
    }

    /// Returns whether there was an idle connection to close.
    fn close_longest_idle(&self) -> bool {
        let mut table = self.table.borrow_mut();
        let idle_since = |server: &&mut Server| server.idle.first().map(|i| i.since);
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

    fn max_idle_age(&self) -> Duration {
        let learned_limit = self.staleness.borrow().max_idle_age();
        self.limits.idle_timeout.min(learned_limit)
    }

    fn close_stale_connections(&self) {
        self.staleness.borrow_mut().decay();
        let now = Instant::now();
        let max_age = self.max_idle_age();
        for server in self.table.borrow_mut().servers.values_mut() {
            server.idle.retain(|idle| idle.is_usable(now, max_age));
        }
    }
}

impl EndpointObserver for Upstream {
    fn update(&self, is_complete_list: bool, endpoints: &[Endpoint]) {
        self.table.borrow_mut().apply(is_complete_list, endpoints);
    }
}

/// Closes, once a second and without end, connections that have been idle for too long or were closed by their server.
pub async fn close_stale_connections(upstream: Rc<Upstream>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        upstream.close_stale_connections();
    }
}
