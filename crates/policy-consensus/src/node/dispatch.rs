//! Decoding, routing and sending of messages.

use super::fetch::MAX_FETCHES;
use super::local_acceptor::JOIN_REQUEST_NUMBER;
use super::{ConsensusNode, NodeOutput};
use crate::acceptor::{AcceptorReply, AcceptorRequest};
use crate::document_store::MAX_PARTS_PER_REQUEST;
use crate::message::{AcceptorAnswer, Message, ReportedState};
use crate::{Digest, Policy};

impl ConsensusNode {
    /// Handles a message from the member `from`. What cannot be decoded is ignored.
    pub fn handle_message(
        &mut self,
        now: u64,
        from: &str,
        bytes: &[u8],
        out: &mut Vec<NodeOutput>,
    ) {
        if let Some(message) = Message::read(bytes) {
            self.dispatch(now, from, message, out);
            self.process_inbox(now, out);
        }
    }

    /// Handles the messages of this member to itself, and those that they cause.
    pub(super) fn process_inbox(&mut self, now: u64, out: &mut Vec<NodeOutput>) {
        while let Some(message) = self.inbox.pop_front() {
            let me = self.config.me.clone();
            self.dispatch(now, &me, message, out);
        }
    }

    /// Sends a message to a member, which may be this one.
    pub(super) fn send(&mut self, to: &str, message: Message, out: &mut Vec<NodeOutput>) {
        if to == self.config.me {
            self.inbox.push_back(message);
        } else {
            out.push(NodeOutput::Send {
                to: to.into(),
                bytes: message.write(),
            });
        }
    }

    /// Sends a request to all acceptors.
    pub(super) fn send_to_acceptors(
        &mut self,
        number: u64,
        request: &AcceptorRequest,
        out: &mut Vec<NodeOutput>,
    ) {
        for (index, name) in (0..).zip(self.config.keepers.clone()) {
            let last_reported = self.reported_states.get(&index).copied();
            let message = Message::Request {
                number,
                last_reported: last_reported.unwrap_or_default(),
                request: request.clone(),
            };
            self.send(&name, message, out);
        }
    }

    /// Requests parts of the documents that are being fetched.
    pub(super) fn request_missing_parts(&mut self, now: u64, out: &mut Vec<NodeOutput>) {
        for (source, digest) in self.fetches.take_due(now) {
            let offsets = self.documents.missing_offsets(&digest);
            self.send(&source, Message::PartsRequest { digest, offsets }, out);
        }
    }

    fn dispatch(&mut self, now: u64, from: &str, message: Message, out: &mut Vec<NodeOutput>) {
        match message {
            Message::Request {
                number,
                last_reported,
                request,
            } => self.handle_acceptor_request(now, from, number, last_reported, request, out),
            Message::Answer(answer) => self.handle_acceptor_answer(now, from, answer, out),
            Message::CheckRequest { number, policy } => {
                self.handle_check_request(now, from, number, policy, out);
            }
            Message::CheckReply { number, reason } => {
                self.handle_check_reply(now, from, number, reason, out);
            }
            Message::PartsRequest { digest, offsets } => {
                self.send_parts(from, digest, offsets, out);
            }
            Message::Part {
                digest,
                offset,
                total_bytes,
                bytes,
            } => {
                let is_complete = self.documents.add_part(&digest, offset, total_bytes, bytes);
                if is_complete {
                    self.handle_complete_document(now, &digest, out);
                }
            }
        }
    }

    fn handle_acceptor_answer(
        &mut self,
        now: u64,
        from: &str,
        answer: AcceptorAnswer,
        out: &mut Vec<NodeOutput>,
    ) {
        let position = self.config.keepers.iter().position(|name| name == from);
        let Some(acceptor) = position.map(|index| index as u64) else {
            return;
        };
        for other in answer.other_incarnations {
            self.record_incarnation(other.acceptor, other.incarnation);
        }
        let incarnation = answer.incarnation;
        self.record_incarnation(acceptor, incarnation);
        let known_incarnation = self.incarnations.get(&acceptor);
        if known_incarnation.is_some_and(|known| incarnation < *known) {
            return;
        }
        let reported = ReportedState {
            incarnation,
            state: answer.state,
        };
        let latest = self.reported_states.entry(acceptor).or_default();
        *latest = reported.max(*latest);
        let number = answer.number;
        match answer.reply {
            AcceptorReply::Lease(grant) => self.record_grant(now, from, acceptor, number, grant),
            reply if number == JOIN_REQUEST_NUMBER => {
                self.handle_join_reply(now, from, acceptor, reply, out);
            }
            reply => self.with_proposal(now, number, out, |proposal, outputs| {
                let proposer = &mut proposal.proposer;
                proposer.handle_reply(now, acceptor, incarnation, reply, outputs);
            }),
        }
    }

    /// Says whether this member can serve under a policy, at once or when its document is here.
    fn handle_check_request(
        &mut self,
        now: u64,
        from: &str,
        number: u64,
        policy: Policy,
        out: &mut Vec<NodeOutput>,
    ) {
        if let Some(result) = self.validation_of(&policy.id()) {
            self.send(from, Message::check_reply(number, result), out);
            return;
        }
        self.fetches.start(now, policy.digest, from);
        if self.pending_checks.len() < MAX_FETCHES {
            self.pending_checks.insert((from.into(), number), policy);
        }
    }

    fn handle_check_reply(
        &mut self,
        now: u64,
        from: &str,
        number: u64,
        reason: String,
        out: &mut Vec<NodeOutput>,
    ) {
        self.with_proposal(now, number, out, |proposal, outputs| {
            let position = proposal.members.iter().position(|name| name == from);
            let Some(index) = position else {
                return;
            };
            let result = if reason.is_empty() {
                Ok(())
            } else {
                Err(reason)
            };
            let proposer = &mut proposal.proposer;
            proposer.record_check(index as u64 + 1, result, outputs);
        });
    }

    fn send_parts(
        &mut self,
        to: &str,
        digest: Digest,
        offsets: Vec<u32>,
        out: &mut Vec<NodeOutput>,
    ) {
        for offset in offsets.into_iter().take(MAX_PARTS_PER_REQUEST) {
            let Some((total_bytes, bytes)) = self.documents.read_part(&digest, offset) else {
                continue;
            };
            let part = Message::Part {
                digest,
                offset,
                total_bytes,
                bytes,
            };
            self.send(to, part, out);
        }
    }

    /// Handles again the checks that waited for a document.
    fn handle_complete_document(&mut self, now: u64, digest: &Digest, out: &mut Vec<NodeOutput>) {
        self.fetches.remove(digest);
        self.invalidate_serving_state();
        for ((from, number), policy) in std::mem::take(&mut self.pending_checks) {
            self.handle_check_request(now, &from, number, policy, out);
        }
    }
}
