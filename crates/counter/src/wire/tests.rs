//! Tests of the shared counter's line protocol.

use super::{may_begin_reply, parse_reply, write_call, Reply, MAX_LINE_BYTES};
use frosthatch_engine::CounterCall;

#[test]
fn a_call_is_one_line_with_name_amount_and_ttl() {
    let call = CounterCall {
        name: "quota:7".into(),
        amount: 1.5,
        ttl_ms: 2_000,
    };
    let mut buffer = b"bump other 1 1\r\n".to_vec();
    write_call(&call, &mut buffer);
    assert_eq!(buffer, b"bump other 1 1\r\nbump quota:7 1.5 2000\r\n");
}

#[test]
fn a_reply_states_a_total_or_a_rejection() {
    assert_eq!(parse_reply(b"ok 12.5\r\n"), Some(Reply::Total(12.5)));
    assert_eq!(parse_reply(b"busy\r\n"), Some(Reply::Rejected));
    assert_eq!(parse_reply(b"error\n"), Some(Reply::Rejected));
}

#[test]
fn an_ok_without_a_finite_number_has_an_invalid_total() {
    for line in ["ok\r\n", "ok \r\n", "ok x\r\n", "ok  1\r\n", "ok inf\r\n"] {
        assert_eq!(parse_reply(line.as_bytes()), Some(Reply::InvalidTotal));
    }
}

#[test]
fn other_lines_are_no_replies() {
    for line in [&b"\r\n"[..], b"okay\r\n", b"busy 1\r\n", b"ok 1\xff\r\n"] {
        assert_eq!(parse_reply(line), None);
    }
}

#[test]
fn a_partial_line_is_valid_while_it_may_become_a_reply() {
    for partial in [&b""[..], b"o", b"ok 1", b"bus", b"busy\r", b"err"] {
        assert!(may_begin_reply(partial), "{partial:?}");
    }
    for partial in [&b"x"[..], b"okay", b"bux"] {
        assert!(!may_begin_reply(partial), "{partial:?}");
    }
    let mut partial = b"ok ".to_vec();
    partial.resize(MAX_LINE_BYTES, b'1');
    assert!(may_begin_reply(&partial));
    partial.push(b'1');
    assert!(!may_begin_reply(&partial));
}
