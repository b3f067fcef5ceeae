//! Properties of subsets that hold for any number of gateways and servers.

use frosthatch_load_balancing::stable_hash;
use frosthatch_load_balancing::subset::{assign, subset_of, Server, SubsetSize};
use proptest::prelude::{prop_assert, prop_assert_eq, proptest, ProptestConfig};
use std::collections::{BTreeMap, BTreeSet};

fn gateways(count: usize) -> Vec<u64> {
    (0..count).map(|n| stable_hash(&format!("g{n}"))).collect()
}

fn servers(count: usize, zones: u64) -> Vec<Server> {
    (0..count)
        .map(|n| Server {
            key: stable_hash(&format!("s{n}")),
            weight: 1.0,
            zone: n as u64 % zones.max(1),
        })
        .collect()
}

/// Returns the number of subsets that each server is in.
fn loads(subsets: &[Vec<u32>], servers: usize) -> Vec<usize> {
    let mut loads = vec![0; servers];
    for server in subsets.iter().flatten() {
        loads[*server as usize] += 1;
    }
    loads
}

fn keys_of(subset: &[u32], servers: &[Server]) -> BTreeSet<u64> {
    subset
        .iter()
        .map(|server| servers[*server as usize].key)
        .collect()
}

fn subset_keys(subsets: &[Vec<u32>], servers: &[Server]) -> Vec<BTreeSet<u64>> {
    subsets
        .iter()
        .map(|subset| keys_of(subset, servers))
        .collect()
}

/// Returns, for each gateway, the number of servers in its subset that were not in it before.
fn added_server_counts(before: &[BTreeSet<u64>], after: &[BTreeSet<u64>]) -> Vec<usize> {
    before
        .iter()
        .zip(after)
        .map(|(before, after)| after.difference(before).count())
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Each gateway has `size` distinct servers, and the numbers of subsets that servers are in differ by at most one.
    #[test]
    fn servers_of_equal_weight_are_used_evenly(
        gateway_count in 2usize..320,
        server_count in 2usize..260,
        size in 1usize..40,
        zones in 1u64..8,
    ) {
        let subsets = assign(&gateways(gateway_count), &servers(server_count, zones), size);
        for subset in &subsets {
            let distinct = subset.iter().collect::<BTreeSet<_>>().len();
            prop_assert_eq!(distinct, size.min(server_count));
            prop_assert_eq!(subset.len(), size.min(server_count));
        }
        let loads = loads(&subsets, server_count);
        let min = loads.iter().min().copied();
        let max = loads.iter().max().copied();
        prop_assert!(
            max <= min.map(|load| load + 1),
            "servers are in {:?} to {:?} subsets, limit: a difference of 1",
            min,
            max
        );
    }

    /// The number of subsets that a server is in differs by at most one from its share by weight, if there are enough
    /// gateways for the share.
    #[test]
    fn servers_are_used_in_proportion_to_their_weight(
        gateway_count in 64usize..200,
        server_count in 40usize..160,
        seed in 0usize..1_000,
    ) {
        let mut servers = servers(server_count, 3);
        for (n, server) in servers.iter_mut().enumerate() {
            server.weight = [1.0, 2.0, 4.0, 8.0][(n * 7 + seed) % 4];
        }
        let size = 6;
        let subsets = assign(&gateways(gateway_count), &servers, size);
        let total_weight: f64 = servers.iter().map(|server| server.weight).sum();
        for (server, load) in servers.iter().zip(loads(&subsets, server_count)) {
            let share = (gateway_count * size) as f64 * server.weight / total_weight;
            prop_assert!(
                (load as f64 - share).abs() <= 1.0,
                "a server is in {} subsets, its share is {}, limit: a difference of 1",
                load,
                share
            );
        }
    }

    /// In nearly all subsets, the number of servers of a zone exceeds its proportion, rounded up, by at most one.
    #[test]
    fn subsets_take_zones_in_proportion(
        gateway_count in 20usize..300,
        server_count in 60usize..240,
        zones in 2u64..31,
    ) {
        let servers = servers(server_count, zones);
        let size = 12;
        let subsets = assign(&gateways(gateway_count), &servers, size);
        let mut zone_shares = BTreeMap::<u64, f64>::new();
        for server in &servers {
            *zone_shares.entry(server.zone).or_default() += size as f64 / server_count as f64;
        }
        let mut excesses = 0;
        for subset in &subsets {
            let mut counts = BTreeMap::<u64, f64>::new();
            for server in subset {
                *counts.entry(servers[*server as usize].zone).or_default() += 1.0;
            }
            excesses += counts
                .iter()
                .filter(|(zone, count)| **count > zone_shares[zone].ceil() + 1.0)
                .count();
        }
        // Rounding the capacities of a zone's servers may add one server to the maximum of the zone. A greater excess
        // comes from exchanges that ignore zone limits because no other exchange was possible.
        prop_assert!(
            excesses * 100 <= gateway_count,
            "{} zone excesses in the subsets of {} gateways, limit: one per 100 gateways",
            excesses,
            gateway_count
        );
    }

    /// A gateway has the same subset when the lists of gateways and servers are rotated.
    #[test]
    fn the_order_of_gateways_and_servers_does_not_matter(
        gateway_count in 9usize..80,
        server_count in 21usize..120,
        rotation in 1usize..20,
    ) {
        let gateways = gateways(gateway_count);
        let servers = servers(server_count, 3);
        let mut rotated_gateways = gateways.clone();
        rotated_gateways.rotate_left(rotation % gateway_count);
        let mut rotated_servers = servers.clone();
        rotated_servers.rotate_left(rotation % server_count);
        let subset = subset_of(gateways[0], &gateways, &servers, 10);
        let rotated = subset_of(gateways[0], &rotated_gateways, &rotated_servers, 10);
        prop_assert_eq!(keys_of(&subset, &servers), keys_of(&rotated, &rotated_servers));
    }
}

