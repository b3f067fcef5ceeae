//! Tests the validation of credit-control requests, sessions and duplicate detection, in virtual time.

use frosthatch_diameter::codec::{flag, Avp, Fault, Header, Message};
use frosthatch_diameter::credit::{
    classify_answer, forwarded_request, has_loop, AnswerClass, CreditControl, CreditControlConfig,
    CreditRequest, Disposition, RequestKey,
};
use frosthatch_diameter::dictionary::{code, command, result};
use frosthatch_traffic_control::CustomerNumber;
use std::collections::BTreeMap;

const SECOND_US: u64 = 1_000_000;

fn known_customer() -> CustomerNumber {
    CustomerNumber::new(4_512_345_678).expect("the number is in range")
}

fn mapping() -> CreditControlConfig {
    CreditControlConfig {
        check_class: "balance-check".into(),
        charge_class: "top-up".into(),
        plans: BTreeMap::from([(known_customer(), "stor".into())]),
        default_plan: Some("lille".into()),
        max_units: 100.0,
        session_timeout_us: 60 * SECOND_US,
        duplicate_window_us: 10 * SECOND_US,
        max_sessions: 3,
        max_tracked_requests: 4,
        max_cached_answer_bytes: 10_000,
    }
}

fn subscription(id_type: u32, data: &str) -> Avp {
    let group = [
        Avp::of_u32(code::SUBSCRIPTION_ID_TYPE, id_type),
        Avp::of_text(code::SUBSCRIPTION_ID_DATA, data),
    ];
    Avp::of_group(code::SUBSCRIPTION_ID, &group)
}

fn requested(units: u64) -> Avp {
    Avp::of_group(
        code::REQUESTED_SERVICE_UNIT,
        &[Avp::of_u64(code::CC_SERVICE_SPECIFIC_UNITS, units)],
    )
}

/// Creates a request of this CC-Request-Type, without a Subscription-Id.
fn ccr(session: &str, request_type: u32, number: u32, end_to_end: u32) -> Message {
    let flags = flag::REQUEST | flag::PROXIABLE;
    let header = Header {
        flags,
        command: command::CREDIT_CONTROL,
        application: 4,
        hop_by_hop: 1,
        end_to_end,
    };
    Message::new(header)
        .with_avp(Avp::of_text(code::SESSION_ID, session))
        .with_avp(Avp::of_text(code::ORIGIN_HOST, "Client.example.org"))
        .with_avp(Avp::of_text(code::ORIGIN_REALM, "example.org"))
        .with_avp(Avp::of_text(code::DESTINATION_REALM, "example.org"))
        .with_avp(Avp::of_u32(code::AUTH_APPLICATION_ID, 4))
        .with_avp(Avp::of_text(code::SERVICE_CONTEXT_ID, "topup@example.org"))
        .with_avp(Avp::of_u32(code::CC_REQUEST_TYPE, request_type))
        .with_avp(Avp::of_u32(code::CC_REQUEST_NUMBER, number))
}

fn event_ccr(action: u32, end_to_end: u32) -> Message {
    ccr("e;1", 4, 0, end_to_end)
        .with_avp(Avp::of_u32(code::REQUESTED_ACTION, action))
        .with_avp(subscription(0, "4512345678"))
}

fn answer(to: &Message, result: u32) -> Message {
    to.answer().with_avp(Avp::of_u32(code::RESULT_CODE, result))
}

/// Handles a request and expects it to be submitted.
fn expect_submitted(
    credit: &mut CreditControl<u32>,
    now_us: u64,
    ccr: &Message,
) -> (RequestKey, CreditRequest) {
    match credit.handle_ccr(now_us, ccr, 1) {
        Disposition::Submit(key, request) => (key, request),
        other => panic!("expected Disposition::Submit, got {other:?}"),
    }
}

