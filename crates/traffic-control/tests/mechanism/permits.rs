//! Limits on attempts in flight.

use crate::common::{
    is_rejected, reply_and_find_send, reply_to_calls, sent_server, unlimited_settings, Rig,
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
    let mut rig = Rig::with_servers(settings, 4);
    let n = (0..10)
        .filter(|_| sent_server(&rig.request("c").1).is_some())
        .count();
    assert_eq!(n, 3);
}

#[test]
fn few_unsynced_gateways_do_not_each_round_up_a_limit_on_attempts() {
    let mut settings = unlimited_settings();
    settings.gateways = 8;
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    settings.plans[0].max_open = 3;
    let mut rig = Rig::with_servers(settings, 4);
    let admitted = |rig: &mut Rig| !is_rejected(&rig.request_with(|r| r.gateway_count = 8).1);
    assert!(
        !admitted(&mut rig),
        "a third of a place is none at the start"
    );
    rig.now += 5_000_000;
    assert!(admitted(&mut rig), "saved up to one place");
    assert!(!admitted(&mut rig), "and no more");
}

/// Each of many gateways would save up for its permit longer than customers stay: they are admitted until the meter shows more than
/// the limit.
#[test]
fn the_meter_keeps_a_limit_on_attempts_at_many_unsynced_gateways() {
    let mut settings = unlimited_settings();
    settings.gateways = 100;
    settings.meter_period_us = 1_000_000;
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    settings.plans[0].max_open = 3;
    let mut rig = Rig::with_servers(settings, 4);
    let mut admitted = 0;
    for n in 0..321 {
        let (id, actions) = rig.request_with(|r| r.gateway_count = 100);
        let server = sent_server(&actions);
        assert!(
            n > 0 || server.is_some(),
            "nothing is known of it: it is passed on"
        );
        let Some(server) = server else { continue };
        admitted += 1;
        let mut o = AttemptOutcome::new(id, 0, server, CompletionStatus::Served, 0);
        o.closed = true;
        o.metered_use = Some(4.0);
        rig.handle(Event::Outcome(o));
    }
    assert!(
        (8..=40).contains(&admitted),
        "{admitted} of 321: the first, and a sixteenth of the others"
    );
}

/// A permit does not stay taken, or free, because it is unknown whether a call was added.
#[test]
fn a_permit_whose_call_was_lost_is_corrected() {
    for lost in 0..3 {
        let mut settings = settings_with_counter(2);
        settings.plans[0].rate = 0.0;
        settings.plans[0].burst = 0.0;
        settings.plans[0].max_open = 4;
        let mut rig = Rig::with_servers(settings, 4);
        let mut total = 0.0;
        let mut calls = 0;
        let mut how = || {
            calls += 1;
            if calls - 1 == lost {
                CompletionStatus::ConnectionLost
            } else {
                CompletionStatus::Served
            }
        };
        for _ in 0..4 {
            let (id, actions) = rig.request_with(|r| r.gateway_count = 2);
            let actions = reply_to_calls(&mut rig, actions, &mut total, &mut how);
            if let Some(server) = sent_server(&actions) {
                let actions =
                    rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 10_000);
                reply_to_calls(&mut rig, actions, &mut total, &mut how);
            }
        }
        let mut open = 0;
        for _ in 0..8 {
            let (_, actions) = rig.request_with(|r| r.gateway_count = 2);
            open += usize::from(reply_and_find_send(&mut rig, actions, &mut total).is_some());
        }
        assert_eq!((open, total), (4, 4.0), "call {lost} was lost");
    }
}

/// A reply is not taken for another call's: with two in flight for one customer a permit would stay taken.
#[test]
fn two_calls_in_flight_are_distinguished() {
    let mut settings = settings_with_counter(2);
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    settings.plans[0].max_open = 4;
    let mut rig = Rig::with_servers(settings, 4);
    let mut total = 0.0;
    let counts = |actions: &[Action]| {
        let count = |a: &Action| match a {
            Action::AddToCounter { name, amount, .. } => Some((name.clone(), *amount)),
            _ => None,
        };
        actions.iter().filter_map(count).collect::<Vec<_>>()
    };
    // The reply does not come while the request can wait for it, and the next request makes another call.
    let (first, actions) = rig.request_with(|r| r.gateway_count = 2);
    let mut out = counts(&actions);
    rig.now += 100_000;
    let after = rig.handle(Event::Timer(Timer::Request(first)));
    out.extend(counts(&after));
    out.extend(counts(&rig.request_with(|r| r.gateway_count = 2).1));
    assert!(out.len() >= 2, "{out:?}");
    let mut sends = Vec::new();
    while !out.is_empty() {
        let (name, amount) = out.remove(0);
        total += amount;
        let actions = rig.handle(Event::CounterReply {
            name,
            status: CompletionStatus::Served,
            total,
        });
        out.extend(counts(&actions));
        sends.extend(sent_server(&actions));
    }
    let mut open = sends.len() + usize::from(sent_server(&after).is_some());
    for _ in 0..8 {
        let (_, actions) = rig.request_with(|r| r.gateway_count = 2);
        open += usize::from(reply_and_find_send(&mut rig, actions, &mut total).is_some());
    }
    assert_eq!((open, total), (4, 4.0));
}

