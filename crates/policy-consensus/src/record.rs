//! What an acceptor has on disk: one file a state, the last two of them kept, named by the state's number. A state is written to
//! another name, synced, and only then renamed. So a file that was being written when the power failed does not exist under its name,
//! and one that exists but cannot be read was damaged later. Then the acceptor must not start, as what it promised is not known.
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
/// Magic bytes, major and minor.
const HEADER_BYTES: usize = MAGIC.len() + 2;
const CHECKSUM_BYTES: usize = 32;
/// Longest file that is read: a document and what is around it.
pub const MAX_FILE_BYTES: usize = crate::document::MAX_DOCUMENT_BYTES + 1_024;
/// States that are kept on disk.
pub const MAX_KEPT_STATES: u64 = 2;

/// Why an acceptor cannot start from what it has on disk.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// The file is too short, or does not begin with the magic bytes.
    #[error("it is no keeper's state, or not whole")]
    NotARecord,
    /// The checksum does not match.
    #[error("it was damaged: its checksum is another")]
    WrongChecksum,
    /// A format that this program cannot read.
    #[error("its form is {major}, and this program knows {MAJOR}")]
    UnknownMajor {
        /// The major version of the format.
        major: u8,
    },
    /// The checksum matches, but the body cannot be decoded.
    #[error("it makes no sense: {cause}")]
    Undecodable {
        /// What the decoder found.
        cause: postcard::Error,
    },
    /// The digest of the document is not that of the accepted policy.
    #[error("its document is not the one that was accepted")]
    WrongDocument,
    /// There is no file.
    #[error(
        "there is no state; if it is a new keeper, make its first state by `frosthatch policy init`; if its folder was lost, see the page"
    )]
    NoState,
    /// The latest file is wrong in itself.
    #[error("{}: {cause}", file_name(*.state))]
    InFile {
        /// The state in the file's name.
        state: u64,
        /// What is wrong with it.
        cause: Box<RecordError>,
    },
    /// The latest file holds another state than its name says.
    #[error("{}: it is the state {found} under another name", file_name(*.state))]
    Renamed {
        /// The state in the file's name.
        state: u64,
        /// The state in the file.
        found: u64,
    },
    /// The latest file was written by another acceptor.
    #[error("it is the folder of {found}, and this one is {expected}")]
    OtherAcceptor {
        /// The acceptor that wrote the file.
        found: String,
        /// The acceptor that reads it.
        expected: String,
    },
}

/// One state of an acceptor, as it is on disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptorRecord {
    /// The acceptor's name, so that a folder copied from another acceptor is noticed.
    pub acceptor: String,
    /// The number of the state; grows by one with each.
    pub state: u64,
    /// The state itself.
    pub durable: AcceptorState,
    /// The document of the accepted policy; empty for version 0.
    pub document: String,
}

impl AcceptorRecord {
    /// The first record of a new acceptor.
    pub fn initial(acceptor: &str) -> AcceptorRecord {
        AcceptorRecord {
            acceptor: acceptor.into(),
            state: 1,
            durable: AcceptorState::initial(),
            document: String::new(),
        }
    }

    /// The first record of an acceptor that joins in place of one whose state was lost; it has to learn from the others what that one
    /// may have promised.
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

    /// Encodes the record as the content of its file.
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = [&MAGIC[..], &[MAJOR, MINOR]].concat();
        bytes.extend(postcard::to_allocvec(self).unwrap_or_default());
        bytes.extend(sha256(&bytes));
        bytes
    }

    /// Decodes the content of a file.
    ///
    /// # Errors
    /// What is wrong with it.
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
        // A newer minor version may have more fields behind those known here.
        let body = &content[HEADER_BYTES..];
        let (record, _) = postcard::take_from_bytes::<AcceptorRecord>(body)
            .map_err(|cause| RecordError::Undecodable { cause })?;
        if !record.has_accepted_document() {
            return Err(RecordError::WrongDocument);
        }
        Ok(record)
    }

    /// Whether the document is that of the accepted policy.
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

/// The name of the file that holds a state.
pub fn file_name(state: u64) -> String {
    format!("keeper-{state:020}")
}

/// The state in a file's name; `None` for files that hold no state.
pub fn parse_file_name(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("keeper-").filter(|d| d.len() == 20)?;
    digits.parse().ok()
}

/// A file of an acceptor's directory.
pub struct RecordFile {
    /// The state in the file's name.
    pub state: u64,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// Reads the latest record of an acceptor. Earlier ones are no substitute for it, as it is not known what was promised since.
///
/// # Errors
/// Why the acceptor cannot start.
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
