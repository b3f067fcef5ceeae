//! The clients' side: reads and checks requests, and gives each its one answer. Strict: what a client of ours never
//! sends is an error and the end of its connection, before anything else hears of it.

use crate::backend::{Forward, Outgoing, Passing, Upstream};
use crate::chunked::Chunked;
use crate::conn::Room;
use crate::message::*;
use bytes::Bytes;
use frosthatch_engine::{Answer, Arrival, Duplicate, Engine, Protocol, Ruled, Rules, Ruling};
use frosthatch_sockets::uninterrupted;
use httparse::{Header, Status as Parsed, EMPTY_HEADER};
use socket2::SockRef;
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Write;
use std::future::{poll_fn, Future};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::str::FromStr;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tracing::debug;
use turndeck::{CustomerId, Effect, RequestId, Settings};

/// A request is whole this long after its first byte, the first of a connection this long after it was accepted:
/// an error or a close is owed within 3 s.
const WHOLE_WITHIN: Duration = Duration::from_millis(2_500);
/// A body is whole this long after its head, and longer by what has come of it at the slowest: clients of ours send at
/// twice that.
const BODY_WITHIN: Duration = Duration::from_secs(2);
const SLOWEST: f64 = 32_000.0;
/// A long body for which there is no room may come again after this.
const NO_ROOM: Duration = Duration::from_secs(1);
/// Either side of a long answer may make the other wait for so long.
const STALLS: Duration = Duration::from_secs(10);
/// After an accept that failed the next one is tried after this.
const ACCEPT_RETRY_AFTER: Duration = Duration::from_millis(5);
/// A connection that has served is kept open for so long without a request.
const KEPT: Duration = Duration::from_secs(5);
/// When descriptors run short a connection that has served may be closed after this: a request that crosses the close is
/// sent once more, while one on a new connection waits unread for as long as none is closed. Guards against any crowd
/// that keeps more connections than there is room for. Does harm where all of them ask again and again, more slowly
/// than this: each then has to connect anew...
const KEPT_LEAST: Duration = Duration::from_millis(50);
/// ...and one that has not asked yet after this: clients of ours ask as soon as they connect.
const ASKS_WITHIN: Duration = Duration::from_millis(300);
/// A client reads its answer within this.
const READS_WITHIN: Duration = Duration::from_secs(2);
/// At the end of a connection so much more is read, and for so long, that the client can read its last answer: a connection
/// that is closed on bytes that nobody has read is reset.
const LINGER_BYTES: usize = 256 << 10;
const LINGER: Duration = Duration::from_millis(200);
/// One in so many of the connections that are held at most may linger like that, beside those that are in use.
const LINGERING: usize = 16;
/// One in so many of the connections held at most is kept free of requests under way: with more of them new ones are refused at
/// once. Guards against requests that wait unread, with no answer in their time, because all places are taken.
const FREE: usize = 8;
/// A client that is refused for want of a place may come again after this.
const NO_PLACE: Duration = Duration::from_millis(500);
/// A client that sends ahead while it waits for its answer is read on, as only so its end is seen, but what is beyond a
/// head is thrown away, and so often: nobody can make the gateway do nothing else.
const FLOOD_PAUSE: Duration = Duration::from_millis(5);
const FLOOD_BYTES: usize = 64 << 10;
/// At the end of the process a request that comes whole has at least so long to be answered in.
const LAST_REQUESTS: Duration = Duration::from_millis(100);
/// No client waits this long.
const MOST_PATIENCE_S: f64 = 3_600.0;

/// Customers' names are numbers below this.
const CUSTOMERS: u64 = 1 << 33;

/// While the gateway is emptied, new connections come for 0.2 s after it has said that it is not ready, and are served.
const EMPTIES_AFTER: Duration = Duration::from_millis(500);
/// Then connections that have been idle for this long are closed: few requests cross such a close...
const EMPTIES_IDLE: Duration = Duration::from_secs(1);
/// ...and from so long after the beginning all that are idle, but for those that have hardly come.
const EMPTY_WITHIN: Duration = Duration::from_millis(2_500);
const HARDLY_COME: Duration = Duration::from_millis(100);

/// The process ends.
#[derive(Clone, Copy)]
struct Leaving {
    /// Requests that are not whole by then are turned away.
    requests_until: Instant,
}

/// A connection on which no request is open.
struct Idle {
    since: Instant,
    /// It has asked before.
    kept: bool,
    /// Something of a request has come.
    begun: bool,
    end: Rc<Notify>,
}

