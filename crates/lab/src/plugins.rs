//! `plugins`: one plug-in stuck for ten seconds beside 500 requests a second of others; then what plug-ins cost.

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

const PER_S: f64 = 500.0;
/// Requests a second of the plug-in that is stuck: each holds its thread for as long as it is waited for.
const STUCK_PER_S: u32 = 60;
const STUCK_FOR: Duration = Duration::from_secs(10);

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

/// A module's file, which goes with its handle.
struct File(PathBuf);

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

struct Site {
    gateway: Gateway,
    _servers: Vec<Server>,
    _agent: Discovery,
    _files: Vec<File>,
    started: Duration,
}

/// One gateway with these plug-ins: name, module, further keys.
fn site(handle: &Handle, plugins: &[(String, &str, &str)]) -> Site {
    let servers: Vec<Server> = (0..8).map(|_| Server::start(handle, false)).collect();
    let list: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(n, s)| endpoint_entry(&format!("s{n}"), s.address, 1, "Ready"))
        .collect();
    let agent = Discovery::new(&list.join(","));
    let files: Vec<File> = plugins
        .iter()
        .map(|(_, module, _)| File(write_config_file(module)))
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
    Site {
        gateway,
        _servers: servers,
        _agent: agent,
        _files: files,
        started: since.elapsed(),
    }
}

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    let length = Duration::from_secs(seconds.unwrap_or(20)).max(STUCK_FOR + Duration::from_secs(4));
    let without = others(None, length, figures);
    let more = "plans = [\"counted\"]\npolicy = \"fail\"\nfuel_per_call = 20000000\nfuel_per_s = 200000000\nwait_ms = 50\n";
    let with = others(Some(("stuck".into(), STUCK, more)), length, figures);
    figures.record("p99_without", without, "ms");
    figures.record("p99_beside_a_stuck_one", with, "ms");
    figures.at_most("p99_ratio", with / without, "x", 1.5);
    costs(Duration::from_secs(seconds.unwrap_or(8).min(8)), figures);
}

/// 500 requests a second that no plug-in is asked about; meanwhile others that a stuck one holds. Their p99.
fn others(stuck: Option<(String, &str, &str)>, length: Duration, figures: &mut Figures) -> f64 {
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let plugins: Vec<_> = stuck.into_iter().collect();
    let site = site(runtime.handle(), &plugins);
    let (load, task) = Load::start(runtime.handle(), vec![site.gateway.address], PER_S, length);
    if !plugins.is_empty() {
        let (own, got) = (
            Load::new(vec![site.gateway.address]),
            Arc::<Mutex<Vec<(Outcome, bool)>>>::default(),
        );
        let start = Instant::now() + Duration::from_secs(2);
        for n in 0..STUCK_PER_S * STUCK_FOR.as_secs() as u32 {
            let (own, got) = (own.clone(), got.clone());
            let due = start + Duration::from_secs(1) * n / STUCK_PER_S;
            runtime.spawn(async move {
                tokio::time::sleep_until(due).await;
                let class = if n % 10 < 7 { CHECK } else { TOP_UP };
                let shape = RequestSpec {
                    class,
                    plan: "counted",
                    customer: n,
                    units: 1,
                    id: 1 << 40 | u64::from(n),
                };
                let answer = own.send_request(0, shape, due).await;
                let in_time = due.elapsed() < class.2;
                got.lock()
                    .expect("lock is not poisoned")
                    .push((answer, in_time));
            });
        }
        pause(length);
        let got = got.lock().expect("lock is not poisoned");
        let all = f64::from(STUCK_PER_S) * STUCK_FOR.as_secs_f64();
        let failed = got
            .iter()
            .filter(|(got, in_time)| *got == Outcome::Failed && *in_time)
            .count() as f64;
        figures.at_least(
            "requests_of_the_stuck_one",
            got.len() as f64,
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
    let wrong = samples
        .iter()
        .filter(|s| matches!(s.outcome, Outcome::Unanswered | Outcome::Invalid))
        .count();
    figures.at_most(
        if plugins.is_empty() {
            "unanswered_without"
        } else {
            "unanswered_beside_a_stuck_one"
        },
        wrong as f64,
        "requests",
        0.0,
    );
    let mut took: Vec<Duration> = samples
        .iter()
        .filter(|s| s.due > Duration::from_secs(2))
        .map(|s| s.latency)
        .collect();
    percentile(&mut took, 0.99)
}

/// CPU and time a request with none, an empty one and each example; memory and start with 1 and with 20.
fn costs(length: Duration, figures: &mut Figures) {
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
        let site = site(runtime.handle(), &plugins);
        let before = cpu(site.gateway.pid());
        let (load, task) = Load::start(runtime.handle(), vec![site.gateway.address], PER_S, length);
        runtime.block_on(async { drop(task.await) });
        let used = cpu(site.gateway.pid()) - before;
        let samples = load.samples.lock().expect("lock is not poisoned");
        let us = used.as_secs_f64() * 1e6 / samples.len().max(1) as f64;
        let mut took: Vec<Duration> = samples.iter().map(|s| s.latency).collect();
        let p50 = percentile(&mut took, 0.5);
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
            memory_mb(site.gateway.pid()),
            "MB",
        );
        figures.record(
            &format!("{name}_start"),
            site.started.as_secs_f64() * 1e3,
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