/// Two gateways do not take the same free permit at once.
#[test]
fn a_permit_is_taken_in_the_count_before_anything_is_sent() {
    let mut settings = settings_with_counter(2);
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    settings.plans[0].max_open = 2;
    let mut rig = Rig::with_servers(settings, 4);
    let mut total = 0.0;
    // Several requests wait for one reply.
    let mut actions: Vec<Action> = (0..5)
        .flat_map(|_| rig.request_with(|r| r.gateway_count = 2).1)
        .collect();
    let mut sends = 0;
    let mut k = 0;
    while k < actions.len() {
        match actions[k].clone() {
            Action::AddToCounter { name, amount, .. } => {
                total += amount;
                actions.extend(rig.handle(Event::CounterReply {
                    name,
                    status: CompletionStatus::Served,
                    total,
                }));
            }
            Action::Send { .. } => {
                sends += 1;
                assert!(
                    total >= f64::from(sends),
                    "{sends} sent with {total} in the count"
                );
            }
            _ => {}
        }
        k += 1;
    }
    assert_eq!((sends, total), (2, 2.0));
}

/// Replies to the calls among these actions 20 ms later. Returns the amounts of the calls, and the number of sends.
fn reply_late(rig: &mut Rig, actions: Vec<Action>, total: &mut f64) -> (Vec<f64>, usize) {
    let mut amounts = Vec::new();
    let mut sends = 0;
    let mut todo = VecDeque::from(actions);
    while let Some(action) = todo.pop_front() {
        match action {
            Action::AddToCounter { name, amount, .. } => {
                amounts.push(amount);
                *total += amount;
                rig.now += 20_000;
                todo.extend(rig.handle(Event::CounterReply {
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

/// Permits are not unused while calls to a slow counter return and take them.
#[test]
fn a_spare_permit_serves_the_next_request_and_is_returned_once_unneeded() {
    let mut rig = Rig::with_servers(settings_with_permits(2, 2), 4);
    let mut total = 0.0;
    let tag = Timer::Customer;
    let mut look = None;
    for n in 0..3 {
        let (id, actions) = rig.request_with(|r| r.gateway_count = 2);
        let server = sent_server(&actions);
        let (calls, sends) = reply_late(&mut rig, actions, &mut total);
        match n {
            0 => assert_eq!((calls, sends), (vec![1.0], 1), "the first asks"),
            _ => assert_eq!(
                (calls, server.is_some()),
                (vec![], true),
                "the next has its place at once"
            ),
        }
        let actions = rig.end_attempt_after(
            id,
            0,
            &ServerId("s0".into()),
            CompletionStatus::Served,
            30_000,
        );
        look = look.or(actions.iter().find_map(|a| match a {
            Action::SetTimer {
                timer: Timer::Customer(of),
                ..
            } => Some(*of),
            _ => None,
        }));
        assert_eq!(
            reply_late(&mut rig, actions, &mut total).0,
            vec![],
            "nothing is given back yet"
        );
        assert_eq!(total, 1.0);
    }
    let of = look.expect("a look is due");
    // It was used since the review became due, so it stays spare. Then it was not used.
    let actions = rig.handle(Event::Timer(tag(of)));
    assert_eq!(reply_late(&mut rig, actions, &mut total).0, vec![]);
    let actions = rig.handle(Event::Timer(tag(of)));
    assert_eq!(reply_late(&mut rig, actions, &mut total).0, vec![-1.0]);
    assert_eq!(total, 0.0);
}

/// Where no call can be made, or none gets a reply, the mean use of the others decides.
#[test]
fn unsynced_permits_go_by_the_mean_use_of_others() {
    for (others, admitted) in [(0.0, 5), (2.0, 0)] {
        let mut rig = Rig::with_servers(settings_with_permits(2, 2), 4);
        // The others' digit is the second.
        let mut total = others * 16.0;
        for _ in 0..20 {
            let (id, actions) = rig.request_with(|r| r.gateway_count = 2);
            if reply_late(&mut rig, actions, &mut total).1 > 0 {
                let actions = rig.end_attempt_after(
                    id,
                    0,
                    &ServerId("s0".into()),
                    CompletionStatus::Served,
                    30_000,
                );
                reply_late(&mut rig, actions, &mut total);
            }
            rig.now += 300_000;
        }
        let mut sends = 0;
        for _ in 0..5 {
            // The spare permit was returned long ago; the counter does not reply.
            rig.now += 2_000_000;
            let (id, actions) = rig.request_with(|r| r.gateway_count = 2);
            let actions =
                reply_to_calls(&mut rig, actions, &mut total, || CompletionStatus::NoAnswer);
            if let Some(server) = sent_server(&actions) {
                sends += 1;
                let actions =
                    rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 30_000);
                reply_to_calls(&mut rig, actions, &mut total, || CompletionStatus::NoAnswer);
            }
        }
        assert_eq!(sends, admitted, "with {others} of 2 used by the others");
    }
}

/// Permits are not lost for a minute: those in use when the window ends come back.
#[test]
fn permits_come_back_in_a_new_counter_window() {
    let mut settings = settings_with_counter(2);
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    settings.plans[0].max_open = 4;
    let mut rig = Rig::with_servers(settings, 4);
    rig.now = 1_019_000_000;
    let mut total = 0.0;
    // Opens as many attempts as may be open at once.
    let open = |rig: &mut Rig, total: &mut f64| {
        let mut out = Vec::new();
        for _ in 0..6 {
            let (id, actions) = rig.request_with(|r| r.gateway_count = 2);
            out.extend(reply_and_find_send(rig, actions, total).map(|server| (id, server)));
        }
        out
    };
    let first = open(&mut rig, &mut total);
    assert_eq!(first.len(), 4);
    rig.now = 1_022_000_000;
    total = 0.0;
    for (id, server) in first {
        let actions = rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
        reply_and_find_send(&mut rig, actions, &mut total);
    }
    let then = open(&mut rig, &mut total).len();
    assert_eq!(then, 4, "all places are back");
}
