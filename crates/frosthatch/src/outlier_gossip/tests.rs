use super::{
    gauges_from_reports, reports_from_gauges, GaugeChanges, GaugeValues, GossipState,
    REFRESH_INTERVAL_US,
};
use frosthatch_traffic_control::HealthReports;

fn no_changes() -> GaugeChanges {
    GaugeChanges {
        cleared: vec![],
        set: GaugeValues::new(),
    }
}

#[test]
fn a_gauge_is_sent_when_it_changes_or_the_refresh_interval_passes() {
    let mut state = GossipState::default();
    let reports = |error_rate, at_us| HealthReports {
        used_servers: 5,
        reports: vec![(3, error_rate, at_us)],
    };
    assert_eq!(state.gauge_changes(&reports(0.5, 7)).set.len(), 2);
    assert_eq!(state.gauge_changes(&reports(0.52, 8)), no_changes());
    let refreshed = state.gauge_changes(&reports(0.5, 7 + REFRESH_INTERVAL_US));
    assert_eq!(refreshed.set.len(), 1);
    let changed = state.gauge_changes(&reports(0.2, 9 + REFRESH_INTERVAL_US));
    let first = changed.set.into_values().next();
    assert_eq!(first.map(|measurement| measurement.value), Some(0.2));
    let none = HealthReports::default();
    assert_eq!(state.gauge_changes(&none).cleared.len(), 2);
    assert_eq!(state.gauge_changes(&none), no_changes());
}

#[test]
fn reports_round_trip_through_gauges() {
    let reports = HealthReports {
        used_servers: 12,
        reports: vec![(3, 0.9, 7), (u64::MAX, 0.04, 9)],
    };
    let gauges = gauges_from_reports(&reports);
    assert!(gauges
        .keys()
        .all(|name| name.len() <= frosthatch_cluster_membership::gauges::MAX_GAUGE_NAME_BYTES));
    let received = reports_from_gauges(
        gauges
            .into_iter()
            .map(|(name, measurement)| (name, measurement.value, measurement.at_us)),
    );
    assert_eq!(
        received,
        HealthReports {
            used_servers: 12,
            reports: vec![(3, 0.9, 7), (u64::MAX, 0.0, 9)]
        }
    );
    let no_servers = HealthReports {
        used_servers: 3,
        reports: Vec::new(),
    };
    assert!(gauges_from_reports(&no_servers).is_empty());
    // Gauges for other purposes and gauges with malformed names carry no report.
    let other = [("policy", 3.0), ("s:", 1.0), ("s:xyz", 1.0)].map(|(n, v)| (n.to_string(), v, 1));
    assert_eq!(
        reports_from_gauges(other.into_iter()),
        HealthReports::default()
    );
}
