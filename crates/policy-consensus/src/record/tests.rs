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

/// Returns whether the result is an error whose message contains `part`.
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
fn a_damaged_or_foreign_record_is_rejected() {
    let valid = record(8).write();
    for n in 0..valid.len() {
        let mut corrupted = valid.clone();
        corrupted[n] ^= 1 << (n % 8);
        // The earlier state is no substitute: the promises since then are unknown.
        let files = [file(7, record(7).write()), file(8, corrupted)];
        assert!(
            read_latest("n1", &files).is_err(),
            "a bit flip in byte {n} is detected"
        );
        assert!(
            AcceptorRecord::read(&valid[..n]).is_err(),
            "truncation to {n} bytes is detected"
        );
    }
    let read_by_other_acceptor = read_latest("n2", &[file(8, valid.clone())]);
    assert!(fails_with(read_by_other_acceptor, "belongs to keeper n1"));
    let read_under_other_state = read_latest("n1", &[file(9, valid)]);
    assert!(fails_with(read_under_other_state, "holds state 8"));
    assert!(fails_with(read_latest("n1", &[]), "policy init"));
    let with_other_document = AcceptorRecord {
        document: "other".into(),
        ..record(8)
    };
    let read = read_latest("n1", &[file(8, with_other_document.write())]);
    assert!(fails_with(read, "document"));
}

#[test]
fn a_newer_major_version_is_rejected_and_a_newer_minor_version_is_read() {
    let encode_as_version = |major: u8, minor: u8, appended_fields: &[u8]| {
        let written = record(8).write();
        let body = &written[HEADER_BYTES..written.len() - CHECKSUM_BYTES];
        let mut bytes = [&MAGIC[..], &[major, minor], body, appended_fields].concat();
        bytes.extend(sha256(&bytes));
        bytes
    };
    let newer_major = AcceptorRecord::read(&encode_as_version(2, 0, &[]));
    assert!(fails_with(newer_major, "format version is 2"));
    assert_eq!(
        AcceptorRecord::read(&encode_as_version(1, 9, b"more")),
        Ok(record(8))
    );
}