/// What the clients' connections share.
pub struct Door {
    engine: Rc<Engine>,
    upstream: Rc<Upstream>,
    settings: Settings,
    /// The operator's own, if there are any.
    rules: Option<Rc<dyn Rules>>,
    leaving: Cell<Option<Leaving>>,
    /// Since when the gateway is emptied, if it is.
    emptying: Cell<Option<Instant>>,
    /// By number.
    idle: RefCell<HashMap<u64, Idle>>,
    open: Cell<usize>,
    /// Of these, those that are over but for what their clients still send.
    lingering: Cell<usize>,
    /// Connections held at most, as things stand.
    most: Cell<usize>,
    /// Another process accepts, as long as this is not set.
    accepting: Cell<bool>,
    turned: Notify,
}

/// One client's connection.
struct Client {
    stream: TcpStream,
    number: u64,
    /// What has been read and not yet used.
    buffer: Vec<u8>,
    /// It has asked before.
    kept: bool,
    /// It has sent more than can be kept: nothing that stands behind can be read as a request.
    flooded: bool,
    /// When its connection was last looked at: what is there the next time without a wait may have come since.
    looked_at: Instant,
    /// When the last of what stands in the buffer came, or before that.
    arrived_at: Instant,
    /// Why the connection ends, as logs name it.
    close_reason: &'static str,
}

impl Door {
    pub fn new(
        engine: Rc<Engine>,
        upstream: Rc<Upstream>,
        settings: Settings,
        rules: Option<Rc<dyn Rules>>,
        most: usize,
    ) -> Rc<Self> {
        let (leaving, emptying) = (Cell::new(None), Cell::new(None));
        let (open, lingering) = (Cell::new(0), Cell::new(0));
        let (idle, most) = (RefCell::default(), Cell::new(most));
        let (accepting, turned) = (Cell::new(true), Notify::new());
        Rc::new(Door {
            engine,
            upstream,
            settings,
            rules,
            leaving,
            emptying,
            idle,
            open,
            lingering,
            most,
            accepting,
            turned,
        })
    }

    /// From now on every answer closes its connection, and all have been given by that time.
    pub fn leave(&self, answers_until: Instant) {
        let requests_until = answers_until.checked_sub(LAST_REQUESTS).unwrap_or(answers_until);
        self.leaving.set(Some(Leaving { requests_until }));
        self.engine.answer_all_by(answers_until);
    }

    /// Whether new clients may come.
    pub fn ready(&self) -> bool {
        self.engine.ready() && self.accepting.get() && !self.ends_connections()
    }

    /// Clients are sent away, by hand.
    pub fn emptying(&self) -> bool {
        self.emptying.get().is_some()
    }

    /// Every answer closes its connection.
    fn ends_connections(&self) -> bool {
        self.leaving.get().is_some() || self.emptying.get().is_some()
    }

    /// From now on clients are sent away: the gateway is not ready and lets go of connections, gently at first.
    pub fn empty(self: &Rc<Self>) {
        let since = Instant::now();
        if self.emptying.get().is_some() {
            return;
        }
        self.emptying.set(Some(since));
        let door = self.clone();
        tokio::task::spawn_local(async move {
            sleep(EMPTIES_AFTER).await;
            while door.emptying.get() == Some(since) {
                let all = since.elapsed() >= EMPTY_WITHIN;
                door.close_idle(if all { HARDLY_COME } else { EMPTIES_IDLE }, HARDLY_COME);
                sleep(HARDLY_COME / 2).await;
            }
        });
    }

    /// Clients may come again.
    pub fn fill(&self) {
        self.emptying.set(None);
    }

    /// Idle connections end now, but for those that have hardly come and may be about to ask; the others after their answer.
    /// In the end there is no time for an answer to what has not come whole: that is turned away.
    pub fn close(&self) {
        if self.leaving.get().is_some_and(|leaving| Instant::now() >= leaving.requests_until) {
            self.idle.borrow().values().for_each(|i| i.end.notify_one());
        } else {
            self.close_idle(Duration::ZERO, ASKS_WITHIN);
        }
    }

    /// Ends connections that have been idle for so long, those that have never asked after `new`. One on which a request has
    /// begun is not idle.
    fn close_idle(&self, least: Duration, new: Duration) {
        let now = Instant::now();
        let idle = |i: &&Idle| !i.begun && now - i.since >= if i.kept { least } else { least.max(new) };
        self.idle.borrow().values().filter(idle).for_each(|i| i.end.notify_one());
    }

