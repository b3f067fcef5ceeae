use super::{
    file_name, parse_file_name, read_latest, AcceptorRecord, RecordError, RecordFile,
    CHECKSUM_BYTES, HEADER_BYTES, MAGIC,
};
use crate::acceptor::AcceptorState;
use crate::digest::sha256;
use crate::{Ballot, Policy};

fn record(state: u64) -> AcceptorRecord {
    let policy = Policy {
        version: 3,
        digest: sha256("text"),
        parent: [4; 32],
    };
    let ballot = Ballot {
        number: state,
        proposer: 5,
    };
    let durable = AcceptorState {
        promised: ballot,
        accepted: Some((ballot, policy)),
        ..AcceptorState::default()
    };
    AcceptorRecord {
        acceptor: "n1".into(),
        state,
        durable,
        document: "text".into(),
    }
}

fn file(state: u64, bytes: Vec<u8>) -> RecordFile {
    RecordFile { state, bytes }
}

/// Whether the text of an error, as operators see it, contains `part`.
fn fails_with(result: Result<AcceptorRecord, RecordError>, part: &str) -> bool {
    result.is_err_and(|e| e.to_string().contains(part))
}

#[test]
fn the_latest_record_is_read() {
    let files = [7, 8].map(|state| file(state, record(state).write()));
    assert_eq!(read_latest("n1", &files), Ok(record(8)));
    assert_eq!(parse_file_name(&file_name(8)), Some(8));
    assert_eq!(parse_file_name("keeper-8.new"), None);
    assert_eq!(
        AcceptorRecord::read(&AcceptorRecord::initial("n1").write()),
        Ok(AcceptorRecord::initial("n1"))
    );
}

#[test]
fn a_record_that_is_not_as_it_was_written_is_rejected() {
    let valid = record(8).write();
    for n in 0..valid.len() {
        let mut flipped = valid.clone();
        flipped[n] ^= 1 << (n % 8);
        // The earlier state beside it is no substitute: what was promised since is not known.
        let files = [file(7, record(7).write()), file(8, flipped)];
        assert!(read_latest("n1", &files).is_err(), "byte {n}");
        assert!(AcceptorRecord::read(&valid[..n]).is_err(), "cut at {n}");
    }
    let as_other_acceptor = read_latest("n2", &[file(8, valid.clone())]);
    assert!(fails_with(as_other_acceptor, "folder of n1"));
    let as_other_state = read_latest("n1", &[file(9, valid)]);
    assert!(fails_with(as_other_state, "another name"));
    assert!(fails_with(read_latest("n1", &[]), "policy init"));
    let with_other_document = AcceptorRecord {
        document: "other".into(),
        ..record(8)
    };
    let read = read_latest("n1", &[file(8, with_other_document.write())]);
    assert!(fails_with(read, "document"));
}

#[test]
fn a_newer_major_version_is_rejected_and_a_newer_minor_version_read() {
    let sealed = |major: u8, minor: u8, more: &[u8]| {
        let written = record(8).write();
        let body = &written[HEADER_BYTES..written.len() - CHECKSUM_BYTES];
        let mut bytes = [&MAGIC[..], &[major, minor], body, more].concat();
        bytes.extend(sha256(&bytes));
        bytes
    };
    let newer_major = AcceptorRecord::read(&sealed(2, 0, &[]));
    assert!(fails_with(newer_major, "form is 2"));
    assert_eq!(AcceptorRecord::read(&sealed(1, 9, b"more")), Ok(record(8)));
}
