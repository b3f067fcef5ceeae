//! The assignment of servers to gateways by rendezvous scores.

use super::capacity::capacities;
use super::Server;
use crate::hash_rank;
use std::collections::BTreeMap;

/// For each server that a gateway needs, the expected number of the gateway's pairs that the first pass visits (see
/// `assign_best_scores`); hardly any gateway needs more pairs.
const BEST_PAIRS_PER_NEEDED_SERVER: f64 = 2.5;

/// A gateway and a server, by their indices, and the score of the pair; a smaller score is better.
struct ScoredPair {
    score: f64,
    gateway: u32,
    server: u32,
}

/// An assignment under construction. Gateways, servers and zones are represented by indices.
pub(super) struct Assignment<'a> {
    pub(super) gateways: &'a [u64],
    pub(super) servers: &'a [Server],
    weights: Vec<f64>,
    /// The number of servers that each gateway still needs.
    pub(super) demand: Vec<usize>,
    /// The number of gateways that each server can still be assigned to.
    pub(super) capacity: Vec<usize>,
    /// The zone of each server.
    pub(super) zones: Vec<usize>,
    /// The maximum number of servers of each zone in one subset.
    max_per_zone: Vec<usize>,
    /// The number of servers of each zone in each subset, at the index that `zone_count_index` returns.
    zone_counts: Vec<usize>,
    /// The servers assigned to each gateway.
    pub(super) assigned: Vec<Vec<u32>>,
}

impl<'a> Assignment<'a> {
    /// Creates an empty assignment in which each gateway needs `size` servers.
    pub(super) fn new(gateways: &'a [u64], servers: &'a [Server], size: usize) -> Assignment<'a> {
        let weights: Vec<f64> = servers
            .iter()
            .map(|server| valid_weight(server.weight))
            .collect();
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
            demand: vec![size; gateways.len()],
            capacity,
            zones,
            max_per_zone,
            zone_counts: vec![0; gateways.len() * zone_indices.len()],
            assigned: vec![Vec::with_capacity(size); gateways.len()],
        }
    }

    /// Returns the servers of each gateway, as indices.
    pub(super) fn into_subsets(self) -> Vec<Vec<u32>> {
        self.assigned
    }

    /// Returns the score of a pair. Dividing by the weight gives a server with a greater weight more good scores.
    fn score(&self, gateway: usize, server: usize) -> f64 {
        hash_rank(self.servers[server].key, self.gateways[gateway]) as f64 / self.weights[server]
    }

    /// Returns the index into `zone_counts` for the gateway and the server's zone.
    fn zone_count_index(&self, gateway: usize, server: usize) -> usize {
        gateway * self.max_per_zone.len() + self.zones[server]
    }

    /// Returns whether the gateway may have more servers of this server's zone.
    pub(super) fn has_zone_allowance(&self, gateway: usize, server: usize) -> bool {
        let count = self.zone_counts[self.zone_count_index(gateway, server)];
        count < self.max_per_zone[self.zones[server]]
    }

    pub(super) fn assign(&mut self, gateway: usize, server: usize) {
        self.assigned[gateway].push(server as u32);
        self.demand[gateway] -= 1;
        self.capacity[server] = self.capacity[server].saturating_sub(1);
        let zone_count_index = self.zone_count_index(gateway, server);
        self.zone_counts[zone_count_index] += 1;
    }

    pub(super) fn unassign(&mut self, gateway: usize, server: usize) {
        self.assigned[gateway].retain(|assigned| *assigned != server as u32);
        let zone_count_index = self.zone_count_index(gateway, server);
        self.zone_counts[zone_count_index] -= 1;
        self.demand[gateway] += 1;
        self.capacity[server] += 1;
    }

    pub(super) fn is_assigned(&self, gateway: usize, server: usize) -> bool {
        self.assigned[gateway].contains(&(server as u32))
    }

    fn can_assign(&self, gateway: usize, server: usize) -> bool {
        self.demand[gateway] > 0
            && self.capacity[server] > 0
            && self.has_zone_allowance(gateway, server)
            && !self.is_assigned(gateway, server)
    }

    /// Returns the servers that can still be assigned.
    pub(super) fn servers_with_capacity(&self) -> Vec<usize> {
        (0..self.servers.len())
            .filter(|server| self.capacity[*server] > 0)
            .collect()
    }

    /// Returns the gateways that still need servers.
    pub(super) fn gateways_with_demand(&self) -> Vec<usize> {
        (0..self.gateways.len())
            .filter(|gateway| self.demand[*gateway] > 0)
            .collect()
    }

    fn scored_pair(&self, gateway: usize, server: usize) -> ScoredPair {
        ScoredPair {
            score: self.score(gateway, server),
            gateway: gateway as u32,
            server: server as u32,
        }
    }

    /// Assigns each of `pairs` that can be assigned, in order of their scores, best first.
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

    /// Assigns only pairs with good scores, which are few and usually sufficient.
    pub(super) fn assign_best_scores(&mut self, size: usize) {
        // `max_score` is chosen so that a gateway has on average `BEST_PAIRS_PER_NEEDED_SERVER` scores below it for
        // each server that it needs.
        let max_score = BEST_PAIRS_PER_NEEDED_SERVER * size as f64 * (u64::MAX as f64)
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

    /// Assigns from all pairs of gateways that still need servers and servers that have capacity.
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

    /// Fills the subsets that are still too small: first with servers that have capacity, then with servers beyond
    /// their capacity, each in order of hash rank.
    pub(super) fn assign_beyond_capacity(&mut self) {
        for gateway in self.gateways_with_demand() {
            let mut candidates: Vec<usize> = (0..self.servers.len())
                .filter(|server| !self.is_assigned(gateway, *server))
                .collect();
            candidates.sort_by_key(|server| {
                let rank = hash_rank(self.servers[*server].key, self.gateways[gateway]);
                (self.capacity[*server] == 0, rank)
            });
            for server in candidates.into_iter().take(self.demand[gateway]) {
                self.assign(gateway, server);
            }
        }
    }
}

/// Returns the weight if it is a finite positive number, and 1 otherwise.
fn valid_weight(weight: f64) -> f64 {
    if weight.is_finite() && weight > 0.0 {
        weight
    } else {
        1.0
    }
}
