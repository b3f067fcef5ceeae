//! Tests of how closely quotas are kept by the usage that gateways report to each other, in virtual time, for
//! clusters of several sizes and fractions of lost datagrams. Results and seeds are printed.

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

/// The results of one run.
struct RunResults {
    /// Units admitted beyond the quota of the customer with the largest overrun, as a fraction of the units granted.
    overrun: f64,
    /// Units admitted for the customer with the fewest, as a fraction of its quota.
    min_admitted_share: f64,
    /// Bytes sent per second and gateway.
    bytes_per_s: f64,
}

/// Runs a cluster in which each customer requests four times its quota during ten seconds.
fn overload(gateways: u16, loss: f64, seed: u64, quota: Quota, has_counter: bool) -> RunResults {
    let mut cluster = Gateways::new(gateways, loss, seed, quota, has_counter);
    // The gateways join the cluster before the customers send requests.
    (0..200).for_each(|_| cluster.step(0.0));
    let from_us = cluster.now_us;
    let bytes_before = cluster.sent_bytes;
    (0..1_000).for_each(|_| cluster.step(4.0 * quota.rate));
    let seconds = (cluster.now_us - from_us) as f64 / 1e6;
    let sent_bytes = cluster.sent_bytes - bytes_before;
    RunResults {
        overrun: cluster.worst_overrun(from_us),
        min_admitted_share: cluster.fewest_admitted() as f64 / (quota.rate * seconds + quota.burst),
        bytes_per_s: sent_bytes as f64 / seconds / f64::from(gateways),
    }
}

/// A quota may be exceeded only by units that other gateways admitted and have not reported yet, with and without the
/// shared counter.
#[test]
fn quotas_are_kept_by_reported_usage() {
    for (gateways, loss) in [(4, 0.0), (4, 0.3), (20, 0.3), (100, 0.3)] {
        for (quota, counter, seed) in [
            (LARGE, false, 1),
            (SMALL, false, 2),
            (SMALL, true, 3),
            (LARGE, true, 4),
        ] {
            // The run with a hundred gateways takes long, so there is only one.
            if gateways == 100 && seed != 1 {
                continue;
            }
            let RunResults {
                overrun,
                min_admitted_share,
                bytes_per_s,
            } = overload(gateways, loss, seed, quota, counter);
            let quota_text = (quota.rate, quota.burst, quota.max_units);
            let report = format!(
                "gateways {gateways} loss {loss} quota {quota_text:?} counter {counter} seed {seed}: overrun {overrun:.3}, \
                 fewest admitted units {min_admitted_share:.3} of the quota, {bytes_per_s:.0} B/s per gateway"
            );
            println!("{report}");
            // The overrun of a small quota varies most with the seed: over a hundred seeds it is 0.13 in the mean and
            // 0.25 at worst.
            let max_overrun = if quota == LARGE { 0.08 } else { 0.3 };
            assert!(
                overrun <= max_overrun && min_admitted_share >= 0.8,
                "{report}"
            );
        }
    }
}

/// One gateway is isolated for ten seconds. Customers that request less than their quota are served throughout, and
/// those that request more get their quota and little more, also after the gateway has returned.
#[test]
fn an_isolated_gateway_neither_rejects_customers_within_their_quota_nor_charges_usage_twice() {
    for (isolated, seed) in [(0, 5), (3, 6)] {
        let mut cluster = Gateways::new(4, 0.0, seed, LARGE, false);
        cluster.division = Division::Skewed;
        let units_per_s = |customer: u32| LARGE.rate * if customer < 3 { 0.75 } else { 4.0 };
        (0..600).for_each(|_| cluster.step_with_rates(units_per_s));
        for (phase, seconds) in [("isolated", 10.0), ("returned", 2.0), ("later", 6.0)] {
            cluster.isolated = (phase == "isolated").then_some(isolated);
            let from_us = cluster.now_us;
            let first_request = cluster.next_request;
            (0..(seconds * 100.0) as u32).for_each(|_| cluster.step_with_rates(units_per_s));
            let admitted = cluster.admitted_since(from_us);
            let quota = LARGE.rate * seconds;
            let requests = cluster.next_request - first_request;
            let report = format!(
                "gateway {isolated} {phase}: admitted {admitted:?} of {quota} units; {requests} requests"
            );
            println!("{report}");
            let requests_within_quota = cluster.requests_since(first_request, 3);
            let admitted_within_quota = admitted[..3].iter().sum::<f64>();
            assert!(
                admitted_within_quota >= 0.97 * requests_within_quota,
                "{report}: {requests_within_quota} requests within quota"
            );
            let (min_share, max_share) = if phase == "returned" {
                (0.4, 2.0)
            } else {
                (0.85, 1.25)
            };
            let allowed = min_share * quota..max_share * quota;
            assert!(
                admitted[3..].iter().all(|n| allowed.contains(n)),
                "{report}"
            );
        }
    }
}
