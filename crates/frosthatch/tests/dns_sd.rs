//! The gateway binary with its servers in DNS-SD records.

mod common;
use common::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const SERVICE: &str = "_topup._tcp.example.org";

fn zone(servers: &[(&str, SocketAddr)]) -> Zone {
    let mut zone = Zone::new("example.org");
    for (name, address) in servers {
        zone.add_instance(SERVICE, name, *address, &["zone=hall-a", "cell=1"]);
    }
    zone.take_changes();
    zone
}

struct File(PathBuf);

impl File {
    fn new(text: &str) -> File {
        File(write_config_file(text))
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("the temporary path is UTF-8")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn operator_file(resolver: &Resolver, push: bool) -> String {
    let push = if push {
        format!("[dns-sd.push]\nservers = [\"{}\"]\n", resolver.push)
    } else {
        String::new()
    };
    format!(
        "[membership]\nsource = \"dns-sd\"\n[dns-sd]\nservices = [\"{SERVICE}\"]\nresolvers = [\"{}\"]\n\
         timeout_ms = 1000\nlinger_ms = 2000\n{push}",
        resolver.address
    )
}

fn unused_address() -> SocketAddr {
    "127.0.0.1:9".parse().expect("the text is a socket address")
}

fn start(resolver: &Resolver, push: bool) -> (Gateway, File) {
    let file = File::new(&operator_file(resolver, push));
    let text = config_text(unused_address(), None, 1, "");
    let gateway = Gateway::start_with_args(&text, &["--operator", file.path()]);
    gateway.wait_ready();
    (gateway, file)
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < TIMEOUT, "{what}");
        sleep(Duration::from_millis(5));
    }
}

/// The gateway closes its idle connections to a removed server, and sends it nothing new.
#[test]
fn a_removed_server_gets_no_new_request() {
    for push in [false, true] {
        let (a, b) = (Server::new(|_| ok("a")), Server::new(|_| ok("b")));
        let resolver = Resolver::new(zone(&[("a", a.address), ("b", b.address)]));
        let (gateway, _file) = start(&resolver, push);
        if push {
            until("the gateway subscribes", || resolver.push_sessions() > 0);
        }
        until("a serves", || {
            gateway.request(&ClientRequest::check()).body == "a"
        });
        a.drain_events();
        resolver.change_zone(|z| z.remove_instance(SERVICE, "a"));
        // The close of the idle connection shows that the gateway has seen the removal.
        a.wait_closed();
        a.drain_events();
        for _ in 0..20 {
            assert_eq!(gateway.request(&ClientRequest::check()).body, "b");
        }
        assert_eq!(a.drain_request_count(), 0);
    }
}

/// Guards against taking the removal of a record for the end of the process: an outstanding attempt gets its
/// answer.
#[test]
fn a_removed_server_finishes_outstanding_requests() {
    for push in [false, true] {
        let release = Arc::new(AtomicBool::new(false));
        let released = release.clone();
        let a = Server::new(move |m| {
            while m.line.contains("held") && !released.load(Ordering::SeqCst) {
                sleep(Duration::from_millis(5));
            }
            ok("a")
        });
        let b = Server::new(|_| ok("b"));
        let resolver = Resolver::new(zone(&[("a", a.address), ("b", b.address)]));
        let (gateway, _file) = start(&resolver, push);
        let mut held = gateway.client();
        loop {
            held.send(
                &ClientRequest {
                    path: "/balance-check?held",
                    ..ClientRequest::check()
                }
                .to_text(),
            );
            if a.events.recv_timeout(Duration::from_millis(300)).is_ok() {
                break;
            }
            assert_eq!(
                held.read_response()
                    .expect("the gateway answers the request")
                    .body,
                "b"
            );
        }
        resolver.change_zone(|z| z.remove_instance(SERVICE, "a"));
        // The gateway has seen the removal by then.
        sleep(Duration::from_millis(500));
        release.store(true, Ordering::SeqCst);
        assert_eq!(
            held.read_response()
                .expect("the gateway answers the request")
                .body,
            "a",
            "push: {push}"
        );
    }
}

#[test]
fn a_server_that_is_added_is_used() {
    for push in [false, true] {
        let (a, b) = (
            Server::new(|_| ok("a")),
            Server::new(|_| Reply::Bytes("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb".into())),
        );
        let resolver = Resolver::new(zone(&[("a", a.address)]));
        let (gateway, _file) = start(&resolver, push);
        assert_eq!(gateway.request(&ClientRequest::check()).body, "a");
        // A boot time long ago, so that the server isn't treated as cold.
        resolver.change_zone(|z| z.add_instance(SERVICE, "b", b.address, &["boot=1600000000000"]));
        until("b serves", || {
            gateway.request(&ClientRequest::check()).body == "b"
        });
    }
}

/// The known servers serve until the resolver answers; from then on its records count.
#[test]
fn with_the_resolver_dead_at_the_start_the_known_servers_serve() {
    let (a, b) = (Server::new(|_| ok("a")), Server::new(|_| ok("b")));
    let resolver = Resolver::new(zone(&[("b", b.address)]));
    resolver.set_mode(DnsMode::Silent);
    let file = File::new(&operator_file(&resolver, false));
    let known = endpoint_entry("a", a.address, 0, "Ready");
    let gateway = Gateway::start_with_args(
        &config_text(unused_address(), None, 1, &known),
        &["--operator", file.path()],
    );
    gateway.wait_ready();
    assert_eq!(gateway.request(&ClientRequest::check()).body, "a");
    resolver.set_mode(DnsMode::Answering);
    until("the records are read", || {
        gateway.request(&ClientRequest::check()).body == "b"
    });
}

