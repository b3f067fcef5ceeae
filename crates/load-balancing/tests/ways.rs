//! Compares algorithms that assign servers to gateways by their balance and their churn.
//!
//! `cargo test --release -p frosthatch-load-balancing --test ways -- --ignored --nocapture` prints the table of
//! `docs/choices.md`; the test that is not ignored checks that of these algorithms only `assign` is both even and
//! stable.

use frosthatch_load_balancing::stable_hash;
use frosthatch_load_balancing::subset::{assign, Server, SubsetSize};
use std::collections::BTreeSet;
use std::time::Instant;

const SUBSET_SIZE: SubsetSize = SubsetSize {
    min_servers_per_gateway: 10,
    min_gateways_per_server: 3,
};

/// A function that assigns a number of servers to each gateway and returns the subsets as indices of servers.
type Algorithm = fn(&[u64], &[Server], usize) -> Vec<Vec<u32>>;

fn gateways(count: usize) -> Vec<u64> {
    (0..count)
        .map(|n| stable_hash(&format!("gateway-{n}")))
        .collect()
}

fn servers(count: usize) -> Vec<Server> {
    let name = |n: usize| stable_hash(&format!("10.0.{}.{}:80", n / 250, n % 250));
    (0..count)
        .map(|n| Server {
            key: name(n),
            weight: 1.0,
            zone: n as u64 % 3,
        })
        .collect()
}

fn hash_rank(first: u64, second: u64) -> u64 {
    stable_hash(&format!("{first}:{second}"))
}

fn servers_by_rank(servers: &[Server], seed: u64) -> Vec<u32> {
    let mut order: Vec<u32> = (0..servers.len() as u32).collect();
    order.sort_by_key(|server| hash_rank(servers[*server as usize].key, seed));
    order
}

/// Rendezvous hashing: each gateway uses the servers with the smallest hash ranks, regardless of the other gateways.
fn rendezvous(gateways: &[u64], servers: &[Server], size: usize) -> Vec<Vec<u32>> {
    let best = |gateway: &u64| {
        let mut subset = servers_by_rank(servers, *gateway);
        subset.truncate(size);
        subset
    };
    gateways.iter().map(best).collect()
}

/// A hash ring: servers are placed in the order of their keys and gateways evenly spaced; each gateway uses the servers
/// that follow it.
fn ring(gateways: &[u64], servers: &[Server], size: usize) -> Vec<Vec<u32>> {
    let mut server_order: Vec<u32> = (0..servers.len() as u32).collect();
    server_order.sort_by_key(|server| servers[*server as usize].key);
    let mut gateway_order: Vec<usize> = (0..gateways.len()).collect();
    gateway_order.sort_by_key(|gateway| gateways[*gateway]);
    let mut subsets = vec![Vec::new(); gateways.len()];
    for (n, gateway) in gateway_order.into_iter().enumerate() {
        let start = n * servers.len() / gateways.len();
        subsets[gateway] = (start..start + size)
            .map(|at| server_order[at % servers.len()])
            .collect();
    }
    subsets
}

/// Deterministic subsetting: gateways are divided into rounds by number; each round has its own
/// order of the servers, of which each gateway uses a slice.
fn rounds(gateways: &[u64], servers: &[Server], size: usize) -> Vec<Vec<u32>> {
    let gateways_per_round = servers.len() / size;
    let slice = |gateway: usize| {
        let round = gateway / gateways_per_round;
        let position = gateway % gateways_per_round;
        let order = servers_by_rank(servers, round as u64);
        let start = |position: usize| position * servers.len() / gateways_per_round;
        order[start(position)..start(position + 1)].to_vec()
    };
    (0..gateways.len()).map(slice).collect()
}

/// The greatest and the smallest load of a server, relative to the mean load.
struct Balance {
    max: f64,
    min: f64,
}

fn balance(subsets: &[Vec<u32>], servers: usize) -> Balance {
    let mut loads = vec![0usize; servers];
    for server in subsets.iter().flatten() {
        loads[*server as usize] += 1;
    }
    let mean = loads.iter().sum::<usize>() as f64 / servers as f64;
    let max = loads.iter().copied().max().unwrap_or(0);
    let min = loads.iter().copied().min().unwrap_or(usize::MAX);
    Balance {
        max: max as f64 / mean,
        min: min as f64 / mean,
    }
}

/// The mean and the maximum number of servers that a change adds to the subset of a gateway.
#[derive(Debug)]
struct Churn {
    mean: f64,
    max: usize,
}

fn churn(before: &[Vec<u32>], after: &[Vec<u32>]) -> Churn {
    let added = |(before, after): (&Vec<u32>, &Vec<u32>)| {
        let before: BTreeSet<_> = before.iter().collect();
        after.iter().filter(|s| !before.contains(s)).count()
    };
    let added: Vec<usize> = before.iter().zip(after).map(added).collect();
    Churn {
        mean: added.iter().sum::<usize>() as f64 / added.len() as f64,
        max: added.into_iter().max().unwrap_or(0),
    }
}

