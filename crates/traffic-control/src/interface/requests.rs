//! Client requests and the outcomes of their attempts.

use super::identifiers::{CustomerId, RequestId, ServerId};
use super::time::Micros;

/// A client request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's identifier.
    pub id: RequestId,
    /// The customer that sent it.
    pub customer: CustomerId,
    /// The customer's plan.
    pub plan: String,
    /// The request's class.
    pub class: String,
    /// Units that the request takes from the quota.
    pub units: f64,
    /// Number of gateways that the customer uses.
    pub gateway_count: u32,
    /// Index of the first gateway that the customer uses; the others have the following indices, modulo the number of
    /// gateways.
    pub first_gateway: u32,
    /// Time until the client gives up.
    pub remaining_us: Micros,
    /// The pool of servers that the request may go to.
    pub pool: u8,
    /// The server that the request is sticky to, and whether it may go to another one once that server is lost.
    pub sticky_server: Option<(ServerId, bool)>,
    /// Whether the request is shed before others of its class and plan.
    pub low_priority: bool,
}

impl Request {
    /// Creates a request of one unit whose customer uses one gateway.
    pub fn new(id: u64, customer: &str, plan: &str, class: &str, remaining_us: Micros) -> Self {
        Request {
            id: RequestId(id),
            customer: CustomerId(customer.into()),
            plan: plan.into(),
            class: class.into(),
            units: 1.0,
            gateway_count: 1,
            first_gateway: 0,
            remaining_us,
            pool: 0,
            sticky_server: None,
            low_priority: false,
        }
    }
}

/// A metric in a server's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Requests in flight at the server.
    Inflight,
    /// Requests queued at the server.
    Queue,
    /// Recent service time in milliseconds, without time in a queue.
    ServiceMs,
}

/// How an attempt, or a call to the counter, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionStatus {
    /// The server answered.
    Served,
    /// The server answered with an error; the attempt may have run.
    ServerError,
    /// The server rejected the attempt without processing it; the attempt never ran.
    Rejected,
    /// No answer arrived in time; the attempt may have run.
    NoAnswer,
    /// No connection was established; the attempt never ran.
    NoConnection,
    /// The connection was lost; the attempt may have run.
    ConnectionLost,
    /// The gateway cancelled the attempt; it may have run.
    Cancelled,
    /// No part of the attempt was sent; it never ran.
    NotSent,
}

impl CompletionStatus {
    /// Returns whether the status proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            CompletionStatus::Rejected | CompletionStatus::NoConnection | CompletionStatus::NotSent
        )
    }
}

/// The outcome of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// The server that the attempt went to.
    pub server: ServerId,
    /// How the attempt ended.
    pub status: CompletionStatus,
    /// Time from the send to the end of the attempt.
    pub elapsed_us: Micros,
    /// Whether the client has its final answer.
    pub closed: bool,
    /// Units that the request actually took, if [`Request::units`] was an estimate.
    pub settled_units: Option<f64>,
    /// The customer's usage at all gateways in the last period of the usage meter, as a share of the plan's rate, or of
    /// its limit on attempts in flight if the plan limits these and not the rate.
    pub metered_use: Option<f64>,
    /// The load report of the server.
    pub load_report: Vec<(LoadMetric, f64)>,
}

impl AttemptOutcome {
    /// Creates an outcome without settled units, metered usage and load report, which leaves the request open.
    pub fn new(
        request: RequestId,
        attempt: u32,
        server: ServerId,
        status: CompletionStatus,
        elapsed_us: Micros,
    ) -> Self {
        AttemptOutcome {
            request,
            attempt,
            server,
            status,
            elapsed_us,
            closed: false,
            settled_units: None,
            metered_use: None,
            load_report: Vec::new(),
        }
    }

    /// Marks the request as closed by this outcome.
    pub fn closing(mut self) -> Self {
        self.closed = true;
        self
    }
}
