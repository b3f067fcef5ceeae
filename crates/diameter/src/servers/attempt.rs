//! Attempts, each of which sends a request to one server and waits for the outcome.

use super::server::{PendingRequest, Server};
use super::Servers;
use crate::codec::Message;
use crate::credit::{classify_answer, forwarded_request, AnswerClass};
use crate::link::{SentAttempt, WriteHandle};
use crate::overload::announce_support;
use frosthatch_engine::{
    Attempt, AttemptDeadlines, AttemptPermit, AttemptResult, Payload, WriteDenied,
};
use frosthatch_traffic_control::{CompletionStatus, ServerId};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};

/// Time after an attempt's deadline for which it counts as in flight at a server that answers other requests. Answers may
/// be lost without the connection ending, and the attempt must not take the place of others forever.
const MAX_ANSWER_DELAY: Duration = Duration::from_secs(30);

/// A client's request, which may be sent to several servers in succession.
#[derive(Clone)]
pub struct OutgoingRequest {
    /// Request as received from the client.
    pub ccr: Rc<Message>,
    /// Origin-Host of the client, for the Route-Record.
    pub client_host: String,
    /// Servers that the request may be sent to.
    pub servers: Rc<Servers>,
    /// What the request's attempts have come to.
    pub history: Rc<AttemptHistory>,
}

/// What the attempts of one request have come to.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    answered_by: RefCell<Option<ServerId>>,
    /// Whether an attempt that has ended may have been executed.
    ended_attempt_may_have_executed: Cell<bool>,
    /// Message of the attempt in flight.
    current_write: RefCell<Option<WriteHandle>>,
}

impl AttemptHistory {
    /// Returns the server that sent the answer for the client; `None` until an attempt has served the request.
    pub fn answered_by(&self) -> Option<ServerId> {
        self.answered_by.borrow().clone()
    }

    /// Returns whether a server may have executed the request or may still do so.
    pub fn may_have_executed(&self) -> bool {
        let current_write = self.current_write.borrow();
        let is_at_server = current_write.as_ref().is_some_and(WriteHandle::has_begun);
        is_at_server || self.ended_attempt_may_have_executed.get()
    }

    fn record_sent(&self, write: WriteHandle) {
        *self.current_write.borrow_mut() = Some(write);
    }

    fn record_end(&self, server: ServerId, status: CompletionStatus) {
        *self.current_write.borrow_mut() = None;
        if !status.never_ran() {
            self.ended_attempt_may_have_executed.set(true);
        }
        if status == CompletionStatus::Served {
            *self.answered_by.borrow_mut() = Some(server);
        }
    }
}

impl Payload for OutgoingRequest {
    fn attempt(
        &self,
        server: &ServerId,
        deadlines: AttemptDeadlines,
        permit: AttemptPermit,
    ) -> Attempt {
        let request = self.clone();
        let server = server.clone();
        Box::pin(async move {
            let sent = request.servers.send(&server, &request, permit);
            // The message is not kept: an attempt may last much longer than its request.
            let OutgoingRequest {
                servers, history, ..
            } = request;
            let result = match sent {
                Ok(pending) => servers.wait_for_outcome(pending, deadlines.answer_by).await,
                Err(status) => AttemptResult::without_response(status),
            };
            history.record_end(server, result.status);
            result
        })
    }

    fn can_cancel_attempts(&self) -> bool {
        // The connection carries other requests, and nothing in the protocol takes a request back.
        false
    }
}

