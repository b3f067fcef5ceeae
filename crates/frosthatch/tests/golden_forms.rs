//! Golden files of what operators and the platform see: every key of both files with the mistakes that are
//! reported, the policy's schema, metric names, answers of the admin API, lines of the audit. `RECORD=1 cargo
//! test --test golden_forms` records them again.
#![expect(clippy::too_many_lines)]

mod common;
use common::*;

use frosthatch_lab::site::Node;
use frosthatch_lab::testbed::policy_fixture::{self, document, PolicyFixture};
use frosthatch_lab::testbed::processes::call_console;
use frosthatch_lab::testbed::{fleet_file, Process, Relay, Testbed, TimelineAction};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

fn compare_with_recorded(file: &str, current: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    if std::env::var_os("RECORD").is_some() {
        return std::fs::write(path, current).expect("the write succeeds");
    }
    assert_eq!(
        std::fs::read_to_string(path).expect("the golden file exists"),
        current,
        "the output equals the golden file (left: recorded, right: current)"
    );
}

/// Returns what `check` prints, with the file names replaced by placeholders.
fn check(config: &str, operator: Option<&str>) -> String {
    let config = write_config_file(config);
    let operator = operator.map(write_config_file);
    let mut command = gateway_command(&config);
    command.arg("check");
    if let Some(file) = &operator {
        command.arg("--operator").arg(file);
    }
    let out = command.output().expect("the gateway binary runs");
    let mut text = String::from_utf8_lossy(&out.stdout).into_owned();
    for (file, name) in [(Some(&config), "CONFIG"), (operator.as_ref(), "OPERATOR")] {
        if let Some(file) = file {
            text = text.replace(&file.display().to_string(), name);
            let _ = std::fs::remove_file(file);
        }
    }
    text
}

fn valid_config() -> String {
    config_text(
        "127.0.0.1:1".parse().expect("the text is a socket address"),
        None,
        2,
        "",
    )
}

/// Every key of the operator file, by table.
const OPERATOR_KEYS: &[(&str, &[&str])] = &[
    ("membership", &["source"]),
    (
        "dns-sd",
        &[
            "services",
            "resolvers",
            "poll_least_ms",
            "poll_most_ms",
            "timeout_ms",
            "queries_per_s",
            "confirm_ms",
            "loss_share",
            "loss_hold_ms",
            "linger_ms",
            "cached_answers",
            "most_instances",
        ],
    ),
    (
        "dns-sd.push",
        &[
            "servers",
            "trust_anchor",
            "server_name",
            "check_ms",
            "keepalive_ms",
        ],
    ),
    (
        "diameter",
        &[
            "listen",
            "identity",
            "realm",
            "check_class",
            "charge_class",
            "default_plan",
            "plans",
            "tw_ms",
            "tx_ms",
            "session_ms",
            "repeats_ms",
            "most_sessions",
            "most_repeats",
            "most_clients",
            "most_pending",
        ],
    ),
    (
        "diameter.tls",
        &["certificate", "key", "trust_anchor", "server_name"],
    ),
    (
        "fleet",
        &[
            "listen",
            "advertise",
            "seeds",
            "name",
            "zone",
            "region",
            "key_file",
            "tick_ms",
            "probe_ms",
            "forget_ms",
            "bytes_per_s",
            "messages_per_s",
            "most_entries",
            "most_members",
            "choices",
        ],
    ),
    (
        "peers",
        &[
            "gateways",
            "key_file",
            "tick_ms",
            "probe_ms",
            "forget_ms",
            "bytes_per_s",
            "messages_per_s",
            "most_entries",
            "most_members",
            "choices",
        ],
    ),
    (
        "plugins.night",
        &[
            "file",
            "order",
            "policy",
            "plans",
            "classes",
            "customers",
            "headers",
            "config",
            "waiting",
            "fuel_per_call",
            "fuel_per_s",
            "memory_kb",
            "store_kb",
            "wait_ms",
            "body_bytes",
        ],
    ),
    ("upgrade", &["socket"]),
    (
        "policy",
        &[
            "keepers",
            "folder",
            "lease_ms",
            "drift",
            "grace_ms",
            "on_lost",
            "patience_ms",
            "audit",
            "skew",
            "dies_at",
            "dies_after",
        ],
    ),
];

#[test]
fn every_key_of_the_operator_file_is_known_and_its_mistakes_are_reported_as_recorded() {
    let mut text = String::new();
    for (table, keys) in OPERATOR_KEYS {
        // A date is valid for no key. `dies_at` has to be a string: otherwise the number after it is not read.
        let value = |key: &str| {
            if key == "dies_at" {
                "\"store\""
            } else {
                "1979-05-27"
            }
        };
        let lines: String = keys
            .iter()
            .map(|key| format!("{key} = {}\n", value(key)))
            .collect();
        let operator = format!("[{table}]\n{lines}no_such_key = 1\n");
        writeln!(
            text,
            "[{table}]\n{}",
            check(&valid_config(), Some(&operator))
        )
        .expect("writing to a String cannot fail");
        let empty = check(&valid_config(), Some(&format!("[{table}]\n")));
        writeln!(text, "[{table}] empty\n{empty}").expect("writing to a String cannot fail");
    }
    let unknown = check(&valid_config(), Some("[no_such_table]\n"));
    writeln!(text, "{unknown}").expect("writing to a String cannot fail");
    compare_with_recorded("operator_file.txt", &text);
}

