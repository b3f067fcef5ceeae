//! The subset of a large fleet of servers that this gateway uses, from an assignment of all servers to the present
//! gateways.

use crate::interface::ServerId;
use crate::server::Server;
use frosthatch_load_balancing::stable_hash;
use frosthatch_load_balancing::subset::{assign, Server as AssignableServer};

/// The gateways that servers are assigned to, and the last assignment.
pub(crate) struct Subset {
    own_key: u64,
    gateway_keys: Vec<u64>,
    /// The servers that were last assigned.
    servers: Vec<AssignableServer>,
    /// For each gateway, the indices in `servers` of those assigned to it.
    assignment: Vec<Vec<u32>>,
    /// Size of each gateway's subset; 0 if no servers are assigned and each gateway uses all.
    size: usize,
}

fn gateway_key(index: u32) -> u64 {
    stable_hash(&index.to_string())
}

impl Subset {
    pub fn new(gateway_index: u32, gateways: u32) -> Self {
        Subset {
            own_key: gateway_key(gateway_index),
            gateway_keys: (0..gateways).map(gateway_key).collect(),
            servers: Vec::new(),
            assignment: Vec::new(),
            size: 0,
        }
    }

    /// Returns the key of this gateway.
    pub fn own_key(&self) -> u64 {
        self.own_key
    }

    /// Sets the gateways that are present. This gateway always counts itself as present, as clients may use it even
    /// where other gateways do not know of it.
    pub fn set_gateways(&mut self, gateways: &[u32]) {
        self.gateway_keys = gateways.iter().copied().map(gateway_key).collect();
        if !self.gateway_keys.contains(&self.own_key) {
            self.gateway_keys.push(self.own_key);
        }
        self.size = 0;
    }

    pub fn gateway_count(&self) -> usize {
        self.gateway_keys.len()
    }

    /// Returns the ready servers that this gateway uses, or `None` if it uses all. `size` is the size of a subset;
    /// `None` for no subsets. Servers are assigned again only after a change of the servers, the gateways or the size.
    pub fn select(
        &mut self,
        ready: &[(&ServerId, &Server)],
        size: Option<usize>,
    ) -> Option<Vec<ServerId>> {
        let Some(size) = size else {
            self.size = 0;
            self.assignment = Vec::new();
            return None;
        };
        let servers: Vec<AssignableServer> = ready
            .iter()
            .map(|(_, server)| AssignableServer {
                key: server.hash_key,
                weight: server.weight,
                zone: stable_hash(&server.zone_and_cell.0),
            })
            .collect();
        if size != self.size || servers != self.servers {
            self.assignment = assign(&self.gateway_keys, &servers, size);
            self.size = size;
            self.servers = servers;
        }
        let own_position = self.gateway_keys.iter().position(|k| *k == self.own_key)?;
        let own_servers = self.assignment.get(own_position)?;
        let names = own_servers
            .iter()
            .map(|index| ready[*index as usize].0.clone());
        Some(names.collect())
    }

    /// Returns the keys of the gateways that use a server.
    pub fn gateways_using(&self, hash_key: u64) -> Vec<u64> {
        if self.size == 0 {
            return self.gateway_keys.clone();
        }
        let position = self.servers.iter().position(|s| s.key == hash_key);
        let Some(index) = position.map(|position| position as u32) else {
            return Vec::new();
        };
        self.gateway_keys
            .iter()
            .zip(&self.assignment)
            .filter(|(_, servers)| servers.contains(&index))
            .map(|(key, _)| *key)
            .collect()
    }
}
