//! The member's own acceptor with its pending write and its join.

use crate::acceptor::{Acceptor, AcceptorIncarnation, AcceptorReply, AcceptorState};
use crate::message::{AcceptorAnswer, Message};
use crate::record::AcceptorRecord;
use crate::{Ballot, Policy};
use std::collections::BTreeMap;

/// The acceptor of this member and the status of its durable state.
pub(super) struct LocalAcceptor {
    /// The acceptor's index among the acceptors.
    pub(super) index: u64,
    pub(super) acceptor: Acceptor,
    /// The number of the state on disk.
    pub(super) state: u64,
    /// The write in progress; no request is handled before it ends.
    pub(super) pending_write: Option<PendingWrite>,
    /// The join in progress; `None` once the acceptor has joined.
    pub(super) join: Option<JoinAttempt>,
    /// When the failed write is retried; `u64::MAX` while the retry is in progress, `None` if the last write did not
    /// fail.
    pub(super) write_retry_at: Option<u64>,
    /// Why the acceptor is disabled; `None` if it is not. An acceptor that is still joining does not answer requests
    /// either.
    pub(super) disabled_reason: Option<String>,
}

/// A record that is being written.
pub(super) struct PendingWrite {
    pub(super) record: AcceptorRecord,
    /// The reply to send once the record is on disk.
    pub(super) reply: Option<PendingReply>,
}

/// A reply that is sent once a write has completed.
pub(super) struct PendingReply {
    /// The name of the receiving member.
    pub(super) to: String,
    pub(super) message: Message,
}

/// The attempt of a new acceptor to replace a lost one.
pub(super) struct JoinAttempt {
    pub(super) ballot: Ballot,
    /// The last accepted policy of each acceptor that promised the ballot, by acceptor index.
    pub(super) promises: BTreeMap<u64, Option<(Ballot, Policy)>>,
    pub(super) retry_at: u64,
}

impl JoinAttempt {
    /// Restarts the attempt with this higher ballot number.
    pub(super) fn restart(&mut self, ballot_number: u64) {
        self.ballot.number = ballot_number;
        self.promises.clear();
    }

    /// Records another acceptor's reply to the join request.
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

    /// Returns the accepted policy with the highest ballot among the promises.
    pub(super) fn latest_accepted(&self) -> Option<(Ballot, Policy)> {
        self.promises
            .values()
            .flatten()
            .max_by_key(|(ballot, _)| *ballot)
            .copied()
    }
}

impl LocalAcceptor {
    /// Returns whether the acceptor answers requests: it has a valid state and has joined.
    pub(super) fn is_active(&self) -> bool {
        self.disabled_reason.is_none() && self.join.is_none()
    }

    /// Marks the next record as being written, and returns it for the caller to write.
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

    /// Creates the answer to the request `number`, which may be sent once the state numbered `state` is on disk.
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
