//! The real binary with plug-ins: what they may do, and what a wrong, slow or stuck one costs, which is its own requests.

mod common;
use common::*;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// A module with these parts beside memory, version and `alloc`.
fn module(parts: &str) -> PathBuf {
    write_config_file(&format!(
        r#"(module (import "frosthatch" "now_ms" (func $now_ms (result i64))) (memory (export "memory") 1)
          (data (i32.const 16) "x-shop: seven\0a")
          (func (export "frosthatch_abi") (result i32) i32.const 1)
          (func (export "alloc") (param i32) (result i32) i32.const 1024)
          {parts})"#
    ))
}

fn on_request(body: &str) -> PathBuf {
    module(&format!(
        r#"(func (export "on_request") (param $at i32) (param $length i32) (result i64) {body})"#
    ))
}

const SPIN: &str = "(loop $l (br $l)) unreachable";

/// Go on, with the header.
const HEADER: &str =
    "(i64.store (i32.const 0) (i64.const 0x000e0001)) (i64.store (i32.const 8) (i64.const 0)) i64.const 30";

fn plugin(name: &str, file: &Path, more: &str) -> String {
    format!("[plugins.{name}]\nfile = \"{}\"\n{more}", file.display())
}

struct Site {
    gateway: Gateway,
    server: Server,
    file: PathBuf,
    discovery: Discovery,
}

