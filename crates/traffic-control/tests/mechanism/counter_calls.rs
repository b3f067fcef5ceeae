//! How often the counter is called.

use crate::common::{reply_to_calls, Rig};
use crate::support::settings_with_counter;
use frosthatch_traffic_control::{
    Action, CompletionStatus, CustomerId, Event, Micros, Request, Timer,
};

/// Calls without a reply do not cause further calls at once.
#[test]
fn a_call_that_was_not_added_is_not_repeated_at_once() {
    for status in [CompletionStatus::NoConnection, CompletionStatus::Rejected] {
        let mut rig = Rig::with_servers(settings_with_counter(2), 4);
        let (_, actions) = rig.request_with(|r| r.gateway_count = 2);
        let all = reply_to_calls(&mut rig, actions, &mut 0.0, || status);
        let calls = all
            .iter()
            .filter(|a| matches!(a, Action::AddToCounter { .. }))
            .count();
        assert!(calls <= 2, "{calls} calls");
    }
}

/// The name of the call for an unknown customer, if the counter is called.
fn call_for(rig: &mut Rig, customer: u64) -> Option<String> {
    let named = |r: &mut Request| {
        r.gateway_count = 2;
        r.customer = CustomerId(format!("c{customer}").into());
    };
    let (_, actions) = rig.request_with(named);
    actions.into_iter().find_map(|a| match a {
        Action::AddToCounter { name, .. } => Some(name),
        _ => None,
    })
}

#[test]
fn calls_lost_at_one_moment_lower_the_rate_of_calls_once() {
    let calls_after = |lost: u64| {
        let mut rig = Rig::with_servers(settings_with_counter(2), 4);
        rig.now += 1_000_000;
        let out: Vec<String> = (0..lost).filter_map(|n| call_for(&mut rig, n)).collect();
        assert_eq!(out.len() as u64, lost);
        rig.now += 50_000;
        for name in out {
            rig.handle(Event::CounterReply {
                name,
                status: CompletionStatus::NoAnswer,
                total: 0.0,
            });
        }
        rig.now += 100_000;
        (1_000..2_000)
            .filter(|&n| call_for(&mut rig, n).is_some())
            .count()
    };
    let one = calls_after(1);
    let many = calls_after(30);
    assert!(
        many * 10 > one * 5,
        "{many} calls after thirty were lost, {one} after one"
    );
}

#[test]
fn a_counter_that_has_become_slow_is_still_queried() {
    let mut rig = Rig::with_servers(settings_with_counter(2), 4);
    // Ten requests a second, one after another: quick replies, then slow ones though no call waits for another.
    let mut calls = |took: Micros, first: u64| {
        (first..first + 100)
            .filter(|&n| {
                let called = call_for(&mut rig, n).map(|name| {
                    rig.now += took;
                    rig.handle(Event::CounterReply {
                        name,
                        status: CompletionStatus::Served,
                        total: 1.0,
                    });
                });
                rig.now += 100_000;
                if n % 10 == 0 {
                    rig.handle(Event::Timer(Timer::Interval));
                }
                called.is_some()
            })
            .count()
    };
    assert_eq!(calls(5_000, 0), 100);
    calls(40_000, 1_000);
    let last = calls(40_000, 2_000);
    assert!(last > 60, "{last} calls for 100 requests");
}
