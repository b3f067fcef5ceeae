//! Attempts at servers, and the pool of connections that they use. A connection carries one request at a time and is
//! closed as soon as it is dropped: nothing is ever sent again by itself. Nothing that a server sends is believed
//! before it fits: an answer is whole, or it may have run and brought nothing.

use crate::discovery::{State, Target};
use bytes::Bytes;
use httparse::{Header, Status as Parsed, EMPTY_HEADER};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{timeout, timeout_at, Instant};
use turndeck::{Load, ServerId, Status};

/// Bodies hold at most this, by what was agreed...
pub const BODY_BYTES: usize = 64 << 10;
/// ...but servers do answer at greater length. What no server sends is no answer; what some might is kept while all such
/// answers together have room. Where they outgrow that room, attempts fail that ran well.
const ANSWER_BYTES: usize = 1 << 20;
/// A head that is longer makes no sense, in either direction.
pub const HEAD_BYTES: usize = 16 << 10;
/// Nor does one with more headers.
pub const HEADERS: usize = 64;
/// Interim answers ahead of the final one at most.
const INTERIM: usize = 16;
/// Bytes that are read at once, where it is not known how many come.
const CHUNK: usize = 4 << 10;

const LOAD: &str = "endpoint-load-metrics";
const USED: &str = "x-ratelimit-used";
const NEVER_RAN: &str = "x-never-ran";

/// Reads what is there, once something is; 0 at the end of the connection.
pub async fn read_more(stream: &TcpStream, into: &mut Vec<u8>) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        let mut chunk = [0; CHUNK];
        match stream.try_read(&mut chunk) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
            Ok(n) => {
                into.extend_from_slice(&chunk[..n]);
                return Ok(n);
            }
        }
    }
}

/// Whether something can be read at once, by the socket itself: what the runtime knows of it may be of some time ago.
pub fn peek(stream: &TcpStream) -> io::Result<usize> {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1])
}

/// Writes all of it; `written` tells how far it came, whatever happens.
pub async fn write_all(stream: &TcpStream, bytes: &[u8], written: &Cell<usize>) -> io::Result<()> {
    while written.get() < bytes.len() {
        stream.writable().await?;
        match stream.try_write(&bytes[written.get()..]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
            Ok(n) => written.set(written.get() + n),
        }
    }
    Ok(())
}

