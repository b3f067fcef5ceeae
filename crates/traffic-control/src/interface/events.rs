//! What happens to a gateway: its timers and events.

use super::identifiers::RequestId;
use super::plans::{LeaseState, PolicyTerms};
use super::requests::{AttemptOutcome, CompletionStatus, Request};
use super::server_list::{ListKind, ServerEntry};
use super::time::Micros;

/// A timer that the gateway asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The control interval.
    Interval,
    /// A request's own.
    Request(RequestId),
    /// A customer's, by its short name.
    Customer(u32),
}

/// What a gateway says of servers to the others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthReports {
    /// Servers that it uses.
    pub uses: usize,
    /// Key of a server, part of what was sent there that failed of late, and when that was found out.
    pub of: Vec<(u64, f64, Micros)>,
}

/// What a gateway is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the server list.
    Servers {
        /// How to read it.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A client request.
    Request(Request),
    /// A streamed answer has begun: the attempt is the client's now.
    Streaming(RequestId),
    /// An attempt ended.
    Outcome(AttemptOutcome),
    /// The client has gone.
    ClientGone(RequestId),
    /// A timer fell due.
    Timer(Timer),
    /// A message from a peer.
    Peer {
        /// Its index.
        from: u32,
        /// What it sent.
        bytes: Vec<u8>,
    },
    /// Other gateways told what they let through within quotas.
    UsageReported {
        /// The gateways that told, since the last such event, all that they had let through until now.
        heard: Vec<u32>,
        /// Gateways, short names of customers, and the units.
        uses: Vec<(u32, u32, f64)>,
        /// Customers and units of before the time from which a gateway is heard: nobody knows how much of it is old.
        past: Vec<(u32, f64)>,
    },
    /// The gateways that are there, by number, in place of all that the settings count: servers are dealt out among them.
    Gateways(Vec<u32>),
    /// All that another gateway says of servers, in place of what it said before.
    HealthReports {
        /// Its number.
        from: u32,
        /// What it says.
        reports: HealthReports,
    },
    /// All gateways of which is known that nothing comes through them: they left, or never were there.
    GatewaysAbsent(Vec<u32>),
    /// The wall clock, by which all gateways name counts, is so many microseconds ahead of the clock that events come with:
    /// it was stepped.
    WallClock {
        /// Negative: behind it.
        ahead_us: i64,
    },
    /// From now on other terms are in force. What customers used carries over, and for a moment the smaller of both holds.
    PolicyChanged(PolicyTerms),
    /// Whether requests may be let in from now on.
    LeaseStateChanged(LeaseState),
    /// The counter answered a call.
    CounterReply {
        /// The name counted.
        name: String,
        /// How the call ended.
        status: CompletionStatus,
        /// The total after the call, if served.
        total: f64,
    },
}