    /// Requests under way have all places but those that others need to be heard at all.
    fn crowded(&self) -> bool {
        let most = self.most.get();
        self.open.get() - self.lingering.get() - self.idle.borrow().len() > most - most / FREE
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Holds to so many connections from now on.
    pub fn hold_to(&self, most: usize) {
        self.most.set(most);
    }

    /// Whether connections are accepted here, or by another process at the same listener.
    pub fn accepting(&self) -> bool {
        self.accepting.get()
    }

    pub fn turn(&self, accepting: bool) {
        self.accepting.set(accepting);
        self.turned.notify_one();
    }

    /// Lets go of connections that have been idle for a while.
    pub fn close_stale(&self) {
        self.close_idle(EMPTIES_IDLE, EMPTIES_IDLE);
    }

    /// Ends the connection that has been idle longest, if any has been for long enough.
    fn make_room(&self) -> bool {
        let now = Instant::now();
        let idle = self.idle.borrow();
        let may_end = |i: &&Idle| now - i.since >= if i.kept { KEPT_LEAST } else { ASKS_WITHIN };
        let longest = idle.values().filter(may_end).min_by_key(|i| i.since);
        longest.inspect(|i| i.end.notify_one()).is_some()
    }

    /// Accepts connections for good.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        // Since when connections may have waited to be accepted, if they may.
        let mut unattended_since = None;
        for number in 0.. {
            while !self.accepting() {
                self.turned.notified().await;
            }
            // Guards against running out of descriptors: those that are idle make room.
            while self.open() - self.lingering.get() >= self.most.get() - self.most.get() / LINGERING {
                unattended_since.get_or_insert_with(Instant::now);
                match self.make_room() {
                    true => yield_now().await,
                    false => sleep(Duration::from_millis(2)).await,
                }
            }
            let (accepted, waited) = tokio::select! {
                accepted = accept_one(&listener) => accepted,
                () = self.turned.notified() => continue,
            };
            if waited {
                unattended_since = None;
            }
            match accepted {
                Ok((stream, _)) => {
                    let looked_at = unattended_since.unwrap_or_else(Instant::now);
                    let door = self.clone();
                    self.open.set(self.open.get() + 1);
                    tokio::task::spawn_local(async move {
                        door.serve(Client {
                            stream,
                            number,
                            buffer: Vec::new(),
                            kept: false,
                            flooded: false,
                            looked_at,
                            arrived_at: looked_at,
                            close_reason: "idle",
                        })
                        .await;
                        door.idle.borrow_mut().remove(&number);
                        door.open.set(door.open.get() - 1);
                    });
                }
                // Out of descriptors, or the client has left again: the next may do better.
                Err(_) => {
                    unattended_since.get_or_insert_with(Instant::now);
                    sleep(ACCEPT_RETRY_AFTER).await;
                }
            }
        }
    }

    async fn serve(self: &Rc<Self>, mut client: Client) {
        let _ = client.stream.set_nodelay(true);
        let number = client.number;
        debug!(connection = number, "connection.accepted");
        let orderly = self.converse(&mut client).await;
        debug!(connection = number, orderly, reason = client.close_reason, "connection.closed");
        if orderly {
            let most = self.most.get() / LINGERING;
            // Where many end at once, or to make room, the last of them do without.
            if self.lingering.get() < most.max(1) {
                self.lingering.set(self.lingering.get() + 1);
                client.end().await;
                self.lingering.set(self.lingering.get() - 1);
            } else {
                client.end_at_once();
            }
        }
    }

    /// Requests and answers, one after another; whether the connection ends in good order then. Else its client must see
    /// that it does not.
    async fn converse(self: &Rc<Self>, client: &mut Client) -> bool {
        loop {
            let asked = match self.read(client).await {
                Ok(Some(asked)) => asked,
                Ok(None) => return true,
                Err(bad) => return client.turn_away(&bad).await,
            };
            client.kept = true;
            if let Some(ask) = &asked.ask {
                debug!(connection = client.number, request = ask.request.id.0, "request.read");
            }
            let (mut added, crowded) = (String::new(), self.crowded());
            let answer = match asked.ask {
                None => Reply::Ready(self.ready()),
                Some(ask) => {
                    let answered = match crowded {
                        true => Ok(self.unsent(ask.forward.class, Answer::Refused { retry_after: NO_PLACE })),
                        false => self.answer_by_rules(client, *ask, &mut added).await,
                    };
                    match answered {
                        Ok(Some(answer)) => Reply::Answer(answer),
                        // The client has gone.
                        Ok(None) => return client.closes("client_gone", true),
                        Err(bad) => return client.turn_away(&bad).await,
                    }
                }
            };
            let close = asked.close || client.flooded || crowded || self.ends_connections();
            let written = match answer {
                Reply::Answer(Answer::Passing(first, rest)) => {
                    self.pass_on(client, first, rest, close, asked.old, &added).await
                }
                answer => client.write(&answer.text(close, &added)).await,
            };
            if !written {
                return client.closes("answer_not_written", false);
            }
            if close {
                return client.closes("last_answer", true);
            }
        }
    }

