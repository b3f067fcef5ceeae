//! The gateway with a counter that is busy, fails, answers late or wrongly, or is gone.

mod common;
use common::*;
use std::net::TcpListener;
use std::thread::{self, sleep};
use std::time::Duration;

/// A request for 3 units of a customer whose quota is shared by two gateways (`spread=2`), on the plan that
/// refills slowly.
fn request_shared_by_two_gateways(customer: u32) -> ClientRequest {
    let request = ClientRequest::check()
        .with_header("X-Tier", "small")
        .with_header("X-Api-Key", &format!("{customer:016x}"));
    request.with_header("X-Call-Terms", "units=3,spread=2,first=0")
}

fn start_gateway_with_counter(counter: &ScriptedCounter) -> (Server, Gateway) {
    let server = Server::new(|_| ok(""));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let gateway = Gateway::start_ready(&discovery, Some(counter.address), 2);
    (server, gateway)
}

/// Sends requests until one reaches the counter, whose connection may not be up yet, and returns its line.
fn first_call(gateway: &Gateway, counter: &ScriptedCounter) -> String {
    for customer in 1_000.. {
        gateway.request(&request_shared_by_two_gateways(customer));
        if let Ok(line) = counter.lines.recv_timeout(Duration::from_millis(200)) {
            return line;
        }
    }
    unreachable!("requests go on until the counter is called")
}

#[test]
fn a_call_has_the_counters_line_format() {
    let counter = ScriptedCounter::new(|_, _| Some((Duration::ZERO, "ok 3".into())));
    let (_server, gateway) = start_gateway_with_counter(&counter);
    let line = first_call(&gateway, &counter);
    let parts: Vec<&str> = line.split(' ').collect();
    assert_eq!((parts.len(), parts[0]), (4, "bump"), "{line}");
    assert!(
        parts[2].parse::<f64>().is_ok() && parts[3].parse::<u64>().is_ok(),
        "{line}"
    );
    assert!(
        !parts[2].contains('e'),
        "units are a plain decimal number: {line}"
    );
}

#[test]
fn units_used_at_other_gateways_count() {
    let counter = ScriptedCounter::new(|_, _| Some((Duration::ZERO, "ok 15".into())));
    let (_server, gateway) = start_gateway_with_counter(&counter);
    first_call(&gateway, &counter);
    assert_eq!(
        gateway.request(&request_shared_by_two_gateways(1)).status(),
        429
    );
}

/// Guards against matching a late answer to the next call.
#[test]
fn a_late_answer_is_not_taken_for_the_next_calls() {
    let counter = ScriptedCounter::new(|_, line| {
        if line.contains(&tag(1)) {
            Some((Duration::from_millis(600), "ok 15".into()))
        } else {
            Some((Duration::ZERO, "ok 3".into()))
        }
    });
    let (_server, gateway) = start_gateway_with_counter(&counter);
    first_call(&gateway, &counter);
    gateway.request(&request_shared_by_two_gateways(1));
    // The answer for customer 1 comes after its call timed out; the answer for customer 2 follows it on the
    // connection.
    sleep(Duration::from_millis(100));
    assert_eq!(
        gateway.request(&request_shared_by_two_gateways(2)).status(),
        200
    );
    assert!(counter.next_line().contains(&tag(1)));
}

/// Returns a customer's short name in calls to the counter: the FNV-1a hash of its id, as the gateway computes
/// it.
fn tag(customer: u32) -> String {
    let name = format!("{customer:016x}");
    let hash = name.bytes().fold(0x811c_9dc5u32, |h, b| {
        (h ^ u32::from(b)).wrapping_mul(0x0100_0193)
    });
    format!("{hash:08x}")
}

#[test]
fn requests_are_answered_whatever_the_counter_answers() {
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
        let (_server, mut gateway) = start_gateway_with_counter(&counter);
        first_call(&gateway, &counter);
        for customer in 0..10 {
            assert!(
                [200, 429].contains(
                    &gateway
                        .request(&request_shared_by_two_gateways(customer))
                        .status()
                ),
                "{answer}"
            );
        }
        assert!(gateway.is_running());
    }
}

#[test]
fn a_counter_that_closes_each_connection_or_is_silent_delays_no_request() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free loopback port can be bound");
    let breaking = ScriptedCounter::new(|_, _| None);
    for address in [
        silent.local_addr().expect("the socket has a local address"),
        breaking.address,
    ] {
        let server = Server::new(|_| ok(""));
        let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
        let gateway = Gateway::start_ready(&discovery, Some(address), 2);
        for customer in 0..10 {
            assert_eq!(
                gateway
                    .request(&request_shared_by_two_gateways(customer))
                    .status(),
                200
            );
        }
    }
}

/// Connections to the counter fall silent one after another, each with a call outstanding: other calls are still
/// answered at their rate.
#[test]
fn connections_that_fall_silent_affect_no_other_calls() {
    const SILENT: u32 = 40;
    let silenced_tags: Vec<String> = (0..SILENT).map(tag).collect();
    let counter = ScriptedCounter::new(move |_, line| {
        if silenced_tags.iter().any(|tag| line.contains(tag)) {
            Some((TIMEOUT, "ok 15".into()))
        } else {
            Some((Duration::ZERO, "ok 15".into()))
        }
    });
    let (_server, gateway) = start_gateway_with_counter(&counter);
    first_call(&gateway, &counter);
    let outcome = |customer| {
        gateway
            .request(&request_shared_by_two_gateways(customer))
            .status()
    };
    thread::scope(|s| (0..SILENT).for_each(|customer| drop(s.spawn(move || outcome(customer)))));
    // A request that the counter reports as used up is refused; without the counter's answer each of these would
    // be passed on.
    let mut later = (100..300).inspect(|_| sleep(Duration::from_millis(10)));
    assert!(later.by_ref().any(|customer| outcome(customer) == 429));
    let (answered_by_counter, all) = later.fold((0, 0), |(answered_by_counter, all), c| {
        (
            answered_by_counter + usize::from(outcome(c) == 429),
            all + 1,
        )
    });
    assert!(
        all >= 100 && answered_by_counter * 2 >= all,
        "the counter answered for {answered_by_counter} of {all} requests, expected at least half of 100 or more"
    );
}

#[test]
fn a_counter_that_comes_back_is_used_again() {
    let counter = ScriptedCounter::new(|n, _| (n > 0).then(|| (Duration::ZERO, "ok 15".into())));
    let (_server, gateway) = start_gateway_with_counter(&counter);
    first_call(&gateway, &counter);
    // The counter closes its first connection without an answer; on the second it reports that the quota is used
    // up.
    first_call(&gateway, &counter);
    assert_eq!(
        gateway.request(&request_shared_by_two_gateways(1)).status(),
        429
    );
}
