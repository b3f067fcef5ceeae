//! Tests of limits on attempts in flight.

use crate::common::{
    is_rejected, reply_and_find_send, reply_to_calls, sent_server, unlimited_settings, TestGateway,
};
use crate::support::{settings_with_counter, settings_with_permits};
use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, Event, ServerId, Timer,
};
use std::collections::VecDeque;

#[test]
fn attempts_in_flight_are_limited() {
    let mut settings = unlimited_settings();
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    settings.plans[0].max_open = 3;
    let mut gateway = TestGateway::with_servers(settings, 4);
    let n = (0..10)
        .filter(|_| sent_server(&gateway.request("c").1).is_some())
        .count();
    assert_eq!(n, 3);
}

#[test]
fn few_gateways_without_shared_usage_do_not_each_round_up_a_limit_on_attempts() {
    let mut settings = unlimited_settings();
    settings.gateways = 8;
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    settings.plans[0].max_open = 3;
    let mut gateway = TestGateway::with_servers(settings, 4);
    let admitted =
        |gateway: &mut TestGateway| !is_rejected(&gateway.request_with(|r| r.gateway_count = 8).1);
    assert!(
        !admitted(&mut gateway),
        "a slice of three eighths of a permit admits nothing at the start"
    );
    gateway.now += 5_000_000;
    assert!(
        admitted(&mut gateway),
        "one permit is saved up after five seconds"
    );
    assert!(
        !admitted(&mut gateway),
        "no more than one permit is saved up"
    );
}

/// Each of many gateways would need longer to save up a permit than customers stay, so requests are admitted until the meter
/// shows more than the limit.
#[test]
fn the_meter_keeps_a_limit_on_attempts_at_many_gateways_without_shared_usage() {
    let mut settings = unlimited_settings();
    settings.gateways = 100;
    settings.meter_period_us = 1_000_000;
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    settings.plans[0].max_open = 3;
    let mut gateway = TestGateway::with_servers(settings, 4);
    let mut admitted = 0;
    for n in 0..321 {
        let (id, actions) = gateway.request_with(|r| r.gateway_count = 100);
        let server = sent_server(&actions);
        assert!(
            n > 0 || server.is_some(),
            "the first request of an unknown customer is admitted"
        );
        let Some(server) = server else { continue };
        admitted += 1;
        let mut o = AttemptOutcome::new(id, 0, server, CompletionStatus::Served, 0);
        o.closed = true;
        o.metered_use = Some(4.0);
        gateway.handle(Event::Outcome(o));
    }
    assert!(
        (8..=40).contains(&admitted),
        "{admitted} of 321 requests admitted, expected 8 to 40: the first, and at four times the quota a sixteenth of the others"
    );
}

/// A call whose reply is lost may have been counted or not. The gateway corrects the count, so that its permit is neither lost
/// nor granted twice.
#[test]
fn a_permit_whose_counter_call_was_lost_is_corrected() {
    for lost in 0..3 {
        let mut settings = settings_with_counter(2);
        settings.plans[0].rate = 0.0;
        settings.plans[0].burst = 0.0;
        settings.plans[0].max_open = 4;
        let mut gateway = TestGateway::with_servers(settings, 4);
        let mut total = 0.0;
        let mut calls = 0;
        let mut status_of_next_call = || {
            calls += 1;
            if calls - 1 == lost {
                CompletionStatus::ConnectionLost
            } else {
                CompletionStatus::Served
            }
        };
        for _ in 0..4 {
            let (id, actions) = gateway.request_with(|r| r.gateway_count = 2);
            let actions =
                reply_to_calls(&mut gateway, actions, &mut total, &mut status_of_next_call);
            if let Some(server) = sent_server(&actions) {
                let actions =
                    gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, 10_000);
                reply_to_calls(&mut gateway, actions, &mut total, &mut status_of_next_call);
            }
        }
        let mut open = 0;
        for _ in 0..8 {
            let (_, actions) = gateway.request_with(|r| r.gateway_count = 2);
            open += usize::from(reply_and_find_send(&mut gateway, actions, &mut total).is_some());
        }
        assert_eq!(
            (open, total),
            (4, 4.0),
            "all four permits are available after call {lost} was lost"
        );
    }
}

