//! The gateway binary with plug-ins: what they can do, and that an invalid, slow or stuck one affects only the
//! requests it is called for.

mod common;
use common::*;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// Writes a module with the given parts beside memory, version and `alloc`.
fn write_module(parts: &str) -> PathBuf {
    write_config_file(&format!(
        r#"(module (import "frosthatch" "now_ms" (func $now_ms (result i64))) (memory (export "memory") 1)
          (data (i32.const 16) "x-shop: seven\0a")
          (func (export "frosthatch_abi") (result i32) i32.const 1)
          (func (export "alloc") (param i32) (result i32) i32.const 1024)
          {parts})"#
    ))
}

fn write_on_request_module(body: &str) -> PathBuf {
    write_module(&format!(
        r#"(func (export "on_request") (param $at i32) (param $length i32) (result i64) {body})"#
    ))
}

const LOOP_FOREVER: &str = "(loop $l (br $l)) unreachable";

/// Continues, with the added header.
const ADD_HEADER: &str =
    "(i64.store (i32.const 0) (i64.const 0x000e0001)) (i64.store (i32.const 8) (i64.const 0)) i64.const 30";

fn plugin_table(name: &str, file: &Path, more: &str) -> String {
    format!("[plugins.{name}]\nfile = \"{}\"\n{more}", file.display())
}

struct Site {
    gateway: Gateway,
    server: Server,
    file: PathBuf,
    discovery: Discovery,
}

fn start_site(text: &str) -> Site {
    let server = Server::new(|m| {
        if m.line.contains("slow") {
            sleep(Duration::from_millis(600));
        }
        ok("served")
    });
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let file = write_config_file(text);
    let config = config_text(discovery.address, None, 1, "");
    let gateway = Gateway::start_with_args(
        &config,
        &[
            "--operator",
            file.to_str().expect("the temporary path is UTF-8"),
        ],
    );
    gateway.wait_ready();
    Site {
        gateway,
        server,
        file,
        discovery,
    }
}

fn check_on_plan(plan: &str) -> ClientRequest {
    ClientRequest::check().with_header("X-Tier", plan)
}

#[test]
fn plugins_add_headers_refuse_and_fail_the_requests_they_are_called_for() {
    let (adds, fails) = (
        write_on_request_module(ADD_HEADER),
        write_on_request_module(
            "(i64.store (i32.const 0) (i64.const 3)) (i64.store (i32.const 8) (i64.const 0)) i64.const 16",
        ),
    );
    // Refuses, with a retry after 1,500 ms.
    let refuses = write_on_request_module("(i64.store (i32.const 0) (i64.const 0x5dc00000002)) (i64.store (i32.const 8) (i64.const 0)) i64.const 16");
    let site = start_site(
        &[
            plugin_table("adds", &adds, "order = 1\n"),
            plugin_table("refuses", &refuses, "order = 2\nplans = [\"small\"]\n"),
            plugin_table(
                "fails",
                &fails,
                "order = 3\nplans = [\"small\", \"capped\"]\nclasses = [\"balance-check\"]\n",
            ),
        ]
        .concat(),
    );
    let served = site.gateway.request(&check_on_plan("lille"));
    assert_eq!(
        (served.status(), served.header("x-shop"), &*served.body),
        (200, Some("seven"), "served")
    );
    site.server.drain_events();
    let refused = site.gateway.request(&check_on_plan("small"));
    assert_eq!(
        (refused.status(), refused.header("retry-after")),
        (429, Some("1.500"))
    );
    assert_eq!(site.gateway.request(&check_on_plan("capped")).status(), 502);
    assert_eq!(
        site.server.drain_events().len(),
        0,
        "no request reaches the server"
    );
}

