//! Assigns a subset of the servers to each gateway. The number of subsets that a server is in differs by at most one
//! from its share by weight, a gateway or server that joins or leaves changes few pairs, and each subset contains
//! servers of all zones in proportion.
//!
//! All gateways compute the same assignment of all servers to all gateways, and each uses its own subset. Every pair of
//! a gateway and a server has a rendezvous score, a hash of both. Pairs are visited in order of their scores, best
//! first, and a pair is assigned if the gateway still needs servers, the server still has capacity and the gateway may
//! have more servers of the server's zone. This is a stable matching in which both sides rank by the same score, so a
//! gateway or server that joins or leaves changes a few pairs along a chain, whatever the number of gateways and
//! servers. The last few gateways, which cannot be given enough servers in this way, receive them by exchanges.

mod assignment;
mod capacity;
mod exchange;

use assignment::Assignment;

/// A server to be assigned to gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    /// The hash of the server's name, by [`crate::stable_hash`].
    pub key: u64,
    /// The server's capacity relative to the others'; a weight that is not a finite positive number counts as 1.
    pub weight: f64,
    /// The identifier of the server's zone.
    pub zone: u64,
}

/// The bounds from which the size of the gateways' subsets follows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetSize {
    /// The minimum number of servers that a gateway uses.
    pub min_servers_per_gateway: usize,
    /// The minimum number of gateways that use a server.
    pub min_gateways_per_server: usize,
}

impl SubsetSize {
    /// Returns the number of servers in each subset; `None` if that is more than half of the servers, in which case
    /// each gateway uses all servers.
    pub fn size_for(self, gateways: usize, servers: usize) -> Option<usize> {
        let size_for_users = (self.min_gateways_per_server * servers).div_ceil(gateways.max(1));
        Some(self.min_servers_per_gateway.max(size_for_users)).filter(|size| 2 * size <= servers)
    }
}

/// Returns the subset of each gateway, as indices into `servers`: `size` servers, or all servers if there are at most
/// `size`. The order of gateways and servers does not affect which servers a gateway gets.
pub fn assign(gateways: &[u64], servers: &[Server], size: usize) -> Vec<Vec<u32>> {
    let size = size.min(servers.len());
    if size == servers.len() {
        return vec![(0..servers.len() as u32).collect(); gateways.len()];
    }
    let mut assignment = Assignment::new(gateways, servers, size);
    assignment.assign_best_scores(size);
    assignment.assign_remaining_pairs();
    // An even use of the servers is more important than the proportions of zones, so the second pass ignores zone
    // limits.
    assignment.exchange(exchange::ZoneLimits::Respected);
    assignment.exchange(exchange::ZoneLimits::Ignored);
    assignment.assign_beyond_capacity();
    assignment.into_subsets()
}

/// Returns the subset that [`assign`] gives to `gateway`; empty if `gateways` does not contain it.
pub fn subset_of(gateway: u64, gateways: &[u64], servers: &[Server], size: usize) -> Vec<u32> {
    let index = gateways.iter().position(|candidate| *candidate == gateway);
    index.map_or(Vec::new(), |index| {
        assign(gateways, servers, size).swap_remove(index)
    })
}
