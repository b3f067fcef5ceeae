//! Reads and checks requests. No I/O: heads and bodies are taken off a connection's buffer as they come.

use super::HttpServer;
use crate::backend::Forward;
use crate::chunked::Chunked;
use crate::conn::Room;
use crate::message::{
    content_length, header, says_close, BODY_BYTES, BULK_BYTES, CHUNK, HEADERS, HEAD_BYTES,
};
use frosthatch_engine::{Protocol, Response};
use frosthatch_traffic_control::{CustomerId, Effect, RequestId, Settings};
use httparse::{Header, Status as Parsed, EMPTY_HEADER};
use std::fmt::Write;
use std::str::FromStr;
use std::time::Duration;
use tokio::time::Instant;

/// A long body for which there is no room may come again after this.
const NO_ROOM: Duration = Duration::from_secs(1);
/// No client waits this long.
const MOST_PATIENCE_S: f64 = 3_600.0;
/// Customers' names are numbers below this.
const CUSTOMERS: u64 = 1 << 33;

/// A request for a server.
pub(super) struct Ask {
    pub(super) request: frosthatch_traffic_control::Request,
    /// For so long the client waits, from its last byte on...
    pub(super) patience: Duration,
    /// ...which is until then.
    pub(super) gone_at: Instant,
    /// It has no body.
    pub(super) safe: bool,
    pub(super) forward: Forward,
    /// Headers that the operator's rules want to see.
    pub(super) shown: Vec<(String, String)>,
}

/// A request that is whole and in order; with no ask it asks whether the gateway is ready.
pub(super) struct Asked {
    pub(super) ask: Option<Box<Ask>>,
    /// The client wants the connection to end.
    pub(super) close: bool,
    /// It reads no chunks.
    pub(super) old: bool,
}

/// How it can be told where a request's body ends.
pub(super) enum BodyFraming {
    Length(usize),
    Chunked(Chunked),
}

/// A head that is in order, where it ends in the buffer, and the body behind it as far as it has come.
pub(super) struct Head {
    pub(super) end: usize,
    pub(super) framing: BodyFraming,
    pub(super) body: Vec<u8>,
    pub(super) room: Option<Room>,
    /// The client waits for a word before it sends the body (RFC 9110 section 10.1.1).
    pub(super) expects: bool,
    pub(super) close: bool,
    /// It reads no chunks.
    pub(super) old: bool,
    pub(super) ask: Option<Box<Ask>>,
}

impl Head {
    /// The request, now that its body is whole: its client's time counts from when the last of it came.
    pub(super) fn asked(&mut self, arrived_at: Instant) -> Asked {
        let mut ask = self.ask.take();
        if let Some(ask) = &mut ask {
            ask.gone_at = arrived_at + ask.patience;
            if !ask.safe {
                // As a length, whatever form it came in.
                ask.forward
                    .head
                    .extend(format!("Content-Length: {}\r\n", self.body.len()).into_bytes());
            }
            ask.forward.body = std::mem::take(&mut self.body);
            ask.forward.room = self.room.take();
        }
        Asked {
            ask,
            close: self.close,
            old: self.old,
        }
    }
}

impl HttpServer {
    /// Moves what has come of a body to where it is kept; whether that was all.
    pub(super) fn take_body(
        &self,
        head: &mut Head,
        buffer: &mut Vec<u8>,
    ) -> Result<bool, BadRequest> {
        if head.body.capacity() - head.body.len() < buffer.len() {
            head.body.reserve_exact(buffer.len().max(4 * CHUNK));
        }
        let whole = match &mut head.framing {
            BodyFraming::Length(length) => {
                let n = (*length - head.body.len()).min(buffer.len());
                head.body.extend(buffer.drain(..n));
                head.body.len() == *length
            }
            BodyFraming::Chunked(chunked) => chunked
                .take(buffer, &mut head.body)
                .map_err(|_| BadRequest::Malformed)?,
        };
        if head.body.len() > BULK_BYTES {
            return Err(BadRequest::BodyTooLong);
        }
        if head.body.len() > BODY_BYTES {
            let room = head.room.get_or_insert_with(|| self.upstream.room());
            if !room.holds(head.body.capacity()) {
                if let Some(ask) = &head.ask {
                    self.unsent(
                        ask.forward.class,
                        Response::Rejected {
                            retry_after: NO_ROOM,
                        },
                    );
                }
                return Err(BadRequest::NoRoom);
            }
        }
        Ok(whole)
    }

