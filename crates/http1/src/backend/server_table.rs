//! Table of the known HTTP/1 servers, by identifier and by address.

use super::pooled_connection::IdleConnection;
use frosthatch_engine::{Endpoint, EndpointState, Protocol};
use frosthatch_traffic_control::ServerId;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Server and the idle connections to it.
pub(super) struct Server {
    pub(super) address: SocketAddr,
    /// Whether the server takes new requests.
    pub(super) is_ready: bool,
    /// Idle connections, the longest idle one first.
    pub(super) idle: Vec<IdleConnection>,
    /// Notified when the server is removed, which ends its attempts in flight.
    pub(super) removed: Rc<Notify>,
}

impl Server {
    fn new(address: SocketAddr) -> Self {
        Server {
            address,
            is_ready: false,
            idle: Vec::new(),
            removed: Rc::default(),
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.removed.notify_waiters();
    }
}

/// Table of the servers, updated from the endpoint list.
#[derive(Default)]
pub(super) struct ServerTable {
    pub(super) servers: HashMap<ServerId, Server>,
    /// Identifiers of the servers at each address, the newest last. An address has more than one only until the
    /// endpoint list reports the older ones as gone.
    by_address: HashMap<SocketAddr, Vec<ServerId>>,
}

impl ServerTable {
    /// Applies changes of the endpoint list. A complete list also removes the servers that it does not contain. Closes
    /// the idle connections to servers that are gone, are draining or have changed their address.
    pub(super) fn apply(&mut self, is_complete_list: bool, endpoints: &[Endpoint]) {
        let http1_endpoints: Vec<&Endpoint> = endpoints
            .iter()
            .filter(|endpoint| endpoint.protocol == Protocol::Http1)
            .collect();
        if is_complete_list {
            self.remove_unlisted(&http1_endpoints);
        }
        for endpoint in http1_endpoints {
            let id = ServerId(endpoint.uid.as_str().into());
            if endpoint.state == EndpointState::Gone {
                self.remove(&id);
            } else {
                self.insert_or_update(id, endpoint);
            }
        }
    }

    fn remove_unlisted(&mut self, endpoints: &[&Endpoint]) {
        let listed: HashSet<&str> = endpoints.iter().map(|e| e.uid.as_str()).collect();
        let unlisted: Vec<ServerId> = self
            .servers
            .keys()
            .filter(|id| !listed.contains(&*id.0))
            .cloned()
            .collect();
        for id in unlisted {
            self.remove(&id);
        }
    }

    fn remove(&mut self, id: &ServerId) {
        if let Some(server) = self.servers.remove(id) {
            self.remove_from_address(id, server.address);
        }
    }

    fn insert_or_update(&mut self, id: ServerId, endpoint: &Endpoint) {
        let previous_address = self.servers.get(&id).map(|server| server.address);
        let server = self
            .servers
            .entry(id.clone())
            .or_insert_with(|| Server::new(endpoint.address));
        server.is_ready = endpoint.state == EndpointState::Ready;
        if !server.is_ready || server.address != endpoint.address {
            server.idle.clear();
        }
        server.address = endpoint.address;
        if previous_address == Some(endpoint.address) {
            return;
        }
        if let Some(previous_address) = previous_address {
            self.remove_from_address(&id, previous_address);
        }
        self.add_to_address(id, endpoint.address);
    }

    /// Adds a server to its address. Addresses are reused, and the endpoint list may report the old server as gone
    /// later: older servers at the address stop taking requests, which would otherwise reach the new server.
    fn add_to_address(&mut self, id: ServerId, address: SocketAddr) {
        let ids = self.by_address.entry(address).or_default();
        for older_id in ids.iter() {
            if let Some(older) = self.servers.get_mut(older_id) {
                older.is_ready = false;
                older.idle.clear();
            }
        }
        ids.push(id);
    }

    fn remove_from_address(&mut self, id: &ServerId, address: SocketAddr) {
        if let Some(ids) = self.by_address.get_mut(&address) {
            ids.retain(|other| other != id);
            if ids.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }
}
