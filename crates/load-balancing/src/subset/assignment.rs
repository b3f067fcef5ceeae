//! The assignment of servers to gateways by rendezvous scores.

use super::capacity::capacities;
use super::Server;
use crate::hash_rank;
use std::collections::BTreeMap;

/// Pairs that are looked at first for each server that a gateway wants: so many that hardly any gateway needs more.
const PAIRS_PER_WANTED_SERVER: f64 = 2.5;

/// A gateway and a server, by their indices. The smallest score is the best.
struct ScoredPair {
    score: f64,
    gateway: u32,
    server: u32,
}

/// An assignment under construction. Gateways, servers and zones are indices throughout.
pub(super) struct Assignment<'a> {
    pub(super) gateways: &'a [u64],
    pub(super) servers: &'a [Server],
    weights: Vec<f64>,
    /// The servers that each gateway still wants.
    pub(super) wanted: Vec<usize>,
    /// The gateways that each server can still be assigned to.
    pub(super) capacity: Vec<usize>,
    /// The zone of each server.
    pub(super) zones: Vec<usize>,
    /// The servers of each zone that one gateway may have.
    max_per_zone: Vec<usize>,
    /// The servers that each gateway has of each zone, gateway by gateway.
    zone_counts: Vec<usize>,
    /// The servers of each gateway.
    pub(super) assigned: Vec<Vec<u32>>,
}

