//! The member's own acceptor: it answers requests once its state is on disk, and joins in place of one whose state was lost.

use super::{ConsensusNode, NodeOutput};
use crate::acceptor::{
    Acceptor, AcceptorIncarnation, AcceptorReply, AcceptorRequest, AcceptorState,
};
use crate::message::{AcceptorAnswer, Message, ReportedState};
use crate::record::AcceptorRecord;
use crate::{majority, Ballot, Policy};
use rand_pcg::rand_core::RngCore;
use std::collections::BTreeMap;

/// A write that failed is retried after this.
const WRITE_RETRY_INTERVAL_US: u64 = 1_000_000;
/// The number of join requests; numbers of proposals are odd, so it is none of theirs.
pub(super) const JOIN_REQUEST_NUMBER: u64 = 2;

/// The acceptor of this member, and what is on its disk.
pub(super) struct LocalAcceptor {
    /// Its index among the acceptors.
    index: u64,
    pub(super) acceptor: Acceptor,
    /// The number of the state that is on disk.
    state: u64,
    pending_write: Option<PendingWrite>,
    join: Option<JoinAttempt>,
    /// When a failed write is retried; `u64::MAX` while it is being retried.
    write_retry_at: Option<u64>,
    /// Why it does not answer as an acceptor any more.
    disabled_reason: Option<String>,
}

/// A record that is being written.
struct PendingWrite {
    record: AcceptorRecord,
    /// What may be sent once the record is on disk.
    reply: Option<PendingReply>,
}

struct PendingReply {
    to: String,
    message: Message,
}

/// The attempt of a new acceptor to join in place of a lost one.
struct JoinAttempt {
    ballot: Ballot,
    /// What each acceptor that promised the ballot had accepted, by acceptor index.
    promises: BTreeMap<u64, Option<(Ballot, Policy)>>,
    retry_at: u64,
}

impl JoinAttempt {
    /// Starts over with a higher ballot.
    fn restart(&mut self, ballot_number: u64) {
        self.ballot.number = ballot_number;
        self.promises.clear();
    }

