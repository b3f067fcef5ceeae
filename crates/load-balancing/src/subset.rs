//! Which servers each gateway uses: each server is in as many subsets as its weight says to within one, a change on either
//! side moves few servers, and each subset takes servers of all zones in proportion.
//!
//! All gateways compute the same assignment of all servers to all gateways, and each takes its own part. Every pair of
//! gateway and server has a rendezvous score, a hash of both. Pairs are visited from the best score on, and a pair is
//! assigned if the gateway still wants servers, the server still has capacity and the gateway may have more of its zone.
//! That is a stable matching in which both sides rank by the same score, so a gateway or server that comes or goes moves a
//! few pairs along a chain, at any size. What the last few gateways cannot get that way they get by exchanges.

mod assignment;
mod capacity;
mod exchange;

use assignment::Assignment;

/// A server as it is assigned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    /// The key of its name.
    pub key: u64,
    /// Its capacity relative to the others'; a weight that is not a positive number counts as 1.
    pub weight: f64,
    /// Identifies its zone.
    pub zone: u64,
}

/// How many servers a gateway should use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetSize {
    /// The least number of servers that a gateway uses.
    pub least: usize,
    /// The least number of gateways that use a server.
    pub users: usize,
}

impl SubsetSize {
    /// The size of each subset; `None` if the subsets would have more than half of the servers, so that all are used.
    pub fn size_for(self, gateways: usize, servers: usize) -> Option<usize> {
        let covering = (self.users * servers).div_ceil(gateways.max(1));
        Some(self.least.max(covering)).filter(|size| 2 * size <= servers)
    }
}

/// The servers of each gateway, as indices into `servers`: `size` for each, or all there are. The order of gateways and
/// servers does not matter.
pub fn assign(gateways: &[u64], servers: &[Server], size: usize) -> Vec<Vec<u32>> {
    let size = size.min(servers.len());
    if size == servers.len() {
        return vec![(0..servers.len() as u32).collect(); gateways.len()];
    }
    let mut assignment = Assignment::new(gateways, servers, size);
    assignment.assign_best_scores(size);
    assignment.assign_remaining_pairs();
    // Even use of the servers is more important than the proportions of zones, which the second pass ignores.
    assignment.exchange(exchange::ZoneLimits::Respected);
    assignment.exchange(exchange::ZoneLimits::Ignored);
    assignment.assign_beyond_capacity();
    assignment.into_subsets()
}

/// The servers of gateway `me`, as [`deal`] assigns them; none if it is not one of `gateways`.
pub fn of(me: u64, gateways: &[u64], servers: &[Server], size: usize) -> Vec<u32> {
    let index = gateways.iter().position(|gateway| *gateway == me);
    index.map_or(Vec::new(), |index| {
        assign(gateways, servers, size).swap_remove(index)
    })
}
