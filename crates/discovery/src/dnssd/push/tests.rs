use super::{Heard, Session, RESPONSE_US};
use crate::dnssd::wire::{self, Name};
use std::time::Duration;

fn session() -> (Session, Vec<Heard>) {
    let mut s = Session::new(&["_t._tcp.example.org".into()], Duration::from_secs(1));
    let mut heard = Vec::new();
    s.opened(0, &mut heard);
    (s, heard)
}

fn response(id: u16, code: u8) -> Vec<u8> {
    let mut m = vec![0; wire::HEADER];
    m[..2].copy_from_slice(&id.to_be_bytes());
    (m[2], m[3]) = (0x80 | 6 << 3, code);
    m
}

#[test]
fn it_is_in_force_once_every_service_is_granted() {
    let (mut s, heard) = session();
    assert!(matches!(&heard[..], [Heard::Write(_)]) && !s.in_force());
    let mut heard = Vec::new();
    s.message(1, &response(1, 0), &mut heard);
    assert_eq!(heard, [Heard::InForce]);
    let name: Name = "a._t._tcp.example.org".into();
    s.watch(2, &name, &mut heard);
    assert!(!s.covers(&name));
    s.message(3, &response(2, 0), &mut heard);
    assert!(s.covers(&name));
}

#[test]
fn refusal_silence_nonsense_and_answers_to_nothing_end_it() {
    for (bytes, why) in [
        (Some(response(1, 5)), "refused, code 5"),
        (Some(response(9, 0)), "response to nothing"),
        (Some(vec![1, 2, 3]), "no sense"),
        (None, "silent"),
    ] {
        let (mut s, mut heard) = session();
        heard.clear();
        match &bytes {
            Some(bytes) => s.message(1, bytes, &mut heard),
            None => s.tick(RESPONSE_US, &mut heard),
        }
        let [Heard::Over(text)] = &heard[..] else {
            panic!("{heard:?}")
        };
        assert!(text.contains(why), "{text}");
        assert!(s.not_before > 0 && s.next().is_none());
    }
}

/// A server that is gone without a word answers no keepalive.
#[test]
fn a_session_that_falls_silent_ends() {
    let (mut s, mut heard) = session();
    s.message(1, &response(1, 0), &mut heard);
    heard.clear();
    s.tick(1_000_000, &mut heard);
    assert!(matches!(&heard[..], [Heard::Write(_)]));
    s.tick(1_000_000 + RESPONSE_US, &mut heard);
    assert!(matches!(&heard[1..], [Heard::Over(_)]), "{heard:?}");
}
