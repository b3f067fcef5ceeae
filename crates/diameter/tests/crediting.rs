//! What credit-control requests ask, sessions and repeats, in virtual time.

use frosthatch_diameter::codec::{flag, Avp, Header, Message};
use frosthatch_diameter::credit::{
    classify_answer, forwarded_request, has_loop, AnswerClass, CreditControl, CreditRequest,
    Disposition, Mapping, RequestKey,
};
use frosthatch_diameter::dictionary::{code, command, result};
use std::collections::BTreeMap;

const SECOND: u64 = 1_000_000;

fn mapping() -> Mapping {
    Mapping {
        check: "balance-check".into(),
        charge: "top-up".into(),
        plans: BTreeMap::from([(4_512_345_678, "stor".into())]),
        otherwise: Some("lille".into()),
        most_units: 100.0,
        session_us: 60 * SECOND,
        repeats_us: 10 * SECOND,
        most_sessions: 3,
        most_repeats: 4,
        repeat_bytes: 10_000,
    }
}

fn subscription(kind: u32, data: &str) -> Avp {
    let group = [
        Avp::of_u32(code::SUBSCRIPTION_ID_TYPE, kind),
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

/// A request of that type in a session, without a subscription.
fn bare(session: &str, kind: u32, number: u32, end_to_end: u32) -> Message {
    let flags = flag::REQUEST | flag::PROXIABLE;
    let header = Header {
        flags,
        command: command::CREDIT_CONTROL,
        application: 4,
        hop_by_hop: 1,
        end_to_end,
    };
    Message::new(header)
        .with(Avp::of_text(code::SESSION_ID, session))
        .with(Avp::of_text(code::ORIGIN_HOST, "Client.example.org"))
        .with(Avp::of_text(code::ORIGIN_REALM, "example.org"))
        .with(Avp::of_text(code::DESTINATION_REALM, "example.org"))
        .with(Avp::of_u32(code::AUTH_APPLICATION_ID, 4))
        .with(Avp::of_text(code::SERVICE_CONTEXT_ID, "topup@example.org"))
        .with(Avp::of_u32(code::CC_REQUEST_TYPE, kind))
        .with(Avp::of_u32(code::CC_REQUEST_NUMBER, number))
}

fn event(action: u32, end_to_end: u32) -> Message {
    bare("e;1", 4, 0, end_to_end)
        .with(Avp::of_u32(code::REQUESTED_ACTION, action))
        .with(subscription(0, "4512345678"))
}

fn answer(to: &Message, result: u32) -> Message {
    to.answer().with(Avp::of_u32(code::RESULT_CODE, result))
}

fn ask(credit: &mut CreditControl<u32>, now: u64, ccr: &Message) -> (RequestKey, CreditRequest) {
    match credit.accept(now, ccr, 1) {
        Disposition::Submit(key, request) => (key, request),
        other => panic!("{other:?}"),
    }
}

fn faulty(credit: &mut CreditControl<u32>, ccr: &Message) -> u32 {
    match credit.accept(0, ccr, 1) {
        Disposition::Rejected(fault) => fault.result_code,
        other => panic!("{other:?}"),
    }
}

/// Takes a request and answers it with success from a server.
fn served(credit: &mut CreditControl<u32>, now: u64, ccr: &Message, server: &str) -> CreditRequest {
    let (key, ask) = ask(credit, now, ccr);
    assert_eq!(
        credit.complete(now, &key, ccr, &answer(ccr, result::SUCCESS), Some(server)),
        [1]
    );
    ask
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
        let ask = served(
            &mut credit,
            0,
            &event(action, action).with(requested(7)),
            "s1",
        );
        assert_eq!(
            (ask.class.as_str(), ask.plan.as_str(), ask.units),
            (class, "stor", 7.0)
        );
        // The customer's key over HTTP: one quota for both.
        assert_eq!(ask.customer, "000000010cf4ee4e");
        assert_eq!(u64::from_str_radix(&ask.customer, 16), Ok(4_512_345_678));
    }
    let other = bare("e;2", 4, 0, 9)
        .with(Avp::of_u32(code::REQUESTED_ACTION, 2))
        .with(subscription(4, "0000000000000abc"));
    let ask = served(&mut credit, 0, &other, "s1");
    assert_eq!(
        (ask.customer.as_str(), ask.plan.as_str(), ask.units),
        ("0000000000000abc", "lille", 1.0)
    );
}

#[test]
fn the_units_of_all_services_are_added_and_money_counts_whole() {
    let mut credit = CreditControl::new(mapping());
    let service =
        |units| Avp::of_group(code::MULTIPLE_SERVICES_CREDIT_CONTROL, &[requested(units)]);
    assert_eq!(
        served(
            &mut credit,
            0,
            &event(0, 1).with(service(3)).with(service(4)),
            "s"
        )
        .units,
        7.0
    );
    // 1250 with exponent -2: 12.50.
    let value = [
        Avp::of_u64(code::VALUE_DIGITS, 1_250),
        Avp::of_u32(code::EXPONENT, -2i32 as u32),
    ];
    let money = Avp::of_group(code::CC_MONEY, &[Avp::of_group(code::UNIT_VALUE, &value)]);
    let asked = Avp::of_group(code::REQUESTED_SERVICE_UNIT, &[money]);
    assert_eq!(
        served(&mut credit, 0, &event(0, 2).with(asked), "s").units,
        12.5
    );
}

#[test]
fn what_is_missing_or_makes_no_sense_is_told_by_its_code() {
    let mut credit = CreditControl::new(mapping());
    let without = |code| {
        let mut ccr = event(0, 1);
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
            faulty(&mut credit, &without(code)),
            result::MISSING_AVP,
            "{code}"
        );
    }
    assert_eq!(faulty(&mut credit, &event(9, 1)), result::INVALID_AVP_VALUE);
    assert_eq!(
        faulty(&mut credit, &bare("s", 9, 0, 1)),
        result::INVALID_AVP_VALUE
    );
    assert_eq!(
        faulty(&mut credit, &event(0, 1).with(requested(101))),
        result::INVALID_AVP_VALUE
    );
    assert_eq!(
        faulty(
            &mut credit,
            &bare("s", 1, 0, 1).with(subscription(0, "99999999999"))
        ),
        result::INVALID_AVP_VALUE
    );
    let mut strict = CreditControl::new(Mapping {
        otherwise: None,
        ..mapping()
    });
    assert_eq!(
        faulty(
            &mut strict,
            &bare("s", 1, 0, 1).with(subscription(0, "4500000000"))
        ),
        result::USER_UNKNOWN
    );
    assert_eq!(strict.session_count(), 0);
}

