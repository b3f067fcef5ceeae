//! Tests the codec with messages encoded by hand from RFC 6733, and with arbitrary bytes.

use bytes::Bytes;
use frosthatch_diameter::codec::{first_message_length, flag, Avp, Fault, Header, Message};
use frosthatch_diameter::dictionary::{code, command, result};
use proptest::prelude::{any, prop_assert_eq, proptest, Strategy};

/// A DWR: version 1, 20 + 12 + 16 bytes, R bit, command 280, application 0; Origin-Host "a.b" (11 bytes and 1 of
/// padding) and Origin-Realm "example" (15 bytes and 1 of padding).
const DWR: &[u8] =
    b"\x01\x00\x00\x30\x80\x00\x01\x18\x00\x00\x00\x00\x00\x00\x00\x07\x00\x00\x00\x09\
    \x00\x00\x01\x08\x40\x00\x00\x0ba.b\x00\
    \x00\x00\x01\x28\x40\x00\x00\x0fexample\x00";

fn dwr() -> Message {
    let header = Header {
        flags: flag::REQUEST,
        command: command::DEVICE_WATCHDOG,
        application: 0,
        hop_by_hop: 7,
        end_to_end: 9,
    };
    Message::new(header)
        .with_avp(Avp::of_text(code::ORIGIN_HOST, "a.b"))
        .with_avp(Avp::of_text(code::ORIGIN_REALM, "example"))
}

#[test]
fn a_message_encoded_by_hand_is_decoded_and_encoded_the_same() {
    assert_eq!(
        first_message_length(DWR),
        Ok(Some(DWR.len())).map(|_: Option<usize>| Some(48))
    );
    let message = Message::decode(Bytes::from_static(DWR)).expect("a well-formed message");
    assert_eq!(message, dwr());
    assert_eq!(message.encode(), DWR);
    assert_eq!(message.validate(), Ok(()));
}

/// Guards against dropping, changing or reordering vendor-specific and unknown AVPs, which the gateway forwards.
#[test]
fn unknown_avps_are_kept_unchanged() {
    let unknown = Avp {
        code: 9_999,
        flags: 0x80,
        vendor: Some(10_415),
        data: Bytes::from_static(b"\x01\x02\x03"),
    };
    let mut message = dwr();
    message.avps.insert(1, unknown.clone());
    let read = Message::decode(message.encode().into()).expect("a well-formed message");
    assert_eq!(read.avps[1], unknown);
    assert_eq!(read.validate(), Ok(()));
    message.avps[1].flags = 0xc0;
    let fault = Message::decode(message.encode().into())
        .expect("a well-formed message")
        .validate()
        .expect_err("an unknown mandatory AVP is rejected");
    assert_eq!(
        (fault.result_code, fault.failed_avp.map(|a| a.code)),
        (result::AVP_UNSUPPORTED, Some(9_999))
    );
}

/// Guards against waiting for up to 16 MB of an overlong message, and against decoding other protocol versions.
#[test]
fn impossible_lengths_and_versions_are_rejected_by_the_first_four_bytes() {
    for (bytes, code) in [
        (&b"\x01\xff\xff\xff"[..], result::INVALID_MESSAGE_LENGTH),
        (b"\x01\x00\x00\x10", result::INVALID_MESSAGE_LENGTH),
        (b"\x01\x00\x00\x15", result::INVALID_MESSAGE_LENGTH),
        (b"\x02", result::UNSUPPORTED_VERSION),
        (b"GET ", result::UNSUPPORTED_VERSION),
    ] {
        assert_eq!(first_message_length(bytes), Err(Fault::new(code)));
    }
    assert_eq!(first_message_length(&DWR[..47]), Ok(None));
    assert_eq!(first_message_length(b"\x01\x00"), Ok(None));
}