/// The answer is truncated over UDP and complete over TCP.
#[test]
fn forty_servers_are_found_over_tcp() {
    let servers: Vec<Server> = (0..40)
        .map(|n| Server::new(move |_| ok(&n.to_string())))
        .collect();
    let names: Vec<String> = (0..40)
        .map(|n| format!("a-rather-long-name-of-a-server-{n}"))
        .collect();
    let all: Vec<(&str, SocketAddr)> = names
        .iter()
        .map(String::as_str)
        .zip(servers.iter().map(|s| s.address))
        .collect();
    let resolver = Resolver::new(zone(&all));
    let (gateway, _file) = start(&resolver, false);
    assert!(resolver.tcp_queries() > 0);
    let mut seen = std::collections::BTreeSet::new();
    let since = Instant::now();
    while seen.len() < 40 {
        seen.insert(gateway.request(&ClientRequest::check()).body);
        assert!(
            since.elapsed() < TIMEOUT,
            "only {} of 40 servers serve a request",
            seen.len()
        );
    }
}

/// Switching from the list to the records and back under load loses no request, and outstanding requests finish.
#[test]
fn sighup_goes_from_list_to_records_and_back_with_no_request_lost() {
    let slow = |name: &'static str| {
        Server::new(move |_| {
            sleep(Duration::from_millis(20));
            ok(name)
        })
    };
    let (a, b) = (slow("list"), slow("records"));
    let discovery = Discovery::new(&endpoint_entry("a", a.address, 0, "Ready"));
    let resolver = Resolver::new(zone(&[("b", b.address)]));
    let file = File::new("");
    let config = config_text(discovery.address, None, 1, "");
    let gateway = Arc::new(Gateway::start_with_args(
        &config,
        &["--operator", file.path()],
    ));
    gateway.wait_ready();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (gateway, stop) = (gateway.clone(), stop.clone());
            std::thread::spawn(move || {
                let mut served = Vec::new();
                let mut client = gateway.client();
                while !stop.load(Ordering::SeqCst) {
                    let answer = client
                        .exchange(&ClientRequest::check().to_text())
                        .expect("every request is answered");
                    assert_eq!(answer.status(), 200);
                    served.push(answer.body);
                }
                served
            })
        })
        .collect();
    for (text, serves) in [
        (operator_file(&resolver, true), "records"),
        (String::new(), "list"),
        (operator_file(&resolver, false), "records"),
    ] {
        std::fs::write(file.path(), text).expect("the write succeeds");
        gateway.signal("-HUP");
        until("the new source serves", || {
            gateway.request(&ClientRequest::check()).body == serves
        });
    }
    stop.store(true, Ordering::SeqCst);
    let served: Vec<String> = clients
        .into_iter()
        .flat_map(|c| c.join().expect("the client thread does not panic"))
        .collect();
    assert!(served.contains(&"list".to_string()) && served.contains(&"records".to_string()));
}

/// Guards against a mistake in the operator file removing the servers.
#[test]
fn an_invalid_operator_file_keeps_the_settings_in_force_and_prevents_a_start() {
    let a = Server::new(|_| ok("a"));
    let resolver = Resolver::new(zone(&[("a", a.address)]));
    let (mut gateway, file) = start(&resolver, false);
    std::fs::write(file.path(), "[membership]\nsource = \"dns\"\n").expect("the write succeeds");
    gateway.signal("-HUP");
    std::fs::write(file.path(), "[membership]\nsource = \"dns\"\n").expect("the write succeeds");
    sleep(Duration::from_millis(200));
    assert_eq!(gateway.request(&ClientRequest::check()).body, "a");
    assert!(gateway.is_running());
    let config = write_config_file(&config_text(unused_address(), None, 1, ""));
    let out = gateway_command(&config)
        .args(["--operator", file.path()])
        .output()
        .expect("the gateway binary runs");
    let _ = std::fs::remove_file(config);
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stderr).contains("write one of [\"list\", \"dns-sd\"]"));
}

/// The push session is cut in the middle of a change and is silent afterwards: a poll recovers the change.
#[test]
fn a_change_lost_with_its_push_session_is_recovered() {
    let (a, b) = (Server::new(|_| ok("a")), Server::new(|_| ok("b")));
    let resolver = Resolver::new(zone(&[("a", a.address), ("b", b.address)]));
    let (gateway, _file) = start(&resolver, true);
    until("the gateway subscribes", || resolver.push_sessions() > 0);
    resolver.set_push_mode(PushMode::CutsNextMessage);
    resolver.change_zone(|z| z.remove_instance(SERVICE, "a"));
    until("the removal is known", || {
        (0..10).all(|_| gateway.request(&ClientRequest::check()).body == "b")
    });
    until("the gateway opens a new push session after the cut", || {
        resolver.push_sessions() > 1
    });
}
