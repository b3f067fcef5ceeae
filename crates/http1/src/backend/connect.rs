//! Finds or makes the connection for an attempt.

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

/// A connection that this machine could not make is retried after this...
const RECONNECT_DELAY: Duration = Duration::from_millis(5);
/// ...and all of them together no more often than this.
const MIN_RECONNECT_INTERVAL: Duration = Duration::from_millis(2);

/// Why an attempt got no connection.
pub(super) enum ConnectFailure {
    /// The server refused, or did not answer in time.
    Unreachable,
    /// This machine could not connect before the attempt was too late.
    Withheld(WriteDenied),
}

/// The connection of an attempt.
pub(super) struct AcquiredConnection {
    pub(super) connection: PooledConnection,
    /// How long it had been idle; none if it is new.
    pub(super) idle_time: Option<Duration>,
}

impl Upstream {
    /// A connection without a request on it. Where this machine lacks the resources for a new one, it retries for as long
    /// as `permit` allows the attempt to begin, and sets `is_short_of_resources`.
    pub(super) async fn acquire_connection(
        &self,
        server: &ServerId,
        address: SocketAddr,
        permit: &AttemptPermit,
        is_short_of_resources: &Cell<bool>,
    ) -> Result<AcquiredConnection, ConnectFailure> {
        loop {
            if let Some(idle) = self.take_idle(server) {
                return Ok(AcquiredConnection {
                    connection: idle.connection,
                    idle_time: Some(idle.since.elapsed()),
                });
            }
            if let Some(connection) = self.try_connect(server, address).await? {
                return Ok(AcquiredConnection {
                    connection,
                    idle_time: None,
                });
            }
            is_short_of_resources.set(true);
            permit.check().map_err(ConnectFailure::Withheld)?;
            self.wait_for_reconnect().await;
        }
    }

    /// Makes a new connection; none if this machine lacks the resources for it.
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

    async fn wait_for_reconnect(&self) {
        let earliest = Instant::now() + RECONNECT_DELAY;
        let reconnect_at = earliest.max(self.next_reconnect_at.get());
        self.next_reconnect_at
            .set(reconnect_at + MIN_RECONNECT_INTERVAL);
        sleep_until(reconnect_at).await;
    }
}
