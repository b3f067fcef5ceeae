//! One connection of our own making, and the answers that come over it. Nothing that a server sends is believed before
//! it fits: an answer is whole, or it may have run and brought nothing.

use crate::message::*;
use bytes::Bytes;
use httparse::{Status as Parsed, EMPTY_HEADER};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use tokio::net::TcpStream;
use turndeck::Load;

/// Interim answers ahead of the final one at most.
const INTERIM: usize = 16;

const LOAD: &str = "endpoint-load-metrics";
const USED: &str = "x-ratelimit-used";
const NEVER_RAN: &str = "x-never-ran";

/// A whole answer.
#[derive(Default)]
pub struct Answer {
    pub status: u16,
    pub body: Bytes,
    pub never_ran: bool,
    pub metered_use: Option<f64>,
    pub report: Vec<(Load, f64)>,
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

    /// Sends a request and reads its answer, if there is room for it. `written` tells what has left, `whole` is
    /// called once that is all.
    pub async fn ask(
        &self,
        request: &[u8],
        mut room: Room,
        written: &Cell<usize>,
        whole: impl FnOnce(),
    ) -> io::Result<Answer> {
        write_all(&self.stream, request, written).await?;
        whole();
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
