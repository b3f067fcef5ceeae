//! `plugins`: the latency of 500 requests/s beside a plug-in that is stuck for ten seconds; then the cost of plug-ins.

use crate::figures::Figures;
use crate::load::{percentile, Load, Outcome, RequestSpec, CHECK, TOP_UP};
use crate::servers::Server;
use crate::site::{cpu, memory_mb, pause, Node, OperatorFile};
use frosthatch_test_doubles::{endpoint_entry, write_config_file, Discovery, Gateway};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::runtime::{Handle, Runtime};
use tokio::time::Instant;

const REQUESTS_PER_S: f64 = 500.0;
/// Requests per second to the stuck plug-in; each occupies the plug-in's thread until the call times out.
const STUCK_PER_S: u32 = 60;
/// Duration of the load on the stuck plug-in.
const STUCK_DURATION: Duration = Duration::from_secs(10);

const EMPTY: &str = r#"(module (memory (export "memory") 1)
  (func (export "frosthatch_abi") (result i32) i32.const 1)
  (func (export "alloc") (param i32) (result i32) i32.const 1024)
  (func (export "on_request") (param i32 i32) (result i64) i64.const 0))"#;
const STUCK: &str = r#"(module (memory (export "memory") 1)
  (func (export "frosthatch_abi") (result i32) i32.const 1)
  (func (export "alloc") (param i32) (result i32) i32.const 1024)
  (func (export "on_request") (param i32 i32) (result i64) (loop $l (br $l)) unreachable))"#;
const NIGHT: &str = include_str!("../../plugins/examples/night.wat");
const LIMIT: &str = include_str!("../../plugins/examples/limit.wat");
const TILL: &str = include_str!("../../plugins/examples/till.wat");

/// A module file that is deleted on drop.
struct ModuleFile(PathBuf);

impl Drop for ModuleFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A gateway with its servers and files; `started` is the time until it was ready.
struct Installation {
    gateway: Gateway,
    _servers: Vec<Server>,
    _agent: Discovery,
    _files: Vec<ModuleFile>,
    started: Duration,
}

/// Starts one gateway with these plug-ins: name, module text, further settings.
fn start_installation(handle: &Handle, plugins: &[(String, &str, &str)]) -> Installation {
    let servers: Vec<Server> = (0..8).map(|_| Server::start(handle, false)).collect();
    let list: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(n, s)| endpoint_entry(&format!("s{n}"), s.address, 1, "Ready"))
        .collect();
    let agent = Discovery::new(&list.join(","));
    let files: Vec<ModuleFile> = plugins
        .iter()
        .map(|(_, module, _)| ModuleFile(write_config_file(module)))
        .collect();
    let named = plugins.iter().zip(&files);
    let text: String = named
        .map(|((name, _, more), file)| {
            format!("[plugins.{name}]\nfile = \"{}\"\n{more}", file.0.display())
        })
        .collect();
    let operator = OperatorFile::new(&text);
    let node = Node {
        gateways: 1,
        me: 0,
        discovery: agent.address,
        counter: None,
        sockets: 1_024,
        memory_mb: 192,
    };
    let since = Instant::now();
    let gateway = node.start(Some(operator.path()));
    Installation {
        gateway,
        _servers: servers,
        _agent: agent,
        _files: files,
        started: since.elapsed(),
    }
}

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    let length =
        Duration::from_secs(seconds.unwrap_or(20)).max(STUCK_DURATION + Duration::from_secs(4));
    let without = p99_of_others(None, length, figures);
    let more = "plans = [\"counted\"]\npolicy = \"fail\"\nfuel_per_call = 20000000\nfuel_per_s = 200000000\nwait_ms = 50\n";
    let with = p99_of_others(Some(("stuck".into(), STUCK, more)), length, figures);
    figures.record("p99_without", without, "ms");
    figures.record("p99_beside_a_stuck_one", with, "ms");
    figures.at_most("p99_ratio", with / without, "x", 1.5);
    record_costs(Duration::from_secs(seconds.unwrap_or(8).min(8)), figures);
}

