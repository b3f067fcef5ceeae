//! The part of a large fleet of servers that this gateway uses, as it is dealt out among the gateways that there are.

use crate::interface::ServerId;
use crate::server::Server;
use frosthatch_load_balancing::key;
use frosthatch_load_balancing::subset::{deal, Server as Dealt};

/// The gateways by number that servers are dealt out among, and what came of the last deal.
pub(crate) struct Subset {
    me: u64,
    keys: Vec<u64>,
    servers: Vec<Dealt>,
    dealt: Vec<Vec<u32>>,
    size: usize,
}

fn gateway(number: u32) -> u64 {
    key(&number.to_string())
}

impl Subset {
    pub fn new(me: u32, gateways: u32) -> Self {
        let keys = (0..gateways).map(gateway).collect();
        Subset {
            me: gateway(me),
            keys,
            servers: Vec::new(),
            dealt: Vec::new(),
            size: 0,
        }
    }

    /// This gateway among them.
    pub fn me(&self) -> u64 {
        self.me
    }

    /// Other gateways are there. This one counts itself always: whoever does not hear of it still has it serve.
    pub fn among(&mut self, gateways: &[u32]) {
        self.keys = gateways.iter().copied().map(gateway).collect();
        if !self.keys.contains(&self.me) {
            self.keys.push(self.me);
        }
        self.size = 0;
    }

    pub fn gateways(&self) -> usize {
        self.keys.len()
    }

    /// Those of the ready servers that this gateway uses, in a subset of so many; none: all. What has not changed is not dealt anew.
    pub fn of(
        &mut self,
        ready: &[(&ServerId, &Server)],
        size: Option<usize>,
    ) -> Option<Vec<ServerId>> {
        let Some(size) = size else {
            (self.size, self.dealt) = (0, Vec::new());
            return None;
        };
        let dealt = |(_, s): &(&ServerId, &Server)| Dealt {
            key: s.key,
            weight: s.share,
            zone: key(&s.group.0),
        };
        let servers: Vec<Dealt> = ready.iter().map(dealt).collect();
        if size != self.size || servers != self.servers {
            self.dealt = deal(&self.keys, &servers, size);
            (self.size, self.servers) = (size, servers);
        }
        let mine = self
            .keys
            .iter()
            .position(|k| *k == self.me)
            .and_then(|n| self.dealt.get(n))?;
        Some(mine.iter().map(|n| ready[*n as usize].0.clone()).collect())
    }

    /// The gateways that use a server.
    pub fn users(&self, server: u64) -> Vec<u64> {
        let place = self
            .servers
            .iter()
            .position(|s| s.key == server)
            .map(|n| n as u32);
        let uses = |some: &&Vec<u32>| place.is_some_and(|place| some.contains(&place));
        match self.size {
            0 => self.keys.clone(),
            _ => self
                .keys
                .iter()
                .zip(&self.dealt)
                .filter(|(_, some)| uses(some))
                .map(|(k, _)| *k)
                .collect(),
        }
    }
}
