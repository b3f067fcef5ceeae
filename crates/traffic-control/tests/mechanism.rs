//! Admit fractions, buckets, and bad input, at the interface.
#![expect(clippy::single_match_else)]

mod common;
use common::{
    count_admitted_by_counter, is_rejected, reply_and_find_send, reply_to_calls, sent_server,
    unlimited_settings, Rig,
};
use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, CustomerId, Event, Gateway, ListKind, Micros,
    Request, RequestId, ServerEntry, ServerId, Settings, Timer,
};
use std::collections::VecDeque;

/// Serves `n` requests with the given latency, one after another; returns how many were passed on.
fn serve_requests(rig: &mut Rig, n: usize, latency: Micros) -> usize {
    let mut passed = 0;
    for _ in 0..n {
        let (id, actions) = rig.request("c");
        if let Some(server) = sent_server(&actions) {
            passed += 1;
            rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, latency);
            rig.now -= latency;
        }
    }
    passed
}

#[test]
fn fractions_step_down_while_latency_is_over_its_bound_and_come_back_halfway() {
    let mut rig = Rig::with_servers(unlimited_settings(), 4);
    serve_requests(&mut rig, 20, 100_000);
    rig.interval();
    for _ in 0..3 {
        serve_requests(&mut rig, 200, 900_000);
        rig.interval();
    }
    let low = serve_requests(&mut rig, 1000, 100_000);
    assert!((600..800).contains(&low), "three steps down: {low} of 1000");
    rig.interval();
    let back = serve_requests(&mut rig, 1000, 100_000);
    assert!(
        (850..950).contains(&back),
        "halfway back, on the grid: {back} of 1000"
    );
}

#[test]
fn fractions_recover_from_zero_without_measurements() {
    let mut rig = Rig::with_servers(unlimited_settings(), 4);
    for _ in 0..40 {
        serve_requests(&mut rig, 1000, 900_000);
        rig.interval();
    }
    for _ in 0..6 {
        rig.interval();
    }
    assert_eq!(serve_requests(&mut rig, 100, 100_000), 100);
}

#[test]
fn an_unsynced_bucket_holds_the_even_slice_and_rejects_with_retry_after() {
    let mut settings = Settings::example();
    settings.gateways = 2;
    let mut rig = Rig::with_servers(settings, 4);
    let mut passed = 0;
    for _ in 0..30 {
        let (id, actions) = rig.request_with(|r| r.gateway_count = 2);
        match sent_server(&actions) {
            Some(server) => {
                passed += 1;
                rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
            }
            None => {
                let advised = |a: &Action| matches!(a, Action::Reject { retry_after_us, .. } if *retry_after_us > 0);
                assert!(actions.iter().any(advised));
            }
        }
    }
    assert_eq!(passed, 10, "half of a burst of 20");
}

#[test]
fn use_of_others_that_the_counter_reports_is_charged_and_the_rest_is_available() {
    let settings = settings_with_counter(2);
    // As much of the minute's fill is gone as the others used: the store stands at 20 less their use.
    let pass = |others: f64| {
        let mut rig = Rig::with_servers(settings.clone(), 4);
        rig.now = 1_200_000_000;
        count_admitted_by_counter(&mut rig, 2, 40, &mut { others })
    };
    assert_eq!((pass(0.0), pass(15.0)), (20, 5));
}

#[test]
fn one_of_many_gateways_queries_the_counter_for_an_unknown_customer() {
    for gateways in [150, 600] {
        let mut settings = Settings::example();
        (settings.gateways, settings.counter) = (gateways, true);
        let mut total = 0.0;
        let gateway = |_| {
            let mut rig = Rig::with_servers(settings.clone(), 4);
            rig.now = 1_200_000_000;
            count_admitted_by_counter(&mut rig, gateways, 1, &mut total)
        };
        // Each sees one request, and has a slice of a fraction of one: together they pass the burst.
        assert_eq!((0..150).map(gateway).sum::<usize>(), 20);
    }
}

