use super::{parse_load_report, LOAD_METRICS_HEADER, METERED_USE_HEADER, NEVER_RAN_HEADER};
use frosthatch_traffic_control::LoadMetric;

/// The names and the format must equal those that the platform's servers send.
#[test]
fn load_report_is_parsed_and_header_names_match_the_platforms() {
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
