//! Tests of the DNS message codec.

use super::{name, reply, split, stateful, Change, Data, Kind, Record, Stateful, Unread};
use proptest::prelude::{any, proptest};
use std::net::Ipv4Addr;

#[test]
fn a_name_has_one_form_whatever_its_case_and_escapes() {
    let one = name("Node\\0321\\.A._Topup._TCP.Example.ORG.").expect("a name");
    assert_eq!(&*one, "node\\0321\\.a._topup._tcp.example.org");
    assert_eq!(
        name("node\\ 1\\046a._topup._tcp.example.org").expect("a name"),
        one
    );
    assert_eq!(
        split(&one),
        Some(("node\\0321\\.a", "_topup._tcp.example.org"))
    );
    assert!(name("a..b").is_err() && name(&"a".repeat(64)).is_err());
}

/// Worked out by hand from RFC 1035 sections 4.1 and 2782.
#[test]
fn a_message_written_by_hand_is_read() {
    let mut m = vec![0x12, 0x34, 0x84, 0, 0, 1, 0, 1, 0, 0, 0, 0];
    m.extend(b"\x01S\x01t\x00\x00\x21\x00\x01"); // question: s.t SRV IN
    m.extend(b"\xc0\x0c\x00\x21\x00\x01\x00\x00\x00\x05\x00\x0b"); // s.t SRV IN, TTL 5, 11 bytes
    m.extend(b"\x00\x01\x00\x02\x1f\x90\x01h\xc0\x0e\x00"); // 1 2 8080 h.t and one byte too many
    assert_eq!(
        reply(&m, 0x1234, "s.t", Kind::Srv).err(),
        Some(Unread::Malformed)
    );
    m.pop();
    let at = m.len() - 11;
    m[at] = 0x0a;
    let read = reply(&m, 0x1234, "s.t", Kind::Srv).expect("an answer");
    let data = Data::Srv {
        priority: 1,
        weight: 2,
        port: 8080,
        target: "h.t".into(),
    };
    assert_eq!(
        read.answer,
        [Record {
            owner: "s.t".into(),
            ttl: 5,
            data
        }]
    );
    assert!(read.authoritative && !read.truncated);
    for (id, n, kind) in [
        (1, "s.t", Kind::Srv),
        (0x1234, "x.t", Kind::Srv),
        (0x1234, "s.t", Kind::A),
    ] {
        assert_eq!(reply(&m, id, n, kind).err(), Some(Unread::Foreign));
    }
}

/// A pointer that points at itself, or ahead, ends the reading (RFC 1035 section 4.1.4: a prior occurrence).
#[test]
fn compression_loops_are_no_names() {
    for pointer in [0x0c, 0x10, 0xff] {
        let mut m = vec![0, 1, 0x84, 0, 0, 1, 0, 0, 0, 0, 0, 0];
        m.extend([0xc0, pointer, 0, 12, 0, 1]);
        assert_eq!(reply(&m, 1, "a", Kind::Ptr).err(), Some(Unread::Foreign));
    }
}

#[test]
fn pushed_changes_written_by_hand_are_read() {
    let mut m = vec![0, 0, 0x30, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x41, 0, 0];
    m.extend(b"\x01a\x00\x00\x01\x00\x01\x00\x00\x00\x09\x00\x04\x7f\x00\x00\x01");
    m.extend(b"\x01a\x00\x00\x01\x00\x01\xff\xff\xff\xff\x00\x04\x7f\x00\x00\x02");
    m.extend(b"\x01b\x00\x00\x0c\x00\x01\xff\xff\xff\xfe\x00\x00");
    let length = (m.len() - 16) as u16;
    m[14..16].copy_from_slice(&length.to_be_bytes());
    let a = |last| Data::A(Ipv4Addr::new(127, 0, 0, last));
    let Some(Stateful::Push(changes)) = stateful(&m) else {
        panic!("a push")
    };
    assert_eq!(
        changes[0],
        Change::Added(Record {
            owner: "a".into(),
            ttl: 9,
            data: a(1)
        })
    );
    assert_eq!(
        changes[1],
        Change::Removed(Record {
            owner: "a".into(),
            ttl: u32::MAX,
            data: a(2)
        })
    );
    assert_eq!(changes[2], Change::AllRemoved("b".into(), Some(Kind::Ptr)));
    m.truncate(m.len() - 1);
    assert_eq!(stateful(&m), None);
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = reply(&bytes, 1, "a", Kind::Ptr);
        let _ = stateful(&bytes);
    }

    /// The same behind a head that lets them in.
    #[test]
    fn arbitrary_records_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600), n in 0u8..40) {
        let mut m = vec![0, 1, 0x84, 0, 0, 1, 0, n, 0, 0, 0, n];
        m.extend(b"\x01a\x00\x00\x0c\x00\x01");
        m.extend(&bytes);
        let _ = reply(&m, 1, "a", Kind::Ptr);
        let mut m = vec![0, 0, 0x30, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x41];
        m.extend((bytes.len() as u16).to_be_bytes());
        m.extend(&bytes);
        let _ = stateful(&m);
    }
}