/// Handles a request, expects it to be rejected, and returns the result code.
fn expect_rejected(credit: &mut CreditControl<u32>, ccr: &Message) -> u32 {
    match credit.handle_ccr(0, ccr, 1) {
        Disposition::Rejected(fault) => fault.result_code,
        other => panic!("expected Disposition::Rejected, got {other:?}"),
    }
}

/// Handles a request and completes it with a successful answer from `server`.
fn serve(
    credit: &mut CreditControl<u32>,
    now_us: u64,
    ccr: &Message,
    server: &str,
) -> CreditRequest {
    let (key, request) = expect_submitted(credit, now_us, ccr);
    assert_eq!(
        credit.complete(
            now_us,
            &key,
            ccr,
            &answer(ccr, result::SUCCESS),
            Some(server)
        ),
        [1]
    );
    request
}

#[test]
fn events_map_to_classes_customers_plans_and_units() {
    let mut credit = CreditControl::new(mapping());
    for (action, class) in [
        (0, "top-up"),
        (1, "top-up"),
        (2, "balance-check"),
        (3, "balance-check"),
    ] {
        let request = serve(
            &mut credit,
            0,
            &event_ccr(action, action).with_avp(requested(7)),
            "s1",
        );
        assert_eq!(
            (request.class.as_str(), request.plan.as_str(), request.units),
            (class, "stor", 7.0)
        );
        // The customer has the same key as over HTTP, so one quota applies to both protocols.
        assert_eq!(request.customer.to_string(), "000000010cf4ee4e");
        assert_eq!(request.customer.get(), 4_512_345_678);
    }
    let other = ccr("e;2", 4, 0, 9)
        .with_avp(Avp::of_u32(code::REQUESTED_ACTION, 2))
        .with_avp(subscription(4, "0000000000000abc"));
    let request = serve(&mut credit, 0, &other, "s1");
    assert_eq!(
        (
            request.customer.to_string().as_str(),
            request.plan.as_str(),
            request.units
        ),
        ("0000000000000abc", "lille", 1.0)
    );
}

#[test]
fn units_of_all_services_are_added_and_money_is_in_whole_currency_units() {
    let mut credit = CreditControl::new(mapping());
    let service =
        |units| Avp::of_group(code::MULTIPLE_SERVICES_CREDIT_CONTROL, &[requested(units)]);
    assert_eq!(
        serve(
            &mut credit,
            0,
            &event_ccr(0, 1).with_avp(service(3)).with_avp(service(4)),
            "s"
        )
        .units,
        7.0
    );
    // 1250 with exponent -2 is 12.50.
    let value = [
        Avp::of_u64(code::VALUE_DIGITS, 1_250),
        Avp::of_u32(code::EXPONENT, -2i32 as u32),
    ];
    let money = Avp::of_group(code::CC_MONEY, &[Avp::of_group(code::UNIT_VALUE, &value)]);
    let requested_money = Avp::of_group(code::REQUESTED_SERVICE_UNIT, &[money]);
    assert_eq!(
        serve(
            &mut credit,
            0,
            &event_ccr(0, 2).with_avp(requested_money),
            "s"
        )
        .units,
        12.5
    );
}