/// The requests of a stuck plug-in are answered once and at once, according to its policy; all others are served
/// as without it.
#[test]
fn a_stuck_plugin_affects_its_own_requests_and_no_others() {
    for (policy, status) in [("refuse", 429), ("fail", 502), ("open", 200)] {
        let looping = write_on_request_module(LOOP_FOREVER);
        // Enough fuel for one call to take far longer than `wait_ms`.
        let more = format!("policy = \"{policy}\"\nplans = [\"small\"]\nfuel_per_call = 1000000000\nfuel_per_s = 10000000000\nwait_ms = 50\n");
        let site = start_site(&plugin_table("spins", &looping, &more));
        scope(|s| {
            let stuck: Vec<_> = (0..4)
                .map(|n| {
                    let gateway = &site.gateway;
                    s.spawn(move || {
                        let since = Instant::now();
                        let answered_status = gateway
                            .request(
                                &check_on_plan("small")
                                    .with_header("X-Api-Key", &format!("{n:016x}")),
                            )
                            .status();
                        (answered_status, since.elapsed())
                    })
                })
                .collect();
            for _ in 0..50 {
                assert_eq!(site.gateway.request(&check_on_plan("lille")).status(), 200);
            }
            for s in stuck {
                let (answered_status, elapsed) = s.join().expect("the gateway answers the request");
                assert_eq!(answered_status, status, "{policy}");
                assert!(elapsed < Duration::from_secs(4), "{elapsed:?}");
            }
        });
    }
}

#[test]
fn a_plugin_that_traps_is_used_again_after_a_reload() {
    // Each call of the module traps.
    let traps = write_module(
        r#"(global $since (mut i64) (i64.const 0))
           (func (export "init") (result i32) (global.set $since (call $now_ms)) i32.const 0)
           (func (export "on_request") (param i32 i32) (result i64) unreachable)"#,
    );
    let text = plugin_table("traps", &traps, "policy = \"fail\"\nplans = [\"small\"]\n");
    let site = start_site(&text);
    for _ in 0..20 {
        assert_eq!(site.gateway.request(&check_on_plan("small")).status(), 502);
        assert_eq!(site.gateway.request(&check_on_plan("lille")).status(), 200);
    }
    // A new, valid version of the file.
    std::fs::copy(write_on_request_module(ADD_HEADER), &traps).expect("the file can be copied");
    site.gateway.signal("-HUP");
    let since = Instant::now();
    while site
        .gateway
        .request(&check_on_plan("small"))
        .header("x-shop")
        != Some("seven")
    {
        assert!(since.elapsed() < TIMEOUT, "the new version is used");
        sleep(Duration::from_millis(20));
    }
}

#[test]
fn an_invalid_reload_keeps_the_old_version_and_a_valid_one_replaces_all() {
    let file = write_on_request_module(ADD_HEADER);
    let site = start_site(&plugin_table("adds", &file, ""));
    let header_added = |site: &Site| {
        site.gateway
            .request(&check_on_plan("lille"))
            .header("x-shop")
            .map(String::from)
    };
    assert_eq!(header_added(&site).as_deref(), Some("seven"));
    for broken in [
        "(module",
        "(module (import \"wasi\" \"x\" (func)))",
        &std::fs::read_to_string(write_on_request_module("i64.const 0").as_path())
            .expect("the module is valid WebAssembly text")
            .replace("i32.const 1)", "i32.const 9)"),
    ] {
        std::fs::write(&file, broken).expect("the file can be written");
        site.gateway.signal("-HUP");
        sleep(Duration::from_millis(100));
        assert_eq!(header_added(&site).as_deref(), Some("seven"), "{broken}");
    }
    std::fs::remove_file(&file).expect("the file can be removed");
    site.gateway.signal("-HUP");
    sleep(Duration::from_millis(100));
    assert_eq!(header_added(&site).as_deref(), Some("seven"));
    // An operator file without plug-ins.
    std::fs::write(&site.file, "").expect("the file can be written");
    site.gateway.signal("-HUP");
    let since = Instant::now();
    while header_added(&site).is_some() {
        assert!(
            since.elapsed() < TIMEOUT,
            "the removed plug-in is no longer called"
        );
        sleep(Duration::from_millis(20));
    }
}

