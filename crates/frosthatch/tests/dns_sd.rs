//! The real binary with its servers in DNS-SD records.

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
    for (name, at) in servers {
        zone.add_instance(SERVICE, name, *at, &["zone=hall-a", "cell=1"]);
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
        self.0.to_str().expect("a path")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn operator(resolver: &Resolver, push: bool) -> String {
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

fn nobody() -> SocketAddr {
    "127.0.0.1:9".parse().expect("an address")
}

fn start(resolver: &Resolver, push: bool) -> (Gateway, File) {
    let file = File::new(&operator(resolver, push));
    let text = config_text(nobody(), None, 1, "");
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

/// Its idle connections go, and nothing new comes.
#[test]
fn a_removed_server_gets_nothing_new() {
    for push in [false, true] {
        let (a, b) = (Server::new(|_| ok("a")), Server::new(|_| ok("b")));
        let resolver = Resolver::new(zone(&[("a", a.address), ("b", b.address)]));
        let (gateway, _file) = start(&resolver, push);
        if push {
            until("it subscribes", || resolver.push_sessions() > 0);
        }
        until("a serves", || {
            gateway.request(&ClientRequest::check()).body == "a"
        });
        a.drain_events();
        resolver.change_zone(|z| z.remove_instance(SERVICE, "a"));
        // The end of its idle connection tells that the gateway knows.
        a.wait_closed();
        a.drain_events();
        for _ in 0..20 {
            assert_eq!(gateway.request(&ClientRequest::check()).body, "b");
        }
        assert_eq!(a.drain_request_count(), 0);
    }
}

/// Guards against taking a record's end for the process's: an attempt that is out there has its answer.
#[test]
fn a_removed_server_finishes_what_it_has() {
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
            assert_eq!(held.read_response().expect("an answer").body, "b");
        }
        resolver.change_zone(|z| z.remove_instance(SERVICE, "a"));
        // By then it is known.
        sleep(Duration::from_millis(500));
        release.store(true, Ordering::SeqCst);
        assert_eq!(
            held.read_response().expect("an answer").body,
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
        // Booted long ago, so that it is not spared.
        resolver.change_zone(|z| z.add_instance(SERVICE, "b", b.address, &["boot=1600000000000"]));
        until("b serves", || {
            gateway.request(&ClientRequest::check()).body == "b"
        });
    }
}

/// Those from before serve until the resolver is there; then its records do.
#[test]
fn with_the_resolver_dead_at_the_start_the_known_servers_serve() {
    let (a, b) = (Server::new(|_| ok("a")), Server::new(|_| ok("b")));
    let resolver = Resolver::new(zone(&[("b", b.address)]));
    resolver.set_mode(DnsMode::Silent);
    let file = File::new(&operator(&resolver, false));
    let known = endpoint_entry("a", a.address, 0, "Ready");
    let gateway = Gateway::start_with_args(
        &config_text(nobody(), None, 1, &known),
        &["--operator", file.path()],
    );
    gateway.wait_ready();
    assert_eq!(gateway.request(&ClientRequest::check()).body, "a");
    resolver.set_mode(DnsMode::Answering);
    until("the records are read", || {
        gateway.request(&ClientRequest::check()).body == "b"
    });
}

/// Truncated over UDP, whole over TCP.
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
        assert!(since.elapsed() < TIMEOUT, "only {} serve", seen.len());
    }
}

/// From the list to the records and back under load: no request is lost, and what is out finishes.
#[test]
fn sighup_goes_from_list_to_records_and_back_with_no_request_lost() {
    let slow = |name: &'static str| {
        Server::new(move |_| {
            sleep(Duration::from_millis(20));
            ok(name)
        })
    };
    let (a, b) = (slow("list"), slow("records"));
    let agent = Discovery::new(&endpoint_entry("a", a.address, 0, "Ready"));
    let resolver = Resolver::new(zone(&[("b", b.address)]));
    let file = File::new("");
    let config = config_text(agent.address, None, 1, "");
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
        (operator(&resolver, true), "records"),
        (String::new(), "list"),
        (operator(&resolver, false), "records"),
    ] {
        std::fs::write(file.path(), text).expect("written");
        gateway.signal("-HUP");
        until("the new source serves", || {
            gateway.request(&ClientRequest::check()).body == serves
        });
    }
    stop.store(true, Ordering::SeqCst);
    let served: Vec<String> = clients
        .into_iter()
        .flat_map(|c| c.join().expect("a client"))
        .collect();
    assert!(served.contains(&"list".to_string()) && served.contains(&"records".to_string()));
}

/// Guards against a typo that takes the servers away.
#[test]
fn a_bad_operators_file_keeps_what_was_in_force_and_is_no_start() {
    let a = Server::new(|_| ok("a"));
    let resolver = Resolver::new(zone(&[("a", a.address)]));
    let (mut gateway, file) = start(&resolver, false);
    std::fs::write(file.path(), "[membership]\nsource = \"dns\"\n").expect("written");
    gateway.signal("-HUP");
    std::fs::write(file.path(), "[membership]\nsource = \"dns\"\n").expect("written");
    sleep(Duration::from_millis(200));
    assert_eq!(gateway.request(&ClientRequest::check()).body, "a");
    assert!(gateway.is_running());
    let config = write_config_file(&config_text(nobody(), None, 1, ""));
    let out = gateway_command(&config)
        .args(["--operator", file.path()])
        .output()
        .expect("it runs");
    let _ = std::fs::remove_file(config);
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stderr).contains("write one of [\"list\", \"dns-sd\"]"));
}

/// A cut in the middle of a change, then silence of the session: what is asked for makes it good.
#[test]
fn a_push_session_that_is_cut_in_a_change_is_made_good() {
    let (a, b) = (Server::new(|_| ok("a")), Server::new(|_| ok("b")));
    let resolver = Resolver::new(zone(&[("a", a.address), ("b", b.address)]));
    let (gateway, _file) = start(&resolver, true);
    until("it subscribes", || resolver.push_sessions() > 0);
    resolver.set_push_mode(PushMode::CutsNextMessage);
    resolver.change_zone(|z| z.remove_instance(SERVICE, "a"));
    until("the removal is known", || {
        (0..10).all(|_| gateway.request(&ClientRequest::check()).body == "b")
    });
    until("there is another session", || resolver.push_sessions() > 1);
}
