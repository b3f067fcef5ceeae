//! Discovery that is silent, sends invalid answers or comes back: a change is known soon after it could be
//! fetched.

mod common;
use common::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

fn servers() -> (Server, Server) {
    (Server::new(|_| ok("a")), Server::new(|_| ok("b")))
}

/// Sends requests until one is served by the server that answers `body`, and returns how long that took.
fn time_until_served_by(gateway: &Gateway, body: &str) -> Duration {
    let since = Instant::now();
    while gateway.request(&ClientRequest::check()).body != body {
        assert!(
            since.elapsed() < TIMEOUT,
            "the server that answers {body:?} serves a request"
        );
        sleep(Duration::from_millis(5));
    }
    since.elapsed()
}

/// Several watches in a row get no answer: the gateway sends its next call without waiting for them.
#[test]
fn a_change_is_known_although_no_watch_is_answered() {
    let (a, b) = servers();
    let discovery = Discovery::new(&endpoint_entry("a", a.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    discovery.set_mode(DiscoveryMode::IgnoresWatches);
    for (entry, body) in [
        (endpoint_entry("b", b.address, 0, "Ready"), "b"),
        (endpoint_entry("a", a.address, 0, "Ready"), "a"),
    ] {
        discovery.publish(true, &entry);
        assert!(time_until_served_by(&gateway, body) < Duration::from_secs(6));
    }
}

/// Guards against waiting for a call that was made while discovery was down: that call is never answered, and
/// the first answer after discovery's return counts at once.
#[test]
fn a_change_is_known_at_once_when_discovery_returns() {
    let (a, b) = servers();
    let discovery = Discovery::new(&endpoint_entry("a", a.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    for (entry, body) in [
        (endpoint_entry("b", b.address, 0, "Ready"), "b"),
        (endpoint_entry("a", a.address, 0, "Ready"), "a"),
    ] {
        discovery.set_mode(DiscoveryMode::Down);
        // The fifth call has just arrived; discovery never answers it.
        discovery.wait_for_calls(5);
        discovery.publish(true, &entry);
        discovery.set_mode(DiscoveryMode::Answering);
        let elapsed = time_until_served_by(&gateway, body);
        assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
    }
}

/// Guards against sending the old revision to an agent that has restarted: the agent's changes then refer to a
/// list that the gateway doesn't have.
#[test]
fn a_restarted_agent_is_asked_for_its_whole_list() {
    let (a, b) = servers();
    let restarted = Arc::new(AtomicBool::new(false));
    let entries = [
        endpoint_entry("a", a.address, 0, "Ready"),
        endpoint_entry("b", b.address, 0, "Ready"),
    ];
    let agent_restarted = restarted.clone();
    let discovery_server = Server::new(move |m| {
        let whole = !m.line.contains("from=");
        match (agent_restarted.load(Ordering::SeqCst), whole) {
            (false, true) => ok(&format!(
                r#"{{"rev":90,"all":true,"targets":[{}]}}"#,
                entries[0]
            )),
            (false, false) => {
                sleep(Duration::from_millis(50));
                ok(r#"{"rev":90,"all":false,"targets":[]}"#)
            }
            (true, true) => ok(&format!(
                r#"{{"rev":3,"all":true,"targets":[{}]}}"#,
                entries[1]
            )),
            (true, false) => ok(r#"{"rev":3,"all":false,"targets":[]}"#),
        }
    });
    let gateway = Gateway::start(discovery_server.address, None, 1, "");
    gateway.wait_ready();
    assert_eq!(gateway.request(&ClientRequest::check()).body, "a");
    restarted.store(true, Ordering::SeqCst);
    assert!(time_until_served_by(&gateway, "b") < Duration::from_secs(6));
}

/// Guards against answers that fail in every way and against calls without a pause: the list stays, a change is
/// known once an answer arrives, and an agent that answers at once is not called in a tight loop.
#[test]
fn invalid_answers_keep_the_list_and_cause_no_tight_loop() {
    let invalid_answer: [fn() -> Reply; 5] = [
        || status("500 Internal Server Error"),
        || Reply::BytesThenClose("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"rev\":7,".into()),
        || ok("{\"rev\":true}"),
        || ok("{\"rev\":1,\"all\":false,\"targets\":[]}"),
        || Reply::Silence,
    ];
    for invalid_answer in invalid_answer {
        let (a, b) = servers();
        let (state, calls) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let entries = [
            endpoint_entry("a", a.address, 0, "Ready"),
            endpoint_entry("b", b.address, 0, "Ready"),
        ];
        let (current_state, called) = (state.clone(), calls.clone());
        let discovery_server = Server::new(move |_| {
            called.fetch_add(1, Ordering::SeqCst);
            match current_state.load(Ordering::SeqCst) {
                1 => invalid_answer(),
                n => ok(&format!(
                    r#"{{"rev":{},"all":true,"targets":[{}]}}"#,
                    n + 5,
                    entries[n as usize / 2]
                )),
            }
        });
        let gateway = Gateway::start(discovery_server.address, None, 1, "");
        gateway.wait_ready();
        state.store(1, Ordering::SeqCst);
        let before = calls.load(Ordering::SeqCst);
        sleep(Duration::from_secs(1));
        let calls = calls.load(Ordering::SeqCst) - before;
        assert!(
            (1..60).contains(&calls),
            "{calls} calls in a second, expected 1 to 59"
        );
        assert_eq!(gateway.request(&ClientRequest::check()).body, "a");
        state.store(2, Ordering::SeqCst);
        assert!(time_until_served_by(&gateway, "b") < Duration::from_secs(6));
    }
}

/// Guards against accepting a late answer of an agent that the configuration no longer names.
#[test]
fn a_late_answer_of_a_former_agent_is_ignored() {
    let (a, b) = servers();
    let (old, new) = (
        Discovery::new(&endpoint_entry("a", a.address, 0, "Ready")),
        Discovery::new(&endpoint_entry("b", b.address, 0, "Ready")),
    );
    let gateway = Gateway::start_alone(&old);
    old.set_mode(DiscoveryMode::Silent);
    old.wait_for_calls(1);
    gateway.replace_config(&config_text(new.address, None, 1, ""));
    assert!(time_until_served_by(&gateway, "b") < Duration::from_secs(4));
    old.publish(true, &endpoint_entry("a", a.address, 0, "Ready"));
    old.set_mode(DiscoveryMode::Answering);
    new.wait_for_calls(2);
    assert_eq!(gateway.request(&ClientRequest::check()).body, "b");
}

/// Guards against many idle clients that take the descriptors which membership and servers need, and the places
/// of readiness probes.
#[test]
fn many_idle_clients_leave_room_for_discovery_when_it_returns() {
    let (a, b) = servers();
    let discovery = Discovery::new("");
    discovery.set_mode(DiscoveryMode::Down);
    let known = endpoint_entry("a", a.address, 0, "Ready");
    let text = config_text(discovery.address, None, 1, &known)
        .replace("\"sockets\":256", "\"sockets\":64");
    let gateway = Gateway::start_from_config(&text);
    let crowd: Vec<Client> = (0..200).map(|_| gateway.client()).collect();
    gateway.wait_ready();
    assert_eq!(gateway.request(&ClientRequest::check()).body, "a");
    discovery.publish(true, &endpoint_entry("b", b.address, 0, "Ready"));
    discovery.set_mode(DiscoveryMode::Answering);
    assert!(time_until_served_by(&gateway, "b") < Duration::from_secs(6));
    drop(crowd);
}

/// Guards against a restart that waits for unavailable peers: the process is killed and restarted at its
/// address, with clients still connected to the old process, discovery and the counter silent, and an old list.
#[test]
fn a_killed_process_is_ready_again_soon_whatever_is_unavailable() {
    let (a, _b) = servers();
    let discovery = Discovery::new(&endpoint_entry("a", a.address, 0, "Ready"));
    let mut first = Gateway::start_alone(&discovery);
    let mut crowd: Vec<Client> = (0..50).map(|_| first.client()).collect();
    crowd.iter_mut().for_each(|c| drop(c.check_again()));
    discovery.set_mode(DiscoveryMode::Down);
    let counter =
        std::net::TcpListener::bind("127.0.0.1:0").expect("a free loopback port can be bound");
    let known = endpoint_entry("a", a.address, 0, "Ready");
    let text = config_text(discovery.address, counter.local_addr().ok(), 1, &known);
    let text = text.replace(
        "\"listen\":\"127.0.0.1:0\"",
        &format!("\"listen\":\"{}\"", first.address),
    );
    first.signal("-KILL");
    first.wait_for_exit();
    let since = Instant::now();
    let restarted_gateway = Gateway::start_from_config(&text);
    restarted_gateway.wait_ready();
    assert!(
        since.elapsed() < Duration::from_secs(10),
        "{:?}",
        since.elapsed()
    );
    assert_eq!(restarted_gateway.request(&ClientRequest::check()).body, "a");
    drop(crowd);
}

/// Guards against an overloaded discovery whose answers arrive later than the usual timeout of calls.
#[test]
fn a_change_is_known_although_discovery_answers_slowly() {
    /// Maximum time from a change at discovery until the gateway applies it.
    const MAX_DISCOVERY_DELAY: Duration = Duration::from_secs(6);
    /// Maximum time after that during which a draining server may still get new requests.
    const GRACE: Duration = Duration::from_millis(500);
    let (first, second) = (Server::new(|_| ok("first")), Server::new(|_| ok("second")));
    let discovery = Discovery::new(&endpoint_entry("a", first.address, 0, "Ready"));
    discovery.set_delay(Duration::from_millis(1_300));
    let gateway = Gateway::start_alone(&discovery);
    assert_eq!(gateway.request(&ClientRequest::check()).body, "first");
    discovery.publish(
        true,
        &[
            endpoint_entry("a", first.address, 0, "Terminating"),
            endpoint_entry("b", second.address, 0, "Ready"),
        ]
        .join(","),
    );
    sleep(MAX_DISCOVERY_DELAY + GRACE);
    for _ in 0..10 {
        assert_eq!(gateway.request(&ClientRequest::check()).body, "second");
    }
}
