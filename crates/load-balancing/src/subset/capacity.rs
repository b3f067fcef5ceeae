//! In how many subsets each server is to be.

use super::Server;
use crate::hash_rank;

/// Tolerance for sums that miss a whole number by rounding.
const ROUNDING_ERROR: f64 = 1e-9;

/// The number of subsets that each server is in, by its weight: whole numbers with the sum `total`, none of them above the
/// number of gateways.
pub(super) fn capacities(
    servers: &[Server],
    weights: &[f64],
    total: usize,
    gateways: usize,
) -> Vec<usize> {
    let due = due_shares(weights, total, gateways);
    round_to_total(servers, &due, total, gateways)
}

/// The share of `total` due to each server by its weight. What would be due beyond the number of gateways is due to the
/// other servers instead.
fn due_shares(weights: &[f64], total: usize, gateways: usize) -> Vec<f64> {
    let mut due = vec![0.0; weights.len()];
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
            due[server] = if is_capped[server] {
                gateways as f64
            } else {
                weights[server] * per_weight
            };
            if due[server] > gateways as f64 {
                is_capped[server] = true;
                has_changed = true;
            }
        }
        if !has_changed {
            return due;
        }
    }
}

/// Rounds by the largest remainder; equal remainders, as equal weights have, are ranked by hash.
fn round_to_total(servers: &[Server], due: &[f64], total: usize, gateways: usize) -> Vec<usize> {
    let mut rounded: Vec<usize> = due
        .iter()
        .map(|due| (*due + ROUNDING_ERROR) as usize)
        .collect();
    let mut by_remainder: Vec<(f64, u64, usize)> = (0..servers.len())
        .map(|server| {
            let negative_remainder = rounded[server] as f64 - due[server];
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
