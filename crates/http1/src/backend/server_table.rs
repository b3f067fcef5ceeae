//! The servers that are known, by identifier and by address.

use super::pooled_connection::IdleConnection;
use frosthatch_engine::{Endpoint, EndpointState, Protocol};
use frosthatch_traffic_control::ServerId;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// One server and the idle connections to it.
pub(super) struct Server {
    pub(super) address: SocketAddr,
    /// Takes new requests.
    pub(super) is_ready: bool,
    /// In the order in which they became idle.
    pub(super) idle: Vec<IdleConnection>,
    /// Ends the attempts in flight once the server is removed.
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

/// The servers, kept up to date from the endpoint list.
#[derive(Default)]
pub(super) struct ServerTable {
    pub(super) servers: HashMap<ServerId, Server>,
    /// Several at one address only until the removal of the older ones is notified.
    by_address: HashMap<SocketAddr, Vec<ServerId>>,
}

impl ServerTable {
    /// Applies changes of the endpoint list; with a complete list, servers that it leaves out are removed. Connections to
    /// servers that are gone, draining or at another address are closed.
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
            self.leave_address(id, server.address);
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
            self.leave_address(&id, previous_address);
        }
        self.take_address(id, endpoint.address);
    }

    /// Enters a server at its address. Others there stop taking requests, which would reach the new one under their
    /// names: addresses are used again, and the removal of an old server may be notified later.
    fn take_address(&mut self, id: ServerId, address: SocketAddr) {
        let ids = self.by_address.entry(address).or_default();
        for older_id in ids.iter() {
            if let Some(older) = self.servers.get_mut(older_id) {
                older.is_ready = false;
                older.idle.clear();
            }
        }
        ids.push(id);
    }

    fn leave_address(&mut self, id: &ServerId, address: SocketAddr) {
        if let Some(ids) = self.by_address.get_mut(&address) {
            ids.retain(|other| other != id);
            if ids.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }
}
