use super::{ClassMetrics, Metrics};

#[test]
fn statsd_text_has_one_line_per_metric() {
    let class = ClassMetrics {
        name: "top-up".into(),
        success: 812,
        busy: 3,
        failure: 1,
        backend_calls: 820,
    };
    let metrics = Metrics {
        classes: vec![class],
        inflight: 14,
        hosts_listed: 10,
        ..Metrics::default()
    };
    let text = metrics.to_statsd();
    let lines: Vec<&str> = text.lines().collect();
    for line in [
        "svc.success.top-up:812|c",
        "svc.backend_calls.top-up:820|c",
        "svc.inflight:14|g",
    ] {
        assert!(lines.contains(&line), "the line {line:?} is in {text:?}");
    }
    assert_eq!(lines.len(), 9);
}
