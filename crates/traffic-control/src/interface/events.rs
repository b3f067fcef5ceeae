//! The events that a gateway handles, timers included.

use super::identifiers::RequestId;
use super::plans::{LeaseState, PolicyTerms};
use super::requests::{AttemptOutcome, CompletionStatus, Request};
use super::server_list::{ListKind, ServerEntry};
use super::time::Micros;

/// A timer that the gateway set with [`Action::SetTimer`](crate::Action::SetTimer).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The end of a control interval.
    Interval,
    /// The timer of a request.
    Request(RequestId),
    /// The timer of a customer, by its tag.
    Customer(u32),
}

/// A gateway's reports on the health of servers, for the other gateways.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthReports {
    /// Number of servers that the gateway uses.
    pub used_servers: usize,
    /// For each reported server: its hash key, its recent error rate from 0 to 1, and the time of that assessment.
    pub reports: Vec<(u64, f64, Micros)>,
}

/// An event that a gateway handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the server list.
    Servers {
        /// What the entries cover.
        kind: ListKind,
        /// The entries of the update.
        entries: Vec<ServerEntry>,
    },
    /// A client request.
    Request(Request),
    /// A streamed answer has begun: the request may have no further attempt, and the one in flight goes on.
    Streaming(RequestId),
    /// No client waits for the request any more, but a server may have it and cannot give it back: the request stays open
    /// for a client that repeats it, and has no further attempt until then.
    Suspended(RequestId),
    /// A client waits for a suspended request again.
    Resumed(RequestId),
    /// An attempt ended.
    Outcome(AttemptOutcome),
    /// An attempt that cannot be cancelled got no answer within its timeout. It stays in flight until its
    /// [`Event::Outcome`].
    Overdue {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Time since the attempt was sent.
        elapsed_us: Micros,
    },
    /// The client closed its connection or gave up before the final answer.
    ClientGone(RequestId),
    /// A timer expired.
    Timer(Timer),
    /// A message from another gateway arrived.
    Peer {
        /// Index of the other gateway.
        from: u32,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Other gateways reported units that customers used within their quotas.
    UsageReported {
        /// Indices of the gateways whose usage is completely reported up to now; each has reported since the previous
        /// event of this kind.
        complete_gateways: Vec<u32>,
        /// Index of the reporting gateway, tag of the customer, and units used.
        uses: Vec<(u32, u32, f64)>,
        /// Tag of the customer, and units used before a gateway's first report: their age is unknown.
        earlier_uses: Vec<(u32, f64)>,
    },
    /// The set of present gateways changed. Servers are assigned to the gateways with these indices; before the first
    /// event of this kind, to as many gateways as [`Settings::gateways`](crate::Settings::gateways) says.
    Gateways(Vec<u32>),
    /// Another gateway reported the health of servers; this replaces its previous reports.
    HealthReports {
        /// Index of the other gateway.
        from: u32,
        /// The complete reports of the other gateway.
        reports: HealthReports,
    },
    /// The set of absent gateways changed. Absent gateways are known to admit no requests, because they left or never
    /// joined. Holds the indices of all absent gateways.
    GatewaysAbsent(Vec<u32>),
    /// The wall clock, from which all gateways derive the names of the counter's totals, was stepped.
    WallClock {
        /// Microseconds by which the wall clock is now ahead of the clock of events; negative if it is behind.
        ahead_us: i64,
    },
    /// New policy terms are in force. The units that customers used carry over, and for a short transition the stricter
    /// of the old and new limits apply.
    PolicyChanged(PolicyTerms),
    /// The state of the policy lease changed, and with it whether requests may be admitted.
    LeaseStateChanged(LeaseState),
    /// A call to the counter ended.
    CounterReply {
        /// The name of the total.
        name: String,
        /// How the call ended.
        status: CompletionStatus,
        /// The value of the total after the call, if the call was served.
        total: f64,
    },
}
