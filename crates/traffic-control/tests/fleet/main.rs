//! Tests of what all gateways of a fleet admit and send together, mostly where each gateway's slice of a quota is smaller than
//! one request.

#[path = "../common/mod.rs"]
mod common;
mod slow_start;

use common::{is_rejected, sent_server, unlimited_settings, TestGateway};
use frosthatch_traffic_control::{
    Action, AttemptOutcome, Ceiling, CompletionStatus, CustomerId, Event, ListKind, Micros,
    ServerEntry, Settings, Timer,
};

/// Starts `gateway_count` gateways with four servers each, whose settings `change` has adjusted.
fn start_fleet(gateway_count: u32, change: impl Fn(&mut Settings)) -> Vec<TestGateway> {
    let start_gateway = |gateway_index| {
        let mut settings = Settings::example();
        settings.gateways = gateway_count;
        settings.gateway_index = gateway_index;
        settings.peer_messages_per_s = 100.0;
        change(&mut settings);
        TestGateway::with_seed(settings, u64::from(gateway_index) + 1).with_listed_servers(4)
    };
    (0..gateway_count).map(start_gateway).collect()
}

/// Delivers the messages of gateway `from` to the others, and the messages that follow. Returns the number of attempts that
/// `from` sends.
fn deliver_messages(gateways: &mut [TestGateway], from: usize, actions: Vec<Action>) -> usize {
    let mut sends = 0;
    let mut queue = vec![(from, actions)];
    while let Some((sender, actions)) = queue.pop() {
        for a in actions {
            match a {
                Action::Send { .. } if sender == from => sends += 1,
                Action::SendToPeer { to, bytes } => {
                    let replies = gateways[to as usize].handle(Event::Peer {
                        from: sender as u32,
                        bytes,
                    });
                    queue.push((to as usize, replies));
                }
                _ => {}
            }
        }
    }
    sends
}

#[test]
fn gateways_that_share_an_owner_admit_the_quota_and_no_more() {
    for gateway_count in [3, 150, 600] {
        let mut gateways = start_fleet(gateway_count, |s| s.peer_messages = true);
        // A start counts as a restart: the owner of the customer's bucket has no units at first and accrues the burst of 20 in 10 s.
        gateways
            .iter_mut()
            .for_each(|gateway| gateway.now += 10_000_000);
        let mut admitted = 0;
        for g in 0..gateways.len().min(150) {
            for _ in 0..(150 / gateways.len()).max(1) {
                let (_, actions) = gateways[g].request_with(|r| r.gateway_count = gateway_count);
                admitted += deliver_messages(&mut gateways, g, actions);
            }
        }
        assert!(
            (19..=21).contains(&admitted),
            "{admitted} requests admitted by {gateway_count} gateways, expected 19 to 21 of a burst of 20"
        );
    }
}

#[test]
fn few_gateways_without_shared_usage_save_up_their_slice_and_a_restart_adds_nothing() {
    for gateway_count in [7, 8] {
        // The slice accrues a unit in this time: all gateways together accrue 10 units a second.
        let unit_accrual_s = f64::from(gateway_count) / 10.0;
        let mut gateway = start_fleet(gateway_count, |s| {
            s.plans[0].burst = 5.0;
            s.max_units = 1.0;
        })
        .remove(0);
        let admitted = |gateway: &mut TestGateway| {
            sent_server(&gateway.request_with(|r| r.gateway_count = gateway_count).1).is_some()
        };
        assert!(
            !admitted(&mut gateway),
            "a gateway that has just started has less than one request saved up"
        );
        gateway.now += (unit_accrual_s * 1e6) as Micros;
        let n = (0..5).filter(|_| admitted(&mut gateway)).count();
        assert_eq!(
            n, 1,
            "one request, and no more, is saved up in the time in which the slice accrues it"
        );
    }
}

