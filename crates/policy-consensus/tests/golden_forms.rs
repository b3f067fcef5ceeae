//! Compares the encoded messages between members and the encoded records on disk with recorded bytes, which other
//! versions of the program have to be able to read. `RECORD=1 cargo test --test golden_forms` rewrites the recorded
//! files.

use frosthatch_policy_consensus::acceptor::{
    AcceptorIncarnation, AcceptorReply, AcceptorRequest, AcceptorState, CurrentPolicyLease,
    LeaseGrant, PreviousPolicyLease,
};
use frosthatch_policy_consensus::document::{hex, sha256};
use frosthatch_policy_consensus::document_store::DocumentPart;
use frosthatch_policy_consensus::message::{AcceptorAnswer, Message, ReportedState};
use frosthatch_policy_consensus::record::{file_name, AcceptorRecord};
use frosthatch_policy_consensus::{Ballot, Policy};
use std::fmt::Write;

/// Asserts that `encoded` equals the contents of the recorded file; rewrites the file if `RECORD` is set.
fn compare_with_recorded(file: &str, encoded: &str) {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    if std::env::var_os("RECORD").is_some() {
        return std::fs::write(path, encoded).expect("the recorded file is writable");
    }
    assert_eq!(
        std::fs::read_to_string(path).expect("the recorded file is readable"),
        encoded,
        "the encoded bytes (right) equal the recorded ones (left)"
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

fn incarnation(acceptor: u64, incarnation: u64) -> AcceptorIncarnation {
    AcceptorIncarnation {
        acceptor,
        incarnation,
    }
}

fn requests() -> [AcceptorRequest; 4] {
    let promised_by = vec![incarnation(0, 0), incarnation(1, 900)];
    [
        AcceptorRequest::Prepare(BALLOT),
        AcceptorRequest::Join {
            ballot: BALLOT,
            acceptor: 2,
        },
        AcceptorRequest::Accept {
            ballot: BALLOT,
            policy: policy(),
            promised_by,
        },
        AcceptorRequest::Lease,
    ]
}

fn replies() -> [AcceptorReply; 7] {
    let grant = LeaseGrant {
        previous: Some(PreviousPolicyLease {
            id: policy().id(),
            ballot: BALLOT,
            remaining_us: 250_000,
        }),
        current: Some(CurrentPolicyLease {
            policy: policy(),
            ballot: BALLOT,
            starts_in_us: 250_000,
            duration_us: 500_000,
        }),
    };
    [
        AcceptorReply::Promised(BALLOT, None),
        AcceptorReply::Promised(BALLOT, Some((BALLOT, policy()))),
        AcceptorReply::Accepted(BALLOT),
        AcceptorReply::Preempted(BALLOT),
        AcceptorReply::Busy(123_456),
        AcceptorReply::Lease(LeaseGrant::default()),
        AcceptorReply::Lease(grant),
    ]
}

fn messages() -> Vec<Message> {
    let mut messages: Vec<Message> = requests()
        .into_iter()
        .map(|request| Message::Request {
            number: 1_000,
            last_reported: ReportedState {
                incarnation: 5,
                state: 6,
            },
            request,
        })
        .collect();
    messages.extend(replies().into_iter().map(|reply| {
        Message::Answer(AcceptorAnswer {
            number: 1_000,
            state: 53,
            incarnation: 8,
            other_incarnations: vec![incarnation(1, 9), incarnation(2, 300)],
            reply,
        })
    }));
    messages.extend([
        Message::CheckRequest {
            number: 4,
            policy: policy(),
        },
        Message::check_reply(4, Ok(())),
        Message::check_reply(4, Err("there is no plan \"x\" here".into())),
        Message::PartsRequest {
            digest: sha256("text"),
            offsets: vec![0, 800],
        },
        Message::Part(DocumentPart {
            digest: sha256("text"),
            offset: 0,
            total_bytes: 4,
            bytes: b"text".to_vec(),
        }),
    ]);
    messages
}

#[test]
fn encoded_messages_equal_the_recorded_bytes() {
    let mut text = String::new();
    for message in messages() {
        writeln!(text, "{} {}", message.kind_name(), hex(&message.write()))
            .expect("writing to a string cannot fail");
        assert_eq!(Message::read(&message.write()), Some(message));
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
    let with_document = AcceptorRecord {
        acceptor: "n1".into(),
        state: 8,
        durable,
        document: "text".into(),
    };
    [
        AcceptorRecord::initial("n1"),
        AcceptorRecord::joining("n1"),
        with_document,
    ]
}

#[test]
fn encoded_records_equal_the_recorded_bytes() {
    let mut text = String::new();
    for record in records() {
        writeln!(text, "{} {}", file_name(record.state), hex(&record.write()))
            .expect("writing to a string cannot fail");
        assert_eq!(AcceptorRecord::read(&record.write()), Ok(record));
    }
    compare_with_recorded("records.txt", &text);
}
