//! Recorded bytes of the messages between an old and a new process: another version of the program has to read them.
//! `RECORD=1 cargo test --test golden_forms` records them anew.

use frosthatch_handover::message::{take_message, Mark, Message, State, Version, VERSION};
use std::fmt::Write;

fn messages() -> Vec<Message> {
    let mark = Mark {
        server: "s-1".into(),
        out_ms: 5,
        back_ms: None,
    };
    let back = Mark {
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
            state: State {
                marks: vec![mark.clone(), back.clone()],
            },
        },
        Message::Rejected {
            reason: "it is busy".into(),
        },
        Message::Ready,
        Message::StoppedAccepting,
        Message::Marked(mark),
        Message::Marked(back),
    ]
}

#[test]
fn encoded_messages_equal_the_recorded_bytes() {
    let mut text = String::new();
    for message in messages() {
        let mut bytes = message.encode_frame();
        let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
        writeln!(text, "{hex} {}", String::from_utf8_lossy(&bytes[8..])).expect("to memory");
        assert_eq!(take_message(&mut bytes), Ok(Some(message)));
    }
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/messages.txt");
    if std::env::var_os("RECORD").is_some() {
        return std::fs::write(path, text).expect("written");
    }
    assert_eq!(
        std::fs::read_to_string(path).expect("a recorded file"),
        text,
        "recorded on the left"
    );
}