/// Returns the p99 latency in milliseconds of 500 requests/s that involve no plug-in, with concurrent requests to the `stuck` one.
fn p99_of_others(
    stuck: Option<(String, &str, &str)>,
    length: Duration,
    figures: &mut Figures,
) -> f64 {
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let plugins: Vec<_> = stuck.into_iter().collect();
    let installation = start_installation(runtime.handle(), &plugins);
    let (load, task) = Load::start(
        runtime.handle(),
        vec![installation.gateway.address],
        REQUESTS_PER_S,
        length,
    );
    if !plugins.is_empty() {
        let (stuck_load, outcomes) = (
            Load::new(vec![installation.gateway.address]),
            Arc::<Mutex<Vec<(Outcome, bool)>>>::default(),
        );
        let start = Instant::now() + Duration::from_secs(2);
        for n in 0..STUCK_PER_S * STUCK_DURATION.as_secs() as u32 {
            let (stuck_load, outcomes) = (stuck_load.clone(), outcomes.clone());
            let due = start + Duration::from_secs(1) * n / STUCK_PER_S;
            runtime.spawn(async move {
                tokio::time::sleep_until(due).await;
                let class = if n % 10 < 7 { CHECK } else { TOP_UP };
                let request_spec = RequestSpec {
                    class,
                    plan: "counted",
                    customer: n,
                    units: 1,
                    id: 1 << 40 | u64::from(n),
                };
                let answer = stuck_load.send_request(0, request_spec, due).await;
                let in_time = due.elapsed() < class.2;
                outcomes
                    .lock()
                    .expect("lock is not poisoned")
                    .push((answer, in_time));
            });
        }
        pause(length);
        let outcomes = outcomes.lock().expect("lock is not poisoned");
        let all = f64::from(STUCK_PER_S) * STUCK_DURATION.as_secs_f64();
        let failed = outcomes
            .iter()
            .filter(|(outcome, in_time)| *outcome == Outcome::Failed && *in_time)
            .count() as f64;
        figures.at_least(
            "requests_of_the_stuck_one",
            outcomes.len() as f64,
            "requests",
            all,
        );
        figures.at_most(
            "of_them_without_one_failed_answer_in_time",
            all - failed,
            "requests",
            0.0,
        );
    }
    runtime.block_on(async { drop(task.await) });
    let samples = load.samples.lock().expect("lock is not poisoned");
    let unanswered = samples
        .iter()
        .filter(|s| matches!(s.outcome, Outcome::Unanswered | Outcome::Invalid))
        .count();
    figures.at_most(
        if plugins.is_empty() {
            "unanswered_without"
        } else {
            "unanswered_beside_a_stuck_one"
        },
        unanswered as f64,
        "requests",
        0.0,
    );
    let mut latencies: Vec<Duration> = samples
        .iter()
        .filter(|s| s.due > Duration::from_secs(2))
        .map(|s| s.latency)
        .collect();
    percentile(&mut latencies, 0.99)
}

/// Records CPU time and latency of a request, memory and start time: without plug-ins, with an empty one, with each example, and
/// with 20 empty ones.
fn record_costs(length: Duration, figures: &mut Figures) {
    let one = |module: &'static str, more: &'static str| vec![("one".to_string(), module, more)];
    let twenty: Vec<(String, &str, &str)> = (0..20).map(|n| (format!("p{n}"), EMPTY, "")).collect();
    let cases = [
        ("none", Vec::new()),
        ("empty", one(EMPTY, "")),
        ("night", one(NIGHT, "config = \"99\"\nstore_kb = 1024\n")),
        ("limit", one(LIMIT, "store_kb = 1024\n")),
        ("till", one(TILL, "")),
        ("twenty", twenty),
    ];
    let mut none = (f64::NAN, f64::NAN);
    for (name, plugins) in cases {
        let runtime = Runtime::new().expect("the Tokio runtime can be built");
        let installation = start_installation(runtime.handle(), &plugins);
        let before = cpu(installation.gateway.pid());
        let (load, task) = Load::start(
            runtime.handle(),
            vec![installation.gateway.address],
            REQUESTS_PER_S,
            length,
        );
        runtime.block_on(async { drop(task.await) });
        let used = cpu(installation.gateway.pid()) - before;
        let samples = load.samples.lock().expect("lock is not poisoned");
        let us = used.as_secs_f64() * 1e6 / samples.len().max(1) as f64;
        let mut latencies: Vec<Duration> = samples.iter().map(|s| s.latency).collect();
        let p50 = percentile(&mut latencies, 0.5);
        if name == "none" {
            none = (us, p50);
        }
        let answered = samples
            .iter()
            .filter(|s| matches!(s.outcome, Outcome::Served | Outcome::Refused))
            .count();
        figures.record(&format!("{name}_cpu"), us, "us/request");
        figures.record(&format!("{name}_cpu_ratio"), us / none.0, "x");
        figures.record(&format!("{name}_p50_more"), p50 - none.1, "ms");
        figures.record(
            &format!("{name}_memory"),
            memory_mb(installation.gateway.pid()),
            "MB",
        );
        figures.record(
            &format!("{name}_start"),
            installation.started.as_secs_f64() * 1e3,
            "ms",
        );
        figures.at_least(
            &format!("{name}_answered"),
            answered as f64 / samples.len().max(1) as f64,
            "share",
            0.99,
        );
    }
}