#[test]
fn a_counter_reset_to_zero_or_silent_adds_no_quota() {
    let settings = settings_with_counter(2);
    let mut rig = Rig::with_servers(settings, 4);
    let mut n = 0;
    for k in 0..60 {
        let (id, actions) = rig.request_with(|r| r.gateway_count = 2);
        for a in &actions {
            if let Action::AddToCounter { name, amount, .. } = a {
                let status = if k % 3 == 0 {
                    CompletionStatus::NoAnswer
                } else {
                    CompletionStatus::Served
                };
                rig.handle(Event::CounterReply {
                    name: name.clone(),
                    status,
                    total: *amount,
                });
            }
        }
        if let Some(server) = sent_server(&actions) {
            n += 1;
            rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
        }
    }
    assert!(n <= 20, "{n} passed of a burst of 20");
}

#[test]
fn attempts_in_flight_are_limited() {
    let mut settings = unlimited_settings();
    (
        settings.plans[0].rate,
        settings.plans[0].burst,
        settings.plans[0].max_open,
    ) = (0.0, 0.0, 3);
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
    (
        settings.plans[0].rate,
        settings.plans[0].burst,
        settings.plans[0].max_open,
    ) = (0.0, 0.0, 3);
    let mut rig = Rig::with_servers(settings, 4);
    let passed = |rig: &mut Rig| !is_rejected(&rig.request_with(|r| r.gateway_count = 8).1);
    assert!(!passed(&mut rig), "a third of a place is none at the start");
    rig.now += 5_000_000;
    assert!(passed(&mut rig), "saved up to one place");
    assert!(!passed(&mut rig), "and no more");
}

/// Of many each would save up for its place longer than customers stay: they are passed on until the meter tells of more than the
/// cap.
#[test]
fn the_meter_keeps_a_limit_on_attempts_at_many_unsynced_gateways() {
    let mut settings = unlimited_settings();
    (settings.gateways, settings.meter_period_us) = (100, 1_000_000);
    (
        settings.plans[0].rate,
        settings.plans[0].burst,
        settings.plans[0].max_open,
    ) = (0.0, 0.0, 3);
    let mut rig = Rig::with_servers(settings, 4);
    let mut passed = 0;
    for n in 0..321 {
        let (id, actions) = rig.request_with(|r| r.gateway_count = 100);
        let server = sent_server(&actions);
        assert!(
            n > 0 || server.is_some(),
            "nothing is known of it: it is passed on"
        );
        let Some(server) = server else { continue };
        passed += 1;
        let mut o = AttemptOutcome::new(id, 0, server, CompletionStatus::Served, 0);
        (o.closed, o.metered_use) = (true, Some(4.0));
        rig.handle(Event::Outcome(o));
    }
    assert!(
        (8..=40).contains(&passed),
        "{passed} of 321: the first, and a sixteenth of the others"
    );
}

#[test]
fn requests_that_would_be_late_are_rejected_at_once() {
    let mut rig = Rig::with_servers(unlimited_settings(), 2);
    for _ in 0..20 {
        let (id, actions) = rig.request("c");
        rig.end_attempt_after(
            id,
            0,
            &sent_server(&actions).expect("sent"),
            CompletionStatus::Served,
            50_000,
        );
    }
    rig.now -= 1_000_000;
    rig.interval();
    // 20 a second were served: 100 at once would take five seconds.
    let n = (0..100)
        .filter(|_| sent_server(&rig.request("c").1).is_some())
        .count();
    assert!((5..20).contains(&n), "{n} passed");
}

#[test]
fn a_server_that_fails_fast_does_not_look_idle() {
    let mut rig = Rig::with_servers(unlimited_settings(), 4);
    let (mut bad, mut all) = (0, 0);
    for _ in 0..200 {
        let (id, actions) = rig.request("c");
        let Some(server) = sent_server(&actions) else {
            continue;
        };
        all += 1;
        let failing = &*server.0 == "s0";
        bad += u32::from(failing);
        let actions = rig.end_attempt_after(
            id,
            0,
            &server,
            if failing {
                CompletionStatus::ServerError
            } else {
                CompletionStatus::Served
            },
            1_000,
        );
        if let Some(second) = sent_server(&actions) {
            assert_ne!(second, server);
            rig.end_attempt_after(id, 1, &second, CompletionStatus::Served, 20_000);
        }
    }
    assert!(bad * 10 < all, "{bad} of {all} went to the failing server");
}

