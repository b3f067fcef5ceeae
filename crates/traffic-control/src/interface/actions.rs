//! The actions that a gateway returns in response to events.

use super::events::Timer;
use super::identifiers::{RequestId, ServerId};
use super::time::Micros;

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedReason {
    /// The settings do not contain the request's class or plan.
    UnknownClass,
    /// The customer is new, and the limit on tracked customers is reached.
    TooManyCustomers,
    /// The gateway holds no lease, so no policy is known under which requests may be admitted.
    NoLease,
    /// The customer's quota is used up, as far as this gateway knows.
    Quota,
    /// The request would exceed the customer's ceiling.
    Ceiling,
    /// The servers are over capacity, and the request is among those that are shed.
    Pressure,
    /// No server became available while the request could wait.
    NoServer,
    /// The request's attempts failed, and no further attempt is allowed.
    AttemptsFailed,
}

impl UnservedReason {
    /// Returns the name of the reason in logs.
    pub fn name(self) -> &'static str {
        match self {
            UnservedReason::UnknownClass => "unknown_class",
            UnservedReason::TooManyCustomers => "too_many_customers",
            UnservedReason::NoLease => "no_lease",
            UnservedReason::Quota => "quota",
            UnservedReason::Ceiling => "ceiling",
            UnservedReason::Pressure => "pressure",
            UnservedReason::NoServer => "no_server",
            UnservedReason::AttemptsFailed => "attempts_failed",
        }
    }
}

/// An action that the driver of a gateway carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server that the attempt goes to.
        server: ServerId,
        /// Timeout of the attempt; 0 to wait until the client gives up.
        timeout_us: Micros,
        /// Time from now within which the attempt may begin; later it must not be sent and counts as never run. The
        /// driver checks this immediately before it sends, as establishing a connection may take long.
        begin_within_us: Micros,
        /// Time from now after which an answer that is still arriving is passed on as it arrives, even if it may turn out to be
        /// short: it loses its value then, and no other attempt could still serve the request.
        pass_on_after_us: Micros,
    },
    /// Cancel an attempt: its answer is no longer used, but the attempt may still run.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Give a request its final answer: rejected. The client may safely retry it.
    Reject {
        /// The request.
        request: RequestId,
        /// Time after which the client should retry; 0 if none is given.
        retry_after_us: Micros,
        /// The reason, for logs and metrics.
        reason: UnservedReason,
    },
    /// Give a request its final answer: failed. The request may have run.
    Fail {
        /// The request.
        request: RequestId,
        /// The reason, for logs and metrics.
        reason: UnservedReason,
    },
    /// Set a timer, and pass it to the gateway as [`Event::Timer`](crate::Event::Timer) once it expires.
    SetTimer {
        /// Time from now until the timer expires.
        after_us: Micros,
        /// The timer.
        timer: Timer,
    },
    /// Send a message to another gateway.
    SendToPeer {
        /// Index of the other gateway.
        to: u32,
        /// The encoded message, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Add to a named total that the shared counter keeps. The reply is
    /// [`Event::CounterReply`](crate::Event::CounterReply).
    AddToCounter {
        /// The name of the total.
        name: String,
        /// The amount to add.
        amount: f64,
        /// How long the counter retains the total, if this call creates it.
        ttl_us: Micros,
    },
    /// Report to the other gateways the units that a customer used within its quota. Returned only if
    /// [`Settings::usage_report_ttl_us`](crate::Settings::usage_report_ttl_us) is set.
    ReportUsage {
        /// The customer's tag.
        tag: u32,
        /// The units used.
        units: f64,
    },
    /// Subscribe to the server list.
    Subscribe,
    /// Write a line to the on-call log.
    Log(String),
}
