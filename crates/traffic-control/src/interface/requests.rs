//! Client requests, and how their attempts end.

use super::identifiers::{CustomerId, RequestId, ServerId};
use super::time::Micros;

/// A client request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its identifier.
    pub id: RequestId,
    /// The customer that sent it.
    pub customer: CustomerId,
    /// The customer's plan.
    pub plan: String,
    /// The request's class.
    pub class: String,
    /// Units that it takes of the quota.
    pub units: f64,
    /// Gateways that the customer uses.
    pub gateway_count: u32,
    /// Index of the first of them; the others follow in a circle.
    pub first_gateway: u32,
    /// Time until the client gives up.
    pub remaining_us: Micros,
    /// The pool of servers that it may go to.
    pub pool: u8,
    /// The server that it is sticky to, and whether it may go elsewhere once that one is lost.
    pub sticky_server: Option<(ServerId, bool)>,
    /// Whether it is shed before others of its class and plan.
    pub low_priority: bool,
}

impl Request {
    /// A request of one unit whose customer uses one gateway.
    pub fn new(id: u64, customer: &str, plan: &str, class: &str, patience_us: Micros) -> Self {
        Request {
            id: RequestId(id),
            customer: CustomerId(customer.into()),
            plan: plan.into(),
            class: class.into(),
            units: 1.0,
            gateway_count: 1,
            first_gateway: 0,
            remaining_us: patience_us,
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
    /// Recent service time in milliseconds, without waiting.
    ServiceMs,
}

/// How an attempt, or a call to the counter, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionStatus {
    /// It was answered.
    Served,
    /// The server answered with an error; it may have run.
    ServerError,
    /// The server rejected it unseen; it never ran.
    Rejected,
    /// No answer in time; it may have run.
    NoAnswer,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// It was cancelled; it may have run.
    Cancelled,
    /// Nothing of it was sent; it never ran.
    NotSent,
}

impl CompletionStatus {
    /// Whether this status proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            CompletionStatus::Rejected | CompletionStatus::NoConnection | CompletionStatus::NotSent
        )
    }
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// The server.
    pub server: ServerId,
    /// How the attempt ended.
    pub status: CompletionStatus,
    /// Time since the send.
    pub elapsed_us: Micros,
    /// Set once the client has its final answer.
    pub closed: bool,
    /// Actual units, where the request's were an estimate.
    pub settled_units: Option<f64>,
    /// The customer's use at all gateways in the meter's last period, as a share of its rate or of its limit on attempts.
    pub metered_use: Option<f64>,
    /// The server's load report.
    pub load_report: Vec<(LoadMetric, f64)>,
}

impl AttemptOutcome {
    /// An outcome with a status only, which leaves the request open.
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

    /// The same outcome, with the request closed.
    pub fn closing(mut self) -> Self {
        self.closed = true;
        self
    }
}