#[test]
fn a_session_stays_with_the_server_that_opened_it_until_it_ends() {
    let mut credit = CreditControl::new(mapping());
    let first = served(
        &mut credit,
        0,
        &bare("a", 1, 0, 1).with(subscription(0, "4512345678")),
        "s1",
    );
    assert_eq!((first.sticky_server, first.may_fail_over), (None, true));
    let update = served(&mut credit, 1, &bare("a", 2, 1, 2).with(requested(2)), "s1");
    assert_eq!(
        (
            update.sticky_server.as_deref(),
            update.may_fail_over,
            update.plan.as_str()
        ),
        (Some("s1"), false, "stor")
    );
    let last = served(&mut credit, 2, &bare("a", 3, 2, 3), "s1");
    assert_eq!(
        (last.sticky_server.as_deref(), last.units),
        (Some("s1"), 0.0)
    );
    assert_eq!(credit.session_count(), 0);
    assert_eq!(
        faulty(&mut credit, &bare("a", 2, 3, 4)),
        result::UNKNOWN_SESSION_ID
    );
}

/// CC-Session-Failover says whether the session can move, Credit-Control-Failure-Handling whether it is to (RFC 8506
/// sections 5.7, 8.4 and 8.14; without either AVP: not supported, TERMINATE).
#[test]
fn a_session_moves_where_its_server_supports_it_and_failure_handling_retries() {
    let cases = [
        (None, None, false),
        (None, Some(1), false),
        (Some(0), Some(2), false),
        (Some(1), None, false),
        (Some(1), Some(0), false),
        (Some(1), Some(1), true),
        (Some(1), Some(2), true),
    ];
    for (n, (failover, handling, moves)) in cases.into_iter().enumerate() {
        let (mut credit, id) = (CreditControl::new(mapping()), 10 * n as u32);
        let open = bare("a", 1, 0, id).with(subscription(0, "4512345678"));
        let (key, _) = ask(&mut credit, 0, &open);
        let with = |message: Message, code, value: Option<u32>| match value {
            Some(value) => message.with(Avp::of_u32(code, value)),
            None => message,
        };
        let good = with(
            answer(&open, result::SUCCESS),
            code::CC_SESSION_FAILOVER,
            failover,
        );
        let good = with(good, code::CREDIT_CONTROL_FAILURE_HANDLING, handling);
        credit.complete(0, &key, &open, &good, Some("s1"));
        // Answers without either leave both as they were; where it moved it stays.
        let update = served(&mut credit, 1, &bare("a", 2, 1, id + 1), "s2");
        assert_eq!(
            (update.may_fail_over, update.sticky_server.as_deref()),
            (moves, Some("s1")),
            "{failover:?} {handling:?}"
        );
        let update = served(&mut credit, 2, &bare("a", 2, 2, id + 2), "s2");
        assert_eq!(
            (update.may_fail_over, update.sticky_server.as_deref()),
            (moves, Some("s2"))
        );
    }
}