#[test]
fn missing_and_invalid_avps_are_rejected_with_their_result_codes() {
    let mut credit = CreditControl::new(mapping());
    let without = |code| {
        let mut ccr = event_ccr(0, 1);
        ccr.avps.retain(|a| a.code != code);
        ccr
    };
    for code in [
        code::SESSION_ID,
        code::ORIGIN_HOST,
        code::DESTINATION_REALM,
        code::CC_REQUEST_TYPE,
        code::CC_REQUEST_NUMBER,
        code::REQUESTED_ACTION,
        code::SUBSCRIPTION_ID,
    ] {
        assert_eq!(
            expect_rejected(&mut credit, &without(code)),
            result::MISSING_AVP,
            "{code}"
        );
    }
    assert_eq!(
        expect_rejected(&mut credit, &event_ccr(9, 1)),
        result::INVALID_AVP_VALUE
    );
    assert_eq!(
        expect_rejected(&mut credit, &ccr("s", 9, 0, 1)),
        result::INVALID_AVP_VALUE
    );
    assert_eq!(
        expect_rejected(&mut credit, &event_ccr(0, 1).with_avp(requested(101))),
        result::INVALID_AVP_VALUE
    );
    assert_eq!(
        expect_rejected(
            &mut credit,
            &ccr("s", 1, 0, 1).with_avp(subscription(0, "99999999999"))
        ),
        result::INVALID_AVP_VALUE
    );
    let mut strict = CreditControl::new(CreditControlConfig {
        default_plan: None,
        ..mapping()
    });
    assert_eq!(
        expect_rejected(
            &mut strict,
            &ccr("s", 1, 0, 1).with_avp(subscription(0, "4500000000"))
        ),
        result::USER_UNKNOWN
    );
    assert_eq!(strict.session_count(), 0);
}

#[test]
fn a_session_stays_with_the_server_that_opened_it_until_it_ends() {
    let mut credit = CreditControl::new(mapping());
    let first = serve(
        &mut credit,
        0,
        &ccr("a", 1, 0, 1).with_avp(subscription(0, "4512345678")),
        "s1",
    );
    assert_eq!((first.sticky_server, first.may_fail_over), (None, true));
    let update = serve(
        &mut credit,
        1,
        &ccr("a", 2, 1, 2).with_avp(requested(2)),
        "s1",
    );
    assert_eq!(
        (
            update.sticky_server.as_deref(),
            update.may_fail_over,
            update.plan.as_str()
        ),
        (Some("s1"), false, "stor")
    );
    let last = serve(&mut credit, 2, &ccr("a", 3, 2, 3), "s1");
    assert_eq!(
        (last.sticky_server.as_deref(), last.units),
        (Some("s1"), 0.0)
    );
    assert_eq!(credit.session_count(), 0);
    assert_eq!(
        expect_rejected(&mut credit, &ccr("a", 2, 3, 4)),
        result::UNKNOWN_SESSION_ID
    );
}

/// CC-Session-Failover states whether the servers support moving the session, and Credit-Control-Failure-Handling whether
/// the session continues if its server fails (RFC 8506 sections 5.7, 8.4 and 8.14). Without the AVPs, failover is not supported and the handling
/// is TERMINATE.
#[test]
fn a_session_may_fail_over_if_its_server_supports_it_and_failure_handling_allows_it() {
    let cases = [
        (None, None, false),
        (None, Some(1), false),
        (Some(0), Some(2), false),
        (Some(1), None, false),
        (Some(1), Some(0), false),
        (Some(1), Some(1), true),
        (Some(1), Some(2), true),
    ];
    for (n, (failover, handling, may_fail_over)) in cases.into_iter().enumerate() {
        let mut credit = CreditControl::new(mapping());
        let id = 10 * n as u32;
        let initial_request = ccr("a", 1, 0, id).with_avp(subscription(0, "4512345678"));
        let (key, _) = expect_submitted(&mut credit, 0, &initial_request);
        let with_u32 = |message: Message, code, value: Option<u32>| match value {
            Some(value) => message.with_avp(Avp::of_u32(code, value)),
            None => message,
        };
        let success = with_u32(
            answer(&initial_request, result::SUCCESS),
            code::CC_SESSION_FAILOVER,
            failover,
        );
        let success = with_u32(success, code::CREDIT_CONTROL_FAILURE_HANDLING, handling);
        credit.complete(0, &key, &initial_request, &success, Some("s1"));
        // Answers without these AVPs leave both settings unchanged. After a failover, the session stays with the new
        // server.
        let update = serve(&mut credit, 1, &ccr("a", 2, 1, id + 1), "s2");
        assert_eq!(
            (update.may_fail_over, update.sticky_server.as_deref()),
            (may_fail_over, Some("s1")),
            "{failover:?} {handling:?}"
        );
        let update = serve(&mut credit, 2, &ccr("a", 2, 2, id + 2), "s2");
        assert_eq!(
            (update.may_fail_over, update.sticky_server.as_deref()),
            (may_fail_over, Some("s2"))
        );
    }
}