#[test]
fn avps_that_overrun_their_message_or_group_are_rejected() {
    // The length of Origin-Realm becomes 255 bytes.
    let mut bytes = DWR.to_vec();
    bytes[20 + 12 + 7] = 0xff;
    let decode_error =
        Message::decode(bytes.into()).expect_err("the AVP extends beyond the message");
    assert_eq!(
        (
            decode_error.fault.result_code,
            decode_error.header.hop_by_hop
        ),
        (result::INVALID_AVP_LENGTH, 7)
    );
    assert_eq!(
        decode_error.fault.failed_avp.map(|a| a.code),
        Some(code::ORIGIN_REALM)
    );
    // The length of the member exceeds the length of its group.
    let mut group = Avp::of_group(
        code::SUBSCRIPTION_ID,
        &[Avp::of_u32(code::SUBSCRIPTION_ID_TYPE, 0)],
    );
    let mut data = group.data.to_vec();
    data[7] = 40;
    group.data = data.into();
    let read = Message::decode(dwr().with_avp(group).encode().into())
        .expect("the group itself is well-formed");
    let fault = read
        .validate()
        .expect_err("the member extends beyond its group");
    assert_eq!(
        (fault.result_code, fault.failed_avp.map(|a| a.code)),
        (result::INVALID_AVP_LENGTH, Some(code::SUBSCRIPTION_ID))
    );
}

#[test]
fn invalid_values_and_flags_are_rejected() {
    let result_code_of = |avp: Avp| {
        Message::decode(dwr().with_avp(avp).encode().into())
            .expect("a well-formed message")
            .validate()
            .expect_err("the AVP is invalid")
            .result_code
    };
    assert_eq!(
        result_code_of(Avp::new(code::RESULT_CODE, vec![1, 2])),
        result::INVALID_AVP_LENGTH
    );
    assert_eq!(
        result_code_of(Avp::new(code::USER_NAME, vec![0xff, 0xfe])),
        result::INVALID_AVP_VALUE
    );
    let mut bits = DWR.to_vec();
    bits[4] = 0xa0;
    assert_eq!(
        Message::decode(bits.into())
            .expect_err("a request must not have the E bit")
            .fault
            .result_code,
        result::INVALID_HDR_BITS
    );
    let mut bits = DWR.to_vec();
    bits[24] = 0x41;
    assert_eq!(
        Message::decode(bits.into())
            .expect_err("reserved AVP flags must be zero")
            .fault
            .result_code,
        result::INVALID_AVP_BITS
    );
    assert_eq!(
        Fault::missing_avp(code::CC_REQUEST_NUMBER)
            .failed_avp
            .map(|a| a.data.len()),
        Some(4)
    );
}

/// Guards against unbounded recursion on received groups.
#[test]
fn too_deeply_nested_groups_are_rejected() {
    let mut avp = Avp::of_u32(code::RESULT_CODE, 1);
    for _ in 0..20 {
        avp = Avp::of_group(code::PROXY_INFO, &[avp]);
    }
    assert_eq!(
        dwr()
            .with_avp(avp)
            .validate()
            .expect_err("the groups are nested too deeply")
            .result_code,
        result::INVALID_AVP_VALUE
    );
}

fn any_avp() -> impl Strategy<Value = Avp> {
    let vendor = proptest::option::of(any::<u32>());
    (
        any::<u32>(),
        0u8..8,
        vendor,
        proptest::collection::vec(any::<u8>(), 0..40),
    )
        .prop_map(|(code, flags, vendor, data)| {
            let flags = (flags << 5) & 0x60 | if vendor.is_some() { 0x80 } else { 0 };
            Avp {
                code,
                flags,
                vendor,
                data: data.into(),
            }
        })
}

proptest! {
    #[test]
    fn encoded_messages_are_decoded_the_same(avps in proptest::collection::vec(any_avp(), 0..20), hop_by_hop in any::<u32>(), is_retransmitted in any::<bool>()) {
        let flags = flag::REQUEST | if is_retransmitted { flag::RETRANSMITTED } else { 0 };
        let message = Message { header: Header { flags, command: 272, application: 4, hop_by_hop, end_to_end: 1 }, avps };
        let bytes = message.encode();
        prop_assert_eq!(first_message_length(&bytes), Ok(Some(bytes.len())));
        prop_assert_eq!(Message::decode(bytes.into()).expect("a well-formed message"), message);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = first_message_length(&bytes);
        if let Ok(message) = Message::decode(bytes.into()) {
            let _ = message.validate();
        }
    }

    /// Arbitrary bytes after a valid header, so that AVP decoding is reached.
    #[test]
    fn arbitrary_avps_never_panic(tail in proptest::collection::vec(any::<u8>(), 0..400)) {
        let bytes = [&DWR[..20], &tail].concat();
        if let Ok(message) = Message::decode(bytes.into()) {
            let _ = message.validate();
            prop_assert_eq!(Message::decode(message.encode().into()), Ok(message));
        }
    }
}
