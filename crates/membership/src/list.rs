//! The list of servers: the form in which the list agent tells it, and the loop that watches it.

use crate::desk::Desk;
use frosthatch_engine::{Member, Protocol, State};
use frosthatch_http1::conn::{Conn, Sending};
use serde::{Deserialize, Deserializer};
use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use turndeck::ListKind;

/// How long a watch waits for news. Short, so that a silent discovery is noticed and asked again in time.
const HOLD_MS: u64 = 2_000;
/// An answer that comes later than this after the wait is over will not come.
const PATIENCE: Duration = Duration::from_millis(HOLD_MS + 1_000);
const BACKOFF_LEAST: Duration = Duration::from_millis(50);
const BACKOFF_MOST: Duration = Duration::from_secs(1);
/// A list larger than this is nonsense.
const LIST_BYTES: usize = 4 << 20;

#[derive(Debug, Deserialize, Default)]
pub struct ServerList {
    pub rev: u64,
    pub all: bool,
    #[serde(deserialize_with = "readable")]
    pub targets: Vec<Member>,
}

/// The entries of a list that make no sense, by their place, and why.
pub fn unreadable(list: &serde_json::Value) -> Vec<(usize, String)> {
    let entries = list.get("targets").and_then(|t| t.as_array()).map_or(&[][..], |t| &t[..]);
    let why = |e: &serde_json::Value| Target::deserialize(e).err().map(|e| e.to_string());
    entries.iter().enumerate().filter_map(|(n, e)| Some((n, why(e)?))).collect()
}

/// Guards against an entry that makes no sense: it is left out, the rest of the list holds.
fn readable<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Member>, D::Error> {
    let entries = Vec::<serde_json::Value>::deserialize(from)?;
    let read = |entry: serde_json::Value| {
        let target = Target::deserialize(&entry);
        target.inspect_err(|e| eprintln!("a server in the list makes no sense: {e}")).ok().map(Member::from)
    };
    Ok(entries.into_iter().filter_map(read).collect())
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    #[serde(default)]
    az: String,
    #[serde(default)]
    pod_group: u64,
    state: Told,
    #[serde(default = "one")]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: u64,
    #[serde(default, deserialize_with = "protocol")]
    proto: Protocol,
}

/// Left out it is HTTP/1.1, as ever; what nobody here speaks makes no sense.
fn protocol<'de, D: Deserializer<'de>>(from: D) -> Result<Protocol, D::Error> {
    let name = String::deserialize(from)?;
    Protocol::named(&name)
        .ok_or_else(|| serde::de::Error::custom(format!("proto {name:?} is not spoken here")))
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
enum Told {
    Ready,
    Terminating,
    Gone,
}

impl From<Target> for Member {
    fn from(t: Target) -> Member {
        Member {
            uid: t.uid,
            endpoint: t.endpoint,
            zone: t.az,
            cell: t.pod_group,
            state: match t.state {
                Told::Ready => State::Ready,
                Told::Terminating => State::Draining,
                Told::Gone => State::Gone,
            },
            share: t.capacity_hint,
            boot_ms: t.boot_ms,
            protocol: t.proto,
        }
    }
}

/// Why a call to discovery brought nothing.
enum CallError {
    Silent,
    Io(std::io::Error),
    Status(u16),
    Malformed(serde_json::Error),
    TooLong,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Silent => write!(f, "no answer"),
            CallError::Io(e) => write!(f, "{e}"),
            CallError::Status(s) => write!(f, "status {s}"),
            CallError::TooLong => write!(f, "a list of more than {LIST_BYTES} bytes"),
            CallError::Malformed(e) => write!(f, "malformed list: {e}"),
        }
    }
}

/// Follows the list of one discovery. An error or a silence keeps the last list; a broken watch goes on from its
/// version.
pub(crate) async fn follow(address: SocketAddr, desk: &Desk) {
    let mut conn = None;
    let mut rev = None;
    let mut backoff = BACKOFF_LEAST;
    let mut failing = false;
    loop {
        match timeout(PATIENCE, call(address, &mut conn, rev)).await.unwrap_or(Err(CallError::Silent)) {
            Ok(list) => {
                (rev, backoff, failing) = (Some(list.rev), BACKOFF_LEAST, false);
                let kind = if list.all { ListKind::Complete } else { ListKind::Partial };
                desk.tell(kind, list.targets);
            }
            Err(e) => {
                if !std::mem::replace(&mut failing, true) {
                    eprintln!("discovery: {e}; keeping the last list");
                }
                conn = None;
                sleep(backoff).await;
                backoff = (backoff * 2).min(BACKOFF_MOST);
            }
        }
    }
}

async fn call(
    address: SocketAddr,
    conn: &mut Option<Conn>,
    rev: Option<u64>,
) -> Result<ServerList, CallError> {
    let path = match rev {
        None => "/v1/endpoints".to_string(),
        Some(rev) => format!("/v1/endpoints?from={rev}&hold_ms={HOLD_MS}"),
    };
    let open = match conn.take().filter(Conn::quiet) {
        Some(open) => open,
        None => Conn::open(address).await.map_err(CallError::Io)?,
    };
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let written = Cell::new(0);
    let request = [request.as_bytes(), b""];
    let sending = Sending { request, written: &written, may: &|| true, whole: &|| () };
    let answer = open.ask(sending, LIST_BYTES).await.map_err(CallError::Io)?;
    if answer.rest.is_some() {
        return Err(CallError::TooLong);
    }
    if answer.reusable {
        *conn = Some(open);
    }
    match answer.status {
        200 => serde_json::from_slice(&answer.body).map_err(CallError::Malformed),
        status => Err(CallError::Status(status)),
    }
}