/// With two calls in flight for one customer, a reply that was matched to the wrong call would leave a permit taken.
#[test]
fn replies_to_two_calls_in_flight_are_matched_to_their_calls() {
    let mut settings = settings_with_counter(2);
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    settings.plans[0].max_open = 4;
    let mut gateway = TestGateway::with_servers(settings, 4);
    let mut total = 0.0;
    let counter_calls = |actions: &[Action]| {
        let count = |a: &Action| match a {
            Action::AddToCounter { name, amount, .. } => Some((name.clone(), *amount)),
            _ => None,
        };
        actions.iter().filter_map(count).collect::<Vec<_>>()
    };
    // The first request stops waiting before its reply comes, and the next request makes another call.
    let (first, actions) = gateway.request_with(|r| r.gateway_count = 2);
    let mut pending_calls = counter_calls(&actions);
    gateway.now += 100_000;
    let timer_actions = gateway.handle(Event::Timer(Timer::Request(first)));
    pending_calls.extend(counter_calls(&timer_actions));
    pending_calls.extend(counter_calls(
        &gateway.request_with(|r| r.gateway_count = 2).1,
    ));
    assert!(pending_calls.len() >= 2, "{pending_calls:?}");
    let mut sends = Vec::new();
    while !pending_calls.is_empty() {
        let (name, amount) = pending_calls.remove(0);
        total += amount;
        let actions = gateway.handle(Event::CounterReply {
            name,
            status: CompletionStatus::Served,
            total,
        });
        pending_calls.extend(counter_calls(&actions));
        sends.extend(sent_server(&actions));
    }
    let mut open = sends.len() + usize::from(sent_server(&timer_actions).is_some());
    for _ in 0..8 {
        let (_, actions) = gateway.request_with(|r| r.gateway_count = 2);
        open += usize::from(reply_and_find_send(&mut gateway, actions, &mut total).is_some());
    }
    assert_eq!((open, total), (4, 4.0));
}

/// If a permit were counted only after its attempt is sent, two gateways could take the same free permit at once.
#[test]
fn a_permit_is_counted_before_its_attempt_is_sent() {
    let mut settings = settings_with_counter(2);
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    settings.plans[0].max_open = 2;
    let mut gateway = TestGateway::with_servers(settings, 4);
    let mut total = 0.0;
    // Several requests wait for one reply.
    let mut actions: Vec<Action> = (0..5)
        .flat_map(|_| gateway.request_with(|r| r.gateway_count = 2).1)
        .collect();
    let mut sends = 0;
    let mut k = 0;
    while k < actions.len() {
        match actions[k].clone() {
            Action::AddToCounter { name, amount, .. } => {
                total += amount;
                actions.extend(gateway.handle(Event::CounterReply {
                    name,
                    status: CompletionStatus::Served,
                    total,
                }));
            }
            Action::Send { .. } => {
                sends += 1;
                assert!(
                    total >= f64::from(sends),
                    "{sends} attempts sent with {total} permits in the count"
                );
            }
            _ => {}
        }
        k += 1;
    }
    assert_eq!((sends, total), (2, 2.0));
}

/// Replies to each counter call among `actions`, and to those that follow, 20 ms after the call. Returns the amounts of the
/// calls and the number of sends.
fn reply_late(
    gateway: &mut TestGateway,
    actions: Vec<Action>,
    total: &mut f64,
) -> (Vec<f64>, usize) {
    let mut amounts = Vec::new();
    let mut sends = 0;
    let mut pending_actions = VecDeque::from(actions);
    while let Some(action) = pending_actions.pop_front() {
        match action {
            Action::AddToCounter { name, amount, .. } => {
                amounts.push(amount);
                *total += amount;
                gateway.now += 20_000;
                pending_actions.extend(gateway.handle(Event::CounterReply {
                    name,
                    status: CompletionStatus::Served,
                    total: *total,
                }));
            }
            Action::Send { .. } => sends += 1,
            _ => {}
        }
    }
    (amounts, sends)
}

