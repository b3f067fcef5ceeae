//! The state of the member's own acceptor.

use crate::acceptor::{Acceptor, AcceptorIncarnation, AcceptorReply, AcceptorState};
use crate::message::{AcceptorAnswer, Message};
use crate::record::AcceptorRecord;
use crate::{Ballot, Policy};
use std::collections::BTreeMap;

/// The acceptor of this member, and what is on its disk.
pub(super) struct LocalAcceptor {
    /// Its index among the acceptors.
    pub(super) index: u64,
    pub(super) acceptor: Acceptor,
    /// The number of the state that is on disk.
    pub(super) state: u64,
    pub(super) pending_write: Option<PendingWrite>,
    pub(super) join: Option<JoinAttempt>,
    /// When a failed write is retried; `u64::MAX` while it is being retried.
    pub(super) write_retry_at: Option<u64>,
    /// Why it does not answer as an acceptor any more.
    pub(super) disabled_reason: Option<String>,
}

/// A record that is being written.
pub(super) struct PendingWrite {
    pub(super) record: AcceptorRecord,
    /// What may be sent once the record is on disk.
    pub(super) reply: Option<PendingReply>,
}

/// A reply that waits for a write.
pub(super) struct PendingReply {
    pub(super) to: String,
    pub(super) message: Message,
}

/// The attempt of a new acceptor to join in place of a lost one.
pub(super) struct JoinAttempt {
    pub(super) ballot: Ballot,
    /// What each acceptor that promised the ballot had accepted, by acceptor index.
    pub(super) promises: BTreeMap<u64, Option<(Ballot, Policy)>>,
    pub(super) retry_at: u64,
}

impl JoinAttempt {
    /// Starts over with a higher ballot.
    pub(super) fn restart(&mut self, ballot_number: u64) {
        self.ballot.number = ballot_number;
        self.promises.clear();
    }

    /// Takes another acceptor's reply.
    pub(super) fn handle_reply(&mut self, from: u64, reply: AcceptorReply) {
        match reply {
            AcceptorReply::Preempted(higher) if higher.number >= self.ballot.number => {
                self.restart(higher.number + 1);
            }
            AcceptorReply::Promised(ballot, accepted) if ballot == self.ballot => {
                self.promises.insert(from, accepted);
            }
            _ => {}
        }
    }

    /// What was accepted by the highest ballot among the promises.
    pub(super) fn latest_accepted(&self) -> Option<(Ballot, Policy)> {
        self.promises
            .values()
            .flatten()
            .max_by_key(|(ballot, _)| *ballot)
            .copied()
    }
}

impl LocalAcceptor {
    /// Whether it answers requests: it has a valid state and has joined.
    pub(super) fn is_active(&self) -> bool {
        self.disabled_reason.is_none() && self.join.is_none()
    }

    /// Takes note of the next record, and returns it to be written.
    pub(super) fn start_write(
        &mut self,
        name: &str,
        durable: AcceptorState,
        document: String,
        reply: Option<PendingReply>,
    ) -> AcceptorRecord {
        let record = AcceptorRecord {
            acceptor: name.to_string(),
            state: self.state + 1,
            durable,
            document,
        };
        self.pending_write = Some(PendingWrite {
            record: record.clone(),
            reply,
        });
        record
    }

    /// The answer to the request `number`, as it may be sent once `state` is on disk.
    pub(super) fn answer(&self, number: u64, state: u64, reply: AcceptorReply) -> Message {
        let durable = self.acceptor.state();
        let others = durable.incarnations.iter();
        Message::Answer(AcceptorAnswer {
            number,
            state,
            incarnation: durable.incarnation,
            other_incarnations: others
                .map(|(acceptor, incarnation)| AcceptorIncarnation {
                    acceptor: *acceptor,
                    incarnation: *incarnation,
                })
                .collect(),
            reply,
        })
    }
}