    /// Reads and checks a whole head, before anything is kept for it.
    pub(super) fn head(&self, buffer: &[u8]) -> Result<Head, BadRequest> {
        let mut headers = [EMPTY_HEADER; HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let end = match request.parse(buffer) {
            Ok(Parsed::Complete(end)) => end,
            // Guards against an end that is none: empty lines ahead of a head.
            Ok(Parsed::Partial) | Err(_) => return Err(BadRequest::Malformed),
        };
        if end > HEAD_BYTES {
            return Err(BadRequest::HeadTooLong);
        }
        let (method, path) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
        let h = &*request.headers;
        // Guards against a request hidden in the body of another: where this one ends must be beyond doubt. Clients
        // send a length, and once.
        let old = request.version != Some(1);
        let length = content_length(h).map_err(|()| BadRequest::Header("Content-Length"))?;
        let mut codings = h
            .iter()
            .filter(|h| h.name.eq_ignore_ascii_case("transfer-encoding"));
        let framing = match (length, codings.next(), codings.next()) {
            (length, None, _) => BodyFraming::Length(length.unwrap_or(0)),
            (None, Some(coding), None)
                if !old && coding.value.trim_ascii().eq_ignore_ascii_case(b"chunked") =>
            {
                BodyFraming::Chunked(Chunked::default())
            }
            _ => return Err(BadRequest::Header("Transfer-Encoding")),
        };
        if length.is_some_and(|length| length > BULK_BYTES) {
            return Err(BadRequest::BodyTooLong);
        }
        let close = old || says_close(h);
        let bare = matches!(framing, BodyFraming::Length(0));
        let expects = !old
            && !bare
            && header(h, "expect").is_some_and(|e| e.trim().eq_ignore_ascii_case("100-continue"));
        let (body, room) = (Vec::new(), None);
        if path == "/ready" && bare {
            return Ok(Head {
                end,
                framing,
                body,
                room,
                expects,
                close,
                old,
                ask: None,
            });
        }
        let set = &self.settings;
        let first = path
            .strip_prefix('/')
            .and_then(|p| p.split(['/', '?']).next());
        let class = set
            .classes
            .iter()
            .find(|c| Some(&*c.name) == first)
            .ok_or(BadRequest::Path)?;
        if !path.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(BadRequest::Path);
        }
        if text(h, "X-Qos")? != class.name {
            return Err(BadRequest::Header("X-Qos"));
        }
        let safe = class.effect == Effect::Repeatable;
        if method != if safe { "GET" } else { "POST" } {
            return Err(BadRequest::Method);
        }
        if safe && !bare {
            return Err(BadRequest::Header("Content-Length"));
        }
        let trace = text(h, "X-Trace-Id")?;
        let id = hex16(trace).ok_or(BadRequest::Header("X-Trace-Id"))?;
        let customer = text(h, "X-Api-Key")?;
        hex16(customer)
            .filter(|&c| c < CUSTOMERS)
            .ok_or(BadRequest::Header("X-Api-Key"))?;
        let plan = text(h, "X-Tier")?;
        let plan = set
            .plans
            .iter()
            .find(|p| p.name == plan)
            .ok_or(BadRequest::Header("X-Tier"))?;
        let patience = text(h, "X-Expires-In")?.parse::<f64>().ok();
        let patience = patience.filter(|&s| s > 0.0 && s <= MOST_PATIENCE_S);
        let patience = Duration::from_secs_f64(patience.ok_or(BadRequest::Header("X-Expires-In"))?);
        let terms = Terms::parse(text(h, "X-Call-Terms")?, set)
            .ok_or(BadRequest::Header("X-Call-Terms"))?;
        let host = text(h, "Host").unwrap_or("backend.local");
        let mut head =
            format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Trace-Id: {trace}\r\n");
        // Clients send a key where servers drop repeats by it, and only there. None is made up: what may not be repeated
        // stays what it is. One that comes all the same goes on.
        let keyed = matches!(class.effect, Effect::Keyed { .. });
        if keyed || !safe && header(h, "Idempotency-Key").is_some() {
            let key = text(h, "Idempotency-Key")?;
            let _ = write!(head, "Idempotency-Key: {key}\r\n");
        }
        if let Ok(kind) = text(h, "Content-Type") {
            let _ = write!(head, "Content-Type: {kind}\r\n");
        }
        let request = frosthatch_traffic_control::Request {
            id: RequestId(id),
            customer: CustomerId(customer.into()),
            plan: plan.name.clone(),
            class: class.name.clone(),
            units: terms.units,
            gateway_count: terms.spread,
            first_gateway: terms.first,
            remaining_us: 0,
            pool: Protocol::Http1 as u8,
            sticky_server: None,
            low_priority: false,
        };
        let wants = self
            .rules
            .as_ref()
            .map(|r| r.wanted_input())
            .filter(|w| !w.0.is_empty());
        let shown = wants.map_or_else(Vec::new, |wants| {
            let named = |name: &String| Some((name.clone(), header(h, name)?.to_string()));
            wants.0.iter().filter_map(named).collect()
        });
        // Nobody waits past the class's deadline, whatever the header says: what is kept for a request is short-lived.
        let patience = patience.min(Duration::from_micros(class.deadline_us));
        let class = self.engine.counters().class(&class.name);
        let forward = Forward {
            head: head.into(),
            body: Vec::new(),
            room: None,
            class,
        };
        // Counted from the last byte, which comes later.
        let gone_at = Instant::now();
        let ask = Some(Box::new(Ask {
            request,
            patience,
            gone_at,
            safe,
            forward,
            shown,
        }));
        Ok(Head {
            end,
            framing,
            body,
            room,
            expects,
            close,
            old,
            ask,
        })
    }
}

