//! What a gateway does in response to events.

use super::events::Timer;
use super::identifiers::{RequestId, ServerId};
use super::time::Micros;

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedReason {
    /// Its class or plan is not among the settings.
    UnknownClass,
    /// More customers are active than are kept.
    TooManyCustomers,
    /// Nobody knows under which policy requests may be let in.
    NoLease,
    /// Its customer's quota is used up, as far as is known.
    Quota,
    /// It would pass its customer's ceiling.
    Ceiling,
    /// Servers are pressed, and it is among those that are left out.
    Pressure,
    /// No server took it within the part of its time that it may wait.
    NoServer,
    /// Its attempts failed, and no further one may go out.
    AttemptsFailed,
}

impl UnservedReason {
    /// As logs name it.
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
        /// Where to.
        server: ServerId,
        /// Its time-out; 0: until the client gives up.
        timeout_us: Micros,
        /// It may begin within this, and not any more when that has passed: then it never ran. Whoever carries it out looks
        /// at the last moment, as a connection may come up late.
        begin_within_us: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long to stay away; 0: no advice.
        retry_after_us: Micros,
        /// Why; for logs and figures.
        reason: UnservedReason,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        request: RequestId,
        /// Why; for logs and figures.
        reason: UnservedReason,
    },
    /// Wake the gateway.
    SetTimer {
        /// After this.
        after_us: Micros,
        /// With this.
        timer: Timer,
    },
    /// Send a message to another gateway.
    SendToPeer {
        /// Its number.
        to: u32,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Add to a named count.
    AddToCounter {
        /// The name.
        name: String,
        /// The amount.
        amount: f64,
        /// How long the name lives, if new.
        ttl_us: Micros,
    },
    /// Units of a customer were let through within its quota: the other gateways are to know. Only with `ledger`.
    ReportUsage {
        /// The customer's short name.
        tag: u32,
        /// The units.
        units: f64,
    },
    /// Subscribe to the server list.
    Subscribe,
    /// A line for the on-call log.
    Log(String),
}
