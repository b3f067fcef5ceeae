//! Tests of ejecting and readmitting servers by health reports.

use super::{required_votes, HealthReport, OutlierSignals, REPORT_TTL_US};
use proptest::prelude::{prop, prop_assert_eq, proptest};
use std::collections::BTreeMap;

const SECOND_US: u64 = 1_000_000;

/// Replaces the reports of the gateway `from`, which uses ten servers. `reports`: servers with their failure ratios.
fn report(signals: &mut OutlierSignals, from: u64, reports: &[(u64, f64)], observed_at_us: u64) {
    let reports = reports.iter().map(|(server, failure_ratio)| {
        let report = HealthReport {
            failure_ratio: *failure_ratio,
            observed_at_us,
        };
        (*server, report)
    });
    signals.replace_reports(from, 10, reports);
}

/// Returns the servers that are ejected at `now_us`, if each started long ago and is used by `users` gateways.
fn ejected_servers(signals: &mut OutlierSignals, now_us: u64, users: usize) -> Vec<u64> {
    signals.update_ejections(now_us, |_| Some((0, users)));
    signals.ejected.iter().copied().collect()
}

#[test]
fn several_reports_are_required_to_eject_a_server_and_one_to_keep_it_ejected() {
    let mut signals = OutlierSignals::default();
    report(&mut signals, 1, &[(3, 0.9)], SECOND_US);
    assert_eq!(ejected_servers(&mut signals, SECOND_US, 3), []);
    report(&mut signals, 2, &[(3, 0.8)], SECOND_US);
    assert_eq!(ejected_servers(&mut signals, SECOND_US, 3), [3]);
    // Ejection requires three of twelve users; one report keeps a server ejected until the report expires.
    assert_eq!(
        (
            required_votes(12),
            required_votes(15),
            required_votes(3),
            required_votes(0)
        ),
        (3, 4, 2, 2)
    );
    report(&mut signals, 1, &[], 4 * SECOND_US);
    report(&mut signals, 2, &[(3, 0.8)], 4 * SECOND_US);
    assert_eq!(ejected_servers(&mut signals, 4 * SECOND_US, 12), [3]);
    assert_eq!(
        ejected_servers(&mut signals, 4 * SECOND_US + REPORT_TTL_US, 12),
        []
    );
}

#[test]
fn a_later_healthy_report_readmits_a_server() {
    let mut signals = OutlierSignals::default();
    (1..=3).for_each(|from| report(&mut signals, from, &[(3, 0.9)], SECOND_US));
    assert_eq!(ejected_servers(&mut signals, SECOND_US, 3), [3]);
    // A first probe fails, a second one succeeds.
    report(&mut signals, 1, &[(3, 0.9)], 2 * SECOND_US);
    assert_eq!(ejected_servers(&mut signals, 3 * SECOND_US, 3), [3]);
    report(&mut signals, 2, &[(3, 0.0)], 3 * SECOND_US);
    assert_eq!(ejected_servers(&mut signals, 3 * SECOND_US, 3), []);
    // Reports that are older than the healthy one do not eject the server again, later ones do.
    assert_eq!(ejected_servers(&mut signals, 3 * SECOND_US + 1, 3), []);
    report(&mut signals, 1, &[(3, 0.9)], 4 * SECOND_US);
    report(&mut signals, 2, &[(3, 0.9)], 5 * SECOND_US);
    assert_eq!(ejected_servers(&mut signals, 5 * SECOND_US, 3), [3]);
}

#[test]
fn a_gateway_that_reports_most_of_its_servers_as_unhealthy_is_ignored() {
    let mut signals = OutlierSignals::default();
    for from in [1, 2] {
        let most_servers: Vec<(u64, f64)> = (0..6).map(|server| (server, 1.0)).collect();
        report(&mut signals, from, &most_servers, SECOND_US);
    }
    assert_eq!(ejected_servers(&mut signals, SECOND_US, 3), []);
    // The failure of a zone affects less than half of the servers that each gateway uses, so the reports count.
    for from in [1, 2] {
        report(
            &mut signals,
            from,
            &[(0, 1.0), (1, 1.0), (2, 1.0)],
            SECOND_US,
        );
    }
    assert_eq!(ejected_servers(&mut signals, SECOND_US, 3), [0, 1, 2]);
}

#[test]
fn reports_from_before_a_restart_do_not_count() {
    let mut signals = OutlierSignals::default();
    (1..=3).for_each(|from| report(&mut signals, from, &[(3, 0.9)], SECOND_US));
    signals.update_ejections(2 * SECOND_US, |_| Some((2 * SECOND_US, 3)));
    assert!(!signals.is_ejected(3) && signals.is_reported_unhealthy(3, 2 * SECOND_US));
    signals.retain_gateways(|from| from > 3);
    assert!(!signals.is_reported_unhealthy(3, 2 * SECOND_US));
}

proptest! {
    /// A single gateway cannot eject a server, whatever it reports and however often.
    #[test]
    fn no_single_gateway_ejects_a_server(
        false_reports in prop::collection::vec((0u64..20, 0.0f64..1.0, 0u64..9), 0..60),
        users in 0usize..20,
    ) {
        let mut signals = OutlierSignals::default();
        for (server, failure_ratio, at_s) in false_reports {
            report(&mut signals, 7, &[(server, failure_ratio)], at_s * SECOND_US);
            prop_assert_eq!(ejected_servers(&mut signals, at_s * SECOND_US, users), Vec::<u64>::new());
        }
    }

    /// The order and the repetition of the reports of several gateways do not affect which servers are ejected.
    #[test]
    fn order_and_repetition_of_reports_do_not_matter(
        reports in prop::collection::vec((0u64..6, 0u64..20, 0.0f64..1.0), 0..40),
        rotation in 0usize..40,
    ) {
        let mut by_gateway = BTreeMap::<u64, Vec<(u64, f64)>>::new();
        for (from, server, failure_ratio) in &reports {
            by_gateway.entry(*from).or_default().push((*server, *failure_ratio));
        }
        let mut in_order = OutlierSignals::default();
        for (from, reports) in &by_gateway {
            report(&mut in_order, *from, reports, SECOND_US);
        }
        let mut repeated: Vec<_> = by_gateway.iter().chain(by_gateway.iter()).collect();
        let length = repeated.len().max(1);
        repeated.rotate_left(rotation % length);
        let mut rotated = OutlierSignals::default();
        for (from, reports) in repeated {
            report(&mut rotated, *from, reports, SECOND_US);
        }
        prop_assert_eq!(ejected_servers(&mut in_order, SECOND_US, 3), ejected_servers(&mut rotated, SECOND_US, 3));
    }
}
