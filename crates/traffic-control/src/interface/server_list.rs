//! Entries of the server list.

use super::identifiers::ServerId;
use super::time::Micros;

/// What a server list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Partial,
    /// All entries.
    Complete,
    /// The complete list as it was persisted before a restart; it may be stale.
    Persisted,
    /// Nothing, as a call to discovery failed.
    Error,
}

/// A server's state in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It takes requests.
    #[default]
    Ready,
    /// It finishes what it has; no new request may go there.
    Draining,
    /// It is gone.
    Removed,
}

/// One server in the list.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// Its address.
    pub server: ServerId,
    /// Its zone.
    pub zone: String,
    /// Its cell: servers of one cell share which idempotency keys they have seen.
    pub cell: u64,
    /// Its relative capacity.
    pub weight: f64,
    /// When it last started; 0: long ago.
    pub started_us: Micros,
    /// Its state in the list.
    pub health: Health,
    /// Its pool: only requests of the same pool go there. Each protocol has its own.
    pub pool: u8,
}

impl ServerEntry {
    /// A ready server of weight 1 that started long ago.
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