/// A new file's mapping is for what comes from now on: a session keeps the plan that it was opened with.
#[test]
fn another_mapping_is_for_new_requests() {
    let mut credit = CreditControl::new(mapping());
    served(
        &mut credit,
        0,
        &bare("a", 1, 0, 1).with(subscription(0, "4512345678")),
        "s1",
    );
    let mut other = mapping();
    other.plans.insert(4_512_345_678, "lille".into());
    other.most_sessions = 1;
    credit.set_mapping(other);
    assert_eq!(ask(&mut credit, 1, &event(2, 2)).1.plan, "lille");
    assert_eq!(
        served(&mut credit, 1, &bare("a", 2, 1, 3), "s1").plan,
        "stor"
    );
    let more = bare("b", 1, 0, 4).with(subscription(0, "4512345678"));
    assert_eq!(faulty(&mut credit, &more), result::TOO_BUSY);
}

#[test]
fn a_server_that_restarted_has_lost_its_sessions() {
    let mut credit = CreditControl::new(mapping());
    served(
        &mut credit,
        0,
        &bare("a", 1, 0, 1).with(subscription(0, "1")),
        "s1",
    );
    served(
        &mut credit,
        0,
        &bare("b", 1, 0, 2).with(subscription(0, "1")),
        "s2",
    );
    credit.remove_sessions_of("s1");
    assert_eq!(
        faulty(&mut credit, &bare("a", 2, 1, 3)),
        result::UNKNOWN_SESSION_ID
    );
    served(&mut credit, 0, &bare("b", 2, 1, 4), "s2");
}

#[test]
fn a_repeat_joins_what_is_out_and_gets_what_was_answered() {
    let mut credit = CreditControl::new(mapping());
    let ccr = event(0, 1);
    let (key, _) = ask(&mut credit, 0, &ccr);
    let mut again = ccr.clone();
    (again.header.flags, again.header.hop_by_hop) = (again.header.flags | flag::RETRANSMITTED, 99);
    assert_eq!(credit.accept(1, &again, 2), Disposition::Joined);
    let good = answer(&ccr, result::SUCCESS);
    assert_eq!(
        credit.complete(2, &key, &ccr, &good, Some("s")),
        [1, 2],
        "one answer to each"
    );
    assert_eq!(credit.accept(3, &again, 3), Disposition::Answered(good));
    assert!(
        credit
            .complete(4, &key, &ccr, &answer(&ccr, 5012), None)
            .is_empty(),
        "a late one is dropped"
    );
    // Other clients may use the same ids.
    let mut other = ccr.clone();
    other.avps[1] = Avp::of_text(code::ORIGIN_HOST, "other.example.org");
    ask(&mut credit, 5, &other);
    // In time it is forgotten.
    ask(&mut credit, 2 + 10 * SECOND, &again);
}

