//! Connections that count against the limit of the pool.

use crate::conn::ServerConnection;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Counts one connection as open until it is dropped.
pub(super) struct ConnectionSlot {
    open_connections: Rc<Cell<usize>>,
}

impl ConnectionSlot {
    pub(super) fn new(open_connections: Rc<Cell<usize>>) -> Self {
        open_connections.set(open_connections.get() + 1);
        ConnectionSlot { open_connections }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.open_connections.set(self.open_connections.get() - 1);
    }
}

/// A connection with its slot in the pool.
pub(super) struct PooledConnection {
    pub(super) conn: ServerConnection,
    _slot: ConnectionSlot,
}

impl PooledConnection {
    pub(super) fn new(conn: ServerConnection, slot: ConnectionSlot) -> Self {
        PooledConnection { conn, _slot: slot }
    }
}

/// A connection that waits for its next request.
pub(super) struct IdleConnection {
    pub(super) connection: PooledConnection,
    pub(super) since: Instant,
}

impl IdleConnection {
    /// Whether it may carry another request, at an age of less than `max_age`.
    pub(super) fn is_usable(&self, now: Instant, max_age: Duration) -> bool {
        now.duration_since(self.since) < max_age && self.connection.conn.is_reusable()
    }
}
