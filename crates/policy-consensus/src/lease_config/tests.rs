use super::LeaseConfig;

/// Checks both extremes of drift: a slow clock at the lease holder with a fast one at the acceptor, and the reverse.
#[test]
fn clock_drift_never_lengthens_a_lease_or_shortens_a_wait() {
    let config = LeaseConfig {
        lease_us: 1_000_000,
        max_drift_permille: 10,
    };
    // Returns the true time that passes while a clock of this rate, in thousandths, advances by `shown_us`.
    let true_time_us = |shown_us: u64, rate: u64| shown_us as f64 * 1_000.0 / rate as f64;
    for us in [1, 999, 1_000_000, 60_000_000] {
        assert!(
            true_time_us(config.shrink_for_drift(us), 990) <= true_time_us(us, 1_010),
            "{us}"
        );
        assert!(
            true_time_us(config.stretch_for_drift(us), 1_010) >= true_time_us(us, 990),
            "{us}"
        );
    }
    assert!(
        config.shrink_for_drift(1_000_000) > 980_000
            && config.stretch_for_drift(1_000_000) < 1_021_000
    );
}
