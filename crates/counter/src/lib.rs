//! Calls to the shared counter, over a few connections; on each, answers come in the order of the calls.

use frosthatch_engine::{CounterCall, Engine};
use frosthatch_sockets::{connect, uninterrupted};
use frosthatch_traffic_control::CompletionStatus;
use std::cell::Cell;
use std::collections::VecDeque;
use std::fmt::Write;
use std::future::{pending, poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, timeout, Instant};

const CONNECT: Duration = Duration::from_millis(250);
const BACKOFF_LEAST: Duration = Duration::from_millis(50);
const BACKOFF_MOST: Duration = Duration::from_secs(1);
/// With calls out and nothing heard for so many times the usual answer time, a connection is held to have fallen
/// silent. Guards against any peer that stops answering without a close: a lost machine, a stuck proxy, a dropped path.
/// It could do harm where the whole counter pauses for as long: what is out is lost, and a new connection waits for
/// the same counter. One that has heard nothing yet is followed by a growing pause, so that connections stay few.
const SILENT_TIMES: f64 = 4.0;
/// The same in shares of the patience, whatever is usual: a moment's delay on a quick counter is no silence...
const SILENT_LEAST: f64 = 0.4;
/// ...and nobody waits for longer, however slow it was.
const SILENT_MOST: Duration = Duration::from_secs(1);
/// Weight of one answer in the usual answer time: about the last ten.
const USUAL_WEIGHT: f64 = 0.1;
/// Growth of the usual answer time with each connection that falls silent.
const USUAL_GROWTH: f64 = 1.5;
/// Connections at most: the counter holds 32 of a gateway, and some may still be ending.
const LINES: usize = 8;
/// Calls that wait on a connection at most; beyond it a call is turned away here.
pub const MOST_OUT: usize = 1_024;
/// A line without an end that is longer than this is nonsense.
const LINE_BYTES: usize = 256;

/// A call whose answer has not come. One that was given up keeps its place, so that its late answer is not
/// taken for the next call's.
struct Waiting {
    name: Option<String>,
    since: Instant,
    /// Where its last byte stands in what is written on this connection.
    end: u64,
}

/// Makes calls for good, wherever the counter stands.
pub async fn run(
    mut addresses: watch::Receiver<Option<SocketAddr>>,
    patience: Duration,
    mut calls: mpsc::Receiver<CounterCall>,
    engine: Rc<Engine>,
) {
    let mut pool = Pool {
        engine,
        patience,
        // Nothing is known yet: an answer may take as long as a call waits.
        usual: Rc::new(Cell::new(patience)),
        lines: Vec::new(),
        dial: None,
        backoff: BACKOFF_LEAST,
        not_before: Instant::now(),
    };
    loop {
        let address = *addresses.borrow_and_update();
        tokio::select! {
            () = pool.serve(address, &mut calls) => return,
            moved = addresses.wait_for(|now| *now != address) => match moved {
                Ok(_) => {}
                Err(_) => return,
            },
        }
        pool.leave();
    }
}

/// A connection that is being made: since when, and what comes of it.
type Dial = (Instant, Pin<Box<dyn Future<Output = Option<TcpStream>>>>);

/// The connections to the counter. A call goes where the fewest are out, as a rule none: a connection that falls silent
/// or breaks takes no others along. A counter that is slow needs more of them, but never more than `LINES`.
struct Pool {
    engine: Rc<Engine>,
    patience: Duration,
    /// How long an answer takes, on whichever connection.
    usual: Rc<Cell<Duration>>,
    lines: Vec<Line>,
    dial: Option<Dial>,
    backoff: Duration,
    /// The counter rests from new connections until then.
    not_before: Instant,
}

impl Pool {
    /// Serves calls until nobody makes any more.
    async fn serve(
        &mut self,
        address: Option<SocketAddr>,
        calls: &mut mpsc::Receiver<CounterCall>,
    ) {
        loop {
            if let Some(address) = address {
                self.connect(address);
            }
            let now = Instant::now();
            // A connection is there in no time as a rule, and calls can wait for it.
            let soon = self
                .dial
                .as_ref()
                .map(|(since, _)| *since + self.patience / 2);
            let soon = soon.filter(|&t| self.lines.is_empty() && t > now);
            let wake = soon.unwrap_or(self.not_before);
            tokio::select! {
                call = calls.recv(), if soon.is_none() => match call {
                    Some(call) => self.call(call),
                    None => return,
                },
                () = sleep_until(wake), if wake > now => {}
                stream = dialled(&mut self.dial) => {
                    self.dial = None;
                    match stream {
                        Some(stream) => self.lines.push(Line::new(stream, self.patience, self.usual.clone())),
                        None => self.back_off(),
                    }
                }
                (n, done) = any_step(&mut self.lines, &self.engine) => if done.is_err() {
                    self.end(n);
                },
            }
        }
    }

