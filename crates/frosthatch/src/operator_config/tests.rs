use super::OperatorConfig;
use frosthatch_config_reader::ConfigError;
use frosthatch_discovery::dnssd::DnsSdConfig;
use std::path::Path;
use std::time::Duration;

fn errors_in(text: &str) -> Vec<String> {
    let read = OperatorConfig::parse("o.toml", text, Path::new("."));
    read.err()
        .unwrap_or_default()
        .iter()
        .map(ConfigError::to_string)
        .collect()
}

const FINE: &str = "[membership]\nsource = \"dns-sd\"\n[dns-sd]\nservices = [\"_t._tcp.example.org\"]\nresolvers = [\"127.0.0.1:53\"]\n";

#[test]
fn a_file_in_order_sets_what_it_says_and_leaves_the_rest() {
    let read = OperatorConfig::parse("o", &format!("{FINE}timeout_ms = 90\n"), Path::new("."))
        .expect("in order");
    let plan = read.dns_sd.expect("dns-sd is on");
    assert_eq!(plan.query_timeout, Duration::from_millis(90));
    assert_eq!(
        plan.max_poll_interval,
        DnsSdConfig::default().max_poll_interval
    );
    assert!(OperatorConfig::parse("o", "", Path::new("."))
        .expect("in order")
        .dns_sd
        .is_none());
}

#[test]
fn every_mistake_is_told_with_its_line_and_what_would_be_right() {
    let text = FINE.replace("127.0.0.1:53", "nowhere")
        + "poll_most_ms = 5\nloss_share = 2\nwait = 1\nqueries_per_s = \"many\"\n[other]\n";
    let errors = errors_in(&text);
    for (n, (line, what, right)) in [
        (5, "\"nowhere\"", "127.0.0.1:53"),
        (6, "poll_most_ms is 5", "from 20 to 60000"),
        (9, "queries_per_s is \"many\"", "whole number"),
        (7, "loss_share is 2", "from 0 to 1"),
        (8, "dns-sd.wait is not known", "timeout_ms"),
        (10, "other is not known", "membership"),
    ]
    .iter()
    .enumerate()
    {
        let one = &errors[n];
        let all = one.starts_with(&format!("o.toml: line {line}, column ")) && one.contains(what);
        assert!(all && one.contains(right), "{one}");
    }
    assert_eq!(errors.len(), 6, "{errors:?}");
}

#[test]
fn push_that_leaves_the_machine_wants_tls() {
    let text = format!("{FINE}[dns-sd.push]\nservers = [\"192.0.2.1:853\"]\n");
    let errors = errors_in(&text);
    assert!(
        errors.len() == 1 && errors[0].contains("trust_anchor"),
        "{errors:?}"
    );
}

#[test]
fn a_source_without_its_table_and_broken_toml_are_told() {
    assert!(errors_in("[membership]\nsource = \"dns-sd\"\n")[0].contains("add [dns-sd]"));
    assert!(errors_in("[membership\n")[0].contains("line 1"));
}