/// With many gateways the slice of a quota is close to zero and most customers are within their quota, so they are admitted until
/// the meter shows overuse. A ceiling must never be exceeded: each gateway keeps to its slice of it, and a restart adds nothing.
#[test]
fn many_gateways_without_shared_usage_admit_until_the_meter_shows_overuse_and_keep_to_their_ceiling_slice(
) {
    for gateway_count in [9, 150, 600] {
        let mut gateway = start_fleet(gateway_count, |s| s.meter_period_us = 1_000_000).remove(0);
        let send_request = |gateway: &mut TestGateway| {
            let (id, actions) = gateway.request_with(|r| r.gateway_count = gateway_count);
            sent_server(&actions).map(|server| (id, server))
        };
        let mut admitted = 0;
        for n in 0..321 {
            let sent = send_request(&mut gateway);
            assert!(
                n > 0 || sent.is_some(),
                "the first request of an unknown customer is admitted"
            );
            let Some((id, server)) = sent else { continue };
            admitted += 1;
            let mut o = AttemptOutcome::new(id, 0, server, CompletionStatus::Served, 0);
            o.closed = true;
            o.metered_use = Some(4.0);
            gateway.handle(Event::Outcome(o));
        }
        // The first request, a sixteenth of the others, and what the slice saved up: at four times the quota one request in four
        // squared is admitted.
        assert!(
            (8..=40).contains(&admitted),
            "{admitted} of 321 requests admitted by one of {gateway_count} gateways, expected 8 to 40"
        );
        let ceiling = Some(Ceiling {
            rate: 15.0,
            depth: f64::from(gateway_count) * 0.9,
        });
        let mut gateway = start_fleet(gateway_count, |s| s.plans[0].ceiling = ceiling).remove(0);
        assert!(
            send_request(&mut gateway).is_none(),
            "a ceiling slice of less than one request admits nothing"
        );
    }
}

#[test]
fn many_gateways_together_stay_within_a_slow_start_budget() {
    for gateway_count in [3, 150, 600] {
        let mut gateways = start_fleet(gateway_count, |s| {
            s.plans[0].rate = 1e6;
            s.plans[0].burst = 1e6;
        });
        let mut to_cold = 0;
        for gateway in &mut gateways {
            // The server in slow start is the only server.
            let cold = ServerEntry {
                started_us: gateway.now,
                ..ServerEntry::ready("cold", "a")
            };
            gateway.update_servers(ListKind::Complete, vec![cold]);
            // All gateways together get 600 requests a second for two seconds (`overload_after_us`).
            for _ in 0..1200 / gateway_count {
                let (id, actions) = gateway.request("c");
                if let Some(server) = sent_server(&actions) {
                    to_cold += 1;
                    gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
                }
                gateway.now += 2_000_000 / u64::from(1200 / gateway_count);
            }
        }
        // A core that takes 125 ms for an attempt completes 16 in two seconds. In slow start the fleet may send three times
        // (`overload_multiple`) a fifth (`initial_share`) of that, about ten.
        assert!(
            (1..=20).contains(&to_cold),
            "{gateway_count} gateways sent {to_cold} requests to a server in slow start, expected 1 to 20"
        );
    }
}

#[test]
fn a_permit_whose_return_is_lost_is_granted_again() {
    let limit_open_attempts = |s: &mut Settings| {
        s.peer_messages = true;
        s.plans[0].rate = 0.0;
        s.plans[0].burst = 0.0;
        s.plans[0].max_open = 3;
    };
    let mut gateways = start_fleet(150, limit_open_attempts);
    let send_request = |gateways: &mut Vec<TestGateway>, g: usize| {
        let (_, actions) = gateways[g].request_with(|r| r.gateway_count = 150);
        deliver_messages(gateways, g, actions)
    };
    // Each gateway gets one request, and none of the sent attempts ends.
    assert_eq!(
        (1..20)
            .map(|g| send_request(&mut gateways, g))
            .sum::<usize>(),
        3,
        "the limit on attempts in flight holds over all gateways"
    );
    gateways
        .iter_mut()
        .for_each(|gateway| gateway.now += 2_000_000);
    assert_eq!(
        (20..40)
            .map(|g| send_request(&mut gateways, g))
            .sum::<usize>(),
        3,
        "permits that are not returned are granted again"
    );
}