#[test]
fn one_of_many_gateways_does_not_always_begin_with_the_largest_server() {
    let mut settings = unlimited_settings();
    settings.gateways = 12;
    let mut rig = Rig::new(settings);
    let sized = |i: usize| ServerEntry {
        weight: 1.0 + i as f64 / 5.0,
        ..ServerEntry::ready(&format!("s{i}"), "a")
    };
    rig.update_servers(ListKind::Complete, (0..4).map(sized).collect());
    let mut least = 0;
    for _ in 0..200 {
        let (id, actions) = rig.request("c");
        let server = sent_server(&actions).expect("sent");
        least += u32::from(&*server.0 == "s0");
        rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 1_000);
    }
    assert!(
        least >= 8,
        "the smallest of four idle servers got {least} of 200"
    );
}

#[test]
fn unknown_names_get_one_answer_and_unknown_ids_change_nothing() {
    let mut rig = Rig::with_servers(unlimited_settings(), 2);
    for change in [
        |r: &mut Request| r.plan = "?".into(),
        |r: &mut Request| r.class = "?".into(),
    ] {
        let (_, actions) = rig.request_with(change);
        assert_eq!(
            actions
                .iter()
                .filter(|a| matches!(a, Action::Reject { .. }))
                .count(),
            1
        );
    }
    let stranger = AttemptOutcome::new(
        RequestId(99),
        0,
        ServerId("x".into()),
        CompletionStatus::Served,
        1,
    );
    assert!(rig.handle(Event::Outcome(stranger)).is_empty());
    assert!(rig.handle(Event::ClientGone(RequestId(99))).is_empty());
    assert!(rig
        .handle(Event::Timer(Timer::Request(RequestId(99))))
        .is_empty());
    let (id, actions) = rig.request("c");
    let server = sent_server(&actions).expect("sent");
    rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 1);
    assert!(
        rig.end_attempt_after(id, 0, &server, CompletionStatus::ServerError, 1)
            .is_empty(),
        "a repeated outcome is ignored"
    );
}

#[test]
fn invalid_settings_are_an_error() {
    let broken: [fn(&mut Settings); 5] = [
        |s| s.classes.clear(),
        |s| s.plans.clear(),
        |s| s.plans[0].rate = -1.0,
        |s| s.plans[0].burst = f64::NAN,
        |s| s.gateways = 0,
    ];
    for change in broken {
        let mut s = Settings::example();
        change(&mut s);
        assert!(Gateway::new(s, 1).is_err());
    }
}

#[test]
fn memory_is_bounded_under_a_flood_of_customers() {
    let mut rig = Rig::with_servers(unlimited_settings(), 2);
    let answered = (0..70_000)
        .filter(|i| is_rejected(&rig.request(&format!("c{i}")).1))
        .count();
    assert!(
        answered >= 70_000 - 24_576,
        "customers beyond the bound are refused"
    );
}

/// Settings of one of several gateways that share a counter.
fn settings_with_counter(gateways: u32) -> Settings {
    Settings {
        gateways,
        counter: true,
        ..Settings::example()
    }
}

/// Guards against a second burst for every customer whenever the counts begin anew.
#[test]
fn an_empty_store_stays_empty_in_a_new_counter_window() {
    let mut settings = settings_with_counter(2);
    (settings.plans[0].rate, settings.plans[0].burst) = (0.5, 10.0);
    let mut rig = Rig::with_servers(settings, 4);
    rig.now = 1_019_500_000; // half a second before a minute is over
    let mut total = 0.0;
    let burst = count_admitted_by_counter(&mut rig, 2, 30, &mut total);
    assert!((9..=11).contains(&burst), "the burst: {burst}, {total}");
    rig.now = 1_022_000_000;
    total = 0.0;
    let again = count_admitted_by_counter(&mut rig, 2, 30, &mut total);
    assert!((1..=2).contains(&again), "{again} more in 2.5 s");
    // All of it is in the new count, for the other gateway to see.
    assert!((9.0..=12.0).contains(&total), "{total} used");
}