/// A plug-in holds a request while its client disconnects, while its server drains, and at shutdown.
#[test]
fn requests_held_by_a_plugin_end_well_on_disconnect_drain_and_shutdown() {
    let looping = write_on_request_module(LOOP_FOREVER);
    let more =
        "policy = \"open\"\nfuel_per_call = 1000000000\nfuel_per_s = 10000000000\nwait_ms = 400\n";
    let mut site = start_site(&plugin_table("spins", &looping, more));
    // The client disconnects: nothing is sent to the server.
    let mut disconnecting = site.gateway.client();
    disconnecting.send(&check_on_plan("lille").to_text());
    sleep(Duration::from_millis(50));
    drop(disconnecting);
    sleep(Duration::from_millis(600));
    assert_eq!(site.server.drain_events().len(), 0);
    // The server drains meanwhile: it gets no new request, the other server does.
    let other = Server::new(|_| ok("other"));
    let mut held = site.gateway.client();
    held.send(&check_on_plan("lille").to_text());
    sleep(Duration::from_millis(50));
    let list = [
        endpoint_entry("a", site.server.address, 0, "Terminating"),
        endpoint_entry("b", other.address, 0, "Ready"),
    ];
    site.discovery.publish_and_wait(false, &list.join(","));
    assert_eq!(
        held.read_response().expect("the gateway answers once").body,
        "other"
    );
    // SIGTERM: the held request is answered, and the process exits cleanly.
    let mut held = site.gateway.client();
    held.send(&check_on_plan("lille").to_text());
    sleep(Duration::from_millis(50));
    site.gateway.signal("-TERM");
    assert_eq!(
        held.read_response()
            .expect("the gateway answers once")
            .status(),
        200
    );
    assert!(site.gateway.wait_for_exit().success());
}

#[test]
fn twenty_plugins_are_called_in_their_order() {
    let two_digits = |n: usize| format!("{n:02}");
    let text: String = (0..20)
        .map(|n| {
            let header = format!("x-n{}: {n:02}\\0a", two_digits(n));
            let file = std::fs::read_to_string(write_on_request_module(ADD_HEADER))
                .expect("the module is valid WebAssembly text");
            let file = write_config_file(
                &file
                    .replace("x-shop: seven\\0a", &header)
                    .replace("0x000e0001", "0x000a0001")
                    .replace("i64.const 30", "i64.const 26"),
            );
            plugin_table(
                &format!("p{}", two_digits(n)),
                &file,
                &format!("order = {}\n", 100 - n),
            )
        })
        .collect();
    let site = start_site(&text);
    let answer = site.gateway.request(&check_on_plan("lille"));
    let order: Vec<&str> = answer
        .headers
        .iter()
        .filter(|(n, _)| n.to_ascii_lowercase().starts_with("x-n"))
        .map(|(_, v)| &**v)
        .collect();
    let expected: Vec<String> = (0..20).rev().map(two_digits).collect();
    assert_eq!(order, expected);
}

fn run(arguments: &[&str]) -> Output {
    Command::new(gateway_binary())
        .args(arguments)
        .output()
        .expect("the gateway binary runs")
}

#[test]
fn a_module_can_be_checked_and_run_outside_the_gateway() {
    let valid = write_on_request_module(ADD_HEADER);
    let request = write_config_file(
        r#"{"customer":4512345678,"class":"top-up","plan":"lille","left_ms":700,"units":2}"#,
    );
    let path = |p: &Path| p.to_str().expect("the temporary path is UTF-8").to_string();
    let out = run(&["plugin", "check", &path(&valid)]);
    let text = String::from_utf8_lossy(&out.stdout).to_string();
    assert!(
        out.status.success() && text.contains("hooks on_request"),
        "{text}"
    );
    let out = run(&["plugin", "run", &path(&valid), "--request", &path(&request)]);
    let text = String::from_utf8_lossy(&out.stdout).to_string();
    assert!(
        out.status.success() && text.contains("x-shop") && text.contains("fuel"),
        "{text}"
    );
    for (invalid, expected) in [
        (write_on_request_module(LOOP_FOREVER), "fuel"),
        (write_module(""), "exports none"),
    ] {
        let out = run(&[
            "plugin",
            "run",
            &path(&invalid),
            "--request",
            &path(&request),
        ]);
        let text = String::from_utf8_lossy(&out.stderr).to_string();
        assert!(!out.status.success() && text.contains(expected), "{text}");
    }
    let out = run(&[
        "plugin",
        "run",
        &path(&valid),
        "--request",
        &path(&write_config_file("{}")),
    ]);
    assert!(String::from_utf8_lossy(&out.stderr).contains("missing field"));
}

