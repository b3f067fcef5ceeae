//! Tests of the push session's state machine.

use super::{PushSession, SessionEvent, RESPONSE_TIMEOUT_US};
use crate::dnssd::wire::{Name, HEADER_BYTES};
use std::time::Duration;

fn opened_session() -> (PushSession, Vec<SessionEvent>) {
    let mut session = PushSession::new(&["_t._tcp.example.org".into()], Duration::from_secs(1));
    let mut events = Vec::new();
    session.handle_opened(0, &mut events);
    (session, events)
}

fn response(id: u16, code: u8) -> Vec<u8> {
    let mut message = vec![0; HEADER_BYTES];
    message[..2].copy_from_slice(&id.to_be_bytes());
    message[2] = 0x80 | 6 << 3;
    message[3] = code;
    message
}

#[test]
fn a_session_is_established_once_every_service_is_granted() {
    let (mut session, events) = opened_session();
    assert!(matches!(&events[..], [SessionEvent::Write(_)]) && !session.is_established());
    let mut events = Vec::new();
    session.handle_message(1, &response(1, 0), &mut events);
    assert_eq!(events, [SessionEvent::Established]);
    let name: Name = "a._t._tcp.example.org".into();
    session.subscribe(2, &name, &mut events);
    assert!(!session.covers(&name));
    session.handle_message(3, &response(2, 0), &mut events);
    assert!(session.covers(&name));
}

#[test]
fn a_refusal_an_unexpected_response_an_invalid_message_or_no_response_ends_the_session() {
    for (bytes, reason) in [
        (Some(response(1, 5)), "refused, code 5"),
        (Some(response(9, 0)), "response to an unknown request"),
        (Some(vec![1, 2, 3]), "invalid message"),
        (None, "no response"),
    ] {
        let (mut session, mut events) = opened_session();
        events.clear();
        match &bytes {
            Some(bytes) => session.handle_message(1, bytes, &mut events),
            None => session.handle_timer(RESPONSE_TIMEOUT_US, &mut events),
        }
        let [SessionEvent::Ended(text)] = &events[..] else {
            panic!("the session ends with one event: {events:?}")
        };
        assert!(
            text.contains(reason),
            "the reason {text:?} does not contain {reason:?}"
        );
        assert!(session.reconnect_at_us() > 0 && session.next_wakeup_us().is_none());
    }
}

/// A server that stops without closing the connection does not respond to keepalives.
#[test]
fn a_session_without_a_keepalive_response_ends() {
    let (mut session, mut events) = opened_session();
    session.handle_message(1, &response(1, 0), &mut events);
    events.clear();
    session.handle_timer(1_000_000, &mut events);
    assert!(matches!(&events[..], [SessionEvent::Write(_)]));
    session.handle_timer(1_000_000 + RESPONSE_TIMEOUT_US, &mut events);
    assert!(
        matches!(&events[1..], [SessionEvent::Ended(_)]),
        "the session did not end: {events:?}"
    );
}
