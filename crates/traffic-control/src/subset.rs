//! The part of a large fleet of servers that this gateway uses, as it is dealt out among the gateways that there are.

use crate::interface::ServerId;
use crate::server::Server;
use frosthatch_load_balancing::key;
use frosthatch_load_balancing::subset::{deal, Server as Dealt};

/// The gateways by number that servers are dealt out among, and what came of the last deal.
pub(crate) struct Subset {
    own_key: u64,
    gateway_keys: Vec<u64>,
    servers: Vec<Dealt>,
    assignment: Vec<Vec<u32>>,
    size: usize,
}

fn gateway(number: u32) -> u64 {
    key(&number.to_string())
}

impl Subset {
    pub fn new(me: u32, gateways: u32) -> Self {
        let keys = (0..gateways).map(gateway).collect();
        Subset {
            own_key: gateway(me),
            gateway_keys: keys,
            servers: Vec::new(),
            assignment: Vec::new(),
            size: 0,
        }
    }

    /// This gateway among them.
    pub fn own_key(&self) -> u64 {
        self.own_key
    }

    /// Other gateways are there. This one counts itself always: whoever does not hear of it still has it serve.
    pub fn set_gateways(&mut self, gateways: &[u32]) {
        self.gateway_keys = gateways.iter().copied().map(gateway).collect();
        if !self.gateway_keys.contains(&self.own_key) {
            self.gateway_keys.push(self.own_key);
        }
        self.size = 0;
    }

    pub fn gateway_count(&self) -> usize {
        self.gateway_keys.len()
    }

    /// Those of the ready servers that this gateway uses, in a subset of so many; none: all. What has not changed is not dealt anew.
    pub fn select(
        &mut self,
        ready: &[(&ServerId, &Server)],
        size: Option<usize>,
    ) -> Option<Vec<ServerId>> {
        let Some(size) = size else {
            (self.size, self.assignment) = (0, Vec::new());
            return None;
        };
        let dealt = |(_, s): &(&ServerId, &Server)| Dealt {
            key: s.hash_key,
            weight: s.share,
            zone: key(&s.group.0),
        };
        let servers: Vec<Dealt> = ready.iter().map(dealt).collect();
        if size != self.size || servers != self.servers {
            self.assignment = deal(&self.gateway_keys, &servers, size);
            (self.size, self.servers) = (size, servers);
        }
        let mine = self
            .gateway_keys
            .iter()
            .position(|k| *k == self.own_key)
            .and_then(|n| self.assignment.get(n))?;
        Some(mine.iter().map(|n| ready[*n as usize].0.clone()).collect())
    }

    /// The gateways that use a server.
    pub fn gateways_using(&self, server: u64) -> Vec<u64> {
        let place = self
            .servers
            .iter()
            .position(|s| s.key == server)
            .map(|n| n as u32);
        let uses = |some: &&Vec<u32>| place.is_some_and(|place| some.contains(&place));
        match self.size {
            0 => self.gateway_keys.clone(),
            _ => self
                .gateway_keys
                .iter()
                .zip(&self.assignment)
                .filter(|(_, some)| uses(some))
                .map(|(k, _)| *k)
                .collect(),
        }
    }
}
