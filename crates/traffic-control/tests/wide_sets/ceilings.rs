//! A ceiling that many gateways keep together.

use crate::common::{is_rejected, reply_to_calls, sent_server, Rig};
use crate::{counter_calls, GATEWAYS};
use frosthatch_traffic_control::{
    Action, Ceiling, CompletionStatus, Event, Request, RequestId, Settings, Timer,
};

/// One of many gateways, where the plan's ceiling is twice its quota.
fn one_with_a_ceiling(me: u32) -> Rig {
    let mut s = Settings {
        gateways: GATEWAYS,
        has_counter: true,
        gateway_index: me,
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

/// Without the counter all gateways together admit at most the part of the ceiling above the quota, and by the counter at
/// most the quota: in sum the ceiling is kept whatever becomes of the calls.
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

/// Requests are not rejected for want of units that nobody queried: those that begin to wait while a call is in flight are
/// queried before they are decided.
#[test]
fn requests_that_wait_for_another_call_are_queried_too() {
    const SET: u32 = 10;
    let mut rig = one_with_a_ceiling(0);
    let asks = |r: &mut Request| (r.gateway_count, r.units) = (SET, 3.0);
    // The slice above the quota is empty at the start, so all goes by the counter.
    let (first, actions) = rig.request_with(asks);
    let [(name, asked, _)] = &counter_calls(&actions)[..] else {
        panic!("it asks: {actions:?}")
    };
    let waiting: Vec<RequestId> = (0..2).map(|_| rig.request_with(asks).0).collect();
    // Of the counter's window 40 s are over, in which 400 units filled in and were used, and 20 more.
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
