//! Recorded bytes of what members say to each other about policies, and of what is on disk: another version of the program
//! has to read them. `RECORD=1 cargo test --test golden_forms` records them anew.

use frosthatch_policy_consensus::acceptor::{
    AcceptorReply, AcceptorRequest, AcceptorState, LeaseGrant,
};
use frosthatch_policy_consensus::document::{hex, sha256};
use frosthatch_policy_consensus::message::Message;
use frosthatch_policy_consensus::record::{file_name, AcceptorRecord};
use frosthatch_policy_consensus::{Ballot, Policy};
use std::fmt::Write;

fn compare_with_recorded(file: &str, now: &str) {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    if std::env::var_os("RECORD").is_some() {
        return std::fs::write(path, now).expect("written");
    }
    assert_eq!(
        std::fs::read_to_string(path).expect("a recorded file"),
        now,
        "recorded on the left"
    );
}

const BALLOT: Ballot = Ballot {
    number: 300,
    proposer: 7,
};

fn policy() -> Policy {
    Policy {
        version: 3,
        digest: sha256("text"),
        parent: [4; 32],
    }
}

fn letters() -> Vec<Message> {
    let asks = [
        AcceptorRequest::Prepare(BALLOT),
        AcceptorRequest::Join(BALLOT, 2),
        AcceptorRequest::Accept(BALLOT, policy(), vec![(0, 0), (1, 900)]),
        AcceptorRequest::Lease,
    ];
    let grant = LeaseGrant {
        before: Some((policy().id(), BALLOT, 250_000)),
        now: Some((policy(), BALLOT, 250_000, 500_000)),
    };
    let answers = [
        AcceptorReply::Promised(BALLOT, None),
        AcceptorReply::Promised(BALLOT, Some((BALLOT, policy()))),
        AcceptorReply::Accepted(BALLOT),
        AcceptorReply::Preempted(BALLOT),
        AcceptorReply::Busy(123_456),
        AcceptorReply::Lease(LeaseGrant::default()),
        AcceptorReply::Lease(grant),
    ];
    let mut all: Vec<Message> = asks
        .into_iter()
        .map(|ask| Message::Ask {
            number: 1_000,
            seen: (5, 6),
            ask,
        })
        .collect();
    all.extend(answers.into_iter().map(|answer| Message::Answer {
        number: 1_000,
        state: 53,
        lives: (8, vec![(1, 9), (2, 300)]),
        answer,
    }));
    all.extend([
        Message::Check {
            number: 4,
            policy: policy(),
        },
        Message::checked(4, Ok(())),
        Message::checked(4, Err("there is no plan \"x\" here".into())),
        Message::Want {
            digest: sha256("text"),
            at: vec![0, 800],
        },
        Message::Part {
            digest: sha256("text"),
            at: 0,
            of: 4,
            bytes: b"text".to_vec(),
        },
    ]);
    all
}

#[test]
fn the_bytes_of_messages_are_those_that_were_recorded() {
    let mut text = String::new();
    for letter in letters() {
        writeln!(text, "{} {}", letter.name(), hex(&letter.write())).expect("to memory");
        assert_eq!(Message::read(&letter.write()), Some(letter));
    }
    compare_with_recorded("messages.txt", &text);
}

fn records() -> [AcceptorRecord; 3] {
    let durable = AcceptorState {
        promised: Ballot {
            number: 301,
            proposer: 9,
        },
        accepted: Some((BALLOT, policy())),
        incarnation: 12,
        incarnations: [(0, 1), (2, 900)].into(),
        joining: false,
    };
    let whole = AcceptorRecord {
        keeper: "n1".into(),
        state: 8,
        durable,
        text: "text".into(),
    };
    [
        AcceptorRecord::first("n1"),
        AcceptorRecord::joining("n1"),
        whole,
    ]
}

#[test]
fn the_bytes_on_disk_are_those_that_were_recorded() {
    let mut text = String::new();
    for record in records() {
        writeln!(text, "{} {}", file_name(record.state), hex(&record.write())).expect("to memory");
        assert_eq!(AcceptorRecord::read(&record.write()), Ok(record));
    }
    compare_with_recorded("records.txt", &text);
}