/// A session keeps the plan that it was opened with when the mapping changes.
#[test]
fn a_changed_mapping_applies_to_events_and_new_sessions_only() {
    let mut credit = CreditControl::new(mapping());
    serve(
        &mut credit,
        0,
        &ccr("a", 1, 0, 1).with_avp(subscription(0, "4512345678")),
        "s1",
    );
    let mut other = mapping();
    other.plans.insert(known_customer(), "lille".into());
    other.max_sessions = 1;
    credit.set_mapping(other);
    assert_eq!(
        expect_submitted(&mut credit, 1, &event_ccr(2, 2)).1.plan,
        "lille"
    );
    assert_eq!(serve(&mut credit, 1, &ccr("a", 2, 1, 3), "s1").plan, "stor");
    let new_session_request = ccr("b", 1, 0, 4).with_avp(subscription(0, "4512345678"));
    assert_eq!(
        expect_rejected(&mut credit, &new_session_request),
        result::TOO_BUSY
    );
}

#[test]
fn sessions_of_a_restarted_server_are_unknown() {
    let mut credit = CreditControl::new(mapping());
    serve(
        &mut credit,
        0,
        &ccr("a", 1, 0, 1).with_avp(subscription(0, "1")),
        "s1",
    );
    serve(
        &mut credit,
        0,
        &ccr("b", 1, 0, 2).with_avp(subscription(0, "1")),
        "s2",
    );
    credit.remove_sessions_of("s1");
    assert_eq!(
        expect_rejected(&mut credit, &ccr("a", 2, 1, 3)),
        result::UNKNOWN_SESSION_ID
    );
    serve(&mut credit, 0, &ccr("b", 2, 1, 4), "s2");
}

#[test]
fn a_duplicate_joins_a_request_in_flight_or_gets_the_cached_answer() {
    let mut credit = CreditControl::new(mapping());
    let ccr = event_ccr(0, 1);
    let (key, _) = expect_submitted(&mut credit, 0, &ccr);
    let mut duplicate = ccr.clone();
    duplicate.header.flags |= flag::RETRANSMITTED;
    duplicate.header.hop_by_hop = 99;
    let joined = Disposition::Joined(key.clone());
    assert_eq!(credit.handle_ccr(1, &duplicate, 2), joined);
    let success = answer(&ccr, result::SUCCESS);
    assert_eq!(
        credit.complete(2, &key, &ccr, &success, Some("s")),
        [1, 2],
        "each waiting client gets the answer once"
    );
    assert_eq!(
        credit.handle_ccr(3, &duplicate, 3),
        Disposition::Answered(success)
    );
    assert!(
        credit
            .complete(4, &key, &ccr, &answer(&ccr, 5012), None)
            .is_empty(),
        "a late answer is dropped"
    );
    // Other clients may use the same identifiers.
    let mut other = ccr.clone();
    other.avps[1] = Avp::of_text(code::ORIGIN_HOST, "other.example.org");
    expect_submitted(&mut credit, 5, &other);
    // The cached answer expires.
    expect_submitted(&mut credit, 2 + 10 * SECOND_US, &duplicate);
}

/// A rejected request was not executed, so its retry is submitted again.
#[test]
fn a_rejection_is_not_cached_for_duplicates() {
    let mut credit = CreditControl::new(mapping());
    let ccr = event_ccr(0, 1);
    let (key, _) = expect_submitted(&mut credit, 0, &ccr);
    credit.complete(0, &key, &ccr, &answer(&ccr, result::TOO_BUSY), None);
    expect_submitted(&mut credit, 1, &ccr);
}