    /// The next request, whole and checked; none if the connection is over. Until then the connection is idle.
    async fn read(&self, client: &mut Client) -> Result<Option<Asked>, BadRequest> {
        let (since, kept) = (Instant::now(), client.kept);
        let end = Rc::new(Notify::new());
        self.idle.borrow_mut().insert(client.number, Idle { since, kept, begun: false, end: end.clone() });
        let asked = self.read_idle(client, since, end).await;
        self.idle.borrow_mut().remove(&client.number);
        asked
    }

    async fn read_idle(
        &self,
        client: &mut Client,
        since: Instant,
        mut end: Rc<Notify>,
    ) -> Result<Option<Asked>, BadRequest> {
        let mut by = since + if client.kept { KEPT } else { WHOLE_WITHIN };
        let mut head: Option<Head> = None;
        let (mut begun, mut looked_at) = (false, 0);
        // Its time is over, and what has come in time is read.
        let mut read_last = false;
        loop {
            let buffer = &mut client.buffer;
            if !begun && !buffer.is_empty() {
                begun = true;
                // Idle no longer, for all that can be told.
                let now = Instant::now();
                if client.kept {
                    by = now + WHOLE_WITHIN;
                }
                // Whoever ended it took it for idle, and is not heard any more.
                end = Rc::default();
                self.idle.borrow_mut().entry(client.number).and_modify(|i| {
                    (i.begun, i.end) = (true, end.clone());
                    i.since = if i.kept { now } else { i.since };
                });
            }
            if head.is_none() {
                head = match ends_head(buffer, looked_at) {
                    true => Some(self.head(buffer)?),
                    false if buffer.len() > HEAD_BYTES => return Err(BadRequest::HeadTooLong),
                    false => None,
                };
                looked_at = buffer.len();
                if let Some(head) = &head {
                    buffer.drain(..head.end);
                    by = Instant::now() + BODY_WITHIN;
                }
            }
            if let Some(head) = &mut head {
                if self.take_body(head, buffer)? {
                    return Ok(Some(head.asked(client.arrived_at)));
                }
                if std::mem::take(&mut head.expects) && !client.write(b"HTTP/1.1 100 Continue\r\n\r\n").await
                {
                    return Ok(None);
                }
            }
            let leaving = self.leaving.get().is_some_and(|l| Instant::now() >= l.requests_until);
            let over = || match (begun, leaving) {
                (false, _) => Ok(None),
                (true, true) => Err(BadRequest::Leaving),
                (true, false) => Err(BadRequest::Slow),
            };
            // A body may take longer the more of it has come, and rests no longer than a head.
            let by = head.as_ref().map_or(by, |h| {
                let so_far = Duration::from_secs_f64(h.body.len() as f64 / SLOWEST);
                (by + so_far).min(Instant::now() + BODY_WITHIN)
            });
            if read_last && !client.has_more() {
                return over();
            }
            let in_body = head.is_some();
            tokio::select! {
                read = client.read_some(in_body) => {
                    if matches!(read, Ok(0) | Err(_)) {
                        client.close_reason = "ended_by_client";
                        return Ok(None);
                    }
                    // A request that has just begun has time to become whole.
                    read_last &= begun;
                }
                // What has come meanwhile is read first, once.
                () = end.notified(), if !read_last => read_last = true,
                () = sleep_until(by), if !read_last => read_last = true,
            }
        }
    }

