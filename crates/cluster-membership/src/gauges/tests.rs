use super::{Gauge, GaugeSnapshot, Gauges, MAX_GAUGES};

#[test]
fn only_the_latest_version_is_kept_and_ages_are_preserved() {
    let mut local = Gauges::default();
    let mut remote = Gauges::default();
    assert!(local.set(1_000_000, "strain", 0.5));
    let first = local.snapshot(3_000_000);
    assert!(local.set(4_000_000, "strain", 0.7));
    remote.replace_if_later(9_000_000, local.snapshot(4_500_000));
    remote.replace_if_later(9_000_000, first);
    assert_eq!(remote.get("strain"), Some((0.7, 8_500_000)));
}

#[test]
fn the_number_of_gauges_is_bounded_and_non_finite_values_are_rejected() {
    let mut gauges = Gauges::default();
    let accepted = (0..100)
        .filter(|n| gauges.set(1, &format!("f{n}"), 1.0))
        .count();
    assert_eq!(accepted, MAX_GAUGES);
    assert!(!gauges.set(1, "f1", f64::NAN) && gauges.set(1, "f1", 2.0));
    let version = gauges.version;
    gauges.clear("f1");
    gauges.clear("f1");
    assert!(gauges.get("f1").is_none() && gauges.version == version + 1 && gauges.set(1, "g", 1.0));
    let mut remote = Gauges::default();
    let too_many = (0..100)
        .map(|n| Gauge {
            name: format!("f{n}"),
            value: 1.0,
            age_ms: 0,
        })
        .collect();
    remote.replace_if_later(
        1,
        GaugeSnapshot {
            version: 5,
            gauges: too_many,
        },
    );
    assert_eq!(remote.snapshot(1).gauges.len(), MAX_GAUGES);
}
