//! Two peers face to face in virtual time, and peers that misbehave.

use frosthatch_diameter::codec::{flag, Avp, Header, Message};
use frosthatch_diameter::dictionary::{application, code, command, result};
use frosthatch_diameter::peer::{DisconnectCause, Identity, Input, Output, Peer, Role};

const TW: u64 = 30_000_000;

fn identity(host: &str, state_id: u32) -> Identity {
    let address = "127.0.0.1".parse().expect("an address");
    Identity {
        host: host.into(),
        realm: "example.org".into(),
        address,
        state_id,
    }
}

fn peer(host: &str, role: Role) -> Peer {
    Peer::new(identity(host, 5), role, TW, false, 9)
}

fn step(peer: &mut Peer, now: u64, input: Input) -> Vec<Output> {
    let mut out = Vec::new();
    peer.handle(now, input, &mut out);
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

/// What the gateway answers to a request of its client.
fn asked(peer: &mut Peer, message: Message) -> Message {
    let out = step(peer, 1, Input::Message(message));
    sent(&out)
        .pop()
        .unwrap_or_else(|| panic!("no answer: {out:?}"))
}

/// A client's and a server's side, both open.
fn pair() -> (Peer, Peer) {
    let (mut a, mut b) = (
        peer("client.example.org", Role::Server),
        peer("gateway.example.org", Role::Client),
    );
    assert!(step(&mut b, 0, Input::Connected).is_empty());
    let cer = sent(&step(&mut a, 0, Input::Connected))
        .pop()
        .expect("a CER");
    let out = step(&mut b, 0, Input::Message(cer));
    let Output::Up(remote) = &out[1] else {
        panic!("{out:?}")
    };
    assert_eq!(
        (remote.host.as_str(), remote.state_id),
        ("client.example.org", Some(5))
    );
    let cea = sent(&out).pop().expect("a CEA");
    assert_eq!(cea.result(), Some(result::SUCCESS));
    let out = step(&mut a, 0, Input::Message(cea));
    assert!(
        matches!(&out[..], [Output::Up(r)] if r.host == "gateway.example.org"),
        "{out:?}"
    );
    assert!(a.is_open() && b.is_open());
    (a, b)
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
        .with(Avp::of_text(code::SESSION_ID, "c;1;2"))
        .with(Avp::of_text(code::ORIGIN_HOST, "c"))
}

fn cer(change: impl FnOnce(&mut Message)) -> Message {
    let out = step(
        &mut peer("client.example.org", Role::Server),
        0,
        Input::Connected,
    );
    let mut cer = sent(&out).pop().expect("a CER");
    change(&mut cer);
    cer
}

#[test]
fn capabilities_bring_both_sides_up_and_requests_through() {
    let (_, mut b) = pair();
    assert_eq!(
        step(&mut b, 1, Input::Message(ccr())),
        [Output::Request(ccr())]
    );
    let mut answer = ccr();
    answer.header.flags = flag::PROXIABLE;
    assert_eq!(
        step(&mut b, 1, Input::Message(answer.clone())),
        [Output::Answer(answer)]
    );
}

#[test]
fn capabilities_that_are_not_in_order_are_answered_and_the_end() {
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
        let mut b = peer("gateway.example.org", Role::Client);
        step(&mut b, 0, Input::Connected);
        let out = step(&mut b, 0, Input::Message(cer));
        let cea = sent(&out).pop().expect("a CEA");
        assert_eq!(cea.result(), Some(code));
        assert_eq!(
            cea.find(code::FAILED_AVP).is_some(),
            code >= 5_000 && code != result::NO_COMMON_APPLICATION
        );
        assert!(matches!(out.last(), Some(Output::Close(_))) && !b.is_open());
    }
}

#[test]
fn something_else_than_capabilities_first_ends_the_connection() {
    let mut b = peer("gateway.example.org", Role::Client);
    step(&mut b, 0, Input::Connected);
    assert!(matches!(
        &step(&mut b, 0, Input::Message(ccr()))[..],
        [Output::Close(_)]
    ));
}

/// A connection that says nothing is not held for good.
#[test]
fn capabilities_that_never_come_end_the_connection() {
    let mut b = peer("gateway.example.org", Role::Client);
    step(&mut b, 0, Input::Connected);
    let (mut out, due) = (Vec::new(), b.due_us());
    b.handle_timeout(due, &mut out);
    assert!(matches!(&out[..], [Output::Close(_)]));
    assert_eq!(b.due_us(), u64::MAX);
}

