//! Tests of ejection and readmission by health reports.

use super::{needed, HealthReport, OutlierSignals, REPORT_TTL_US};
use proptest::prelude::{prop, prop_assert_eq, proptest};
use std::collections::BTreeMap;

const SECOND_US: u64 = 1_000_000;

/// Takes reports of a gateway that uses ten servers: server and failure ratio each.
fn report(signals: &mut OutlierSignals, from: u64, reports: &[(u64, f64)], at: u64) {
    let reports = reports.iter().map(|(server, errors)| {
        let report = HealthReport {
            failure_ratio: *errors,
            observed_at_us: at,
        };
        (*server, report)
    });
    signals.replace_reports(from, 10, reports);
}

/// The servers that are ejected, where all started long ago and have so many users.
fn settle(signals: &mut OutlierSignals, now: u64, users: usize) -> Vec<u64> {
    signals.update_ejections(now, |_| Some((0, users)));
    signals.ejected.iter().copied().collect()
}

#[test]
fn several_reports_eject_a_server_and_one_keeps_it_ejected() {
    let mut signals = OutlierSignals::default();
    report(&mut signals, 1, &[(3, 0.9)], SECOND_US);
    assert_eq!(settle(&mut signals, SECOND_US, 3), []);
    report(&mut signals, 2, &[(3, 0.8)], SECOND_US);
    assert_eq!(settle(&mut signals, SECOND_US, 3), [3]);
    // Three of twelve users are needed; an ejected server stays so by one report alone, until that expires.
    assert_eq!((needed(12), needed(15), needed(3), needed(0)), (3, 4, 2, 2));
    report(&mut signals, 1, &[], 4 * SECOND_US);
    report(&mut signals, 2, &[(3, 0.8)], 4 * SECOND_US);
    assert_eq!(settle(&mut signals, 4 * SECOND_US, 12), [3]);
    assert_eq!(settle(&mut signals, 4 * SECOND_US + REPORT_TTL_US, 12), []);
}

#[test]
fn a_later_healthy_report_readmits_a_server() {
    let mut signals = OutlierSignals::default();
    (1..=3).for_each(|from| report(&mut signals, from, &[(3, 0.9)], SECOND_US));
    assert_eq!(settle(&mut signals, SECOND_US, 3), [3]);
    // Probed in vain, and then with success.
    report(&mut signals, 1, &[(3, 0.9)], 2 * SECOND_US);
    assert_eq!(settle(&mut signals, 3 * SECOND_US, 3), [3]);
    report(&mut signals, 2, &[(3, 0.0)], 3 * SECOND_US);
    assert_eq!(settle(&mut signals, 3 * SECOND_US, 3), []);
    // Earlier reports do not eject it again, later ones do.
    assert_eq!(settle(&mut signals, 3 * SECOND_US + 1, 3), []);
    report(&mut signals, 1, &[(3, 0.9)], 4 * SECOND_US);
    report(&mut signals, 2, &[(3, 0.9)], 5 * SECOND_US);
    assert_eq!(settle(&mut signals, 5 * SECOND_US, 3), [3]);
}

#[test]
fn a_gateway_that_reports_most_of_its_servers_is_ignored() {
    let mut signals = OutlierSignals::default();
    for from in [1, 2] {
        let most_servers: Vec<(u64, f64)> = (0..6).map(|server| (server, 1.0)).collect();
        report(&mut signals, from, &most_servers, SECOND_US);
    }
    assert_eq!(settle(&mut signals, SECOND_US, 3), []);
    // A zone that is lost is only a part of the servers that each gateway uses.
    for from in [1, 2] {
        report(
            &mut signals,
            from,
            &[(0, 1.0), (1, 1.0), (2, 1.0)],
            SECOND_US,
        );
    }
    assert_eq!(settle(&mut signals, SECOND_US, 3), [0, 1, 2]);
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
    /// One gateway alone ejects no server, whatever it reports and however often.
    #[test]
    fn no_single_gateway_ejects_a_server(
        lies in prop::collection::vec((0u64..20, 0.0f64..1.0, 0u64..9), 0..60),
        users in 0usize..20,
    ) {
        let mut signals = OutlierSignals::default();
        for (server, errors, at) in lies {
            report(&mut signals, 7, &[(server, errors)], at * SECOND_US);
            prop_assert_eq!(settle(&mut signals, at * SECOND_US, users), Vec::<u64>::new());
        }
    }

    /// What several gateways report together counts the same in any order.
    #[test]
    fn order_and_repetition_of_reports_do_not_matter(
        reports in prop::collection::vec((0u64..6, 0u64..20, 0.0f64..1.0), 0..40),
        rotation in 0usize..40,
    ) {
        let mut by_gateway = BTreeMap::<u64, Vec<(u64, f64)>>::new();
        for (from, server, errors) in &reports {
            by_gateway.entry(*from).or_default().push((*server, *errors));
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
        prop_assert_eq!(settle(&mut in_order, SECOND_US, 3), settle(&mut rotated, SECOND_US, 3));
    }
}
