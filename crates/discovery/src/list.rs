//! The list of servers: the form in which the list agent tells it, and the loop that watches it.

use crate::registry::EndpointRegistry;
use frosthatch_engine::{Endpoint, EndpointState, Protocol};
use frosthatch_http1::conn::{Conn, Sending};
use frosthatch_log::log_line;
use frosthatch_traffic_control::ListKind;
use serde::{Deserialize, Deserializer};
use std::cell::Cell;
use std::collections::VecDeque;
use std::fmt;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{interval, sleep_until, timeout, Instant, MissedTickBehavior};
use tracing::debug;

/// How long a watch waits for news. Short, so that one that has fallen silent is noticed soon.
const HOLD_MS: u64 = 1_000;
/// An answer that comes later than this, after the wait that it may have is over, will not come.
const PATIENCE: Duration = Duration::from_millis(500);
/// After a call that brought nothing the list is asked for at once, without a wait and over a new connection, again this long
/// after that, and so on: what discovery knows when it is back is known here within this...
const AGAIN: Duration = Duration::from_millis(150);
/// ...with so many calls out at most. The oldest of them stays out while the others are replaced, as a discovery that is
/// crowded may answer late...
const CALLS_OUT: usize = 6;
/// ...for so long: a change counts as told 6 s after discovery had it, and the watch before this has taken up to 1.5 s.
const LATEST_ANSWER: Duration = Duration::from_secs(4);
/// A call begins this long after the one before at the earliest, whatever discovery answers.
const BETWEEN: Duration = Duration::from_millis(20);
/// A list larger than this is nonsense.
const LIST_BYTES: usize = 4 << 20;

#[derive(Debug, Deserialize, Default)]
pub struct ServerList {
    pub rev: u64,
    pub all: bool,
    #[serde(deserialize_with = "readable")]
    pub targets: Vec<Endpoint>,
}

/// The entries of a list that make no sense, by their place, and why.
pub fn unreadable(list: &serde_json::Value) -> Vec<(usize, String)> {
    let entries = list
        .get("targets")
        .and_then(|t| t.as_array())
        .map_or(&[][..], |t| &t[..]);
    let why = |e: &serde_json::Value| Target::deserialize(e).err().map(|e| e.to_string());
    entries
        .iter()
        .enumerate()
        .filter_map(|(n, e)| Some((n, why(e)?)))
        .collect()
}

