use super::OperatorConfig;
use frosthatch_config_reader::ConfigError;
use frosthatch_discovery::dnssd::DnsSdConfig;
use std::path::Path;
use std::time::Duration;

fn errors_in(text: &str) -> Vec<String> {
    let result = OperatorConfig::parse("o.toml", text, Path::new("."));
    result
        .err()
        .unwrap_or_default()
        .iter()
        .map(ConfigError::to_string)
        .collect()
}

const VALID_FILE: &str = "[membership]\nsource = \"dns-sd\"\n[dns-sd]\nservices = [\"_t._tcp.example.org\"]\nresolvers = [\"127.0.0.1:53\"]\n";

#[test]
fn a_valid_file_sets_its_keys_and_keeps_other_defaults() {
    let config = OperatorConfig::parse(
        "o",
        &format!("{VALID_FILE}timeout_ms = 90\n"),
        Path::new("."),
    )
    .expect("the file is valid");
    let dns_sd = config.dns_sd.expect("membership.source enables DNS-SD");
    assert_eq!(dns_sd.query_timeout, Duration::from_millis(90));
    assert_eq!(
        dns_sd.max_poll_interval,
        DnsSdConfig::default().max_poll_interval
    );
    assert!(OperatorConfig::parse("o", "", Path::new("."))
        .expect("an empty file is valid")
        .dns_sd
        .is_none());
}

#[test]
fn every_mistake_is_reported_with_its_line_and_a_correction() {
    let text = VALID_FILE.replace("127.0.0.1:53", "nowhere")
        + "poll_most_ms = 5\nloss_share = 2\nwait = 1\nqueries_per_s = \"many\"\n[other]\n";
    let errors = errors_in(&text);
    for (n, (line, problem, correction)) in [
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
        let error = &errors[n];
        let all =
            error.starts_with(&format!("o.toml: line {line}, column ")) && error.contains(problem);
        assert!(all && error.contains(correction), "{error}");
    }
    assert_eq!(errors.len(), 6, "{errors:?}");
}

#[test]
fn push_to_another_machine_requires_tls() {
    let text = format!("{VALID_FILE}[dns-sd.push]\nservers = [\"192.0.2.1:853\"]\n");
    let errors = errors_in(&text);
    assert!(
        errors.len() == 1 && errors[0].contains("trust_anchor"),
        "{errors:?}"
    );
}

#[test]
fn a_missing_dns_sd_table_and_invalid_toml_are_reported() {
    assert!(errors_in("[membership]\nsource = \"dns-sd\"\n")[0].contains("add [dns-sd]"));
    assert!(errors_in("[membership\n")[0].contains("line 1"));
}
