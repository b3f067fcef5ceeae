//! Drives one connection: reads and writes messages, and calls the state machine of [`peer`](crate::peer) when its timers
//! expire. All protocol rules are in the state machine.

mod end;
mod write_queue;

pub use end::LinkEndReason;
pub use write_queue::{QueuedMessage, SentAttempt, WriteBudget, WriteHandle};

use crate::codec::{self, Fault, Message};
use crate::peer::{DisconnectCause, Input, Output, Peer, RemoteIdentity};
use bytes::{Bytes, BytesMut};
use frosthatch_engine::AttemptPermit;
use frosthatch_sockets::Uninterrupted;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{self, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::yield_now;
use tokio::time::sleep;
use write_queue::QueuedAttempt;

/// Timeout of the TLS handshake, with clients and with servers.
pub(crate) const TLS_HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of messages queued for writing on one connection.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// Buffer space reserved for one read.
const READ_CHUNK_BYTES: usize = 8 << 10;
/// Maximum time between two checks of the state machine's timers.
const MAX_TIMER_WAIT_US: u64 = 1_000_000;
/// Maximum number of checks whether the messages queued at closing have been written.
const MAX_FLUSH_CHECKS: usize = 20;
/// Interval between two checks whether an attempt that is written in part may still be written.
const PERMIT_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two checks whether the messages queued at closing have been written.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// An event that [`Link::run`] reports to the owner of a connection.
pub enum Event {
    /// Capabilities have been exchanged with the peer.
    Up(RemoteIdentity),
    /// Send new requests to other peers: the peer does not answer watchdog requests, or has reconnected and has not
    /// answered `MIN_REOPEN_ANSWERS` of them yet.
    Failover,
    /// The peer answers again and may get requests.
    Failback,
    /// The peer accepts no new requests and is about to close the connection.
    PeerClosing,
    /// A valid credit-control request was received.
    Request(Message),
    /// An answer was received.
    Answer(Message),
}

/// Handle of a connection, for sending messages and closing the connection.
pub struct Link {
    peer: RefCell<Peer>,
    budget: Rc<WriteBudget>,
    write_queue: mpsc::Sender<QueuedMessage>,
    /// Total number of bytes queued since the connection was created.
    queued_bytes: Cell<u64>,
    /// Number of the queued bytes that have been written or discarded.
    written_bytes: Cell<u64>,
    /// Notified to end the connection without waiting for the peer.
    abandoned: Notify,
    /// Returns the current time in microseconds.
    clock: Rc<dyn Fn() -> u64>,
}

impl Link {
    /// Creates a connection's handle and the queue of messages that [`run`](Self::run) writes. `clock` returns microseconds.
    pub fn new(
        peer: Peer,
        clock: Rc<dyn Fn() -> u64>,
        budget: Rc<WriteBudget>,
    ) -> (Rc<Link>, mpsc::Receiver<QueuedMessage>) {
        let (write_queue, queued_messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let link = Link {
            peer: RefCell::new(peer),
            budget,
            write_queue,
            queued_bytes: Cell::new(0),
            written_bytes: Cell::new(0),
            abandoned: Notify::new(),
            clock,
        };
        (Rc::new(link), queued_messages)
    }

    /// Returns whether requests may be exchanged.
    pub fn is_open(&self) -> bool {
        self.peer.borrow().is_open()
    }

    /// Returns whether the gateway has sent its disconnect request, and accepts no new requests from the peer.
    pub fn is_closing(&self) -> bool {
        self.peer.borrow().is_closing()
    }

    /// Assigns the next Hop-by-Hop Identifier of this connection.
    pub fn next_hop_by_hop(&self) -> u32 {
        self.peer.borrow_mut().next_hop_by_hop()
    }

    /// Creates, but does not send, an answer from the gateway itself.
    pub fn gateway_answer(&self, request: &Message, result_code: u32) -> Message {
        self.peer.borrow().answer(request, result_code)
    }

    /// Creates, but does not send, the answer that reports a fault of a request.
    pub fn fault_answer(&self, request: &Message, fault: &Fault) -> Message {
        self.peer.borrow().fault_answer(request, fault)
    }

    /// Queues a message. Returns the position of the message's end in the byte stream, or `None` if the write budget or the
    /// queue has no room for the message.
    pub fn send(&self, message: &Message) -> Option<u64> {
        self.queue_within_budget(message.encode(), None)
    }

    /// Queues the message of an attempt, which is written only if `permit` still allows the write when the message reaches
    /// the head of the queue, and if it was not withdrawn before. If the permit lapses while the message is written in
    /// part, the connection ends, so that the server never gets the rest. Returns `None` under the same conditions as [`send`](Self::send).
    pub fn send_attempt(&self, message: &Message, permit: AttemptPermit) -> Option<SentAttempt> {
        let (sender, denied) = oneshot::channel();
        let write = WriteHandle::new();
        let attempt = QueuedAttempt {
            permit,
            write: write.clone(),
            denied: sender,
        };
        let end = self.queue_within_budget(message.encode(), Some(attempt))?;
        Some(SentAttempt { end, write, denied })
    }

    /// Queues an answer. Abandons the connection if the write budget or the queue has no room for the answer, usually because
    /// the client does not read its answers.
    pub fn send_answer(&self, answer: &Message) {
        if self.send(answer).is_none() {
            self.abandoned.notify_one();
        }
    }

    /// Returns whether the byte stream has been written up to the position `end`.
    pub fn has_written(&self, end: u64) -> bool {
        self.written_bytes.get() >= end
    }

    /// Queues a disconnect request. The connection ends when the peer answers or the answer times out. A connection that is
    /// not open ends at once.
    pub fn disconnect(&self, cause: DisconnectCause) {
        let mut out = Vec::new();
        self.handle(Input::Disconnect(cause), &mut out);
        for output in out {
            match output {
                Output::Send(message) => drop(self.send_control(&message)),
                Output::Close(_) => self.abandoned.notify_one(),
                _ => {}
            }
        }
    }

    /// Drives the connection until it ends, and reports events to `on_event`.
    pub async fn run(
        &self,
        stream: impl AsyncRead + AsyncWrite + Unpin,
        queued_messages: mpsc::Receiver<QueuedMessage>,
        on_event: impl FnMut(Event),
    ) -> LinkEndReason {
        let (reader, writer) = io::split(Uninterrupted(stream));
        tokio::select! {
            end = self.read_messages(reader, on_event) => end,
            end = self.write_messages(writer, queued_messages) => end,
        }
    }

    /// Writes queued messages until a write fails or an attempt's permit lapses during its write.
    async fn write_messages(
        &self,
        mut writer: impl AsyncWrite + Unpin,
        mut queued_messages: mpsc::Receiver<QueuedMessage>,
    ) -> LinkEndReason {
        while let Some(QueuedMessage { bytes, attempt }) = queued_messages.recv().await {
            let written = match attempt {
                None => self.write_message(&mut writer, &bytes).await,
                Some(attempt) => self.write_attempt(&mut writer, &bytes, attempt).await,
            };
            if let Err(end) = written {
                return end;
            }
        }
        LinkEndReason::WriteFailed
    }

    /// Writes the message of an attempt, or discards it if it was withdrawn or its permit has lapsed while it was queued
    /// because the peer was slow to read.
    ///
    /// # Errors
    /// Returns the reason if the connection has to end.
    async fn write_attempt(
        &self,
        writer: &mut (impl AsyncWrite + Unpin),
        bytes: &[u8],
        attempt: QueuedAttempt,
    ) -> Result<(), LinkEndReason> {
        let QueuedAttempt {
            permit,
            write,
            denied,
        } = attempt;
        if let Err(reason) = permit.check() {
            write.withdraw();
            let _ = denied.send(reason);
        }
        if !write.begin() {
            self.release(bytes.len());
            return Ok(());
        }
        let written = self.write_message(writer, bytes);
        tokio::pin!(written);
        loop {
            tokio::select! {
                biased;
                written = &mut written => {
                    written?;
                    permit.record_written(None);
                    return Ok(());
                }
                () = sleep(PERMIT_CHECK_INTERVAL) => {
                    if permit.check().is_err() {
                        return Err(LinkEndReason::AttemptLapsed);
                    }
                }
            }
        }
    }

    /// Writes a message.
    ///
    /// # Errors
    /// Returns the reason if the write fails.
    async fn write_message(
        &self,
        writer: &mut (impl AsyncWrite + Unpin),
        bytes: &[u8],
    ) -> Result<(), LinkEndReason> {
        let failed = |_| LinkEndReason::WriteFailed;
        writer.write_all(bytes).await.map_err(failed)?;
        // There is no await between the last byte and this line, so that a sent message never counts as unwritten.
        self.release(bytes.len());
        writer.flush().await.map_err(failed)
    }

    /// Reads messages and handles timers until the connection ends.
    async fn read_messages(
        &self,
        mut reader: impl AsyncRead + Unpin,
        mut on_event: impl FnMut(Event),
    ) -> LinkEndReason {
        let mut buffer = BytesMut::new();
        let mut out = Vec::new();
        self.handle(Input::Connected, &mut out);
        loop {
            for output in out.drain(..) {
                if let Err(end) = self.apply(output, &mut on_event).await {
                    return end;
                }
            }
            match next_message(&mut buffer) {
                Ok(Some(bytes)) => {
                    self.handle(decode(bytes), &mut out);
                    // The next message may have arrived already: the other connections have their turn first.
                    yield_now().await;
                    continue;
                }
                Ok(None) => {}
                Err(fault) => {
                    let code = fault.result_code;
                    return LinkEndReason::InvalidFrame { code };
                }
            }
            buffer.reserve(READ_CHUNK_BYTES);
            tokio::select! {
                read = reader.read_buf(&mut buffer) => if !matches!(read, Ok(length) if length > 0) {
                    return LinkEndReason::ConnectionEnded;
                },
                () = sleep(self.timer_wait()) => {
                    self.peer.borrow_mut().handle_timeout((self.clock)(), &mut out);
                }
                () = self.abandoned.notified() => return LinkEndReason::Abandoned,
            }
        }
    }

    /// Executes an output of the state machine.
    ///
    /// # Errors
    /// Returns the reason if the connection ends.
    async fn apply(
        &self,
        output: Output,
        on_event: &mut impl FnMut(Event),
    ) -> Result<(), LinkEndReason> {
        match output {
            Output::Send(message) => {
                self.send_control(&message)
                    .ok_or(LinkEndReason::PeerNotReading)?;
            }
            Output::Close(reason) => {
                self.flush().await;
                return Err(LinkEndReason::Closed(reason));
            }
            Output::Up(remote) => on_event(Event::Up(remote)),
            Output::Failover => on_event(Event::Failover),
            Output::Failback => on_event(Event::Failback),
            Output::PeerClosing => on_event(Event::PeerClosing),
            Output::Request(message) => on_event(Event::Request(message)),
            Output::Answer(message) => on_event(Event::Answer(message)),
        }
        Ok(())
    }

    /// Waits until the currently queued messages have been written, at most `MAX_FLUSH_CHECKS * FLUSH_CHECK_INTERVAL`.
    async fn flush(&self) {
        let end = self.queued_bytes.get();
        for _ in 0..MAX_FLUSH_CHECKS {
            if self.has_written(end) {
                break;
            }
            sleep(FLUSH_CHECK_INTERVAL).await;
        }
    }

    /// Passes an input to the state machine.
    fn handle(&self, input: Input, out: &mut Vec<Output>) {
        self.peer.borrow_mut().handle((self.clock)(), input, out);
    }

    /// Returns the time until the state machine's timers are to be checked.
    fn timer_wait(&self) -> Duration {
        let wait_us = self.peer.borrow().due_us().saturating_sub((self.clock)());
        Duration::from_micros(wait_us.min(MAX_TIMER_WAIT_US))
    }

    /// Queues a message if the write budget allows it.
    fn queue_within_budget(&self, bytes: Vec<u8>, attempt: Option<QueuedAttempt>) -> Option<u64> {
        if !self
            .budget
            .has_capacity(self.unwritten_bytes(), bytes.len())
        {
            return None;
        }
        self.queue(QueuedMessage { bytes, attempt })
    }

    /// Queues a message of the state machine. The message counts towards the write budget but is not limited by it, so that
    /// queued application messages cannot block it by their size. Only a full queue (`MAX_QUEUED_MESSAGES`) rejects it.
    fn send_control(&self, message: &Message) -> Option<u64> {
        self.queue(QueuedMessage {
            bytes: message.encode(),
            attempt: None,
        })
    }

    /// Appends a message to the queue. Returns the position of the message's end in the byte stream, or `None` if the
    /// queue is full.
    fn queue(&self, message: QueuedMessage) -> Option<u64> {
        let length = message.bytes.len();
        self.write_queue.try_send(message).ok()?;
        self.budget.add(length);
        let end = self.queued_bytes.get() + length as u64;
        self.queued_bytes.set(end);
        Some(end)
    }

    /// Records that a message of this length was written or discarded.
    fn release(&self, bytes: usize) {
        self.written_bytes
            .set(self.written_bytes.get() + bytes as u64);
        self.budget.release(bytes);
    }

    /// Returns the number of queued bytes that have been neither written nor discarded.
    fn unwritten_bytes(&self) -> usize {
        (self.queued_bytes.get() - self.written_bytes.get()) as usize
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.budget.release(self.unwritten_bytes());
    }
}

/// Removes and returns the first message in the buffer, or returns `None` while the message is incomplete.
fn next_message(buffer: &mut BytesMut) -> Result<Option<Bytes>, Fault> {
    let length = codec::first_message_length(buffer)?;
    Ok(length.map(|length| buffer.split_to(length).freeze()))
}

fn decode(bytes: Bytes) -> Input {
    match Message::decode(bytes) {
        Ok(message) => Input::Message(message),
        Err(decode_error) => Input::Undecodable(decode_error),
    }
}

#[cfg(test)]
mod tests;
