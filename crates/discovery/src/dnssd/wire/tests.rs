//! Tests of the DNS message codec.

use super::{
    parse_dso_message, parse_name, parse_reply, split_first_label, DsoMessage, Record,
    RecordChange, RecordData, RecordType, ReplyError,
};
use proptest::prelude::{any, proptest};
use std::net::Ipv4Addr;

#[test]
fn a_name_has_one_canonical_form_regardless_of_case_and_escapes() {
    let name = parse_name("Node\\0321\\.A._Topup._TCP.Example.ORG.")
        .expect("the name has valid labels and escapes");
    assert_eq!(&*name, "node\\0321\\.a._topup._tcp.example.org");
    assert_eq!(
        parse_name("node\\ 1\\046a._topup._tcp.example.org")
            .expect("the name has valid labels and escapes"),
        name
    );
    assert_eq!(
        split_first_label(&name),
        Some(("node\\0321\\.a", "_topup._tcp.example.org"))
    );
    assert!(parse_name("a..b").is_err() && parse_name(&"a".repeat(64)).is_err());
}

/// The message was encoded by hand from RFC 1035 section 4.1 and RFC 2782.
#[test]
fn a_hand_written_reply_is_parsed() {
    let mut message = vec![0x12, 0x34, 0x84, 0, 0, 1, 0, 1, 0, 0, 0, 0];
    message.extend(b"\x01S\x01t\x00\x00\x21\x00\x01"); // question: s.t SRV IN
    message.extend(b"\xc0\x0c\x00\x21\x00\x01\x00\x00\x00\x05\x00\x0b"); // s.t SRV IN, TTL 5, 11 bytes
    message.extend(b"\x00\x01\x00\x02\x1f\x90\x01h\xc0\x0e\x00"); // 1 2 8080 h.t and one byte too many
    assert_eq!(
        parse_reply(&message, 0x1234, "s.t", RecordType::Srv).err(),
        Some(ReplyError::Malformed)
    );
    message.pop();
    let at = message.len() - 11;
    message[at] = 0x0a;
    let reply =
        parse_reply(&message, 0x1234, "s.t", RecordType::Srv).expect("the reply is well-formed");
    let data = RecordData::Srv {
        priority: 1,
        weight: 2,
        port: 8080,
        target: "h.t".into(),
    };
    assert_eq!(
        reply.answer,
        [Record {
            owner: "s.t".into(),
            ttl_s: 5,
            data
        }]
    );
    assert!(reply.is_authoritative && !reply.is_truncated);
    for (id, name, record_type) in [
        (1, "s.t", RecordType::Srv),
        (0x1234, "x.t", RecordType::Srv),
        (0x1234, "s.t", RecordType::A),
    ] {
        assert_eq!(
            parse_reply(&message, id, name, record_type).err(),
            Some(ReplyError::Unrelated)
        );
    }
}

/// A compression pointer to itself or to a later position is rejected: it must refer to a prior occurrence of a name
/// (RFC 1035 section 4.1.4).
#[test]
fn compression_loops_are_rejected() {
    for pointer in [0x0c, 0x10, 0xff] {
        let mut message = vec![0, 1, 0x84, 0, 0, 1, 0, 0, 0, 0, 0, 0];
        message.extend([0xc0, pointer, 0, 12, 0, 1]);
        assert_eq!(
            parse_reply(&message, 1, "a", RecordType::Ptr).err(),
            Some(ReplyError::Unrelated)
        );
    }
}

#[test]
fn hand_written_pushed_changes_are_parsed() {
    let mut message = vec![0, 0, 0x30, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x41, 0, 0];
    message.extend(b"\x01a\x00\x00\x01\x00\x01\x00\x00\x00\x09\x00\x04\x7f\x00\x00\x01");
    message.extend(b"\x01a\x00\x00\x01\x00\x01\xff\xff\xff\xff\x00\x04\x7f\x00\x00\x02");
    message.extend(b"\x01b\x00\x00\x0c\x00\x01\xff\xff\xff\xfe\x00\x00");
    let length = (message.len() - 16) as u16;
    message[14..16].copy_from_slice(&length.to_be_bytes());
    let a = |last| RecordData::A(Ipv4Addr::new(127, 0, 0, last));
    let Some(DsoMessage::Push(changes)) = parse_dso_message(&message) else {
        panic!("the message does not parse as a push")
    };
    assert_eq!(
        changes[0],
        RecordChange::Added(Record {
            owner: "a".into(),
            ttl_s: 9,
            data: a(1)
        })
    );
    assert_eq!(
        changes[1],
        RecordChange::Removed(Record {
            owner: "a".into(),
            ttl_s: u32::MAX,
            data: a(2)
        })
    );
    assert_eq!(
        changes[2],
        RecordChange::AllRemoved("b".into(), Some(RecordType::Ptr))
    );
    message.truncate(message.len() - 1);
    assert_eq!(parse_dso_message(&message), None);
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = parse_reply(&bytes, 1, "a", RecordType::Ptr);
        let _ = parse_dso_message(&bytes);
    }

    /// Arbitrary records after a valid header cause no panic.
    #[test]
    fn arbitrary_records_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600), count in 0u8..40) {
        let mut message = vec![0, 1, 0x84, 0, 0, 1, 0, count, 0, 0, 0, count];
        message.extend(b"\x01a\x00\x00\x0c\x00\x01");
        message.extend(&bytes);
        let _ = parse_reply(&message, 1, "a", RecordType::Ptr);
        let mut message = vec![0, 0, 0x30, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x41];
        message.extend((bytes.len() as u16).to_be_bytes());
        message.extend(&bytes);
        let _ = parse_dso_message(&message);
    }
}
