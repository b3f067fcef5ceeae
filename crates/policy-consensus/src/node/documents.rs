//! Documents: checks whether this member can serve under one, and their transfer in parts.

use super::fetches::MAX_FETCHES;
use super::interface::NodeOutput;
use super::member::{CheckSource, ConsensusNode};
use crate::document_store::{DocumentPart, MAX_PARTS_PER_REQUEST};
use crate::message::Message;
use crate::{Digest, Policy};

impl ConsensusNode {
    /// Requests parts of the documents that are being fetched.
    pub(super) fn request_missing_parts(&mut self, now: u64, out: &mut Vec<NodeOutput>) {
        for (source, digest) in self.fetches.take_due(now) {
            let offsets = self.documents.missing_offsets(&digest);
            self.send(&source, Message::PartsRequest { digest, offsets }, out);
        }
    }

    /// Answers whether this member can serve under a policy; if its document is not here, once it is.
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

    /// Sends the requested parts of a document to a member, as far as they are here.
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

    /// Takes a part of a document. Once the document is complete, the checks that waited for one are handled again.
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
