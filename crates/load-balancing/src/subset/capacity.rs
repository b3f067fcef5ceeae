//! Computes the capacity of each server: the number of subsets that the server is to be in.

use super::Server;
use crate::hash_rank;

/// The tolerance for shares that are less than a whole number only because of rounding errors.
const MAX_ROUNDING_ERROR: f64 = 1e-9;

/// Returns the number of subsets that each server is to be in, in proportion to its weight. The numbers add up to
/// `total`, and none exceeds the number of gateways.
pub(super) fn capacities(
    servers: &[Server],
    weights: &[f64],
    total: usize,
    gateways: usize,
) -> Vec<usize> {
    let shares = proportional_shares(weights, total, gateways);
    round_to_total(servers, &shares, total, gateways)
}

/// Returns each server's share of `total` in proportion to its weight. The part of a share that exceeds the number of
/// gateways is divided among the other servers.
fn proportional_shares(weights: &[f64], total: usize, gateways: usize) -> Vec<f64> {
    let mut shares = vec![0.0; weights.len()];
    let mut is_capped = vec![false; weights.len()];
    loop {
        let capped_total = is_capped.iter().filter(|capped| **capped).count() * gateways;
        let uncapped_weight: f64 = weights
            .iter()
            .zip(&is_capped)
            .filter(|(_, capped)| !**capped)
            .map(|(weight, _)| weight)
            .sum();
        let per_weight = total.saturating_sub(capped_total) as f64 / uncapped_weight;
        let mut has_changed = false;
        for server in 0..weights.len() {
            shares[server] = if is_capped[server] {
                gateways as f64
            } else {
                weights[server] * per_weight
            };
            if shares[server] > gateways as f64 {
                is_capped[server] = true;
                has_changed = true;
            }
        }
        if !has_changed {
            return shares;
        }
    }
}

/// Rounds the shares to whole numbers with the sum `total`, by the largest remainder method. Servers with equal
/// remainders, such as those with equal weights, are ordered by hash.
fn round_to_total(servers: &[Server], shares: &[f64], total: usize, gateways: usize) -> Vec<usize> {
    let mut rounded: Vec<usize> = shares
        .iter()
        .map(|share| (*share + MAX_ROUNDING_ERROR) as usize)
        .collect();
    let mut by_remainder: Vec<(f64, u64, usize)> = (0..servers.len())
        .map(|server| {
            let negative_remainder = rounded[server] as f64 - shares[server];
            (
                negative_remainder,
                hash_rank(servers[server].key, 0),
                server,
            )
        })
        .collect();
    by_remainder.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let missing = total.saturating_sub(rounded.iter().sum());
    let rounded_up: Vec<usize> = by_remainder
        .iter()
        .map(|(_, _, server)| *server)
        .filter(|server| rounded[*server] < gateways)
        .take(missing)
        .collect();
    for server in rounded_up {
        rounded[server] += 1;
    }
    rounded
}
