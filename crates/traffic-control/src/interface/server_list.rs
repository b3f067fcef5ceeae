//! Entries of the server list.

use super::identifiers::ServerId;
use super::time::Micros;

/// What an update of the server list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The entries that changed.
    Partial,
    /// All entries.
    Complete,
    /// All entries as persisted before a restart of the gateway; they may be stale.
    Persisted,
    /// No entries, because a call to discovery failed.
    Error,
}

/// A server's state in the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// The server takes requests.
    #[default]
    Ready,
    /// The server finishes its requests; no new request may go to it.
    Draining,
    /// The server is no longer in the list.
    Removed,
}

/// An entry of the server list.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// The server's address.
    pub server: ServerId,
    /// The server's zone.
    pub zone: String,
    /// The server's cell. The servers of a cell share the idempotency keys they have seen.
    pub cell: u64,
    /// The server's capacity relative to the others.
    pub weight: f64,
    /// Time of the server's last start; 0 if that was long ago.
    pub started_us: Micros,
    /// The server's state.
    pub health: Health,
    /// The server's pool. Only requests of the same pool go to it; each protocol has its own pool.
    pub pool: u8,
}

impl ServerEntry {
    /// Creates the entry of a ready server of weight 1 that started long ago.
    pub fn ready(server: &str, zone: &str) -> Self {
        ServerEntry {
            server: ServerId(server.into()),
            zone: zone.into(),
            cell: 0,
            weight: 1.0,
            started_us: 0,
            health: Health::Ready,
            pool: 0,
        }
    }
}