/// The properties of an algorithm for one number of gateways and servers.
struct Comparison {
    balance: Balance,
    /// The churn when a server joins.
    server_joins: Churn,
    /// The churn when the gateway in the middle of the list leaves.
    gateway_leaves: Churn,
}

fn measure(algorithm: Algorithm, g: usize, s: usize, size: usize) -> Comparison {
    let gateways = gateways(g);
    let servers = servers(s + 1);
    let before = algorithm(&gateways, &servers[..s], size);
    let size_with_server = SUBSET_SIZE
        .size_for(g, s + 1)
        .expect("the fleet has at least twice as many servers as a subset");
    let with_server = algorithm(&gateways, &servers, size_with_server);
    let mut remaining_gateways = gateways.clone();
    remaining_gateways.remove(g / 2);
    let size_without_gateway = SUBSET_SIZE
        .size_for(g - 1, s)
        .expect("the fleet has at least twice as many servers as a subset");
    let without_gateway = algorithm(&remaining_gateways, &servers[..s], size_without_gateway);
    let mut before_of_remaining = before.clone();
    before_of_remaining.remove(g / 2);
    Comparison {
        balance: balance(&before, s),
        server_joins: churn(&before, &with_server),
        gateway_leaves: churn(&before_of_remaining, &without_gateway),
    }
}

#[test]
#[ignore = "prints a table and checks nothing"]
fn prints_the_comparison_of_algorithms() {
    let algorithms: [(&str, Algorithm); 4] = [
        ("score order", assign),
        ("rounds", rounds),
        ("rendezvous", rendezvous),
        ("ring", ring),
    ];
    println!("| gateways, servers | size | algorithm | max, min load / mean load | server joins: mean, max added | gateway leaves: mean, max added | ms |");
    let fleet_sizes = [
        (9, 60),
        (64, 200),
        (300, 60),
        (299, 200),
        (300, 199),
        (300, 200),
        (301, 201),
        (64, 5_000),
        (1_000, 5_000),
    ];
    for (g, s) in fleet_sizes {
        let Some(size) = SUBSET_SIZE.size_for(g, s) else {
            panic!("{g} gateways and {s} servers have no subsets: each gateway uses all servers")
        };
        for (name, algorithm) in algorithms {
            let comparison = measure(algorithm, g, s, size);
            let gateways = gateways(g);
            let servers = servers(s);
            let started_at = Instant::now();
            algorithm(&gateways, &servers, size);
            let elapsed_ms = started_at.elapsed().as_secs_f64() * 1e3;
            println!(
                "| {g}, {s} | {size} | {name} | {:.2}, {:.2} | {:.2}, {} | {:.2}, {} | {elapsed_ms:.1} |",
                comparison.balance.max,
                comparison.balance.min,
                comparison.server_joins.mean,
                comparison.server_joins.max,
                comparison.gateway_leaves.mean,
                comparison.gateway_leaves.max
            );
        }
    }
}

#[test]
fn only_the_assignment_by_score_is_both_even_and_stable() {
    for (g, s) in [(64, 200), (300, 199), (300, 200)] {
        let size = SUBSET_SIZE
            .size_for(g, s)
            .expect("the fleet has at least twice as many servers as a subset");
        let measure_algorithm = |algorithm| measure(algorithm, g, s, size);
        let by_score = measure_algorithm(assign);
        let rounds = measure_algorithm(rounds);
        let rendezvous = measure_algorithm(rendezvous);
        let ring = measure_algorithm(ring);
        let single_user_load = s as f64 / (g * size) as f64;
        assert!(
            by_score.balance.max <= 1.0 + single_user_load
                && by_score.balance.min >= 1.0 - single_user_load,
            "maximum and minimum load / mean load: {} and {}, limit: 1 plus and minus the load of one user",
            by_score.balance.max,
            by_score.balance.min
        );
        assert!(rendezvous.balance.max > 1.0 + 2.0 * single_user_load);
        assert!(
            by_score.server_joins.mean <= 0.6 && by_score.server_joins.max <= 5,
            "servers added per gateway when a server joins, limits: mean 0.6, max 5: {:?}",
            by_score.server_joins
        );
        assert!(
            by_score.gateway_leaves.mean <= 0.6 && by_score.gateway_leaves.max <= 5,
            "servers added per gateway when a gateway leaves, limits: mean 0.6, max 5: {:?}",
            by_score.gateway_leaves
        );
        assert!(
            rounds.gateway_leaves.mean > 2.0
                && ring.gateway_leaves.mean > by_score.gateway_leaves.mean
        );
    }
    // With deterministic subsetting, a change from 199 to 200 servers changes the slices of all gateways.
    assert!(measure(rounds, 300, 199, 10).server_joins.mean > 4.0);
}
