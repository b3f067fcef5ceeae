//! Tests of a ceiling that many gateways keep together.

use crate::common::{is_rejected, reply_to_calls, sent_server, TestGateway};
use crate::{counter_calls, GATEWAYS};
use frosthatch_traffic_control::{
    Action, Ceiling, CompletionStatus, Event, Request, RequestId, Settings, Timer,
};

/// Creates the gateway with this index in a fleet whose plan has a ceiling of twice its quota.
fn gateway_with_ceiling(gateway_index: u32) -> TestGateway {
    let mut s = Settings {
        gateways: GATEWAYS,
        has_counter: true,
        gateway_index,
        ..Settings::example()
    };
    s.plans[0].rate = 10.0;
    s.plans[0].burst = 60.0;
    s.plans[0].ceiling = Some(Ceiling {
        rate: 20.0,
        depth: 120.0,
    });
    s.plans[0].overrun_cost = 1.0;
    TestGateway::with_seed(s, u64::from(gateway_index)).with_listed_servers(4)
}

/// All gateways together admit at most the part of the ceiling above the quota without the counter, and at most the quota
/// through the counter. Their sum stays within the ceiling, whichever calls fail.
#[test]
fn a_ceiling_is_kept_by_all_gateways_with_and_without_the_counter() {
    const CUSTOMER_GATEWAYS: u32 = 10;
    const SECONDS: u64 = 10;
    for replies in [true, false] {
        let mut gateways: Vec<TestGateway> =
            (0..CUSTOMER_GATEWAYS).map(gateway_with_ceiling).collect();
        let mut total = 0.0;
        let mut admitted = 0.0;
        let mut calls = 0;
        for tick in 0..SECONDS * 100 {
            for gateway in &mut gateways {
                gateway.now += 10_000;
            }
            let gateway = &mut gateways[(tick * 7 % u64::from(CUSTOMER_GATEWAYS)) as usize];
            let (id, actions) = gateway.request_with(|r| {
                r.gateway_count = CUSTOMER_GATEWAYS;
                r.units = 3.0;
            });
            let mut status_of_next_call = || {
                calls += 1;
                if replies && calls % 5 != 4 {
                    CompletionStatus::Served
                } else {
                    CompletionStatus::Rejected
                }
            };
            let actions = reply_to_calls(gateway, actions, &mut total, &mut status_of_next_call);
            if let Some(server) = sent_server(&actions) {
                admitted += 3.0;
                let ended = gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
                reply_to_calls(gateway, ended, &mut total, &mut status_of_next_call);
            }
            for gateway in &mut gateways {
                if tick % 100 == 99 {
                    gateway.handle(Event::Timer(Timer::Interval));
                }
            }
        }
        let limit = 120.0 + 20.0 * SECONDS as f64;
        assert!(
            admitted <= limit,
            "{admitted} units admitted, limit {limit}; counter replies: {replies}"
        );
        assert!(
            !replies || admitted >= 0.8 * (60.0 + 10.0 * SECONDS as f64),
            "{admitted} units admitted, minimum 80 percent of the quota and its burst"
        );
    }
}

/// Requests that begin to wait while a call is in flight are decided only after a further call for their units; otherwise
/// they would be rejected for units that no call reserved.
#[test]
fn requests_that_wait_for_another_call_get_a_further_call() {
    const CUSTOMER_GATEWAYS: u32 = 10;
    let mut gateway = gateway_with_ceiling(0);
    let set_gateways_and_units =
        |r: &mut Request| (r.gateway_count, r.units) = (CUSTOMER_GATEWAYS, 3.0);
    // The slice of the ceiling above the quota is empty at the start, so every unit needs the counter.
    let (first, actions) = gateway.request_with(set_gateways_and_units);
    let [(name, requested, _)] = &counter_calls(&actions)[..] else {
        panic!("the gateway makes one counter call: {actions:?}")
    };
    let waiting: Vec<RequestId> = (0..2)
        .map(|_| gateway.request_with(set_gateways_and_units).0)
        .collect();
    // 40 s into the counter's window 400 units have accrued; 420 of these and of the burst were used.
    let mut total = 420.0 + requested;
    let reply_actions = gateway.handle(Event::CounterReply {
        name: name.clone(),
        status: CompletionStatus::Served,
        total,
    });
    assert!(
        !is_rejected(&reply_actions),
        "no request is rejected before a call for its units: {reply_actions:?}"
    );
    let further_calls = counter_calls(&reply_actions);
    assert_eq!(
        further_calls.len(),
        1,
        "one call covers all waiting requests: {reply_actions:?}"
    );
    total += further_calls[0].1;
    let reply_actions = gateway.handle(Event::CounterReply {
        name: name.clone(),
        status: CompletionStatus::Served,
        total,
    });
    let admitted = |id| {
        reply_actions
            .iter()
            .any(|a| matches!(a, Action::Send { request, .. } if *request == id))
    };
    assert!(
        admitted(first) && waiting.iter().all(|id| admitted(*id)),
        "all requests are sent: {reply_actions:?}"
    );
    assert_eq!(
        total, 429.0,
        "the count grows only by the three units of each of the three requests"
    );
}
