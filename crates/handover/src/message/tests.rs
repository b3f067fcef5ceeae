use super::{take_message, FrameError, Mark, Message, TransferredState, VERSION};
use proptest::prelude::{any, prop_assert, proptest};

fn frame_of(body: &[u8]) -> Vec<u8> {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(crc32fast::hash(body).to_be_bytes());
    frame.extend(body);
    frame
}

#[test]
fn messages_received_byte_by_byte_are_decoded() {
    let mark = Mark {
        server: "s-1".into(),
        out_ms: 5,
        back_ms: None,
    };
    let state = TransferredState {
        marks: vec![mark.clone()],
    };
    let all = [
        Message::Hello {
            version: VERSION,
            pid: 7,
        },
        Message::Welcome {
            version: VERSION,
            listeners: vec!["clients".into()],
            state,
        },
        Message::Ready,
        Message::Marked(mark),
    ];
    let bytes: Vec<u8> = all.iter().flat_map(Message::encode_frame).collect();
    let mut buffer = Vec::new();
    let mut decoded = Vec::new();
    for byte in bytes {
        buffer.push(byte);
        decoded.extend(take_message(&mut buffer).expect("the frame is valid"));
    }
    assert_eq!(decoded, all);
}

#[test]
fn messages_and_fields_of_a_later_minor_version_are_skipped() {
    for unknown_message in [&br#""Later""#[..], br#"{"Later":{"x":1}}"#] {
        assert_eq!(
            take_message(&mut frame_of(unknown_message)),
            Ok(Some(Message::Unknown))
        );
    }
    let with_unknown_fields =
        br#"{"Welcome":{"version":{"major":1,"minor":9,"x":0},"listeners":[],"state":{"new":[1]}}}"#;
    let decoded = take_message(&mut frame_of(with_unknown_fields)).expect("the frame is valid");
    assert!(
        matches!(decoded, Some(Message::Welcome { state, .. }) if state == TransferredState::default())
    );
    assert!(matches!(
        take_message(&mut frame_of(br#"{"Hello":{}}"#)),
        Err(FrameError::Malformed(_))
    ));
}

proptest! {
        #[test]
    fn a_frame_with_a_flipped_bit_is_not_decoded(bit in 0usize..400) {
        let mut bytes = Message::Hello { version: VERSION, pid: 1234 }.encode_frame();
        let bit = bit % (bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(!matches!(take_message(&mut bytes), Ok(Some(_))));
    }

    #[test]
    fn decoding_arbitrary_bytes_never_panics(arbitrary_bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = take_message(&mut arbitrary_bytes.clone());
        let _ = take_message(&mut frame_of(&arbitrary_bytes));
    }
}
