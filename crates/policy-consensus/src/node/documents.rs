//! Transfer of documents in parts, and the checks whether this member can serve under a document.

use super::fetches::MAX_FETCHES;
use super::interface::NodeOutput;
use super::member::{CheckSource, ConsensusNode};
use crate::document_store::{DocumentPart, MAX_PARTS_PER_REQUEST};
use crate::message::Message;
use crate::{Digest, Policy};

impl ConsensusNode {
    /// Requests the missing parts of the documents whose fetch is due.
    pub(super) fn request_missing_parts(&mut self, now: u64, out: &mut Vec<NodeOutput>) {
        for (source, digest) in self.fetches.take_due(now) {
            let offsets = self.documents.missing_offsets(&digest);
            self.send(&source, Message::PartsRequest { digest, offsets }, out);
        }
    }

    /// Replies whether this member can serve under a policy. If the document is missing, fetches it and replies once
    /// it is complete. At most [`MAX_FETCHES`] checks wait for a document; further requests are dropped, and the
    /// proposer repeats them.
    pub(super) fn handle_check_request(
        &mut self,
        now: u64,
        source: CheckSource,
        policy: Policy,
        out: &mut Vec<NodeOutput>,
    ) {
        if let Some(result) = self.validation_of(&policy.id()) {
            let reply = Message::check_reply(source.number, result);
            return self.send(&source.member, reply, out);
        }
        self.fetches.start(now, policy.digest, &source.member);
        if self.pending_checks.len() < MAX_FETCHES {
            self.pending_checks.insert(source, policy);
        }
    }

    /// Sends the requested parts of a document to a member. Parts of documents that are not stored here are skipped.
    pub(super) fn send_parts(
        &mut self,
        to: &str,
        digest: Digest,
        offsets: Vec<u32>,
        out: &mut Vec<NodeOutput>,
    ) {
        for offset in offsets.into_iter().take(MAX_PARTS_PER_REQUEST) {
            if let Some(part) = self.documents.read_part(&digest, offset) {
                self.send(to, Message::Part(part), out);
            }
        }
    }

    /// Stores a part of a document. Once the document is complete, the pending checks are handled again.
    pub(super) fn handle_part(&mut self, now: u64, part: DocumentPart, out: &mut Vec<NodeOutput>) {
        let digest = part.digest;
        if !self.documents.add_part(part) {
            return;
        }
        self.fetches.remove(&digest);
        self.invalidate_serving_state();
        for (source, policy) in std::mem::take(&mut self.pending_checks) {
            self.handle_check_request(now, source, policy, out);
        }
    }
}
