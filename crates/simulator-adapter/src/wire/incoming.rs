//! Messages from the simulator, and their conversion to events of `frosthatch_traffic_control`.

use crate::error::MessageError;
use frosthatch_traffic_control::{
    AttemptOutcome, BootInfo, CompletionStatus, CustomerId, Event, Health, ListKind, LoadMetric,
    Request, RequestId, ServerEntry, ServerId, Timer,
};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// Number of hex digits in a request ID.
const REQUEST_ID_DIGITS: usize = 16;

/// A message from the simulator to one gateway instance.
#[derive(Deserialize)]
#[serde(rename_all_fields = "camelCase")]
pub enum IncomingMessage {
    /// The instance starts.
    Start {
        #[serde(rename = "i")]
        instance: u32,
        #[serde(default, rename = "prng")]
        seed: u64,
        boot_info: BootInfo,
    },
    /// The instance ends.
    #[serde(rename = "Detach")]
    Stop {
        #[serde(rename = "i")]
        instance: u32,
    },
    /// The discovery service sent an endpoint list, or a call to it failed.
    #[serde(rename = "Announce")]
    EndpointList {
        #[serde(rename = "i")]
        instance: u32,
        mode: ListMode,
        #[serde(default, rename = "items")]
        endpoints: Vec<WireEndpoint>,
    },
    /// A client request arrived.
    #[serde(rename = "WorkItem")]
    Request(WireRequest),
    /// The server began to stream its response to a request.
    #[serde(rename = "Flowing")]
    StreamingStarted {
        #[serde(rename = "i")]
        instance: u32,
        #[serde(rename = "ref")]
        id: String,
    },
    /// An attempt ended.
    #[serde(rename = "Response")]
    AttemptEnded(WireOutcome),
    /// The client gave up before the final answer to its request.
    #[serde(rename = "TimedOutClient")]
    ClientGone {
        #[serde(rename = "i")]
        instance: u32,
        #[serde(rename = "ref")]
        id: String,
    },
    /// A timer expired.
    #[serde(rename = "Alarm")]
    TimerDue {
        #[serde(rename = "i")]
        instance: u32,
        name: String,
    },
    /// A health check of a server ended. Traffic control does not use its result.
    ProbeResult {
        #[serde(rename = "i")]
        instance: u32,
    },
    /// A message from another gateway arrived.
    #[serde(rename = "NeighbourSays")]
    PeerMessage {
        #[serde(rename = "i")]
        instance: u32,
        #[serde(rename = "neighbour")]
        from: u32,
        content: String,
    },
    /// A call to the shared counter ended.
    #[serde(rename = "TallyBack")]
    CounterReply {
        #[serde(rename = "i")]
        instance: u32,
        name: String,
        status: WireStatus,
        #[serde(default, rename = "resultValue")]
        total: f64,
    },
}

/// A client request; converted to [`Request`].
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireRequest {
    #[serde(rename = "i")]
    instance: u32,
    #[serde(rename = "ref")]
    id: String,
    /// Index of the first gateway that the customer uses.
    #[serde(default, rename = "firstDoor")]
    first_gateway: f64,
    /// Number of gateways that the customer uses.
    #[serde(default = "default_one", rename = "width")]
    gateway_count: f64,
    /// Time until the client gives up.
    #[serde(rename = "graceUs")]
    remaining_us: u64,
    #[serde(default, rename = "contract")]
    plan: String,
    #[serde(default, rename = "grade")]
    class: String,
    #[serde(default, rename = "account")]
    customer: String,
    #[serde(default = "default_one", rename = "costUnits")]
    units: f64,
}

/// The outcome of an attempt; converted to [`AttemptOutcome`].
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireOutcome {
    #[serde(rename = "i")]
    instance: u32,
    #[serde(rename = "ref")]
    id: String,
    #[serde(default, rename = "delaySeenUs")]
    elapsed_us: u64,
    #[serde(default, rename = "leg")]
    attempt: u32,
    status: WireStatus,
    #[serde(default, rename = "settled")]
    settled_units: f64,
    server: String,
    /// Whether the client has its final answer.
    #[serde(default, rename = "over")]
    closed: bool,
    /// One more than the customer's metered use in percent of its quota, which is [`AttemptOutcome::metered_use`]; 0 if no
    /// use was metered.
    #[serde(default, rename = "fleetUse")]
    metered_percent_plus_one: f64,
    #[serde(default, rename = "telemetry")]
    load_report: BTreeMap<String, Value>,
}

