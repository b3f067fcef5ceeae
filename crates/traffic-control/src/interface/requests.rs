//! Client requests, and how their attempts end.

use super::identifiers::{CustomerId, RequestId, ServerId};
use super::time::Micros;

/// A client request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its identifier.
    pub id: RequestId,
    /// Whose it is.
    pub customer: CustomerId,
    /// The customer's plan.
    pub plan: String,
    /// The request's class.
    pub class: String,
    /// Units that it draws.
    pub units: f64,
    /// Gateways that the customer uses.
    pub gateway_count: u32,
    /// Index of the first of them; the others follow, counted round.
    pub first_gateway: u32,
    /// Time until the client gives this try up.
    pub remaining_us: Micros,
    /// The servers that it may go to.
    pub pool: u8,
    /// The one of them where it belongs, and whether it may go elsewhere once that one is lost.
    pub sticky_server: Option<(ServerId, bool)>,
    /// It comes after others of its class and plan where not all can be served.
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

/// What a figure in a load report means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Requests that the server holds.
    Inflight,
    /// Requests that wait at the server.
    Queue,
    /// Recent service time in milliseconds, without waiting.
    ServiceMs,
}

/// How an attempt, or a call to the counter, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionStatus {
    /// Done.
    Served,
    /// The server answered with an error; it may have run.
    ServerError,
    /// Turned away unseen; it never ran.
    Rejected,
    /// No answer in time; it may have run.
    NoAnswer,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Not sent at all.
    NotSent,
}

impl CompletionStatus {
    /// Whether this end proves that the attempt never ran.
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
    /// How it ended.
    pub status: CompletionStatus,
    /// Time since the send.
    pub elapsed_us: Micros,
    /// Set once the client has its final answer.
    pub closed: bool,
    /// Units that replace the guess, where units are settled afterwards.
    pub settled_units: Option<f64>,
    /// The customer's use over all gateways in the meter's last period, as a share of its rate or open limit.
    pub metered_use: Option<f64>,
    /// The server's load report.
    pub load_report: Vec<(LoadMetric, f64)>,
}

impl AttemptOutcome {
    /// An outcome that carries nothing besides its end and leaves the request open.
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

    /// The same outcome, with the request closed by it.
    pub fn closing(mut self) -> Self {
        self.closed = true;
        self
    }
}