/// The length that a message's headers give its body; an error where they give none that can be believed.
pub fn content_length(headers: &[Header<'_>]) -> Result<Option<usize>, ()> {
    let mut all = headers.iter().filter(|h| h.name.eq_ignore_ascii_case("content-length"));
    match (all.next(), all.next()) {
        (None, _) => Ok(None),
        (Some(h), None) if !h.value.is_empty() && h.value.iter().all(u8::is_ascii_digit) => {
            // More digits than fit are a length all the same, and too long for anything here.
            Ok(Some(std::str::from_utf8(h.value).map_err(drop)?.parse().unwrap_or(usize::MAX)))
        }
        _ => Err(()),
    }
}

pub fn header<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a str> {
    let h = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(h.value).ok()
}

/// A whole answer.
#[derive(Default)]
pub struct Answer {
    pub status: u16,
    pub body: Bytes,
    never_ran: bool,
    metered_use: Option<f64>,
    report: Vec<(Load, f64)>,
    /// Nothing stands behind it, and its connection stays open.
    pub reusable: bool,
}

enum Head {
    Interim,
    Final(Answer, Framing),
}

enum Framing {
    Length(usize),
    Chunked,
}

fn spoilt(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// What an answer may be kept in. Up to `BODY_BYTES` it has a place of its own, beyond that it takes of what all share.
pub struct Room {
    most: usize,
    shared: Arc<AtomicUsize>,
    taken: usize,
}

impl Room {
    pub fn new(most: usize, shared: Arc<AtomicUsize>) -> Self {
        Room { most, shared, taken: 0 }
    }

    /// Whether an answer of this length has room; it has from then on. It is there twice while it is passed on.
    fn holds(&mut self, length: usize) -> bool {
        if length <= BODY_BYTES || length > self.most {
            return length <= BODY_BYTES.min(self.most);
        }
        let more = (2 * length).saturating_sub(self.taken);
        let held = self.shared.fetch_update(Relaxed, Relaxed, |left| left.checked_sub(more)).is_ok();
        self.taken += if held { more } else { 0 };
        held
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.shared.fetch_add(self.taken, Relaxed);
    }
}

/// A long body keeps its room until nobody needs it any more.
struct Kept {
    body: Bytes,
    _room: Room,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// One connection of our own making.
pub struct Conn {
    stream: TcpStream,
}

impl Conn {
    pub async fn open(address: SocketAddr) -> io::Result<Conn> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Conn { stream })
    }

    /// Whether another request may go over it: it is open and nothing has come that nobody asked for.
    pub fn quiet(&self) -> bool {
        peek(&self.stream).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads its answer, if there is room for it. `written` tells what has left.
    pub async fn ask(&self, request: &[u8], mut room: Room, written: &Cell<usize>) -> io::Result<Answer> {
        write_all(&self.stream, request, written).await?;
        let mut buffer = Vec::new();
        let (mut answer, framing) = self.head(&mut buffer).await?;
        match framing {
            Framing::Length(length) if !room.holds(length) => return Err(spoilt("too long")),
            Framing::Length(length) => {
                buffer.reserve_exact((length + CHUNK).saturating_sub(buffer.len()));
                while buffer.len() < length {
                    self.fill(&mut buffer).await?;
                }
                let behind = buffer.split_off(length);
                answer.body = buffer.into();
                // Guards against a length that is too short: what belongs to the body would stand behind it. Only
                // the beginning of another answer is known to be no part of this one.
                if !begins_answer(&behind) {
                    return Err(spoilt("longer than it says"));
                }
                answer.reusable &= behind.is_empty();
            }
            Framing::Chunked => {
                let (body, end) = self.chunks(&mut buffer, &mut room).await?;
                answer.body = body.into();
                answer.reusable &= buffer.len() == end;
            }
        }
        if room.taken > 0 {
            answer.body = Bytes::from_owner(Kept { body: answer.body, _room: room });
        }
        Ok(answer)
    }

    /// Reads what is there, once something is, as far as the buffer has space.
    async fn fill(&self, buffer: &mut Vec<u8>) -> io::Result<()> {
        loop {
            self.stream.readable().await?;
            match self.stream.try_read_buf(buffer) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return done.map(drop),
            }
        }
    }

    async fn more(&self, buffer: &mut Vec<u8>) -> io::Result<()> {
        match read_more(&self.stream, buffer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Takes the final answer's head off the buffer; interim answers ahead of it are skipped.
    async fn head(&self, buffer: &mut Vec<u8>) -> io::Result<(Answer, Framing)> {
        let mut interim = 0;
        loop {
            match parse_head(buffer)? {
                Some((_, end)) if interim > INTERIM || end > HEAD_BYTES => {
                    return Err(spoilt("no end of heads"))
                }
                Some((Head::Final(answer, framing), end)) => {
                    buffer.drain(..end);
                    return Ok((answer, framing));
                }
                Some((Head::Interim, end)) => {
                    buffer.drain(..end);
                    interim += 1;
                }
                None if buffer.len() > HEAD_BYTES => return Err(spoilt("a head without end")),
                None => self.more(buffer).await?,
            }
        }
    }

    /// The body that stands in chunks from the start of the buffer, and where it ends there.
    async fn chunks(&self, buffer: &mut Vec<u8>, room: &mut Room) -> io::Result<(Vec<u8>, usize)> {
        let (mut body, mut at) = (Vec::new(), 0);
        loop {
            // Guards against chunks of next to nothing with much around them.
            if at > 4 * body.len().max(BODY_BYTES) {
                return Err(spoilt("too much around its chunks"));
            }
            match httparse::parse_chunk_size(&buffer[at..]).map_err(|_| spoilt("a chunk's size"))? {
                Parsed::Complete((start, size)) => {
                    let size = usize::try_from(size).unwrap_or(usize::MAX);
                    if !room.holds(size.saturating_add(body.len())) {
                        return Err(spoilt("too long"));
                    }
                    let (from, to) = (at + start, at + start + size);
                    while buffer.len() < to + 2 {
                        self.more(buffer).await?;
                    }
                    if &buffer[to..to + 2] != b"\r\n" {
                        // A trailer, or a size that does not fit: nobody here sends either.
                        return Err(spoilt("a chunk's end"));
                    }
                    body.extend_from_slice(&buffer[from..to]);
                    at = to + 2;
                    if size == 0 {
                        return Ok((body, at));
                    }
                }
                Parsed::Partial if buffer.len() - at > CHUNK => return Err(spoilt("a chunk's size")),
                Parsed::Partial => self.more(buffer).await?,
            }
        }
    }
}

/// Nothing, or the beginning of an answer.
fn begins_answer(bytes: &[u8]) -> bool {
    let start = b"HTTP/1.";
    start.starts_with(bytes) || bytes.starts_with(start)
}

/// A head and where it ends; none while it is not whole.
fn parse_head(buffer: &[u8]) -> io::Result<Option<(Head, usize)>> {
    let mut headers = [EMPTY_HEADER; HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let end = match head.parse(buffer).map_err(|_| spoilt("its head"))? {
        Parsed::Complete(end) => end,
        Parsed::Partial => return Ok(None),
    };
    let status = head.code.unwrap_or(0);
    if (100..200).contains(&status) && status != 101 {
        return Ok(Some((Head::Interim, end)));
    }
    let h = &*head.headers;
    let codings: Vec<&str> = h
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case("transfer-encoding"))
        .map(|h| std::str::from_utf8(h.value).unwrap_or(""))
        .collect();
    let length = content_length(h).map_err(|()| spoilt("its length"))?;
    let framing = match (length, &codings[..]) {
        (Some(length), []) => Framing::Length(length),
        (None, []) if status == 204 || status == 304 => Framing::Length(0),
        (None, [coding]) if coding.trim().eq_ignore_ascii_case("chunked") => Framing::Chunked,
        // Neither or both: where it ends cannot be known.
        _ => return Err(spoilt("its framing")),
    };
    let answer = Answer {
        status,
        body: Bytes::new(),
        never_ran: header(h, NEVER_RAN) == Some("1"),
        metered_use: header(h, USED).and_then(figure).map(|percent| percent / 100.0),
        report: header(h, LOAD).map_or_else(Vec::new, report),
        reusable: head.version == Some(1) && !says_close(h),
    };
    Ok(Some((Head::Final(answer, framing), end)))
}

/// Whether a side says that it will close the connection.
pub fn says_close(headers: &[Header<'_>]) -> bool {
    let said = header(headers, "connection").unwrap_or("");
    said.split(',').any(|s| s.trim().eq_ignore_ascii_case("close"))
}

fn figure(text: &str) -> Option<f64> {
    let value: f64 = text.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

/// `TEXT inflight=7, latency_ms=12.5`; what is not a figure of ours is skipped.
fn report(text: &str) -> Vec<(Load, f64)> {
    let one = |part: &str| {
        let (name, value) = part.split_once('=')?;
        let load = match name.trim() {
            "inflight" => Load::Inflight,
            "queue" => Load::Queue,
            "latency_ms" => Load::ServiceMs,
            _ => return None,
        };
        Some((load, figure(value)?))
    };
    text.strip_prefix("TEXT ").map_or_else(Vec::new, |t| t.split(',').filter_map(one).collect())
}

/// How an attempt ended, and what its answer told.
pub struct Ended {
    pub status: Status,
    pub body: Bytes,
    pub metered_use: Option<f64>,
    pub report: Vec<(Load, f64)>,
}

impl Ended {
    fn without_answer(status: Status) -> Self {
        Ended { status, body: Bytes::new(), metered_use: None, report: Vec::new() }
    }
}

struct Idle {
    conn: Conn,
    since: Instant,
    slot: Slot,
}

struct Server {
    address: SocketAddr,
    ready: bool,
    idle: Vec<Idle>,
    /// Ends the attempts that are out once the server is gone.
    gone: Rc<Notify>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.gone.notify_waiters();
    }
}

/// Counts a connection to a server for as long as it is held.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A server that closes an idle connection may do so unseen, and sooner than it should: a request written to it then is
/// answered by a reset, and may have run. How such requests ended, by how long their connections had been idle, tells
/// from when on none should be written.
#[derive(Default)]
struct Staleness([Tally; 12]);

#[derive(Default, Clone, Copy)]
struct Tally {
    used: f64,
    lost: f64,
}

impl Staleness {
    /// Ages from here on are told apart, by doubling; this is as good as in use.
    const LEAST: Duration = Duration::from_millis(12);
    /// A reset that comes sooner than this after a request is taken for the answer to a stale one.
    const AT_ONCE: Duration = Duration::from_millis(10);
    /// Lost at least, and as a share of those used, before an age is held to be too old: some are lost at any age.
    const MANY: f64 = 3.0;
    const SHARE: f64 = 0.12;
    /// What is kept of the tallies each second, so that an age is tried again.
    const KEPT: f64 = 0.93;

    fn note(&mut self, idle: Duration, lost: bool) {
        let doublings = (idle.as_secs_f64() / Self::LEAST.as_secs_f64()).max(1.0).log2() as usize;
        let tally = &mut self.0[doublings.min(self.0.len() - 1)];
        tally.used += 1.0;
        tally.lost += f64::from(u8::from(lost));
    }

    fn fade(&mut self) {
        for tally in &mut self.0 {
            (tally.used, tally.lost) = (tally.used * Self::KEPT, tally.lost * Self::KEPT);
        }
    }

    /// The age from which on too many are lost.
    fn limit(&self) -> Duration {
        let old = |t: &Tally| t.lost >= Self::MANY && t.lost >= t.used * Self::SHARE;
        match self.0.iter().position(old) {
            Some(n) => Self::LEAST * (1 << n),
            None => Duration::MAX,
        }
    }
}

pub struct Limits {
    pub connect_timeout: Duration,
    /// Idle connections are retired after this, well before a server closes them.
    pub idle: Duration,
    /// Connections to all servers at most.
    pub connections: usize,
    /// Memory that long answers may take together.
    pub long_answers: usize,
}

/// The servers that are known, with the connections to each.
pub struct Upstream {
    limits: Limits,
    servers: RefCell<HashMap<ServerId, Server>>,
    open: Rc<Cell<usize>>,
    staleness: RefCell<Staleness>,
    /// What is left of the memory for long answers.
    room: Arc<AtomicUsize>,
}

impl Upstream {
    pub fn new(limits: Limits) -> Self {
        let room = Arc::new(AtomicUsize::new(limits.long_answers));
        let (servers, open, staleness) = Default::default();
        Upstream { limits, servers, open, staleness, room }
    }

    /// News of the list. A whole one forgets what it leaves out; connections to what is gone, draining or moved go.
    pub fn update(&self, whole: bool, targets: &[Target]) {
        let mut servers = self.servers.borrow_mut();
        if whole {
            servers.retain(|id, _| targets.iter().any(|t| *t.uid == *id.0));
        }
        for t in targets {
            let id = ServerId(t.uid.as_str().into());
            if t.state == State::Gone {
                servers.remove(&id);
                continue;
            }
            let arrives = servers.get(&id).is_none_or(|s| s.address != t.endpoint);
            let fresh =
                || Server { address: t.endpoint, ready: false, idle: Vec::new(), gone: Rc::default() };
            let s = servers.entry(id).or_insert_with(fresh);
            s.ready = t.state == State::Ready;
            if !s.ready || s.address != t.endpoint {
                s.idle.clear();
            }
            s.address = t.endpoint;
            // Guards against reaching a new server under the name of the one that stood there before: addresses are
            // used again, and news that the old one is gone may come later.
            let there =
                |(id, s): &(&ServerId, &mut Server)| arrives && s.address == t.endpoint && *t.uid != *id.0;
            for (_, old) in servers.iter_mut().filter(there) {
                old.ready = false;
                old.idle.clear();
            }
        }
    }

    /// Where new requests for a server may go, and what tells that it is gone; none if it drains or is gone.
    fn wanted(&self, server: &ServerId) -> Option<(SocketAddr, Rc<Notify>)> {
        let servers = self.servers.borrow();
        let s = servers.get(server).filter(|s| s.ready)?;
        Some((s.address, s.gone.clone()))
    }

    /// How long a connection may be idle.
    fn most_idle(&self) -> Duration {
        self.limits.idle.min(self.staleness.borrow().limit())
    }

    /// The idle connection used last that can be used again: the others can age and be retired.
    fn take(&self, server: &ServerId) -> Option<Idle> {
        let mut servers = self.servers.borrow_mut();
        let (idle, most) = (&mut servers.get_mut(server)?.idle, self.most_idle());
        std::iter::from_fn(|| idle.pop()).find(|i| i.since.elapsed() < most && i.conn.quiet())
    }

    fn put_back(&self, server: &ServerId, address: SocketAddr, conn: Conn, slot: Slot) {
        let mut servers = self.servers.borrow_mut();
        let home = servers.get_mut(server).filter(|s| s.ready && s.address == address);
        if let Some(home) = home.filter(|_| conn.quiet()) {
            home.idle.push(Idle { conn, since: Instant::now(), slot });
        }
    }

    /// Closes what has stood idle for long or was closed by its server.
    pub fn sweep(&self) {
        self.staleness.borrow_mut().fade();
        let (now, most) = (Instant::now(), self.most_idle());
        for s in self.servers.borrow_mut().values_mut() {
            s.idle.retain(|i| now.duration_since(i.since) < most && i.conn.quiet());
        }
    }

    /// Makes room for one more connection, at the cost of the one that has been idle longest.
    fn slot(&self) -> Option<Slot> {
        if self.open.get() >= self.limits.connections {
            let mut servers = self.servers.borrow_mut();
            let oldest = |s: &&mut Server| s.idle.first().map(|i| i.since);
            let s = servers.values_mut().filter(|s| !s.idle.is_empty()).min_by_key(oldest)?;
            s.idle.remove(0);
        }
        self.open.set(self.open.get() + 1);
        Some(Slot(self.open.clone()))
    }

    /// One attempt: `build` makes the request from the time that is left. Whatever happens, it ends by `deadline`.
    pub async fn attempt(
        &self,
        server: &ServerId,
        build: impl FnOnce(Duration) -> Vec<u8>,
        deadline: Instant,
    ) -> Ended {
        let never = Ended::without_answer(Status::NoConnection);
        let Some((address, gone)) = self.wanted(server) else { return never };
        let connection = timeout_at(deadline, self.connection(server, address));
        let Ok(Some((conn, slot, idle))) = connection.await else { return never };
        // While it connected the server may have begun to drain, or moved: nothing new goes there.
        if self.wanted(server).is_none_or(|(now, _)| now != address) {
            return never;
        }
        let request = build(deadline.saturating_duration_since(Instant::now()));
        let written = Cell::new(0);
        let begun = Instant::now();
        let room = Room::new(ANSWER_BYTES, self.room.clone());
        let answer = tokio::select! {
            answer = timeout_at(deadline, conn.ask(&request, room, &written)) => answer,
            () = gone.notified() => Ok(Err(io::ErrorKind::ConnectionAborted.into())),
        };
        if let Some(idle) = idle {
            let lost = matches!(answer, Ok(Err(_))) && begun.elapsed() < Staleness::AT_ONCE;
            self.staleness.borrow_mut().note(idle, lost);
        }
        match answer {
            Ok(Ok(answer)) => {
                let status = status(&answer);
                if answer.reusable {
                    self.put_back(server, address, conn, slot);
                }
                Ended { status, body: answer.body, metered_use: answer.metered_use, report: answer.report }
            }
            // Not written whole: it never began. Else it may have run, or may yet.
            _ if written.get() < request.len() => never,
            Ok(Err(_)) => Ended::without_answer(Status::ConnectionLost),
            Err(_) => Ended::without_answer(Status::NoAnswer),
        }
    }

    /// A connection on which nothing is out, and how long it has been idle if it is not new.
    async fn connection(
        &self,
        server: &ServerId,
        address: SocketAddr,
    ) -> Option<(Conn, Slot, Option<Duration>)> {
        if let Some(Idle { conn, since, slot }) = self.take(server) {
            return Some((conn, slot, Some(since.elapsed())));
        }
        let slot = self.slot()?;
        let conn = timeout(self.limits.connect_timeout, Conn::open(address)).await.ok()?.ok()?;
        Some((conn, slot, None))
    }
}

fn status(answer: &Answer) -> Status {
    match answer.status {
        200 => Status::Served,
        503 | 504 if answer.never_ran => Status::TurnedAway,
        _ => Status::ServerError,
    }
}

/// Sweeps the pool for good.
pub async fn sweep(upstream: Rc<Upstream>) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        upstream.sweep();
    }
}
