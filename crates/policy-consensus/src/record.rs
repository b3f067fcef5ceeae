//! The records of an acceptor's durable state on disk. Each state has its own file, named by the state's number, and
//! the last two files are kept. A record is written to a temporary file, synced and then renamed, so a write that a
//! power failure interrupts leaves no file under the state's name. A file under that name that cannot be read was
//! damaged later, and the acceptor must not start from it, because its promises are unknown.
//!
//! ```text
//! "FHKEEPER" | major u8 | minor u8 | body (postcard) | SHA-256 of all before it
//! ```

use crate::acceptor::AcceptorState;
use crate::digest::sha256;
use serde::{Deserialize, Serialize};

const MAGIC: &[u8; 8] = b"FHKEEPER";
const MAJOR: u8 = 1;
const MINOR: u8 = 0;
/// Length of the magic bytes, the major and the minor version, in bytes.
const HEADER_BYTES: usize = MAGIC.len() + 2;
const CHECKSUM_BYTES: usize = 32;
/// Maximum length of a record file, in bytes: the longest document and 1024 bytes for the rest of the record.
pub const MAX_FILE_BYTES: usize = crate::document::MAX_DOCUMENT_BYTES + 1_024;
/// Number of the latest states that are kept on disk.
pub const MAX_KEPT_STATES: u64 = 2;

/// Why an acceptor cannot start from its files on disk.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// The file is too short, or does not begin with the magic bytes.
    #[error("not a keeper state, or incomplete")]
    NotARecord,
    /// The checksum does not match.
    #[error("damaged: the checksum does not match")]
    WrongChecksum,
    /// The major version of the format is not the one that this program reads.
    #[error("the format version is {major}, this program reads version {MAJOR}")]
    UnknownMajor {
        /// The major version of the format.
        major: u8,
    },
    /// The checksum matches, but the body cannot be decoded.
    #[error("the body cannot be decoded: {cause}")]
    Undecodable {
        /// The decoder's error.
        cause: postcard::Error,
    },
    /// The document's digest differs from that of the accepted policy.
    #[error("the document is not that of the accepted policy")]
    WrongDocument,
    /// The directory holds no record file.
    #[error(
        "no state file; create the first state of a new keeper with `frosthatch policy init`; to replace a keeper whose folder was lost, see docs/policy-changes.md"
    )]
    NoState,
    /// The latest file cannot be read as a record.
    #[error("{}: {cause}", file_name(*.state))]
    InFile {
        /// The number of the state in the file's name.
        state: u64,
        /// Why the file cannot be read.
        cause: Box<RecordError>,
    },
    /// The latest file holds another state than its name states.
    #[error("{}: the file holds state {found}", file_name(*.state))]
    Renamed {
        /// The number of the state in the file's name.
        state: u64,
        /// The number of the state in the record.
        found: u64,
    },
    /// The latest file was written by another acceptor.
    #[error("the folder belongs to keeper {found}, not to {expected}")]
    OtherAcceptor {
        /// The name of the acceptor that wrote the file.
        found: String,
        /// The name of the acceptor that reads the file.
        expected: String,
    },
}

/// The record of one durable state of an acceptor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptorRecord {
    /// The acceptor's name, by which a directory copied from another acceptor is detected.
    pub acceptor: String,
    /// The number of the state, which increases by one with each record.
    pub state: u64,
    /// The durable state.
    pub durable: AcceptorState,
    /// The document of the accepted policy; empty for version 0.
    pub document: String,
}

impl AcceptorRecord {
    /// Returns the first record of a new acceptor.
    pub fn initial(acceptor: &str) -> AcceptorRecord {
        AcceptorRecord {
            acceptor: acceptor.into(),
            state: 1,
            durable: AcceptorState::initial(),
            document: String::new(),
        }
    }

    /// Returns the first record of an acceptor that joins to replace one whose state was lost. The new acceptor has
    /// to learn from the others what the lost one may have promised.
    pub fn joining(acceptor: &str) -> AcceptorRecord {
        let durable = AcceptorState {
            joining: true,
            ..AcceptorState::default()
        };
        AcceptorRecord {
            acceptor: acceptor.into(),
            state: 1,
            durable,
            document: String::new(),
        }
    }

    /// Encodes the record as the contents of its file.
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = [&MAGIC[..], &[MAJOR, MINOR]].concat();
        bytes.extend(postcard::to_allocvec(self).unwrap_or_default());
        bytes.extend(sha256(&bytes));
        bytes
    }

    /// Decodes the contents of a record file.
    ///
    /// # Errors
    /// Returns an error if the contents are not a valid record that this program can read.
    pub fn read(bytes: &[u8]) -> Result<AcceptorRecord, RecordError> {
        if bytes.len() < HEADER_BYTES + CHECKSUM_BYTES || !bytes.starts_with(MAGIC) {
            return Err(RecordError::NotARecord);
        }
        let (content, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
        if sha256(content) != checksum {
            return Err(RecordError::WrongChecksum);
        }
        let major = content[MAGIC.len()];
        if major != MAJOR {
            return Err(RecordError::UnknownMajor { major });
        }
        // A newer minor version may append fields to the known ones.
        let body = &content[HEADER_BYTES..];
        let (record, _) = postcard::take_from_bytes::<AcceptorRecord>(body)
            .map_err(|cause| RecordError::Undecodable { cause })?;
        if !record.has_accepted_document() {
            return Err(RecordError::WrongDocument);
        }
        Ok(record)
    }

    /// Returns whether the document is that of the accepted policy.
    fn has_accepted_document(&self) -> bool {
        let accepted = self.durable.accepted.map(|(_, policy)| policy);
        let digest = if self.document.is_empty() {
            [0; 32]
        } else {
            sha256(&self.document)
        };
        accepted.unwrap_or_default().digest == digest
    }
}

/// Returns the name of the file that holds the state with this number.
pub fn file_name(state: u64) -> String {
    format!("keeper-{state:020}")
}

/// Parses the number of the state in a file's name; returns `None` for files that hold no state.
pub fn parse_file_name(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("keeper-").filter(|d| d.len() == 20)?;
    digits.parse().ok()
}

/// A record file in an acceptor's directory.
pub struct RecordFile {
    /// The number of the state in the file's name.
    pub state: u64,
    /// The contents of the file.
    pub bytes: Vec<u8>,
}

/// Decodes the latest record of an acceptor. An earlier record is no substitute for it, because the promises since
/// then are unknown.
///
/// # Errors
/// Returns an error if there is no record, or if the latest one is invalid or belongs to another acceptor.
pub fn read_latest(acceptor: &str, files: &[RecordFile]) -> Result<AcceptorRecord, RecordError> {
    let Some(file) = files.iter().max_by_key(|file| file.state) else {
        return Err(RecordError::NoState);
    };
    let state = file.state;
    let record = AcceptorRecord::read(&file.bytes).map_err(|cause| RecordError::InFile {
        state,
        cause: Box::new(cause),
    })?;
    if record.state != state {
        return Err(RecordError::Renamed {
            state,
            found: record.state,
        });
    }
    if record.acceptor != acceptor {
        return Err(RecordError::OtherAcceptor {
            found: record.acceptor,
            expected: acceptor.to_string(),
        });
    }
    Ok(record)
}

#[cfg(test)]
mod tests;
