//! Compares the encoded handover messages with recorded bytes, which other versions of the program have to decode.
//! `RECORD=1 cargo test --test golden_forms` records the bytes again.

use frosthatch_handover::message::{
    take_message, Mark, Message, TransferredState, Version, VERSION,
};
use std::fmt::Write;

fn messages() -> Vec<Message> {
    let mark = Mark {
        server: "s-1".into(),
        out_ms: 5,
        back_ms: None,
    };
    let ended_mark = Mark {
        server: "s-2".into(),
        out_ms: 5,
        back_ms: Some(9),
    };
    vec![
        Message::Hello {
            version: VERSION,
            pid: 7,
        },
        Message::Welcome {
            version: Version { major: 1, minor: 0 },
            listeners: vec!["clients".into()],
            state: TransferredState {
                marks: vec![mark.clone(), ended_mark.clone()],
            },
        },
        Message::Rejected {
            reason: "it is busy".into(),
        },
        Message::Ready,
        Message::StoppedAccepting,
        Message::Marked(mark),
        Message::Marked(ended_mark),
    ]
}

#[test]
fn encoded_messages_equal_the_recorded_bytes() {
    let mut text = String::new();
    for message in messages() {
        let mut bytes = message.encode_frame();
        let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
        writeln!(text, "{hex} {}", String::from_utf8_lossy(&bytes[8..]))
            .expect("writing to a string cannot fail");
        assert_eq!(take_message(&mut bytes), Ok(Some(message)));
    }
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/messages.txt");
    if std::env::var_os("RECORD").is_some() {
        return std::fs::write(path, text).expect("the recorded file can be written");
    }
    assert_eq!(
        std::fs::read_to_string(path).expect("the recorded file can be read"),
        text,
        "the recorded bytes (left) equal the encoded messages (right)"
    );
}