    /// Moves what has come of a body to where it is kept; whether that was all.
    fn take_body(&self, head: &mut Head, buffer: &mut Vec<u8>) -> Result<bool, BadRequest> {
        if head.body.capacity() - head.body.len() < buffer.len() {
            head.body.reserve_exact(buffer.len().max(4 * CHUNK));
        }
        let whole = match &mut head.framing {
            BodyFraming::Length(length) => {
                let n = (*length - head.body.len()).min(buffer.len());
                head.body.extend(buffer.drain(..n));
                head.body.len() == *length
            }
            BodyFraming::Chunked(chunked) => {
                chunked.take(buffer, &mut head.body).map_err(|_| BadRequest::Malformed)?
            }
        };
        if head.body.len() > BULK_BYTES {
            return Err(BadRequest::BodyTooLong);
        }
        if head.body.len() > BODY_BYTES {
            let room = head.room.get_or_insert_with(|| self.upstream.room());
            if !room.holds(head.body.capacity()) {
                if let Some(ask) = &head.ask {
                    self.unsent(ask.forward.class, Answer::Refused { retry_after: NO_ROOM });
                }
                return Err(BadRequest::NoRoom);
            }
        }
        Ok(whole)
    }

    /// Reads and checks a whole head, before anything is kept for it.
    fn head(&self, buffer: &[u8]) -> Result<Head, BadRequest> {
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
        let mut codings = h.iter().filter(|h| h.name.eq_ignore_ascii_case("transfer-encoding"));
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
            return Ok(Head { end, framing, body, room, expects, close, old, ask: None });
        }
        let set = &self.settings;
        let first = path.strip_prefix('/').and_then(|p| p.split(['/', '?']).next());
        let class = set.classes.iter().find(|c| Some(&*c.name) == first).ok_or(BadRequest::Path)?;
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
        hex16(customer).filter(|&c| c < CUSTOMERS).ok_or(BadRequest::Header("X-Api-Key"))?;
        let plan = text(h, "X-Tier")?;
        let plan = set.plans.iter().find(|p| p.name == plan).ok_or(BadRequest::Header("X-Tier"))?;
        let patience = text(h, "X-Expires-In")?.parse::<f64>().ok();
        let patience = patience.filter(|&s| s > 0.0 && s <= MOST_PATIENCE_S);
        let patience = Duration::from_secs_f64(patience.ok_or(BadRequest::Header("X-Expires-In"))?);
        let terms = Terms::parse(text(h, "X-Call-Terms")?, set).ok_or(BadRequest::Header("X-Call-Terms"))?;
        let host = text(h, "Host").unwrap_or("backend.local");
        let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Trace-Id: {trace}\r\n");
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
        let request = turndeck::Request {
            id: RequestId(id),
            customer: CustomerId(customer.into()),
            plan: plan.name.clone(),
            class: class.name.clone(),
            units: terms.units,
            width: terms.spread,
            first_gateway: terms.first,
            patience_us: 0,
            pool: Protocol::Http1 as u8,
            pin: None,
            lower: false,
        };
        let wants = self.rules.as_ref().map(|r| r.wants()).filter(|w| !w.0.is_empty());
        let shown = wants.map_or_else(Vec::new, |wants| {
            let named = |name: &String| Some((name.clone(), header(h, name)?.to_string()));
            wants.0.iter().filter_map(named).collect()
        });
        // Nobody waits past the class's deadline, whatever the header says: what is kept for a request is short-lived.
        let patience = patience.min(Duration::from_micros(class.deadline_us));
        let class = self.engine.tally().class(&class.name);
        let forward = Forward { head: head.into(), body: Vec::new(), room: None, class };
        // Counted from the last byte, which comes later.
        let gone_at = Instant::now();
        let ask = Some(Box::new(Ask { request, patience, gone_at, safe, forward, shown }));
        Ok(Head { end, framing, body, room, expects, close, old, ask })
    }

    /// Passes a long answer on as it comes; whether all of it was. Cut short, it has no end that a client could take for
    /// one: its length is not reached, the last chunk is missing, or, where only the end of its connection tells, that is
    /// reset. A client that goes meanwhile ends it.
    async fn pass_on(
        &self,
        client: &mut Client,
        first: Bytes,
        rest: Box<dyn Any>,
        close: bool,
        old: bool,
        added: &str,
    ) -> bool {
        let Ok(mut passing) = rest.downcast::<Passing>() else { return false };
        let length = passing.length();
        let chunked = length.is_none() && !old;
        if length.is_none() && old {
            let _ = SockRef::from(&client.stream).set_linger(Some(Duration::ZERO));
        }
        let framing = match length {
            Some(length) => format!("Content-Length: {length}\r\n"),
            None if chunked => "Transfer-Encoding: chunked\r\n".into(),
            None => String::new(),
        };
        let mut out = answer_head("200 OK", added, close, &framing).into_bytes();
        let (mut part, mut ended) = (Vec::from(first), false);
        loop {
            if !part.is_empty() {
                if chunked {
                    out.extend(format!("{:x}\r\n", part.len()).into_bytes());
                }
                out.append(&mut part);
                if chunked {
                    out.extend_from_slice(b"\r\n");
                }
            }
            if ended && chunked {
                out.extend_from_slice(b"0\r\n\r\n");
            }
            let written = timeout(STALLS, write_all(&client.stream, &out, &Cell::new(0))).await;
            if !matches!(written, Ok(Ok(()))) {
                return false;
            }
            if ended {
                self.upstream.passed(*passing);
                let _ = SockRef::from(&client.stream).set_linger(None);
                return true;
            }
            out.clear();
            match client.while_there(pin!(timeout(STALLS, passing.go_on(&mut part)))).await {
                Some(Ok(Ok(whole))) => ended = whole,
                // Spoilt, cut short, silent, or for nobody.
                _ => return false,
            }
        }
    }

    /// The same by the operator's rules, if there are any for it; `added` takes header lines for the answer.
    async fn answer_by_rules(
        &self,
        client: &mut Client,
        mut ask: Ask,
        added: &mut String,
    ) -> Result<Option<Answer>, BadRequest> {
        let Some(rules) = &self.rules else { return self.answer(client, ask).await };
        let (since, body) = (Instant::now(), rules.wants().1.min(ask.forward.body.len()));
        let mut ruling = Ruling {
            request: ask.request.clone(),
            left: ask.gone_at.saturating_duration_since(since),
            repeatable: ask.safe,
            headers: std::mem::take(&mut ask.shown),
            body: ask.forward.body[..body].to_vec(),
        };
        let ruled = match rules.clone().asked(&ruling) {
            None => None,
            Some(ruled) => match client.while_there(ruled).await {
                Some(ruled) => Some(ruled),
                None => return Ok(None),
            },
        };
        let answer = match ruled {
            // Nothing has run, whatever its class.
            Some(Ruled::Refuse { retry_after }) => {
                self.unsent(ask.forward.class, Answer::Refused { retry_after })
            }
            Some(Ruled::Fail) => self.unsent(ask.forward.class, Answer::Failed { timed_out: false }),
            Some(Ruled::GoOn { units, lower, within, headers }) => {
                ask.request.units = ask.request.units.max(units.unwrap_or(0.0));
                ask.request.lower = lower;
                ask.gone_at = within.map_or(ask.gone_at, |within| ask.gone_at.min(since + within));
                added.push_str(&headers);
                self.answer(client, ask).await?
            }
            None => self.answer(client, ask).await?,
        };
        let Some(answer) = answer else { return Ok(None) };
        ruling.left = ruling.left.saturating_sub(since.elapsed());
        if let Some(more) = rules.clone().answered(&ruling, &answer, since.elapsed()) {
            added.push_str(&more.await);
        }
        Ok(Some(answer))
    }

    /// The answer to a request that the engine never heard of.
    fn unsent(&self, class: usize, answer: Answer) -> Option<Answer> {
        self.engine.tally().answered(class, &answer);
        Some(answer)
    }

    /// The answer to a request; none if its client goes first.
    async fn answer(&self, client: &mut Client, ask: Ask) -> Result<Option<Answer>, BadRequest> {
        let Ask { request, gone_at, forward, .. } = ask;
        // Guards against sending on what waited here, unread, until its client had gone.
        if client.has_gone() {
            return Ok(None);
        }
        let id = request.id;
        let payload = Box::new(Outgoing { forward: Rc::new(forward), upstream: self.upstream.clone() });
        let taken = self.engine.take(Arrival { request, gone_at, payload });
        let answer = taken.map_err(|Duplicate| BadRequest::Duplicate)?;
        let mut waiting = Waiting { engine: &self.engine, id: Some(id) };
        let Some(answer) = client.while_there(answer).await else { return Ok(None) };
        waiting.id = None;
        Ok(Some(answer.unwrap_or(Answer::Failed { timed_out: false })))
    }
}

