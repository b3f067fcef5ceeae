//! Customers whose requests come through so many gateways that each sees hardly any of them.

mod ceilings;
#[path = "../common/mod.rs"]
mod common;
mod meter;
mod zones;

use common::{is_rejected, reply_to_calls, sent_server, Rig};
use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, CustomerId, Event, Micros, Request, Settings, Timer,
};

const GATEWAYS: u32 = 100;

/// One of many gateways. The plan's burst spread over the set is under one request.
fn one_gateway(seed: u64) -> Rig {
    let mut settings = Settings {
        gateways: GATEWAYS,
        has_counter: true,
        ..Settings::example()
    };
    settings.gateway_index = seed as u32 % GATEWAYS;
    settings.plans[0].overrun_cost = 0.5;
    settings.plans[0].price = 1.0;
    Rig::seeded(settings, seed).with_listed(4)
}

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

fn from_customer(customer: u64) -> impl FnOnce(&mut Request) {
    move |r| {
        r.gateway_count = GATEWAYS;
        r.customer = CustomerId(format!("c{customer}").into());
    }
}

/// A fleet that starts, or restarts for a release, does not begin with all the calls that it could have saved up.
#[test]
fn many_gateways_that_start_at_once_make_few_calls() {
    let made: usize = (0..u64::from(GATEWAYS))
        .map(|seed| {
            let mut rig = one_gateway(seed);
            (0..10)
                .map(|c| counter_calls(&rig.request_with(from_customer(c)).1).len())
                .sum::<usize>()
        })
        .sum();
    assert!(
        (50..=300).contains(&made),
        "{made} calls by {GATEWAYS} gateways, none answered yet"
    );
}

/// After a query without a reply, a slice of next to nothing is no reason to reject.
#[test]
fn an_unknown_customer_is_admitted_when_the_counter_is_silent() {
    let mut rig = one_gateway(1);
    let (id, actions) = rig.request_with(from_customer(1));
    assert_eq!(counter_calls(&actions).len(), 1, "it asks: {actions:?}");
    let told = reply_to_calls(&mut rig, actions, &mut 0.0, || CompletionStatus::NoAnswer);
    let server = sent_server(&told).expect("passed on");
    // The meter reports four times the quota: as many requests are admitted as use the quota up in sum.
    let mut o = AttemptOutcome::new(id, 0, server, CompletionStatus::Served, 50_000);
    o.closed = true;
    o.metered_use = Some(4.0);
    rig.handle(Event::Outcome(o));
    let mut admitted = 0;
    for _ in 0..200 {
        let (id, actions) = rig.request_with(from_customer(1));
        let actions = reply_to_calls(&mut rig, actions, &mut 0.0, || CompletionStatus::Rejected);
        if let Some(server) = sent_server(&actions) {
            admitted += 1;
            rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
        }
    }
    assert!(
        (4..=30).contains(&admitted),
        "{admitted} of 200 passed, a sixteenth is due"
    );
}

/// Reserved units do not stay reserved until their customer comes again, which may be never.
#[test]
fn unused_reserved_units_are_returned_though_their_customer_stays_away() {
    let mut rig = one_gateway(1);
    let (_, actions) = rig.request_with(|r| {
        r.gateway_count = GATEWAYS;
        r.units = 3.0;
    });
    let [(name, asked, _)] = &counter_calls(&actions)[..] else {
        panic!("it asks: {actions:?}")
    };
    let mut told = rig.handle(Event::CounterReply {
        name: name.clone(),
        status: CompletionStatus::Served,
        total: 1e3,
    });
    assert!(is_rejected(&told), "all is used: {told:?}");
    let mut back = counter_calls(&told).iter().map(|c| c.1).sum::<f64>();
    for _ in 0..10 {
        let timers: Vec<(Micros, Timer)> = told
            .iter()
            .filter_map(|a| match a {
                Action::SetTimer {
                    after_us,
                    timer: timer @ Timer::Customer(_),
                } => Some((*after_us, *timer)),
                _ => None,
            })
            .collect();
        told.clear();
        for (after_us, timer) in timers {
            rig.now += after_us;
            told.extend(rig.handle(Event::Timer(timer)));
        }
        back += counter_calls(&told).iter().map(|c| c.1).sum::<f64>();
    }
    assert_eq!(back, -asked);
}

/// The permits of so many gateways are one sum, which starts again every few seconds: those of a dead gateway are free then.
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
    let mut passes = |seed: u64, later: Micros, ends: bool| {
        let mut rig = Rig::seeded(settings.clone(), seed).with_listed(4);
        rig.now += later;
        let (id, mut actions) = rig.request_with(from_customer(1));
        let mut server = None;
        let mut k = 0;
        while k < actions.len() {
            match actions[k].clone() {
                Action::AddToCounter { name, amount, .. } => {
                    let total: &mut f64 = counts.entry(name.clone()).or_default();
                    *total += amount;
                    let told = Event::CounterReply {
                        name,
                        status: CompletionStatus::Served,
                        total: *total,
                    };
                    actions.extend(rig.handle(told));
                }
                Action::Send { server: to, .. } if ends => {
                    actions.extend(rig.end_attempt_after(
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
            k += 1;
        }
        server.is_some()
    };
    assert!(
        (0..3).all(|seed| passes(seed, 0, true)),
        "one after the other"
    );
    assert!(
        passes(3, 0, false) && passes(4, 0, false),
        "two at once, whose gateways die"
    );
    assert!(!passes(5, 0, true), "and no third");
    assert!(
        passes(6, 3_000_000, true),
        "a few seconds later both places are free"
    );
}
