//! What holds of subsets, whatever the sizes are.

use frosthatch_load_balancing::key;
use frosthatch_load_balancing::subset::{deal, of, Server, SubsetSize};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn gateways(n: usize) -> Vec<u64> {
    (0..n).map(|n| key(&format!("g{n}"))).collect()
}

fn servers(n: usize, zones: u64) -> Vec<Server> {
    (0..n)
        .map(|n| Server {
            key: key(&format!("s{n}")),
            weight: 1.0,
            zone: n as u64 % zones.max(1),
        })
        .collect()
}

/// In how many subsets each is.
fn loads(all: &[Vec<u32>], servers: usize) -> Vec<usize> {
    let mut load = vec![0; servers];
    all.iter().flatten().for_each(|s| load[*s as usize] += 1);
    load
}

fn by_name(all: &[Vec<u32>], servers: &[Server]) -> Vec<BTreeSet<u64>> {
    all.iter()
        .map(|some| some.iter().map(|s| servers[*s as usize].key).collect())
        .collect()
}

/// Servers that each has and did not have, most and in sum.
fn moved(before: &[BTreeSet<u64>], after: &[BTreeSet<u64>]) -> (usize, usize) {
    let each: Vec<usize> = before
        .iter()
        .zip(after)
        .map(|(b, a)| a.difference(b).count())
        .collect();
    (each.iter().copied().max().unwrap_or(0), each.iter().sum())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Each gateway has its number, none twice; each server is in as many subsets as another to within one.
    #[test]
    fn all_are_used_evenly(g in 2usize..320, n in 2usize..260, size in 1usize..40, zones in 1u64..8) {
        let all = deal(&gateways(g), &servers(n, zones), size);
        for some in &all {
            prop_assert_eq!(some.iter().collect::<BTreeSet<_>>().len(), size.min(n));
            prop_assert_eq!(some.len(), size.min(n));
        }
        let loads = loads(&all, n);
        let (least, most) = (loads.iter().min().copied(), loads.iter().max().copied());
        prop_assert!(most <= least.map(|l| l + 1), "{:?} to {:?}", least, most);
    }

    /// By weight: to within one of what is due, as far as there are gateways enough.
    #[test]
    fn a_heavier_one_is_in_as_many_more(g in 64usize..200, n in 40usize..160, seed in 0usize..1_000) {
        let mut servers = servers(n, 3);
        servers.iter_mut().enumerate().for_each(|(k, s)| s.weight = [1.0, 2.0, 4.0, 8.0][(k * 7 + seed) % 4]);
        let size = 6;
        let all = deal(&gateways(g), &servers, size);
        let sum: f64 = servers.iter().map(|s| s.weight).sum();
        for (s, load) in servers.iter().zip(loads(&all, n)) {
            let due = (g * size) as f64 * s.weight / sum;
            prop_assert!((load as f64 - due).abs() <= 1.0, "{} where {} are due", load, due);
        }
    }

    /// No gateway has more of a zone than its part of all, rounded up.
    #[test]
    fn zones_come_by_their_parts(g in 20usize..300, n in 60usize..240, zones in 2u64..31) {
        let servers = servers(n, zones);
        let size = 12;
        let all = deal(&gateways(g), &servers, size);
        let mut parts = BTreeMap::<u64, f64>::new();
        servers.iter().for_each(|s| *parts.entry(s.zone).or_default() += size as f64 / n as f64);
        let mut over = 0;
        for some in &all {
            let mut has = BTreeMap::<u64, f64>::new();
            some.iter().for_each(|s| *has.entry(servers[*s as usize].zone).or_default() += 1.0);
            over += has.iter().filter(|(z, n)| **n > parts[z].ceil() + 1.0).count();
        }
        // Rounding of the zones' sums may cost one; what is more is left to exchanges that found nothing better.
        prop_assert!(over * 100 <= g, "{} of {}", over, g);
    }

    /// The order in which gateways and servers are named does not matter.
    #[test]
    fn all_compute_the_same(g in 9usize..80, n in 21usize..120, turn in 1usize..20) {
        let (gateways, servers) = (gateways(g), servers(n, 3));
        let (mut others, mut turned) = (gateways.clone(), servers.clone());
        others.rotate_left(turn % g);
        turned.rotate_left(turn % n);
        let one: BTreeSet<u64> = of(gateways[0], &gateways, &servers, 10).iter().map(|s| servers[*s as usize].key).collect();
        let two: BTreeSet<u64> = of(gateways[0], &others, &turned, 10).iter().map(|s| turned[*s as usize].key).collect();
        prop_assert_eq!(one, two);
    }
}

/// At every size, also where the number of users passes a whole number: one that comes or goes on either side moves few.
#[test]
fn one_that_comes_or_goes_moves_few() {
    for n in [24, 60, 99, 100, 101, 199, 200, 201] {
        for g in [64, 99, 100, 299, 300, 301] {
            let (gateways, servers) = (gateways(g + 1), servers(n + 1, 3));
            let before = by_name(&deal(&gateways[..g], &servers[..n], 10), &servers);
            let more = by_name(&deal(&gateways[..g], &servers, 10), &servers);
            let joined = by_name(&deal(&gateways, &servers[..n], 10), &servers);
            let users = g * 10 / n + 1;
            for (what, after) in [("server", more), ("gateway", joined)] {
                let (most, sum) = moved(&before, &after);
                assert!(most <= 5, "{what} to {g} by {n}: {most} of one gateway's");
                // Those of the one that came, and a chain behind each.
                assert!(
                    sum <= 9 * users.max(10),
                    "{what} to {g} by {n}: {sum}, {users} users"
                );
            }
        }
    }
}

#[test]
fn two_gateways_share_few_servers() {
    let all = by_name(
        &deal(&gateways(300), &servers(200, 1), 20),
        &servers(200, 1),
    );
    let most = (0..299)
        .map(|n| all[n].intersection(&all[n + 1]).count())
        .max();
    assert!(most <= Some(8), "{most:?} of 20 in common");
}

#[test]
fn of_few_servers_all_are_used_and_each_has_its_users() {
    let size = SubsetSize {
        least: 10,
        users: 3,
    };
    assert_eq!(
        (size.of(300, 19), size.of(300, 20), size.of(300, 0)),
        (None, Some(10), None)
    );
    // With few gateways each takes more, so that each server has three.
    assert_eq!(
        (size.of(64, 5_000), size.of(12, 60), size.of(5, 60)),
        (Some(235), Some(15), None)
    );
    assert_eq!(
        deal(&gateways(3), &servers(4, 2), 9),
        vec![vec![0, 1, 2, 3]; 3]
    );
    assert!(
        deal(&[], &servers(4, 2), 2).is_empty()
            && deal(&gateways(2), &[], 2).iter().all(Vec::is_empty)
    );
    assert!(of(7, &gateways(2), &servers(9, 1), 2).is_empty());
}

/// Weights that are none count as one, and no server is in more subsets than there are.
#[test]
fn odd_weights_are_borne() {
    let mut servers = servers(30, 2);
    (servers[0].weight, servers[1].weight, servers[2].weight) = (f64::NAN, -3.0, 1e9);
    let all = deal(&gateways(40), &servers, 6);
    let loads = loads(&all, 30);
    assert_eq!(loads[2], 40);
    assert!(
        loads[0].abs_diff(loads[3]) <= 1 && loads[1].abs_diff(loads[3]) <= 1,
        "{loads:?}"
    );
    assert!(all.iter().all(|some| some.len() == 6));
}