impl Client {
    /// What comes of something that the client waits for; none if it goes first. One that ends its side of the connection has
    /// gone: it cannot be told from one that has closed all of it.
    async fn while_there<T>(&mut self, mut awaited: impl Future<Output = T> + Unpin) -> Option<T> {
        loop {
            tokio::select! {
                biased;
                done = &mut awaited => return Some(done),
                gone = self.listen() => if gone {
                    return None;
                },
            }
        }
    }

    /// Whether something can be read at once.
    fn has_more(&self) -> bool {
        peek(&self.stream).is_ok_and(|n| n > 0)
    }

    /// Reads what is there, once something is, and notes when it came; 0 at the end of the connection. Nothing is lost if this
    /// is dropped while it waits.
    async fn read_some(&mut self, in_body: bool) -> io::Result<usize> {
        let mut came_since = self.looked_at;
        loop {
            let ready = poll_once(pin!(self.stream.readable())).await;
            match ready {
                Some(ready) => ready?,
                None => {
                    self.looked_at = Instant::now();
                    self.stream.readable().await?;
                    came_since = Instant::now();
                }
            }
            let read = match in_body {
                true => uninterrupted(|| self.stream.try_read_buf(reserve(&mut self.buffer))),
                false => try_read_more(&self.stream, &mut self.buffer),
            };
            match read {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => {
                    self.looked_at = Instant::now();
                    self.arrived_at = came_since;
                    return done;
                }
            }
        }
    }