/// Without spare permits, a permit would be unused while calls to a slow counter return it and take it again.
#[test]
fn a_spare_permit_admits_the_next_request_and_is_returned_once_unused() {
    let mut gateway = TestGateway::with_servers(settings_with_permits(2, 2), 4);
    let mut total = 0.0;
    let timer_of = Timer::Customer;
    let mut customer_tag = None;
    for n in 0..3 {
        let (id, actions) = gateway.request_with(|r| r.gateway_count = 2);
        let server = sent_server(&actions);
        let (calls, sends) = reply_late(&mut gateway, actions, &mut total);
        match n {
            0 => assert_eq!(
                (calls, sends),
                (vec![1.0], 1),
                "the first request calls the counter"
            ),
            _ => assert_eq!(
                (calls, server.is_some()),
                (vec![], true),
                "the next request gets the spare permit without a call"
            ),
        }
        let actions = gateway.end_attempt_after(
            id,
            0,
            &ServerId("s0".into()),
            CompletionStatus::Served,
            30_000,
        );
        customer_tag = customer_tag.or(actions.iter().find_map(|a| match a {
            Action::SetTimer {
                timer: Timer::Customer(tag),
                ..
            } => Some(*tag),
            _ => None,
        }));
        assert_eq!(
            reply_late(&mut gateway, actions, &mut total).0,
            vec![],
            "the spare permit is not returned yet"
        );
        assert_eq!(total, 1.0);
    }
    let customer_tag = customer_tag.expect("an ended attempt sets a timer for its spare permit");
    // The permit was used after the timer was first set, so that timer keeps it. It was not used before the second timer, which
    // returns it.
    let actions = gateway.handle(Event::Timer(timer_of(customer_tag)));
    assert_eq!(reply_late(&mut gateway, actions, &mut total).0, vec![]);
    let actions = gateway.handle(Event::Timer(timer_of(customer_tag)));
    assert_eq!(reply_late(&mut gateway, actions, &mut total).0, vec![-1.0]);
    assert_eq!(total, 0.0);
}

/// Where no counter call can be made, or none gets a reply, the permits available are the limit less the mean use by the other
/// gateway.
#[test]
fn without_counter_replies_permits_depend_on_the_mean_use_by_others() {
    for (others, admitted) in [(0.0, 5), (2.0, 0)] {
        let mut gateway = TestGateway::with_servers(settings_with_permits(2, 2), 4);
        // The count holds the permits of each gateway as a base-16 digit; the other gateway's is the second, so that each of its
        // permits adds 16.
        let mut total = others * 16.0;
        for _ in 0..20 {
            let (id, actions) = gateway.request_with(|r| r.gateway_count = 2);
            if reply_late(&mut gateway, actions, &mut total).1 > 0 {
                let actions = gateway.end_attempt_after(
                    id,
                    0,
                    &ServerId("s0".into()),
                    CompletionStatus::Served,
                    30_000,
                );
                reply_late(&mut gateway, actions, &mut total);
            }
            gateway.now += 300_000;
        }
        let mut sends = 0;
        for _ in 0..5 {
            // The spare permit was returned long ago; the counter does not reply.
            gateway.now += 2_000_000;
            let (id, actions) = gateway.request_with(|r| r.gateway_count = 2);
            let actions = reply_to_calls(&mut gateway, actions, &mut total, || {
                CompletionStatus::NoAnswer
            });
            if let Some(server) = sent_server(&actions) {
                sends += 1;
                let actions =
                    gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, 30_000);
                reply_to_calls(&mut gateway, actions, &mut total, || {
                    CompletionStatus::NoAnswer
                });
            }
        }
        assert_eq!(
            sends, admitted,
            "{others} of 2 permits are used by the other gateway"
        );
    }
}

/// Permits in use when a counter window ends are available in the next one; otherwise they would be lost for a minute.
#[test]
fn permits_come_back_in_a_new_counter_window() {
    let mut settings = settings_with_counter(2);
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    settings.plans[0].max_open = 4;
    let mut gateway = TestGateway::with_servers(settings, 4);
    gateway.now = 1_019_000_000;
    let mut total = 0.0;
    // Starts as many attempts as may be in flight at once.
    let start_attempts = |gateway: &mut TestGateway, total: &mut f64| {
        let mut attempts = Vec::new();
        for _ in 0..6 {
            let (id, actions) = gateway.request_with(|r| r.gateway_count = 2);
            attempts
                .extend(reply_and_find_send(gateway, actions, total).map(|server| (id, server)));
        }
        attempts
    };
    let first = start_attempts(&mut gateway, &mut total);
    assert_eq!(first.len(), 4);
    gateway.now = 1_022_000_000;
    total = 0.0;
    for (id, server) in first {
        let actions = gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
        reply_and_find_send(&mut gateway, actions, &mut total);
    }
    let in_new_window = start_attempts(&mut gateway, &mut total).len();
    assert_eq!(
        in_new_window, 4,
        "all four permits are available in the new window"
    );
}
