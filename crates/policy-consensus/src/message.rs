//! What members say to each other about policies; postcard's form. Each fits a datagram: documents go in parts.

use crate::acceptor::{AcceptorReply, AcceptorRequest};
use crate::Policy;
use serde::{Deserialize, Serialize};

/// A reason is cut to this.
const MOST_REASON: usize = 600;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// To a keeper. `number`: of the question, goes back with the answer; `seen`: its life and the latest state of its folder that
    /// it told the asker of.
    Ask {
        number: u64,
        seen: (u64, u64),
        ask: AcceptorRequest,
    },
    /// `lives`: its own first, and those of others that it was told of, by their places.
    Answer {
        number: u64,
        state: u64,
        lives: (u64, Vec<(u64, u64)>),
        answer: AcceptorReply,
    },
    /// Can this be served under?
    Check { number: u64, policy: Policy },
    /// Why not; empty: it can.
    Checked { number: u64, why: String },
    /// Parts of a document that are missing, by where they begin.
    Want { digest: [u8; 32], at: Vec<u32> },
    Part {
        digest: [u8; 32],
        at: u32,
        of: u32,
        bytes: Vec<u8>,
    },
}

impl Message {
    pub fn write(&self) -> Vec<u8> {
        // It is made of plain values: nothing in it fails.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// What it is, in a word.
    pub fn name(&self) -> &'static str {
        match self {
            Message::Ask {
                ask: AcceptorRequest::Prepare(_),
                ..
            } => "prepare",
            Message::Ask {
                ask: AcceptorRequest::Join(..),
                ..
            } => "join",
            Message::Ask {
                ask: AcceptorRequest::Accept(..),
                ..
            } => "accept",
            Message::Ask {
                ask: AcceptorRequest::Lease,
                ..
            } => "lease",
            Message::Answer {
                answer: AcceptorReply::Promised(..),
                ..
            } => "promised",
            Message::Answer {
                answer: AcceptorReply::Accepted(_),
                ..
            } => "accepted",
            Message::Answer {
                answer: AcceptorReply::Preempted(_),
                ..
            } => "outrun",
            Message::Answer {
                answer: AcceptorReply::Busy(_),
                ..
            } => "busy",
            Message::Answer {
                answer: AcceptorReply::Lease(_),
                ..
            } => "grant",
            Message::Check { .. } => "check",
            Message::Checked { .. } => "checked",
            Message::Want { .. } => "want",
            Message::Part { .. } => "part",
        }
    }

    /// None: it is none of ours.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        let (letter, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(letter)
    }

    pub fn checked(number: u64, says: Result<(), String>) -> Message {
        let mut why = says.err().unwrap_or_default();
        let fits = (0..=MOST_REASON.min(why.len()))
            .rev()
            .find(|n| why.is_char_boundary(*n))
            .unwrap_or(0);
        why.truncate(fits);
        Message::Checked { number, why }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::acceptor::LeaseGrant;
    use crate::Ballot;
    use proptest::prelude::*;

    #[test]
    fn the_longest_fit_a_datagram_and_are_read_again() {
        let policy = Policy {
            version: u64::MAX,
            digest: [7; 32],
            parent: [9; 32],
        };
        let ballot = Ballot {
            number: u64::MAX,
            proposer: u64::MAX,
        };
        let grant = LeaseGrant {
            before: Some((policy.id(), ballot, u64::MAX)),
            now: Some((policy, ballot, u64::MAX, u64::MAX)),
        };
        // Of seven keepers.
        let all = vec![(u64::MAX, u64::MAX); 7];
        let lives = (u64::MAX, all.clone());
        let (number, digest, at) = (u64::MAX, [1; 32], u32::MAX);
        for letter in [
            Message::Ask {
                number,
                seen: (number, number),
                ask: AcceptorRequest::Accept(ballot, policy, all.clone()),
            },
            Message::Answer {
                number,
                state: number,
                lives: lives.clone(),
                answer: AcceptorReply::Lease(grant),
            },
            Message::Answer {
                number,
                state: number,
                lives: lives.clone(),
                answer: AcceptorReply::Promised(ballot, Some((ballot, policy))),
            },
            Message::checked(number, Err("é".repeat(10_000))),
            Message::Want {
                digest,
                at: vec![at; 8],
            },
            Message::Part {
                digest,
                at,
                of: at,
                bytes: vec![0; crate::document_store::PART],
            },
        ] {
            let bytes = letter.write();
            assert!(bytes.len() <= 860, "{} bytes", bytes.len());
            assert_eq!(Message::read(&bytes), Some(letter));
        }
    }

    proptest! {
        #[test]
        fn arbitrary_bytes_are_a_letter_or_none(bytes in prop::collection::vec(any::<u8>(), 0..1_200)) {
            if let Some(letter) = Message::read(&bytes) {
                prop_assert!(letter.write().len() <= 2 * bytes.len() + 16);
            }
        }
    }
}
