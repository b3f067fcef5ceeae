//! What the engine exchanges with fronts, backends, membership sources and counters.

use crate::rules::AttemptPermit;
use bytes::Bytes;
use frosthatch_traffic_control::{CompletionStatus, LoadMetric, ServerId};
use std::any::Any;
use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A server as a membership source tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The same at every gateway.
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    /// The servers that share which keys they have seen.
    pub cell: u64,
    pub state: EndpointState,
    /// Its size beside the others'.
    pub weight: f64,
    /// When it last started, Unix time in milliseconds; 0: long ago.
    pub started_ms: u64,
    /// What it speaks: requests of another protocol never go there.
    pub protocol: Protocol,
}

/// The protocols that servers speak; each has a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    #[default]
    Http1 = 0,
    Diameter = 1,
}

impl Protocol {
    /// As records and lists name it.
    pub fn named(name: &str) -> Option<Protocol> {
        match name {
            "http/1.1" => Some(Protocol::Http1),
            "diameter" => Some(Protocol::Diameter),
            _ => None,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    /// Finishes what it has, wants nothing new.
    Draining,
    /// Nobody is there any more: what is out at it is not waited for.
    Gone,
}

/// Whoever keeps connections to servers.
pub trait EndpointObserver {
    /// News of the servers; a `whole` list forgets what it leaves out. Told before the decisions are.
    fn update(&self, whole: bool, members: &[Endpoint]);
}

/// What comes of something later.
pub type BoxedFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// An attempt under way; dropping it calls the attempt off.
pub type Attempt = BoxedFuture<AttemptResult>;

/// What of a client's request goes on to a server, in whatever protocol. Made by the front, for the backend that it
/// speaks to; the engine only keeps it.
pub trait Payload {
    /// One attempt. Whatever happens, it ends by `deadline`; called off, nothing more of it is sent. Where `permit` does not
    /// let it be written any more, it ends as not sent.
    fn attempt(&self, server: &ServerId, deadline: Instant, permit: AttemptPermit) -> Attempt;
}

/// How an attempt ended, and what its answer told.
pub struct AttemptResult {
    pub status: CompletionStatus,
    /// The answer in the protocol of its payload.
    pub body: Bytes,
    /// More of the answer comes: what the front of its protocol passes on.
    pub rest: Option<Box<dyn Any>>,
    pub metered_use: Option<f64>,
    pub load_report: Vec<(LoadMetric, f64)>,
}

impl AttemptResult {
    pub fn without_answer(status: CompletionStatus) -> Self {
        AttemptResult {
            status,
            body: Bytes::new(),
            rest: None,
            metered_use: None,
            load_report: Vec::new(),
        }
    }
}

/// A client's request, read and checked.
pub struct IncomingRequest {
    pub request: frosthatch_traffic_control::Request,
    /// When the client leaves.
    pub gone_at: Instant,
    pub payload: Box<dyn Payload>,
}

/// The one final answer of a request.
pub enum Response {
    Served(Bytes),
    /// Served, with more to come than the first bytes: by the backend, for the front of the same protocol.
    Streaming(Bytes, Box<dyn Any>),
    Rejected {
        retry_after: Duration,
    },
    /// By a server or on the way to it, or because there was no answer in time.
    Failed {
        timed_out: bool,
    },
}

/// A request was not taken: one with the same id is open.
pub struct DuplicateRequest;

/// Whoever tells the other gateways what this one let through.
pub trait UsageReporter {
    /// Units of a customer, by its short name.
    fn record_usage(&self, tag: u32, units: f64);
}

/// Whoever knows under what policy requests may be let in, where gateways agree on it.
pub trait PolicyLease {
    /// What the decisions are to hear before they decide on anything at this time.
    fn collect_events(
        &self,
        now: frosthatch_traffic_control::Micros,
        events: &mut VecDeque<frosthatch_traffic_control::Event>,
    );
    /// A request was let in, by what was heard last.
    fn record_admitted(&self, request: frosthatch_traffic_control::RequestId);
}

/// One call to the counter: add `amount` to `name`, which lives for `ttl_ms` if new.
pub struct CounterCall {
    pub name: String,
    pub amount: f64,
    pub ttl_ms: u64,
}

/// What a front shows of a request to the operator's own rules.
pub struct PluginRequest {
    pub request: frosthatch_traffic_control::Request,
    /// Until its client leaves.
    pub left: Duration,
    /// Its class is safe to repeat.
    pub repeatable: bool,
    /// Those of its headers that the rules want, by their names in lower case, and the first bytes of its body.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// What the rules make of a request before it is taken.
#[derive(Debug, PartialEq)]
pub enum PluginVerdict {
    Continue {
        /// More than it asked for.
        units: Option<f64>,
        /// It comes after others like it.
        lower: bool,
        /// Its answer is there within this, or it fails.
        within: Option<Duration>,
        /// Header lines for its answer.
        headers: String,
    },
    Reject {
        retry_after: Duration,
    },
    Fail,
}

/// Rules of the operator's own, which may be slow or wrong: each waits for so long and no longer.
pub trait RequestPlugins {
    /// Headers, by their names in lower case, and bytes of the body that they want to see.
    fn wanted_input(&self) -> Rc<(Vec<String>, usize)>;
    /// None: there is no rule for it.
    fn evaluate_request(
        self: Rc<Self>,
        ruling: &PluginRequest,
    ) -> Option<BoxedFuture<PluginVerdict>>;
    /// Header lines to add to an answer that took so long.
    fn evaluate_response(
        self: Rc<Self>,
        ruling: &PluginRequest,
        answer: &Response,
        took: Duration,
    ) -> Option<BoxedFuture<String>>;
}
