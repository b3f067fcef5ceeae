//! What a keeper has on disk: one file a state, two of them kept, named by its number. A state is written whole to another name,
//! synced, and only then renamed: so one that was being written when the power went is not there at all, and one that is there and
//! does not read as it should was damaged since. Then nothing is guessed: what it promised is not known any more.
//!
//! ```text
//! "FHKEEPER" | major u8 | minor u8 | body (postcard) | SHA-256 of all before it
//! ```

use crate::acceptor::AcceptorState;
use crate::document::sha256;
use serde::{Deserialize, Serialize};

const MARK: &[u8; 8] = b"FHKEEPER";
const MAJOR: u8 = 1;
const MINOR: u8 = 0;
const SUM: usize = 32;
/// Longest file that is looked at.
pub const MOST_BYTES: usize = crate::document::MOST_BYTES + 1_024;
/// States that are kept.
pub const KEPT: u64 = 2;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptorRecord {
    /// Whose it is: a folder copied from another keeper is told apart.
    pub keeper: String,
    /// Grows by one with each state.
    pub state: u64,
    pub durable: AcceptorState,
    /// Of the policy that was accepted.
    pub text: String,
}

impl AcceptorRecord {
    /// A new keeper's.
    pub fn first(keeper: &str) -> AcceptorRecord {
        AcceptorRecord {
            keeper: keeper.into(),
            state: 1,
            durable: AcceptorState::first(),
            text: String::new(),
        }
    }

    /// Of one that takes the place of a keeper that is gone for good: it learns from the others what that one promised.
    pub fn joining(keeper: &str) -> AcceptorRecord {
        let durable = AcceptorState {
            joining: true,
            ..AcceptorState::default()
        };
        AcceptorRecord {
            keeper: keeper.into(),
            state: 1,
            durable,
            text: String::new(),
        }
    }

    pub fn write(&self) -> Vec<u8> {
        let mut bytes = [&MARK[..], &[MAJOR, MINOR]].concat();
        bytes.extend(postcard::to_allocvec(self).unwrap_or_default());
        bytes.extend(sha256(&bytes));
        bytes
    }

    /// # Errors
    /// What is wrong with it.
    pub fn read(bytes: &[u8]) -> Result<AcceptorRecord, String> {
        if bytes.len() < MARK.len() + 2 + SUM || !bytes.starts_with(MARK) {
            return Err("it is no keeper's state, or not whole".into());
        }
        let (text, sum) = bytes.split_at(bytes.len() - SUM);
        if sha256(text) != sum {
            return Err("it was damaged: its checksum is another".into());
        }
        let major = text[MARK.len()];
        if major != MAJOR {
            return Err(format!(
                "its form is {major}, and this program knows {MAJOR}"
            ));
        }
        // A newer minor has more behind what is known here.
        let body = &text[MARK.len() + 2..];
        let (record, _) = postcard::take_from_bytes::<AcceptorRecord>(body)
            .map_err(|e| format!("it makes no sense: {e}"))?;
        let policy = record.durable.accepted.map(|(_, p)| p).unwrap_or_default();
        let digest = if record.text.is_empty() {
            [0; 32]
        } else {
            sha256(&record.text)
        };
        match policy.digest == digest {
            true => Ok(record),
            false => Err("its document is not the one that was accepted".into()),
        }
    }
}

pub fn file_name(state: u64) -> String {
    format!("keeper-{state:020}")
}

/// The number in a file's name, if it is one of ours.
pub fn state_of(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("keeper-").filter(|d| d.len() == 20)?;
    digits.parse().ok()
}

/// What a keeper starts from, by what its folder holds: the latest, as it was written.
///
/// # Errors
/// Why it cannot start: then it is told, and somebody has to decide.
pub fn choose(keeper: &str, files: &[(u64, Vec<u8>)]) -> Result<AcceptorRecord, String> {
    let Some((state, bytes)) = files.iter().max_by_key(|(state, _)| *state) else {
        let right = "if it is a new keeper, make its first state by `frosthatch policy init`; if its folder was lost, see the page";
        return Err(format!("there is no state; {right}"));
    };
    let record = AcceptorRecord::read(bytes).map_err(|e| format!("{}: {e}", file_name(*state)))?;
    if record.state != *state {
        return Err(format!(
            "{}: it is the state {} under another name",
            file_name(*state),
            record.state
        ));
    }
    if record.keeper != keeper {
        return Err(format!(
            "it is the folder of {}, and this one is {keeper}",
            record.keeper
        ));
    }
    Ok(record)
}

#[cfg(test)]
mod tests {
    use super::*;
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
            keeper: "n1".into(),
            state,
            durable,
            text: "text".into(),
        }
    }

    #[test]
    fn the_latest_is_taken() {
        let files: Vec<_> = [7, 8].map(|n| (n, record(n).write())).into();
        assert_eq!(choose("n1", &files), Ok(record(8)));
        assert_eq!(state_of(&file_name(8)), Some(8));
        assert_eq!(state_of("keeper-8.new"), None);
        assert_eq!(
            AcceptorRecord::read(&AcceptorRecord::first("n1").write()),
            Ok(AcceptorRecord::first("n1"))
        );
    }

    #[test]
    fn whatever_is_not_as_it_was_written_is_refused_and_never_guessed() {
        let good = record(8).write();
        for n in 0..good.len() {
            let mut flipped = good.clone();
            flipped[n] ^= 1 << (n % 8);
            // Not even with the state before beside it: what was promised since is not known.
            let said = choose("n1", &[(7, record(7).write()), (8, flipped)]);
            assert!(said.is_err(), "byte {n}");
            assert!(AcceptorRecord::read(&good[..n]).is_err(), "cut at {n}");
        }
        assert!(choose("n2", &[(8, good.clone())]).is_err_and(|e| e.contains("folder of n1")));
        assert!(choose("n1", &[(9, good)]).is_err_and(|e| e.contains("another name")));
        assert!(choose("n1", &[]).is_err_and(|e| e.contains("policy init")));
        let other = AcceptorRecord {
            text: "other".into(),
            ..record(8)
        };
        assert!(choose("n1", &[(8, other.write())]).is_err_and(|e| e.contains("document")));
    }

    #[test]
    fn a_newer_major_is_refused_and_a_newer_minor_read() {
        let sealed = |major: u8, minor: u8, more: &[u8]| {
            let whole = record(8).write();
            let body = &whole[MARK.len() + 2..whole.len() - SUM];
            let mut bytes = [&MARK[..], &[major, minor], body, more].concat();
            bytes.extend(sha256(&bytes));
            bytes
        };
        assert!(AcceptorRecord::read(&sealed(2, 0, &[])).is_err_and(|e| e.contains("form is 2")));
        assert_eq!(AcceptorRecord::read(&sealed(1, 9, b"more")), Ok(record(8)));
    }
}
