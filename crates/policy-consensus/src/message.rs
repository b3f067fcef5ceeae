//! The messages that members exchange, encoded with postcard. Each message fits a datagram; documents are transferred
//! in parts.

use crate::acceptor::{AcceptorIncarnation, AcceptorReply, AcceptorRequest};
use crate::document_store::DocumentPart;
use crate::{Digest, Policy};
use serde::{Deserialize, Serialize};

/// Maximum length of the reason in a [`Message::CheckReply`], in bytes; longer ones are truncated.
const MAX_REASON_BYTES: usize = 600;

/// A message between two members. The order of variants and fields is the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A request to an acceptor.
    Request {
        /// The request's number, chosen by the sender and repeated in the answer.
        number: u64,
        /// The highest state that the acceptor has reported to the sender.
        last_reported: ReportedState,
        /// The request to the acceptor.
        request: AcceptorRequest,
    },
    /// An acceptor's answer.
    Answer(AcceptorAnswer),
    /// Requests that a member check whether it can serve under a policy.
    CheckRequest {
        /// The number of the proposal.
        number: u64,
        /// The proposed policy.
        policy: Policy,
    },
    /// Answers a [`Message::CheckRequest`].
    CheckReply {
        /// The number of the proposal.
        number: u64,
        /// Why the member cannot serve under the policy; empty if it can.
        reason: String,
    },
    /// Requests parts of a document.
    PartsRequest {
        /// The document's digest.
        digest: Digest,
        /// Offsets of the parts in the document, in bytes.
        offsets: Vec<u32>,
    },
    /// A part of a document.
    Part(DocumentPart),
}

/// An acceptor's answer to a [`Message::Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptorAnswer {
    /// The number of the request.
    pub number: u64,
    /// The number of the acceptor's durable state.
    pub state: u64,
    /// The acceptor's own incarnation.
    pub incarnation: u64,
    /// The incarnations of other acceptors that this acceptor knows.
    pub other_incarnations: Vec<AcceptorIncarnation>,
    /// The reply to the request.
    pub reply: AcceptorReply,
}

/// The incarnation and state that an acceptor reported. An acceptor whose state is behind its own report was restored
/// from an old copy. The order compares incarnations first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReportedState {
    /// The acceptor's incarnation.
    pub incarnation: u64,
    /// The number of the acceptor's durable state.
    pub state: u64,
}

impl Message {
    /// Encodes the message.
    pub fn write(&self) -> Vec<u8> {
        // Encoding plain values into memory cannot fail.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a message; returns `None` if the bytes are not exactly one message.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        let (message, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(message)
    }

    /// Returns the name of the message's kind, by which tests select the points at which a process crashes.
    pub fn kind_name(&self) -> &'static str {
        match self {
            Message::Request { request, .. } => match request {
                AcceptorRequest::Prepare(_) => "prepare",
                AcceptorRequest::Join { .. } => "join",
                AcceptorRequest::Accept { .. } => "accept",
                AcceptorRequest::Lease => "lease",
            },
            Message::Answer(answer) => match answer.reply {
                AcceptorReply::Promised(..) => "promised",
                AcceptorReply::Accepted(_) => "accepted",
                AcceptorReply::Preempted(_) => "outrun",
                AcceptorReply::Busy(_) => "busy",
                AcceptorReply::Lease(_) => "grant",
            },
            Message::CheckRequest { .. } => "check",
            Message::CheckReply { .. } => "checked",
            Message::PartsRequest { .. } => "want",
            Message::Part(_) => "part",
        }
    }

    /// Creates the reply to a [`Message::CheckRequest`]. A long reason is truncated at a character boundary.
    pub fn check_reply(number: u64, result: Result<(), String>) -> Message {
        let mut reason = result.err().unwrap_or_default();
        let max_bytes = MAX_REASON_BYTES.min(reason.len());
        let truncated_bytes = (0..=max_bytes)
            .rev()
            .find(|position| reason.is_char_boundary(*position))
            .unwrap_or(0);
        reason.truncate(truncated_bytes);
        Message::CheckReply { number, reason }
    }
}

#[cfg(test)]
mod tests;
