//! Connections to servers that count against the pool's limit.

use crate::conn::ServerConnection;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Slot of the pool: counts one connection as open until the slot is dropped.
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

/// Connection with its slot of the pool.
pub(super) struct PooledConnection {
    pub(super) conn: ServerConnection,
    _slot: ConnectionSlot,
}

impl PooledConnection {
    pub(super) fn new(conn: ServerConnection, slot: ConnectionSlot) -> Self {
        PooledConnection { conn, _slot: slot }
    }
}

/// Connection that waits for its next request.
pub(super) struct IdleConnection {
    pub(super) connection: PooledConnection,
    /// Time at which the connection's last request was finished.
    pub(super) idle_since: Instant,
}

impl IdleConnection {
    /// Returns whether the connection has been idle for less than `max_idle_time`.
    pub(super) fn is_younger_than(&self, now: Instant, max_idle_time: Duration) -> bool {
        now.duration_since(self.idle_since) < max_idle_time
    }
}