/// Whether an empty line ends a head there, of which all but what stands from `from` has been looked at.
pub(super) fn ends_head(buffer: &[u8], from: usize) -> bool {
    let new = &buffer[from.saturating_sub(3)..];
    new.windows(2).any(|w| w == b"\n\n") || new.windows(3).any(|w| w == b"\n\r\n")
}

struct Terms {
    units: f64,
    spread: u32,
    first: u32,
}

impl Terms {
    /// `units=2,spread=3,first=1`, each once and in its range.
    fn parse(text: &str, set: &Settings) -> Option<Terms> {
        fn find<T: FromStr>(text: &str, name: &str) -> Option<T> {
            let mut parts = text.split(',').filter_map(|p| p.trim().split_once('='));
            parts.find(|(n, _)| *n == name)?.1.parse().ok()
        }
        let terms = Terms {
            units: find(text, "units")?,
            spread: find(text, "spread")?,
            first: find(text, "first")?,
        };
        let fine = text.split(',').count() == 3
            && terms.units > 0.0
            && terms.units <= set.max_units
            && (1..=set.gateways).contains(&terms.spread)
            && terms.first < set.gateways;
        fine.then_some(terms)
    }
}

/// What is wrong with a request that is turned away unread.
pub(super) enum BadRequest {
    Malformed,
    HeadTooLong,
    Path,
    Method,
    Header(&'static str),
    BodyTooLong,
    /// Long bodies have taken all that there is for them.
    NoRoom,
    Slow,
    /// The process ends before it could be answered.
    Leaving,
    Duplicate,
}

impl BadRequest {
    pub(super) fn status(&self) -> &'static str {
        match self {
            BadRequest::Malformed | BadRequest::Header(_) => "400 Bad Request",
            BadRequest::HeadTooLong => "431 Request Header Fields Too Large",
            BadRequest::Path => "404 Not Found",
            BadRequest::Method => "405 Method Not Allowed",
            BadRequest::BodyTooLong => "413 Content Too Large",
            BadRequest::NoRoom | BadRequest::Leaving => "503 Service Unavailable",
            BadRequest::Slow => "408 Request Timeout",
            BadRequest::Duplicate => "409 Conflict",
        }
    }

    pub(super) fn headers(&self) -> String {
        match self {
            BadRequest::NoRoom => format!("Retry-After: {}\r\n", NO_ROOM.as_secs()),
            _ => String::new(),
        }
    }

    pub(super) fn text(&self) -> String {
        match self {
            BadRequest::Malformed => "the request cannot be read".into(),
            BadRequest::HeadTooLong => "the head is too long".into(),
            BadRequest::Path => "no such class".into(),
            BadRequest::Method => "not the class's method".into(),
            BadRequest::Header(name) => format!("{name} is missing or makes no sense"),
            BadRequest::BodyTooLong => "the body is too long".into(),
            BadRequest::NoRoom => "no room for long requests now".into(),
            BadRequest::Slow => "the request came too slowly".into(),
            BadRequest::Leaving => "this gateway ends".into(),
            BadRequest::Duplicate => "a request with this id is open".into(),
        }
    }
}

/// A header that must be there once, as text that can go on as it is.
fn text<'a>(headers: &[Header<'a>], name: &'static str) -> Result<&'a str, BadRequest> {
    let mut all = headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case(name))
        .map(|h| h.value);
    let plain = |v: &&[u8]| !v.is_empty() && v.iter().all(|b| (b' '..=b'~').contains(b));
    let value = all.next().filter(plain).filter(|_| all.next().is_none());
    value
        .and_then(|v| std::str::from_utf8(v).ok())
        .ok_or(BadRequest::Header(name))
}

fn hex16(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}
