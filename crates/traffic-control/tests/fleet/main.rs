//! What many gateways do together where each one's slice is under one request.

#[path = "../common/mod.rs"]
mod common;
mod slow_start;

use common::{is_rejected, sent_server, unlimited_settings, Rig};
use frosthatch_traffic_control::{
    Action, AttemptOutcome, Ceiling, CompletionStatus, CustomerId, Event, ListKind, Micros,
    ServerEntry, Settings, Timer,
};

fn fleet(gateways: u32, change: impl Fn(&mut Settings)) -> Vec<Rig> {
    let one = |me| {
        let mut settings = Settings::example();
        settings.gateways = gateways;
        settings.gateway_index = me;
        settings.peer_messages_per_s = 100.0;
        change(&mut settings);
        Rig::seeded(settings, u64::from(me) + 1).with_listed(4)
    };
    (0..gateways).map(one).collect()
}

/// Delivers the messages of gateway `from` to the others, and their replies. Returns the number of sends of `from`.
fn deliver_messages(rigs: &mut [Rig], from: usize, actions: Vec<Action>) -> usize {
    let mut sends = 0;
    let mut queue = vec![(from, actions)];
    while let Some((from_now, actions)) = queue.pop() {
        for a in actions {
            match a {
                Action::Send { .. } if from_now == from => sends += 1,
                Action::SendToPeer { to, bytes } => {
                    let answer = rigs[to as usize].handle(Event::Peer {
                        from: from_now as u32,
                        bytes,
                    });
                    queue.push((to as usize, answer));
                }
                _ => {}
            }
        }
    }
    sends
}

#[test]
fn gateways_that_share_an_owner_admit_the_quota_and_no_more() {
    for gateways in [3, 150, 600] {
        let mut rigs = fleet(gateways, |s| s.peer_messages = true);
        // Long enough for the owner to have saved up the burst of 20: its start counts as a restart.
        rigs.iter_mut().for_each(|r| r.now += 10_000_000);
        let mut admitted = 0;
        for g in 0..rigs.len().min(150) {
            for _ in 0..(150 / rigs.len()).max(1) {
                let (_, actions) = rigs[g].request_with(|r| r.gateway_count = gateways);
                admitted += deliver_messages(&mut rigs, g, actions);
            }
        }
        assert!(
            (19..=21).contains(&admitted),
            "{admitted} of a burst of 20 with {gateways} gateways"
        );
    }
}

#[test]
fn few_unsynced_gateways_save_up_their_slice_and_a_restart_adds_nothing() {
    for gateways in [7, 8] {
        let slice_s = f64::from(gateways) / 10.0;
        let mut rig = fleet(gateways, |s| {
            s.plans[0].burst = 5.0;
            s.max_units = 1.0;
        })
        .remove(0);
        let admitted = |rig: &mut Rig| {
            sent_server(&rig.request_with(|r| r.gateway_count = gateways).1).is_some()
        };
        assert!(
            !admitted(&mut rig),
            "a fresh start owns a fraction of a request"
        );
        rig.now += (slice_s * 1e6) as Micros;
        let n = (0..5).filter(|_| admitted(&mut rig)).count();
        assert_eq!(
            n, 1,
            "one request is saved up in the time that the slice takes for it, and no more"
        );
    }
}

/// At many gateways the slice is next to nothing and most customers are within their quota: they are admitted until the meter shows
/// overuse. A ceiling, which no gateway may risk, is kept to the slice, and a restart adds nothing to it.
#[test]
fn many_unsynced_gateways_admit_until_the_meter_shows_overuse_and_keep_to_their_ceiling_slice() {
    for gateways in [9, 150, 600] {
        let mut rig = fleet(gateways, |s| s.meter_period_us = 1_000_000).remove(0);
        let ask = |rig: &mut Rig| {
            let (id, actions) = rig.request_with(|r| r.gateway_count = gateways);
            sent_server(&actions).map(|server| (id, server))
        };
        let mut admitted = 0;
        for n in 0..321 {
            let sent = ask(&mut rig);
            assert!(
                n > 0 || sent.is_some(),
                "nothing is known of it: it is passed on"
            );
            let Some((id, server)) = sent else { continue };
            admitted += 1;
            let mut o = AttemptOutcome::new(id, 0, server, CompletionStatus::Served, 0);
            o.closed = true;
            o.metered_use = Some(4.0);
            rig.handle(Event::Outcome(o));
        }
        // The first, a sixteenth of the others, and what was saved up of the slice.
        assert!(
            (8..=40).contains(&admitted),
            "{admitted} of 321 by {gateways} gateways"
        );
        let ceiling = Some(Ceiling {
            rate: 15.0,
            depth: f64::from(gateways) * 0.9,
        });
        let mut rig = fleet(gateways, |s| s.plans[0].ceiling = ceiling).remove(0);
        assert!(
            ask(&mut rig).is_none(),
            "its slice is under one request, and the ceiling is no guess"
        );
    }
}

#[test]
fn many_gateways_together_stay_within_a_slow_start_budget() {
    for gateways in [3, 150, 600] {
        let mut rigs = fleet(gateways, |s| {
            s.plans[0].rate = 1e6;
            s.plans[0].burst = 1e6;
        });
        let mut to_cold = 0;
        for rig in &mut rigs {
            // It is the only server.
            let cold = ServerEntry {
                started_us: rig.now,
                ..ServerEntry::ready("cold", "a")
            };
            rig.update_servers(ListKind::Complete, vec![cold]);
            // The window of two seconds, with 600 requests a second for the fleet.
            for _ in 0..1200 / gateways {
                let (id, actions) = rig.request("c");
                if let Some(server) = sent_server(&actions) {
                    to_cold += 1;
                    rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
                }
                rig.now += 2_000_000 / u64::from(1200 / gateways);
            }
        }
        // A core that takes 125 ms for an attempt does 16 in two seconds, three times a fifth of it is ten.
        assert!(
            (1..=20).contains(&to_cold),
            "{to_cold} to a cold server by {gateways} gateways"
        );
    }
}

