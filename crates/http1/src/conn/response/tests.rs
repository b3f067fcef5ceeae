use super::{parse_load_report, LOAD_METRICS_HEADER, METERED_USE_HEADER, NEVER_RAN_HEADER};
use frosthatch_traffic_control::LoadMetric;

/// The platform defines the names and the format of the headers.
#[test]
fn the_platforms_load_report_and_header_names_are_understood() {
    let report = parse_load_report("TEXT inflight=7, queue=2, latency_ms=12.5, other=1");
    assert_eq!(
        report,
        [
            (LoadMetric::Inflight, 7.0),
            (LoadMetric::Queue, 2.0),
            (LoadMetric::ServiceMs, 12.5)
        ]
    );
    assert_eq!(parse_load_report("JSON inflight=7"), []);
    assert_eq!(
        (LOAD_METRICS_HEADER, METERED_USE_HEADER, NEVER_RAN_HEADER),
        ("endpoint-load-metrics", "x-ratelimit-used", "x-never-ran")
    );
}
