//! Calls to the shared counter, written one behind another on one connection; answers come in their order.

use crate::config::Addresses;
use crate::driver::Driver;
use std::collections::VecDeque;
use std::fmt::Write;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, timeout, Instant};
use turndeck::Status;

const CONNECT: Duration = Duration::from_millis(250);
const BACKOFF_LEAST: Duration = Duration::from_millis(50);
const BACKOFF_MOST: Duration = Duration::from_secs(1);
/// The oldest call's answer is this late: the connection is of no further use.
const SILENT: Duration = Duration::from_secs(1);
/// Calls that wait on the connection at most; beyond it a call is turned away here.
pub const MOST_OUT: usize = 1_024;
/// A line without an end that is longer than this is nonsense.
const LINE_BYTES: usize = 256;

/// One call: add `amount` to `name`, which lives for `ttl_ms` if new.
pub struct Call {
    pub name: String,
    pub amount: f64,
    pub ttl_ms: u64,
}

/// A call whose answer has not come. One that was given up keeps its place, so that its late answer is not
/// taken for the next call's.
struct Waiting {
    name: Option<String>,
    since: Instant,
    /// Where its last byte stands in what is written on this connection.
    end: u64,
}

/// Makes calls for good, over one connection at a time, wherever the counter stands.
pub async fn run(
    mut addresses: watch::Receiver<Addresses>,
    patience: Duration,
    mut calls: mpsc::Receiver<Call>,
    driver: Rc<Driver>,
) {
    let mut backoff = BACKOFF_LEAST;
    loop {
        let Some(address) = addresses.borrow_and_update().counter else {
            match turning_away(addresses.changed(), &mut calls, &driver).await {
                Ok(()) => continue,
                Err(_) => return,
            }
        };
        let connected = {
            let mut connect = std::pin::pin!(timeout(CONNECT, TcpStream::connect(address)));
            // A connection is there in no time as a rule, and calls can wait for it.
            match timeout(patience / 2, connect.as_mut()).await {
                Ok(connected) => connected,
                Err(_) => turning_away(connect, &mut calls, &driver).await,
            }
        };
        if let Ok(Ok(stream)) = connected {
            let mut line = Line::new(stream, patience);
            let moved = tokio::select! {
                () = line.serve(&mut calls, &driver) => false,
                moved = addresses.wait_for(|now| now.counter != Some(address)) => moved.is_ok(),
            };
            if moved {
                // What is out at the old one may end; new calls go to the new one.
                tokio::task::spawn_local(line.finish(driver.clone()));
                backoff = BACKOFF_LEAST;
                continue;
            }
            line.give_up(&driver);
            if line.heard {
                backoff = BACKOFF_LEAST;
                continue;
            }
        }
        let pause = async {
            let _ = timeout(backoff, addresses.changed()).await;
        };
        turning_away(pause, &mut calls, &driver).await;
        backoff = (backoff * 2).min(BACKOFF_MOST);
    }
}

/// Until `done`, every call ends at once: there is no connection.
async fn turning_away<F: std::future::Future>(
    done: F,
    calls: &mut mpsc::Receiver<Call>,
    driver: &Rc<Driver>,
) -> F::Output {
    let mut done = std::pin::pin!(done);
    loop {
        tokio::select! {
            out = &mut done => return out,
            Some(call) = calls.recv() => driver.counted(call.name, Status::NoConnection, 0.0),
        }
    }
}

struct Line {
    stream: TcpStream,
    patience: Duration,
    waiting: VecDeque<Waiting>,
    outgoing: Vec<u8>,
    incoming: Vec<u8>,
    written: u64,
    heard: bool,
}

impl Line {
    fn new(stream: TcpStream, patience: Duration) -> Self {
        let _ = stream.set_nodelay(true);
        Line {
            stream,
            patience,
            waiting: VecDeque::new(),
            outgoing: Vec::new(),
            incoming: Vec::new(),
            written: 0,
            heard: false,
        }
    }

