//! What happens to a gateway: its timers and events.

use super::identifiers::RequestId;
use super::plans::{LeaseState, PolicyTerms};
use super::requests::{AttemptOutcome, CompletionStatus, Request};
use super::server_list::{ListKind, ServerEntry};
use super::time::Micros;

/// A timer that the gateway has set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The control interval.
    Interval,
    /// The timer of a request.
    Request(RequestId),
    /// The timer of a customer, by its tag.
    Customer(u32),
}

/// What a gateway reports of servers to the others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthReports {
    /// Number of servers that it uses.
    pub uses: usize,
    /// Hash key of a server, recent error rate there from 0 to 1, and when that was assessed.
    pub of: Vec<(u64, f64, Micros)>,
}

/// An event that a gateway handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the server list.
    Servers {
        /// How to read it.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A client request.
    Request(Request),
    /// A streamed answer has begun: no other attempt may follow.
    Streaming(RequestId),
    /// An attempt ended.
    Outcome(AttemptOutcome),
    /// The client has gone.
    ClientGone(RequestId),
    /// A timer is due.
    Timer(Timer),
    /// A message from a peer.
    Peer {
        /// The peer's index.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Other gateways reported what they let through within quotas.
    UsageReported {
        /// The gateways that have reported all their use until now since the last such event.
        heard: Vec<u32>,
        /// Index of a gateway, tag of a customer, and units.
        uses: Vec<(u32, u32, f64)>,
        /// Tag of a customer, and units from before a gateway first reported: how old they are is not known.
        past: Vec<(u32, f64)>,
    },
    /// The numbers of the gateways that are present, in place of all that the settings count: servers are assigned to
    /// these.
    Gateways(Vec<u32>),
    /// All that another gateway reports of servers, in place of its previous reports.
    HealthReports {
        /// The other gateway's number.
        from: u32,
        /// Its reports.
        reports: HealthReports,
    },
    /// All gateways that are known to pass no requests, as they left or never joined.
    GatewaysAbsent(Vec<u32>),
    /// The wall clock, by which all gateways name counts, was stepped: it is now `ahead_us` microseconds ahead of the clock
    /// of events.
    WallClock {
        /// Negative where the wall clock is behind.
        ahead_us: i64,
    },
    /// Other policy terms are in force. What customers used carries over, and for a short transition the smaller of both
    /// terms holds.
    PolicyChanged(PolicyTerms),
    /// Whether requests may be admitted has changed.
    LeaseStateChanged(LeaseState),
    /// A call to the counter ended.
    CounterReply {
        /// The name of the count.
        name: String,
        /// How the call ended.
        status: CompletionStatus,
        /// The total after the call, if served.
        total: f64,
    },
}
