//! Decoding, routing and sending of the messages between members.

use super::interface::NodeOutput;
use super::join::JOIN_REQUEST_NUMBER;
use super::member::{CheckSource, ConsensusNode};
use crate::acceptor::{AcceptorReply, AcceptorRequest};
use crate::message::{AcceptorAnswer, Message, ReportedState};

impl ConsensusNode {
    /// Handles a message from the member `from`. Bytes that cannot be decoded are ignored.
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

    /// Handles the messages of this member to itself, until handling them produces no further ones.
    pub(super) fn process_inbox(&mut self, now: u64, out: &mut Vec<NodeOutput>) {
        while let Some(message) = self.inbox.pop_front() {
            let own_name = self.config.name.clone();
            self.dispatch(now, &own_name, message, out);
        }
    }

    /// Sends a message to the member `to`, which may be this member.
    pub(super) fn send(&mut self, to: &str, message: Message, out: &mut Vec<NodeOutput>) {
        if to == self.config.name {
            self.inbox.push_back(message);
        } else {
            out.push(NodeOutput::Send {
                to: to.into(),
                bytes: message.write(),
            });
        }
    }

    /// Sends a request to all acceptors. Their answers repeat `number`.
    pub(super) fn send_to_acceptors(
        &mut self,
        number: u64,
        request: &AcceptorRequest,
        out: &mut Vec<NodeOutput>,
    ) {
        for (index, name) in (0..).zip(self.config.acceptors.clone()) {
            let last_reported = self.reported_states.get(&index).copied();
            let message = Message::Request {
                number,
                last_reported: last_reported.unwrap_or_default(),
                request: request.clone(),
            };
            self.send(&name, message, out);
        }
    }

    /// Routes a message to its handler.
    fn dispatch(&mut self, now: u64, from: &str, message: Message, out: &mut Vec<NodeOutput>) {
        match message {
            Message::Request {
                number,
                last_reported,
                request,
            } => self.handle_acceptor_request(now, from, number, last_reported, request, out),
            Message::Answer(answer) => self.handle_acceptor_answer(now, from, answer, out),
            Message::CheckRequest { number, policy } => {
                let source = CheckSource {
                    member: from.into(),
                    number,
                };
                self.handle_check_request(now, source, policy, out);
            }
            Message::CheckReply { number, reason } => {
                self.handle_check_reply(now, from, number, reason, out);
            }
            Message::PartsRequest { digest, offsets } => {
                self.send_parts(from, digest, offsets, out);
            }
            Message::Part(part) => self.handle_part(now, part, out),
        }
    }

    /// Records the incarnation and the state in an answer, and routes the reply. Answers of replaced acceptors and of
    /// members that are not acceptors are ignored.
    fn handle_acceptor_answer(
        &mut self,
        now: u64,
        from: &str,
        answer: AcceptorAnswer,
        out: &mut Vec<NodeOutput>,
    ) {
        let position = self.config.acceptors.iter().position(|name| name == from);
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

    /// Passes a member's check result to the proposer.
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
}
