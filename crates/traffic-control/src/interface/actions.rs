//! What a gateway does in response to events.

use super::events::Timer;
use super::identifiers::{RequestId, ServerId};
use super::time::Micros;

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedReason {
    /// Its class or plan is not among the settings.
    UnknownClass,
    /// More customers are active than are tracked.
    TooManyCustomers,
    /// It is not known under which policy requests may be admitted.
    NoLease,
    /// Its customer's quota is used up, as far as is known.
    Quota,
    /// It would exceed its customer's ceiling.
    Ceiling,
    /// Servers are over capacity, and it is among the requests that are shed.
    Pressure,
    /// No server was available within the time that it may wait.
    NoServer,
    /// Its attempts failed, and no further one may go out.
    AttemptsFailed,
}

impl UnservedReason {
    /// The name that logs use.
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

/// What a gateway does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server that it goes to.
        server: ServerId,
        /// Its timeout; 0: until the client gives up.
        timeout_us: Micros,
        /// Time within which it may begin; after that it must not be sent and counts as never run. The driver checks this
        /// at the last moment, as a connection may be established late.
        begin_within_us: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final answer: rejected; trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Retry-after; 0: none is given.
        retry_after_us: Micros,
        /// Why; for logs and metrics.
        reason: UnservedReason,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        request: RequestId,
        /// Why; for logs and metrics.
        reason: UnservedReason,
    },
    /// Set a timer for the gateway.
    SetTimer {
        /// Time from now.
        after_us: Micros,
        /// The timer to return as an event.
        timer: Timer,
    },
    /// Send a message to another gateway.
    SendToPeer {
        /// The other gateway's number.
        to: u32,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Add to a count of the shared counter.
    AddToCounter {
        /// The name.
        name: String,
        /// The amount.
        amount: f64,
        /// How long the count is retained, if it is new.
        ttl_us: Micros,
    },
    /// Report units of a customer that passed within its quota to the other gateways. Only where
    /// [`Settings::usage_report_ttl_us`](crate::Settings::usage_report_ttl_us) is set.
    ReportUsage {
        /// The customer's tag.
        tag: u32,
        /// The units.
        units: f64,
    },
    /// Subscribe to the server list.
    Subscribe,
    /// A line for the on-call log.
    Log(String),
}