#[test]
fn an_unusable_plugin_at_the_start_is_an_error_with_its_reason() {
    let discovery = Discovery::new("");
    let file = write_config_file(&plugin_table("bad", Path::new("/nowhere/bad.wasm"), ""));
    let config = write_config_file(&config_text(discovery.address, None, 1, ""));
    let out = gateway_command(&config)
        .args([
            "--operator",
            file.to_str().expect("the temporary path is UTF-8"),
        ])
        .output()
        .expect("the gateway binary runs");
    let text = String::from_utf8_lossy(&out.stderr).to_string();
    assert!(
        !out.status.success() && text.contains("plugin bad: /nowhere/bad.wasm"),
        "{text}"
    );
    for (more, expected) in [
        ("policy = \"maybe\"\n", "policy"),
        ("customers = [\"9-1\"]\n", "customers"),
        ("fuel_per_call = 5\n", "fuel_per_call is 5"),
        ("speed = 1\n", "speed is not known"),
    ] {
        let file = write_config_file(&plugin_table(
            "bad",
            &write_on_request_module(ADD_HEADER),
            more,
        ));
        let out = gateway_command(&config)
            .args([
                "--operator",
                file.to_str().expect("the temporary path is UTF-8"),
                "check",
            ])
            .output();
        let text =
            String::from_utf8_lossy(&out.expect("the gateway binary runs").stdout).to_string();
        assert!(text.contains(expected), "expected {expected:?} in {text:?}");
    }
}

/// Guards against a SIGTERM that is not seen while a reload waits for a plug-in whose `init` takes too long (5 s).
#[test]
fn sigterm_during_a_reload_ends_the_process_and_the_configuration_in_use_stays() {
    let adds = write_on_request_module(ADD_HEADER);
    let never_ready = write_module(&format!(
        r#"(func (export "init") (result i32) {LOOP_FOREVER})
          (func (export "on_request") (param i32 i32) (result i64) unreachable)"#
    ));
    let mut site = start_site(&plugin_table("adds", &adds, ""));
    let fuel = "fuel_per_call = 1000000000\nfuel_per_s = 10000000000\n";
    std::fs::write(&site.file, plugin_table("adds", &never_ready, fuel))
        .expect("the operator file can be replaced");
    site.gateway.signal("-HUP");
    // The reload has begun when the process has a further thread, in which the module is initialized.
    let thread_count = || {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", site.gateway.pid()));
        tasks.expect("the process runs").count()
    };
    let before = thread_count();
    let since = Instant::now();
    while thread_count() == before && since.elapsed() < Duration::from_millis(500) {
        sleep(Duration::from_millis(2));
    }
    let mut client = site.gateway.client();
    let since = Instant::now();
    site.gateway.signal("-TERM");
    // A request on a new connection is still answered, by the configuration in use.
    client.send(&check_on_plan("lille").to_text());
    let answer = client.read_response().expect("the gateway answers once");
    assert_eq!(
        (answer.status(), answer.header("x-shop")),
        (200, Some("seven"))
    );
    assert!(site.gateway.wait_for_exit().success());
    assert!(
        since.elapsed() < Duration::from_secs(4),
        "the process ends {:?} after SIGTERM, before the reload is over",
        since.elapsed()
    );
}