/// Every key of the platform's settings, with a value of a wrong type.
const WRONG_SETTINGS: &str = r#"{"balancers":"x","discovery":5,
    "familyInfo":{"countWaitUs":"x","mailPerS":"x","sharedCounter":"x","unitsTop":"x","usePeriodUs":"x"},
    "limits":{"cancel":"x","connectTimeoutUs":"x","keepaliveUs":"x","maxAttempts":"x","maxRetryAfterUs":"x",
        "parallelTries":"x","peerMessages":"x","retryAfter":"x"},
    "me":"x","penalties":{"crossZone":"x"},
    "rules":{"coldFrom":"x","coldUs":"x","tipAfterUs":"x","tipMultiple":"x"},
    "services":[{"aimUs":"x","deadlineUs":"x","dedupScope":5,"effect":5,"lateWorth":"x","name":5,"windowUs":"x","worth":"x"}],
    "tariffs":[{"burst":"x","capDepth":"x","ceilingRate":"x","excessWorth":"x","maxOut":"x","name":5,"overrunCost":"x",
        "pays":"x","unitsPerS":"x"}],
    "zone":5,"noSuchKey":5}"#;

#[test]
fn every_key_of_the_configuration_is_known_and_its_mistakes_are_reported_as_recorded() {
    let mut text = String::new();
    let (start, _) = valid_config()
        .split_once("\"settings\":")
        .map(|(s, e)| (s.to_string(), e.to_string()))
        .expect("the configuration has `settings`");
    writeln!(
        text,
        "settings\n{}",
        check(&format!("{start}\"settings\":{WRONG_SETTINGS}}}"), None)
    )
    .expect("writing to a String cannot fail");
    writeln!(text, "empty\n{}", check("{}", None)).expect("writing to a String cannot fail");
    let wrong_types = r#"{"name":5,"listen":5,"discovery":5,"counter":5,"console":5,"seed":5,"limits":{"cores":"x","memory_mb":"x",
        "sockets":"x"},"known":{"rev":"x","all":"x","targets":5},"settings":5,"noSuchKey":5}"#;
    writeln!(text, "wrong\n{}", check(wrong_types, None)).expect("writing to a String cannot fail");
    writeln!(text, "no JSON\n{}", check("{", None)).expect("writing to a String cannot fail");
    compare_with_recorded("configuration.txt", &text);
}

/// Returns the schema without its descriptions, which are for people and may be reworded.
fn without_descriptions(value: &Value) -> Value {
    match value {
        Value::Object(all) => {
            let kept = all
                .iter()
                .filter(|(k, v)| *k != "description" || !v.is_string());
            kept.map(|(k, v)| (k.clone(), without_descriptions(v)))
                .collect()
        }
        Value::Array(all) => all.iter().map(without_descriptions).collect(),
        other => other.clone(),
    }
}

#[test]
fn the_schema_of_a_policy_is_as_recorded() {
    let config = write_config_file(&valid_config());
    let out = gateway_command(&config)
        .args(["policy", "schema"])
        .output()
        .expect("the gateway binary runs");
    let _ = std::fs::remove_file(config);
    let schema: Value = serde_json::from_slice(&out.stdout).expect("the schema is JSON");
    let text = serde_json::to_string_pretty(&without_descriptions(&schema))
        .expect("the schema can be serialized");
    compare_with_recorded("policy_schema.json", &text);
}

/// Collects the paths and types of all values of an answer; the values differ from run to run, and some are
/// absent in some runs.
fn collect_paths(value: &Value, path: &str, paths_and_types: &mut BTreeSet<String>) {
    match value {
        Value::Object(all) => all
            .iter()
            .for_each(|(k, v)| collect_paths(v, &format!("{path}.{k}"), paths_and_types)),
        Value::Array(all) => all
            .iter()
            .for_each(|v| collect_paths(v, &format!("{path}[]"), paths_and_types)),
        Value::Null => {}
        Value::Bool(_) => drop(paths_and_types.insert(format!("{path} boolean"))),
        Value::Number(_) => drop(paths_and_types.insert(format!("{path} number"))),
        Value::String(_) => drop(paths_and_types.insert(format!("{path} string"))),
    }
}

fn call_admin_api(console: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    call_console(console, method, path, body).expect("the console answers with JSON")
}

