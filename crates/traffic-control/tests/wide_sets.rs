//! Customers whose requests come through so many gateways that each sees hardly any of them.

mod common;
use common::{is_rejected, reply_to_calls, sent_server, unlimited_settings, Rig};
use frosthatch_traffic_control::{
    Action, AttemptOutcome, Ceiling, CompletionStatus, CustomerId, Event, ListKind, Micros,
    Request, RequestId, ServerEntry, Settings, Timer,
};

const GATEWAYS: u32 = 100;

/// One of many gateways. The plan's burst spread over the set is under one request.
fn one_gateway(seed: u64) -> Rig {
    let mut settings = Settings {
        gateways: GATEWAYS,
        counter: true,
        ..Settings::example()
    };
    settings.me = seed as u32 % GATEWAYS;
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

/// Guards against a fleet that begins, or begins anew after a release, with all the calls that it saved up.
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

/// Asked in vain, a slice of next to nothing is no reason to refuse.
#[test]
fn an_unknown_customer_is_admitted_when_the_counter_is_silent() {
    let mut rig = one_gateway(1);
    let (id, actions) = rig.request_with(from_customer(1));
    assert_eq!(counter_calls(&actions).len(), 1, "it asks: {actions:?}");
    let told = reply_to_calls(&mut rig, actions, &mut 0.0, || CompletionStatus::NoAnswer);
    let server = sent_server(&told).expect("passed on");
    // The meter says that the customer uses four times its quota: as many pass as leave it used in sum.
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

/// Many gateways with neither a counter nor each other's word, each with a request of a customer now and then. Its quota is 2
/// units a second; it asks for so many, one at a time. How many are passed on in each second, `metered` or not.
fn admitted_without_counter(per_s: usize, metered: bool) -> Vec<usize> {
    let mut settings = Settings {
        gateways: GATEWAYS,
        counter: false,
        ..Settings::example()
    };
    settings.peer_messages = false;
    settings.usage_report_ttl_us = 0;
    settings.max_units = 4.0;
    settings.plans[0].rate = 2.0;
    settings.plans[0].burst = 8.0;
    settings.plans[0].overrun_cost = 0.6;
    settings.plans[0].price = 1.0;
    let mut rigs: Vec<Rig> = (0..GATEWAYS)
        .map(|me| {
            Rig::seeded(
                Settings {
                    me,
                    ..settings.clone()
                },
                me.into(),
            )
            .with_listed(4)
        })
        .collect();
    let mut asked = 0;
    let mut admitted = vec![0; 40];
    let begins = rigs[0].now;
    for second in 0..admitted.len() {
        for n in 0..per_s {
            asked += 1;
            let rig = &mut rigs[asked * 37 % GATEWAYS as usize];
            rig.now = begins + (second as u64 * 1_000_000) + (n * 1_000_000 / per_s) as u64;
            let (id, actions) = rig.request_with(|r| {
                r.gateway_count = GATEWAYS;
                r.units = 1.0;
            });
            let Some(server) = sent_server(&actions) else {
                continue;
            };
            admitted[second] += 1;
            let mut o = AttemptOutcome::new(id, 0, server, CompletionStatus::Served, 0);
            // Of the last period that is over.
            let told = admitted[second.saturating_sub(1)] as f64 / 2.0;
            o.closed = true;
            o.metered_use = metered.then_some(told);
            rig.handle(Event::Outcome(o));
        }
    }
    admitted
}

/// Guards against a fleet without a counter that refuses nearly all: an even slice is a hundredth of a quota, and says nothing.
#[test]
fn without_a_counter_a_customer_within_its_quota_is_admitted() {
    for metered in [true, false] {
        let admitted: usize = admitted_without_counter(1, metered).iter().sum();
        assert!(admitted >= 36, "{admitted} of 40, metered {metered}");
    }
}

/// Guards against passing all that is asked for where the meter tells of too much.
#[test]
fn without_a_counter_the_meter_limits_a_customer_that_overuses() {
    let admitted = admitted_without_counter(12, true);
    let late: usize = admitted[10..].iter().sum();
    let times = late as f64 / (admitted.len() - 10) as f64 / 2.0;
    assert!(
        (0.75..=2.25).contains(&times),
        "{times} times its quota of six asked for: {admitted:?}"
    );
}

/// Guards against use that stays untold until its customer comes again, which may be never.
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

/// A cap over so many gateways is one sum, which begins anew every few seconds: what a gateway that died held is free again.
#[test]
fn permits_of_a_dead_gateway_are_soon_free_again() {
    let mut settings = Settings {
        gateways: GATEWAYS,
        counter: true,
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

/// Where each server is met rarely its own answers tell too late that all of its zone is gone.
#[test]
fn a_lost_zone_is_avoided_after_a_few_failures_and_tried_again() {
    let mut settings = unlimited_settings();
    settings.gateways = GATEWAYS;
    let mut rig = Rig::new(settings);
    let entry = |n: usize| ServerEntry::ready(&format!("s{n}"), if n < 30 { "a" } else { "b" });
    rig.update_servers(ListKind::Complete, (0..60).map(entry).collect());
    let play = |rig: &mut Rig, tries: usize, gone: bool| {
        let mut to_a = 0;
        for _ in 0..tries {
            let (id, actions) = rig.request("c");
            let server = sent_server(&actions).expect("a server");
            let in_a = server.0[1..].parse::<usize>().expect("its number") < 30;
            to_a += usize::from(in_a);
            let lost = in_a && gone;
            let status = if lost {
                CompletionStatus::NoConnection
            } else {
                CompletionStatus::Served
            };
            let again = sent_server(&rig.end_attempt_after(
                id,
                0,
                &server,
                status,
                if lost { 250_000 } else { 100_000 },
            ));
            rig.handle(Event::ClientGone(id));
            // Its client does not wait for the further attempt, which is called off.
            if let Some(server) = again {
                rig.end_attempt_after(id, 1, &server, CompletionStatus::Cancelled, 0);
            }
            rig.now += 50_000;
        }
        to_a
    };
    let whole = play(&mut rig, 100, false);
    assert!(whole >= 30, "{whole} of 100 to the first zone");
    play(&mut rig, 20, true);
    let after = play(&mut rig, 100, true);
    assert!(after <= 15, "{after} of 100 to a zone that is gone");
    rig.now += 20_000_000;
    let back = play(&mut rig, 100, false);
    assert!(back >= 20, "{back} of 100 once it is back");
}

/// One of many gateways, where the plan's ceiling is twice its quota.
fn one_with_a_ceiling(me: u32) -> Rig {
    let mut s = Settings {
        gateways: GATEWAYS,
        counter: true,
        me,
        ..Settings::example()
    };
    s.plans[0].rate = 10.0;
    s.plans[0].burst = 60.0;
    s.plans[0].ceiling = Some(Ceiling {
        rate: 20.0,
        depth: 120.0,
    });
    s.plans[0].overrun_cost = 1.0;
    Rig::seeded(s, u64::from(me)).with_listed(4)
}

/// The part of a ceiling above the quota is all that passes without the count's word, by all gateways together, and the
/// count's word passes no more than the quota: in sum the ceiling is kept whatever the calls do.
#[test]
fn a_ceiling_is_kept_by_all_gateways_with_and_without_the_count() {
    const SET: u32 = 10;
    const SECONDS: u64 = 10;
    for answers in [true, false] {
        let mut rigs: Vec<Rig> = (0..SET).map(one_with_a_ceiling).collect();
        let mut total = 0.0;
        let mut admitted = 0.0;
        let mut n = 0;
        for k in 0..SECONDS * 100 {
            for rig in &mut rigs {
                rig.now += 10_000;
            }
            let rig = &mut rigs[(k * 7 % u64::from(SET)) as usize];
            let (id, actions) = rig.request_with(|r| {
                r.gateway_count = SET;
                r.units = 3.0;
            });
            let mut how = || {
                n += 1;
                if answers && n % 5 != 4 {
                    CompletionStatus::Served
                } else {
                    CompletionStatus::Rejected
                }
            };
            let actions = reply_to_calls(rig, actions, &mut total, &mut how);
            if let Some(server) = sent_server(&actions) {
                admitted += 3.0;
                let ended = rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
                reply_to_calls(rig, ended, &mut total, &mut how);
            }
            for rig in &mut rigs {
                if k % 100 == 99 {
                    rig.handle(Event::Timer(Timer::Interval));
                }
            }
        }
        let most = 120.0 + 20.0 * SECONDS as f64;
        assert!(
            admitted <= most,
            "{admitted} units of {most} with answers: {answers}"
        );
        assert!(
            !answers || admitted >= 0.8 * (60.0 + 10.0 * SECONDS as f64),
            "{admitted} units served"
        );
    }
}

/// Guards against refusals for want of units that nobody asked for: what comes to wait while a call is out is asked for
/// before it is decided.
#[test]
fn requests_that_wait_for_another_call_are_queried_too() {
    const SET: u32 = 10;
    let mut rig = one_with_a_ceiling(0);
    let asks = |r: &mut Request| (r.gateway_count, r.units) = (SET, 3.0);
    // What the slice above the quota holds at the start is nothing, so all goes by the count.
    let (first, actions) = rig.request_with(asks);
    let [(name, asked, _)] = &counter_calls(&actions)[..] else {
        panic!("it asks: {actions:?}")
    };
    let waiting: Vec<RequestId> = (0..2).map(|_| rig.request_with(asks).0).collect();
    // Of the count's life 40 s are over, in which 400 units came in and were used, and 20 more.
    let mut total = 420.0 + asked;
    let told = rig.handle(Event::CounterReply {
        name: name.clone(),
        status: CompletionStatus::Served,
        total,
    });
    assert!(
        !is_rejected(&told),
        "nobody is refused before it was asked for: {told:?}"
    );
    let again = counter_calls(&told);
    assert_eq!(again.len(), 1, "one call for all that wait: {told:?}");
    total += again[0].1;
    let told = rig.handle(Event::CounterReply {
        name: name.clone(),
        status: CompletionStatus::Served,
        total,
    });
    let admitted = |id| {
        told.iter()
            .any(|a| matches!(a, Action::Send { request, .. } if *request == id))
    };
    assert!(
        admitted(first) && waiting.iter().all(|id| admitted(*id)),
        "{told:?}"
    );
    assert_eq!(total, 429.0, "and no more units are taken than they draw");
}