/// Returns 1, the default of numeric fields that the simulator may omit.
fn default_one() -> f64 {
    1.0
}

/// The kind of an endpoint list message; converted to [`ListKind`].
#[derive(Deserialize, Clone, Copy)]
pub enum ListMode {
    /// The message holds the endpoints that changed.
    Partial,
    /// The message holds all endpoints.
    Complete,
    /// The message holds all endpoints as persisted before a restart of the gateway; they may be stale.
    Persisted,
    /// A call to the discovery service failed.
    Error,
}

/// How an attempt or a call to the counter ended; converted to [`CompletionStatus`].
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum WireStatus {
    Served,
    ServerError,
    #[serde(rename = "turned_away")]
    Rejected,
    NoAnswer,
    NoConnection,
    ConnectionLost,
    #[serde(rename = "called_off")]
    Cancelled,
    NotSent,
}

/// An entry of an endpoint list; converted to [`ServerEntry`].
#[derive(Deserialize)]
pub struct WireEndpoint {
    #[serde(default, rename = "bay")]
    cell: u64,
    #[serde(default, rename = "hall")]
    zone: String,
    #[serde(default, rename = "bornUs")]
    started_us: u64,
    #[serde(default = "default_one", rename = "share")]
    weight: f64,
    server: String,
    health: WireHealth,
}

/// The state of an endpoint; converted to [`Health`].
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum WireHealth {
    #[serde(rename = "in_service")]
    Ready,
    #[serde(rename = "terminating")]
    Draining,
    #[serde(rename = "terminated")]
    Removed,
}

impl From<WireStatus> for CompletionStatus {
    fn from(status: WireStatus) -> Self {
        match status {
            WireStatus::Served => CompletionStatus::Served,
            WireStatus::ServerError => CompletionStatus::ServerError,
            WireStatus::Rejected => CompletionStatus::Rejected,
            WireStatus::NoAnswer => CompletionStatus::NoAnswer,
            WireStatus::NoConnection => CompletionStatus::NoConnection,
            WireStatus::ConnectionLost => CompletionStatus::ConnectionLost,
            WireStatus::Cancelled => CompletionStatus::Cancelled,
            WireStatus::NotSent => CompletionStatus::NotSent,
        }
    }
}

impl From<ListMode> for ListKind {
    fn from(mode: ListMode) -> Self {
        match mode {
            ListMode::Partial => ListKind::Partial,
            ListMode::Complete => ListKind::Complete,
            ListMode::Persisted => ListKind::Persisted,
            ListMode::Error => ListKind::Error,
        }
    }
}

impl From<WireEndpoint> for ServerEntry {
    fn from(endpoint: WireEndpoint) -> Self {
        ServerEntry {
            server: ServerId(endpoint.server.into()),
            zone: endpoint.zone,
            cell: endpoint.cell,
            weight: endpoint.weight,
            started_us: endpoint.started_us,
            health: match endpoint.health {
                WireHealth::Ready => Health::Ready,
                WireHealth::Draining => Health::Draining,
                WireHealth::Removed => Health::Removed,
            },
            pool: 0,
        }
    }
}

impl WireRequest {
    fn into_request(self) -> Result<Request, MessageError> {
        Ok(Request {
            id: parse_request_id(&self.id)?,
            customer: CustomerId(self.customer.into()),
            plan: self.plan,
            class: self.class,
            units: self.units,
            gateway_count: self.gateway_count as u32,
            first_gateway: self.first_gateway as u32,
            remaining_us: self.remaining_us,
            pool: 0,
            sticky_server: None,
            low_priority: false,
        })
    }
}

impl WireOutcome {
    fn into_outcome(self) -> Result<AttemptOutcome, MessageError> {
        let has_metered_use = self.metered_percent_plus_one >= 1.0;
        let load_report = self.load_report.iter();
        Ok(AttemptOutcome {
            request: parse_request_id(&self.id)?,
            attempt: self.attempt,
            server: ServerId(self.server.into()),
            status: self.status.into(),
            elapsed_us: self.elapsed_us,
            closed: self.closed,
            settled_units: (self.settled_units > 0.0).then_some(self.settled_units),
            metered_use: has_metered_use.then_some((self.metered_percent_plus_one - 1.0) / 100.0),
            load_report: load_report
                .filter_map(|(name, value)| parse_load_metric(name, value))
                .collect(),
        })
    }
}