/// Guards, too, against the same when the counter has lost what it held.
#[test]
fn an_empty_store_stays_empty_when_the_counter_comes_back_empty() {
    let mut settings = settings_with_counter(2);
    (settings.plans[0].rate, settings.plans[0].burst) = (0.5, 10.0);
    let mut rig = Rig::with_servers(settings, 4);
    rig.now = 1_050_000_000;
    let mut total = 0.0;
    assert!(
        count_admitted_by_counter(&mut rig, 2, 30, &mut total) >= 9,
        "the burst"
    );
    rig.now += 2_000_000;
    total = 0.0;
    let again = count_admitted_by_counter(&mut rig, 2, 30, &mut total);
    assert!((1..=2).contains(&again), "{again} more in 2 s");
}

/// Guards against a store that looks used up: two gateways that see at once what the count lacks make up for it once.
#[test]
fn two_gateways_correct_a_count_once() {
    let mut rigs = [1, 2].map(|seed| {
        let mut settings = settings_with_counter(2);
        settings.me = seed as u32 - 1;
        (settings.plans[0].rate, settings.plans[0].burst) = (10.0, 20.0);
        let mut rig = Rig::seeded(settings, seed).with_listed(4);
        rig.now = 1_030_000_000; // ten seconds into the life of the count: 100 units came in and none was used
        rig
    });
    let mut total = 0.0;
    // Both ask before either has told what it makes up for.
    let mut waiting: Vec<Vec<Action>> = rigs
        .iter_mut()
        .map(|rig| rig.request_with(|r| r.gateway_count = 2).1)
        .collect();
    while waiting.iter().any(|w| !w.is_empty()) {
        for (rig, actions) in rigs.iter_mut().zip(&mut waiting) {
            for action in std::mem::take(actions) {
                if let Action::AddToCounter { name, amount, .. } = action {
                    total += amount;
                    actions.extend(rig.handle(Event::CounterReply {
                        name,
                        status: CompletionStatus::Served,
                        total,
                    }));
                }
            }
        }
    }
    assert!((100.0..=105.0).contains(&total), "{total}");
    let mut passed = 0;
    for rig in &mut rigs {
        passed += count_admitted_by_counter(rig, 2, 30, &mut total);
    }
    // A little more than the 18 that are left: small use is told in lumps.
    assert!((15..=22).contains(&passed), "{passed} passed");
}

/// Guards against calls in a circle while nobody answers them.
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

