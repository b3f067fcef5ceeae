//! One pipelined connection to the counter.

use crate::response_time::ResponseTime;
use crate::wire::{may_begin_reply, parse_reply, write_call, Reply};
use frosthatch_engine::{CounterCall, Engine};
use frosthatch_sockets::uninterrupted;
use frosthatch_traffic_control::CompletionStatus;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, Instant};

/// The calls that may be pending on one connection; further calls are rejected.
pub const MAX_PENDING_CALLS: usize = 1_024;
/// How much is read at a time.
const READ_CHUNK_BYTES: usize = 4096;
/// How long a connection without calls sleeps.
const IDLE_SLEEP: Duration = Duration::from_secs(3_600);

/// A call without a reply.
struct PendingCall {
    /// `None` once the call has timed out. It stays in the queue, so that a late reply is not taken for the next call's.
    name: Option<String>,
    started_at: Instant,
    /// The position of its end in the stream of bytes written on this connection.
    end_offset: u64,
}

/// One connection, its calls without replies, and its buffers.
///
/// A connection with calls pending that has delivered no data for the silence timeout is closed. This detects peers that
/// stop replying without closing: a lost machine, a stuck proxy, a dropped path. Where the counter itself pauses for that
/// long, the pending calls are lost and the next connection waits for the same counter.
pub struct Connection {
    stream: TcpStream,
    call_timeout: Duration,
    pending: VecDeque<PendingCall>,
    outgoing: Vec<u8>,
    incoming: Vec<u8>,
    written_bytes: u64,
    last_read_at: Option<Instant>,
    response_time: Rc<ResponseTime>,
}

impl Connection {
    /// A connection on a connected stream, without calls.
    pub fn new(stream: TcpStream, call_timeout: Duration, response_time: Rc<ResponseTime>) -> Self {
        Connection {
            stream,
            call_timeout,
            pending: VecDeque::new(),
            outgoing: Vec::new(),
            incoming: Vec::new(),
            written_bytes: 0,
            last_read_at: None,
            response_time,
        }
    }

    /// Whether any data was received.
    pub fn has_received_data(&self) -> bool {
        self.last_read_at.is_some()
    }

    /// The number of calls without a reply, including those that have timed out.
    pub fn pending_calls(&self) -> usize {
        self.pending.len()
    }

    /// Whether a call for this name waits for its reply.
    pub fn has_pending_call_for(&self, name: &str) -> bool {
        self.pending
            .iter()
            .any(|call| call.name.as_deref() == Some(name))
    }

    /// Takes no new calls, but waits for the pending ones.
    pub async fn drain(mut self, engine: Rc<Engine>) {
        while !self.pending.is_empty() && self.step(&engine).await.is_ok() {}
        self.abandon(&engine);
    }

    /// Waits for the next event on the connection and handles it.
    ///
    /// # Errors
    /// The connection is closed, broken or silent, or has delivered invalid data; it is to be abandoned.
    pub async fn step(&mut self, engine: &Rc<Engine>) -> io::Result<()> {
        let silent_at = self.silent_at();
        let due_at = self.next_timeout_at().into_iter().chain(silent_at).min();
        let idle_until = Instant::now() + IDLE_SLEEP;
        tokio::select! {
            ready = self.stream.readable() => {
                ready?;
                self.read(engine)?;
            }
            ready = self.stream.writable(), if !self.outgoing.is_empty() => ready?,
            () = sleep_until(due_at.unwrap_or(idle_until)), if due_at.is_some() => {
                self.expire_calls(engine);
                if silent_at.is_some_and(|at| at <= Instant::now()) {
                    self.response_time.record_silence();
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
        }
        self.write()
    }

    /// When the first call that still waits times out.
    fn next_timeout_at(&self) -> Option<Instant> {
        self.pending
            .iter()
            .find(|call| call.name.is_some())
            .map(|call| call.started_at + self.call_timeout)
    }

    /// When the connection counts as silent unless data is received. Calls queued at a busy counter do not make it silent,
    /// as replies to earlier calls keep coming.
    fn silent_at(&self) -> Option<Instant> {
        let oldest_started_at = self.pending.front()?.started_at;
        let active_at = self
            .last_read_at
            .map_or(oldest_started_at, |at| at.max(oldest_started_at));
        Some(active_at + self.response_time.silence_timeout())
    }

    /// Queues a call to be written; rejects it if too many are pending.
    pub fn enqueue(&mut self, call: CounterCall, engine: &Rc<Engine>) {
        if self.pending.len() >= MAX_PENDING_CALLS {
            engine.counter_replied(call.name, CompletionStatus::Rejected, 0.0);
            return;
        }
        write_call(&call, &mut self.outgoing);
        self.pending.push_back(PendingCall {
            name: Some(call.name),
            started_at: Instant::now(),
            end_offset: self.written_bytes + self.outgoing.len() as u64,
        });
    }

    /// Writes as much as the socket takes.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn write(&mut self) -> io::Result<()> {
        while !self.outgoing.is_empty() {
            match uninterrupted(|| self.stream.try_write(&self.outgoing)) {
                Ok(count) => {
                    self.outgoing.drain(..count);
                    self.written_bytes += count as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn read(&mut self, engine: &Rc<Engine>) -> io::Result<()> {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        loop {
            match uninterrupted(|| self.stream.try_read(&mut chunk)) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    self.last_read_at = Some(Instant::now());
                    self.incoming.extend_from_slice(&chunk[..count]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
            self.handle_complete_lines(engine)?;
            // Invalid data without an end of line would leave the pending calls waiting in vain.
            if !may_begin_reply(&self.incoming) {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
    }

    fn handle_complete_lines(&mut self, engine: &Rc<Engine>) -> io::Result<()> {
        while let Some(end) = self.incoming.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = self.incoming.drain(..=end).collect();
            self.handle_reply(&line, engine)?;
        }
        Ok(())
    }

    /// One line replies to the oldest call. An invalid line ends the connection, as the order of replies is lost.
    fn handle_reply(&mut self, line: &[u8], engine: &Rc<Engine>) -> io::Result<()> {
        let reply = parse_reply(line).ok_or(io::ErrorKind::InvalidData)?;
        let call = self.pending.pop_front().ok_or(io::ErrorKind::InvalidData)?;
        self.response_time.record(call.started_at.elapsed());
        let Some(name) = call.name else {
            return Ok(());
        };
        match reply {
            Reply::Total(total) => engine.counter_replied(name, CompletionStatus::Served, total),
            Reply::InvalidTotal => engine.counter_replied(name, CompletionStatus::ServerError, 0.0),
            Reply::Rejected => engine.counter_replied(name, CompletionStatus::Rejected, 0.0),
        }
        Ok(())
    }

    /// Ends calls that have timed out without a reply: their amounts may have been added.
    fn expire_calls(&mut self, engine: &Rc<Engine>) {
        let now = Instant::now();
        for call in &mut self.pending {
            if call.started_at + self.call_timeout > now {
                continue;
            }
            if let Some(name) = call.name.take() {
                engine.counter_replied(name, CompletionStatus::NoAnswer, 0.0);
            }
        }
    }

    /// Ends all pending calls, as the connection is lost. A call that was not written completely has added nothing; of the
    /// others nobody knows.
    pub fn abandon(&mut self, engine: &Rc<Engine>) {
        for call in self.pending.drain(..) {
            let status = if call.end_offset <= self.written_bytes {
                CompletionStatus::ConnectionLost
            } else {
                CompletionStatus::NoConnection
            };
            if let Some(name) = call.name {
                engine.counter_replied(name, status, 0.0);
            }
        }
    }
}