    /// Makes another connection where all have calls out. While one has heard nothing yet there is no other: they
    /// must not multiply where it is the counter that is silent.
    fn connect(&mut self, address: SocketAddr) {
        let wanted = self
            .lines
            .iter()
            .all(|l| l.heard_at.is_some() && !l.waiting.is_empty());
        let may =
            self.lines.len() < LINES && self.dial.is_none() && self.not_before <= Instant::now();
        if wanted && may {
            let dial = async move { timeout(CONNECT, connect(address)).await.ok()?.ok() };
            self.dial = Some((Instant::now(), Box::pin(dial)));
        }
    }

    fn call(&mut self, call: CounterCall) {
        // Answers for one name come in the order of its calls, which no two connections keep.
        let same = |l: &Line| {
            l.waiting
                .iter()
                .any(|w| w.name.as_ref() == Some(&call.name))
        };
        let fewest = || (0..self.lines.len()).min_by_key(|&n| self.lines[n].waiting.len());
        let Some(n) = self.lines.iter().position(same).or_else(fewest) else {
            return self
                .engine
                .counter_replied(call.name, CompletionStatus::NoConnection, 0.0);
        };
        self.lines[n].add(call, &self.engine);
        if self.lines[n].write().is_err() {
            self.end(n);
        }
    }

    /// A connection broke or fell silent.
    fn end(&mut self, n: usize) {
        let mut line = self.lines.swap_remove(n);
        match line.heard_at {
            Some(_) => self.backoff = BACKOFF_LEAST,
            None => self.back_off(),
        }
        line.give_up(&self.engine);
    }

    fn back_off(&mut self) {
        self.not_before = Instant::now() + self.backoff;
        self.backoff = (self.backoff * 2).min(BACKOFF_MOST);
    }

    /// The counter has moved: what is out at the old one may end; new calls go to the new one.
    fn leave(&mut self) {
        for line in self.lines.drain(..) {
            tokio::task::spawn_local(line.finish(self.engine.clone()));
        }
        (self.dial, self.backoff, self.not_before) = (None, BACKOFF_LEAST, Instant::now());
    }
}

async fn dialled(dial: &mut Option<Dial>) -> Option<TcpStream> {
    match dial {
        Some((_, stream)) => stream.await,
        None => pending().await,
    }
}

/// The next step of whichever connection comes first.
async fn any_step(lines: &mut [Line], engine: &Rc<Engine>) -> (usize, io::Result<()>) {
    let mut steps: Vec<_> = lines.iter_mut().map(|l| Box::pin(l.step(engine))).collect();
    poll_fn(|cx| {
        for (n, step) in steps.iter_mut().enumerate() {
            if let Poll::Ready(done) = step.as_mut().poll(cx) {
                return Poll::Ready((n, done));
            }
        }
        Poll::Pending
    })
    .await
}

struct Line {
    stream: TcpStream,
    patience: Duration,
    waiting: VecDeque<Waiting>,
    outgoing: Vec<u8>,
    incoming: Vec<u8>,
    written: u64,
    heard_at: Option<Instant>,
    usual: Rc<Cell<Duration>>,
}

impl Line {
    fn new(stream: TcpStream, patience: Duration, usual: Rc<Cell<Duration>>) -> Self {
        Line {
            stream,
            patience,
            waiting: VecDeque::new(),
            outgoing: Vec::new(),
            incoming: Vec::new(),
            written: 0,
            heard_at: None,
            usual,
        }
    }

    /// Takes no new calls; those that are out may end.
    async fn finish(mut self, engine: Rc<Engine>) {
        while !self.waiting.is_empty() && self.step(&engine).await.is_ok() {}
        self.give_up(&engine);
    }

