//! How well quotas hold by the usage that gateways report to each other, in virtual time, by the size of the cluster and by the
//! share of datagrams lost. Figures and seeds are printed.

mod gateways;
mod world;

use gateways::{Division, Gateways, Quota};

const LARGE: Quota = Quota {
    rate: 40.0,
    burst: 80.0,
    max_units: 1.0,
};
const SMALL: Quota = Quota {
    rate: 6.0,
    burst: 24.0,
    max_units: 6.0,
};

struct Figures {
    /// Units beyond the quota, as a share of it, of the customer with most.
    overrun: f64,
    /// Units that the customer with fewest was served, as a share of its quota.
    least_served: f64,
    /// Bytes that each gateway sent.
    bytes_per_s: f64,
}

/// Customers ask for four times their quota during ten seconds.
fn overload(gateways: u16, loss: f64, seed: u64, quota: Quota, has_counter: bool) -> Figures {
    let mut cluster = Gateways::new(gateways, loss, seed, quota, has_counter);
    // The gateways find each other first.
    (0..200).for_each(|_| cluster.step(0.0));
    let from = cluster.now;
    let bytes_before = cluster.sent_bytes;
    (0..1_000).for_each(|_| cluster.step(4.0 * quota.rate));
    let seconds = (cluster.now - from) as f64 / 1e6;
    let sent_bytes = cluster.sent_bytes - bytes_before;
    Figures {
        overrun: cluster.worst_overrun(from),
        least_served: cluster.fewest_admitted() as f64 / (quota.rate * seconds + quota.burst),
        bytes_per_s: sent_bytes as f64 / seconds / f64::from(gateways),
    }
}

/// Only what others admit until it is reported can exceed a quota, with a counter and without.
#[test]
fn quotas_hold_by_reported_usage() {
    for (gateways, loss) in [(4, 0.0), (4, 0.3), (20, 0.3), (100, 0.3)] {
        for (quota, counter, seed) in [
            (LARGE, false, 1),
            (SMALL, false, 2),
            (SMALL, true, 3),
            (LARGE, true, 4),
        ] {
            // A hundred gateways take long, so they are run once.
            if gateways == 100 && seed != 1 {
                continue;
            }
            let Figures {
                overrun,
                least_served,
                bytes_per_s,
            } = overload(gateways, loss, seed, quota, counter);
            let quota_text = (quota.rate, quota.burst, quota.max_units);
            let report = format!(
                "gateways {gateways} loss {loss} quota {quota_text:?} counter {counter} seed {seed}: overrun {overrun:.3}, \
                 least served {least_served:.3} of its quota, {bytes_per_s:.0} B/s each"
            );
            println!("{report}");
            // A small quota depends most on chance: over a hundred seeds its overrun is 0.13 in the mean and 0.25 at worst.
            let max_overrun = if quota == LARGE { 0.08 } else { 0.3 };
            assert!(overrun <= max_overrun && least_served >= 0.8, "{report}");
        }
    }
}

/// A gateway is isolated for ten seconds: a customer that asks for less than its quota is served all the time, and one that asks
/// for more gets the quota and little more, also after the gateway is back.
#[test]
fn an_isolated_gateway_costs_customers_within_their_quota_nothing_and_charges_nobody_twice() {
    for (isolated, seed) in [(0, 5), (3, 6)] {
        let mut cluster = Gateways::new(4, 0.0, seed, LARGE, false);
        cluster.division = Division::Skewed;
        let units_per_s = |customer: u32| LARGE.rate * if customer < 3 { 0.75 } else { 4.0 };
        (0..600).for_each(|_| cluster.step_by(units_per_s));
        for (phase, seconds) in [("cut", 10.0), ("healed", 2.0), ("later", 6.0)] {
            cluster.isolated = (phase == "cut").then_some(isolated);
            let from = cluster.now;
            let first_request = cluster.next_request;
            (0..(seconds * 100.0) as u32).for_each(|_| cluster.step_by(units_per_s));
            let served = cluster.admitted_since(from);
            let quota = LARGE.rate * seconds;
            let requests = cluster.next_request - first_request;
            let report = format!("{isolated} {phase}: {served:?} of {quota}; {requests} asks");
            println!("{report}");
            let honest = cluster.requests_since(first_request, 3);
            let honest_served = served[..3].iter().sum::<f64>();
            assert!(honest_served >= 0.97 * honest, "{report}: {honest} honest");
            let (min_share, max_share) = if phase == "healed" {
                (0.4, 2.0)
            } else {
                (0.85, 1.25)
            };
            let allowed = min_share * quota..max_share * quota;
            assert!(served[3..].iter().all(|n| allowed.contains(n)), "{report}");
        }
    }
}
