//! One pipelined connection to the shared counter.

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

/// Upper bound of the pending calls on one connection; further calls are rejected.
pub const MAX_PENDING_CALLS: usize = 1_024;
/// Size of the buffer of one read.
const READ_CHUNK_BYTES: usize = 4096;
/// Delay of the timer that `select!` creates but does not poll while no timeout is pending; the value has no effect.
const DISABLED_TIMER_DELAY: Duration = Duration::from_secs(3_600);

/// A call that has not been replied to.
struct PendingCall {
    /// Key of the total to which the call adds; `None` once the call has timed out. The entry of such a call stays in
    /// the queue, so that a late reply is not mistaken for that of the next call.
    name: Option<String>,
    /// When the call was queued.
    started_at: Instant,
    /// Offset of the end of the call in the bytes written on this connection.
    end_offset: u64,
}

/// One connection with its pending calls and its buffers.
///
/// A connection with pending calls that receives no data for the silence timeout is closed. This detects peers that
/// stop replying without closing the connection: a lost machine, a stuck proxy, a broken network path. A pause of the
/// counter itself of that length also closes the connection: its pending calls are lost, and a new connection does
/// not help until the counter runs again.
pub struct Connection {
    stream: TcpStream,
    call_timeout: Duration,
    pending: VecDeque<PendingCall>,
    /// Calls that are not written yet.
    outgoing: Vec<u8>,
    /// Received data without a complete line.
    incoming: Vec<u8>,
    /// Number of bytes written on this connection.
    written_bytes: u64,
    /// When data was last received; `None` if never.
    last_read_at: Option<Instant>,
    response_time: Rc<ResponseTime>,
}

impl Connection {
    /// Creates a connection without calls on a connected stream.
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

    /// Returns whether any data was received.
    pub fn has_received_data(&self) -> bool {
        self.last_read_at.is_some()
    }

    /// Returns the number of calls without a reply, including those that have timed out.
    pub fn pending_calls(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether a call for the total named `name` is pending and has not timed out.
    pub fn has_pending_call_for(&self, name: &str) -> bool {
        self.pending
            .iter()
            .any(|call| call.name.as_deref() == Some(name))
    }

    /// Waits for the replies to the pending calls and closes the connection.
    pub async fn drain(mut self, engine: Rc<Engine>) {
        while !self.pending.is_empty() && self.step(&engine).await.is_ok() {}
        self.abandon(&engine);
    }

    /// Waits for the next event on the connection and handles it.
    ///
    /// # Errors
    /// The connection is closed, broken or silent, or has delivered invalid data. The caller has to abandon it.
    pub async fn step(&mut self, engine: &Rc<Engine>) -> io::Result<()> {
        let silent_at = self.silent_at();
        let due_at = self.next_timeout_at().into_iter().chain(silent_at).min();
        let disabled_until = Instant::now() + DISABLED_TIMER_DELAY;
        tokio::select! {
            ready = self.stream.readable() => {
                ready?;
                self.read(engine)?;
            }
            ready = self.stream.writable(), if !self.outgoing.is_empty() => ready?,
            () = sleep_until(due_at.unwrap_or(disabled_until)), if due_at.is_some() => {
                self.expire_calls(engine);
                if silent_at.is_some_and(|at| at <= Instant::now()) {
                    self.response_time.record_silence();
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
        }
        self.write()
    }

    /// Returns when the oldest call that has not timed out yet will time out; `None` without such a call.
    fn next_timeout_at(&self) -> Option<Instant> {
        self.pending
            .iter()
            .find(|call| call.name.is_some())
            .map(|call| call.started_at + self.call_timeout)
    }

    /// Returns when the connection counts as silent unless data is received; `None` without pending calls. Calls
    /// queued at a busy counter do not make the connection silent, since replies to earlier calls keep arriving.
    fn silent_at(&self) -> Option<Instant> {
        let oldest_started_at = self.pending.front()?.started_at;
        let active_at = self
            .last_read_at
            .map_or(oldest_started_at, |at| at.max(oldest_started_at));
        Some(active_at + self.response_time.silence_timeout())
    }

    /// Queues a call to be written, or rejects it if [`MAX_PENDING_CALLS`] calls are pending.
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

    /// Writes as many of the queued bytes as the socket accepts.
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

    /// Reads all available data and handles the replies in it.
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
            // Invalid data without an end of line would otherwise never be handled, and the pending calls would time
            // out.
            if !may_begin_reply(&self.incoming) {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
    }

    /// Removes all complete lines from the received data and handles them as replies.
    fn handle_complete_lines(&mut self, engine: &Rc<Engine>) -> io::Result<()> {
        while let Some(end) = self.incoming.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = self.incoming.drain(..=end).collect();
            self.handle_reply(&line, engine)?;
        }
        Ok(())
    }

    /// Handles one line as the reply to the oldest pending call. An invalid line ends the connection, since later
    /// replies could no longer be matched to their calls.
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

    /// Reports the calls that have timed out without a reply as unanswered; the counter may have added their amounts.
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

    /// Ends all pending calls, since the connection is lost. A call that was not written completely has added nothing;
    /// whether the counter added the amounts of the others is unknown.
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
