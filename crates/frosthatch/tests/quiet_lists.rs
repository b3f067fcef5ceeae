//! Discovery that goes quiet, lies or comes back: a change is known soon after it could be asked for.

mod common;
use common::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

fn servers() -> (Server, Server) {
    (Server::new(|_| ok("a")), Server::new(|_| ok("b")))
}

/// How long until requests go to another server.
fn until_told(gateway: &Gateway, body: &str) -> Duration {
    let since = Instant::now();
    while gateway.request(&ClientRequest::check()).body != body {
        assert!(since.elapsed() < TIMEOUT, "it is never told");
        sleep(Duration::from_millis(5));
    }
    since.elapsed()
}

/// Guards against waiting calls that fall silent again and again: what is asked next may not wait.
#[test]
fn a_change_is_known_though_no_watch_is_ever_answered() {
    let (a, b) = servers();
    let discovery = Discovery::new(&endpoint_entry("a", a.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    discovery.set_mode(DiscoveryMode::IgnoresWatches);
    for (entry, body) in [
        (endpoint_entry("b", b.address, 0, "Ready"), "b"),
        (endpoint_entry("a", a.address, 0, "Ready"), "a"),
    ] {
        discovery.publish(true, &entry);
        assert!(until_told(&gateway, body) < Duration::from_secs(6));
    }
}

/// Guards against patience with a call that was made while discovery was down: it learns nothing then and answers nothing
/// later, and what it gets at its return counts at once.
#[test]
fn what_discovery_has_at_its_return_is_known_at_once() {
    let (a, b) = servers();
    let discovery = Discovery::new(&endpoint_entry("a", a.address, 0, "Ready"));
    let gateway = Gateway::start_alone(&discovery);
    for (entry, body) in [
        (endpoint_entry("b", b.address, 0, "Ready"), "b"),
        (endpoint_entry("a", a.address, 0, "Ready"), "a"),
    ] {
        discovery.set_mode(DiscoveryMode::Down);
        // The last of these has just come, and is lost.
        discovery.wait_for_calls(5);
        discovery.publish(true, &entry);
        discovery.set_mode(DiscoveryMode::Answering);
        let took = until_told(&gateway, body);
        assert!(took < Duration::from_secs(1), "{took:?}");
    }
}

/// Guards against holding on to the version of an agent that has begun anew: what it calls a change is one of another list.
#[test]
fn an_agent_that_has_begun_anew_is_asked_for_all_of_its_list() {
    let (a, b) = servers();
    let anew = Arc::new(AtomicBool::new(false));
    let entries = [
        endpoint_entry("a", a.address, 0, "Ready"),
        endpoint_entry("b", b.address, 0, "Ready"),
    ];
    let began = anew.clone();
    let agent = Server::new(move |m| {
        let whole = !m.line.contains("from=");
        match (began.load(Ordering::SeqCst), whole) {
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
    let gateway = Gateway::start(agent.address, None, 1, "");
    gateway.wait_ready();
    assert_eq!(gateway.request(&ClientRequest::check()).body, "a");
    anew.store(true, Ordering::SeqCst);
    assert!(until_told(&gateway, "b") < Duration::from_secs(6));
}

/// Guards against answers that fail in every way and against calls without a pause: the list stays, a change is known once an
/// answer comes, and an agent that answers at once is not asked without end.
#[test]
fn bad_answers_keep_the_list_and_are_not_asked_for_without_end() {
    let bad: [fn() -> Reply; 5] = [
        || status("500 Internal Server Error"),
        || Reply::BytesThenClose("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"rev\":7,".into()),
        || ok("{\"rev\":true}"),
        || ok("{\"rev\":1,\"all\":false,\"targets\":[]}"),
        || Reply::Silence,
    ];
    for bad in bad {
        let (a, b) = servers();
        let (state, calls) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let entries = [
            endpoint_entry("a", a.address, 0, "Ready"),
            endpoint_entry("b", b.address, 0, "Ready"),
        ];
        let (now, called) = (state.clone(), calls.clone());
        let agent = Server::new(move |_| {
            called.fetch_add(1, Ordering::SeqCst);
            match now.load(Ordering::SeqCst) {
                1 => bad(),
                n => ok(&format!(
                    r#"{{"rev":{},"all":true,"targets":[{}]}}"#,
                    n + 5,
                    entries[n as usize / 2]
                )),
            }
        });
        let gateway = Gateway::start(agent.address, None, 1, "");
        gateway.wait_ready();
        state.store(1, Ordering::SeqCst);
        let before = calls.load(Ordering::SeqCst);
        sleep(Duration::from_secs(1));
        let calls = calls.load(Ordering::SeqCst) - before;
        assert!((1..60).contains(&calls), "{calls} calls in a second");
        assert_eq!(gateway.request(&ClientRequest::check()).body, "a");
        state.store(2, Ordering::SeqCst);
        assert!(until_told(&gateway, "b") < Duration::from_secs(6));
    }
}

/// Guards against an agent that was left: what it says now is not heard any more.
#[test]
fn a_late_answer_of_an_agent_that_was_left_is_not_heard() {
    let (a, b) = servers();
    let (old, new) = (
        Discovery::new(&endpoint_entry("a", a.address, 0, "Ready")),
        Discovery::new(&endpoint_entry("b", b.address, 0, "Ready")),
    );
    let gateway = Gateway::start_alone(&old);
    old.set_mode(DiscoveryMode::Silent);
    old.wait_for_calls(1);
    gateway.replace_config(&config_text(new.address, None, 1, ""));
    assert!(until_told(&gateway, "b") < Duration::from_secs(4));
    old.publish(true, &endpoint_entry("a", a.address, 0, "Ready"));
    old.set_mode(DiscoveryMode::Answering);
    new.wait_for_calls(2);
    assert_eq!(gateway.request(&ClientRequest::check()).body, "b");
}

/// Guards against a crowd of idle clients that takes the descriptors which membership and servers need, and the places of those who
/// ask whether it is ready.
#[test]
fn a_crowd_of_idle_clients_leaves_room_for_discovery_when_it_is_back() {
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
    assert!(until_told(&gateway, "b") < Duration::from_secs(6));
    drop(crowd);
}

/// Guards against a restart that waits for what may not come: killed outright and back under its address, with clients still at the
/// old one's, discovery and the counter silent and a list that is old.
#[test]
fn a_process_that_was_killed_is_ready_again_soon_whatever_is_down() {
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
    let again = Gateway::start_from_config(&text);
    again.wait_ready();
    assert!(
        since.elapsed() < Duration::from_secs(10),
        "{:?}",
        since.elapsed()
    );
    assert_eq!(again.request(&ClientRequest::check()).body, "a");
    drop(crowd);
}

/// Guards against a discovery that is crowded: its answers come, but later than calls are waited for as a rule.
#[test]
fn a_change_is_known_though_each_answer_of_discovery_takes_long() {
    /// A change counts as told by then.
    const TOLD_WITHIN: Duration = Duration::from_secs(6);
    /// A server that drains gets nothing new after this.
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
    sleep(TOLD_WITHIN + GRACE);
    for _ in 0..10 {
        assert_eq!(gateway.request(&ClientRequest::check()).body, "second");
    }
}