fn until(condition: &str, holds: impl Fn() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < TIMEOUT, "{condition}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn metrics_admin_api_answers_and_the_audit_are_as_recorded() {
    let runtime = Runtime::new().expect("the Tokio runtime starts");
    let server = Server::new(|_| ok("done"));
    let discovery_double = Discovery::new(&endpoint_entry("s0", server.address, 1, "Ready"));
    let relay = Relay::new(runtime.handle(), 3, 5);
    let key = write_config_file(&format!("1 {}\n", "k".repeat(40)));
    let fixture = PolicyFixture::new("golden", 3, 500);
    let process = |n: usize| {
        let discovery = discovery_double.address;
        let node = Node {
            gateways: 3,
            me: n,
            discovery,
            counter: None,
            sockets: 256,
            memory_mb: 32,
        };
        Process::new(
            node,
            Some(fleet_file(&relay, n, &key, &fixture.policy_table(n, ""))),
        )
    };
    let processes = (0..3).map(process).collect();
    let mut testbed = Testbed::new(processes, relay);
    testbed.start_all();
    testbed.wait_until_all_found();
    let console = testbed.processes[0]
        .console()
        .expect("the process has a console address");
    until("the policy of the configuration files is in force", || {
        policy_fixture::version_in_force(&testbed.processes[0]) == Some(0)
    });

    let mut text = String::new();
    let mut record_answer = |method: &str, path: &str| {
        let (status, body) = call_admin_api(console, method, path, "");
        writeln!(text, "{method} {path}: {status} {body:?}")
            .expect("writing to a String cannot fail");
    };
    for path in ["/ready", "/nowhere", "/policy/document", "/servers/disable"] {
        record_answer("GET", path);
    }
    for path in [
        "/ready",
        "/servers/disable",
        "/servers/disable?id=s0",
        "/servers/enable?id=s0",
        "/servers/enable?id=nobody",
        "/policy/abort",
        "/policy/abort?number=7",
        "/drain",
        "/undrain",
    ] {
        record_answer("POST", path);
    }
    let number = policy_fixture::propose(console, &document(1, "", 100.0))
        .expect("the console answers")
        .expect("the console accepts the proposal");
    until("version 1 is in force at all three processes", || {
        policy_fixture::proposal_outcome(console, number).is_some_and(|(s, _)| s == "in force")
            && testbed
                .processes
                .iter()
                .all(|p| policy_fixture::version_in_force(p) == Some(1))
    });
    for n in 0..3 {
        let http_request = ClientRequest::check()
            .with_header("X-Tier", "mellem")
            .to_text();
        assert_eq!(
            testbed.processes[n]
                .client()
                .exchange(&http_request)
                .map(|m| m.status()),
            Some(200)
        );
    }
    let (status, metrics) = call_admin_api(console, "GET", "/metrics", "");
    writeln!(text, "GET /metrics: {status}").expect("writing to a String cannot fail");
    for line in metrics.lines() {
        let (name, value) = line
            .split_once(':')
            .expect("the line has a name and a value");
        let (value, kind) = value
            .split_once('|')
            .expect("the line has a value and a kind");
        assert!(value.parse::<u64>().is_ok(), "{line}");
        writeln!(text, "  {name} {kind}").expect("writing to a String cannot fail");
    }
    for path in ["/fleet", "/policy"] {
        let (status, body) = call_admin_api(console, "GET", path, "");
        let mut paths = BTreeSet::new();
        collect_paths(
            &serde_json::from_str(&body).expect("the output is JSON"),
            "",
            &mut paths,
        );
        writeln!(text, "GET {path}: {status}").expect("writing to a String cannot fail");
        paths
            .iter()
            .for_each(|p| writeln!(text, "  {p}").expect("writing to a String cannot fail"));
    }
    let (status, body) = call_admin_api(console, "POST", "/fleet/leave", "");
    writeln!(text, "POST /fleet/leave: {status} {body:?}")
        .expect("writing to a String cannot fail");
    compare_with_recorded("admin_api.txt", &text);

    testbed.apply(&TimelineAction::Kill { who: vec![0, 1, 2] });
    let state_directory = fixture.state_directory(0);
    let audit = std::fs::read_to_string(
        state_directory
            .parent()
            .expect("the state directory has a parent")
            .join("audit-0"),
    )
    .expect("the audit has the change");
    let line = audit
        .lines()
        .last()
        .expect("the audit has a line")
        .to_string();
    let fields: Vec<&str> = line.split(' ').collect();
    assert!(
        fields.len() == 4 && fields[0].parse::<u64>().is_ok() && fields[3].parse::<u64>().is_ok(),
        "{line}"
    );
    assert_eq!(
        (fields[1], fields[2]),
        ("1", &policy_fixture::digest(&document(1, "", 100.0))[..12]),
        "{line}"
    );
    assert_eq!(fixture.admitted_requests(3).len(), audit_lines(&fixture));
    let _ = std::fs::remove_file(key);
}

/// Counts the lines of the audit files of three processes.
fn audit_lines(fixture: &PolicyFixture) -> usize {
    let state_directory = fixture.state_directory(0);
    let audit_file = |n: usize| {
        state_directory
            .parent()
            .expect("the state directory has a parent")
            .join(format!("audit-{n}"))
    };
    (0..3)
        .map(|n| std::fs::read_to_string(audit_file(n)).map_or(0, |text| text.lines().count()))
        .sum()
}