#[test]
fn a_second_cer_is_turned_down_and_the_connection_goes_on() {
    let (_, mut b) = pair();
    assert_eq!(
        asked(&mut b, cer(|_| {})).result(),
        Some(result::UNABLE_TO_COMPLY)
    );
    assert_eq!(
        step(&mut b, 1, Input::Message(ccr())),
        [Output::Request(ccr())]
    );
}

#[test]
fn watchdogs_are_answered_and_asked_and_a_silent_peer_fails_over_and_goes() {
    let (mut a, mut b) = pair();
    let mut out = Vec::new();
    a.handle_timeout(a.due_us(), &mut out);
    let dwr = sent(&out).pop().expect("a DWR");
    assert_eq!(
        (dwr.header.command, dwr.number(code::ORIGIN_STATE_ID)),
        (command::DEVICE_WATCHDOG, Some(5))
    );
    assert_eq!(asked(&mut b, dwr).result(), Some(result::SUCCESS));
    // No answer comes back to a.
    let mut out = Vec::new();
    a.handle_timeout(a.due_us(), &mut out);
    assert_eq!(out, [Output::Failover]);
    out.clear();
    a.handle_timeout(a.due_us(), &mut out);
    assert!(matches!(&out[..], [Output::Close(_)]));
}

#[test]
fn unknown_commands_applications_and_avps_are_told_as_the_rfc_says() {
    let (_, mut b) = pair();
    let mut unknown = ccr();
    unknown.header.command = 999;
    let answer = asked(&mut b, unknown.clone());
    assert_eq!(
        (answer.result(), answer.header.has(flag::ERROR)),
        (Some(result::APPLICATION_UNSUPPORTED), true)
    );
    unknown.header.application = application::COMMON;
    assert_eq!(
        asked(&mut b, unknown).result(),
        Some(result::COMMAND_UNSUPPORTED)
    );
    let answer = asked(&mut b, ccr().with(Avp::new(9_999, vec![1])));
    let failed = answer
        .find(code::FAILED_AVP)
        .expect("a Failed-AVP")
        .group()
        .expect("a group");
    assert_eq!(
        (answer.result(), failed[0].code),
        (Some(result::AVP_UNSUPPORTED), 9_999)
    );
    assert_eq!(
        (answer.header.hop_by_hop, answer.header.end_to_end),
        (77, 88)
    );
    assert_eq!(answer.avps[0].code, code::SESSION_ID);
}

#[test]
fn goodbye_carries_its_cause_and_ends_with_its_answer() {
    let (mut a, mut b) = pair();
    let dpr = sent(&step(
        &mut b,
        1,
        Input::Disconnect(DisconnectCause::Rebooting),
    ))
    .pop()
    .expect("a DPR");
    assert_eq!(dpr.number(code::DISCONNECT_CAUSE), Some(0));
    // A request that crosses it was not taken, and says so.
    assert_eq!(asked(&mut b, ccr()).result(), Some(result::TOO_BUSY));
    let out = step(&mut a, 1, Input::Message(dpr));
    assert!(out.contains(&Output::PeerClosing) && !a.is_open());
    let dpa = sent(&out).pop().expect("a DPA");
    assert!(matches!(
        &step(&mut b, 1, Input::Message(dpa))[..],
        [Output::Close(_)]
    ));
}

#[test]
fn goodbyes_that_cross_end_both_sides() {
    let (mut a, mut b) = pair();
    let from_a = sent(&step(&mut a, 1, Input::Disconnect(DisconnectCause::Busy)))
        .pop()
        .expect("a DPR");
    let from_b = sent(&step(
        &mut b,
        1,
        Input::Disconnect(DisconnectCause::Rebooting),
    ))
    .pop()
    .expect("a DPR");
    for (peer, dpr) in [(&mut a, from_b), (&mut b, from_a)] {
        let out = step(peer, 2, Input::Message(dpr));
        assert!(
            matches!(&out[..], [Output::Send(_), Output::Close(_)]),
            "{out:?}"
        );
    }
}

#[test]
fn a_server_that_refuses_is_left() {
    let mut a = peer("gateway.example.org", Role::Server);
    let cer = sent(&step(&mut a, 0, Input::Connected))
        .pop()
        .expect("a CER");
    let mut server = peer("server.example.org", Role::Client);
    step(&mut server, 0, Input::Connected);
    let cea = server.answer(&cer, result::UNKNOWN_PEER);
    let out = step(&mut a, 0, Input::Message(cea));
    assert!(
        matches!(&out[..], [Output::Close(why)] if why.to_string().contains("3010")),
        "{out:?}"
    );
}
