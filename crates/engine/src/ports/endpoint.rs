//! Endpoints as discovery delivers them.

use std::net::SocketAddr;

/// A server as discovery describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Identifies the server; the same at every gateway.
    pub uid: String,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: String,
    /// The group of servers that share which idempotency keys they have seen.
    pub cell: u64,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Its capacity relative to the other servers'.
    pub weight: f64,
    /// When it last started, Unix time in milliseconds; 0: long ago.
    pub started_ms: u64,
    /// What it speaks: requests of another protocol never go there.
    pub protocol: Protocol,
}

/// The protocols that servers speak; each has a back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1.
    #[default]
    Http1 = 0,
    /// Diameter.
    Diameter = 1,
}

impl Protocol {
    /// The protocol of a name, as records and lists use it.
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
    /// It takes requests.
    Ready,
    /// It finishes the requests that it has and takes no new ones.
    Draining,
    /// It no longer runs: attempts on it are not waited for.
    Gone,
}

/// Implemented by whatever keeps connections to servers.
pub trait EndpointObserver {
    /// Called with each list, or change of it, before the decisions receive it. A `complete` list drops the servers that
    /// it does not name.
    fn update(&self, complete: bool, members: &[Endpoint]);
}