    /// Waits for more from the client; whether it has gone.
    async fn listen(&mut self) -> bool {
        if self.flooded {
            sleep(FLOOD_PAUSE).await;
            return self.has_gone();
        }
        let read = self.read_some(false).await;
        self.flooded |= self.buffer.len() > HEAD_BYTES;
        matches!(read, Ok(0) | Err(_))
    }

    /// Whether the client has gone by now, as the socket itself has it: reads what has come.
    fn has_gone(&mut self) -> bool {
        let socket = SockRef::from(&self.stream);
        let (mut chunk, mut seen) = ([0; CHUNK], 0);
        while seen < FLOOD_BYTES {
            match uninterrupted(|| (&*socket).read(&mut chunk)) {
                Ok(0) => return true,
                Ok(n) => {
                    seen += n;
                    if !self.flooded {
                        self.buffer.extend_from_slice(&chunk[..n]);
                    }
                    self.flooded |= self.buffer.len() > HEAD_BYTES;
                }
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
            }
        }
        false
    }

    /// Notes why the connection ends; whether in good order.
    fn closes(&mut self, reason: &'static str, orderly: bool) -> bool {
        self.close_reason = reason;
        orderly
    }

    /// Whether all of it was written in time.
    async fn write(&self, text: &[u8]) -> bool {
        timeout(READS_WITHIN, write_all(&self.stream, text, &Cell::new(0))).await.is_ok_and(|w| w.is_ok())
    }

    /// Says what is wrong: nothing behind it is read as a request. Whether all of that was written.
    async fn turn_away(&mut self, bad: &BadRequest) -> bool {
        self.close_reason = "turned_away";
        debug!(connection = self.number, status = bad.status(), reason = %bad.text(), "request.turned_away");
        self.write(&response(bad.status(), &bad.headers(), true, bad.text().as_bytes())).await
    }

    /// The one orderly end of a connection: the client hears that nothing more comes, and what it still sends is read, and
    /// thrown away, until it has heard. A request among that was not taken, and its client knows; closed on bytes that
    /// nobody has read the connection would be reset, and the last answer with it.
    async fn end(mut self) {
        let _ = SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write);
        let drain = async {
            let mut drained = 0;
            while drained < LINGER_BYTES {
                self.buffer.clear();
                match read_more(&self.stream, &mut self.buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(n) => drained += n,
                }
            }
        };
        let _ = timeout(LINGER, drain).await;
    }

    /// The same with what is there already.
    fn end_at_once(mut self) {
        let _ = SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write);
        self.flooded = true;
        self.has_gone();
    }
}

/// A request for a server.
struct Ask {
    request: turndeck::Request,
    /// For so long the client waits, from its last byte on...
    patience: Duration,
    /// ...which is until then.
    gone_at: Instant,
    /// It has no body.
    safe: bool,
    forward: Forward,
    /// Headers that the operator's rules want to see.
    shown: Vec<(String, String)>,
}

/// A request that is whole and in order; with no ask it asks whether the gateway is ready.
struct Asked {
    ask: Option<Box<Ask>>,
    /// The client wants the connection to end.
    close: bool,
    /// It reads no chunks.
    old: bool,
}

/// How it can be told where a request's body ends.
enum BodyFraming {
    Length(usize),
    Chunked(Chunked),
}

/// A head that is in order, where it ends in the buffer, and the body behind it as far as it has come.
struct Head {
    end: usize,
    framing: BodyFraming,
    body: Vec<u8>,
    room: Option<Room>,
    /// The client waits for a word before it sends the body (RFC 9110 section 10.1.1).
    expects: bool,
    close: bool,
    /// It reads no chunks.
    old: bool,
    ask: Option<Box<Ask>>,
}

