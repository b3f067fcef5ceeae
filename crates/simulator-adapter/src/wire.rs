//! The wire's messages and their translation; names are the wire's, nothing is decided here.

use frosthatch_traffic_control::{
    Action, AttemptOutcome, BootInfo, CompletionStatus, CustomerId, Event, Health, ListKind,
    LoadMetric, Request, RequestId, ServerEntry, ServerId, Timer,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Deserialize)]
pub struct Batch {
    #[serde(rename = "timeUs")]
    pub time_us: u64,
    pub batch: u64,
    pub msgs: Vec<Msg>,
}

#[derive(Serialize)]
pub struct Reply {
    pub batch: u64,
    pub out: Vec<Out>,
}

#[derive(Deserialize)]
#[serde(rename_all_fields = "camelCase")]
pub enum Msg {
    Start {
        i: u32,
        #[serde(default)]
        prng: u64,
        boot_info: BootInfo,
    },
    Detach {
        i: u32,
    },
    Announce {
        i: u32,
        mode: Mode,
        #[serde(default)]
        items: Vec<Item>,
    },
    WorkItem {
        i: u32,
        #[serde(rename = "ref")]
        id: String,
        #[serde(default)]
        first_door: f64,
        #[serde(default = "one")]
        width: f64,
        grace_us: u64,
        #[serde(default)]
        contract: String,
        #[serde(default)]
        grade: String,
        #[serde(default)]
        account: String,
        #[serde(default = "one")]
        cost_units: f64,
    },
    Flowing {
        i: u32,
        #[serde(rename = "ref")]
        id: String,
    },
    Response {
        i: u32,
        #[serde(rename = "ref")]
        id: String,
        #[serde(default)]
        delay_seen_us: u64,
        #[serde(default)]
        leg: u32,
        status: WireStatus,
        #[serde(default)]
        settled: f64,
        server: String,
        #[serde(default)]
        over: bool,
        #[serde(default)]
        fleet_use: f64,
        #[serde(default)]
        telemetry: BTreeMap<String, serde_json::Value>,
    },
    TimedOutClient {
        i: u32,
        #[serde(rename = "ref")]
        id: String,
    },
    Alarm {
        i: u32,
        name: String,
    },
    ProbeResult {
        i: u32,
    },
    NeighbourSays {
        i: u32,
        neighbour: u32,
        content: String,
    },
    TallyBack {
        i: u32,
        name: String,
        status: WireStatus,
        #[serde(default)]
        result_value: f64,
    },
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize, Clone, Copy)]
pub enum Mode {
    Partial,
    Complete,
    Persisted,
    Error,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum WireStatus {
    Served,
    ServerError,
    TurnedAway,
    NoAnswer,
    NoConnection,
    ConnectionLost,
    CalledOff,
    NotSent,
}

#[derive(Deserialize)]
pub struct Item {
    #[serde(default)]
    bay: u64,
    #[serde(default)]
    hall: String,
    #[serde(default, rename = "bornUs")]
    born_us: u64,
    #[serde(default = "one")]
    share: f64,
    server: String,
    health: WireHealth,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum WireHealth {
    InService,
    Terminating,
    Terminated,
}

impl From<WireStatus> for CompletionStatus {
    fn from(s: WireStatus) -> Self {
        match s {
            WireStatus::Served => CompletionStatus::Served,
            WireStatus::ServerError => CompletionStatus::ServerError,
            WireStatus::TurnedAway => CompletionStatus::Rejected,
            WireStatus::NoAnswer => CompletionStatus::NoAnswer,
            WireStatus::NoConnection => CompletionStatus::NoConnection,
            WireStatus::ConnectionLost => CompletionStatus::ConnectionLost,
            WireStatus::CalledOff => CompletionStatus::Cancelled,
            WireStatus::NotSent => CompletionStatus::NotSent,
        }
    }
}

fn request_id(text: &str) -> Result<RequestId, String> {
    let digits = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    let id = digits.then(|| u64::from_str_radix(text, 16).ok()).flatten();
    id.map(RequestId)
        .ok_or_else(|| format!("request id {text:?} is not 16 lower-case hex digits"))
}

fn hex(text: &str) -> Result<Vec<u8>, String> {
    let pairs = text.as_bytes().chunks(2);
    let byte = |p: &[u8]| {
        let digits = p.len() == 2 && p.iter().all(u8::is_ascii_hexdigit);
        digits
            .then(|| u8::from_str_radix(std::str::from_utf8(p).ok()?, 16).ok())
            .flatten()
    };
    pairs
        .map(|p| byte(p).ok_or_else(|| format!("message content {text:?} is not hex bytes")))
        .collect()
}

impl Msg {
    pub fn instance(&self) -> u32 {
        match *self {
            Msg::Start { i, .. }
            | Msg::Detach { i }
            | Msg::Announce { i, .. }
            | Msg::WorkItem { i, .. }
            | Msg::Flowing { i, .. }
            | Msg::Response { i, .. }
            | Msg::TimedOutClient { i, .. }
            | Msg::Alarm { i, .. }
            | Msg::ProbeResult { i }
            | Msg::NeighbourSays { i, .. }
            | Msg::TallyBack { i, .. } => i,
        }
    }

