//! Handles a client's request: validates it, submits it to the engine, and sends its answer.

use super::in_flight::InFlightRequest;
use super::{Frontend, WaitingClient};
use crate::codec::{flag, Avp, Message};
use crate::credit::{has_loop, CreditRequest, Disposition, RequestKey};
use crate::dictionary::{code, result};
use crate::lcg;
use crate::link::Link;
use crate::servers::{AttemptHistory, OutgoingRequest};
use frosthatch_engine::{IncomingRequest, Protocol, Response};
use frosthatch_traffic_control::{Request, RequestId, ServerId};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Time that clients wait for an answer in classes without a configured timeout (Tx in RFC 8506 section 13).
const DEFAULT_TRANSACTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Increment of the generator of request ids; odd, so that the generator has the full period.
const REQUEST_ID_INCREMENT: u64 = 0x1405_7B7E_F767_814F;

/// A submitted request, with the data that its completion needs.
struct Submission {
    id: RequestId,
    key: RequestKey,
    ccr: Rc<Message>,
    history: Rc<AttemptHistory>,
    /// Answer to send if no server answers.
    error_answer: Message,
}

/// The servers that a request may be sent to.
enum Routing {
    /// The request needs no particular server.
    AnyServer,
    /// The request belongs to a session whose state `server` holds. `may_fail_over`: another server may be tried if
    /// `server` is unavailable.
    Sticky {
        server: ServerId,
        may_fail_over: bool,
    },
    /// The session's server accepts no requests, and no other server may be tried.
    Undeliverable,
}

impl Frontend {
    /// Answers a client's request immediately, submits it to the engine, or adds the client to the request in flight that it
    /// duplicates.
    pub(super) fn handle_request(
        self: &Rc<Self>,
        client_id: u64,
        link: &Link,
        client_host: &str,
        ccr: Message,
    ) {
        // The gateway's own copy of a request, which a server has sent back, must not wait for that server's answer.
        if has_loop(&ccr, &self.config().identity.host) {
            return link.send_answer(&link.gateway_answer(&ccr, result::LOOP_DETECTED));
        }
        let client = WaitingClient {
            client_id,
            hop_by_hop: ccr.header.hop_by_hop,
        };
        let now_us = self.engine.now_us();
        let disposition = if self.accepts_new_request(link, &ccr) {
            self.credit.borrow_mut().handle_ccr(now_us, &ccr, client)
        } else {
            self.credit.borrow_mut().handle_repeat(now_us, &ccr, client)
        };
        match disposition {
            Disposition::Joined(key) => {
                let id = self.in_flight.borrow().id_of(&key);
                if let Some(id) = id {
                    self.engine.resume(id);
                }
            }
            Disposition::Answered(mut answer) => {
                answer.header.hop_by_hop = ccr.header.hop_by_hop;
                link.send_answer(&answer);
            }
            Disposition::Rejected(fault) => link.send_answer(&link.fault_answer(&ccr, &fault)),
            Disposition::Submit(key, request) => self.submit(link, client_host, key, request, ccr),
        }
    }

    /// Returns whether the request may be submitted if it repeats no other: the gateway is not draining, has not sent its
    /// disconnect request, and holds no more than its limit in bytes.
    fn accepts_new_request(&self, link: &Link, ccr: &Message) -> bool {
        let bytes = self.in_flight.borrow().bytes() + ccr.memory_bytes();
        !self.is_draining.get() && !link.is_closing() && bytes <= self.config().max_request_bytes
    }

    /// Submits a request to the engine and completes it when the engine responds.
    fn submit(
        self: &Rc<Self>,
        link: &Link,
        client_host: &str,
        key: RequestKey,
        credit_request: CreditRequest,
        ccr: Message,
    ) {
        let sticky_server = match self.route(&credit_request) {
            Routing::AnyServer => None,
            Routing::Sticky {
                server,
                may_fail_over,
            } => Some((server, may_fail_over)),
            Routing::Undeliverable => {
                let answer = link.gateway_answer(&ccr, result::UNABLE_TO_DELIVER);
                return self.deliver(&key, &ccr, &answer, None);
            }
        };
        let submission = Submission {
            id: self.next_request_id(),
            error_answer: link.gateway_answer(&ccr, result::UNABLE_TO_COMPLY),
            key,
            ccr: Rc::new(ccr),
            history: Rc::default(),
        };
        let in_flight = InFlightRequest {
            key: submission.key.clone(),
            ccr: submission.ccr.clone(),
            bytes: submission.ccr.memory_bytes(),
            history: submission.history.clone(),
        };
        let incoming =
            self.incoming_request(&submission, client_host, credit_request, sticky_server);
        self.in_flight.borrow_mut().insert(submission.id, in_flight);
        let Ok(response) = self.engine.submit(incoming) else {
            self.in_flight.borrow_mut().remove(submission.id);
            let Submission {
                key,
                ccr,
                error_answer,
                ..
            } = submission;
            return self.deliver(&key, &ccr, &error_answer, None);
        };
        let frontend = self.clone();
        spawn_local(async move {
            // The sender is dropped without a response if the request was cancelled because its clients disconnected.
            if let Ok(response) = response.await {
                frontend.complete(submission, response);
            }
        });
    }