#[test]
fn a_request_is_cancelled_when_its_last_client_has_gone() {
    let mut credit = CreditControl::new(mapping());
    let ccr = event_ccr(0, 1);
    let (key, _) = expect_submitted(&mut credit, 0, &ccr);
    credit.handle_ccr(0, &ccr, 2);
    assert!(!credit.cancel_for_clients(&key, &ccr, |client| *client == 1));
    assert!(credit.cancel_for_clients(&key, &ccr, |client| *client == 2));
    assert!(credit
        .complete(1, &key, &ccr, &answer(&ccr, 2001), Some("s"))
        .is_empty());
}

#[test]
fn cached_answers_are_bounded_in_bytes_and_the_oldest_are_evicted() {
    let mut credit = CreditControl::new(mapping());
    let large_exchange = |n: u32| {
        let ccr = event_ccr(0, n);
        let answer = answer(&ccr, result::SUCCESS).with_avp(Avp::new(code::CLASS, vec![7; 4_000]));
        (ccr, answer)
    };
    for n in 1..=3 {
        let (ccr, answer) = large_exchange(n);
        let (key, _) = expect_submitted(&mut credit, 0, &ccr);
        credit.complete(0, &key, &ccr, &answer, Some("s"));
    }
    assert_eq!(
        credit.handle_ccr(1, &large_exchange(3).0, 1),
        Disposition::Answered(large_exchange(3).1)
    );
    assert_eq!(
        credit.handle_ccr(1, &large_exchange(2).0, 1),
        Disposition::Answered(large_exchange(2).1)
    );
    expect_submitted(&mut credit, 1, &large_exchange(1).0);
}

#[test]
fn sessions_and_requests_in_flight_are_bounded() {
    let mut credit = CreditControl::new(mapping());
    for n in 0..3 {
        serve(
            &mut credit,
            0,
            &ccr(&format!("s{n}"), 1, 0, n).with_avp(subscription(0, "1")),
            "s",
        );
    }
    let new_session_request = ccr("s9", 1, 0, 9).with_avp(subscription(0, "1"));
    assert_eq!(
        expect_rejected(&mut credit, &new_session_request),
        result::TOO_BUSY
    );
    // Expired sessions make room.
    expect_submitted(&mut credit, 61 * SECOND_US, &new_session_request);
    // No more than four requests may be in flight.
    for n in 20..23 {
        expect_submitted(&mut credit, 61 * SECOND_US, &event_ccr(2, n));
    }
    let Disposition::Rejected(fault) = credit.handle_ccr(61 * SECOND_US, &event_ccr(2, 24), 1)
    else {
        panic!("a fifth request in flight must be rejected")
    };
    assert_eq!(fault.result_code, result::TOO_BUSY);
}

#[test]
fn a_forwarded_request_keeps_its_avps_and_gets_a_route_record() {
    let ccr = event_ccr(0, 5).with_avp(Avp {
        code: 9_999,
        flags: 0x80,
        vendor: Some(7),
        data: vec![1, 2, 3].into(),
    });
    assert!(!has_loop(&ccr, "gw.example.org"));
    let forwarded = forwarded_request(&ccr, "GW.example.org", 1_234, true);
    assert!(has_loop(&forwarded, "gw.example.org"));
    assert_eq!(
        (forwarded.header.hop_by_hop, forwarded.header.end_to_end),
        (1_234, 5)
    );
    assert!(
        forwarded.header.has_any_flag(flag::RETRANSMITTED)
            && !forwarded_request(&ccr, "g", 1, false)
                .header
                .has_any_flag(flag::RETRANSMITTED)
    );
    assert_eq!(forwarded.avps[..ccr.avps.len()], ccr.avps[..]);
    let classify = |code| classify_answer(&answer(&ccr, code));
    assert_eq!(
        (classify(2001), classify(4012), classify(5030)),
        (AnswerClass::Final, AnswerClass::Final, AnswerClass::Final)
    );
    assert_eq!(
        (classify(3002), classify(3004), classify(5012)),
        (
            AnswerClass::Rejected,
            AnswerClass::Rejected,
            AnswerClass::Failed
        )
    );
}