    /// Serves calls until the connection ends or is of no further use.
    async fn serve(&mut self, calls: &mut mpsc::Receiver<Call>, driver: &Rc<Driver>) {
        loop {
            let done = tokio::select! {
                Some(call) = calls.recv() => {
                    self.add(call, driver);
                    self.write()
                }
                done = self.step(driver) => done,
            };
            if done.is_err() {
                return;
            }
        }
    }

    /// Takes no new calls; those that are out may end.
    async fn finish(mut self, driver: Rc<Driver>) {
        while !self.waiting.is_empty() && self.step(&driver).await.is_ok() {}
        self.give_up(&driver);
    }

    /// Waits for what comes next on the connection and does it.
    async fn step(&mut self, driver: &Rc<Driver>) -> io::Result<()> {
        let oldest = self.waiting.iter().find(|w| w.name.is_some()).map(|w| w.since + self.patience);
        let silent = self.waiting.front().map(|w| w.since + SILENT);
        let due = oldest.into_iter().chain(silent).min();
        let far = Instant::now() + Duration::from_secs(3_600);
        tokio::select! {
            ready = self.stream.readable() => {
                ready?;
                self.read(driver)?;
            }
            ready = self.stream.writable(), if !self.outgoing.is_empty() => ready?,
            () = sleep_until(due.unwrap_or(far)), if due.is_some() => {
                self.expire(driver);
                if silent.is_some_and(|t| t <= Instant::now()) {
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
        }
        self.write()
    }

    fn add(&mut self, call: Call, driver: &Rc<Driver>) {
        if self.waiting.len() >= MOST_OUT {
            return driver.counted(call.name, Status::TurnedAway, 0.0);
        }
        let mut text = String::new();
        let _ = write!(text, "bump {} {} {}\r\n", call.name, call.amount, call.ttl_ms);
        self.outgoing.extend_from_slice(text.as_bytes());
        let end = self.written + self.outgoing.len() as u64;
        self.waiting.push_back(Waiting { name: Some(call.name), since: Instant::now(), end });
    }

    fn write(&mut self) -> io::Result<()> {
        while !self.outgoing.is_empty() {
            match self.stream.try_write(&self.outgoing) {
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

    fn read(&mut self, driver: &Rc<Driver>) -> io::Result<()> {
        let mut chunk = [0u8; 4096];
        loop {
            match self.stream.try_read(&mut chunk) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) => {
                    self.heard = true;
                    self.incoming.extend_from_slice(&chunk[..n]);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
            while let Some(end) = self.incoming.iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = self.incoming.drain(..=end).collect();
                self.answer(&line, driver)?;
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
    fn answer(&mut self, line: &[u8], driver: &Rc<Driver>) -> io::Result<()> {
        let text = std::str::from_utf8(line).unwrap_or("").trim_end();
        let total = text.strip_prefix("ok ").and_then(|t| t.parse::<f64>().ok()).filter(|t| t.is_finite());
        let (status, total) = match (text, total) {
            (_, Some(total)) => (Status::Served, total),
            ("busy" | "error", _) => (Status::TurnedAway, 0.0),
            _ => return Err(io::ErrorKind::InvalidData.into()),
        };
        let waiting = self.waiting.pop_front().ok_or(io::ErrorKind::InvalidData)?;
        if let Some(name) = waiting.name {
            driver.counted(name, status, total);
        }
        Ok(())
    }

    /// Calls that have waited long enough end without an answer: the amount may have been added.
    fn expire(&mut self, driver: &Rc<Driver>) {
        let now = Instant::now();
        for w in self.waiting.iter_mut().filter(|w| w.since + self.patience <= now) {
            if let Some(name) = w.name.take() {
                driver.counted(name, Status::NoAnswer, 0.0);
            }
        }
    }

    /// The connection is over. A call not written whole added nothing; of the others nobody knows.
    fn give_up(&mut self, driver: &Rc<Driver>) {
        for w in self.waiting.drain(..) {
            let status = if w.end <= self.written { Status::ConnectionLost } else { Status::NoConnection };
            if let Some(name) = w.name {
                driver.counted(name, status, 0.0);
            }
        }
    }
}