impl Servers {
    /// Queues a request on the connection to a server.
    ///
    /// # Errors
    /// Returns the status of the attempt if the request was not queued.
    fn send(
        &self,
        id: &ServerId,
        request: &OutgoingRequest,
        permit: AttemptPermit,
    ) -> Result<PendingAttempt, CompletionStatus> {
        let server = self.servers.borrow().get(id).cloned();
        let server = server.ok_or(CompletionStatus::NoConnection)?;
        let link = server.usable_link().ok_or(CompletionStatus::NoConnection)?;
        if server.pending.borrow().len() >= self.config().max_pending {
            return Err(CompletionStatus::NoConnection);
        }
        let is_abated = server
            .abatement
            .borrow()
            .should_abate((self.clock)(), &mut self.rng.borrow_mut());
        if is_abated {
            return Err(CompletionStatus::Rejected);
        }
        let hop_by_hop = link.next_hop_by_hop();
        let mut message = forwarded_request(
            &request.ccr,
            &request.client_host,
            hop_by_hop,
            request.history.may_have_executed(),
        );
        announce_support(&mut message);
        if permit.check().is_err() {
            return Err(CompletionStatus::NotSent);
        }
        let SentAttempt { end, write, denied } = link
            .send_attempt(&message, permit)
            .ok_or(CompletionStatus::NoConnection)?;
        request.history.record_sent(write.clone());
        let (sender, answer) = oneshot::channel();
        let pending_request = PendingRequest {
            answer: sender,
            write: write.clone(),
            end,
        };
        server
            .pending
            .borrow_mut()
            .insert(hop_by_hop, pending_request);
        Ok(PendingAttempt {
            server,
            hop_by_hop,
            write,
            denied,
            answer,
        })
    }

    /// Waits until a sent attempt is over: until it is answered, its connection ends, or it is withdrawn before it was
    /// written. The last happens at `deadline`; what was written by then remains with the server.
    async fn wait_for_outcome(
        &self,
        mut attempt: PendingAttempt,
        deadline: Instant,
    ) -> AttemptResult {
        let server = attempt.server.clone();
        let write = attempt.write.clone();
        let ending = attempt.wait_for_end();
        tokio::pin!(ending);
        let end = match timeout_at(deadline, &mut ending).await {
            Ok(end) => end,
            Err(_) if write.withdraw() => AttemptEnd::NotWritten,
            Err(_) => timeout_at(deadline + MAX_ANSWER_DELAY, &mut ending)
                .await
                .unwrap_or(AttemptEnd::AnswerLost),
        };
        let status = match end {
            AttemptEnd::Answered(answer) => return self.process_answer(&server, &answer),
            AttemptEnd::Denied => CompletionStatus::NotSent,
            AttemptEnd::NotWritten => CompletionStatus::NoConnection,
            AttemptEnd::ConnectionLost => CompletionStatus::ConnectionLost,
            AttemptEnd::AnswerLost => CompletionStatus::NoAnswer,
        };
        AttemptResult::without_response(status)
    }

    /// Applies the overload report of an answer, and returns the attempt's result.
    fn process_answer(&self, server: &Server, answer: &Message) -> AttemptResult {
        server.abatement.borrow_mut().update((self.clock)(), answer);
        let status = match classify_answer(answer) {
            AnswerClass::Final => CompletionStatus::Served,
            AnswerClass::Rejected => CompletionStatus::Rejected,
            AnswerClass::Failed => CompletionStatus::ServerError,
        };
        AttemptResult {
            body: answer.encode().into(),
            ..AttemptResult::without_response(status)
        }
    }
}

/// How a sent attempt ended.
enum AttemptEnd {
    /// The server answered.
    Answered(Message),
    /// The permit denied the write.
    Denied,
    /// The request was not written completely, and never will be.
    NotWritten,
    /// The connection ended after the request was written.
    ConnectionLost,
    /// The server did not answer for so long that no answer is expected.
    AnswerLost,
}

/// A sent attempt. Dropping it removes its pending request, so that a later answer is ignored, and disconnects the
/// server if it is draining and no other request is pending.
struct PendingAttempt {
    server: Rc<Server>,
    hop_by_hop: u32,
    write: WriteHandle,
    denied: oneshot::Receiver<WriteDenied>,
    answer: oneshot::Receiver<Option<Message>>,
}

impl PendingAttempt {
    /// Waits for the end of the attempt. To be awaited once.
    async fn wait_for_end(&mut self) -> AttemptEnd {
        tokio::select! {
            biased;
            Ok(_) = &mut self.denied => AttemptEnd::Denied,
            answer = &mut self.answer => match answer {
                Ok(Some(answer)) => AttemptEnd::Answered(answer),
                Ok(None) => AttemptEnd::NotWritten,
                Err(_) => AttemptEnd::ConnectionLost,
            },
        }
    }
}

impl Drop for PendingAttempt {
    fn drop(&mut self) {
        self.write.withdraw();
        self.server.pending.borrow_mut().remove(&self.hop_by_hop);
        self.server.disconnect_if_drained();
    }
}