/// Guards against an entry that makes no sense: it is left out, the rest of the list holds.
fn readable<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Endpoint>, D::Error> {
    let entries = Vec::<serde_json::Value>::deserialize(from)?;
    let read = |entry: serde_json::Value| {
        let target = Target::deserialize(&entry);
        target
            .inspect_err(|e| log_line!("a server in the list makes no sense: {e}"))
            .ok()
            .map(Endpoint::from)
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

impl From<Target> for Endpoint {
    fn from(t: Target) -> Endpoint {
        Endpoint {
            uid: t.uid,
            address: t.endpoint,
            zone: t.az,
            cell: t.pod_group,
            state: match t.state {
                Told::Ready => EndpointState::Ready,
                Told::Terminating => EndpointState::Draining,
                Told::Gone => EndpointState::Gone,
            },
            weight: t.capacity_hint,
            started_ms: t.boot_ms,
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
pub(crate) async fn follow(address: SocketAddr, desk: &EndpointRegistry) {
    let mut conn = None;
    let mut rev = None;
    let mut failing = false;
    let mut next = Instant::now();
    loop {
        sleep_until(next).await;
        next = Instant::now() + BETWEEN;
        let wait = rev.map(|rev| (rev, HOLD_MS));
        let patience = PATIENCE + Duration::from_millis(wait.map_or(0, |(_, hold)| hold));
        let called = timeout(patience, call(address, conn.take(), wait)).await;
        let (list, kept) = match called.unwrap_or(Err(CallError::Silent)) {
            Ok(told) => {
                failing = false;
                told
            }
            Err(e) => {
                debug!(%address, reason = %e, "discovery.call_failed");
                if !std::mem::replace(&mut failing, true) {
                    log_line!("discovery: {e}; keeping the last list");
                }
                let told = ask_until_told(address, rev).await;
                next = Instant::now() + AGAIN;
                told
            }
        };
        conn = kept;
        // Guards against an agent that has begun anew, and tells changes of another list than the one that is held.
        if !list.all && rev.is_none_or(|rev| list.rev < rev) {
            rev = None;
            next = Instant::now() + AGAIN;
            continue;
        }
        rev = Some(list.rev);
        debug!(
            rev = list.rev,
            all = list.all,
            entries = list.targets.len(),
            "discovery.told"
        );
        let kind = if list.all {
            ListKind::Complete
        } else {
            ListKind::Partial
        };
        desk.tell(kind, list.targets);
    }
}

/// Asks, without a wait, until an answer has come: anew each time a while has passed, as what is out may never be answered.
async fn ask_until_told(address: SocketAddr, rev: Option<u64>) -> (ServerList, Option<Conn>) {
    let mut out = VecDeque::new();
    let mut again = interval(AGAIN);
    again.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = again.tick() => {
                if out.len() >= CALLS_OUT {
                    let oldest: Option<&Outstanding<_>> = out.front();
                    let oldest_is_lost = oldest.is_some_and(|o| o.made_at.elapsed() >= LATEST_ANSWER);
                    out.remove(if oldest_is_lost { 0 } else { 1 });
                }
                let call = Box::pin(call(address, None, rev.map(|rev| (rev, 0))));
                out.push_back(Outstanding { made_at: Instant::now(), call });
            }
            (nth, called) = first_of(&mut out), if !out.is_empty() => match called {
                Ok(told) => return told,
                // The next one goes out in its turn: who answers nonsense is not asked more often.
                Err(_) => drop(out.remove(nth)),
            }
        }
    }
}

/// A call whose answer has not come.
struct Outstanding<F> {
    made_at: Instant,
    call: Pin<Box<F>>,
}

/// Which of them ends first, and how.
async fn first_of<F: Future>(of: &mut VecDeque<Outstanding<F>>) -> (usize, F::Output) {
    poll_fn(|cx| {
        let ended = |(nth, o): (usize, &mut Outstanding<F>)| match o.call.as_mut().poll(cx) {
            Poll::Ready(output) => Some((nth, output)),
            Poll::Pending => None,
        };
        of.iter_mut()
            .enumerate()
            .find_map(ended)
            .map_or(Poll::Pending, Poll::Ready)
    })
    .await
}

/// One call, and its connection if another may go over it. `wait`: only what is newer than a version, for which discovery
/// may wait so many milliseconds.
async fn call(
    address: SocketAddr,
    conn: Option<Conn>,
    wait: Option<(u64, u64)>,
) -> Result<(ServerList, Option<Conn>), CallError> {
    let path = match wait {
        None => "/v1/endpoints".to_string(),
        Some((rev, hold_ms)) => format!("/v1/endpoints?from={rev}&hold_ms={hold_ms}"),
    };
    let open = match conn.filter(Conn::quiet) {
        Some(open) => open,
        None => Conn::open(address)
            .await
            .map_err(|e| CallError::Io(e.into()))?,
    };
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let written = Cell::new(0);
    let request = [request.as_bytes(), b""];
    let sending = Sending {
        request,
        written: &written,
        may: &|_| Ok(()),
        whole: &|| (),
    };
    let answer = open.ask(sending, LIST_BYTES).await.map_err(CallError::Io)?;
    if answer.rest.is_some() {
        return Err(CallError::TooLong);
    }
    match answer.status {
        200 => {
            let list = serde_json::from_slice(&answer.body).map_err(CallError::Malformed)?;
            Ok((list, answer.reusable.then_some(open)))
        }
        status => Err(CallError::Status(status)),
    }
}
