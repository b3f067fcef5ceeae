//! Quotas of units, with and without a counter.

use crate::common::{count_admitted_by_counter, sent_server, Rig};
use crate::support::settings_with_counter;
use frosthatch_traffic_control::{Action, CompletionStatus, Event, Settings};

#[test]
fn an_unsynced_bucket_holds_the_even_slice_and_rejects_with_retry_after() {
    let mut settings = Settings::example();
    settings.gateways = 2;
    let mut rig = Rig::with_servers(settings, 4);
    let mut admitted = 0;
    for _ in 0..30 {
        let (id, actions) = rig.request_with(|r| r.gateway_count = 2);
        if let Some(server) = sent_server(&actions) {
            admitted += 1;
            rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
        } else {
            let has_retry_after = |a: &Action| matches!(a, Action::Reject { retry_after_us, .. } if *retry_after_us > 0);
            assert!(actions.iter().any(has_retry_after));
        }
    }
    assert_eq!(admitted, 10, "half of a burst of 20");
}

#[test]
fn use_of_others_that_the_counter_reports_is_charged_and_the_rest_is_available() {
    let settings = settings_with_counter(2);
    // The others used as much of the window's fill: the store holds 20 less their use.
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
        settings.gateways = gateways;
        settings.has_counter = true;
        let mut total = 0.0;
        let gateway = |_| {
            let mut rig = Rig::with_servers(settings.clone(), 4);
            rig.now = 1_200_000_000;
            count_admitted_by_counter(&mut rig, gateways, 1, &mut total)
        };
        // Each sees one request, and has a slice of a fraction of one: together they admit the burst.
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

/// Customers do not get a second burst whenever a counter window begins.
#[test]
fn an_empty_store_stays_empty_in_a_new_counter_window() {
    let mut settings = settings_with_counter(2);
    settings.plans[0].rate = 0.5;
    settings.plans[0].burst = 10.0;
    let mut rig = Rig::with_servers(settings, 4);
    rig.now = 1_019_500_000; // half a second before a minute is over
    let mut total = 0.0;
    let burst = count_admitted_by_counter(&mut rig, 2, 30, &mut total);
    assert!((9..=11).contains(&burst), "the burst: {burst}, {total}");
    rig.now = 1_022_000_000;
    total = 0.0;
    let again = count_admitted_by_counter(&mut rig, 2, 30, &mut total);
    assert!((1..=2).contains(&again), "{again} more in 2.5 s");
    // All use is in the new count, for the other gateway to see.
    assert!((9.0..=12.0).contains(&total), "{total} used");
}

/// The same when the counter has lost its counts.
#[test]
fn an_empty_store_stays_empty_when_the_counter_comes_back_empty() {
    let mut settings = settings_with_counter(2);
    settings.plans[0].rate = 0.5;
    settings.plans[0].burst = 10.0;
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

/// Two gateways that see the same lack in a count at once correct it once; otherwise the store would look empty.
#[test]
fn two_gateways_correct_a_count_once() {
    let mut rigs = [1, 2].map(|seed| {
        let mut settings = settings_with_counter(2);
        settings.gateway_index = seed as u32 - 1;
        settings.plans[0].rate = 10.0;
        settings.plans[0].burst = 20.0;
        let mut rig = Rig::seeded(settings, seed).with_listed(4);
        rig.now = 1_030_000_000; // ten seconds into the life of the count: 100 units came in and none was used
        rig
    });
    let mut total = 0.0;
    // Both query before either has reported its correction.
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
    let mut admitted = 0;
    for rig in &mut rigs {
        admitted += count_admitted_by_counter(rig, 2, 30, &mut total);
    }
    // A little more than the 18 that are left: small use is reported in lumps.
    assert!((15..=22).contains(&admitted), "{admitted} passed");
}