/// Guards against a refusal of a request that was executed, while no new request is accepted.
#[test]
fn a_repeat_is_recognized_while_no_new_request_is_accepted() {
    let mut credit = CreditControl::new(mapping());
    let answered = event_ccr(0, 1);
    serve(&mut credit, 0, &answered, "s1");
    let in_flight = event_ccr(0, 2);
    let (key, _) = expect_submitted(&mut credit, 0, &in_flight);
    let cached = credit.handle_repeat(0, &answered, 2);
    assert!(
        matches!(&cached, Disposition::Answered(answer) if answer.result_code() == Some(result::SUCCESS)),
        "{cached:?}"
    );
    let joined = Disposition::Joined(key.clone());
    assert_eq!(credit.handle_repeat(0, &in_flight, 2), joined);
    let new = credit.handle_repeat(0, &event_ccr(0, 3), 2);
    assert_eq!(new, Disposition::Rejected(Fault::new(result::TOO_BUSY)));
    let answer = answer(&in_flight, result::SUCCESS);
    assert_eq!(
        credit.complete(0, &key, &in_flight, &answer, Some("s1")),
        [1, 2]
    );
    // The rejection left no trace: the request is accepted later.
    expect_submitted(&mut credit, 0, &event_ccr(0, 3));
}

/// Guards against a gateway that refuses all sessions because those whose clients left before a server had them keep their
/// places.
#[test]
fn a_session_whose_initial_request_is_cancelled_takes_no_place() {
    let mut credit = CreditControl::new(mapping());
    let initial = ccr("s", 1, 0, 1).with_avp(subscription(0, "1"));
    let (key, _) = expect_submitted(&mut credit, 0, &initial);
    assert!(credit.cancel_for_clients(&key, &initial, |client| *client == 1));
    assert_eq!(credit.session_count(), 0);
    // An open session stays when one of its later requests is cancelled.
    serve(&mut credit, 0, &initial, "server");
    let update = ccr("s", 2, 1, 2);
    let (key, _) = expect_submitted(&mut credit, 0, &update);
    assert!(credit.cancel_for_clients(&key, &update, |client| *client == 1));
    assert_eq!(credit.session_count(), 1);
}

/// Guards against a gateway that refuses all sessions because those that it refused keep their places.
#[test]
fn a_session_whose_initial_request_is_rejected_takes_no_place() {
    let mut credit = CreditControl::new(mapping());
    let initial = |n: u32| ccr(&format!("s{n}"), 1, 0, n).with_avp(subscription(0, "1"));
    for n in 0..10 {
        let (key, _) = expect_submitted(&mut credit, 0, &initial(n));
        let rejection = answer(&initial(n), result::TOO_BUSY);
        assert_eq!(credit.complete(0, &key, &initial(n), &rejection, None), [1]);
        assert_eq!(credit.session_count(), 0, "after {n} rejections");
    }
    // A request that was rejected may be sent again and opens its session.
    serve(&mut credit, 0, &initial(0), "s");
    // An open session stays when one of its later requests, or its repeated first one, is rejected.
    for request in [initial(20), ccr("s0", 2, 1, 21), ccr("s0", 1, 0, 22)] {
        let request = request.with_avp(subscription(0, "1"));
        let (key, _) = expect_submitted(&mut credit, 0, &request);
        let rejection = answer(&request, result::TOO_BUSY);
        credit.complete(0, &key, &request, &rejection, None);
        assert_eq!(credit.session_count(), 1);
    }
    // Where a server may have executed the request, the session keeps its place until it expires.
    let (key, _) = expect_submitted(&mut credit, 0, &initial(30));
    let failure = answer(&initial(30), result::UNABLE_TO_COMPLY);
    credit.complete(0, &key, &initial(30), &failure, None);
    assert_eq!(credit.session_count(), 2);
}
