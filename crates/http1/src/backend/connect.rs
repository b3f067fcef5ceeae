//! Acquires the connection for an attempt: an idle one from the pool, or a new one.
//!
//! A new connection may be impossible because of a *local shortage*: the pool is at its limit without an idle
//! connection, or the operating system lacks the resources for a connection. It does not count against the server.

use super::pooled_connection::PooledConnection;
use super::upstream::Upstream;
use crate::conn::ServerConnection;
use frosthatch_engine::{AttemptPermit, WriteDenied};
use frosthatch_traffic_control::ServerId;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep_until, timeout, Instant};
use tracing::debug;

/// Minimum delay before an attempt retries to connect after a local shortage.
const RECONNECT_DELAY: Duration = Duration::from_millis(5);
/// Minimum interval between such retries of all attempts together.
const MIN_RECONNECT_INTERVAL: Duration = Duration::from_millis(2);

/// Reason why an attempt got no connection.
pub(super) enum ConnectFailure {
    /// The server refused the connection, or did not accept it within the connect timeout.
    Unreachable,
    /// The permit denied the attempt while it waited for the end of a local shortage.
    Denied(WriteDenied),
}

/// Connection for an attempt.
pub(super) struct AcquiredConnection {
    pub(super) connection: PooledConnection,
    /// Time for which the connection was idle; `None` if it is new.
    pub(super) idle_time: Option<Duration>,
}

impl Upstream {
    /// Acquires a connection without a request on it. During a local shortage, sets `has_local_shortage` and
    /// retries for as long as `permit` allows the attempt to begin.
    pub(super) async fn acquire_connection(
        &self,
        server: &ServerId,
        address: SocketAddr,
        permit: &AttemptPermit,
        has_local_shortage: &Cell<bool>,
    ) -> Result<AcquiredConnection, ConnectFailure> {
        loop {
            if let Some(idle) = self.take_idle(server) {
                return Ok(AcquiredConnection {
                    connection: idle.connection,
                    idle_time: Some(idle.idle_since.elapsed()),
                });
            }
            if let Some(connection) = self.try_connect(server, address).await? {
                return Ok(AcquiredConnection {
                    connection,
                    idle_time: None,
                });
            }
            has_local_shortage.set(true);
            permit.check().map_err(ConnectFailure::Denied)?;
            self.wait_for_reconnect().await;
        }
    }

    /// Makes a new connection. Returns `None` in a local shortage.
    async fn try_connect(
        &self,
        server: &ServerId,
        address: SocketAddr,
    ) -> Result<Option<PooledConnection>, ConnectFailure> {
        let Some(slot) = self.reserve_slot() else {
            return Ok(None);
        };
        match timeout(self.limits.connect_timeout, ServerConnection::open(address)).await {
            Ok(Ok(conn)) => Ok(Some(PooledConnection::new(conn, slot))),
            Ok(Err(error)) if error.is_local() => {
                debug!(server = %server.0, reason = %error, "connection.local_shortage");
                Ok(None)
            }
            Ok(Err(_)) | Err(_) => Err(ConnectFailure::Unreachable),
        }
    }

    /// Waits until this attempt may retry to connect.
    async fn wait_for_reconnect(&self) {
        let earliest = Instant::now() + RECONNECT_DELAY;
        let reconnect_at = earliest.max(self.next_reconnect_at.get());
        self.next_reconnect_at
            .set(reconnect_at + MIN_RECONNECT_INTERVAL);
        sleep_until(reconnect_at).await;
    }
}