    /// Determines which servers a request may be sent to.
    fn route(&self, request: &CreditRequest) -> Routing {
        match &request.sticky_server {
            Some(server) if self.servers.accepts_requests(server) => Routing::Sticky {
                server: ServerId(server.as_str().into()),
                may_fail_over: request.may_fail_over,
            },
            Some(_) if !request.may_fail_over => Routing::Undeliverable,
            _ => Routing::AnyServer,
        }
    }

    /// Returns the next id of the pseudo-random sequence.
    fn next_request_id(&self) -> RequestId {
        let id = lcg::next(self.last_request_id.get(), REQUEST_ID_INCREMENT);
        self.last_request_id.set(id);
        RequestId(id)
    }

    /// Creates the request to submit to the engine.
    fn incoming_request(
        &self,
        submission: &Submission,
        client_host: &str,
        credit_request: CreditRequest,
        sticky_server: Option<(ServerId, bool)>,
    ) -> IncomingRequest {
        let config = self.config();
        let transaction_timeout = config.transaction_timeouts.get(&credit_request.class);
        let client_timeout_at = Instant::now()
            + transaction_timeout
                .copied()
                .unwrap_or(DEFAULT_TRANSACTION_TIMEOUT);
        let request = Request {
            id: submission.id,
            customer: credit_request.customer.into(),
            plan: credit_request.plan,
            class: credit_request.class,
            units: credit_request.units,
            gateway_count: config.gateway_count,
            first_gateway: 0,
            remaining_us: 0,
            pool: Protocol::Diameter as u8,
            sticky_server,
            low_priority: false,
        };
        let payload = OutgoingRequest {
            ccr: submission.ccr.clone(),
            client_host: client_host.into(),
            servers: self.servers.clone(),
            history: submission.history.clone(),
        };
        IncomingRequest {
            request,
            client_deadline: client_timeout_at,
            payload: Box::new(payload),
        }
    }

    /// Answers a submitted request according to the engine's response.
    fn complete(&self, submission: Submission, response: Response) {
        let Submission {
            id,
            key,
            ccr,
            history,
            error_answer,
        } = submission;
        self.in_flight.borrow_mut().remove(id);
        let answered_by = history.answered_by();
        let is_rejected = matches!(response, Response::Rejected { .. });
        let mut answer = match response {
            Response::Served(bytes) => Message::decode(bytes).unwrap_or(error_answer),
            Response::Rejected { retry_after } => rejection(error_answer, retry_after),
            // Only HTTP requests have streaming responses.
            Response::Failed { .. } | Response::Streaming(..) => error_answer,
        };
        let now_us = self.engine.now_us();
        let mut reporter = self.overload_reporter.borrow_mut();
        reporter.record_answer(now_us, is_rejected);
        reporter.add_report(now_us, &ccr, &mut answer);
        drop(reporter);
        self.deliver(&key, &ccr, &answer, answered_by.as_ref());
    }

    /// Records the answer to a request and sends it to all clients that wait for it. `server` is the server that answered,
    /// `None` if the gateway did.
    fn deliver(
        &self,
        key: &RequestKey,
        ccr: &Message,
        answer: &Message,
        server: Option<&ServerId>,
    ) {
        let now_us = self.engine.now_us();
        let server = server.map(|server| &*server.0);
        let clients = self
            .credit
            .borrow_mut()
            .complete(now_us, key, ccr, answer, server);
        for client in clients {
            let link = self.clients.borrow().get(&client.client_id).cloned();
            if let Some(link) = link {
                let mut answer = answer.clone();
                answer.header.hop_by_hop = client.hop_by_hop;
                link.send_answer(&answer);
            }
        }
    }
}

/// Turns `answer` into the answer to a request that was not executed: `DIAMETER_TOO_BUSY` (RFC 6733 section 7.1.3), with
/// the time after which to retry.
fn rejection(mut answer: Message, retry_after: Duration) -> Message {
    answer.avps.retain(|avp| avp.code != code::RESULT_CODE);
    answer.header.flags |= flag::ERROR;
    let text = format!("refused; come back in {} ms", retry_after.as_millis());
    answer
        .with_avp(Avp::of_u32(code::RESULT_CODE, result::TOO_BUSY))
        .with_avp(Avp::of_text(code::ERROR_MESSAGE, &text).optional())
}