impl<'a> Assignment<'a> {
    /// An empty assignment of `size` servers to each gateway.
    pub(super) fn new(gateways: &'a [u64], servers: &'a [Server], size: usize) -> Assignment<'a> {
        let weights: Vec<f64> = servers.iter().map(|s| valid_weight(s.weight)).collect();
        let mut zone_indices = BTreeMap::new();
        let zones: Vec<usize> = servers
            .iter()
            .map(|server| {
                let next = zone_indices.len();
                *zone_indices.entry(server.zone).or_insert(next)
            })
            .collect();
        let capacity = capacities(servers, &weights, size * gateways.len(), gateways.len());
        let mut zone_capacity = vec![0; zone_indices.len()];
        for (zone, capacity) in zones.iter().zip(&capacity) {
            zone_capacity[*zone] += capacity;
        }
        let max_per_zone = zone_capacity
            .iter()
            .map(|capacity| capacity.div_ceil(gateways.len().max(1)))
            .collect();
        Assignment {
            gateways,
            servers,
            weights,
            wanted: vec![size; gateways.len()],
            capacity,
            zones,
            max_per_zone,
            zone_counts: vec![0; gateways.len() * zone_indices.len()],
            assigned: vec![Vec::with_capacity(size); gateways.len()],
        }
    }

    /// The servers of each gateway, as indices.
    pub(super) fn into_subsets(self) -> Vec<Vec<u32>> {
        self.assigned
    }

    /// A heavier server has more small scores.
    fn score(&self, gateway: usize, server: usize) -> f64 {
        hash_rank(self.servers[server].key, self.gateways[gateway]) as f64 / self.weights[server]
    }

    fn zone_index(&self, gateway: usize, server: usize) -> usize {
        gateway * self.max_per_zone.len() + self.zones[server]
    }

    /// Whether the gateway may have more servers of this server's zone.
    pub(super) fn has_zone_allowance(&self, gateway: usize, server: usize) -> bool {
        let count = self.zone_counts[self.zone_index(gateway, server)];
        count < self.max_per_zone[self.zones[server]]
    }

    pub(super) fn assign(&mut self, gateway: usize, server: usize) {
        self.assigned[gateway].push(server as u32);
        self.wanted[gateway] -= 1;
        self.capacity[server] = self.capacity[server].saturating_sub(1);
        let zone = self.zone_index(gateway, server);
        self.zone_counts[zone] += 1;
    }

    pub(super) fn unassign(&mut self, gateway: usize, server: usize) {
        self.assigned[gateway].retain(|assigned| *assigned != server as u32);
        let zone = self.zone_index(gateway, server);
        self.zone_counts[zone] -= 1;
        self.wanted[gateway] += 1;
        self.capacity[server] += 1;
    }

    pub(super) fn is_assigned(&self, gateway: usize, server: usize) -> bool {
        self.assigned[gateway].contains(&(server as u32))
    }

    fn can_assign(&self, gateway: usize, server: usize) -> bool {
        self.wanted[gateway] > 0
            && self.capacity[server] > 0
            && self.has_zone_allowance(gateway, server)
            && !self.is_assigned(gateway, server)
    }

    /// The servers that can still be assigned.
    pub(super) fn servers_with_capacity(&self) -> Vec<usize> {
        (0..self.servers.len())
            .filter(|server| self.capacity[*server] > 0)
            .collect()
    }

    /// The gateways that still want servers.
    pub(super) fn gateways_with_demand(&self) -> Vec<usize> {
        (0..self.gateways.len())
            .filter(|gateway| self.wanted[*gateway] > 0)
            .collect()
    }

    fn scored_pair(&self, gateway: usize, server: usize) -> ScoredPair {
        ScoredPair {
            score: self.score(gateway, server),
            gateway: gateway as u32,
            server: server as u32,
        }
    }

    /// Assigns what can be assigned of these pairs, from the best score on.
    fn assign_in_order(&mut self, mut pairs: Vec<ScoredPair>) {
        let gateways = self.gateways;
        let servers = self.servers;
        let keys = |pair: &ScoredPair| {
            (
                gateways[pair.gateway as usize],
                servers[pair.server as usize].key,
            )
        };
        pairs.sort_unstable_by(|a, b| {
            a.score
                .total_cmp(&b.score)
                .then_with(|| keys(a).cmp(&keys(b)))
        });
        for pair in pairs {
            let gateway = pair.gateway as usize;
            let server = pair.server as usize;
            if self.can_assign(gateway, server) {
                self.assign(gateway, server);
            }
        }
    }

    /// Assigns pairs with good scores only, which are few and as a rule enough.
    pub(super) fn assign_best_scores(&mut self, size: usize) {
        // The expected number of a gateway's scores below this is `PAIRS_PER_WANTED_SERVER` for each server it wants.
        let max_score = PAIRS_PER_WANTED_SERVER * size as f64 * (u64::MAX as f64)
            / self.weights.iter().sum::<f64>();
        let mut pairs = Vec::new();
        for server in self.servers_with_capacity() {
            for gateway in 0..self.gateways.len() {
                let pair = self.scored_pair(gateway, server);
                if pair.score < max_score {
                    pairs.push(pair);
                }
            }
        }
        self.assign_in_order(pairs);
    }

    /// Assigns from all pairs of gateways that still want servers and servers that have capacity.
    pub(super) fn assign_remaining_pairs(&mut self) {
        let servers = self.servers_with_capacity();
        let mut pairs = Vec::new();
        for gateway in self.gateways_with_demand() {
            pairs.extend(
                servers
                    .iter()
                    .map(|server| self.scored_pair(gateway, *server)),
            );
        }
        self.assign_in_order(pairs);
    }

    /// Gives gateways that would have too few servers those with the best hash rank, if need be beyond their capacity.
    pub(super) fn assign_beyond_capacity(&mut self) {
        for gateway in self.gateways_with_demand() {
            let mut candidates: Vec<usize> = (0..self.servers.len())
                .filter(|server| !self.is_assigned(gateway, *server))
                .collect();
            candidates.sort_by_key(|server| {
                let rank = hash_rank(self.servers[*server].key, self.gateways[gateway]);
                (self.capacity[*server] == 0, rank)
            });
            for server in candidates.into_iter().take(self.wanted[gateway]) {
                self.assign(gateway, server);
            }
        }
    }
}

fn valid_weight(weight: f64) -> f64 {
    if weight.is_finite() && weight > 0.0 {
        weight
    } else {
        1.0
    }
}