impl Head {
    /// The request, now that its body is whole: its client's time counts from when the last of it came.
    fn asked(&mut self, arrived_at: Instant) -> Asked {
        let mut ask = self.ask.take();
        if let Some(ask) = &mut ask {
            ask.gone_at = arrived_at + ask.patience;
            if !ask.safe {
                // As a length, whatever form it came in.
                ask.forward.head.extend(format!("Content-Length: {}\r\n", self.body.len()).into_bytes());
            }
            ask.forward.body = std::mem::take(&mut self.body);
            ask.forward.room = self.room.take();
        }
        Asked { ask, close: self.close, old: self.old }
    }
}

/// Accepts one connection; whether it had to be waited for.
async fn accept_one(listener: &TcpListener) -> (io::Result<(TcpStream, SocketAddr)>, bool) {
    let mut accepting = pin!(listener.accept());
    match poll_once(accepting.as_mut()).await {
        Some(accepted) => (accepted, false),
        None => (accepting.await, true),
    }
}

/// What a future has at once, if anything.
async fn poll_once<F: Future + Unpin>(mut future: F) -> Option<F::Output> {
    poll_fn(|cx| match Pin::new(&mut future).poll(cx) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}

/// Whether an empty line ends a head there, of which all but what stands from `from` has been looked at.
fn ends_head(buffer: &[u8], from: usize) -> bool {
    let new = &buffer[from.saturating_sub(3)..];
    new.windows(2).any(|w| w == b"\n\n") || new.windows(3).any(|w| w == b"\n\r\n")
}

/// Dropped before the answer: the client has gone.
struct Waiting<'a> {
    engine: &'a Rc<Engine>,
    id: Option<RequestId>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.engine.client_gone(id);
        }
    }
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
        let terms =
            Terms { units: find(text, "units")?, spread: find(text, "spread")?, first: find(text, "first")? };
        let fine = text.split(',').count() == 3
            && terms.units > 0.0
            && terms.units <= set.most_units
            && (1..=set.gateways).contains(&terms.spread)
            && terms.first < set.gateways;
        fine.then_some(terms)
    }
}

/// What is wrong with a request that is turned away unread.
enum BadRequest {
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
    fn status(&self) -> &'static str {
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

    fn headers(&self) -> String {
        match self {
            BadRequest::NoRoom => format!("Retry-After: {}\r\n", NO_ROOM.as_secs()),
            _ => String::new(),
        }
    }

    fn text(&self) -> String {
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
    let mut all = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value);
    let plain = |v: &&[u8]| !v.is_empty() && v.iter().all(|b| (b' '..=b'~').contains(b));
    let value = all.next().filter(plain).filter(|_| all.next().is_none());
    value.and_then(|v| std::str::from_utf8(v).ok()).ok_or(BadRequest::Header(name))
}

fn hex16(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// What a request that is in order gets.
enum Reply {
    Ready(bool),
    Answer(Answer),
}

impl Reply {
    /// `added`: more header lines.
    fn text(&self, close: bool, added: &str) -> Vec<u8> {
        match self {
            Reply::Ready(true) => response("200 OK", "", close, b"ready"),
            Reply::Ready(false) => response("503 Service Unavailable", "", close, b"not ready"),
            Reply::Answer(Answer::Served(body)) => response("200 OK", added, close, body),
            Reply::Answer(Answer::Refused { retry_after }) => {
                let when = format!("Retry-After: {:.3}\r\n{added}", retry_after.as_secs_f64());
                response("429 Too Many Requests", &when, close, b"refused")
            }
            Reply::Answer(Answer::Failed { timed_out: true }) => {
                response("504 Gateway Timeout", added, close, b"failed")
            }
            Reply::Answer(Answer::Failed { .. } | Answer::Passing(..)) => {
                response("502 Bad Gateway", added, close, b"failed")
            }
        }
    }
}

/// The head of an answer; each of the `headers`, and what tells the `framing`, has its end.
fn answer_head(status: &str, headers: &str, close: bool, framing: &str) -> String {
    let close = if close { "Connection: close\r\n" } else { "" };
    format!("HTTP/1.1 {status}\r\n{headers}{close}{framing}\r\n")
}

/// An answer as it is written; each of the `headers` has its end.
fn response(status: &str, headers: &str, close: bool, body: &[u8]) -> Vec<u8> {
    let head = answer_head(status, headers, close, &format!("Content-Length: {}\r\n", body.len()));
    [head.as_bytes(), body].concat()
}
