//! Entries of the server list.

use super::identifiers::ServerId;
use super::time::Micros;

/// How a server list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Partial,
    /// The whole list.
    Complete,
    /// The whole list as last held before a start, perhaps stale.
    Persisted,
    /// A call to discovery failed; nothing is told.
    Error,
}

/// A server's state in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes what it has; nothing new may go there.
    Draining,
    /// Gone.
    Removed,
}

/// One server in the list.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// Its address.
    pub server: ServerId,
    /// Its zone.
    pub zone: String,
    /// Its cell: the servers that share which keys they have seen.
    pub cell: u64,
    /// Its size beside the others'.
    pub weight: f64,
    /// When it last started; 0: long ago.
    pub started_us: Micros,
    /// Its state.
    pub health: Health,
    /// Requests of this pool only go there: servers of another protocol are another pool.
    pub pool: u8,
}

impl ServerEntry {
    /// A ready server of unit size that started long ago.
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
