//! Attempts, each of which sends a request to one server and waits for the outcome.

use super::server::{PendingRequest, Server};
use super::Servers;
use crate::codec::Message;
use crate::credit::{classify_answer, forwarded_request, AnswerClass};
use crate::link::SentAttempt;
use crate::overload::announce_support;
use frosthatch_engine::{Attempt, AttemptPermit, AttemptResult, Payload, WriteDenied};
use frosthatch_traffic_control::{CompletionStatus, ServerId};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};

/// A client's request, which may be sent to several servers in succession.
#[derive(Clone)]
pub struct OutgoingRequest {
    /// Request as received from the client.
    pub ccr: Rc<Message>,
    /// Origin-Host of the client, for the Route-Record.
    pub client_host: String,
    /// Servers that the request may be sent to.
    pub servers: Rc<Servers>,
    /// Server that sent the answer for the client; `None` until an attempt has served the request.
    pub answered_by: Rc<RefCell<Option<ServerId>>>,
    /// Whether an earlier attempt may have been executed.
    pub may_have_executed: Rc<Cell<bool>>,
}

impl Payload for OutgoingRequest {
    fn attempt(&self, server: &ServerId, deadline: Instant, permit: AttemptPermit) -> Attempt {
        let request = self.clone();
        let server = server.clone();
        Box::pin(async move {
            let result = request
                .servers
                .attempt(&server, &request, deadline, permit)
                .await;
            if result.status == CompletionStatus::Served {
                *request.answered_by.borrow_mut() = Some(server);
            }
            let may_have_executed = request.may_have_executed.get() || !result.status.never_ran();
            request.may_have_executed.set(may_have_executed);
            result
        })
    }
}

impl Servers {
    /// Sends a request to a server and waits for the outcome.
    async fn attempt(
        &self,
        id: &ServerId,
        request: &OutgoingRequest,
        deadline: Instant,
        permit: AttemptPermit,
    ) -> AttemptResult {
        match self.send(id, request, permit) {
            Ok(pending) => self.wait_for_outcome(pending, deadline).await,
            Err(status) => AttemptResult::without_response(status),
        }
    }

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
            request.may_have_executed.get(),
        );
        announce_support(&mut message);
        if permit.check().is_err() {
            return Err(CompletionStatus::NotSent);
        }
        let SentAttempt { end, denied } = link
            .send_attempt(&message, permit)
            .ok_or(CompletionStatus::NoConnection)?;
        let (sender, answer) = oneshot::channel();
        let pending_request = PendingRequest {
            answer: sender,
            end,
        };
        server
            .pending
            .borrow_mut()
            .insert(hop_by_hop, pending_request);
        Ok(PendingAttempt {
            server,
            hop_by_hop,
            denied,
            answer,
        })
    }

    /// Waits until a sent attempt is answered, fails or times out.
    async fn wait_for_outcome(
        &self,
        mut attempt: PendingAttempt,
        deadline: Instant,
    ) -> AttemptResult {
        let received = tokio::select! {
            biased;
            Ok(_) = &mut attempt.denied => {
                return AttemptResult::without_response(CompletionStatus::NotSent);
            }
            received = timeout_at(deadline, &mut attempt.answer) => received,
        };
        let status = match received {
            Ok(Ok(Some(answer))) => return self.process_answer(&attempt.server, &answer),
            Ok(Ok(None)) => CompletionStatus::NoConnection,
            Ok(Err(_)) => CompletionStatus::ConnectionLost,
            // This status also applies to a request that is still queued: it cannot be removed from the queue, so it may
            // still be written and executed.
            Err(_) => CompletionStatus::NoAnswer,
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

/// A sent attempt. Dropping it removes its pending request, so that a late answer is ignored, and
/// disconnects the server if it is draining and no other request is pending.
struct PendingAttempt {
    server: Rc<Server>,
    hop_by_hop: u32,
    denied: oneshot::Receiver<WriteDenied>,
    answer: oneshot::Receiver<Option<Message>>,
}

impl Drop for PendingAttempt {
    fn drop(&mut self) {
        self.server.pending.borrow_mut().remove(&self.hop_by_hop);
        self.server.disconnect_if_drained();
    }
}
