//! Requests to the member's own acceptor, and the writes of its state. A reply is sent once the state on which it
//! depends is on disk.

use super::interface::NodeOutput;
use super::local_acceptor::{JoinAttempt, LocalAcceptor, PendingReply, PendingWrite};
use super::member::ConsensusNode;
use crate::acceptor::{Acceptor, AcceptorRequest, AcceptorState};
use crate::message::ReportedState;
use crate::record::AcceptorRecord;
use crate::Ballot;
use rand_pcg::rand_core::RngCore;
use std::collections::BTreeMap;

/// Interval after which a failed write is retried.
const WRITE_RETRY_INTERVAL_US: u64 = 1_000_000;

impl ConsensusNode {
    /// Starts this member's acceptor from the record on its disk. If the record could not be read, the acceptor stays
    /// disabled.
    pub fn load_acceptor(&mut self, now: u64, local_record: Result<AcceptorRecord, String>) {
        let (durable, state, disabled_reason) = match local_record {
            Ok(record) => {
                self.documents.insert(&record.document);
                (record.durable, record.state, None)
            }
            Err(reason) => (AcceptorState::default(), 0, Some(reason)),
        };
        let position = self
            .config
            .acceptors
            .iter()
            .position(|name| *name == self.config.name);
        let index = position.unwrap_or(usize::MAX) as u64;
        let join = durable.joining.then(|| JoinAttempt {
            ballot: Ballot {
                number: 1,
                proposer: self.rng.next_u64(),
            },
            promises: BTreeMap::new(),
            retry_at: now,
        });
        let acceptor = Acceptor::new(self.config.lease_config, index, durable, now);
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

    /// Returns the number of the durable state of this member's acceptor, or the reason why the acceptor does not
    /// answer requests; `None` if the member is not an acceptor.
    pub fn acceptor_status(&self) -> Option<Result<u64, String>> {
        let local = self.local_acceptor.as_ref()?;
        if let Some(reason) = &local.disabled_reason {
            return Some(Err(reason.clone()));
        }
        if local.write_retry_at.is_some() {
            return Some(Err(
                "the state cannot be written to disk; the write is retried".into(),
            ));
        }
        if local.join.is_some() {
            return Some(Err(
                "joining to replace an earlier keeper: waiting for promises from a majority of the keepers"
                    .into(),
            ));
        }
        Some(Ok(local.state))
    }

    /// Handles a request to this member's acceptor. The answer is sent once the state on which it depends is on disk.
    pub(super) fn handle_acceptor_request(
        &mut self,
        now: u64,
        from: &str,
        number: u64,
        last_reported: ReportedState,
        request: AcceptorRequest,
        out: &mut Vec<NodeOutput>,
    ) {
        if let AcceptorRequest::Accept { policy, .. } = &request {
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
            let reason = format!(
                "the folder holds state {}, but this keeper reported state {} before: the folder was put back from a copy",
                local.state, last_reported.state
            );
            out.push(NodeOutput::Log(format!(
                "policy: keeper-silent why={reason:?}"
            )));
            local.disabled_reason = Some(reason);
            return;
        }
        // While a write is pending, the request is dropped, because its reply could depend on a state that is not on
        // disk. The sender retries it.
        if local.pending_write.is_some() {
            return;
        }
        let response = local.acceptor.handle(now, request);
        if !response.requires_sync {
            let message = local.answer(number, local.state, response.reply);
            return self.send(from, message, out);
        }
        let reply = PendingReply {
            to: from.into(),
            message: local.answer(number, local.state + 1, response.reply),
        };
        let durable = local.acceptor.state().clone();
        let accepted = durable.accepted;
        let digest = accepted
            .map(|(_, policy)| policy.digest)
            .unwrap_or_default();
        let document = self.documents.get(&digest).unwrap_or_default().to_string();
        let record = local.start_write(&self.config.name, durable, document, Some(reply));
        out.push(NodeOutput::Store(record));
    }

    /// Handles the result of writing a record. The caller has to call this function once for each
    /// [`NodeOutput::Store`].
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

    /// Completes a successful write: sends the pending reply, or activates the acceptor if the write ended its join.
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

    /// Schedules a retry of a failed write. The write stays pending: it is unknown whether the record is on disk, so
    /// no request may be answered before the retry succeeds.
    fn schedule_write_retry(&mut self, now: u64, reason: &str, out: &mut Vec<NodeOutput>) {
        let Some(local) = &mut self.local_acceptor else {
            return;
        };
        let retry_at = now + WRITE_RETRY_INTERVAL_US;
        if local.write_retry_at.replace(retry_at).is_none() {
            out.push(NodeOutput::Log(format!(
                "policy: keeper-cannot-write why={reason:?}"
            )));
        }
    }

    /// Retries a failed write when the retry is due.
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
}
