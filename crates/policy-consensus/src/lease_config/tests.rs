use super::LeaseConfig;

/// With the lease holder's clock slow and the acceptor's fast, and the other way round, both at the bound.
#[test]
fn drifting_clocks_make_no_lease_longer_and_no_wait_shorter() {
    let config = LeaseConfig {
        lease_us: 1_000_000,
        drift: 10,
    };
    // The true time that passes while a clock of this rate, in thousandths, advances by `shown_us`.
    let true_time = |shown_us: u64, rate: u64| shown_us as f64 * 1_000.0 / rate as f64;
    for us in [1, 999, 1_000_000, 60_000_000] {
        assert!(
            true_time(config.shrink_for_drift(us), 990) <= true_time(us, 1_010),
            "{us}"
        );
        assert!(
            true_time(config.stretch_for_drift(us), 1_010) >= true_time(us, 990),
            "{us}"
        );
    }
    assert!(
        config.shrink_for_drift(1_000_000) > 980_000
            && config.stretch_for_drift(1_000_000) < 1_021_000
    );
}