/// A refusal ran nowhere: asked again, it is asked again.
#[test]
fn a_refusal_is_not_kept_for_repeats() {
    let mut credit = CreditControl::new(mapping());
    let ccr = event(0, 1);
    let (key, _) = ask(&mut credit, 0, &ccr);
    credit.complete(0, &key, &ccr, &answer(&ccr, result::TOO_BUSY), None);
    ask(&mut credit, 1, &ccr);
}

#[test]
fn a_request_whose_clients_have_all_gone_is_waited_for_by_nobody() {
    let mut credit = CreditControl::new(mapping());
    let ccr = event(0, 1);
    let (key, _) = ask(&mut credit, 0, &ccr);
    credit.accept(0, &ccr, 2);
    assert!(!credit.cancel_for_clients(&key, |client| *client == 1));
    assert!(credit.cancel_for_clients(&key, |client| *client == 2));
    assert!(credit
        .complete(1, &key, &ccr, &answer(&ccr, 2001), Some("s"))
        .is_empty());
}

#[test]
fn kept_answers_are_bounded_in_bytes_and_the_newest_stay() {
    let mut credit = CreditControl::new(mapping());
    let long = |n: u32| {
        let ccr = event(0, n);
        let answer = answer(&ccr, result::SUCCESS).with(Avp::new(code::CLASS, vec![7; 4_000]));
        (ccr, answer)
    };
    for n in 1..=3 {
        let (ccr, answer) = long(n);
        let (key, _) = ask(&mut credit, 0, &ccr);
        credit.complete(0, &key, &ccr, &answer, Some("s"));
    }
    assert_eq!(
        credit.accept(1, &long(3).0, 1),
        Disposition::Answered(long(3).1)
    );
    assert_eq!(
        credit.accept(1, &long(2).0, 1),
        Disposition::Answered(long(2).1)
    );
    ask(&mut credit, 1, &long(1).0);
}

#[test]
fn sessions_and_repeats_are_bounded() {
    let mut credit = CreditControl::new(mapping());
    for n in 0..3 {
        served(
            &mut credit,
            0,
            &bare(&format!("s{n}"), 1, 0, n).with(subscription(0, "1")),
            "s",
        );
    }
    let more = bare("s9", 1, 0, 9).with(subscription(0, "1"));
    assert_eq!(faulty(&mut credit, &more), result::TOO_BUSY);
    // Those that fell silent make room.
    ask(&mut credit, 61 * SECOND, &more);
    // Four that are out are all there may be.
    for n in 20..23 {
        ask(&mut credit, 61 * SECOND, &event(2, n));
    }
    let Disposition::Rejected(fault) = credit.accept(61 * SECOND, &event(2, 24), 1) else {
        panic!("too many")
    };
    assert_eq!(fault.result_code, result::TOO_BUSY);
}

#[test]
fn a_request_on_its_way_keeps_all_it_had_and_says_where_it_was() {
    let ccr = event(0, 5).with(Avp {
        code: 9_999,
        flags: 0x80,
        vendor: Some(7),
        data: vec![1, 2, 3].into(),
    });
    assert!(!has_loop(&ccr, "gw.example.org"));
    let on = forwarded_request(&ccr, "GW.example.org", 1_234, true);
    assert!(has_loop(&on, "gw.example.org"));
    assert_eq!((on.header.hop_by_hop, on.header.end_to_end), (1_234, 5));
    assert!(
        on.header.has(flag::RETRANSMITTED)
            && !forwarded_request(&ccr, "g", 1, false)
                .header
                .has(flag::RETRANSMITTED)
    );
    assert_eq!(on.avps[..ccr.avps.len()], ccr.avps[..]);
    let says = |code| classify_answer(&answer(&ccr, code));
    assert_eq!(
        (says(2001), says(4012), says(5030)),
        (AnswerClass::Final, AnswerClass::Final, AnswerClass::Final)
    );
    assert_eq!(
        (says(3002), says(3004), says(5012)),
        (
            AnswerClass::Rejected,
            AnswerClass::Rejected,
            AnswerClass::Failed
        )
    );
}