fn site(text: &str) -> Site {
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

fn of(plan: &str) -> ClientRequest {
    ClientRequest::check().with_header("X-Tier", plan)
}

#[test]
fn a_plugin_adds_its_header_refuses_and_fails_for_what_it_is_asked_about() {
    let (adds, fails) = (
        on_request(HEADER),
        on_request(
            "(i64.store (i32.const 0) (i64.const 3)) (i64.store (i32.const 8) (i64.const 0)) i64.const 16",
        ),
    );
    // Refuse, and come back in 1,500 ms.
    let refuses = on_request("(i64.store (i32.const 0) (i64.const 0x5dc00000002)) (i64.store (i32.const 8) (i64.const 0)) i64.const 16");
    let site = site(
        &[
            plugin("adds", &adds, "order = 1\n"),
            plugin("refuses", &refuses, "order = 2\nplans = [\"small\"]\n"),
            plugin(
                "fails",
                &fails,
                "order = 3\nplans = [\"small\", \"capped\"]\nclasses = [\"balance-check\"]\n",
            ),
        ]
        .concat(),
    );
    let served = site.gateway.request(&of("lille"));
    assert_eq!(
        (served.status(), served.header("x-shop"), &*served.body),
        (200, Some("seven"), "served")
    );
    site.server.drain_events();
    let refused = site.gateway.request(&of("small"));
    assert_eq!(
        (refused.status(), refused.header("retry-after")),
        (429, Some("1.500"))
    );
    assert_eq!(site.gateway.request(&of("capped")).status(), 502);
    assert_eq!(site.server.drain_events().len(), 0, "nothing ran");
}

/// Its requests get their one answer at once, by its policy; all others are served as if it were not there.
#[test]
fn a_stuck_plugin_costs_its_own_requests_and_no_others() {
    for (policy, status) in [("refuse", 429), ("fail", 502), ("open", 200)] {
        let spins = on_request(SPIN);
        // So much fuel that one call takes far longer than it is waited for.
        let more = format!("policy = \"{policy}\"\nplans = [\"small\"]\nfuel_per_call = 1000000000\nfuel_per_s = 10000000000\nwait_ms = 50\n");
        let site = site(&plugin("spins", &spins, &more));
        scope(|s| {
            let stuck: Vec<_> = (0..4)
                .map(|n| {
                    let gateway = &site.gateway;
                    s.spawn(move || {
                        let since = Instant::now();
                        let got = gateway
                            .request(&of("small").with_header("X-Api-Key", &format!("{n:016x}")))
                            .status();
                        (got, since.elapsed())
                    })
                })
                .collect();
            for _ in 0..50 {
                assert_eq!(site.gateway.request(&of("lille")).status(), 200);
            }
            for s in stuck {
                let (got, took) = s.join().expect("the gateway answers the request");
                assert_eq!(got, status, "{policy}");
                assert!(took < Duration::from_secs(4), "{took:?}");
            }
        });
    }
}

#[test]
fn one_that_traps_is_set_aside_and_asked_again() {
    // It traps in the first two seconds of its life.
    let traps = module(
        r#"(global $since (mut i64) (i64.const 0))
           (func (export "init") (result i32) (global.set $since (call $now_ms)) i32.const 0)
           (func (export "on_request") (param i32 i32) (result i64) unreachable)"#,
    );
    let text = plugin("traps", &traps, "policy = \"fail\"\nplans = [\"small\"]\n");
    let site = site(&text);
    for _ in 0..20 {
        assert_eq!(site.gateway.request(&of("small")).status(), 502);
        assert_eq!(site.gateway.request(&of("lille")).status(), 200);
    }
    // A new version of the file, and it is well.
    std::fs::copy(on_request(HEADER), &traps).expect("the file can be copied");
    site.gateway.signal("-HUP");
    let since = Instant::now();
    while site.gateway.request(&of("small")).header("x-shop") != Some("seven") {
        assert!(since.elapsed() < TIMEOUT, "the new version is asked");
        sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_reload_that_cannot_be_used_leaves_the_old_version_and_swaps_whole() {
    let file = on_request(HEADER);
    let site = site(&plugin("adds", &file, ""));
    let asked = |site: &Site| {
        site.gateway
            .request(&of("lille"))
            .header("x-shop")
            .map(String::from)
    };
    assert_eq!(asked(&site).as_deref(), Some("seven"));
    for broken in [
        "(module",
        "(module (import \"wasi\" \"x\" (func)))",
        &std::fs::read_to_string(on_request("i64.const 0").as_path())
            .expect("the module is valid WebAssembly text")
            .replace("i32.const 1)", "i32.const 9)"),
    ] {
        std::fs::write(&file, broken).expect("the file can be written");
        site.gateway.signal("-HUP");
        sleep(Duration::from_millis(100));
        assert_eq!(asked(&site).as_deref(), Some("seven"), "{broken}");
    }
    std::fs::remove_file(&file).expect("the file can be removed");
    site.gateway.signal("-HUP");
    sleep(Duration::from_millis(100));
    assert_eq!(asked(&site).as_deref(), Some("seven"));
    // None any more.
    std::fs::write(&site.file, "").expect("the file can be written");
    site.gateway.signal("-HUP");
    let since = Instant::now();
    while asked(&site).is_some() {
        assert!(since.elapsed() < TIMEOUT, "it is gone");
        sleep(Duration::from_millis(20));
    }
}

/// A request that a plug-in holds while its client leaves, while its server drains, and at the end.
#[test]
fn what_a_plugin_holds_ends_well_whatever_happens_meanwhile() {
    let spins = on_request(SPIN);
    let more =
        "policy = \"open\"\nfuel_per_call = 1000000000\nfuel_per_s = 10000000000\nwait_ms = 400\n";
    let mut site = site(&plugin("spins", &spins, more));
    // The client leaves: nothing is sent for it.
    let mut leaves = site.gateway.client();
    leaves.send(&of("lille").to_text());
    sleep(Duration::from_millis(50));
    drop(leaves);
    sleep(Duration::from_millis(600));
    assert_eq!(site.server.drain_events().len(), 0);
    // Its server drains meanwhile: it gets nothing new, the other does.
    let other = Server::new(|_| ok("other"));
    let mut held = site.gateway.client();
    held.send(&of("lille").to_text());
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
    // SIGTERM: what is held is answered, and the program ends in order.
    let mut held = site.gateway.client();
    held.send(&of("lille").to_text());
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
fn twenty_plugins_are_asked_in_their_order() {
    let names = |n: usize| format!("{n:02}");
    let text: String = (0..20)
        .map(|n| {
            let header = format!("x-n{}: {n:02}\\0a", names(n));
            let file = std::fs::read_to_string(on_request(HEADER))
                .expect("the module is valid WebAssembly text");
            let file = write_config_file(
                &file
                    .replace("x-shop: seven\\0a", &header)
                    .replace("0x000e0001", "0x000a0001")
                    .replace("i64.const 30", "i64.const 26"),
            );
            plugin(
                &format!("p{}", names(n)),
                &file,
                &format!("order = {}\n", 100 - n),
            )
        })
        .collect();
    let site = site(&text);
    let answer = site.gateway.request(&of("lille"));
    let order: Vec<&str> = answer
        .headers
        .iter()
        .filter(|(n, _)| n.to_ascii_lowercase().starts_with("x-n"))
        .map(|(_, v)| &**v)
        .collect();
    let expected: Vec<String> = (0..20).rev().map(names).collect();
    assert_eq!(order, expected);
}

fn run(words: &[&str]) -> Output {
    Command::new(gateway_binary())
        .args(words)
        .output()
        .expect("the gateway binary runs")
}

#[test]
fn a_module_can_be_tried_outside_the_gateway() {
    let good = on_request(HEADER);
    let request = write_config_file(
        r#"{"customer":4512345678,"class":"top-up","plan":"lille","left_ms":700,"units":2}"#,
    );
    let path = |p: &Path| p.to_str().expect("the temporary path is UTF-8").to_string();
    let out = run(&["plugin", "check", &path(&good)]);
    let text = String::from_utf8_lossy(&out.stdout).to_string();
    assert!(
        out.status.success() && text.contains("hooks on_request"),
        "{text}"
    );
    let out = run(&["plugin", "run", &path(&good), "--request", &path(&request)]);
    let text = String::from_utf8_lossy(&out.stdout).to_string();
    assert!(
        out.status.success() && text.contains("x-shop") && text.contains("fuel"),
        "{text}"
    );
    for (bad, says) in [(on_request(SPIN), "fuel"), (module(""), "exports none")] {
        let out = run(&["plugin", "run", &path(&bad), "--request", &path(&request)]);
        let text = String::from_utf8_lossy(&out.stderr).to_string();
        assert!(!out.status.success() && text.contains(says), "{text}");
    }
    let out = run(&[
        "plugin",
        "run",
        &path(&good),
        "--request",
        &path(&write_config_file("{}")),
    ]);
    assert!(String::from_utf8_lossy(&out.stderr).contains("missing field"));
}

#[test]
fn a_plugin_that_cannot_be_used_at_the_start_is_an_error_that_says_why() {
    let discovery = Discovery::new("");
    let file = write_config_file(&plugin("bad", Path::new("/nowhere/bad.wasm"), ""));
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
    for (more, says) in [
        ("policy = \"maybe\"\n", "policy"),
        ("customers = [\"9-1\"]\n", "customers"),
        ("fuel_per_call = 5\n", "fuel_per_call is 5"),
        ("speed = 1\n", "speed is not known"),
    ] {
        let file = write_config_file(&plugin("bad", &on_request(HEADER), more));
        let out = gateway_command(&config)
            .args([
                "--operator",
                file.to_str().expect("the temporary path is UTF-8"),
                "check",
            ])
            .output();
        let text =
            String::from_utf8_lossy(&out.expect("the gateway binary runs").stdout).to_string();
        assert!(text.contains(says), "{says:?} in {text:?}");
    }
}
