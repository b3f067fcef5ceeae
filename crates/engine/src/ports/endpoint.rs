//! Endpoints, as discovery delivers them.

use std::net::SocketAddr;

/// A server as discovery describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The identifier of the server, the same at every gateway.
    pub uid: String,
    /// The address where the server accepts connections.
    pub address: SocketAddr,
    /// The zone that the server runs in.
    pub zone: String,
    /// The server's cell: the group of servers that share a record of the idempotency keys that they have seen.
    pub cell: u64,
    /// Whether the server takes requests.
    pub state: EndpointState,
    /// The server's capacity relative to the other servers'.
    pub weight: f64,
    /// When the server last started, in Unix milliseconds; 0 means long ago.
    pub started_ms: u64,
    /// The protocol of the server; requests of another protocol are never sent to it.
    pub protocol: Protocol,
}

/// A protocol that servers use; each has a back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1.
    #[default]
    Http1 = 0,
    /// Diameter.
    Diameter = 1,
}

impl Protocol {
    /// Returns the protocol with this name in DNS-SD records and endpoint lists.
    pub fn from_name(name: &str) -> Option<Protocol> {
        match name {
            "http/1.1" => Some(Protocol::Http1),
            "diameter" => Some(Protocol::Diameter),
            _ => None,
        }
    }
}

/// Whether a server takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The server takes requests.
    Ready,
    /// The server finishes the requests that it has and takes no new ones.
    Draining,
    /// The server no longer runs; running attempts on it are given up.
    Gone,
}

/// Receives changes of the endpoints; implemented by the back ends, which keep connections to servers.
pub trait EndpointObserver {
    /// Processes an endpoint list or a change of it; called before traffic control receives it. Servers that a
    /// `complete` list does not name are dropped.
    fn update(&self, complete: bool, endpoints: &[Endpoint]);
}
