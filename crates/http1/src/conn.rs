//! One connection of our own making, and the answers that come over it. Nothing that a server sends is believed before
//! it fits: an answer is whole, or it may have run and brought nothing.

use crate::chunked::{Chunked, Spoilt};
use crate::message::{
    content_length, fill, header, peek, read_more, says_close, write_while, BODY_BYTES, BULK_BYTES,
    CHUNK, HEADERS, HEAD_BYTES,
};
use bytes::Bytes;
use frosthatch_engine::WriteDenied;
use frosthatch_sockets::{connect, ConnectError};
use frosthatch_traffic_control::LoadMetric;
use httparse::{Status as Parsed, EMPTY_HEADER};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use tokio::net::TcpStream;

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
    pub report: Vec<(LoadMetric, f64)>,
    /// Nothing stands behind it, and its connection stays open.
    pub reusable: bool,
    /// More of it comes.
    pub rest: Option<Unread>,
}

enum Head {
    Interim,
    Final(Answer, Framing),
}

enum Framing {
    Length(usize),
    Chunked(Chunked),
    /// It ends with its connection (RFC 9112 section 6.3).
    UntilClose,
}

fn spoilt(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// What long requests may be kept in: each takes of what all share, and gives it back when it is dropped.
pub struct Room {
    shared: Arc<AtomicUsize>,
    taken: usize,
}

impl Room {
    pub fn new(shared: Arc<AtomicUsize>) -> Self {
        Room { shared, taken: 0 }
    }

    /// Whether there is room for so much in all; it is taken from then on.
    pub fn holds(&mut self, length: usize) -> bool {
        let more = length.saturating_sub(self.taken);
        let held = self
            .shared
            .fetch_update(Relaxed, Relaxed, |left| left.checked_sub(more))
            .is_ok();
        self.taken += if held { more } else { 0 };
        held
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.shared.fetch_add(self.taken, Relaxed);
    }
}

/// What of a long answer has not been read yet.
pub struct Unread {
    framing: Framing,
    /// Read, and not yet taken apart.
    buffer: Vec<u8>,
    /// Of its body, so far.
    seen: usize,
}

impl Unread {
    /// How long the whole body is, where its head tells.
    pub fn length(&self) -> Option<usize> {
        match self.framing {
            Framing::Length(length) => Some(length),
            _ => None,
        }
    }

    /// Moves what has come behind `into`; whether that was all of the body.
    fn take(&mut self, into: &mut Vec<u8>, ended: bool) -> io::Result<bool> {
        let before = into.len();
        let whole = match &mut self.framing {
            Framing::Length(length) => {
                let left = *length - self.seen;
                if self.buffer.len() >= left {
                    let behind = self.buffer.split_off(left);
                    into.append(&mut self.buffer);
                    self.buffer = behind;
                    // Guards against a length that is too short: what belongs to the body would stand behind it. Only
                    // the beginning of another answer is known to be no part of this one.
                    if !begins_answer(&self.buffer) {
                        return Err(spoilt("longer than it says"));
                    }
                    true
                } else {
                    into.append(&mut self.buffer);
                    false
                }
            }
            Framing::Chunked(chunked) => chunked
                .take(&mut self.buffer, into)
                .map_err(|Spoilt(what)| spoilt(what))?,
            Framing::UntilClose => {
                into.append(&mut self.buffer);
                ended
            }
        };
        self.seen += into.len() - before;
        if self.seen > BULK_BYTES {
            return Err(spoilt("too long"));
        }
        if ended && !whole {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(whole)
    }
}

/// How far a request has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    NotBegun,
    Begun,
}

/// A request on its way.
pub struct Sending<'a> {
    /// Head and body.
    pub request: [&'a [u8]; 2],
    /// How much has left, whatever happens.
    pub written: &'a Cell<usize>,
    /// Asked at the last moment before each write; told whether anything has left before.
    pub may: &'a dyn Fn(Progress) -> Result<(), WriteDenied>,
    /// Called once all of it has left.
    pub whole: &'a dyn Fn(),
}

/// One connection of our own making.
pub struct Conn {
    stream: TcpStream,
}

impl Conn {
    pub async fn open(address: SocketAddr) -> Result<Conn, ConnectError> {
        Ok(Conn {
            stream: connect(address).await?,
        })
    }

    /// Whether another request may go over it: it is open and nothing has come that nobody asked for.
    pub fn quiet(&self) -> bool {
        peek(&self.stream).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes all of a request, unless it may not begin or the server speaks before it is whole: then it never was.
    async fn send(&self, sending: &Sending<'_>) -> io::Result<()> {
        let ([head, body], written) = (sending.request, sending.written);
        let check = || {
            let progress = if written.get() == 0 {
                Progress::NotBegun
            } else {
                Progress::Begun
            };
            (sending.may)(progress).map_err(io::Error::other)?;
            // Guards against an answer to a request before, which would be taken for this one's: nothing that comes ahead of
            // a request's last byte answers it.
            if self.quiet() {
                Ok(())
            } else {
                Err(spoilt("ahead of its request"))
            }
        };
        if body.len() <= BODY_BYTES {
            return write_while(&self.stream, &[head, body].concat(), written, check).await;
        }
        write_while(&self.stream, head, written, check).await?;
        let beyond = Cell::new(0);
        let done = write_while(&self.stream, body, &beyond, check).await;
        written.set(head.len() + beyond.get());
        done
    }

    /// Sends a request and reads its answer: whole, or, where its body is longer than `most`, its beginning.
    pub async fn ask(&self, sending: Sending<'_>, most: usize) -> io::Result<Answer> {
        self.send(&sending).await?;
        (sending.whole)();
        let mut buffer = Vec::new();
        let (mut answer, framing) = self.head(&mut buffer).await?;
        if matches!(framing, Framing::Length(length) if length > BULK_BYTES) {
            return Err(spoilt("too long"));
        }
        let mut unread = Unread {
            framing,
            buffer,
            seen: 0,
        };
        let mut body = Vec::with_capacity(unread.length().unwrap_or(0).min(most + CHUNK));
        let long = unread.length().is_some_and(|length| length > most);
        loop {
            if unread.take(&mut body, false)? {
                answer.reusable &= unread.buffer.is_empty();
                break;
            }
            // The first bytes are enough of one that is known to be long.
            if body.len() > most || long && !body.is_empty() {
                answer.rest = Some(unread);
                break;
            }
            if fill(&self.stream, &mut unread.buffer).await? == 0 {
                unread.take(&mut body, true)?;
                answer.reusable = false;
                break;
            }
        }
        answer.body = body.into();
        Ok(answer)
    }

    /// More of a long answer, in place of what stands in `into`; whether that is the end of it.
    pub async fn go_on(&self, unread: &mut Unread, into: &mut Vec<u8>) -> io::Result<bool> {
        into.clear();
        let ended = fill(&self.stream, &mut unread.buffer).await? == 0;
        unread.take(into, ended)
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
        (None, [coding]) if coding.trim().eq_ignore_ascii_case("chunked") => {
            Framing::Chunked(Chunked::default())
        }
        (None, []) if status == 200 => Framing::UntilClose,
        // Both, or another coding: where it ends cannot be known.
        _ => return Err(spoilt("its framing")),
    };
    let answer = Answer {
        status,
        body: Bytes::new(),
        never_ran: header(h, NEVER_RAN) == Some("1"),
        metered_use: header(h, USED)
            .and_then(figure)
            .map(|percent| percent / 100.0),
        report: header(h, LOAD).map_or_else(Vec::new, report),
        reusable: head.version == Some(1)
            && !says_close(h)
            && !matches!(framing, Framing::UntilClose),
        rest: None,
    };
    Ok(Some((Head::Final(answer, framing), end)))
}

fn figure(text: &str) -> Option<f64> {
    let value: f64 = text.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

/// `TEXT inflight=7, latency_ms=12.5`; what is not a figure of ours is skipped.
fn report(text: &str) -> Vec<(LoadMetric, f64)> {
    let one = |part: &str| {
        let (name, value) = part.split_once('=')?;
        let load = match name.trim() {
            "inflight" => LoadMetric::Inflight,
            "queue" => LoadMetric::Queue,
            "latency_ms" => LoadMetric::ServiceMs,
            _ => return None,
        };
        Some((load, figure(value)?))
    };
    text.strip_prefix("TEXT ")
        .map_or_else(Vec::new, |t| t.split(',').filter_map(one).collect())
}

#[cfg(test)]
mod tests;
