//! The counter as the gateway meets it: busy, in error, late, broken, gone.

mod common;
use common::*;
use std::net::TcpListener;
use std::thread::{self, sleep};
use std::time::Duration;

/// A request of a customer whose other gateway counts too, on the plan that fills slowly.
fn shared(customer: u32) -> ClientRequest {
    let ask = ClientRequest::check()
        .with_header("X-Tier", "small")
        .with_header("X-Api-Key", &format!("{customer:016x}"));
    ask.with_header("X-Call-Terms", "units=3,spread=2,first=0")
}

fn stage(counter: &ScriptedCounter) -> (Server, Gateway) {
    let server = Server::new(|_| ok(""));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_ready(&discovery, Some(counter.address), 2);
    (server, gateway)
}

/// Calls until one is made: the connection may not be up yet.
fn first_call(gateway: &Gateway, counter: &ScriptedCounter) -> String {
    for customer in 1_000.. {
        gateway.request(&shared(customer));
        if let Ok(line) = counter.lines.recv_timeout(Duration::from_millis(200)) {
            return line;
        }
    }
    unreachable!("the counter is called in the end")
}

#[test]
fn a_call_has_the_form_that_the_counter_reads() {
    let counter = ScriptedCounter::new(|_, _| Some((Duration::ZERO, "ok 3".into())));
    let (_server, gateway) = stage(&counter);
    let line = first_call(&gateway, &counter);
    let parts: Vec<&str> = line.split(' ').collect();
    assert_eq!((parts.len(), parts[0]), (4, "bump"), "{line}");
    assert!(
        parts[2].parse::<f64>().is_ok() && parts[3].parse::<u64>().is_ok(),
        "{line}"
    );
    assert!(!parts[2].contains('e'), "a plain decimal number: {line}");
}

#[test]
fn what_others_have_used_is_used() {
    let counter = ScriptedCounter::new(|_, _| Some((Duration::ZERO, "ok 15".into())));
    let (_server, gateway) = stage(&counter);
    first_call(&gateway, &counter);
    assert_eq!(gateway.request(&shared(1)).status(), 429);
}

/// Guards against a late answer that is taken for the next call's.
#[test]
fn a_late_answer_is_nobody_elses() {
    let counter = ScriptedCounter::new(|_, line| {
        if line.contains(&tag(1)) {
            Some((Duration::from_millis(600), "ok 15".into()))
        } else {
            Some((Duration::ZERO, "ok 3".into()))
        }
    });
    let (_server, gateway) = stage(&counter);
    first_call(&gateway, &counter);
    gateway.request(&shared(1));
    // Its answer comes after it was given up, then this one's in its turn.
    sleep(Duration::from_millis(100));
    assert_eq!(gateway.request(&shared(2)).status(), 200);
    assert!(counter.next_line().contains(&tag(1)));
}

/// A customer's short name in calls, as the decisions make it.
fn tag(customer: u32) -> String {
    let name = format!("{customer:016x}");
    let hash = name.bytes().fold(0x811c_9dc5u32, |h, b| {
        (h ^ u32::from(b)).wrapping_mul(0x0100_0193)
    });
    format!("{hash:08x}")
}

#[test]
fn whatever_the_counter_does_requests_are_answered() {
    for answer in [
        "busy",
        "error",
        "ok",
        "ok NaN",
        "ok 1e999",
        "\u{1}\u{2}",
        "",
    ] {
        let counter = ScriptedCounter::new(move |_, _| Some((Duration::ZERO, answer.into())));
        let (_server, mut gateway) = stage(&counter);
        first_call(&gateway, &counter);
        for customer in 0..10 {
            assert!(
                [200, 429].contains(&gateway.request(&shared(customer)).status()),
                "{answer}"
            );
        }
        assert!(gateway.is_running());
    }
}

#[test]
fn a_counter_that_breaks_each_connection_or_is_silent_holds_nobody_up() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let breaking = ScriptedCounter::new(|_, _| None);
    for address in [silent.local_addr().expect("an address"), breaking.address] {
        let server = Server::new(|_| ok(""));
        let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
        let gateway = Gateway::start_ready(&discovery, Some(address), 2);
        for customer in 0..10 {
            assert_eq!(gateway.request(&shared(customer)).status(), 200);
        }
    }
}

/// One connection after another falls silent, each with a call out: the others and the rate of calls must not suffer.
#[test]
fn connections_that_fall_silent_take_no_other_calls_along() {
    const LOST: u32 = 40;
    let lost: Vec<String> = (0..LOST).map(tag).collect();
    let counter = ScriptedCounter::new(move |_, line| {
        if lost.iter().any(|tag| line.contains(tag)) {
            Some((TIMEOUT, "ok 15".into()))
        } else {
            Some((Duration::ZERO, "ok 15".into()))
        }
    });
    let (_server, gateway) = stage(&counter);
    first_call(&gateway, &counter);
    let ask = |customer| gateway.request(&shared(customer)).status();
    thread::scope(|s| (0..LOST).for_each(|customer| drop(s.spawn(move || ask(customer)))));
    // Told that all is used up a request is refused; untold each of these would be passed on.
    let mut later = (100..300).inspect(|_| sleep(Duration::from_millis(10)));
    assert!(later.by_ref().any(|customer| ask(customer) == 429));
    let (told, all) = later.fold((0, 0), |(told, all), c| {
        (told + usize::from(ask(c) == 429), all + 1)
    });
    assert!(
        all >= 100 && told * 2 >= all,
        "the counter was asked for {told} of {all}"
    );
}

#[test]
fn a_counter_that_comes_back_is_used_again() {
    let counter = ScriptedCounter::new(|n, _| (n > 0).then(|| (Duration::ZERO, "ok 15".into())));
    let (_server, gateway) = stage(&counter);
    first_call(&gateway, &counter);
    // A new connection, on which it is told that all is used up.
    first_call(&gateway, &counter);
    assert_eq!(gateway.request(&shared(1)).status(), 429);
}
