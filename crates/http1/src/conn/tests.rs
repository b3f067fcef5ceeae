use super::*;

/// The header's form is the platform's.
#[test]
fn a_load_report_is_read_by_the_names_of_its_header() {
    let read = report("TEXT inflight=7, queue=2, latency_ms=12.5, other=1");
    assert_eq!(
        read,
        [
            (LoadMetric::Inflight, 7.0),
            (LoadMetric::Queue, 2.0),
            (LoadMetric::ServiceMs, 12.5)
        ]
    );
    assert_eq!(report("JSON inflight=7"), []);
    assert_eq!(
        (LOAD, USED, NEVER_RAN),
        ("endpoint-load-metrics", "x-ratelimit-used", "x-never-ran")
    );
}
