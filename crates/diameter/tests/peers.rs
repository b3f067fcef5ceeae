//! Tests the peer state machine in virtual time, with two peers connected to each other and with peers that violate the
//! protocol.

use frosthatch_diameter::codec::{flag, Avp, Header, Message};
use frosthatch_diameter::dictionary::{application, code, command, result};
use frosthatch_diameter::peer::{DisconnectCause, Identity, Input, Output, Peer, Role};

const TW_US: u64 = 30_000_000;

fn identity(host: &str, state_id: u32) -> Identity {
    let address = "127.0.0.1".parse().expect("valid IP address");
    Identity {
        host: host.into(),
        realm: "example.org".into(),
        address,
        state_id,
    }
}

fn peer(host: &str, role: Role) -> Peer {
    Peer::new(identity(host, 5), role, TW_US, false, 9)
}

fn step(peer: &mut Peer, now_us: u64, input: Input) -> Vec<Output> {
    let mut out = Vec::new();
    peer.handle(now_us, input, &mut out);
    out
}

fn sent(out: &[Output]) -> Vec<Message> {
    out.iter()
        .filter_map(|o| match o {
            Output::Send(m) => Some(m.clone()),
            _ => None,
        })
        .collect()
}

/// Returns the gateway's answer to a request from its client.
fn answer_to(peer: &mut Peer, message: Message) -> Message {
    let out = step(peer, 1, Input::Message(message));
    sent(&out)
        .pop()
        .unwrap_or_else(|| panic!("no answer sent: {out:?}"))
}

/// Creates a client and a gateway that have exchanged capabilities with each other.
fn open_pair() -> (Peer, Peer) {
    let mut client = peer("client.example.org", Role::Server);
    let mut gateway = peer("gateway.example.org", Role::Client);
    assert!(step(&mut gateway, 0, Input::Connected).is_empty());
    let cer = sent(&step(&mut client, 0, Input::Connected))
        .pop()
        .expect("a CER is sent");
    let out = step(&mut gateway, 0, Input::Message(cer));
    let Output::Up(remote) = &out[1] else {
        panic!("second output is not Output::Up: {out:?}")
    };
    assert_eq!(
        (remote.host.as_str(), remote.state_id),
        ("client.example.org", Some(5))
    );
    let cea = sent(&out).pop().expect("a CEA is sent");
    assert_eq!(cea.result_code(), Some(result::SUCCESS));
    let out = step(&mut client, 0, Input::Message(cea));
    assert!(
        matches!(&out[..], [Output::Up(r)] if r.host == "gateway.example.org"),
        "{out:?}"
    );
    assert!(client.is_open() && gateway.is_open());
    (client, gateway)
}

fn ccr() -> Message {
    let flags = flag::REQUEST | flag::PROXIABLE;
    let header = Header {
        flags,
        command: command::CREDIT_CONTROL,
        application: 4,
        hop_by_hop: 77,
        end_to_end: 88,
    };
    Message::new(header)
        .with_avp(Avp::of_text(code::SESSION_ID, "c;1;2"))
        .with_avp(Avp::of_text(code::ORIGIN_HOST, "c"))
}

fn cer(change: impl FnOnce(&mut Message)) -> Message {
    let out = step(
        &mut peer("client.example.org", Role::Server),
        0,
        Input::Connected,
    );
    let mut cer = sent(&out).pop().expect("a CER is sent");
    change(&mut cer);
    cer
}

#[test]
fn capabilities_open_both_sides_for_requests() {
    let (_, mut gateway) = open_pair();
    assert_eq!(
        step(&mut gateway, 1, Input::Message(ccr())),
        [Output::Request(ccr())]
    );
    let mut answer = ccr();
    answer.header.flags = flag::PROXIABLE;
    assert_eq!(
        step(&mut gateway, 1, Input::Message(answer.clone())),
        [Output::Answer(answer)]
    );
}

#[test]
fn invalid_capabilities_are_answered_and_end_the_connection() {
    for (cer, code) in [
        (
            cer(|m| m.avps.retain(|a| a.code != code::ORIGIN_REALM)),
            result::MISSING_AVP,
        ),
        (
            cer(|m| m.avps.retain(|a| a.code != code::AUTH_APPLICATION_ID)),
            result::NO_COMMON_APPLICATION,
        ),
        (
            cer(|m| m.avps.push(Avp::new(9_999, vec![1]))),
            result::AVP_UNSUPPORTED,
        ),
    ] {
        let mut gateway = peer("gateway.example.org", Role::Client);
        step(&mut gateway, 0, Input::Connected);
        let out = step(&mut gateway, 0, Input::Message(cer));
        let cea = sent(&out).pop().expect("a CEA is sent");
        assert_eq!(cea.result_code(), Some(code));
        assert_eq!(
            cea.find(code::FAILED_AVP).is_some(),
            code >= 5_000 && code != result::NO_COMMON_APPLICATION
        );
        assert!(matches!(out.last(), Some(Output::Close(_))) && !gateway.is_open());
    }
}

#[test]
fn another_first_message_than_capabilities_ends_the_connection() {
    let mut gateway = peer("gateway.example.org", Role::Client);
    step(&mut gateway, 0, Input::Connected);
    assert!(matches!(
        &step(&mut gateway, 0, Input::Message(ccr()))[..],
        [Output::Close(_)]
    ));
}

