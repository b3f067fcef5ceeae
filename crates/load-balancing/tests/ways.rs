//! Ways to deal servers out, weighed by the same figures. `cargo test --release -p frosthatch-choices --test ways -- --ignored --nocapture`
//! prints the table of `docs/choices.md`; the short form here holds the one that runs to its place among them.

use frosthatch_load_balancing::key;
use frosthatch_load_balancing::subset::{deal, Server, SubsetSize};
use std::collections::BTreeSet;
use std::time::Instant;

const SIZE: SubsetSize = SubsetSize {
    least: 10,
    users: 3,
};

type Way = fn(&[u64], &[Server], usize) -> Vec<Vec<u32>>;

fn gateways(n: usize) -> Vec<u64> {
    (0..n).map(|n| key(&format!("gateway-{n}"))).collect()
}

fn servers(n: usize) -> Vec<Server> {
    let name = |n: usize| key(&format!("10.0.{}.{}:80", n / 250, n % 250));
    (0..n)
        .map(|n| Server {
            key: name(n),
            weight: 1.0,
            zone: n as u64 % 3,
        })
        .collect()
}

fn drawn(a: u64, b: u64) -> u64 {
    key(&format!("{a}:{b}"))
}

/// Each gateway takes those that it draws best.
fn rendezvous(gateways: &[u64], servers: &[Server], size: usize) -> Vec<Vec<u32>> {
    let best = |g: &u64| {
        let mut all: Vec<u32> = (0..servers.len() as u32).collect();
        all.sort_by_key(|s| drawn(servers[*s as usize].key, *g));
        all.truncate(size);
        all
    };
    gateways.iter().map(best).collect()
}

/// Servers in an order of their own on a ring, gateways evenly apart on it, each takes the next ones.
fn ring(gateways: &[u64], servers: &[Server], size: usize) -> Vec<Vec<u32>> {
    let mut order: Vec<u32> = (0..servers.len() as u32).collect();
    order.sort_by_key(|s| servers[*s as usize].key);
    let mut place: Vec<usize> = (0..gateways.len()).collect();
    place.sort_by_key(|g| gateways[*g]);
    let mut all = vec![Vec::new(); gateways.len()];
    for (n, g) in place.into_iter().enumerate() {
        let from = n * servers.len() / gateways.len();
        all[g] = (from..from + size)
            .map(|at| order[at % servers.len()])
            .collect();
    }
    all
}

/// What ran before: gateways by number in rounds; each round has an order of its own, of which each takes a stretch.
fn rounds(gateways: &[u64], servers: &[Server], size: usize) -> Vec<Vec<u32>> {
    let a_round = servers.len() / size;
    let stretch = |me: usize| {
        let (round, place) = (me / a_round, me % a_round);
        let mut order: Vec<u32> = (0..servers.len() as u32).collect();
        order.sort_by_key(|s| drawn(servers[*s as usize].key, round as u64));
        let edge = |place: usize| place * servers.len() / a_round;
        order[edge(place)..edge(place + 1)].to_vec()
    };
    (0..gateways.len()).map(stretch).collect()
}

/// Worst and least load of a server by what is due to it.
fn balance(all: &[Vec<u32>], servers: usize) -> (f64, f64) {
    let mut load = vec![0usize; servers];
    all.iter().flatten().for_each(|n| load[*n as usize] += 1);
    let due = load.iter().sum::<usize>() as f64 / servers as f64;
    let (least, most) = load
        .iter()
        .fold((usize::MAX, 0), |(l, m), n| (l.min(*n), m.max(*n)));
    (most as f64 / due, least as f64 / due)
}

/// Servers that a gateway did not have before: mean and most.
fn moved(before: &[Vec<u32>], after: &[Vec<u32>]) -> (f64, usize) {
    let new = |(a, b): (&Vec<u32>, &Vec<u32>)| {
        let a: BTreeSet<_> = a.iter().collect();
        b.iter().filter(|s| !a.contains(s)).count()
    };
    let each: Vec<usize> = before.iter().zip(after).map(new).collect();
    (
        each.iter().sum::<usize>() as f64 / each.len() as f64,
        each.into_iter().max().unwrap_or(0),
    )
}

struct Figures {
    worst: f64,
    least: f64,
    server: (f64, usize),
    gateway: (f64, usize),
}

/// One server more, and one gateway fewer in their midst.
fn figures(way: Way, g: usize, s: usize, size: usize) -> Figures {
    let (gateways, servers) = (gateways(g), servers(s + 1));
    let all = way(&gateways, &servers[..s], size);
    let more = way(&gateways, &servers, SIZE.of(g, s + 1).expect("a subset"));
    let mut fewer = gateways.clone();
    fewer.remove(g / 2);
    let gone = way(&fewer, &servers[..s], SIZE.of(g - 1, s).expect("a subset"));
    let mut stayed = all.clone();
    stayed.remove(g / 2);
    let (worst, least) = balance(&all, s);
    Figures {
        worst,
        least,
        server: moved(&all, &more),
        gateway: moved(&stayed, &gone),
    }
}

#[test]
#[ignore = "a table to look at"]
fn table() {
    let ways: [(&str, Way); 4] = [
        ("dealt by score", deal),
        ("rounds", rounds),
        ("rendezvous", rendezvous),
        ("ring", ring),
    ];
    println!("| gateways, servers | size | way | worst, least by due | a server comes: moved, most | a gateway goes | ms |");
    let sizes = [
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
    for (g, s) in sizes {
        let Some(size) = SIZE.of(g, s) else {
            panic!("{g} by {s} has no subsets")
        };
        for (name, way) in ways {
            let f = figures(way, g, s, size);
            let (gateways, servers) = (gateways(g), servers(s));
            let began = Instant::now();
            way(&gateways, &servers, size);
            let ms = began.elapsed().as_secs_f64() * 1e3;
            println!(
                "| {g}, {s} | {size} | {name} | {:.2}, {:.2} | {:.2}, {} | {:.2}, {} | {ms:.1} |",
                f.worst, f.least, f.server.0, f.server.1, f.gateway.0, f.gateway.1
            );
        }
    }
}

#[test]
fn the_one_that_runs_is_even_and_moves_little_where_the_others_do_one_of_both() {
    for (g, s) in [(64, 200), (300, 199), (300, 200)] {
        let size = SIZE.of(g, s).expect("a subset");
        let of = |way| figures(way, g, s, size);
        let (runs, rounds, rendezvous, ring) = (of(deal), of(rounds), of(rendezvous), of(ring));
        let one = s as f64 / (g * size) as f64;
        assert!(
            runs.worst <= 1.0 + one && runs.least >= 1.0 - one,
            "{} {}",
            runs.worst,
            runs.least
        );
        assert!(rendezvous.worst > 1.0 + 2.0 * one);
        assert!(
            runs.server.0 <= 0.6 && runs.server.1 <= 5,
            "{:?}",
            runs.server
        );
        assert!(
            runs.gateway.0 <= 0.6 && runs.gateway.1 <= 5,
            "{:?}",
            runs.gateway
        );
        assert!(rounds.gateway.0 > 2.0 && ring.gateway.0 > runs.gateway.0);
    }
    // Where all was dealt out anew.
    assert!(figures(rounds, 300, 199, 10).server.0 > 4.0);
}