/// Guards against a place that stays taken, or free, because nobody knows whether a call was added.
#[test]
fn a_permit_whose_call_was_lost_is_corrected() {
    for lost in 0..3 {
        let mut settings = settings_with_counter(2);
        (
            settings.plans[0].rate,
            settings.plans[0].burst,
            settings.plans[0].max_open,
        ) = (0.0, 0.0, 4);
        let mut rig = Rig::with_servers(settings, 4);
        let (mut total, mut calls) = (0.0, 0);
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

/// Guards against an answer that is taken for another call's: with two out for one customer a place would stay taken.
#[test]
fn two_calls_in_flight_are_distinguished() {
    let mut settings = settings_with_counter(2);
    (
        settings.plans[0].rate,
        settings.plans[0].burst,
        settings.plans[0].max_open,
    ) = (0.0, 0.0, 4);
    let mut rig = Rig::with_servers(settings, 4);
    let mut total = 0.0;
    let counts = |actions: &[Action]| {
        let count = |a: &Action| match a {
            Action::AddToCounter { name, amount, .. } => Some((name.clone(), *amount)),
            _ => None,
        };
        actions.iter().filter_map(count).collect::<Vec<_>>()
    };
    // The answer does not come while the request can wait for it, and the next request calls anew.
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

/// Guards against one place that two gateways see free at once.
#[test]
fn a_permit_is_taken_in_the_count_before_anything_is_sent() {
    let mut settings = settings_with_counter(2);
    (
        settings.plans[0].rate,
        settings.plans[0].burst,
        settings.plans[0].max_open,
    ) = (0.0, 0.0, 2);
    let mut rig = Rig::with_servers(settings, 4);
    let mut total = 0.0;
    // Several wait for one answer.
    let mut actions: Vec<Action> = (0..5)
        .flat_map(|_| rig.request_with(|r| r.gateway_count = 2).1)
        .collect();
    let (mut sends, mut k) = (0, 0);
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

fn settings_with_permits(gateways: u32, most: u32) -> Settings {
    let mut settings = settings_with_counter(gateways);
    (
        settings.plans[0].rate,
        settings.plans[0].burst,
        settings.plans[0].max_open,
    ) = (0.0, 0.0, most);
    settings
}

/// Answers the calls among these 20 ms later; `others` is what the others' place holds. The amounts called, and the sends.
fn reply_late(rig: &mut Rig, actions: Vec<Action>, total: &mut f64) -> (Vec<f64>, usize) {
    let (mut amounts, mut sends, mut todo) = (Vec::new(), 0, VecDeque::from(actions));
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

/// Guards against places that stand empty on both ways to a slow counter.
#[test]
fn a_spare_permit_serves_the_next_request_and_is_returned_once_unneeded() {
    let mut rig = Rig::with_servers(settings_with_permits(2, 2), 4);
    let (mut total, tag) = (0.0, Timer::Customer);
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
    // Used since: kept on. Then it was not.
    let actions = rig.handle(Event::Timer(tag(of)));
    assert_eq!(reply_late(&mut rig, actions, &mut total).0, vec![]);
    let actions = rig.handle(Event::Timer(tag(of)));
    assert_eq!(reply_late(&mut rig, actions, &mut total).0, vec![-1.0]);
    assert_eq!(total, 0.0);
}

/// Where no call can be made, or none is answered, what the others mostly use decides.
#[test]
fn unsynced_permits_go_by_the_mean_use_of_others() {
    for (others, passed) in [(0.0, 5), (2.0, 0)] {
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
            // What was kept is long given back; the counter says nothing.
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
        assert_eq!(sends, passed, "with {others} of 2 used by the others");
    }
}

/// Guards against places that are lost for a minute: what was out at the turn of the counts comes back.
#[test]
fn permits_come_back_in_a_new_counter_window() {
    let mut settings = settings_with_counter(2);
    (
        settings.plans[0].rate,
        settings.plans[0].burst,
        settings.plans[0].max_open,
    ) = (0.0, 0.0, 4);
    let mut rig = Rig::with_servers(settings, 4);
    rig.now = 1_019_000_000;
    let mut total = 0.0;
    // Opens as many as may be open at once.
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

/// Guards against one silent server that eats all the time a request has.
#[test]
fn an_attempt_ends_while_another_may_follow() {
    let mut rig = Rig::with_servers(Settings::example(), 3);
    let time_out = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Send { timeout_us, .. } => Some(*timeout_us),
            _ => None,
        })
    };
    let (_, actions) = rig.request("c");
    assert_eq!(
        time_out(&actions),
        Some(1_000_000),
        "nothing is known of what is usual"
    );
    serve_requests(&mut rig, 10, 50_000);
    rig.interval();
    let (id, actions) = rig.request("d");
    let bound = time_out(&actions).expect("it is sent");
    assert!((200_000..=500_000).contains(&bound), "{bound}");
    let server = sent_server(&actions).expect("it is sent");
    let actions = rig.end_attempt_after(id, 0, &server, CompletionStatus::NoAnswer, bound);
    assert!(
        sent_server(&actions).is_some_and(|other| other != server),
        "{actions:?}"
    );
}

/// Guards against an answer that comes too late for its client to try elsewhere.
#[test]
fn a_request_that_no_server_can_take_is_answered_before_half_of_its_time_is_over() {
    let mut settings = Settings::example();
    settings.classes[0].late_weight = 1.0;
    let mut rig = Rig::new(settings);
    let (id, actions) = rig.request("c");
    let wait = actions.iter().find_map(|a| match a {
        Action::SetTimer { after_us, timer } if *timer == Timer::Request(id) => Some(*after_us),
        _ => None,
    });
    let wait = wait.expect("it waits for a server");
    assert!((1_000_000..2_000_000).contains(&wait), "{wait}");
    rig.now += wait;
    assert!(is_rejected(&rig.handle(Event::Timer(Timer::Request(id)))));
}

/// The name that a call for a customer nobody has heard of yet goes by, if the counter is called.
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
    let (one, many) = (calls_after(1), calls_after(30));
    assert!(
        many * 10 > one * 5,
        "{many} calls after thirty were lost, {one} after one"
    );
}

#[test]
fn a_counter_that_has_become_slow_is_still_queried() {
    let mut rig = Rig::with_servers(settings_with_counter(2), 4);
    // Ten requests a second, one after another: quick answers, then slow ones though no call waits for another.
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