/// Guards against a silent connection that occupies resources forever.
#[test]
fn a_connection_without_capabilities_times_out() {
    let mut gateway = peer("gateway.example.org", Role::Client);
    step(&mut gateway, 0, Input::Connected);
    let mut out = Vec::new();
    let due_us = gateway.due_us();
    gateway.handle_timeout(due_us, &mut out);
    assert!(matches!(&out[..], [Output::Close(_)]));
    assert_eq!(gateway.due_us(), u64::MAX);
}

#[test]
fn a_second_cer_is_rejected_and_the_connection_stays_open() {
    let (_, mut gateway) = open_pair();
    assert_eq!(
        answer_to(&mut gateway, cer(|_| {})).result_code(),
        Some(result::UNABLE_TO_COMPLY)
    );
    assert_eq!(
        step(&mut gateway, 1, Input::Message(ccr())),
        [Output::Request(ccr())]
    );
}

#[test]
fn watchdog_requests_are_answered_and_a_silent_peer_fails_over_and_is_closed() {
    let (mut client, mut gateway) = open_pair();
    let mut out = Vec::new();
    client.handle_timeout(client.due_us(), &mut out);
    let dwr = sent(&out).pop().expect("a DWR is sent");
    assert_eq!(
        (dwr.header.command, dwr.u32_value(code::ORIGIN_STATE_ID)),
        (command::DEVICE_WATCHDOG, Some(5))
    );
    assert_eq!(
        answer_to(&mut gateway, dwr).result_code(),
        Some(result::SUCCESS)
    );
    // The gateway's answer is not delivered to the client, which therefore sees a silent peer.
    let mut out = Vec::new();
    client.handle_timeout(client.due_us(), &mut out);
    assert_eq!(out, [Output::Failover]);
    out.clear();
    client.handle_timeout(client.due_us(), &mut out);
    assert!(matches!(&out[..], [Output::Close(_)]));
}

#[test]
fn unknown_commands_applications_and_avps_get_their_result_codes() {
    let (_, mut gateway) = open_pair();
    let mut unknown = ccr();
    unknown.header.command = 999;
    let answer = answer_to(&mut gateway, unknown.clone());
    assert_eq!(
        (
            answer.result_code(),
            answer.header.has_any_flag(flag::ERROR)
        ),
        (Some(result::APPLICATION_UNSUPPORTED), true)
    );
    unknown.header.application = application::COMMON;
    assert_eq!(
        answer_to(&mut gateway, unknown).result_code(),
        Some(result::COMMAND_UNSUPPORTED)
    );
    let answer = answer_to(&mut gateway, ccr().with_avp(Avp::new(9_999, vec![1])));
    let failed = answer
        .find(code::FAILED_AVP)
        .expect("answer contains a Failed-AVP")
        .group()
        .expect("Failed-AVP is a valid group");
    assert_eq!(
        (answer.result_code(), failed[0].code),
        (Some(result::AVP_UNSUPPORTED), 9_999)
    );
    assert_eq!(
        (answer.header.hop_by_hop, answer.header.end_to_end),
        (77, 88)
    );
    assert_eq!(answer.avps[0].code, code::SESSION_ID);
}

#[test]
fn a_disconnect_request_contains_a_cause_and_the_answer_closes_the_connection() {
    let (mut client, mut gateway) = open_pair();
    let dpr = sent(&step(
        &mut gateway,
        1,
        Input::Disconnect(DisconnectCause::Rebooting),
    ))
    .pop()
    .expect("a DPR is sent");
    assert_eq!(dpr.u32_value(code::DISCONNECT_CAUSE), Some(0));
    // A request that crosses the disconnect request is left to the owner, which knows whether it repeats an executed one
    // and otherwise rejects it (`front/tests.rs`).
    let crossing = step(&mut gateway, 1, Input::Message(ccr()));
    assert!(
        gateway.is_closing() && matches!(&crossing[..], [Output::Request(_)]),
        "{crossing:?}"
    );
    let out = step(&mut client, 1, Input::Message(dpr));
    assert!(out.contains(&Output::PeerClosing) && !client.is_open());
    let dpa = sent(&out).pop().expect("a DPA is sent");
    assert!(matches!(
        &step(&mut gateway, 1, Input::Message(dpa))[..],
        [Output::Close(_)]
    ));
}

#[test]
fn crossing_disconnect_requests_close_both_sides() {
    let (mut client, mut gateway) = open_pair();
    let client_dpr = sent(&step(
        &mut client,
        1,
        Input::Disconnect(DisconnectCause::Busy),
    ))
    .pop()
    .expect("a DPR is sent");
    let gateway_dpr = sent(&step(
        &mut gateway,
        1,
        Input::Disconnect(DisconnectCause::Rebooting),
    ))
    .pop()
    .expect("a DPR is sent");
    for (peer, dpr) in [(&mut client, gateway_dpr), (&mut gateway, client_dpr)] {
        let out = step(peer, 2, Input::Message(dpr));
        assert!(
            matches!(&out[..], [Output::Send(_), Output::Close(_)]),
            "{out:?}"
        );
    }
}

#[test]
fn a_server_that_rejects_the_capabilities_is_disconnected() {
    let mut gateway = peer("gateway.example.org", Role::Server);
    let cer = sent(&step(&mut gateway, 0, Input::Connected))
        .pop()
        .expect("a CER is sent");
    let mut server = peer("server.example.org", Role::Client);
    step(&mut server, 0, Input::Connected);
    let cea = server.answer(&cer, result::UNKNOWN_PEER);
    let out = step(&mut gateway, 0, Input::Message(cea));
    assert!(
        matches!(&out[..], [Output::Close(reason)] if reason.to_string().contains("3010")),
        "{out:?}"
    );
}