    /// Waits for what comes next on the connection and does it.
    async fn step(&mut self, engine: &Rc<Engine>) -> io::Result<()> {
        let oldest = self
            .waiting
            .iter()
            .find(|w| w.name.is_some())
            .map(|w| w.since + self.patience);
        let silent = self.silent_at();
        let due = oldest.into_iter().chain(silent).min();
        let far = Instant::now() + Duration::from_secs(3_600);
        tokio::select! {
            ready = self.stream.readable() => {
                ready?;
                self.read(engine)?;
            }
            ready = self.stream.writable(), if !self.outgoing.is_empty() => ready?,
            () = sleep_until(due.unwrap_or(far)), if due.is_some() => {
                self.expire(engine);
                if silent.is_some_and(|t| t <= Instant::now()) {
                    // Guards against a counter that has become this slow: with less patience none of its answers
                    // would be heard any more.
                    self.usual.set(self.usual.get().mul_f64(USUAL_GROWTH).min(self.patience));
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
        }
        self.write()
    }

    /// When the connection is held to have fallen silent, unless something is heard. Calls that wait in a busy
    /// counter's line are no silence: answers to those ahead of them come.
    fn silent_at(&self) -> Option<Instant> {
        let since = self.waiting.front()?.since;
        let least = self.patience.mul_f64(SILENT_LEAST);
        let most = self
            .usual
            .get()
            .mul_f64(SILENT_TIMES)
            .max(least)
            .min(SILENT_MOST);
        Some(self.heard_at.map_or(since, |at| at.max(since)) + most)
    }

    fn add(&mut self, call: CounterCall, engine: &Rc<Engine>) {
        if self.waiting.len() >= MOST_OUT {
            return engine.counter_replied(call.name, CompletionStatus::Rejected, 0.0);
        }
        let mut text = String::new();
        let _ = write!(
            text,
            "bump {} {} {}\r\n",
            call.name, call.amount, call.ttl_ms
        );
        self.outgoing.extend_from_slice(text.as_bytes());
        let end = self.written + self.outgoing.len() as u64;
        self.waiting.push_back(Waiting {
            name: Some(call.name),
            since: Instant::now(),
            end,
        });
    }

    fn write(&mut self) -> io::Result<()> {
        while !self.outgoing.is_empty() {
            match uninterrupted(|| self.stream.try_write(&self.outgoing)) {
                Ok(n) => {
                    self.outgoing.drain(..n);
                    self.written += n as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    fn read(&mut self, engine: &Rc<Engine>) -> io::Result<()> {
        let mut chunk = [0u8; 4096];
        loop {
            match uninterrupted(|| self.stream.try_read(&mut chunk)) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) => {
                    self.heard_at = Some(Instant::now());
                    self.incoming.extend_from_slice(&chunk[..n]);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
            while let Some(end) = self.incoming.iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = self.incoming.drain(..=end).collect();
                self.answer(&line, engine)?;
            }
            // Guards against noise without an end of line: others out behind it would wait in vain.
            let part = &self.incoming[..];
            let begins = |word: &&[u8]| word.starts_with(part) || part.starts_with(word);
            if part.len() > LINE_BYTES || ![&b"ok "[..], b"busy", b"error"].iter().any(begins) {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
        Ok(())
    }

    /// One line answers the oldest call. What cannot be read ends the connection: its order is lost.
    fn answer(&mut self, line: &[u8], engine: &Rc<Engine>) -> io::Result<()> {
        let text = std::str::from_utf8(line).unwrap_or("").trim_end();
        let total = text
            .strip_prefix("ok ")
            .and_then(|t| t.parse::<f64>().ok())
            .filter(|t| t.is_finite());
        let (status, total) = match (text, total) {
            (_, Some(total)) => (CompletionStatus::Served, total),
            ("busy" | "error", _) => (CompletionStatus::Rejected, 0.0),
            // One answer to one call, and added; what it stands at now it does not say.
            (text, _) if text == "ok" || text.starts_with("ok ") => {
                (CompletionStatus::ServerError, 0.0)
            }
            _ => return Err(io::ErrorKind::InvalidData.into()),
        };
        let waiting = self.waiting.pop_front().ok_or(io::ErrorKind::InvalidData)?;
        let took = waiting.since.elapsed().min(SILENT_MOST);
        self.usual
            .set(self.usual.get().mul_f64(1.0 - USUAL_WEIGHT) + took.mul_f64(USUAL_WEIGHT));
        if let Some(name) = waiting.name {
            engine.counter_replied(name, status, total);
        }
        Ok(())
    }

    /// Calls that have waited long enough end without an answer: the amount may have been added.
    fn expire(&mut self, engine: &Rc<Engine>) {
        let now = Instant::now();
        for w in self
            .waiting
            .iter_mut()
            .filter(|w| w.since + self.patience <= now)
        {
            if let Some(name) = w.name.take() {
                engine.counter_replied(name, CompletionStatus::NoAnswer, 0.0);
            }
        }
    }

    /// The connection is over. A call not written whole added nothing; of the others nobody knows.
    fn give_up(&mut self, engine: &Rc<Engine>) {
        for w in self.waiting.drain(..) {
            let status = if w.end <= self.written {
                CompletionStatus::ConnectionLost
            } else {
                CompletionStatus::NoConnection
            };
            if let Some(name) = w.name {
                engine.counter_replied(name, status, 0.0);
            }
        }
    }
}
