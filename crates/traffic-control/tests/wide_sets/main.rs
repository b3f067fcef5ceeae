//! Tests of customers that use so many gateways that each gateway gets few of their requests.

mod ceilings;
#[path = "../common/mod.rs"]
mod common;
mod meter;
mod zones;

use common::{is_rejected, reply_to_calls, sent_server, TestGateway};
use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, CustomerId, Event, Micros, Request, Settings, Timer,
};

const GATEWAYS: u32 = 100;

/// Creates one of many gateways, with a plan whose burst divided by the number of gateways is less than one request.
fn start_gateway(seed: u64) -> TestGateway {
    let mut settings = Settings {
        gateways: GATEWAYS,
        has_counter: true,
        ..Settings::example()
    };
    settings.gateway_index = seed as u32 % GATEWAYS;
    settings.plans[0].overrun_cost = 0.5;
    settings.plans[0].price = 1.0;
    TestGateway::with_seed(settings, seed).with_listed_servers(4)
}

/// Returns name, amount and retention time of each counter call among `actions`.
fn counter_calls(actions: &[Action]) -> Vec<(String, f64, Micros)> {
    let call = |a: &Action| match a {
        Action::AddToCounter {
            name,
            amount,
            ttl_us,
        } => Some((name.clone(), *amount, *ttl_us)),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

/// Returns a function that sets the customer of a request, which uses all gateways.
fn from_customer(customer: u64) -> impl FnOnce(&mut Request) {
    move |r| {
        r.gateway_count = GATEWAYS;
        r.customer = CustomerId(format!("c{customer}").into());
    }
}

/// The budget of a gateway for counter calls does not start full; otherwise a fleet that starts, or restarts for a release, would
/// spend all budgets at once.
#[test]
fn many_gateways_that_start_at_once_make_few_calls() {
    let calls: usize = (0..u64::from(GATEWAYS))
        .map(|seed| {
            let mut gateway = start_gateway(seed);
            (0..10)
                .map(|c| counter_calls(&gateway.request_with(from_customer(c)).1).len())
                .sum::<usize>()
        })
        .sum();
    assert!(
        (50..=300).contains(&calls),
        "{calls} counter calls by {GATEWAYS} gateways before any reply, expected 50 to 300"
    );
}

/// After a counter call without a reply, a request is not rejected because the gateway's slice is close to zero.
#[test]
fn an_unknown_customer_is_admitted_when_the_counter_is_silent() {
    let mut gateway = start_gateway(1);
    let (id, actions) = gateway.request_with(from_customer(1));
    assert_eq!(
        counter_calls(&actions).len(),
        1,
        "the gateway makes one counter call: {actions:?}"
    );
    let reply_actions = reply_to_calls(&mut gateway, actions, &mut 0.0, || {
        CompletionStatus::NoAnswer
    });
    let server = sent_server(&reply_actions).expect("an unknown customer is admitted");
    // The meter reports four times the quota. The share of requests that all gateways admit is then a sixteenth, 1 in 4 squared.
    let mut o = AttemptOutcome::new(id, 0, server, CompletionStatus::Served, 50_000);
    o.closed = true;
    o.metered_use = Some(4.0);
    gateway.handle(Event::Outcome(o));
    let mut admitted = 0;
    for _ in 0..200 {
        let (id, actions) = gateway.request_with(from_customer(1));
        let actions = reply_to_calls(&mut gateway, actions, &mut 0.0, || {
            CompletionStatus::Rejected
        });
        if let Some(server) = sent_server(&actions) {
            admitted += 1;
            gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
        }
    }
    assert!(
        (4..=30).contains(&admitted),
        "{admitted} of 200 requests admitted, expected 4 to 30: at four times the quota a sixteenth"
    );
}

/// Without a timer, reserved units would stay reserved until the next request of their customer, which may never come.
#[test]
fn unused_reserved_units_are_returned_without_further_requests() {
    let mut gateway = start_gateway(1);
    let (_, actions) = gateway.request_with(|r| {
        r.gateway_count = GATEWAYS;
        r.units = 3.0;
    });
    let [(name, requested, _)] = &counter_calls(&actions)[..] else {
        panic!("the gateway makes one counter call: {actions:?}")
    };
    let mut reply_actions = gateway.handle(Event::CounterReply {
        name: name.clone(),
        status: CompletionStatus::Served,
        total: 1e3,
    });
    assert!(
        is_rejected(&reply_actions),
        "a request beyond the quota is rejected: {reply_actions:?}"
    );
    let mut returned_units = counter_calls(&reply_actions)
        .iter()
        .map(|c| c.1)
        .sum::<f64>();
    for _ in 0..10 {
        let timers: Vec<(Micros, Timer)> = reply_actions
            .iter()
            .filter_map(|a| match a {
                Action::SetTimer {
                    after_us,
                    timer: timer @ Timer::Customer(_),
                } => Some((*after_us, *timer)),
                _ => None,
            })
            .collect();
        reply_actions.clear();
        for (after_us, timer) in timers {
            gateway.now += after_us;
            reply_actions.extend(gateway.handle(Event::Timer(timer)));
        }
        returned_units += counter_calls(&reply_actions)
            .iter()
            .map(|c| c.1)
            .sum::<f64>();
    }
    assert_eq!(returned_units, -requested);
}

/// With so many gateways the count holds only the sum of all permits. A new count starts every few seconds, which frees the
/// permits of a dead gateway.
#[test]
fn permits_of_a_dead_gateway_are_soon_free_again() {
    let mut settings = Settings {
        gateways: GATEWAYS,
        has_counter: true,
        ..Settings::example()
    };
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    settings.plans[0].max_open = 2;
    settings.plans[0].overrun_cost = 1.0;
    let mut counts = std::collections::HashMap::new();
    let mut is_sent = |seed: u64, later: Micros, attempt_ends: bool| {
        let mut gateway = TestGateway::with_seed(settings.clone(), seed).with_listed_servers(4);
        gateway.now += later;
        let (id, mut actions) = gateway.request_with(from_customer(1));
        let mut server = None;
        let mut next = 0;
        while next < actions.len() {
            match actions[next].clone() {
                Action::AddToCounter { name, amount, .. } => {
                    let total: &mut f64 = counts.entry(name.clone()).or_default();
                    *total += amount;
                    let reply = Event::CounterReply {
                        name,
                        status: CompletionStatus::Served,
                        total: *total,
                    };
                    actions.extend(gateway.handle(reply));
                }
                Action::Send { server: to, .. } if attempt_ends => {
                    actions.extend(gateway.end_attempt_after(
                        id,
                        0,
                        &to,
                        CompletionStatus::Served,
                        50_000,
                    ));
                    server = Some(to);
                }
                Action::Send { server: to, .. } => server = Some(to),
                _ => {}
            }
            next += 1;
        }
        server.is_some()
    };
    assert!(
        (0..3).all(|seed| is_sent(seed, 0, true)),
        "three requests, one after the other, are sent with two permits"
    );
    assert!(
        is_sent(3, 0, false) && is_sent(4, 0, false),
        "both permits are granted, to gateways that then die"
    );
    assert!(!is_sent(5, 0, true), "a third permit is not granted");
    assert!(
        is_sent(6, 3_000_000, true),
        "the permits of dead gateways are free after three seconds"
    );
}