/// The numbers of gateways and servers include the neighbours of those for which the average number of users of a
/// server is a whole number, as the rounding of capacities changes there.
#[test]
fn a_server_or_gateway_that_joins_changes_few_pairs() {
    for n in [24, 60, 99, 100, 101, 199, 200, 201] {
        for g in [64, 99, 100, 299, 300, 301] {
            let gateways = gateways(g + 1);
            let servers = servers(n + 1, 3);
            let before = subset_keys(&assign(&gateways[..g], &servers[..n], 10), &servers);
            let with_server = subset_keys(&assign(&gateways[..g], &servers, 10), &servers);
            let with_gateway = subset_keys(&assign(&gateways, &servers[..n], 10), &servers);
            let users = g * 10 / n + 1;
            for (joined, after) in [("server", with_server), ("gateway", with_gateway)] {
                let added = added_server_counts(&before, &after);
                let max_added = added.iter().copied().max().unwrap_or(0);
                let sum: usize = added.iter().sum();
                assert!(
                    max_added <= 5,
                    "{joined} joins {g} gateways and {n} servers: one gateway has {max_added} new servers, limit 5"
                );
                // A server that joins has `min_gateways_per_server` pairs and a gateway 10. The bound allows nine
                // changes per pair, as a chain of changes follows from each.
                assert!(
                    sum <= 9 * users.max(10),
                    "{joined} joins {g} gateways and {n} servers: {sum} pairs added, limit: 9 * max({users}, 10)"
                );
            }
        }
    }
}

#[test]
fn two_gateways_have_few_servers_in_common() {
    let subsets = subset_keys(
        &assign(&gateways(300), &servers(200, 1), 20),
        &servers(200, 1),
    );
    let max_common = (0..299)
        .map(|n| subsets[n].intersection(&subsets[n + 1]).count())
        .max();
    assert!(
        max_common <= Some(8),
        "{max_common:?} of 20 servers in common, limit 8"
    );
}

#[test]
fn subsets_are_large_enough_for_the_minimum_users_or_contain_all_servers() {
    let size = SubsetSize {
        min_servers_per_gateway: 10,
        min_gateways_per_server: 3,
    };
    assert_eq!(
        (
            size.size_for(300, 19),
            size.size_for(300, 20),
            size.size_for(300, 0)
        ),
        (None, Some(10), None)
    );
    // If there are few gateways, their subsets are larger than `min_servers_per_gateway`, so that each server has three
    // users.
    assert_eq!(
        (
            size.size_for(64, 5_000),
            size.size_for(12, 60),
            size.size_for(5, 60)
        ),
        (Some(235), Some(15), None)
    );
    assert_eq!(
        assign(&gateways(3), &servers(4, 2), 9),
        vec![vec![0, 1, 2, 3]; 3]
    );
    assert!(
        assign(&[], &servers(4, 2), 2).is_empty()
            && assign(&gateways(2), &[], 2).iter().all(Vec::is_empty)
    );
    assert!(subset_of(7, &gateways(2), &servers(9, 1), 2).is_empty());
}

/// An invalid weight counts as 1, and a server of huge weight is in the subsets of all gateways.
#[test]
fn invalid_weights_count_as_one_and_huge_weights_are_capped() {
    let mut servers = servers(30, 2);
    servers[0].weight = f64::NAN;
    servers[1].weight = -3.0;
    servers[2].weight = 1e9;
    let subsets = assign(&gateways(40), &servers, 6);
    let loads = loads(&subsets, 30);
    assert_eq!(loads[2], 40);
    assert!(
        loads[0].abs_diff(loads[3]) <= 1 && loads[1].abs_diff(loads[3]) <= 1,
        "subsets per server, 0 and 1 with an invalid weight and 3 with weight 1: {loads:?}"
    );
    assert!(subsets.iter().all(|subset| subset.len() == 6));
}