#[test]
fn a_request_does_not_wait_long_for_a_silent_owner_or_counter() {
    for counter in [false, true] {
        let mut gateway = start_fleet(150, |s| {
            s.has_counter = counter;
            s.peer_messages = !counter;
        })
        .remove(0);
        let (id, actions) = gateway.request_with(|r| r.gateway_count = 150);
        assert!(
            sent_server(&actions).is_none() && !is_rejected(&actions),
            "the request waits for a reply"
        );
        let mut waits = 0;
        let mut last = Vec::new();
        while !is_rejected(&last) && sent_server(&last).is_none() && waits < 5 {
            gateway.now += 100_000;
            last = gateway.handle(Event::Timer(Timer::Request(id)));
            waits += 1;
        }
        assert!(waits <= 2, "request answered after {waits} timers, limit 2");
        // A request whose client is about to give up cannot wait at all.
        let (_, actions) = gateway.request_with(|r| {
            r.gateway_count = 150;
            r.remaining_us = 60_000;
        });
        assert!(is_rejected(&actions) || sent_server(&actions).is_some());
    }
}

#[test]
fn calls_back_off_while_the_counter_is_silent() {
    let calls = |status: CompletionStatus| {
        let mut gateway = start_fleet(150, |s| s.has_counter = true).remove(0);
        let mut calls = [0, 0];
        for k in 0..1200 {
            let (_, actions) = gateway.request_with(|r| {
                r.gateway_count = 150;
                r.customer = CustomerId(format!("c{k}").into());
            });
            gateway.now += 50_000;
            for a in actions {
                if let Action::AddToCounter { name, amount, .. } = a {
                    calls[k / 600] += 1;
                    let total = if status == CompletionStatus::Served {
                        amount
                    } else {
                        0.0
                    };
                    gateway.handle(Event::CounterReply {
                        name,
                        status,
                        total,
                    });
                }
            }
        }
        calls
    };
    let silent = calls(CompletionStatus::NoAnswer);
    // Without replies a gateway still makes a fifth of a call a second, which is 6 in half a minute.
    assert!(
        silent[0] > silent[1] && silent[1] <= 7,
        "{silent:?} calls without replies in each half minute, expected fewer in the second and at most 7"
    );
    let answering = calls(CompletionStatus::Served);
    assert!(
        silent[0] * 2 < answering[0] && silent[1] * 2 < answering[1],
        "{silent:?} calls without replies, expected less than half of the {answering:?} with replies"
    );
}

#[test]
fn a_silent_server_loses_its_share() {
    let mut settings = unlimited_settings();
    settings.gateways = 150;
    let mut gateway = TestGateway::with_servers(settings, 4);
    let mut silent = 0;
    let mut all = 0;
    for _ in 0..400 {
        let (id, actions) = gateway.request("c");
        let Some(server) = sent_server(&actions) else {
            continue;
        };
        all += 1;
        let is_silent = &*server.0 == "s0";
        silent += u32::from(is_silent);
        let (status, after) = if is_silent {
            (CompletionStatus::NoAnswer, 1_000_000)
        } else {
            (CompletionStatus::Served, 100_000)
        };
        gateway.end_attempt_after(id, 0, &server, status, after);
        gateway.now += 200_000;
        if all % 5 == 0 {
            gateway.handle(Event::Timer(Timer::Interval));
        }
    }
    assert!(
        silent * 8 < all,
        "{silent} of {all} requests went to the silent server, limit is an eighth"
    );
}

#[test]
fn the_gateway_that_starts_a_count_adds_the_units_that_accrued_before() {
    // The gateway that finds a count empty adds the units accrued since the window began. If no gateway did so, an idle customer
    // would get a second burst; if all did, each would correct the count.
    let added = |total_before: f64| {
        let mut gateway = start_fleet(150, |s| s.has_counter = true).remove(0);
        gateway.now = 1_230_000_000;
        let (_, actions) = gateway.request_with(|r| r.gateway_count = 150);
        let Some(Action::AddToCounter { name, amount, .. }) = actions
            .into_iter()
            .find(|a| matches!(a, Action::AddToCounter { .. }))
        else {
            panic!("the gateway makes no counter call")
        };
        let total = amount + total_before;
        let next = gateway.handle(Event::CounterReply {
            name,
            status: CompletionStatus::Served,
            total,
        });
        next.iter()
            .map(|a| {
                if let Action::AddToCounter { amount, .. } = a {
                    *amount
                } else {
                    0.0
                }
            })
            .sum::<f64>()
    };
    // 300 units accrued in the half minute since the counter's window began, at ten units a second.
    assert!((added(0.0) - 300.0).abs() < 2.0);
    assert_eq!(added(300.0), 0.0, "a correct count is not corrected again");
}
