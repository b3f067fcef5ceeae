//! Tests of quotas with and without a counter.

use crate::common::{count_admitted_by_counter, sent_server, TestGateway};
use crate::support::settings_with_counter;
use frosthatch_traffic_control::{Action, CompletionStatus, Event, Settings};

#[test]
fn a_bucket_without_shared_usage_holds_the_even_slice_and_rejects_with_retry_after() {
    let mut settings = Settings::example();
    settings.gateways = 2;
    let mut gateway = TestGateway::with_servers(settings, 4);
    let mut admitted = 0;
    for _ in 0..30 {
        let (id, actions) = gateway.request_with(|r| r.gateway_count = 2);
        if let Some(server) = sent_server(&actions) {
            admitted += 1;
            gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
        } else {
            let has_retry_after = |a: &Action| matches!(a, Action::Reject { retry_after_us, .. } if *retry_after_us > 0);
            assert!(actions.iter().any(has_retry_after));
        }
    }
    assert_eq!(
        admitted, 10,
        "the even slice of two gateways is half of the burst of 20"
    );
}

#[test]
fn use_by_others_in_the_count_is_charged_and_the_rest_is_available() {
    let settings = settings_with_counter(2);
    // The bucket holds 20 units less `used_by_others`, the other gateway's use in this counter window.
    let admitted = |used_by_others: f64| {
        let mut gateway = TestGateway::with_servers(settings.clone(), 4);
        gateway.now = 1_200_000_000;
        count_admitted_by_counter(&mut gateway, 2, 40, &mut { used_by_others })
    };
    assert_eq!((admitted(0.0), admitted(15.0)), (20, 5));
}

#[test]
fn each_of_many_gateways_queries_the_counter_for_an_unknown_customer() {
    for gateways in [150, 600] {
        let mut settings = Settings::example();
        settings.gateways = gateways;
        settings.has_counter = true;
        let mut total = 0.0;
        let admitted_by_gateway = |_| {
            let mut gateway = TestGateway::with_servers(settings.clone(), 4);
            gateway.now = 1_200_000_000;
            count_admitted_by_counter(&mut gateway, gateways, 1, &mut total)
        };
        // Each gateway gets one request and has a slice of less than one unit; together they admit the burst.
        assert_eq!((0..150).map(admitted_by_gateway).sum::<usize>(), 20);
    }
}

#[test]
fn a_counter_reset_to_zero_or_silent_adds_no_quota() {
    let settings = settings_with_counter(2);
    let mut gateway = TestGateway::with_servers(settings, 4);
    let mut admitted = 0;
    for k in 0..60 {
        let (id, actions) = gateway.request_with(|r| r.gateway_count = 2);
        for a in &actions {
            if let Action::AddToCounter { name, amount, .. } = a {
                let status = if k % 3 == 0 {
                    CompletionStatus::NoAnswer
                } else {
                    CompletionStatus::Served
                };
                gateway.handle(Event::CounterReply {
                    name: name.clone(),
                    status,
                    total: *amount,
                });
            }
        }
        if let Some(server) = sent_server(&actions) {
            admitted += 1;
            gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
        }
    }
    assert!(
        admitted <= 20,
        "{admitted} requests admitted, limit is the burst of 20"
    );
}

/// Customers do not get a second burst whenever a counter window begins.
#[test]
fn an_empty_bucket_stays_empty_in_a_new_counter_window() {
    let mut settings = settings_with_counter(2);
    settings.plans[0].rate = 0.5;
    settings.plans[0].burst = 10.0;
    let mut gateway = TestGateway::with_servers(settings, 4);
    gateway.now = 1_019_500_000; // half a second before the counter's window ends
    let mut total = 0.0;
    let burst = count_admitted_by_counter(&mut gateway, 2, 30, &mut total);
    assert!(
        (9..=11).contains(&burst),
        "{burst} requests admitted of a burst of 10, expected 9 to 11; {total} units counted"
    );
    gateway.now = 1_022_000_000;
    total = 0.0;
    let again = count_admitted_by_counter(&mut gateway, 2, 30, &mut total);
    assert!(
        (1..=2).contains(&again),
        "{again} more requests admitted in 2.5 s, expected 1 or 2"
    );
    // The new count holds all use, so that the other gateway sees it.
    assert!(
        (9.0..=12.0).contains(&total),
        "{total} units in the new count, expected 9 to 12"
    );
}

/// Customers do not get a second burst when the counter has lost its counts.
#[test]
fn an_empty_bucket_stays_empty_when_the_counter_has_lost_its_counts() {
    let mut settings = settings_with_counter(2);
    settings.plans[0].rate = 0.5;
    settings.plans[0].burst = 10.0;
    let mut gateway = TestGateway::with_servers(settings, 4);
    gateway.now = 1_050_000_000;
    let mut total = 0.0;
    assert!(
        count_admitted_by_counter(&mut gateway, 2, 30, &mut total) >= 9,
        "at least 9 requests of the burst of 10 are admitted"
    );
    gateway.now += 2_000_000;
    total = 0.0;
    let again = count_admitted_by_counter(&mut gateway, 2, 30, &mut total);
    assert!(
        (1..=2).contains(&again),
        "{again} more requests admitted in 2 s, expected 1 or 2"
    );
}

/// Two gateways that find the same shortfall in a count at once correct it only once; otherwise the bucket would look empty.
#[test]
fn two_gateways_correct_a_count_once() {
    let mut gateways = [1, 2].map(|seed| {
        let mut settings = settings_with_counter(2);
        settings.gateway_index = seed as u32 - 1;
        settings.plans[0].rate = 10.0;
        settings.plans[0].burst = 20.0;
        let mut gateway = TestGateway::with_seed(settings, seed).with_listed_servers(4);
        gateway.now = 1_030_000_000; // ten seconds into the counter's window: 100 units accrued and none was used
        gateway
    });
    let mut total = 0.0;
    // Both gateways query the count before either has added its correction.
    let mut pending_actions: Vec<Vec<Action>> = gateways
        .iter_mut()
        .map(|gateway| gateway.request_with(|r| r.gateway_count = 2).1)
        .collect();
    while pending_actions.iter().any(|actions| !actions.is_empty()) {
        for (gateway, actions) in gateways.iter_mut().zip(&mut pending_actions) {
            for action in std::mem::take(actions) {
                if let Action::AddToCounter { name, amount, .. } = action {
                    total += amount;
                    actions.extend(gateway.handle(Event::CounterReply {
                        name,
                        status: CompletionStatus::Served,
                        total,
                    }));
                }
            }
        }
    }
    assert!(
        (100.0..=105.0).contains(&total),
        "{total} units in the count, expected 100 to 105"
    );
    let mut admitted = 0;
    for gateway in &mut gateways {
        admitted += count_admitted_by_counter(gateway, 2, 30, &mut total);
    }
    // Of the burst of 20 units 18 are left after the first two requests. Small use is reported in batches, so that a few more
    // may be admitted.
    assert!(
        (15..=22).contains(&admitted),
        "{admitted} requests admitted, expected 15 to 22"
    );
}