impl IncomingMessage {
    /// Returns the number of the instance that the message is for.
    pub fn instance(&self) -> u32 {
        match *self {
            IncomingMessage::Start { instance, .. }
            | IncomingMessage::Stop { instance }
            | IncomingMessage::EndpointList { instance, .. }
            | IncomingMessage::StreamingStarted { instance, .. }
            | IncomingMessage::ClientGone { instance, .. }
            | IncomingMessage::TimerDue { instance, .. }
            | IncomingMessage::ProbeResult { instance }
            | IncomingMessage::PeerMessage { instance, .. }
            | IncomingMessage::CounterReply { instance, .. } => instance,
            IncomingMessage::Request(ref request) => request.instance,
            IncomingMessage::AttemptEnded(ref outcome) => outcome.instance,
        }
    }

    /// Converts the message to an event; returns `None` for `Start`, `Stop` and `ProbeResult`, and for a
    /// timer with an unknown name.
    ///
    /// # Errors
    /// Returns an error if a request ID or the content of a peer message is malformed.
    pub fn into_event(self) -> Result<Option<Event>, MessageError> {
        Ok(match self {
            IncomingMessage::Start { .. }
            | IncomingMessage::Stop { .. }
            | IncomingMessage::ProbeResult { .. } => None,
            IncomingMessage::EndpointList {
                mode, endpoints, ..
            } => Some(Event::Servers {
                kind: mode.into(),
                entries: endpoints.into_iter().map(ServerEntry::from).collect(),
            }),
            IncomingMessage::Request(request) => Some(Event::Request(request.into_request()?)),
            IncomingMessage::StreamingStarted { id, .. } => {
                Some(Event::Streaming(parse_request_id(&id)?))
            }
            IncomingMessage::AttemptEnded(outcome) => Some(Event::Outcome(outcome.into_outcome()?)),
            IncomingMessage::ClientGone { id, .. } => {
                Some(Event::ClientGone(parse_request_id(&id)?))
            }
            IncomingMessage::TimerDue { name, .. } => parse_timer_name(&name).map(Event::Timer),
            IncomingMessage::PeerMessage { from, content, .. } => Some(Event::Peer {
                from,
                bytes: parse_hex(&content)?,
            }),
            IncomingMessage::CounterReply {
                name,
                status,
                total,
                ..
            } => Some(Event::CounterReply {
                name,
                status: status.into(),
                total,
            }),
        })
    }
}

/// Parses a request ID, written as 16 lower-case hex digits.
fn parse_request_id(text: &str) -> Result<RequestId, MessageError> {
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    let is_id = text.len() == REQUEST_ID_DIGITS && text.bytes().all(is_digit);
    let id = is_id.then(|| u64::from_str_radix(text, 16).ok()).flatten();
    id.map(RequestId)
        .ok_or_else(|| MessageError::RequestId(text.to_string()))
}

/// Parses bytes that are written as two hex digits each.
fn parse_hex(text: &str) -> Result<Vec<u8>, MessageError> {
    let parse_byte = |digits: &[u8]| {
        let is_byte = digits.len() == 2 && digits.iter().all(u8::is_ascii_hexdigit);
        let digits = std::str::from_utf8(digits).ok().filter(|_| is_byte)?;
        u8::from_str_radix(digits, 16).ok()
    };
    let bytes: Option<Vec<u8>> = text.as_bytes().chunks(2).map(parse_byte).collect();
    bytes.ok_or_else(|| MessageError::PeerContent(text.to_string()))
}

/// Converts an entry of a load report; returns `None` if the metric is unknown or its value is not a number.
fn parse_load_metric(name: &str, value: &Value) -> Option<(LoadMetric, f64)> {
    let metric = match name {
        "inflight" => LoadMetric::Inflight,
        "queue" => LoadMetric::Queue,
        "latency_ms" => LoadMetric::ServiceMs,
        _ => return None,
    };
    Some((metric, value.as_f64()?))
}

/// Returns the timer with the given name, as [`super::outgoing`] formats it; `None` if there is no such timer.
fn parse_timer_name(name: &str) -> Option<Timer> {
    if name == "interval" {
        return Some(Timer::Interval);
    }
    // A request ID may also begin with `c`, but the name of a customer timer is shorter.
    let customer_tag = name
        .strip_prefix('c')
        .filter(|_| name.len() < REQUEST_ID_DIGITS);
    match customer_tag {
        Some(tag) => u32::from_str_radix(tag, 16).ok().map(Timer::Customer),
        None => parse_request_id(name).ok().map(Timer::Request),
    }
}