    /// The library's event; `None` for what it has no use for.
    pub fn event(self) -> Result<Option<Event>, String> {
        Ok(Some(match self {
            Msg::Start { .. } | Msg::Detach { .. } | Msg::ProbeResult { .. } => return Ok(None),
            Msg::Announce { mode, items, .. } => Event::Servers {
                kind: match mode {
                    Mode::Partial => ListKind::Partial,
                    Mode::Complete => ListKind::Complete,
                    Mode::Persisted => ListKind::Persisted,
                    Mode::Error => ListKind::Error,
                },
                entries: items.into_iter().map(Item::entry).collect(),
            },
            Msg::WorkItem {
                id,
                first_door,
                width,
                grace_us,
                contract,
                grade,
                account,
                cost_units,
                ..
            } => Event::Request(Request {
                id: request_id(&id)?,
                customer: CustomerId(account.into()),
                plan: contract,
                class: grade,
                units: cost_units,
                gateway_count: width as u32,
                first_gateway: first_door as u32,
                remaining_us: grace_us,
                pool: 0,
                sticky_server: None,
                low_priority: false,
            }),
            Msg::Flowing { id, .. } => Event::Streaming(request_id(&id)?),
            Msg::Response {
                id,
                delay_seen_us,
                leg,
                status,
                settled,
                server,
                over,
                fleet_use,
                telemetry,
                ..
            } => Event::Outcome(AttemptOutcome {
                request: request_id(&id)?,
                attempt: leg,
                server: ServerId(server.into()),
                status: status.into(),
                elapsed_us: delay_seen_us,
                closed: over,
                settled_units: (settled > 0.0).then_some(settled),
                metered_use: (fleet_use >= 1.0).then_some((fleet_use - 1.0) / 100.0),
                load_report: telemetry
                    .iter()
                    .filter_map(|(name, v)| load(name, v))
                    .collect(),
            }),
            Msg::TimedOutClient { id, .. } => Event::ClientGone(request_id(&id)?),
            Msg::Alarm { name, .. } => match timer(&name) {
                Some(t) => Event::Timer(t),
                None => return Ok(None),
            },
            Msg::NeighbourSays {
                neighbour, content, ..
            } => Event::Peer {
                from: neighbour,
                bytes: hex(&content)?,
            },
            Msg::TallyBack {
                name,
                status,
                result_value,
                ..
            } => Event::CounterReply {
                name,
                status: status.into(),
                total: result_value,
            },
        }))
    }
}

fn load(name: &str, value: &serde_json::Value) -> Option<(LoadMetric, f64)> {
    let kind = match name {
        "inflight" => LoadMetric::Inflight,
        "queue" => LoadMetric::Queue,
        "latency_ms" => LoadMetric::ServiceMs,
        _ => return None,
    };
    Some((kind, value.as_f64()?))
}

fn timer(name: &str) -> Option<Timer> {
    match name {
        "interval" => Some(Timer::Interval),
        _ => match name.strip_prefix('c').filter(|_| name.len() < 16) {
            Some(tag) => u32::from_str_radix(tag, 16).ok().map(Timer::Customer),
            None => request_id(name).ok().map(Timer::Request),
        },
    }
}

impl Item {
    fn entry(self) -> ServerEntry {
        ServerEntry {
            server: ServerId(self.server.into()),
            zone: self.hall,
            cell: self.bay,
            weight: self.share,
            started_us: self.born_us,
            health: match self.health {
                WireHealth::InService => Health::Ready,
                WireHealth::Terminating => Health::Draining,
                WireHealth::Terminated => Health::Removed,
            },
            pool: 0,
        }
    }
}

#[derive(Serialize)]
#[serde(rename_all_fields = "camelCase")]
pub enum Out {
    Issue {
        i: u32,
        #[serde(rename = "ref")]
        id: String,
        server: String,
        timeout_us: u64,
    },
    Revoke {
        i: u32,
        #[serde(rename = "ref")]
        id: String,
        leg: u32,
    },
    Decline {
        i: u32,
        #[serde(rename = "ref")]
        id: String,
        backoff_us: u64,
    },
    Fail {
        i: u32,
        #[serde(rename = "ref")]
        id: String,
    },
    SetTimer {
        i: u32,
        offset_us: u64,
        name: String,
    },
    Post {
        i: u32,
        target: u32,
        content: String,
    },
    PostAmount {
        i: u32,
        name: String,
        delta: f64,
        ttl_us: u64,
    },
    Tail {
        i: u32,
        active: bool,
    },
    WriteLog {
        i: u32,
        line: String,
    },
    GiveIn {
        i: u32,
        line: String,
    },
}

impl Out {
    /// None: the simulator has no such thing.
    pub fn from_action(i: u32, action: Action) -> Option<Self> {
        let text = |id: RequestId| format!("{:016x}", id.0);
        Some(match action {
            // There an attempt begins as it is sent.
            Action::Send {
                request,
                server,
                timeout_us,
                begin_within_us: _,
            } => Out::Issue {
                i,
                id: text(request),
                server: server.0.to_string(),
                timeout_us,
            },
            Action::Cancel { request, attempt } => Out::Revoke {
                i,
                id: text(request),
                leg: attempt,
            },
            Action::Reject {
                request,
                retry_after_us,
                reason: _,
            } => Out::Decline {
                i,
                id: text(request),
                backoff_us: retry_after_us,
            },
            Action::Fail { request, reason: _ } => Out::Fail {
                i,
                id: text(request),
            },
            Action::SetTimer { after_us, timer } => {
                let name = match timer {
                    Timer::Interval => "interval".into(),
                    Timer::Request(id) => text(id),
                    Timer::Customer(tag) => format!("c{tag:x}"),
                };
                Out::SetTimer {
                    i,
                    offset_us: after_us,
                    name,
                }
            }
            Action::SendToPeer { to, bytes } => {
                let content = bytes.iter().map(|b| format!("{b:02x}")).collect();
                Out::Post {
                    i,
                    target: to,
                    content,
                }
            }
            Action::AddToCounter {
                name,
                amount,
                ttl_us,
            } => Out::PostAmount {
                i,
                name,
                delta: amount,
                ttl_us,
            },
            // Only where gateways tell each other by a way of their own.
            Action::ReportUsage { .. } => return None,
            Action::Subscribe => Out::Tail { i, active: true },
            Action::Log(line) => Out::WriteLog { i, line },
        })
    }
}
