use super::ConcurrencyPermits;

#[test]
fn a_new_report_is_certain_and_an_old_one_gives_way_to_the_mean_use() {
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
        .expect("the use by others was reported");
    let late = permits
        .availability_probability(10_000_000, 50_000.0, 2.0)
        .expect("the use by others was reported");
    // After one mean attempt each of the two reported permits is still in use with probability 0.37, and 1.26 new ones
    // were taken on average. Much later the number in use follows a Poisson distribution of mean 2.
    assert!(
        (soon - 0.387).abs() < 0.01,
        "after one attempt the probability follows the last report and the mean use: {soon}"
    );
    assert!(
        (late - 0.406).abs() < 0.01,
        "after 200 attempts the probability follows the mean use alone: {late}"
    );
    assert_eq!(
        permits.availability_probability(51_000, 50_000.0, 0.0),
        Some(0.0),
        "no permit is available when this gateway's own attempts use all of them"
    );
}

#[test]
fn permits_that_were_spare_all_the_time_are_not_needed() {
    let mut permits = ConcurrencyPermits::default();
    assert!(
        permits.set_spare(1),
        "the first spare permit schedules a review"
    );
    assert!(
        !permits.set_spare(0) && !permits.set_spare(1),
        "no second review is scheduled before the first ends"
    );
    assert_eq!(permits.take_unneeded(), Some(0), "the permit was needed");
    assert_eq!(permits.take_unneeded(), None, "no review is scheduled");
    assert!(permits.set_spare(2) && !permits.set_spare(1) && !permits.set_spare(2));
    assert_eq!(
        permits.take_unneeded(),
        Some(1),
        "one of the two permits was needed"
    );
}
