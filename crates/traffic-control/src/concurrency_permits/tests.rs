use super::ConcurrencyPermits;

#[test]
fn a_report_is_certain_then_fades_to_the_usual_use() {
    let mut permits = ConcurrencyPermits::default();
    assert_eq!(permits.availability_probability(0, 50_000.0, 2.0), None);
    permits.record_use_by_others(1_000, 2.0);
    assert_eq!(
        permits.availability_probability(1_000, 50_000.0, 2.0),
        Some(0.0)
    );
    assert_eq!(
        permits.availability_probability(1_000, 50_000.0, 3.0),
        Some(1.0)
    );
    let soon = permits
        .availability_probability(51_000, 50_000.0, 2.0)
        .expect("heard");
    let late = permits
        .availability_probability(10_000_000, 50_000.0, 2.0)
        .expect("heard");
    // After one usual attempt each of two is still there by 0.37, and 1.26 new ones came on the mean; later it is
    // Poisson's two.
    assert!((soon - 0.387).abs() < 0.01, "{soon}");
    assert!((late - 0.406).abs() < 0.01, "{late}");
    assert_eq!(
        permits.availability_probability(51_000, 50_000.0, 0.0),
        Some(0.0),
        "its own take all"
    );
}

#[test]
fn permits_that_were_spare_all_the_time_are_not_needed() {
    let mut permits = ConcurrencyPermits::default();
    assert!(permits.set_spare(1), "a look is due");
    assert!(
        !permits.set_spare(0) && !permits.set_spare(1),
        "one look at a time"
    );
    assert_eq!(permits.take_unneeded(), Some(0), "it was needed");
    assert_eq!(permits.take_unneeded(), None, "no look is due");
    assert!(permits.set_spare(2) && !permits.set_spare(1) && !permits.set_spare(2));
    assert_eq!(permits.take_unneeded(), Some(1), "one of two was needed");
}
