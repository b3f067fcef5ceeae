//! Tests of how often a gateway calls the counter.

use crate::common::{reply_to_calls, TestGateway};
use crate::support::settings_with_counter;
use frosthatch_traffic_control::{
    Action, CompletionStatus, CustomerId, Event, Micros, Request, Timer,
};

/// A failed call causes at most one further call at once.
#[test]
fn a_failed_call_causes_at_most_one_further_call() {
    for status in [CompletionStatus::NoConnection, CompletionStatus::Rejected] {
        let mut gateway = TestGateway::with_servers(settings_with_counter(2), 4);
        let (_, actions) = gateway.request_with(|r| r.gateway_count = 2);
        let all = reply_to_calls(&mut gateway, actions, &mut 0.0, || status);
        let calls = all
            .iter()
            .filter(|a| matches!(a, Action::AddToCounter { .. }))
            .count();
        assert!(calls <= 2, "{calls} counter calls for one request, limit 2");
    }
}

/// Sends a request of an unknown customer, and returns the name of the count if the gateway calls the counter.
fn call_for(gateway: &mut TestGateway, customer: u64) -> Option<String> {
    let set_customer = |r: &mut Request| {
        r.gateway_count = 2;
        r.customer = CustomerId(format!("c{customer}").into());
    };
    let (_, actions) = gateway.request_with(set_customer);
    actions.into_iter().find_map(|a| match a {
        Action::AddToCounter { name, .. } => Some(name),
        _ => None,
    })
}

#[test]
fn calls_lost_at_one_moment_lower_the_rate_of_calls_once() {
    let calls_after = |lost: u64| {
        let mut gateway = TestGateway::with_servers(settings_with_counter(2), 4);
        gateway.now += 1_000_000;
        let count_names: Vec<String> = (0..lost)
            .filter_map(|n| call_for(&mut gateway, n))
            .collect();
        assert_eq!(count_names.len() as u64, lost);
        gateway.now += 50_000;
        for name in count_names {
            gateway.handle(Event::CounterReply {
                name,
                status: CompletionStatus::NoAnswer,
                total: 0.0,
            });
        }
        gateway.now += 100_000;
        (1_000..2_000)
            .filter(|&n| call_for(&mut gateway, n).is_some())
            .count()
    };
    let after_one = calls_after(1);
    let after_thirty = calls_after(30);
    assert!(
        after_thirty * 10 > after_one * 5,
        "{after_thirty} counter calls after thirty were lost, expected more than half of the {after_one} after one was lost"
    );
}

#[test]
fn a_counter_that_has_become_slow_is_still_queried() {
    let mut gateway = TestGateway::with_servers(settings_with_counter(2), 4);
    // Ten requests a second, one at a time: replies take 5 ms, then 40 ms. Calls never overlap, so load does not cause the delay.
    let mut calls = |reply_delay_us: Micros, first: u64| {
        (first..first + 100)
            .filter(|&n| {
                let called = call_for(&mut gateway, n).map(|name| {
                    gateway.now += reply_delay_us;
                    gateway.handle(Event::CounterReply {
                        name,
                        status: CompletionStatus::Served,
                        total: 1.0,
                    });
                });
                gateway.now += 100_000;
                if n % 10 == 0 {
                    gateway.handle(Event::Timer(Timer::Interval));
                }
                called.is_some()
            })
            .count()
    };
    assert_eq!(calls(5_000, 0), 100);
    calls(40_000, 1_000);
    let last = calls(40_000, 2_000);
    assert!(
        last > 60,
        "{last} counter calls for 100 requests, minimum 61"
    );
}