    fn handle_reply(&mut self, from: u64, reply: AcceptorReply) {
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
    fn latest_accepted(&self) -> Option<(Ballot, Policy)> {
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
    fn start_write(
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
    fn answer(&self, number: u64, state: u64, reply: AcceptorReply) -> Message {
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

impl ConsensusNode {
    /// Starts this member's acceptor with the record that was read from its disk. Where it could not be read, the acceptor stays
    /// disabled.
    pub fn load_acceptor(&mut self, now: u64, read: Result<AcceptorRecord, String>) {
        let (durable, state, disabled_reason) = match read {
            Ok(record) => {
                self.documents.insert(&record.document);
                (record.durable, record.state, None)
            }
            Err(reason) => (AcceptorState::default(), 0, Some(reason)),
        };
        let position = self
            .config
            .keepers
            .iter()
            .position(|name| *name == self.config.me);
        let index = position.unwrap_or(usize::MAX) as u64;
        let join = durable.joining.then(|| JoinAttempt {
            ballot: Ballot {
                number: 1,
                proposer: self.rng.next_u64(),
            },
            promises: BTreeMap::new(),
            retry_at: now,
        });
        let acceptor = Acceptor::new(self.config.times, index, durable, now);
        self.local_acceptor = Some(LocalAcceptor {
            index,
            acceptor,
            state,
            pending_write: None,
            join,
            write_retry_at: None,
            disabled_reason,
        });
    }

    /// The state that this member's acceptor has on disk, or why it does not answer requests; `None` if the member is no acceptor.
    pub fn keeps(&self) -> Option<Result<u64, String>> {
        let local = self.local_acceptor.as_ref()?;
        if let Some(reason) = &local.disabled_reason {
            return Some(Err(reason.clone()));
        }
        if local.write_retry_at.is_some() {
            return Some(Err(
                "what it promised cannot be put on disk; it is tried again".into(),
            ));
        }
        if local.join.is_some() {
            return Some(Err(
                "it joins in the place of an earlier one, and waits for a majority of the others"
                    .into(),
            ));
        }
        Some(Ok(local.state))
    }

    /// Handles a request to this member's acceptor. The answer waits until the state it rests on is on disk.
    pub(super) fn handle_acceptor_request(
        &mut self,
        now: u64,
        from: &str,
        number: u64,
        last_reported: ReportedState,
        request: AcceptorRequest,
        out: &mut Vec<NodeOutput>,
    ) {
        if let AcceptorRequest::Accept(_, policy, _) = &request {
            if !self.documents.contains(&policy.digest) {
                return self.fetches.start(now, policy.digest, from);
            }
        }
        let local = self.local_acceptor.as_mut();
        let Some(local) = local.filter(|local| local.is_active()) else {
            return;
        };
        let current = ReportedState {
            incarnation: local.acceptor.state().incarnation,
            state: local.state,
        };
        if last_reported > current {
            let why = format!(
                "its folder is at the state {}, and it told of {}: it was put back from a copy",
                local.state, last_reported.state
            );
            out.push(NodeOutput::Log(format!(
                "policy: keeper-silent why={why:?}"
            )));
            local.disabled_reason = Some(why);
            return;
        }
        // What is promised must not be reported before it is on disk; the sender will retry.
        if local.pending_write.is_some() {
            return;
        }
        let (reply, has_to_be_stored) = local.acceptor.handle(now, request);
        if !has_to_be_stored {
            let message = local.answer(number, local.state, reply);
            return self.send(from, message, out);
        }
        let reply = PendingReply {
            to: from.into(),
            message: local.answer(number, local.state + 1, reply),
        };
        let durable = local.acceptor.state().clone();
        let accepted = durable.accepted;
        let digest = accepted
            .map(|(_, policy)| policy.digest)
            .unwrap_or_default();
        let document = self.documents.get(&digest).unwrap_or_default().to_string();
        let record = local.start_write(&self.config.me, durable, document, Some(reply));
        out.push(NodeOutput::Store(record));
    }

    /// Has to be called with the result of each [`NodeOutput::Store`].
    pub fn record_stored(
        &mut self,
        now: u64,
        result: Result<(), String>,
        out: &mut Vec<NodeOutput>,
    ) {
        match result {
            Ok(()) => self.finish_write(now, out),
            Err(reason) => self.schedule_write_retry(now, &reason, out),
        }
    }

    fn finish_write(&mut self, now: u64, out: &mut Vec<NodeOutput>) {
        let Some(local) = &mut self.local_acceptor else {
            return;
        };
        let Some(PendingWrite { record, reply }) = local.pending_write.take() else {
            return;
        };
        local.state = record.state;
        if local.join.take().is_some() {
            out.push(NodeOutput::Log(format!(
                "policy: joined state={}",
                record.state
            )));
            return self.load_acceptor(now, Ok(record));
        }
        if local.write_retry_at.take().is_some() {
            out.push(NodeOutput::Log(format!(
                "policy: keeper-writes state={}",
                record.state
            )));
        }
        if let Some(PendingReply { to, message }) = reply {
            self.send(&to, message, out);
        }
        self.process_inbox(now, out);
    }

    /// Keeps the write pending: whether the record is on disk is not known, so nothing may be answered yet.
    fn schedule_write_retry(&mut self, now: u64, why: &str, out: &mut Vec<NodeOutput>) {
        let Some(local) = &mut self.local_acceptor else {
            return;
        };
        let retry_at = now + WRITE_RETRY_INTERVAL_US;
        if local.write_retry_at.replace(retry_at).is_none() {
            out.push(NodeOutput::Log(format!(
                "policy: keeper-cannot-write why={why:?}"
            )));
        }
    }

    /// Repeats a failed write when it is due.
    pub(super) fn retry_write(&mut self, now: u64, out: &mut Vec<NodeOutput>) {
        let Some(local) = &mut self.local_acceptor else {
            return;
        };
        if local.write_retry_at.is_none_or(|retry_at| now < retry_at) {
            return;
        }
        local.write_retry_at = Some(u64::MAX);
        if let Some(write) = &local.pending_write {
            out.push(NodeOutput::Store(write.record.clone()));
        }
    }

    /// While this acceptor joins: asks the others again when it is due.
    pub(super) fn retry_join(&mut self, now: u64, out: &mut Vec<NodeOutput>) {
        let highest_ballot = self.lease_holder.highest_ballot_number();
        let Some(local) = &mut self.local_acceptor else {
            return;
        };
        let Some(join) = local.join.as_mut().filter(|join| now >= join.retry_at) else {
            return;
        };
        join.retry_at = now + self.config.again_us;
        if join.ballot.number <= highest_ballot {
            join.restart(highest_ballot + 1);
        }
        let request = AcceptorRequest::Join(join.ballot, local.index);
        self.send_to_acceptors(JOIN_REQUEST_NUMBER, &request, out);
    }

    /// While this acceptor joins: takes another's reply. Once a majority of all acceptors, this one not counted, has promised the
    /// ballot, this one knows at least what its predecessor accepted, and nothing that rests on a promise of the predecessor can be
    /// accepted any more.
    pub(super) fn handle_join_reply(
        &mut self,
        now: u64,
        from: &str,
        acceptor: u64,
        reply: AcceptorReply,
        out: &mut Vec<NodeOutput>,
    ) {
        let quorum = majority(self.config.keepers.len());
        let local = self.local_acceptor.as_mut();
        let Some(local) = local.filter(|local| local.pending_write.is_none()) else {
            return;
        };
        let Some(join) = &mut local.join else {
            return;
        };
        join.handle_reply(acceptor, reply);
        if join.promises.len() < quorum {
            return;
        }
        let accepted = join.latest_accepted();
        let digest = accepted
            .map(|(_, policy)| policy.digest)
            .unwrap_or_default();
        if !self.documents.contains(&digest) {
            return self.fetches.start(now, digest, from);
        }
        let mut other_incarnations = self.incarnations.clone();
        other_incarnations.remove(&local.index);
        let durable = AcceptorState {
            promised: join.ballot,
            accepted,
            incarnation: join.ballot.number,
            incarnations: other_incarnations,
            joining: false,
        };
        let document = self.documents.get(&digest).unwrap_or_default().to_string();
        let record = local.start_write(&self.config.me, durable, document, None);
        out.push(NodeOutput::Store(record));
    }
}