#[test]
fn a_permit_whose_return_is_lost_is_granted_again() {
    let capped = |s: &mut Settings| {
        s.peer_messages = true;
        s.plans[0].rate = 0.0;
        s.plans[0].burst = 0.0;
        s.plans[0].max_open = 3;
    };
    let mut rigs = fleet(150, capped);
    let pass = |rigs: &mut Vec<Rig>, g: usize| {
        let (_, actions) = rigs[g].request_with(|r| r.gateway_count = 150);
        deliver_messages(rigs, g, actions)
    };
    // Each gateway sends one request and then is silent.
    assert_eq!(
        (1..20).map(|g| pass(&mut rigs, g)).sum::<usize>(),
        3,
        "the cap holds over all gateways"
    );
    rigs.iter_mut().for_each(|r| r.now += 2_000_000);
    assert_eq!(
        (20..40).map(|g| pass(&mut rigs, g)).sum::<usize>(),
        3,
        "and its places come back"
    );
}

#[test]
fn a_request_does_not_wait_long_for_a_silent_owner_or_counter() {
    for counter in [false, true] {
        let mut rig = fleet(150, |s| {
            s.has_counter = counter;
            s.peer_messages = !counter;
        })
        .remove(0);
        let (id, actions) = rig.request_with(|r| r.gateway_count = 150);
        assert!(
            sent_server(&actions).is_none() && !is_rejected(&actions),
            "it waits for an answer"
        );
        let mut waits = 0;
        let mut last = Vec::new();
        while !is_rejected(&last) && sent_server(&last).is_none() && waits < 5 {
            rig.now += 100_000;
            last = rig.handle(Event::Timer(Timer::Request(id)));
            waits += 1;
        }
        assert!(waits <= 2, "answered after {waits} waits");
        // A request of a client about to leave cannot wait at all.
        let (_, actions) = rig.request_with(|r| {
            r.gateway_count = 150;
            r.remaining_us = 60_000;
        });
        assert!(is_rejected(&actions) || sent_server(&actions).is_some());
    }
}

#[test]
fn calls_back_off_while_the_counter_is_silent() {
    let calls = |status: CompletionStatus| {
        let mut rig = fleet(150, |s| s.has_counter = true).remove(0);
        let mut calls = [0, 0];
        for k in 0..1200 {
            let (_, actions) = rig.request_with(|r| {
                r.gateway_count = 150;
                r.customer = CustomerId(format!("c{k}").into());
            });
            rig.now += 50_000;
            for a in actions {
                if let Action::AddToCounter { name, amount, .. } = a {
                    calls[k / 600] += 1;
                    let total = if status == CompletionStatus::Served {
                        amount
                    } else {
                        0.0
                    };
                    rig.handle(Event::CounterReply {
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
    // A fifth of a call a second is always tried.
    assert!(
        silent[0] > silent[1] && silent[1] <= 7,
        "{silent:?} in each half minute"
    );
    let answers = calls(CompletionStatus::Served);
    assert!(
        silent[0] * 2 < answers[0] && silent[1] * 2 < answers[1],
        "{silent:?}, {answers:?} with answers"
    );
}

#[test]
fn a_silent_server_loses_its_share() {
    let mut settings = unlimited_settings();
    settings.gateways = 150;
    let mut rig = Rig::with_servers(settings, 4);
    let mut silent = 0;
    let mut all = 0;
    for _ in 0..400 {
        let (id, actions) = rig.request("c");
        let Some(server) = sent_server(&actions) else {
            continue;
        };
        all += 1;
        let dead = &*server.0 == "s0";
        silent += u32::from(dead);
        let (status, after) = if dead {
            (CompletionStatus::NoAnswer, 1_000_000)
        } else {
            (CompletionStatus::Served, 100_000)
        };
        rig.end_attempt_after(id, 0, &server, status, after);
        rig.now += 200_000;
        if all % 5 == 0 {
            rig.handle(Event::Timer(Timer::Interval));
        }
    }
    assert!(
        silent * 8 < all,
        "{silent} of {all} went to the silent server"
    );
}

#[test]
fn the_gateway_that_begins_a_count_corrects_it_for_what_filled_in_before() {
    // Otherwise an idle customer would get a second burst, and all gateways would correct the count at once.
    let added = |name_made_before: f64| {
        let mut rig = fleet(150, |s| s.has_counter = true).remove(0);
        rig.now = 1_230_000_000;
        let (_, actions) = rig.request_with(|r| r.gateway_count = 150);
        let Some(Action::AddToCounter { name, amount, .. }) = actions
            .into_iter()
            .find(|a| matches!(a, Action::AddToCounter { .. }))
        else {
            panic!("it asks the counter")
        };
        let total = amount + name_made_before;
        let next = rig.handle(Event::CounterReply {
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
    // Half a minute at ten units a second filled in since the counter's window began.
    assert!((added(0.0) - 300.0).abs() < 2.0);
    assert_eq!(added(300.0), 0.0, "a count in step is left alone");
}
