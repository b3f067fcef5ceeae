//! Attempts: a request sent to one server, and its outcome.

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

/// A client's request, which may be sent to several servers one after another.
#[derive(Clone)]
pub struct OutgoingRequest {
    /// The request as the client sent it.
    pub ccr: Rc<Message>,
    /// The client's host, for the Route-Record.
    pub client_host: String,
    /// The servers' side.
    pub servers: Rc<Servers>,
    /// The server that answered last.
    pub answered_by: Rc<RefCell<Option<ServerId>>>,
    /// Whether an earlier attempt may have been executed.
    pub may_have_run: Rc<Cell<bool>>,
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
            let may_have_run = request.may_have_run.get() || !result.status.never_ran();
            request.may_have_run.set(may_have_run);
            result
        })
    }
}

impl Servers {
    async fn attempt(
        &self,
        id: &ServerId,
        request: &OutgoingRequest,
        deadline: Instant,
        permit: AttemptPermit,
    ) -> AttemptResult {
        match self.send(id, request, permit) {
            Ok(pending) => self.outcome(pending, deadline).await,
            Err(status) => AttemptResult::without_response(status),
        }
    }

    /// Sends a request to a server.
    ///
    /// # Errors
    /// The end of the attempt if nothing was sent.
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
            .draw_abated((self.clock)(), &mut self.rng.borrow_mut());
        if is_abated {
            return Err(CompletionStatus::Rejected);
        }
        let hop_by_hop = link.next_hop_by_hop();
        let mut message = forwarded_request(
            &request.ccr,
            &request.client_host,
            hop_by_hop,
            request.may_have_run.get(),
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

    /// Waits for the end of an attempt.
    async fn outcome(&self, mut attempt: PendingAttempt, deadline: Instant) -> AttemptResult {
        let answered = tokio::select! {
            biased;
            Ok(_) = &mut attempt.denied => {
                return AttemptResult::without_response(CompletionStatus::NotSent);
            }
            answered = timeout_at(deadline, &mut attempt.answer) => answered,
        };
        let status = match answered {
            Ok(Ok(Some(answer))) => return self.answered(&attempt.server, &answer),
            Ok(Ok(None)) => CompletionStatus::NoConnection,
            Ok(Err(_)) => CompletionStatus::ConnectionLost,
            // Also if it is not written yet: it cannot be removed from the connection's queue.
            Err(_) => CompletionStatus::NoAnswer,
        };
        AttemptResult::without_response(status)
    }

    fn answered(&self, server: &Server, answer: &Message) -> AttemptResult {
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

/// An attempt that was sent. Dropping it removes its pending request, so that a late answer is dropped.
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
